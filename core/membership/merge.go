package membership

import (
	"slices"
	"time"
)

// merge takes over what a message says and returns how many records were news. Records from a whole table are not
// passed on one by one, except those that revive or end a known host.
func (d *Detector) merge(now time.Time, msg *Message, sync bool) int {
	sender := Update{Host: msg.From, Version: msg.Version}
	if msg.Leaving {
		sender.State = Left
	}
	d.apply(now, sender, false)
	if m := d.t.byID[msg.From]; m != nil {
		m.restart(now)
	}
	news := 0
	for _, u := range msg.Updates {
		if d.apply(now, u, sync) {
			news++
		}
	}
	if msg.Unknown {
		d.gossip.put(d.self.update(true))
	}
	switch {
	case msg.Leaving:
	case msg.Digest != d.digest():
		d.differs = msg.From
	case d.differs == msg.From:
		d.differs = ""
	}
	return news
}

// apply takes over a record and reports whether it was news.
func (d *Detector) apply(now time.Time, u Update, sync bool) bool {
	if u.Host == d.self.Host {
		return d.refute(now, u)
	}
	m := d.t.byID[u.Host]
	if m == nil {
		return d.welcome(now, u, sync)
	}
	order := u.Version.Compare(m.Version)
	switch {
	case order < 0:
		return false
	case order == 0 && u.State == Suspect && m.State == Suspect:
		d.share(m, u.By)
		return false
	case order == 0 && u.State <= m.State:
		return false
	case u.Version.Life != m.Version.Life && u.Address == "":
		// The new life may have another address; the full record follows.
		return false
	case u.State == Dead && (m.State == Alive || sync && m.State == Suspect && !m.suspicion.checking):
		// A verdict follows a suspicion, so one about a host that is not suspected here may come from the other side of
		// a partition that ended. The host is probed and told, since taking the record over would spread old verdicts.
		m.told = &u
		d.hurry(m)
		return false
	}
	d.change(now, m, u)
	return true
}

// change gives a member a new state or version and passes it on.
func (d *Detector) change(now time.Time, m *member, u Update) {
	was, life := m.State, m.Version.Life
	d.t.count(m, false)
	m.Version, m.State = u.Version, u.State
	if u.Address != "" {
		m.Address, m.Place = u.Address, u.Place
	}
	d.t.count(m, true)
	m.told = nil
	if was != u.State {
		m.since = now
	}
	if was == Suspect {
		d.suspects = slices.DeleteFunc(d.suspects, func(o *member) bool { return o == m })
		m.suspicion = nil
	}
	switch u.State {
	case Suspect:
		m.suspicion = &suspicion{since: now}
		if u.By != "" {
			m.suspicion.by = append(m.suspicion.by, u.By)
		}
		d.suspects = append(d.suspects, m)
	case Alive, Dead, Left:
	default:
		panic("membership: unknown state")
	}
	if was.gone() && !u.State.gone() {
		m.missed = 0
		d.setPath(m, PathDirect)
		d.enlist(m)
	}
	out := m.update(life != m.Version.Life)
	out.By = u.By
	d.gossip.put(out)
	if was != m.State || life != m.Version.Life {
		d.emit(Changed{Member: m.Member, Was: was})
	}
}

// welcome adds a host that was not known. Hosts that are gone are not added, so that forgotten ones stay forgotten.
func (d *Detector) welcome(now time.Time, u Update, sync bool) bool {
	if u.State.gone() || u.Address == "" {
		return false
	}
	if len(d.t.all) >= d.cfg.MaxMembers {
		old := d.t.oldestGone()
		if old == nil {
			d.refused++
			return false
		}
		d.t.drop(old)
		d.gossip.remove(old.Host)
	}
	m := &member{Member: Member{Host: u.Host, Version: u.Version, Address: u.Address, Place: u.Place}, since: now}
	d.t.add(m)
	d.enlist(m)
	d.emit(Changed{Member: m.Member, Was: Dead})
	if !sync {
		d.gossip.put(m.update(true))
	}
	if u.State == Suspect {
		d.apply(now, u, sync)
	}
	return true
}

// refute answers records that hold this host for anything but alive, and outbids those of its past lives.
func (d *Detector) refute(now time.Time, u Update) bool {
	order := u.Version.Compare(d.self.Version)
	if d.self.State == Left || order < 0 || order == 0 && u.State == Alive {
		return false
	}
	if u.State == Suspect {
		// Others missed this host's answers, so it may be slow.
		d.adjustHealth(1)
	}
	d.self.Version = Version{Life: u.Version.Life, Refutations: u.Version.Refutations + 1}
	d.announce()
	// A slow host's next probe may come too late for its refutation, and the answer under way reaches one host only.
	if now.Sub(d.refuted) >= d.cfg.Interval {
		d.refuted = now
		for _, m := range d.pick(helpers, nil) {
			d.send(m, callOther, 0, d.compose(m, KindPing), d.cfg.Interval)
		}
	}
	return true
}
