package control

import "toucanway/core/fleet"

func (s *State) putBackend(index fleet.Index, c *PutBackend) Result {
	a := c.Announcement
	cur, ok := s.d.Backends[a.ID]
	switch {
	case !ok && len(s.d.Backends) >= MaxBackends:
		return reject(RejectLimit, "too many backend servers; remove those that are gone")
	case ok && a.Incarnation < cur.Announcement.Incarnation:
		return reject(RejectIncarnation, "a later incarnation of this backend server is registered")
	case ok && a.Incarnation > cur.Announcement.Incarnation:
		// The memory of the earlier process was freed when it ended, so its replica records are dropped.
		s.dropReplicasOn(a.ID)
		s.setBackend(Backend{Announcement: a, Leaving: c.Leaving, Fence: fleet.Fence(index)})
	case ok:
		cur.Announcement = a
		cur.Leaving = c.Leaving
		if cur.Lost {
			cur.Lost = false
			s.markLostInDoubt(index, a.ID)
		}
		s.setBackend(cur)
	default:
		s.setBackend(Backend{Announcement: a, Leaving: c.Leaving, Fence: fleet.Fence(index)})
	}
	return Result{}
}

func (s *State) removeBackend(index fleet.Index, c *RemoveBackend) Result {
	cur, ok := s.d.Backends[c.Backend]
	if !ok || cur.Announcement.Incarnation != c.Incarnation {
		return reject(RejectUnknown, "this incarnation of the backend server is not registered")
	}
	if c.Dead {
		s.dropReplicasOn(c.Backend)
		s.deleteBackend(c.Backend)
		return Result{}
	}
	s.clearOwner(index, c.Backend)
	cur = s.d.Backends[c.Backend]
	cur.Lost = true
	s.setBackend(cur)
	for _, r := range s.ReplicasOn(c.Backend) {
		if r.State == ReplicaIntended {
			s.dropReplica(r.Order)
			continue
		}
		s.setReplica(index, r, ReplicaLost)
	}
	return Result{}
}

// markLostInDoubt marks the lost replicas of a backend server that is reachable again as in doubt; they stay so until its
// inventory is read.
func (s *State) markLostInDoubt(index fleet.Index, id fleet.BackendID) {
	for _, r := range s.ReplicasOn(id) {
		if r.State == ReplicaLost {
			s.setReplica(index, r, ReplicaInDoubt)
		}
	}
}

func (s *State) dropReplicasOn(id fleet.BackendID) {
	for _, r := range s.ReplicasOn(id) {
		s.dropReplica(r.Order)
	}
}

func (s *State) assignOwner(index fleet.Index, c *AssignOwner) Result {
	b, ok := s.d.Backends[c.Backend]
	if !ok || b.Lost {
		return reject(RejectUnknown, "the backend server is not registered or cannot be reached")
	}
	h, ok := s.d.Sessions[c.Owner]
	if !ok {
		return reject(RejectUnknown, "the new owner has no session")
	}
	if h.Draining {
		return reject(RejectOwnerDraining, "the new owner is shutting down; choose another host")
	}
	if b.Fence != c.Expected {
		return reject(RejectStaleFence, "the owner changed meanwhile; read the current one")
	}
	s.clearOwner(index, c.Backend)
	b = s.d.Backends[c.Backend]
	b.Owner = c.Owner
	b.Fence = fleet.Fence(index)
	s.setBackend(b)
	return Result{}
}

func (s *State) releaseOwner(index fleet.Index, c *ReleaseOwner) Result {
	b, ok := s.d.Backends[c.Backend]
	if !ok || b.Owner == "" || b.Fence != c.Fence {
		return reject(RejectStaleFence, "the host does not own this backend server any more")
	}
	s.clearOwner(index, c.Backend)
	return Result{}
}

// setBackend stores a backend server and updates the index of owners.
func (s *State) setBackend(b Backend) {
	id := b.Announcement.ID
	s.removeFromOwnerIndex(id)
	s.d.Backends[id] = b
	if b.Owner == "" {
		return
	}
	if s.byOwner[b.Owner] == nil {
		s.byOwner[b.Owner] = map[fleet.BackendID]struct{}{}
	}
	s.byOwner[b.Owner][id] = struct{}{}
}

func (s *State) deleteBackend(id fleet.BackendID) {
	s.removeFromOwnerIndex(id)
	delete(s.d.Backends, id)
}

// removeFromOwnerIndex removes a backend server from the index of owners.
func (s *State) removeFromOwnerIndex(id fleet.BackendID) {
	owner := s.d.Backends[id].Owner
	delete(s.byOwner[owner], id)
	if len(s.byOwner[owner]) == 0 {
		delete(s.byOwner, owner)
	}
}
