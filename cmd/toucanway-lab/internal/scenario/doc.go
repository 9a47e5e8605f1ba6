// Package scenario runs testscript files against a deployment on an in-memory network in synthetic time. The commands of the
// scripts start hosts and stand-in backend servers, send requests, inject faults, advance the time and check expectations. At
// the end of each scenario, package checker checks invariants I1 to I9 on its history.
package scenario
