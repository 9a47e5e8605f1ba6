// Package workload generates the calls of the two organisations of the design page: seeded, so that two runs send the
// same requests at the same times.
package workload
