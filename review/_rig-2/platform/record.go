package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// record holds what was sent, answered and run. It is safe for concurrent use.
type record struct {
	mu    sync.Mutex
	began time.Time
	lines []string
}

func newRecord() *record { return &record{began: time.Now()} }

// add adds a line with the time since the start.
func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = append(r.lines, fmt.Sprintf("%8.3f "+format, append([]any{time.Since(r.began).Seconds()}, args...)...))
}

func (r *record) write(path string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return os.WriteFile(path, []byte(strings.Join(r.lines, "\n")+"\n"), 0o600)
}
