// Package jobs runs work that outlives the call that started it, in one group that its owner waits for.
package jobs
