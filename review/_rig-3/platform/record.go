package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file that says what was sent, answered and run. It is safe for concurrent use.
type record struct {
	began time.Time

	mu   sync.Mutex
	file *os.File
}

func newRecord(name string) (*record, error) {
	f, err := os.Create(name)
	if err != nil {
		return nil, err
	}
	return &record{began: time.Now(), file: f}, nil
}

// line writes one line with the time since the start of the case.
func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// result writes a line to the record and to standard output.
func (r *record) result(format string, args ...any) {
	r.line(format, args...)
	fmt.Printf(format+"\n", args...)
}
