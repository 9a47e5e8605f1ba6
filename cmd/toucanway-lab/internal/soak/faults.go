package soak

import (
	"context"
	"os"
	"syscall"
	"time"
)

// play injects faults until the time is over. Each fault ends by itself after a while, so that several overlap.
func (r *run) play(ctx context.Context) {
	end := time.Now().Add(r.cfg.Duration)
	for time.Now().Before(end) && ctx.Err() == nil {
		r.fault(ctx)
		time.Sleep(time.Duration(200+r.rand.IntN(900)) * time.Millisecond)
	}
}

func (r *run) fault(ctx context.Context) {
	p := r.processes[r.rand.IntN(len(r.processes))]
	lasting := time.Duration(300+r.rand.IntN(2500)) * time.Millisecond
	switch r.rand.IntN(11) {
	case 0, 1:
		r.logf("kill %s", p.name)
		p.signal(syscall.SIGCONT)
		exited := p.end(syscall.SIGKILL)
		r.later(lasting, func() { r.restart(p, exited, false) })
	case 2, 3:
		r.logf("stop %s", p.name)
		p.signal(syscall.SIGCONT)
		exited := p.end(syscall.SIGTERM)
		r.later(0, func() { r.restart(p, exited, false) })
	case 4:
		r.logf("pause %s for %v", p.name, lasting)
		// A paused process doesn't stop in time; the stop of an earlier fault goes first.
		if p.isEnding() {
			return
		}
		p.signal(syscall.SIGSTOP)
		r.later(lasting, func() { p.signal(syscall.SIGCONT) })
	case 5:
		p.signal(syscall.SIGHUP)
	case 6:
		a, b := r.controller(), r.controller()
		c := condition{silent: r.rand.IntN(2) == 0, delay: time.Duration(r.rand.IntN(80)) * time.Millisecond}
		r.logf("link from %s to %s: %+v for %v", a.name, b.name, c, lasting)
		r.links.set(a.ip, b.ip, c)
		if r.rand.IntN(2) == 0 {
			r.links.set(b.ip, a.ip, c)
		}
		r.later(lasting, r.links.heal)
	case 7:
		r.logf("reset connections")
		r.links.reset(r.rand, 0.5)
	case 8:
		r.wipe()
	case 9, 10:
		r.backendFault(ctx, lasting)
	}
}

// later carries out the end of a fault.
func (r *run) later(d time.Duration, f func()) { time.AfterFunc(d, f) }

func (r *run) controller() *process { return r.processes[r.rand.IntN(controllers)] }

// restart waits for a process to end and starts it again, with an empty data folder if its disk is lost.
func (r *run) restart(p *process, exited <-chan struct{}, lost bool) {
	if !p.await(exited, stopTime) {
		r.record.Violate("%s did not stop within %v", p.name, stopTime)
	}
	if lost {
		if err := os.RemoveAll(p.data()); err != nil {
			r.record.Violate("data folder of %s: %v", p.name, err)
		}
	}
	if err := p.start(); err != nil {
		r.record.Violate("%s cannot be started: %v", p.name, err)
	}
}

// wipeRest is the time without other faults around the loss of a disk, since only one may be lost at a time.
const wipeRest = 1500 * time.Millisecond

// wipe makes one controller lose its disk while all others run and are connected.
func (r *run) wipe() {
	r.restore()
	time.Sleep(wipeRest)
	p := r.controller()
	r.logf("%s loses its disk", p.name)
	r.restart(p, p.end(syscall.SIGKILL), true)
	time.Sleep(wipeRest)
}

// backendFault makes a backend server crash or leave, and starts another life of it.
func (r *run) backendFault(ctx context.Context, lasting time.Duration) {
	l := r.backends[r.rand.IntN(len(r.backends))]
	if r.rand.IntN(2) == 0 {
		r.logf("%s drains", l.cfg.ID)
		l.server.Drain()
		time.Sleep(time.Second)
	} else {
		r.logf("%s crashes", l.cfg.ID)
	}
	l.cancel()
	<-l.done
	time.Sleep(lasting / 4)
	r.beginLife(ctx, l)
}
