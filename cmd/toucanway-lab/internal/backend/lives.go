package backend

import (
	"errors"
	"fmt"
	"sync"
	"time"

	"toucanway/cmd/toucanway-lab/internal/history"
	"toucanway/core/fleet"
	"toucanway/io/network"
)

// ErrRunning reports a start of a backend server that has not stopped.
var ErrRunning = errors.New("backend server is running; stop it first")

// Lives are the successive lives of one backend server.
type Lives struct {
	// ID names the backend server.
	ID      fleet.BackendID
	Network network.Network
	// Listen is the address of the first life; port 0 takes a free one, which later lives keep.
	Listen string
	// First is the incarnation of the first life; zero means 1.
	First   fleet.Incarnation
	History *history.History
	// Begun is called with each life that listens, and makes it serve.
	Begun func(l *Life)
	// Ended is called at the end of each life; it must not block.
	Ended func(l *Life)

	mu          sync.Mutex
	incarnation fleet.Incarnation
	address     string
	current     *Life
	past        []*Life
	restart     *time.Timer
}

// Start begins the next life.
func (v *Lives) Start() error {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.current != nil {
		return ErrRunning
	}
	if v.incarnation == 0 {
		v.incarnation = max(v.First, 1) - 1
		v.address = v.Listen
	}
	life, err := Begin(v.Network, v.address)
	if err != nil {
		return fmt.Errorf("start backend server %s: %w", v.ID, err)
	}
	v.incarnation++
	v.address = life.Address()
	v.current = life
	life.incarnation = v.incarnation
	v.History.Add(history.BackendStarted{Backend: v.ID, Incarnation: v.incarnation})
	v.Begun(life)
	return nil
}

// Address returns the address of the backend server, with its port once it was started.
func (v *Lives) Address() string {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.address == "" {
		return v.Listen
	}
	return v.address
}

// Incarnation returns the incarnation of the present or last life.
func (v *Lives) Incarnation() fleet.Incarnation {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.incarnation
}

// Crash ends the present life: connections are reset and everything in memory is lost.
func (v *Lives) Crash() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.end(v.current)
}

// CrashFor crashes and starts again after a time.
func (v *Lives) CrashFor(d time.Duration) {
	v.Crash()
	v.mu.Lock()
	defer v.mu.Unlock()
	v.restart = time.AfterFunc(d, func() { _ = v.Start() })
}

// End crashes one life, unless a later one has begun.
func (v *Lives) End(l *Life) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.current == l {
		v.end(l)
	}
}

func (v *Lives) end(l *Life) {
	if l == nil {
		return
	}
	v.current = nil
	l.Abort()
	v.past = append(v.past, l)
	v.History.Add(history.BackendStopped{Backend: v.ID, Incarnation: l.incarnation})
	if v.Ended != nil {
		v.Ended(l)
	}
}

// Close ends the present life and waits for the goroutines of all lives.
func (v *Lives) Close() error {
	v.mu.Lock()
	if v.restart != nil {
		v.restart.Stop()
	}
	v.end(v.current)
	past := v.past
	v.past = nil
	v.mu.Unlock()
	var errs []error
	for _, l := range past {
		errs = append(errs, l.Wait())
	}
	return errors.Join(errs...)
}
