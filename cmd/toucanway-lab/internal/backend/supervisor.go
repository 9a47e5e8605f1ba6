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

// ErrRunning is the error of starting a backend server that is running.
var ErrRunning = errors.New("backend server is running; stop it first")

// Supervisor starts, crashes and restarts the instances of one simulated backend server. Each start has a new incarnation.
type Supervisor struct {
	// ID is the id of the backend server.
	ID      fleet.BackendID
	Network network.Network
	// ListenAddress is the address to listen on. Port 0 selects a free port at the first start, which later starts reuse.
	ListenAddress string
	// FirstIncarnation is the incarnation of the first start; zero means 1.
	FirstIncarnation fleet.Incarnation
	History          *history.History
	// OnStart is called with each started instance, which listens already, and must make it serve.
	OnStart func(l *Instance)
	// OnStop is called at the end of each instance; it must not block.
	OnStop func(l *Instance)

	mu          sync.Mutex
	incarnation fleet.Incarnation
	address     string
	current     *Instance
	stopped     []*Instance
	restart     *time.Timer
}

// Start starts the next instance.
func (v *Supervisor) Start() error {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.current != nil {
		return ErrRunning
	}
	if v.incarnation == 0 {
		v.incarnation = max(v.FirstIncarnation, 1) - 1
		v.address = v.ListenAddress
	}
	instance, err := Listen(v.Network, v.address)
	if err != nil {
		return fmt.Errorf("start backend server %s: %w", v.ID, err)
	}
	v.incarnation++
	v.address = instance.Address()
	v.current = instance
	instance.incarnation = v.incarnation
	v.History.Add(history.BackendStarted{Backend: v.ID, Incarnation: v.incarnation})
	v.OnStart(instance)
	return nil
}

// Address returns the address of the backend server; after the first start it has the actual port.
func (v *Supervisor) Address() string {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.address == "" {
		return v.ListenAddress
	}
	return v.address
}

// Incarnation returns the incarnation of the current or last instance.
func (v *Supervisor) Incarnation() fleet.Incarnation {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.incarnation
}

// Crash aborts the current instance: its connections are reset and its memory is lost.
func (v *Supervisor) Crash() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.stop(v.current)
}

// CrashAndRestart crashes the backend server and starts it again after a delay.
func (v *Supervisor) CrashAndRestart(d time.Duration) {
	v.Crash()
	v.mu.Lock()
	defer v.mu.Unlock()
	v.restart = time.AfterFunc(d, func() { _ = v.Start() })
}

// CrashInstance crashes an instance if it is still the current one.
func (v *Supervisor) CrashInstance(l *Instance) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.current == l {
		v.stop(l)
	}
}

func (v *Supervisor) stop(l *Instance) {
	if l == nil {
		return
	}
	v.current = nil
	l.Abort()
	v.stopped = append(v.stopped, l)
	v.History.Add(history.BackendStopped{Backend: v.ID, Incarnation: l.incarnation})
	if v.OnStop != nil {
		v.OnStop(l)
	}
}

// Close aborts the current instance and waits for the goroutines of all instances.
func (v *Supervisor) Close() error {
	v.mu.Lock()
	if v.restart != nil {
		v.restart.Stop()
	}
	v.stop(v.current)
	stopped := v.stopped
	v.stopped = nil
	v.mu.Unlock()
	var errs []error
	for _, l := range stopped {
		errs = append(errs, l.Wait())
	}
	return errors.Join(errs...)
}
