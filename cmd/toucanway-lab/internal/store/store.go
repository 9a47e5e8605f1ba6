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
	// Rate is the number of checkpoint loads that may start per second.
	Rate float64
	// MaxFullSpeedLoads is the number of concurrent checkpoint loads that run at full speed.
	MaxFullSpeedLoads int
	// MaxFullSpeedAdapterLoads is the number of concurrent adapter loads that run at full speed.
	MaxFullSpeedAdapterLoads int
}

// Store is a simulated weight store shared by many engines. It is safe for concurrent use.
type Store struct {
	rate     float64
	models   SharedBandwidth
	adapters SharedBandwidth

	mu        sync.Mutex
	nextStart time.Time
}

// New returns a store without slowdown.
func New(s Settings) *Store {
	return &Store{
		rate:     s.Rate,
		models:   SharedBandwidth{maxFullSpeed: s.MaxFullSpeedLoads, slowdown: 1},
		adapters: SharedBandwidth{maxFullSpeed: s.MaxFullSpeedAdapterLoads, slowdown: 1},
	}
}

// SetSlowdown multiplies the time of the remaining work of every transfer by a factor; 1 means no slowdown.
func (s *Store) SetSlowdown(factor float64) {
	s.models.setSlowdown(factor)
	s.adapters.setSlowdown(factor)
}

// Load waits until the start rate allows the load, then transfers a checkpoint that takes the given time at full speed.
func (s *Store) Load(ctx context.Context, work time.Duration) error {
	if err := pause.Until(ctx, s.reserveStart()); err != nil {
		return err
	}
	return s.models.Run(ctx, work)
}

// LoadAdapter transfers an adapter that takes the given time at full speed.
func (s *Store) LoadAdapter(ctx context.Context, work time.Duration) error {
	return s.adapters.Run(ctx, work)
}

// Loading returns the number of checkpoint and adapter transfers in progress.
func (s *Store) Loading() (models, adapters int) { return s.models.active(), s.adapters.active() }

// reserveStart reserves the next start that the rate allows and returns its time.
func (s *Store) reserveStart() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	at := time.Now()
	if s.rate <= 0 {
		return at
	}
	if s.nextStart.After(at) {
		at = s.nextStart
	}
	s.nextStart = at.Add(time.Duration(float64(time.Second) / s.rate))
	return at
}

// SharedBandwidth divides bandwidth among transfers. Up to a limit they run at full speed; more of them run proportionally
// slower.
type SharedBandwidth struct {
	mu           sync.Mutex
	maxFullSpeed int
	slowdown     float64
	running      map[*transfer]struct{}
	// progress is the work that a transfer running since the beginning would have done by the time updated.
	progress time.Duration
	updated  time.Time
	timer    *time.Timer
}

type transfer struct {
	// endProgress is the progress at which the transfer is done.
	endProgress time.Duration
	done        chan struct{}
}

// Run waits until a transfer of the given time at full speed is done, or the context ends.
func (s *SharedBandwidth) Run(ctx context.Context, work time.Duration) error {
	s.mu.Lock()
	s.advance()
	t := &transfer{endProgress: s.progress + work, done: make(chan struct{})}
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

func (s *SharedBandwidth) active() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.running)
}

func (s *SharedBandwidth) setSlowdown(factor float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance()
	s.slowdown = factor
	s.schedule()
}

// realTimePerWork returns the ratio of real time to work: 1 at full speed, more when transfers are slowed down.
func (s *SharedBandwidth) realTimePerWork() float64 {
	ratio := max(s.slowdown, 1)
	if s.maxFullSpeed > 0 && len(s.running) > s.maxFullSpeed {
		ratio *= float64(len(s.running)) / float64(s.maxFullSpeed)
	}
	return ratio
}

// advance updates the progress to the current time and ends the transfers that are done.
func (s *SharedBandwidth) advance() {
	now := time.Now()
	if len(s.running) > 0 {
		s.progress += time.Duration(float64(now.Sub(s.updated)) / s.realTimePerWork())
	}
	s.updated = now
	for t := range s.running {
		if t.endProgress <= s.progress {
			delete(s.running, t)
			close(t.done)
		}
	}
}

// schedule sets the timer for the transfer that ends next.
func (s *SharedBandwidth) schedule() {
	if s.timer != nil {
		s.timer.Stop()
		s.timer = nil
	}
	if len(s.running) == 0 {
		return
	}
	earliestEnd := time.Duration(1<<63 - 1)
	for t := range s.running {
		earliestEnd = min(earliestEnd, t.endProgress)
	}
	// Rounded up, since the transfer would not be done yet if the timer fired early.
	wait := time.Duration(math.Ceil(float64(earliestEnd-s.progress) * s.realTimePerWork()))
	s.timer = time.AfterFunc(wait, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.advance()
		s.schedule()
	})
}
