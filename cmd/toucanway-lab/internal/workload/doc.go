// Package workload generates the calls of the two example organisations. Plans are seeded: two runs with the same seed send
// the same requests at the same times.
package workload
