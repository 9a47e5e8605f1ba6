package membership

import (
	"math/rand/v2"
	"slices"
	"time"

	"toucanway/core/fleet"
)

// Detector is one host's view of the others. It is not safe for concurrent use. Methods that take the time return what
// has to be done about it.
type Detector struct {
	cfg    Settings
	rand   *rand.Rand
	self   Member
	t      table
	gossip gossip
	// health is 0 while this host gets its answers in time; each step lengthens its timeouts.
	health int
	// order is the shuffled list of hosts to probe, urgent those to be probed before them.
	order    []*member
	next     int
	urgent   []*member
	suspects []*member
	probes   []*probe
	calls    map[uint64]call
	lastCall uint64
	relays   map[uint64]*relay
	refused  uint64
	// joined is set by the first answer of another host; differs names a host that holds other hosts for alive.
	joined  bool
	differs fleet.HostID

	// refuted is when other hosts were last told at once that this one lives.
	refuted time.Time

	// started is when this host began with an empty table.
	started time.Time

	nextProbe, nextSync, nextReconnect, nextPrune time.Time
	// due is when the next call of Tick was due at the end of the last one; a much later call shows a pause.
	due time.Time

	effects []Effect
}

// pruneInterval is the time between searches for hosts that are gone for longer than Settings.Retention.
const pruneInterval = time.Minute

// New returns a detector that knows no other host yet.
func New(now time.Time, cfg Settings) *Detector {
	cfg.setDefaults()
	d := &Detector{
		cfg: cfg, rand: cfg.Rand, t: newTable(), calls: map[uint64]call{}, relays: map[uint64]*relay{},
		self: Member{Host: cfg.Host, Version: Version{Life: cfg.Life}, Address: cfg.Address, Place: cfg.Place},
	}
	// Hosts that start together would otherwise probe in step.
	d.nextProbe = now.Add(d.spread(cfg.Interval))
	d.nextSync = now
	d.nextReconnect = now.Add(cfg.ReconnectInterval/2 + d.spread(cfg.ReconnectInterval))
	d.nextPrune = now.Add(pruneInterval)
	d.due = d.nextProbe
	d.started = now
	d.announce()
	return d
}

func (d *Detector) spread(most time.Duration) time.Duration {
	return time.Duration(d.rand.Int64N(int64(most)))
}

// announce passes on this host's own record.
func (d *Detector) announce() { d.gossip.put(d.self.update(d.self.Version.Refutations == 0)) }

// Self returns this host's own record.
func (d *Detector) Self() Member { return d.self }

// Health returns how far this host lengthens its timeouts, between 0 and 8.
func (d *Detector) Health() int { return d.health }

// Refused returns the number of hosts that found no place in the table.
func (d *Detector) Refused() uint64 { return d.refused }

// Member returns another host's record and whether it is known.
func (d *Detector) Member(id fleet.HostID) (Member, bool) {
	if m, ok := d.t.byID[id]; ok {
		return m.Member, true
	}
	return Member{}, false
}

// Members returns the records of all other hosts, those gone included.
func (d *Detector) Members() []Member {
	out := make([]Member, 0, len(d.t.all))
	for _, m := range d.t.all {
		out = append(out, m.Member)
	}
	return out
}

// SetLife starts a new life of this host's record if the incarnation is higher than the one before.
func (d *Detector) SetLife(life fleet.Incarnation) {
	if life > d.self.Version.Life && d.self.State == Alive {
		d.self.Version = Version{Life: life}
		d.announce()
	}
}

// hosts returns the size of the group, this host included.
func (d *Detector) hosts() int { return d.t.live + 1 }

func (d *Detector) digest() uint32 { return d.t.digest + mark(d.self.Host, d.self.Version) }

// scaled lengthens a time by this host's health.
func (d *Detector) scaled(t time.Duration) time.Duration { return t * time.Duration(1+d.health) }

func (d *Detector) adjustHealth(by int) { d.health = min(max(d.health+by, 0), maxHealth) }

func (d *Detector) emit(e Effect) { d.effects = append(d.effects, e) }

func (d *Detector) drain() []Effect {
	out := d.effects
	d.effects = nil
	return out
}

// NextTick returns when Tick has to be called at the latest.
func (d *Detector) NextTick() time.Time {
	next := d.nextProbe
	if d.self.State == Left {
		return next
	}
	sooner := func(t time.Time) {
		if t.Before(next) {
			next = t
		}
	}
	sooner(d.nextReconnect)
	sooner(d.nextPrune)
	if d.wantsSync() {
		sooner(d.nextSync)
	}
	for _, p := range d.probes {
		sooner(p.due())
	}
	for _, r := range d.relays {
		sooner(r.refuseAt)
	}
	for _, m := range d.suspects {
		if !m.suspicion.checking {
			sooner(d.suspectUntil(m))
		}
	}
	return next
}

// Tick carries out what is due.
func (d *Detector) Tick(now time.Time) []Effect {
	if d.self.State == Left {
		d.nextProbe = now.Add(d.cfg.Interval)
		return d.drain()
	}
	if late := now.Sub(d.due); late > d.cfg.Interval {
		d.resume(now, late)
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
	d.due = d.NextTick()
	return d.drain()
}

// resume takes up work after a pause of this process, during which answers may have been missed: nothing that was due
// meanwhile counts against another host.
func (d *Detector) resume(now time.Time, late time.Duration) {
	d.health = maxHealth
	d.probes = nil
	d.nextProbe = now
	for _, m := range d.suspects {
		m.suspicion.since = m.suspicion.since.Add(late)
	}
}

// prune forgets hosts that have been gone for long.
func (d *Detector) prune(now time.Time) {
	d.nextPrune = now.Add(pruneInterval)
	for _, m := range slices.Clone(d.t.all) {
		if m.State.gone() && now.Sub(m.since) >= d.cfg.Retention {
			d.t.drop(m)
			d.gossip.remove(m.Host)
		}
	}
}

// Leave tells other hosts that this one leaves; it answers no more probes as a member afterwards.
func (d *Detector) Leave(now time.Time) []Effect {
	if d.self.State == Left {
		return nil
	}
	d.self.State = Left
	d.probes = nil
	for _, m := range d.pick(helpers+1, nil) {
		d.send(m, callOther, 0, d.compose(m, KindPing), d.cfg.Interval)
	}
	return d.drain()
}

// pick returns up to n live hosts at random, without the one given.
func (d *Detector) pick(n int, without *member) []*member {
	var out []*member
	seen := 0
	for _, m := range d.t.all {
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
