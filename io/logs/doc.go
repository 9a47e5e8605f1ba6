// Package logs writes structured log lines without ever blocking the work that they tell of: lines wait in a bounded queue for
// one writer, and what doesn't fit is dropped and counted.
package logs
