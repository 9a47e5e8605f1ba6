package registry

import (
	"container/list"
	"time"

	"toucanway/core/fleet"
)

// Mirror is a copy of another host's registry with that host's revisions; the zero value is an empty one. It is not safe for
// concurrent use.
//
// Tombstones and silent instances are dropped DefaultRetention after their last change, since the registry removes its own without a
// change, and the oldest of them earlier while there are more than DefaultMaxInstances instances in all. Other instances are never
// dropped; the registry bounds their number.
type Mirror struct {
	revision  uint64
	instances map[fleet.BackendID]*mirrored
	// expiring holds the tombstones and silent instances as *mirrored, in the order of their changes.
	expiring list.List
	changes  changeLog
}

// mirrored is a mirror's record of an instance.
type mirrored struct {
	instance  Instance
	changedAt time.Time
	// expiry is the element of Mirror.expiring, or nil.
	expiry *list.Element
}

func (r *mirrored) record() *Instance { return &r.instance }

// Revision returns the revision of the registry up to which the mirror is complete.
func (m *Mirror) Revision() uint64 { return m.revision }

// Reset empties the mirror, so that it can copy the registry of another host or term, whose revisions begin anew.
func (m *Mirror) Reset() { *m = Mirror{} }

// Apply applies the changes up to a revision, in the order of their revisions, that were made until now.
func (m *Mirror) Apply(now time.Time, changed []Instance, revision uint64) {
	if m.instances == nil {
		m.instances = map[fleet.BackendID]*mirrored{}
	}
	for _, in := range changed {
		m.set(now, in)
	}
	m.dropExpired(now)
	m.revision = max(m.revision, revision)
}

// set records the last change of an instance.
func (m *Mirror) set(now time.Time, in Instance) {
	if old := m.instances[in.ID]; old != nil && old.expiry != nil {
		m.expiring.Remove(old.expiry)
	}
	e := &mirrored{instance: in, changedAt: now}
	if in.State == Gone || in.Silent {
		e.expiry = m.expiring.PushBack(e)
	}
	m.instances[in.ID] = e
	m.changes.add(in.Revision, in.ID)
}

// dropExpired drops tombstones and silent instances, the oldest first, that are past their retention or more than there is room for.
// Those that followers can't have heard of, after m.revision, are kept.
func (m *Mirror) dropExpired(now time.Time) {
	for f := m.expiring.Front(); f != nil; f = m.expiring.Front() {
		e := f.Value.(*mirrored)
		if e.instance.Revision > m.revision || now.Sub(e.changedAt) <= DefaultRetention && len(m.instances) <= DefaultMaxInstances {
			return
		}
		m.expiring.Remove(f)
		delete(m.instances, e.instance.ID)
	}
}

// ChangedAfter returns the instances that changed after a revision, tombstones included, in the order of their changes.
func (m *Mirror) ChangedAfter(revision uint64) []Instance {
	if revision >= m.revision {
		return nil
	}
	return changedAfter(m.changes, m.instances, revision)
}
