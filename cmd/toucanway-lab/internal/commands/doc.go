// Package commands implements the command line of toucanway-lab: it parses the arguments, runs the command and prints the
// result.
package commands
