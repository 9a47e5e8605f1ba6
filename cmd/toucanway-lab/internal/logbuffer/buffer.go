package logbuffer

import (
	"strings"
	"sync"
)

// Buffer collects the log lines of several hosts; the zero value is empty. It is safe for concurrent use.
type Buffer struct {
	mu   sync.Mutex
	text strings.Builder
}

// Write appends to the buffer.
func (b *Buffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *Buffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}
