package membership

import (
	"math"
	"slices"
	"time"

	"toucanway/core/fleet"
)

// suspicion is the time in which a suspected host can refute.
type suspicion struct {
	since time.Time
	// by are the hosts that suspect, at most sharedSuspicions+1.
	by []fleet.HostID
	// checking is set once the time is over; the next failed probe by this host is the verdict.
	checking bool
}

// suspect notes that a probe by this host failed.
func (d *Detector) suspect(now time.Time, m *member, by fleet.HostID) {
	d.apply(now, Update{Host: m.Host, Version: m.Version, State: Suspect, By: by}, false)
}

// restart lets a suspicion begin anew after a sign of life: a host that is slow needs longer to refute, and a dead one
// gives none.
func (m *member) restart(now time.Time) {
	if m.suspicion != nil {
		m.suspicion.since = now
		m.suspicion.checking = false
	}
}

// share notes that a further host suspects a suspected one.
func (d *Detector) share(m *member, by fleet.HostID) {
	s := m.suspicion
	if by == "" || len(s.by) > sharedSuspicions || slices.Contains(s.by, by) {
		return
	}
	s.by = append(s.by, by)
	u := m.update(false)
	u.By = by
	d.gossip.put(u)
}

// suspectUntil returns when a suspected host is taken for dead. The time grows with the logarithm of the group's size,
// as the time does in which the suspicion and its refutation reach everyone. A suspicion that no other host shares
// lasts longer, since the fault may be the suspecting host's.
func (d *Detector) suspectUntil(m *member) time.Time {
	shortest := suspicionFactor * logSize(d.hosts()) * float64(d.scaled(d.cfg.Interval))
	longest := loneSuspicionFactor * shortest
	// A group too small for that many further hosts does with those it has, the suspected one and the first excepted.
	needed := min(sharedSuspicions, d.hosts()-2)
	shared := 1.0
	if needed > 0 {
		shared = math.Log(float64(max(len(m.suspicion.by), 1))) / math.Log(float64(needed+1))
	}
	wait := longest - (longest-shortest)*min(shared, 1)
	return m.suspicion.since.Add(time.Duration(wait))
}

// checkSuspicions has hosts probed once more whose time to refute is over, since their refutation may have been lost on
// its way here.
func (d *Detector) checkSuspicions(now time.Time) {
	for _, m := range d.suspects {
		if !m.suspicion.checking && !now.Before(d.suspectUntil(m)) {
			m.suspicion.checking = true
			d.hurry(m)
		}
	}
}
