package warm

import (
	"time"

	"toucanway/core/fleet"
)

const (
	// minGaps is the number of gaps below which the histogram is not used.
	minGaps = 6
	// maxTargets bounds the number of known targets; the one called least recently is dropped.
	maxTargets = 4096
	// maxFollowUps bounds the follow-ups kept for one target.
	maxFollowUps = 4
	// followUpWindow is the time after a call within which a call of another target counts as its follow-up.
	followUpWindow = 5 * time.Minute
	day            = 24 * time.Hour
	// slotsPerDay is the number of slots into which a day is divided, slotLength the length of one.
	slotsPerDay = 96
	slotLength  = day / slotsPerDay
	// minDays is the number of days of observation before the time of day is used.
	minDays = 3
)

// Costs holds the costs of an idle hour of one replica and of one cold start, in the same unit.
type Costs struct {
	IdlePerHour float64
	ColdStart   float64
	// LoadTime is the time that a cold start takes. A preload has to start at least that long before the call.
	LoadTime time.Duration
}

// Tracker records the calls of all targets. Since hosts share no clock, the time of day is the time since the first call
// modulo 24 hours. Tracker is not safe for concurrent use.
type Tracker struct {
	cfg     Settings
	epoch   time.Time
	targets map[fleet.Target]*history
	recent  []recentCall
}

// history is the record of one target's calls and unloads.
type history struct {
	firstCall, lastCall time.Time
	gaps                histogram
	// callDays counts, for each slot of the day, the days with a call in it; lastCallDay is the last of these days.
	callDays    [slotsPerDay]float64
	lastCallDay [slotsPerDay]int32
	followUps   []followUp
	// activations counts the calls that came longer than followUpWindow after the previous one.
	activations float64
	// unloads holds the times of the unloads within the last hour.
	unloads []time.Time
}

// followUp is a target that was called shortly after another one; count is how often.
type followUp struct {
	target fleet.Target
	count  float64
}

type recentCall struct {
	target fleet.Target
	at     time.Time
}

// New returns a tracker without calls.
func New(cfg Settings) *Tracker {
	if cfg.KeepTime <= 0 {
		cfg.KeepTime = DefaultKeepTime
	}
	if cfg.MaxUnloadsPerHour <= 0 {
		cfg.MaxUnloadsPerHour = DefaultMaxUnloadsPerHour
	}
	return &Tracker{cfg: cfg, targets: map[fleet.Target]*history{}}
}

// Observe records that a target was called since the last report.
func (t *Tracker) Observe(now time.Time, target fleet.Target) {
	if t.epoch.IsZero() {
		t.epoch = now
	}
	h := t.targets[target]
	if h == nil {
		if len(t.targets) >= maxTargets {
			t.dropLeastRecent()
		}
		h = &history{firstCall: now}
		t.targets[target] = h
	}
	if !h.lastCall.IsZero() && now.After(h.lastCall) {
		h.gaps.add(now.Sub(h.lastCall))
	}
	activated := h.lastCall.IsZero() || now.Sub(h.lastCall) > followUpWindow
	h.lastCall = now
	d, slot := t.slotOf(now)
	if h.callDays[slot] == 0 || h.lastCallDay[slot] != d {
		h.callDays[slot]++
		h.lastCallDay[slot] = d
	}
	if activated {
		h.activations++
		t.recordFollowUp(now, target)
	}
}

// slotOf returns the day, counted from the first call, and the slot within it.
func (t *Tracker) slotOf(now time.Time) (int32, int) {
	e := now.Sub(t.epoch)
	return int32(e / day), int(e % day / slotLength)
}

// recordFollowUp counts a target that became active as a follow-up of those that became active shortly before.
func (t *Tracker) recordFollowUp(now time.Time, target fleet.Target) {
	for len(t.recent) > 0 && now.Sub(t.recent[0].at) > followUpWindow {
		t.recent = t.recent[1:]
	}
	for _, r := range t.recent {
		if r.target == target || r.target.Model == target.Model {
			continue
		}
		if previous := t.targets[r.target]; previous != nil {
			previous.addFollowUp(target)
		}
	}
	const maxRecent = 64
	if len(t.recent) >= maxRecent {
		t.recent = t.recent[1:]
	}
	t.recent = append(t.recent, recentCall{target: target, at: now})
}

func (h *history) addFollowUp(target fleet.Target) {
	rarest := 0
	for i := range h.followUps {
		if h.followUps[i].target == target {
			h.followUps[i].count++
			return
		}
		if h.followUps[i].count < h.followUps[rarest].count {
			rarest = i
		}
	}
	if len(h.followUps) < maxFollowUps {
		h.followUps = append(h.followUps, followUp{target: target, count: 1})
		return
	}
	// The rarest follow-up is replaced only once its count has fallen to 0, so that a single other call does not replace a
	// frequent one.
	if h.followUps[rarest].count--; h.followUps[rarest].count <= 0 {
		h.followUps[rarest] = followUp{target: target, count: 1}
	}
}

func (t *Tracker) dropLeastRecent() {
	var oldest fleet.Target
	var at time.Time
	for k, h := range t.targets {
		if at.IsZero() || h.lastCall.Before(at) || h.lastCall.Equal(at) && k.String() < oldest.String() {
			oldest, at = k, h.lastCall
		}
	}
	delete(t.targets, oldest)
}

// LastCall returns the time of the last call, and whether there was one.
func (t *Tracker) LastCall(target fleet.Target) (time.Time, bool) {
	h := t.targets[target]
	if h == nil {
		return time.Time{}, false
	}
	return h.lastCall, true
}

// WorthKeeping reports whether keeping an idle target loaded outweighs its idle cost at present. A target that is worth
// preloading is kept, too, or else it would be unloaded again before the call.
func (t *Tracker) WorthKeeping(now time.Time, target fleet.Target, c Costs) bool {
	h := t.targets[target]
	if h == nil {
		return false
	}
	age := now.Sub(h.lastCall)
	worth := age < t.cfg.KeepTime
	if t.cfg.Policy != PolicyFixed && h.gaps.total >= minGaps {
		worth = h.gaps.bestSaving(age, 0, c) > 0
	}
	return worth || t.WorthPreloading(now, target, c)
}

// WorthPreloading reports whether loading a target before its next call outweighs the costs.
func (t *Tracker) WorthPreloading(now time.Time, target fleet.Target, c Costs) bool {
	h := t.targets[target]
	if h == nil || t.cfg.Policy != PolicyPrediction {
		return false
	}
	if t.expectedAsFollowUp(now, target, c) {
		return true
	}
	if h.gaps.total < minGaps {
		return false
	}
	// A preload uses as much of the weight store as a cold start, so the saving has to exceed half of a cold start's cost.
	return h.gaps.bestSaving(now.Sub(h.lastCall), c.LoadTime, c) > c.ColdStart/2 || t.expectedAtTimeOfDay(now, h, c)
}

// expectedAtTimeOfDay reports whether the fraction of earlier days with a call at this time of day is high enough to preload the
// target. It considers the slot that contains the time at which a load started now would end.
func (t *Tracker) expectedAtTimeOfDay(now time.Time, h *history, c Costs) bool {
	d, slot := t.slotOf(now.Add(c.LoadTime))
	first, _ := t.slotOf(h.firstCall)
	if d-first < minDays {
		return false
	}
	if h.lastCallDay[slot] == d && h.callDays[slot] > 0 {
		return false
	}
	p := min(1, h.callDays[slot]/float64(d-first))
	return c.ColdStart*p > c.IdlePerHour*slotLength.Hours()
}

// expectedAsFollowUp reports whether another target was called recently whose calls are followed by calls of this one often
// enough to preload it.
func (t *Tracker) expectedAsFollowUp(now time.Time, target fleet.Target, c Costs) bool {
	for _, r := range t.recent {
		previous := t.targets[r.target]
		if previous == nil || now.Sub(r.at) > followUpWindow || previous.activations < minGaps {
			continue
		}
		for _, f := range previous.followUps {
			p := min(1, f.count/previous.activations)
			if f.target == target && c.ColdStart*p > c.IdlePerHour*followUpWindow.Hours() && p > 0.3 {
				return true
			}
		}
	}
	return false
}

// CallProbability returns the probability of a call within a horizon, given the time since the last call.
func (t *Tracker) CallProbability(now time.Time, target fleet.Target, horizon time.Duration) float64 {
	h := t.targets[target]
	if h == nil {
		return 0
	}
	age := now.Sub(h.lastCall)
	if h.gaps.total < minGaps {
		return min(1, float64(horizon)/float64(age+horizon))
	}
	remaining := h.gaps.countAbove(age)
	if remaining <= 0 {
		return 0
	}
	return 1 - h.gaps.countAbove(age+horizon)/remaining
}

// MayUnload reports whether a target may be unloaded without exceeding MaxUnloadsPerHour.
func (t *Tracker) MayUnload(now time.Time, target fleet.Target) bool {
	h := t.targets[target]
	if h == nil {
		return true
	}
	for len(h.unloads) > 0 && now.Sub(h.unloads[0]) >= time.Hour {
		h.unloads = h.unloads[1:]
	}
	return len(h.unloads) < t.cfg.MaxUnloadsPerHour
}

// ObserveUnload records that a target is unloaded because it is idle.
func (t *Tracker) ObserveUnload(now time.Time, target fleet.Target) {
	if h := t.targets[target]; h != nil {
		h.unloads = append(h.unloads, now)
	}
}
