// Package pause waits for a time or for the end of a context, whichever comes first, and repeats calls until the context ends.
package pause
