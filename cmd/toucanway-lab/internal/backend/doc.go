// Package backend is what stand-in backend servers of both kinds share: one life of a process with its listener, the
// announcements to entry hosts, and the switches of faults.
package backend
