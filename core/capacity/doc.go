// Package capacity allocates the memory and batch slots of one backend server on behalf of its owner. Table is a state
// machine: it takes the time and an event and returns effects. The memory of models, adapters and grants together never
// exceeds the server's memory.
//
// A Table reads no clock, carries out no effect itself and is not safe for concurrent use.
package capacity
