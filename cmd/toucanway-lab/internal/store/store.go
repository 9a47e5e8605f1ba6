package store

import (
	"context"
	"math"
	"sync"
	"time"

	"toucanway/core/pause"
)

// Settings describe a weight store. Zero fields mean no limit.
type Settings struct {
	// Rate is how many checkpoint loads may start in a second.
	Rate float64
	// FullSpeed is how many checkpoint loads run at full speed at once.
	FullSpeed int
	// AdapterFullSpeed is how many adapter loads run at full speed at once.
	AdapterFullSpeed int
}

// Store is a weight store shared by many engines. It is safe for concurrent use.
type Store struct {
	rate     float64
	models   Share
	adapters Share

	mu   sync.Mutex
	next time.Time
}

// New returns a store at full speed.
func New(s Settings) *Store {
	return &Store{
		rate:     s.Rate,
		models:   Share{full: s.FullSpeed, slowdown: 1},
		adapters: Share{full: s.AdapterFullSpeed, slowdown: 1},
	}
}

// SetSlowdown makes every transfer take a multiple of its time from now on; 1 is full speed.
func (s *Store) SetSlowdown(factor float64) {
	s.models.setSlowdown(factor)
	s.adapters.setSlowdown(factor)
}

// Load transfers a checkpoint that takes the given time at full speed, and waits for its start before.
func (s *Store) Load(ctx context.Context, work time.Duration) error {
	if err := pause.Until(ctx, s.reserve()); err != nil {
		return err
	}
	return s.models.Run(ctx, work)
}

// LoadAdapter transfers an adapter that takes the given time at full speed.
func (s *Store) LoadAdapter(ctx context.Context, work time.Duration) error {
	return s.adapters.Run(ctx, work)
}

// Loading returns the number of checkpoint and adapter transfers under way.
func (s *Store) Loading() (models, adapters int) { return s.models.active(), s.adapters.active() }

// reserve returns the time of the next start that the rate allows.
func (s *Store) reserve() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	at := time.Now()
	if s.rate <= 0 {
		return at
	}
	if s.next.After(at) {
		at = s.next
	}
	s.next = at.Add(time.Duration(float64(time.Second) / s.rate))
	return at
}

// Share divides a transfer speed among transfers: up to a number of them run at full speed, more run proportionally
// slower.
type Share struct {
	mu       sync.Mutex
	full     int
	slowdown float64
	running  map[*transfer]struct{}
	// progress is the work that a transfer running since the beginning would have done, as of the time updated.
	progress time.Duration
	updated  time.Time
	timer    *time.Timer
}

type transfer struct {
	// ends is the progress of the share at which the transfer is done.
	ends time.Duration
	done chan struct{}
}

// Run waits until a transfer of the given time at full speed is done, or the context ends.
func (s *Share) Run(ctx context.Context, work time.Duration) error {
	s.mu.Lock()
	s.advance()
	t := &transfer{ends: s.progress + work, done: make(chan struct{})}
	if s.running == nil {
		s.running = map[*transfer]struct{}{}
	}
	s.running[t] = struct{}{}
	s.schedule()
	s.mu.Unlock()
	select {
	case <-t.done:
		return nil
	case <-ctx.Done():
		s.mu.Lock()
		defer s.mu.Unlock()
		s.advance()
		delete(s.running, t)
		s.schedule()
		return ctx.Err()
	}
}

func (s *Share) active() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.running)
}

func (s *Share) setSlowdown(factor float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance()
	s.slowdown = factor
	s.schedule()
}

// pace returns the real time that a unit of progress takes.
func (s *Share) pace() float64 {
	p := max(s.slowdown, 1)
	if s.full > 0 && len(s.running) > s.full {
		p *= float64(len(s.running)) / float64(s.full)
	}
	return p
}

// advance brings progress up to date and ends the transfers that are done.
func (s *Share) advance() {
	now := time.Now()
	if len(s.running) > 0 {
		s.progress += time.Duration(float64(now.Sub(s.updated)) / s.pace())
	}
	s.updated = now
	for t := range s.running {
		if t.ends <= s.progress {
			delete(s.running, t)
			close(t.done)
		}
	}
}

// schedule sets the timer for the transfer that ends next.
func (s *Share) schedule() {
	if s.timer != nil {
		s.timer.Stop()
		s.timer = nil
	}
	if len(s.running) == 0 {
		return
	}
	first := time.Duration(1<<63 - 1)
	for t := range s.running {
		first = min(first, t.ends)
	}
	// Rounded up, since the transfer would be unfinished when a timer fires early.
	wait := time.Duration(math.Ceil(float64(first-s.progress) * s.pace()))
	s.timer = time.AfterFunc(wait, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.advance()
		s.schedule()
	})
}
