package control

import (
	"maps"
	"slices"

	"toucanway/core/fleet"
)

func (s *State) openSession(index fleet.Index, c *OpenSession) Result {
	incarnation := c.Incarnation
	if incarnation == 0 {
		incarnation = fleet.Incarnation(index)
	}
	cur, open := s.d.Sessions[c.Host]
	switch {
	case open && incarnation == cur.Incarnation:
		return Result{}
	case open && incarnation < cur.Incarnation:
		return reject(RejectIncarnation, "the host opened a later session before; start it with a higher incarnation")
	case !open && len(s.d.Sessions) >= MaxSessions:
		return reject(RejectLimit, "too many hosts; close sessions of hosts that were taken away")
	}
	s.endOwnershipsOf(index, c.Host)
	s.d.Sessions[c.Host] = Session{
		Host: c.Host, Incarnation: incarnation, Address: c.Address, CallerAddress: c.CallerAddress,
		Place: c.Place, Opened: index,
	}
	return Result{}
}

func (s *State) drainSession(c *DrainSession) Result {
	cur, ok := s.d.Sessions[c.Host]
	if !ok || cur.Incarnation != c.Incarnation {
		return reject(RejectUnknown, "the session has ended already")
	}
	cur.Draining = true
	s.d.Sessions[c.Host] = cur
	return Result{}
}

func (s *State) closeSession(index fleet.Index, c *CloseSession) Result {
	cur, ok := s.d.Sessions[c.Host]
	if !ok || cur.Incarnation != c.Incarnation {
		return reject(RejectUnknown, "the session has ended already")
	}
	delete(s.d.Sessions, c.Host)
	delete(s.d.Proposers, c.Host)
	s.endOwnershipsOf(index, c.Host)
	return Result{}
}

// endOwnershipsOf leaves without an owner all backend servers that a host owns whose session ended or was opened again.
func (s *State) endOwnershipsOf(index fleet.Index, host fleet.HostID) {
	for _, id := range slices.Sorted(maps.Keys(s.byOwner[host])) {
		s.clearOwner(index, id)
	}
}

// clearOwner leaves a backend server without an owner and marks orders that the owner may have sent as in doubt.
func (s *State) clearOwner(index fleet.Index, id fleet.BackendID) {
	b := s.d.Backends[id]
	b.Owner = ""
	b.Fence = fleet.Fence(index)
	s.setBackend(b)
	for _, r := range s.ReplicasOn(id) {
		switch r.State {
		case ReplicaSent:
			s.setReplica(index, r, ReplicaInDoubt)
		case ReplicaUnloadSent:
			s.setReplica(index, r, ReplicaUnloadInDoubt)
		case ReplicaIntended, ReplicaReady, ReplicaInDoubt, ReplicaUnloadIntended, ReplicaUnloadInDoubt, ReplicaLost:
		default:
			panic("control: replica record in state " + r.State.String())
		}
	}
}

func (s *State) setReplica(index fleet.Index, r Replica, state ReplicaState) {
	r.State = state
	r.Changed = index
	s.putReplica(r)
}
