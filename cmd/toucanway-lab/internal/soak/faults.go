package soak

import (
	"context"
	"os"
	"syscall"
	"time"

	"toucanway/platform/standin"
)

// healthyTime is the time before the first fault of a run with accounts, in which gateways get their configuration.
const healthyTime = 2 * time.Second

// injectFaults injects faults for the duration of the run. Most faults end by themselves after up to 2.8 s, so that several
// overlap.
func (r *run) injectFaults(ctx context.Context) {
	end := time.Now().Add(r.cfg.Duration)
	if r.cfg.Accounts {
		time.Sleep(healthyTime)
		r.injectLongFault()
	}
	for time.Now().Before(end) && ctx.Err() == nil {
		r.injectFault(ctx)
		time.Sleep(time.Duration(200+r.rand.IntN(900)) * time.Millisecond)
	}
	time.Sleep(time.Until(r.longFault.ends))
}

// injectFault injects one random fault.
func (r *run) injectFault(ctx context.Context) {
	p := r.processes[r.rand.IntN(len(r.processes))]
	duration := time.Duration(300+r.rand.IntN(2500)) * time.Millisecond
	if p == r.longFault.gateway && r.longFault.isUnderWay() {
		return
	}
	kinds := 11
	if r.cfg.Accounts {
		kinds = 15
	}
	switch r.rand.IntN(kinds) {
	case 0, 1:
		r.logf("kill %s", p.name)
		p.signal(syscall.SIGCONT)
		exited := p.terminate(syscall.SIGKILL)
		r.after(duration, func() { r.restart(p, exited, false) })
	case 2, 3:
		r.logf("stop %s", p.name)
		p.signal(syscall.SIGCONT)
		exited := p.terminate(syscall.SIGTERM)
		r.after(0, func() { r.restart(p, exited, false) })
	case 4:
		r.logf("pause %s for %v", p.name, duration)
		// A paused process would not stop in time, so a process that is being stopped is not paused.
		if p.isEnding() {
			return
		}
		p.signal(syscall.SIGSTOP)
		r.after(duration, func() { p.signal(syscall.SIGCONT) })
	case 5:
		p.signal(syscall.SIGHUP)
	case 6:
		a, b := r.randomController(), r.randomController()
		c := condition{silent: r.rand.IntN(2) == 0, delay: time.Duration(r.rand.IntN(80)) * time.Millisecond}
		r.logf("link from %s to %s: %+v for %v", a.name, b.name, c, duration)
		r.links.set(a.ip, b.ip, c)
		if r.rand.IntN(2) == 0 {
			r.links.set(b.ip, a.ip, c)
		}
		r.after(duration, func() { r.links.restore(a.ip, b.ip) })
	case 7:
		r.logf("reset connections")
		r.links.reset(r.rand, 0.5)
	case 8:
		// It would end the faults that are to last.
		if !r.longFault.isUnderWay() {
			r.loseDisk()
		}
	case 9, 10:
		r.injectBackendFault(ctx, duration)
	case 11, 12, 13:
		r.injectLongFault()
	case 14:
		r.killControllers(duration)
	}
}

// longFault is a fault of a gateway that lasts longer than the bound on the use of removed keys. The gateway has no other faults meanwhile.
type longFault struct {
	gateway *process
	ends    time.Time
}

func (f *longFault) isUnderWay() bool { return time.Now().Before(f.ends) }

// injectLongFault cuts a gateway off from all controllers, or pauses it, unless such a fault is under way.
func (r *run) injectLongFault() {
	g := r.processes[controllers+r.rand.IntN(gateways)]
	duration := standin.KeyRevocation + time.Duration(1+r.rand.IntN(8))*time.Second
	pause := r.rand.IntN(3) == 0
	if r.longFault.isUnderWay() || g.isEnding() {
		return
	}
	r.longFault = longFault{g, time.Now().Add(duration)}
	if pause {
		r.logf("pause %s for %v", g.name, duration)
		g.signal(syscall.SIGSTOP)
		r.after(duration, func() { g.signal(syscall.SIGCONT) })
		return
	}
	r.logf("%s is cut off for %v", g.name, duration)
	for _, c := range r.processes[:controllers] {
		r.links.set(g.ip, c.ip, condition{silent: true})
		r.links.set(c.ip, g.ip, condition{silent: true})
		r.after(duration, func() { r.links.restore(g.ip, c.ip) })
	}
}

// killControllers kills all controllers at once, so that only their disks know the configuration.
func (r *run) killControllers(duration time.Duration) {
	r.logf("kill all controllers")
	for _, c := range r.processes[:controllers] {
		c.signal(syscall.SIGCONT)
		exited := c.terminate(syscall.SIGKILL)
		r.after(duration, func() { r.restart(c, exited, false) })
	}
}

// after calls f, which ends a fault, after d.
func (r *run) after(d time.Duration, f func()) { time.AfterFunc(d, f) }

// randomController returns a random controller.
func (r *run) randomController() *process { return r.processes[r.rand.IntN(controllers)] }

// restart waits until a process has ended and restarts it, with an empty data folder if its disk is lost.
func (r *run) restart(p *process, exited <-chan struct{}, lost bool) {
	if !p.awaitExit(exited, stopTimeout) {
		r.record.AddViolation("%s did not stop within %v", p.name, stopTimeout)
	}
	if lost {
		if err := os.RemoveAll(p.dataFolder()); err != nil {
			r.record.AddViolation("data folder of %s: %v", p.name, err)
		}
	}
	if err := p.start(); err != nil {
		r.record.AddViolation("%s cannot be started: %v", p.name, err)
	}
}

// diskLossMargin is the time without new faults before and after the loss of a disk, since only one disk may be lost at a time.
const diskLossMargin = 1500 * time.Millisecond

// loseDisk makes one controller lose its disk while all others run and are connected.
func (r *run) loseDisk() {
	r.restore()
	time.Sleep(diskLossMargin)
	p := r.randomController()
	r.logf("%s loses its disk", p.name)
	r.restart(p, p.terminate(syscall.SIGKILL), true)
	time.Sleep(diskLossMargin)
}

// injectBackendFault makes a backend server crash or drain, and starts its next incarnation.
func (r *run) injectBackendFault(ctx context.Context, duration time.Duration) {
	b := r.backends[r.rand.IntN(len(r.backends))]
	if r.rand.IntN(2) == 0 {
		r.logf("%s drains", b.cfg.ID)
		b.server.Drain()
		time.Sleep(time.Second)
	} else {
		r.logf("%s crashes", b.cfg.ID)
	}
	b.cancel()
	<-b.done
	time.Sleep(duration / 4)
	r.startBackend(ctx, b)
}
