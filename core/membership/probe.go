package membership

import (
	"slices"
	"time"

	"toucanway/core/fleet"
)

// probe is the question under way whether one host answers.
type probe struct {
	target *member
	call   uint64
	// askAt is when other hosts are asked, end when the verdict falls.
	askAt, end time.Time
	asked      bool
	helpers    int
	// answered counts the helpers that answered at all, indirect says that one of them reached the target.
	answered int
	indirect bool
}

func (p *probe) due() time.Time {
	if p.asked {
		return p.end
	}
	return p.askAt
}

// callKind says what an answer is for.
type callKind int

const (
	callDirect callKind = iota
	callHelper
	callRelay
	callSync
	callOther
)

// call is a message sent and not answered yet.
type call struct {
	kind callKind
	to   *member
	// probe is set for callHelper, request for callRelay.
	probe   *probe
	request uint64
}

// relay is a probe made for another host.
type relay struct {
	asker, target *member
	refuseAt      time.Time
}

// startProbe probes the next host. Probes start at the same rate on a host that lengthens its timeouts, so that several
// may be under way, at most one more than its health.
func (d *Detector) startProbe(now time.Time) {
	d.nextProbe = now.Add(d.cfg.Interval)
	m := d.nextTarget()
	if m == nil {
		return
	}
	id := d.send(m, callDirect, 0, d.compose(m, KindPing), lateFactor*d.cfg.Interval)
	d.probes = append(d.probes, &probe{
		target: m, call: id, askAt: now.Add(d.scaled(d.cfg.Timeout)), end: now.Add(d.scaled(d.cfg.Interval)),
	})
}

// nextTarget returns the host to probe next. Each round over all hosts is shuffled anew, so that the time until a host
// is probed is bounded and its probers are spread.
func (d *Detector) nextTarget() *member {
	for len(d.urgent) > 0 {
		// Hosts that learnt of the same deaths at the same time share the work by picking at random.
		i := d.rand.IntN(len(d.urgent))
		m := d.urgent[i]
		d.urgent = slices.Delete(d.urgent, i, i+1)
		if !m.State.gone() && (m.told != nil || m.missed > 0 || m.suspicion != nil && m.suspicion.checking) {
			return m
		}
	}
	for range 2 {
		for d.next < len(d.order) {
			m := d.order[d.next]
			d.next++
			if !m.State.gone() {
				return m
			}
		}
		d.order, d.next = d.order[:0], 0
		for _, m := range d.t.all {
			if !m.State.gone() {
				d.order = append(d.order, m)
			}
		}
		d.rand.Shuffle(len(d.order), func(i, j int) { d.order[i], d.order[j] = d.order[j], d.order[i] })
	}
	return nil
}

// enlist puts a host that became live at a random place of the current round.
func (d *Detector) enlist(m *member) {
	d.order = slices.DeleteFunc(d.order[d.next:], func(o *member) bool { return o == m || o.State.gone() })
	d.next = 0
	d.order = slices.Insert(d.order, d.rand.IntN(len(d.order)+1), m)
}

// hurry has a host probed before the others.
func (d *Detector) hurry(m *member) {
	if len(d.urgent) < maxUrgent && !slices.Contains(d.urgent, m) {
		d.urgent = append(d.urgent, m)
	}
}

func (d *Detector) checkProbes(now time.Time) {
	for _, p := range slices.Clone(d.probes) {
		if !p.asked && !now.Before(p.askAt) {
			d.askHelpers(p)
		}
		if !now.Before(p.end) {
			d.endProbe(now, p)
		}
	}
}

// takeProbe ends a probe and reports whether it was under way.
func (d *Detector) takeProbe(call uint64) bool {
	n := len(d.probes)
	d.probes = slices.DeleteFunc(d.probes, func(p *probe) bool { return p.call == call })
	return len(d.probes) < n
}

// askHelpers asks other hosts to probe the target.
func (d *Detector) askHelpers(p *probe) {
	p.asked = true
	for _, m := range d.chooseHelpers(p.target) {
		msg := d.compose(m, KindPingRequest)
		msg.Target = p.target.Host
		d.sendTo(m.Host, m.Address, call{kind: callHelper, to: m, probe: p}, msg, d.cfg.Interval)
		p.helpers++
	}
}

// chooseHelpers returns one host of the target's region, one of a region that is neither the target's nor this host's,
// and others at random, so that a cut between two regions does not hide the target.
func (d *Detector) chooseHelpers(target *member) []*member {
	pool := d.pick(len(d.t.all), target)
	pool = slices.DeleteFunc(pool, func(m *member) bool { return m.State != Alive })
	d.rand.Shuffle(len(pool), func(i, j int) { pool[i], pool[j] = pool[j], pool[i] })
	var out []*member
	choose := func(fits func(fleet.Region) bool) {
		i := slices.IndexFunc(pool, func(m *member) bool { return fits(m.Place.Region) && m.Path == PathDirect })
		if i >= 0 {
			out = append(out, pool[i])
			pool = slices.Delete(pool, i, i+1)
		}
	}
	there, here := target.Place.Region, d.self.Place.Region
	choose(func(r fleet.Region) bool { return r == there })
	choose(func(r fleet.Region) bool { return r != there && r != here })
	return append(out, pool[:min(helpers-len(out), len(pool))]...)
}

// endProbe judges a host that gave no direct answer in time.
func (d *Detector) endProbe(now time.Time, p *probe) {
	d.takeProbe(p.call)
	m := p.target
	if m.State.gone() {
		return
	}
	if p.answered < p.helpers || p.helpers == 0 {
		// Answers of others are missing as well, so the fault may be this host's.
		d.adjustHealth(1)
	}
	if !p.indirect {
		d.suspect(now, m, d.self.Host)
		if s := m.suspicion; s != nil && s.checking {
			d.apply(now, Update{Host: m.Host, Version: m.Version, State: Dead}, false)
		}
		return
	}
	m.missed++
	if m.missed == 1 {
		d.hurry(m)
		m.missedSince = now
		return
	}
	d.judgePath(m)
}

// judgePath tells a host that is cut off from this one in one direction or in both from one that is slow.
func (d *Detector) judgePath(m *member) {
	switch {
	case m.missed < 2 || m.State.gone():
	case m.heard.After(m.missedSince):
		d.setPath(m, PathOneWay)
	default:
		d.setPath(m, PathIndirect)
	}
}

func (d *Detector) setPath(m *member, p Path) {
	if m.Path != p {
		m.Path = p
		d.emit(PathChanged{Host: m.Host, Path: p})
	}
}

// send emits a message and notes what its answer is for.
func (d *Detector) send(to *member, kind callKind, request uint64, msg Message, timeout time.Duration) uint64 {
	return d.sendTo(to.Host, to.Address, call{kind: kind, to: to, request: request}, msg, timeout)
}

func (d *Detector) sendTo(host fleet.HostID, address string, c call, msg Message, timeout time.Duration) uint64 {
	d.lastCall++
	d.calls[d.lastCall] = c
	d.emit(Send{Call: d.lastCall, To: host, Address: address, Message: msg, Timeout: timeout})
	return d.lastCall
}

// Answer takes the answer to a Send.
func (d *Detector) Answer(now time.Time, id uint64, msg Message) []Effect {
	c, ok := d.calls[id]
	if !ok || !msg.valid() || msg.Kind < KindAck {
		return d.Failed(now, id)
	}
	delete(d.calls, id)
	if d.self.State == Left {
		return d.drain()
	}
	d.joined = true
	learnt := d.merge(now, &msg, c.kind == callSync)
	reached := msg.Kind == KindAck && !msg.Leaving
	switch c.kind {
	case callDirect:
		if !reached || msg.From != c.to.Host {
			d.directFailed(id)
			break
		}
		// Also a late answer shows that the path is whole.
		c.to.missed = 0
		d.setPath(c.to, PathDirect)
		if d.takeProbe(id) {
			d.adjustHealth(-1)
		}
	case callHelper:
		c.probe.answered++
		c.probe.indirect = c.probe.indirect || reached
	case callRelay:
		d.answerRelay(c.request, reached && msg.From == c.to.Host)
	case callSync:
		d.synced(now, &msg, learnt)
	case callOther:
	default:
		panic("membership: unknown kind of call")
	}
	return d.drain()
}

// Failed takes the failure of a Send.
func (d *Detector) Failed(_ time.Time, id uint64) []Effect {
	c, ok := d.calls[id]
	delete(d.calls, id)
	if !ok || d.self.State == Left {
		return d.drain()
	}
	switch c.kind {
	case callDirect:
		d.directFailed(id)
	case callRelay:
		d.answerRelay(c.request, false)
	case callHelper, callSync, callOther:
	default:
		panic("membership: unknown kind of call")
	}
	return d.drain()
}

// directFailed asks other hosts at once when the direct probe has failed already.
func (d *Detector) directFailed(id uint64) {
	for _, p := range d.probes {
		if p.call == id && !p.asked {
			d.askHelpers(p)
		}
	}
}
