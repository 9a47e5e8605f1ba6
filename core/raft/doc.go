// Package raft is a replicated log as a pure state machine: it reads no clock, opens no socket and writes no file.
package raft
