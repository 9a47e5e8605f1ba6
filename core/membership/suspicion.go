package membership

import (
	"math"
	"slices"
	"time"

	"toucanway/core/fleet"
)

// suspicion is the period in which a suspected host can refute the suspicion.
type suspicion struct {
	since time.Time
	// reporters are the hosts that suspect it, at most maxConfirmations+1.
	reporters []fleet.HostID
	// expired is set once the period is over; if this host's next probe fails too, the member is marked dead.
	expired bool
}

// suspect records that a probe of the member failed.
func (d *Detector) suspect(now time.Time, m *member, by fleet.HostID) {
	d.apply(now, Update{Host: m.Host, Version: m.Version, State: Suspect, ReportedBy: by}, false)
}

// restartSuspicion starts the period of a suspicion again after a message from the member: a slow host needs longer to
// refute, and a dead host sends no messages.
func (m *member) restartSuspicion(now time.Time) {
	if m.suspicion != nil {
		m.suspicion.since = now
		m.suspicion.expired = false
	}
}

// confirmSuspicion records that a further host suspects the member.
func (d *Detector) confirmSuspicion(m *member, by fleet.HostID) {
	s := m.suspicion
	if by == "" || len(s.reporters) > maxConfirmations || slices.Contains(s.reporters, by) {
		return
	}
	s.reporters = append(s.reporters, by)
	u := m.update(false)
	u.ReportedBy = by
	d.gossip.enqueue(u)
}

// suspicionDeadline returns when the suspicion of a host expires. The duration grows with the logarithm of the group
// size, like the time that the suspicion and its refutation need to reach all hosts. A suspicion that no other host
// confirms lasts longer, since the fault may be on the suspecting host.
func (d *Detector) suspicionDeadline(m *member) time.Time {
	shortest := suspicionFactor * logSize(d.groupSize()) * float64(d.scaled(d.cfg.Interval))
	longest := unconfirmedFactor * shortest
	// A small group has fewer hosts that can confirm: all but the suspected host and the first reporter.
	needed := min(maxConfirmations, d.groupSize()-2)
	confirmed := 1.0
	if needed > 0 {
		confirmed = math.Log(float64(max(len(m.suspicion.reporters), 1))) / math.Log(float64(needed+1))
	}
	wait := longest - (longest-shortest)*min(confirmed, 1)
	return m.suspicion.since.Add(time.Duration(wait))
}

// checkSuspicions schedules one more probe of the hosts whose suspicion has expired, since their refutation may have been
// lost on its way here.
func (d *Detector) checkSuspicions(now time.Time) {
	for _, m := range d.suspects {
		if !m.suspicion.expired && !now.Before(d.suspicionDeadline(m)) {
			m.suspicion.expired = true
			d.probeSoon(m)
		}
	}
}
