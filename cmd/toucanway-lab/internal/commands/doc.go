// Package commands is the command tree of toucanway-lab; it parses, calls and prints.
package commands
