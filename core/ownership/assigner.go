package ownership

import (
	"toucanway/core/control"
	"toucanway/core/fleet"
)

const (
	// maxAssignments bounds the backend servers without an owner that one round assigns, so that the round after the loss of
	// a data centre does not flood the log.
	maxAssignments = 256
	// minImbalance is the smallest difference in owned backend servers at which one is moved.
	minImbalance = 2
)

// host is a host with a session and the number of backend servers that it owns.
type host struct {
	id       fleet.HostID
	place    fleet.Place
	draining bool
	owned    int
}

// candidates groups the hosts that may own backend servers by place. Its hosts map also contains draining hosts.
type candidates struct {
	hosts   map[fleet.HostID]*host
	centres map[fleet.DataCentre][]*host
	regions map[fleet.Region][]*host
	all     []*host
}

// Assign returns commands that assign an owner to each backend server that is not lost and has none, or whose owner is draining;
// at most 256 of them in one call. If there is no such backend server, it moves up to maxMoves backend servers to hosts that are
// nearer or own fewer. It does not move those for which hasOpenOrder returns true. It returns nil if no host can own backend
// servers.
func Assign(
	sessions []control.Session, backends []control.Backend, hasOpenOrder func(fleet.BackendID) bool, maxMoves int,
) []control.Command {
	t := newCandidates(sessions, backends)
	if len(t.all) == 0 {
		return nil
	}
	var out []control.Command
	assign := func(b *control.Backend, to *host) {
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
			assign(b, t.bestHost(b.Announcement.Place))
		}
	}
	if len(out) > 0 {
		// Balance is considered only once every backend server has an owner.
		return out
	}
	for i := range backends {
		if maxMoves <= 0 {
			break
		}
		b := &backends[i]
		cur := t.hosts[b.Owner]
		if b.Lost || cur == nil || hasOpenOrder(b.Announcement.ID) {
			continue
		}
		to := t.bestHost(b.Announcement.Place)
		if to == cur || !worthMoving(to, cur, b.Announcement.Place) {
			continue
		}
		assign(b, to)
		maxMoves--
	}
	return out
}

// worthMoving reports whether a move outweighs the interruption of orders and grants: the new host is nearer, or as near and
// owns considerably fewer backend servers.
func worthMoving(to, cur *host, p fleet.Place) bool {
	newDistance, oldDistance := distance(to.place, p), distance(cur.place, p)
	if newDistance != oldDistance {
		return newDistance < oldDistance
	}
	return cur.owned-to.owned >= max(minImbalance, cur.owned/4)
}

// distance returns 0 for the same data centre, 1 for the same region and 2 otherwise.
func distance(a, b fleet.Place) int {
	switch {
	case a.DataCentre == b.DataCentre && a.Region == b.Region:
		return 0
	case a.Region == b.Region:
		return 1
	default:
		return 2
	}
}

func newCandidates(sessions []control.Session, backends []control.Backend) *candidates {
	t := &candidates{
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

// bestHost returns the host that owns the fewest backend servers among those in the data centre, else in the region, else
// anywhere.
func (t *candidates) bestHost(p fleet.Place) *host {
	for _, group := range [][]*host{t.centres[p.DataCentre], t.regions[p.Region], t.all} {
		if len(group) == 0 {
			continue
		}
		best := group[0]
		for _, h := range group[1:] {
			if h.owned < best.owned {
				best = h
			}
		}
		return best
	}
	return nil
}
