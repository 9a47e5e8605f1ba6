// Package membershipload runs many failure detectors in one process on synthetic time and measures how soon they detect a failed
// host and how much they send.
package membershipload
