package membership

import (
	"slices"
	"time"

	"toucanway/core/fleet"
)

// probe is a check, still in progress, of whether one host answers.
type probe struct {
	target *member
	call   uint64
	// askHelpersAt is when other hosts are asked to probe as well, evaluateAt when the probe is evaluated.
	askHelpersAt, evaluateAt time.Time
	helpersAsked             bool
	helperCount              int
	// helpersAnswered counts the helpers that answered at all; reachedIndirectly is set if one of them reached the target.
	helpersAnswered   int
	reachedIndirectly bool
}

func (p *probe) nextDeadline() time.Time {
	if p.helpersAsked {
		return p.evaluateAt
	}
	return p.askHelpersAt
}

// callKind is the purpose of a call.
type callKind int

const (
	callDirect callKind = iota
	callPingRequest
	callRelay
	callSync
	callOther
)

// call is a message in flight, sent and not yet answered.
type call struct {
	kind callKind
	to   *member
	// probe is set for callPingRequest, request for callRelay.
	probe   *probe
	request uint64
}

// relay is a probe made on behalf of another host.
type relay struct {
	requester, target *member
	nackAt            time.Time
}

// startProbe probes the next host. The rate of probes doesn't depend on the health score, although the timeouts do, so
// several probes may be in progress, at most the health score plus one.
func (d *Detector) startProbe(now time.Time) {
	d.nextProbe = now.Add(d.cfg.Interval)
	m := d.nextTarget()
	if m == nil {
		return
	}
	id := d.send(m, callDirect, 0, d.compose(m, KindPing), lateAnswerFactor*d.cfg.Interval)
	d.probes = append(d.probes, &probe{
		target: m, call: id, askHelpersAt: now.Add(d.scaled(d.cfg.Timeout)), evaluateAt: now.Add(d.scaled(d.cfg.Interval)),
	})
}

// nextTarget returns the host to probe next. The hosts are shuffled for each round, so the time until a host is probed is
// bounded and the hosts do not all probe it at once.
func (d *Detector) nextTarget() *member {
	for len(d.urgent) > 0 {
		// Several hosts may have received the same reports at the same time; a random choice divides the probes among them.
		i := d.rand.IntN(len(d.urgent))
		m := d.urgent[i]
		d.urgent = slices.Delete(d.urgent, i, i+1)
		if !m.State.gone() && (m.deathReport != nil || m.missed > 0 || m.suspicion != nil && m.suspicion.expired) {
			return m
		}
	}
	for range 2 {
		for d.nextInOrder < len(d.probeOrder) {
			m := d.probeOrder[d.nextInOrder]
			d.nextInOrder++
			if !m.State.gone() {
				return m
			}
		}
		d.probeOrder, d.nextInOrder = d.probeOrder[:0], 0
		for _, m := range d.table.all {
			if !m.State.gone() {
				d.probeOrder = append(d.probeOrder, m)
			}
		}
		d.rand.Shuffle(len(d.probeOrder), func(i, j int) { d.probeOrder[i], d.probeOrder[j] = d.probeOrder[j], d.probeOrder[i] })
	}
	return nil
}

// addToRound inserts a host that became live at a random position of the current round.
func (d *Detector) addToRound(m *member) {
	d.probeOrder = slices.DeleteFunc(d.probeOrder[d.nextInOrder:], func(o *member) bool { return o == m || o.State.gone() })
	d.nextInOrder = 0
	d.probeOrder = slices.Insert(d.probeOrder, d.rand.IntN(len(d.probeOrder)+1), m)
}

// probeSoon schedules a host to be probed before the others.
func (d *Detector) probeSoon(m *member) {
	if len(d.urgent) < maxUrgent && !slices.Contains(d.urgent, m) {
		d.urgent = append(d.urgent, m)
	}
}

func (d *Detector) checkProbes(now time.Time) {
	for _, p := range slices.Clone(d.probes) {
		if !p.helpersAsked && !now.Before(p.askHelpersAt) {
			d.askHelpers(p)
		}
		if !now.Before(p.evaluateAt) {
			d.endProbe(now, p)
		}
	}
}

// removeProbe removes a probe and reports whether it was in progress.
func (d *Detector) removeProbe(call uint64) bool {
	n := len(d.probes)
	d.probes = slices.DeleteFunc(d.probes, func(p *probe) bool { return p.call == call })
	return len(d.probes) < n
}

// askHelpers asks other hosts to probe the target.
func (d *Detector) askHelpers(p *probe) {
	p.helpersAsked = true
	for _, m := range d.chooseHelpers(p.target) {
		msg := d.compose(m, KindPingRequest)
		msg.Target = p.target.Host
		d.sendTo(m.Host, m.Address, call{kind: callPingRequest, to: m, probe: p}, msg, d.cfg.Interval)
		p.helperCount++
	}
}

// chooseHelpers returns one host in the target's region, one in a region that is neither the target's nor this host's,
// and random others, so that a broken link between two regions does not make the target look dead.
func (d *Detector) chooseHelpers(target *member) []*member {
	pool := d.randomLive(len(d.table.all), target)
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
	return append(out, pool[:min(helpersPerProbe-len(out), len(pool))]...)
}

// endProbe evaluates a probe whose target gave no direct answer in time.
func (d *Detector) endProbe(now time.Time, p *probe) {
	d.removeProbe(p.call)
	m := p.target
	if m.State.gone() {
		return
	}
	if p.helpersAnswered < p.helperCount || p.helperCount == 0 {
		// Helpers did not answer either, so the fault may be on this host.
		d.adjustHealth(1)
	}
	if !p.reachedIndirectly {
		d.suspect(now, m, d.self.Host)
		if s := m.suspicion; s != nil && s.expired {
			d.apply(now, Update{Host: m.Host, Version: m.Version, State: Dead}, false)
		}
		return
	}
	m.missed++
	if m.missed == 1 {
		d.probeSoon(m)
		m.firstMissed = now
		return
	}
	d.updatePath(m)
}

// updatePath sets the path of a host that missed two direct probes in a row but answers helpers: PathOneWay if its own
// probes have arrived here since, otherwise PathIndirect.
func (d *Detector) updatePath(m *member) {
	switch {
	case m.missed < 2 || m.State.gone():
	case m.lastRequest.After(m.firstMissed):
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

// send emits a Send to a member and records the purpose of the call. It returns the id of the call.
func (d *Detector) send(to *member, kind callKind, request uint64, msg Message, timeout time.Duration) uint64 {
	return d.sendTo(to.Host, to.Address, call{kind: kind, to: to, request: request}, msg, timeout)
}

func (d *Detector) sendTo(host fleet.HostID, address string, c call, msg Message, timeout time.Duration) uint64 {
	d.lastCall++
	d.calls[d.lastCall] = c
	d.emit(Send{Call: d.lastCall, To: host, Address: address, Message: msg, Timeout: timeout})
	return d.lastCall
}

// Answer handles the answer to a Send.
func (d *Detector) Answer(now time.Time, id uint64, msg Message) []Effect {
	c, ok := d.calls[id]
	if !ok || !msg.valid() || msg.Kind < KindAck {
		return d.Failed(now, id)
	}
	delete(d.calls, id)
	if d.self.State == Left {
		return d.takeEffects()
	}
	d.joined = true
	changed := d.merge(now, &msg, c.kind == callSync)
	reached := msg.Kind == KindAck && !msg.Leaving
	switch c.kind {
	case callDirect:
		if !reached || msg.From != c.to.Host {
			d.directFailed(id)
			break
		}
		// Even a late answer shows that the path works.
		c.to.missed = 0
		d.setPath(c.to, PathDirect)
		if d.removeProbe(id) {
			d.adjustHealth(-1)
		}
	case callPingRequest:
		c.probe.helpersAnswered++
		c.probe.reachedIndirectly = c.probe.reachedIndirectly || reached
	case callRelay:
		d.answerRelay(c.request, reached && msg.From == c.to.Host)
	case callSync:
		d.endSync(now, &msg, changed)
	case callOther:
	default:
		panic("membership: unknown kind of call")
	}
	return d.takeEffects()
}

// Failed handles the failure of a Send.
func (d *Detector) Failed(_ time.Time, id uint64) []Effect {
	c, ok := d.calls[id]
	delete(d.calls, id)
	if !ok || d.self.State == Left {
		return d.takeEffects()
	}
	switch c.kind {
	case callDirect:
		d.directFailed(id)
	case callRelay:
		d.answerRelay(c.request, false)
	case callPingRequest, callSync, callOther:
	default:
		panic("membership: unknown kind of call")
	}
	return d.takeEffects()
}

// directFailed asks the helpers at once when the direct probe fails before askHelpersAt.
func (d *Detector) directFailed(id uint64) {
	for _, p := range d.probes {
		if p.call == id && !p.helpersAsked {
			d.askHelpers(p)
		}
	}
}
