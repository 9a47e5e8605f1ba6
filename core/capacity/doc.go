// Package capacity allocates the memory and batch slots of one backend server on behalf of its owner. Table is a state
// machine: it takes the time and an event and returns effects. The memory of models, adapters and grants together never
// exceeds the server's memory.
package capacity
