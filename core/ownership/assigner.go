package ownership

import (
	"toucanway/core/control"
	"toucanway/core/fleet"
)

const (
	// maxAssignments bounds the backend servers without owner that one round assigns, so that a round after the loss of
	// a data centre does not fill the log.
	maxAssignments = 256
	// minImbalance is the difference in owned backend servers from which one is moved.
	minImbalance = 2
)

// host counts what a host with a session owns.
type host struct {
	id       fleet.HostID
	place    fleet.Place
	draining bool
	owned    int
}

// table groups the hosts that may own by place.
type table struct {
	hosts   map[fleet.HostID]*host
	centres map[fleet.DataCentre][]*host
	regions map[fleet.Region][]*host
	all     []*host
}

// Assign returns commands that give an owner to each backend server without one, take those of draining hosts away, and
// move at most moves others towards hosts in their own data centre or with fewer of them.
func Assign(sessions []control.Session, backends []control.Backend, busy func(fleet.BackendID) bool, moves int) []control.Command {
	t := newTable(sessions, backends)
	if len(t.all) == 0 {
		return nil
	}
	var out []control.Command
	give := func(b *control.Backend, to *host) {
		if from := t.hosts[b.Owner]; from != nil {
			from.owned--
		}
		to.owned++
		out = append(out, &control.AssignOwner{Backend: b.Announcement.ID, Owner: to.id, Expected: b.Fence})
	}
	for i := range backends {
		b := &backends[i]
		if b.Lost || len(out) >= maxAssignments {
			continue
		}
		if cur := t.hosts[b.Owner]; cur == nil || cur.draining {
			give(b, t.best(b.Announcement.Place))
		}
	}
	if len(out) > 0 {
		// Balance is judged once every backend server has an owner.
		return out
	}
	for i := range backends {
		if moves <= 0 {
			break
		}
		b := &backends[i]
		cur := t.hosts[b.Owner]
		if b.Lost || cur == nil || busy(b.Announcement.ID) {
			continue
		}
		to := t.best(b.Announcement.Place)
		if to == cur || !better(to, cur, b.Announcement.Place) {
			continue
		}
		give(b, to)
		moves--
	}
	return out
}

// better reports whether a move is worth the orders and grants that it interrupts.
func better(to, cur *host, p fleet.Place) bool {
	near, was := nearness(to.place, p), nearness(cur.place, p)
	if near != was {
		return near < was
	}
	return cur.owned-to.owned >= max(minImbalance, cur.owned/4)
}

func nearness(a, b fleet.Place) int {
	switch {
	case a.DataCentre == b.DataCentre && a.Region == b.Region:
		return 0
	case a.Region == b.Region:
		return 1
	default:
		return 2
	}
}

func newTable(sessions []control.Session, backends []control.Backend) *table {
	t := &table{
		hosts:   make(map[fleet.HostID]*host, len(sessions)),
		centres: map[fleet.DataCentre][]*host{},
		regions: map[fleet.Region][]*host{},
	}
	for i := range sessions {
		s := &sessions[i]
		h := &host{id: s.Host, place: s.Place, draining: s.Draining}
		t.hosts[h.id] = h
		if h.draining {
			continue
		}
		t.centres[h.place.DataCentre] = append(t.centres[h.place.DataCentre], h)
		t.regions[h.place.Region] = append(t.regions[h.place.Region], h)
		t.all = append(t.all, h)
	}
	for i := range backends {
		if h := t.hosts[backends[i].Owner]; h != nil {
			h.owned++
		}
	}
	return t
}

// best returns the host with the fewest backend servers in the data centre, else in the region, else anywhere.
func (t *table) best(p fleet.Place) *host {
	for _, near := range [][]*host{t.centres[p.DataCentre], t.regions[p.Region], t.all} {
		if len(near) == 0 {
			continue
		}
		best := near[0]
		for _, h := range near[1:] {
			if h.owned < best.owned {
				best = h
			}
		}
		return best
	}
	return nil
}
