// Package logs writes structured log lines without blocking the code that logs: lines wait in a bounded queue for one writer
// goroutine, and lines that do not fit into the queue are dropped and counted.
//
// New returns a logger. A Writer is the queue; its method Run is the writer goroutine.
package logs
