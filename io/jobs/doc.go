// Package jobs runs background jobs that outlive the call that started them, in a group that its owner can wait for.
package jobs
