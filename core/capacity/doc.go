// Package capacity keeps the memory and batch slots of one backend server under one owner. Its Table takes the time and
// an event and returns effects; the sum of models, adapters and grants never exceeds the server's memory.
package capacity
