// Package membershipload runs many failure detectors in one process on synthetic time and measures how soon they notice
// a death and what they send.
package membershipload
