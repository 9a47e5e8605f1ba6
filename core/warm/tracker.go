package warm

import (
	"time"

	"toucanway/core/fleet"
)

const (
	// minGaps is the number of gaps below which the histogram is not trusted.
	minGaps = 6
	// maxTargets bounds the table; the target called least recently is dropped.
	maxTargets = 4096
	// maxFollowers bounds the followers kept of one target.
	maxFollowers = 4
	// followWindow is the time within which a call of another target counts as its follow-up.
	followWindow = 5 * time.Minute
	day          = 24 * time.Hour
	daySlots     = 96
	daySlot      = day / daySlots
	// minDays is the number of days of observation before the time of day counts.
	minDays = 3
)

// Costs weighs an idle hour of one replica against one cold start, in the same unit.
type Costs struct {
	IdleHour float64
	Cold     float64
	// Load is the time that a cold start takes, which is the least useful lead of a load ahead of a call.
	Load time.Duration
}

// Tracker learns the calls of all targets. Time of day is elapsed time modulo 24 hours since the first call, since hosts
// share no clock. It is not safe for concurrent use.
type Tracker struct {
	cfg     Settings
	epoch   time.Time
	targets map[fleet.Target]*history
	recent  []recentCall
}

type history struct {
	first, last time.Time
	gaps        histogram
	// days counts by time of day the days with a call; lastDay is the day last counted in each slot.
	days      [daySlots]float64
	lastDay   [daySlots]int32
	followers []follower
	calls     float64
	idled     []time.Time
}

type follower struct {
	target fleet.Target
	count  float64
}

type recentCall struct {
	target fleet.Target
	at     time.Time
}

// New returns a tracker without calls.
func New(cfg Settings) *Tracker {
	if cfg.Fixed <= 0 {
		cfg.Fixed = DefaultFixed
	}
	if cfg.MaxCycles <= 0 {
		cfg.MaxCycles = DefaultMaxCycles
	}
	return &Tracker{cfg: cfg, targets: map[fleet.Target]*history{}}
}

// Observe counts calls of a target that arrived since the last report.
func (t *Tracker) Observe(now time.Time, target fleet.Target) {
	if t.epoch.IsZero() {
		t.epoch = now
	}
	h := t.targets[target]
	if h == nil {
		if len(t.targets) >= maxTargets {
			t.dropOldest()
		}
		h = &history{first: now}
		t.targets[target] = h
	}
	if !h.last.IsZero() && now.After(h.last) {
		h.gaps.add(now.Sub(h.last))
	}
	fresh := h.last.IsZero() || now.Sub(h.last) > followWindow
	h.last = now
	d, slot := t.dayOf(now)
	if h.days[slot] == 0 || h.lastDay[slot] != d {
		h.days[slot]++
		h.lastDay[slot] = d
	}
	if fresh {
		h.calls++
		t.follow(now, target)
	}
}

func (t *Tracker) dayOf(now time.Time) (int32, int) {
	e := now.Sub(t.epoch)
	return int32(e / day), int(e % day / daySlot)
}

// follow counts a target that became active as the follow-up of those active shortly before.
func (t *Tracker) follow(now time.Time, target fleet.Target) {
	for len(t.recent) > 0 && now.Sub(t.recent[0].at) > followWindow {
		t.recent = t.recent[1:]
	}
	for _, r := range t.recent {
		if r.target == target || r.target.Model == target.Model {
			continue
		}
		if lead := t.targets[r.target]; lead != nil {
			lead.followed(target)
		}
	}
	const maxRecent = 64
	if len(t.recent) >= maxRecent {
		t.recent = t.recent[1:]
	}
	t.recent = append(t.recent, recentCall{target: target, at: now})
}

func (h *history) followed(target fleet.Target) {
	least := 0
	for i := range h.followers {
		if h.followers[i].target == target {
			h.followers[i].count++
			return
		}
		if h.followers[i].count < h.followers[least].count {
			least = i
		}
	}
	if len(h.followers) < maxFollowers {
		h.followers = append(h.followers, follower{target: target, count: 1})
		return
	}
	// The rarest follower gives way step by step, so that a frequent one is not lost to a single other call.
	if h.followers[least].count--; h.followers[least].count <= 0 {
		h.followers[least] = follower{target: target, count: 1}
	}
}

func (t *Tracker) dropOldest() {
	var oldest fleet.Target
	var at time.Time
	for k, h := range t.targets {
		if at.IsZero() || h.last.Before(at) || h.last.Equal(at) && k.String() < oldest.String() {
			oldest, at = k, h.last
		}
	}
	delete(t.targets, oldest)
}

// Last returns the time of the last call and whether there was one.
func (t *Tracker) Last(target fleet.Target) (time.Time, bool) {
	h := t.targets[target]
	if h == nil {
		return time.Time{}, false
	}
	return h.last, true
}

// Keep reports whether an idle loaded target is worth its idle cost at present. A target that would be loaded ahead is
// kept, or else it would be unloaded again before the call.
func (t *Tracker) Keep(now time.Time, target fleet.Target, c Costs) bool {
	h := t.targets[target]
	if h == nil {
		return false
	}
	age := now.Sub(h.last)
	worth := age < t.cfg.Fixed
	if t.cfg.Policy != PolicyFixed && h.gaps.total >= minGaps {
		worth = h.gaps.profit(age, 0, c) > 0
	}
	return worth || t.Ahead(now, target, c)
}

// Ahead reports whether an unloaded target is worth loading before its next call.
func (t *Tracker) Ahead(now time.Time, target fleet.Target, c Costs) bool {
	h := t.targets[target]
	if h == nil || t.cfg.Policy != PolicyPrediction {
		return false
	}
	if t.followsSoon(now, target, c) {
		return true
	}
	if h.gaps.total < minGaps {
		return false
	}
	// The load itself costs the same as a cold start's share of the store, so half of the saving has to remain.
	return h.gaps.profit(now.Sub(h.last), c.Load, c) > c.Cold/2 || t.ahead(now, h, c)
}

// ahead judges by the time of day: the share of earlier days with a call in the slot that begins within the load time.
func (t *Tracker) ahead(now time.Time, h *history, c Costs) bool {
	d, slot := t.dayOf(now.Add(c.Load))
	first, _ := t.dayOf(h.first)
	if d-first < minDays {
		return false
	}
	if h.lastDay[slot] == d && h.days[slot] > 0 {
		return false
	}
	p := min(1, h.days[slot]/float64(d-first))
	return c.Cold*p > c.IdleHour*daySlot.Hours()
}

// followsSoon judges by calls of other targets that usually come before this one.
func (t *Tracker) followsSoon(now time.Time, target fleet.Target, c Costs) bool {
	for _, r := range t.recent {
		lead := t.targets[r.target]
		if lead == nil || now.Sub(r.at) > followWindow || lead.calls < minGaps {
			continue
		}
		for _, f := range lead.followers {
			p := min(1, f.count/lead.calls)
			if f.target == target && c.Cold*p > c.IdleHour*followWindow.Hours() && p > 0.3 {
				return true
			}
		}
	}
	return false
}

// ReturnChance returns the probability of a call within a horizon, given the time since the last one.
func (t *Tracker) ReturnChance(now time.Time, target fleet.Target, horizon time.Duration) float64 {
	h := t.targets[target]
	if h == nil {
		return 0
	}
	age := now.Sub(h.last)
	if h.gaps.total < minGaps {
		return min(1, float64(horizon)/float64(age+horizon))
	}
	rest := h.gaps.beyond(age)
	if rest <= 0 {
		return 0
	}
	return 1 - h.gaps.beyond(age+horizon)/rest
}

// MayIdle reports whether a target may become idle without exceeding the cycles of an hour.
func (t *Tracker) MayIdle(now time.Time, target fleet.Target) bool {
	h := t.targets[target]
	if h == nil {
		return true
	}
	for len(h.idled) > 0 && now.Sub(h.idled[0]) >= time.Hour {
		h.idled = h.idled[1:]
	}
	return len(h.idled) < t.cfg.MaxCycles
}

// Idled counts that a target became idle.
func (t *Tracker) Idled(now time.Time, target fleet.Target) {
	if h := t.targets[target]; h != nil {
		h.idled = append(h.idled, now)
	}
}
