package history

import (
	"fmt"
	"sync"
	"time"
)

// Record is an event with its time since the beginning of the run.
type Record struct {
	At    time.Duration
	Event Event
}

// String returns the time and the event as one line.
func (r Record) String() string { return fmt.Sprintf("%v %T%+v", r.At, r.Event, r.Event) }

// History holds the events of a run in the order in which they were added. It is safe for concurrent use; a nil History
// records nothing.
type History struct {
	begin time.Time

	mu      sync.Mutex
	records []Record
}

// New returns an empty history that begins now.
func New() *History { return &History{begin: time.Now()} }

// Add records an event with the current time.
func (h *History) Add(e Event) {
	if h == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.records = append(h.records, Record{At: time.Since(h.begin), Event: e})
}

// Records returns a copy of all records, oldest first.
func (h *History) Records() []Record {
	if h == nil {
		return nil
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]Record(nil), h.records...)
}

// Filter returns the events of one type, oldest first.
func Filter[E Event](records []Record) []E {
	var out []E
	for _, r := range records {
		if e, ok := r.Event.(E); ok {
			out = append(out, e)
		}
	}
	return out
}
