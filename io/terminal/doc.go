// Package terminal is the command tree of toucanway: it parses arguments, calls the operators' client or the daemon, and
// prints the answer as text or JSON.
package terminal
