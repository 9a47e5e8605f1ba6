package control

import (
	"slices"

	"toucanway/core/fleet"
)

func (s *State) setReplicaTarget(c *SetReplicaTarget) Result {
	if c.Count < 0 || c.Count > MaxReplicasPerModel {
		return reject(RejectLimit, "a model has between 0 and 64 replicas")
	}
	s.d.ReplicaTargets[c.Model] = c.Count
	if c.Count == 0 {
		delete(s.d.ReplicaTargets, c.Model)
	}
	return Result{}
}

func (s *State) decideLoad(index fleet.Index, c *DecideLoad) Result {
	b, ok := s.d.Backends[c.Backend]
	switch {
	case !ok || b.Lost || b.Leaving:
		return reject(RejectUnknown, "the backend server is gone or leaving; choose another")
	case b.Announcement.Kind != fleet.KindEngine:
		return reject(RejectState, "the backend server is no engine; choose another")
	case b.Announcement.Incarnation != c.Incarnation:
		return reject(RejectIncarnation, "the backend server restarted; read its inventory and decide again")
	case len(s.byModel[c.Model]) >= s.d.ReplicaTargets[c.Model]:
		return reject(RejectReplicaTarget, "the decided number of replicas is on record already; raise the target first")
	case c.Memory <= 0 || c.Reserve < 0 || s.MemoryOn(c.Backend)+c.Memory+c.Reserve > b.Announcement.Memory:
		return reject(RejectMemory, "the backend server has too little memory left; unload a replica first")
	}
	for _, r := range s.ReplicasOn(c.Backend) {
		if r.Model == c.Model {
			return reject(RejectDuplicate, "the model has a replica on this backend server; choose another")
		}
	}
	s.putReplica(Replica{
		Order: fleet.OrderID(index), Model: c.Model, Version: c.Version, Role: c.Role, Backend: c.Backend,
		Incarnation: c.Incarnation, Memory: c.Memory, State: ReplicaIntended, Changed: index,
	})
	return Result{}
}

func (s *State) decideUnload(index fleet.Index, c *DecideUnload) Result {
	r, ok := s.d.Replicas[c.Order]
	if !ok {
		return reject(RejectUnknown, "the replica is gone already")
	}
	switch r.State {
	case ReplicaIntended:
		s.dropReplica(r.Order)
	case ReplicaReady:
		s.setReplica(index, r, ReplicaUnloadIntended)
	case ReplicaUnloadIntended, ReplicaUnloadSent, ReplicaUnloadInDoubt:
	case ReplicaSent, ReplicaInDoubt, ReplicaLost:
		return reject(RejectState, "the replica is "+r.State.String()+"; unload it once its state is settled")
	default:
		panic("control: replica record in state " + r.State.String())
	}
	return Result{}
}

// nextStates returns the states that an owner may report for a record in the given state. For states in doubt there are none,
// since only an inventory resolves them.
func nextStates(state ReplicaState) []ReplicaState {
	switch state {
	case ReplicaIntended:
		return []ReplicaState{ReplicaSent, ReplicaFailed}
	case ReplicaSent:
		return []ReplicaState{ReplicaReady, ReplicaFailed, ReplicaInDoubt}
	case ReplicaUnloadIntended:
		return []ReplicaState{ReplicaUnloadSent}
	case ReplicaUnloadSent:
		return []ReplicaState{ReplicaGone, ReplicaUnloadInDoubt, ReplicaReady}
	default:
		return nil
	}
}

func (s *State) reportOrder(index fleet.Index, c *ReportOrder) Result {
	r, ok := s.d.Replicas[c.Order]
	if !ok {
		return reject(RejectUnknown, "the replica is gone already")
	}
	if b := s.d.Backends[r.Backend]; b.Fence != c.Fence || b.Owner == "" {
		return reject(RejectStaleFence, "the reporting host does not own the backend server any more")
	}
	switch {
	case r.State == c.State:
	case !slices.Contains(nextStates(r.State), c.State):
		return reject(RejectState, "an order cannot go from "+r.State.String()+" to "+c.State.String())
	case c.State == ReplicaFailed || c.State == ReplicaGone:
		s.dropReplica(r.Order)
	default:
		s.setReplica(index, r, c.State)
	}
	return Result{}
}

// settleInventory updates the records of a backend server from its inventory. Loaded models without a record get one in
// the state ReplicaUnloadIntended, so that their memory counts until they are unloaded.
func (s *State) settleInventory(index fleet.Index, c *SettleInventory) Result {
	b, ok := s.d.Backends[c.Backend]
	switch {
	case !ok:
		return reject(RejectUnknown, "the backend server is not registered")
	case b.Announcement.Incarnation != c.Incarnation:
		return reject(RejectIncarnation, "the inventory is of another incarnation; read it again")
	case b.Fence != c.Fence || b.Owner == "":
		return reject(RejectStaleFence, "the reporting host does not own the backend server any more")
	}
	known := map[fleet.ModelID]bool{}
	for _, r := range s.ReplicasOn(c.Backend) {
		// The load order was not sent yet, so something else loaded the model. The decision is dropped, and the model gets a
		// record of its own below.
		if r.State == ReplicaIntended && r.Changed <= c.Before && containsModel(c.Models, r.Model) {
			s.dropReplica(r.Order)
			continue
		}
		known[r.Model] = true
		if r.Changed > c.Before {
			continue
		}
		if state, settled := settledState(r.State, c.Models, r.Model); settled {
			s.setSettledState(index, r, state)
		}
	}
	for i, m := range c.Models {
		if known[m.Model] || m.State == fleet.ReplicaUnloading {
			continue
		}
		s.putReplica(Replica{
			Order: surplusOrder(index, i), Model: m.Model, Version: m.Version, Role: m.Role, Backend: c.Backend,
			Incarnation: c.Incarnation, Memory: m.Memory, State: ReplicaUnloadIntended, Changed: index,
		})
	}
	return Result{}
}

func containsModel(models []fleet.LoadedModel, id fleet.ModelID) bool {
	return slices.ContainsFunc(models, func(m fleet.LoadedModel) bool {
		return m.Model == id && m.State != fleet.ReplicaUnloading
	})
}

// surplusOrder returns an order id for the record of a loaded model for which there is no decision. Its highest bit is set,
// unlike that of the ids of decisions, which are log indexes.
func surplusOrder(index fleet.Index, i int) fleet.OrderID {
	const surplusBit = 1 << 63
	return fleet.OrderID(surplusBit | uint64(index)<<8 | uint64(i&0xff))
}

func (s *State) setSettledState(index fleet.Index, r Replica, state ReplicaState) {
	if state == ReplicaGone {
		s.dropReplica(r.Order)
		return
	}
	s.setReplica(index, r, state)
}

// settledState returns the state of a record after an inventory, and false if the inventory doesn't change it.
func settledState(state ReplicaState, models []fleet.LoadedModel, id fleet.ModelID) (ReplicaState, bool) {
	loaded, found := fleet.LoadedModel{}, false
	for _, m := range models {
		if m.Model == id {
			loaded, found = m, true
		}
	}
	switch state {
	case ReplicaInDoubt:
		if !found {
			return ReplicaGone, true
		}
		return ReplicaReady, loaded.State == fleet.ReplicaReady
	case ReplicaReady:
		return ReplicaGone, !found
	case ReplicaUnloadInDoubt:
		if !found {
			return ReplicaGone, true
		}
		return ReplicaUnloadIntended, loaded.State == fleet.ReplicaReady
	case ReplicaUnloadIntended:
		return ReplicaGone, !found
	case ReplicaIntended, ReplicaSent, ReplicaUnloadSent, ReplicaLost:
		return state, false
	default:
		panic("control: replica record in state " + state.String())
	}
}
