package membership

import (
	"math/rand/v2"
	"slices"
	"time"

	"toucanway/core/fleet"
)

// Detector is one host's view of the states of the other hosts. It does no I/O: methods that take the current time
// return the effects that the caller has to carry out. It is not safe for concurrent use.
type Detector struct {
	cfg    Settings
	rand   *rand.Rand
	self   Member
	table  table
	gossip gossip
	// health is the local health score: 0 while this host gets answers in time; each step above lengthens its timeouts.
	health int
	// probeOrder is the shuffled list of hosts to probe in this round, urgent the hosts to probe before them.
	probeOrder  []*member
	nextInOrder int
	urgent      []*member
	suspects    []*member
	probes      []*probe
	calls       map[uint64]call
	lastCall    uint64
	relays      map[uint64]*relay
	refused     uint64
	// joined is set by the first message from another host. mismatched is a host whose digest differs from this host's.
	joined     bool
	mismatched fleet.HostID

	// lastRefutation is when this host last sent a refutation to other hosts without waiting for the next probe.
	lastRefutation time.Time

	// started is when this detector was created, with an empty table.
	started time.Time

	nextProbe, nextSync, nextReconnect, nextPrune time.Time
	// expectedTick is when the next Tick is due, as computed by the last one. A call more than an interval later means that
	// the process was suspended.
	expectedTick time.Time

	effects []Effect
}

// pruneInterval is the time between searches for hosts that have been dead or left for longer than Settings.Retention.
const pruneInterval = time.Minute

// New returns a detector that knows no other host.
func New(now time.Time, cfg Settings) *Detector {
	cfg.setDefaults()
	d := &Detector{
		cfg: cfg, rand: cfg.Rand, table: newTable(), calls: map[uint64]call{}, relays: map[uint64]*relay{},
		self: Member{Host: cfg.Host, Version: Version{Incarnation: cfg.Incarnation}, Address: cfg.Address, Place: cfg.Place},
	}
	// The random offset keeps hosts that start at the same time from probing at the same moments.
	d.nextProbe = now.Add(d.randomDuration(cfg.Interval))
	d.nextSync = now
	d.nextReconnect = now.Add(cfg.ReconnectInterval/2 + d.randomDuration(cfg.ReconnectInterval))
	d.nextPrune = now.Add(pruneInterval)
	d.expectedTick = d.nextProbe
	d.started = now
	d.announce()
	return d
}

func (d *Detector) randomDuration(limit time.Duration) time.Duration {
	return time.Duration(d.rand.Int64N(int64(limit)))
}

// announce queues this host's own record for the other hosts.
func (d *Detector) announce() { d.gossip.enqueue(d.self.update(d.self.Version.Refutations == 0)) }

// Self returns this host's own record.
func (d *Detector) Self() Member { return d.self }

// Health returns the local health score, from 0 to 8; timeouts are multiplied by the score plus one.
func (d *Detector) Health() int { return d.health }

// Refused returns the number of times a new host was rejected because the table was full.
func (d *Detector) Refused() uint64 { return d.refused }

// Member returns another host's record and whether it is known.
func (d *Detector) Member(id fleet.HostID) (Member, bool) {
	if m, ok := d.table.byID[id]; ok {
		return m.Member, true
	}
	return Member{}, false
}

// Members returns the records of all other hosts, including dead ones and those that left.
func (d *Detector) Members() []Member {
	out := make([]Member, 0, len(d.table.all))
	for _, m := range d.table.all {
		out = append(out, m.Member)
	}
	return out
}

// SetIncarnation sets this host's incarnation if it is higher than the current one. It has no effect after Leave.
func (d *Detector) SetIncarnation(incarnation fleet.Incarnation) {
	if incarnation > d.self.Version.Incarnation && d.self.State == Alive {
		d.self.Version = Version{Incarnation: incarnation}
		d.announce()
	}
}

// groupSize returns the number of live hosts, including this one.
func (d *Detector) groupSize() int { return d.table.live + 1 }

func (d *Detector) digest() uint32 { return d.table.digest + hashMember(d.self.Host, d.self.Version) }

// scaled lengthens a duration according to this host's health score.
func (d *Detector) scaled(t time.Duration) time.Duration { return t * time.Duration(1+d.health) }

func (d *Detector) adjustHealth(by int) { d.health = min(max(d.health+by, 0), maxHealth) }

func (d *Detector) emit(e Effect) { d.effects = append(d.effects, e) }

func (d *Detector) takeEffects() []Effect {
	out := d.effects
	d.effects = nil
	return out
}

// NextTick returns the latest time at which Tick has to be called.
func (d *Detector) NextTick() time.Time {
	next := d.nextProbe
	if d.self.State == Left {
		return next
	}
	consider := func(t time.Time) {
		if t.Before(next) {
			next = t
		}
	}
	consider(d.nextReconnect)
	consider(d.nextPrune)
	if d.wantsSync() {
		consider(d.nextSync)
	}
	for _, p := range d.probes {
		consider(p.nextDeadline())
	}
	for _, r := range d.relays {
		consider(r.nackAt)
	}
	for _, m := range d.suspects {
		if !m.suspicion.expired {
			consider(d.suspicionDeadline(m))
		}
	}
	return next
}

// Tick starts and ends the probes, relays, suspicions and table comparisons that are due.
func (d *Detector) Tick(now time.Time) []Effect {
	if d.self.State == Left {
		d.nextProbe = now.Add(d.cfg.Interval)
		return d.takeEffects()
	}
	if late := now.Sub(d.expectedTick); late > d.cfg.Interval {
		d.resumeAfterSuspension(now, late)
	}
	d.checkRelays(now)
	d.checkProbes(now)
	d.checkSuspicions(now)
	if !now.Before(d.nextProbe) {
		d.startProbe(now)
	}
	if d.wantsSync() && !now.Before(d.nextSync) {
		d.startSync(now)
	}
	if !now.Before(d.nextReconnect) {
		d.reconnect(now)
	}
	if !now.Before(d.nextPrune) {
		d.prune(now)
	}
	d.expectedTick = d.NextTick()
	return d.takeEffects()
}

// resumeAfterSuspension continues after this process was suspended for the given time. Answers may have been missed
// meanwhile, so probes in flight are dropped, suspicions last that much longer and the health score is set to its maximum.
func (d *Detector) resumeAfterSuspension(now time.Time, late time.Duration) {
	d.health = maxHealth
	d.probes = nil
	d.nextProbe = now
	for _, m := range d.suspects {
		m.suspicion.since = m.suspicion.since.Add(late)
	}
}

// prune removes hosts that have been dead or left for Settings.Retention.
func (d *Detector) prune(now time.Time) {
	d.nextPrune = now.Add(pruneInterval)
	for _, m := range slices.Clone(d.table.all) {
		if m.State.gone() && now.Sub(m.since) >= d.cfg.Retention {
			d.table.remove(m)
			d.gossip.remove(m.Host)
		}
	}
}

// Leave notifies a few other hosts that this one leaves. Afterwards this host answers requests with KindNack.
func (d *Detector) Leave(now time.Time) []Effect {
	if d.self.State == Left {
		return nil
	}
	d.self.State = Left
	d.probes = nil
	for _, m := range d.randomLive(helpersPerProbe+1, nil) {
		d.send(m, callOther, 0, d.compose(m, KindPing), d.cfg.Interval)
	}
	return d.takeEffects()
}

// randomLive returns up to n random live hosts, never the given one.
func (d *Detector) randomLive(n int, without *member) []*member {
	var out []*member
	seen := 0
	for _, m := range d.table.all {
		if m.State.gone() || m == without {
			continue
		}
		seen++
		if len(out) < n {
			out = append(out, m)
		} else if i := d.rand.IntN(seen); i < n {
			out[i] = m
		}
	}
	return out
}
