package membership

import (
	"slices"
	"time"
)

// merge applies the records of a message and returns how many of them changed the table. Hosts that become known by an
// answer to KindSync (sync is set) are not gossiped; changes of known hosts are.
func (d *Detector) merge(now time.Time, msg *Message, sync bool) int {
	sender := Update{Host: msg.From, Version: msg.Version}
	if msg.Leaving {
		sender.State = Left
	}
	d.apply(now, sender, false)
	if m := d.table.byID[msg.From]; m != nil {
		m.restartSuspicion(now)
	}
	changed := 0
	for _, u := range msg.Updates {
		if d.apply(now, u, sync) {
			changed++
		}
	}
	if msg.Unknown {
		d.gossip.enqueue(d.self.update(true))
	}
	switch {
	case msg.Leaving:
	case msg.Digest != d.digest():
		d.mismatched = msg.From
	case d.mismatched == msg.From:
		d.mismatched = ""
	}
	return changed
}

// apply updates the table by a record and reports whether anything changed.
func (d *Detector) apply(now time.Time, u Update, sync bool) bool {
	if u.Host == d.self.Host {
		return d.refute(now, u)
	}
	m := d.table.byID[u.Host]
	if m == nil {
		return d.addMember(now, u, sync)
	}
	order := u.Version.Compare(m.Version)
	switch {
	case order < 0:
		return false
	case order == 0 && u.State == Suspect && m.State == Suspect:
		d.confirmSuspicion(m, u.ReportedBy)
		return false
	case order == 0 && u.State <= m.State:
		return false
	case u.Version.Incarnation != m.Version.Incarnation && u.Address == "":
		// A new incarnation may have another address, so the full record, sent separately, is needed.
		return false
	case u.State == Dead && (m.State == Alive || sync && m.State == Suspect && !m.suspicion.expired):
		// Hosts are marked dead only after a suspicion, so a record of a dead host that is not suspected here may come
		// from the other side of a healed partition. The host is probed and sent the record, so that it can refute it;
		// applying the record would spread outdated information.
		m.deathReport = &u
		d.probeSoon(m)
		return false
	}
	d.setRecord(now, m, u)
	return true
}

// setRecord sets a member's state and version and queues its record for the other hosts.
func (d *Detector) setRecord(now time.Time, m *member, u Update) {
	previousState, previousIncarnation := m.State, m.Version.Incarnation
	d.table.countLive(m, false)
	m.Version, m.State = u.Version, u.State
	if u.Address != "" {
		m.Address, m.Place = u.Address, u.Place
	}
	d.table.countLive(m, true)
	m.deathReport = nil
	if previousState != u.State {
		m.since = now
	}
	if previousState == Suspect {
		d.suspects = slices.DeleteFunc(d.suspects, func(o *member) bool { return o == m })
		m.suspicion = nil
	}
	switch u.State {
	case Suspect:
		m.suspicion = &suspicion{since: now}
		if u.ReportedBy != "" {
			m.suspicion.reporters = append(m.suspicion.reporters, u.ReportedBy)
		}
		d.suspects = append(d.suspects, m)
	case Alive, Dead, Left:
	default:
		panic("membership: unknown state")
	}
	if previousState.gone() && !u.State.gone() {
		m.missed = 0
		d.setPath(m, PathDirect)
		d.addToRound(m)
	}
	out := m.update(previousIncarnation != m.Version.Incarnation)
	out.ReportedBy = u.ReportedBy
	d.gossip.enqueue(out)
	if previousState != m.State || previousIncarnation != m.Version.Incarnation {
		d.emit(StateChanged{Member: m.Member, Was: previousState})
	}
}

// addMember adds an unknown host and reports whether it did. Hosts that are dead or left are not added, so that pruned hosts do
// not come back.
func (d *Detector) addMember(now time.Time, u Update, sync bool) bool {
	if u.State.gone() || u.Address == "" {
		return false
	}
	if len(d.table.all) >= d.cfg.MaxMembers {
		old := d.table.oldestGone()
		if old == nil {
			d.refused++
			return false
		}
		d.table.remove(old)
		d.gossip.remove(old.Host)
	}
	m := &member{Member: Member{Host: u.Host, Version: u.Version, Address: u.Address, Place: u.Place}, since: now}
	d.table.add(m)
	d.addToRound(m)
	d.emit(StateChanged{Member: m.Member, Was: Dead})
	if !sync {
		d.gossip.enqueue(m.update(true))
	}
	if u.State == Suspect {
		d.apply(now, u, sync)
	}
	return true
}

// refute handles records about this host itself. If a record of its current version says that it is not alive, or if a record has
// a newer version, this host sets its own version above that of the record, announces it and returns true.
func (d *Detector) refute(now time.Time, u Update) bool {
	order := u.Version.Compare(d.self.Version)
	if d.self.State == Left || order < 0 || order == 0 && u.State == Alive {
		return false
	}
	if u.State == Suspect {
		// Other hosts missed this host's answers, so it may be slow.
		d.adjustHealth(1)
	}
	d.self.Version = Version{Incarnation: u.Version.Incarnation, Refutations: u.Version.Refutations + 1}
	d.announce()
	// The next probe of a slow host may be too late to carry the refutation, and the answer to the current request
	// reaches only one host.
	if now.Sub(d.lastRefutation) >= d.cfg.Interval {
		d.lastRefutation = now
		for _, m := range d.randomLive(helpersPerProbe, nil) {
			d.send(m, callOther, 0, d.compose(m, KindPing), d.cfg.Interval)
		}
	}
	return true
}
