// Package logbuffer collects the log lines of simulated hosts in memory.
package logbuffer
