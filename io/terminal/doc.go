// Package terminal implements the command line of toucanway: it parses arguments, calls the operators' client or runs the
// daemon, and prints the answer as text or JSON.
//
// Run executes one command; an Environment contains what it needs from the process.
package terminal
