// Package controlscenario runs scripts of failures of the control group of a routed deployment: formation from seeds, hosts that
// join, lose their disk or are replaced, and cuts between them, on in-memory links in synthetic time. While a script runs, the
// package checks that at most one host leads at a time and that no read is older than an acknowledged change.
package controlscenario
