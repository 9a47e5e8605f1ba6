package registry

import (
	"cmp"
	"slices"
	"time"

	"toucanway/core/fleet"
)

// Defaults of Settings.
const (
	DefaultSilence   = 5 * time.Second
	DefaultForget    = 60 * time.Second
	DefaultInstances = 16384
)

// Settings configure a Registry; zero fields mean the defaults.
type Settings struct {
	// Silence is the time without a heartbeat after which an instance counts as silent.
	Silence time.Duration
	// Forget is how long a silent instance or a tombstone is kept.
	Forget time.Duration
	// Instances bounds the instances and tombstones; heartbeats of further ones are refused.
	Instances int
}

// Verdict is what became of a heartbeat.
type Verdict uint8

// Verdicts.
const (
	// Unchanged heartbeats only show that the instance lives.
	Unchanged Verdict = iota
	// Changed heartbeats altered the instance's record.
	Changed
	// Outdated heartbeats are older than what is known.
	Outdated
	// Full means that the registry has no room for another instance.
	Full
)

// String returns the verdict's name.
func (v Verdict) String() string { return [...]string{"unchanged", "changed", "outdated", "full"}[v] }

// Registry holds the instances. It is not safe for concurrent use.
type Registry struct {
	cfg      Settings
	revision uint64
	entries  map[fleet.BackendID]*entry
	// addresses holds the newest instance at each address.
	addresses map[string]fleet.BackendID
	// changes are the latest changes in order of their revisions, for followers that are only a little behind.
	changes []change
}

// change is one change of an instance.
type change struct {
	revision uint64
	id       fleet.BackendID
}

// maxChanges bounds the changes that are kept; followers that are further behind cost a look at all instances.
const maxChanges = 4096

type entry struct {
	instance Instance
	seq      uint64
	heard    time.Time
	// beat is the last heartbeat.
	beat Heartbeat
}

// New returns an empty registry.
func New(cfg Settings) *Registry {
	cfg.Silence = cmp.Or(cfg.Silence, DefaultSilence)
	cfg.Forget = cmp.Or(cfg.Forget, DefaultForget)
	cfg.Instances = cmp.Or(cfg.Instances, DefaultInstances)
	return &Registry{cfg: cfg, entries: map[fleet.BackendID]*entry{}, addresses: map[string]fleet.BackendID{}}
}

// Revision counts the changes.
func (r *Registry) Revision() uint64 { return r.revision }

func (r *Registry) touch(e *entry) {
	r.revision++
	e.instance.Revision = r.revision
	if len(r.changes) >= maxChanges {
		r.changes = append(r.changes[:0], r.changes[maxChanges/2:]...)
	}
	r.changes = append(r.changes, change{r.revision, e.instance.ID})
}

// Observe takes in a heartbeat.
func (r *Registry) Observe(now time.Time, h Heartbeat) Verdict {
	in := h.Instance
	e := r.entries[in.ID]
	switch {
	case e == nil:
		if len(r.entries) >= r.cfg.Instances {
			return Full
		}
		if r.outlived(&in) {
			return Outdated
		}
		e = &entry{}
		r.entries[in.ID] = e
	case in.Incarnation < e.instance.Incarnation:
		return Outdated
	case in.Incarnation == e.instance.Incarnation:
		if e.instance.State == Gone || h.Seq <= e.seq {
			return Outdated
		}
		return r.renew(now, e, h)
	case r.outlived(&in):
		return Outdated
	}
	if old := e.instance.Address; old != "" && old != in.Address && r.addresses[old] == in.ID {
		delete(r.addresses, old)
	}
	r.displace(&in)
	e.instance, e.seq, e.heard, e.beat = in, h.Seq, now, h
	r.touch(e)
	return Changed
}

// outlived says whether a newer instance is known at the same address.
func (r *Registry) outlived(in *Instance) bool {
	id, ok := r.addresses[in.Address]
	return ok && id != in.ID && r.entries[id].instance.Incarnation > in.Incarnation
}

// displace records an instance at its address; another one that was there before has ended.
func (r *Registry) displace(in *Instance) {
	if id, ok := r.addresses[in.Address]; ok && id != in.ID {
		if e := r.entries[id]; e.instance.State != Gone {
			e.instance.State = Gone
			r.touch(e)
		}
	}
	r.addresses[in.Address] = in.ID
}

// renew takes in a later heartbeat of the same incarnation. Draining is never taken back, and what the instance holds changes
// by SetModels only, since a heartbeat may be older than an order that was carried out.
func (r *Registry) renew(now time.Time, e *entry, h Heartbeat) Verdict {
	in, was := h.Instance, e.instance
	in.State = max(in.State, was.State)
	in.Models, in.Revision = was.Models, was.Revision
	if in.Address != was.Address {
		if r.addresses[was.Address] == in.ID {
			delete(r.addresses, was.Address)
		}
		r.displace(&in)
	}
	changed := in.Address != was.Address || in.Service != was.Service || in.State != was.State || was.Silent ||
		in.DataCentre != was.DataCentre || in.Slots != was.Slots
	e.instance, e.seq, e.heard, e.beat = in, h.Seq, now, h
	if !changed {
		return Unchanged
	}
	r.touch(e)
	return Changed
}

func equalModels(a, b []Model) bool {
	return slices.EqualFunc(a, b, func(x, y Model) bool {
		return x.Name == y.Name && x.Version == y.Version && slices.Equal(x.Adapters, y.Adapters)
	})
}

// Renew takes in that a later heartbeat of an incarnation told nothing new, and says whether the incarnation is known.
func (r *Registry) Renew(now time.Time, id fleet.BackendID, inc fleet.Incarnation, seq uint64) bool {
	e := r.entries[id]
	if e == nil || e.instance.Incarnation != inc {
		return false
	}
	if e.instance.State == Gone || seq <= e.seq {
		return true
	}
	e.seq, e.heard = seq, now
	if e.instance.Silent {
		e.instance.Silent = false
		r.touch(e)
	}
	return true
}

// Leave takes in that an incarnation has gone, or the newest one if the incarnation is 0, and says whether that is news.
func (r *Registry) Leave(now time.Time, id fleet.BackendID, inc fleet.Incarnation) bool {
	e := r.entries[id]
	if e == nil || e.instance.State == Gone || inc != 0 && inc != e.instance.Incarnation {
		return false
	}
	e.instance.State, e.heard = Gone, now
	r.touch(e)
	return true
}

// SetModels replaces the models of an incarnation, as its orders have changed them, and says whether that is news.
func (r *Registry) SetModels(id fleet.BackendID, inc fleet.Incarnation, models []Model) bool {
	e := r.entries[id]
	if e == nil || e.instance.Incarnation != inc || equalModels(e.instance.Models, models) {
		return false
	}
	e.instance.Models = models
	r.touch(e)
	return true
}

// Tick marks instances as silent and drops those that are gone for long; it returns the newly silent ones.
func (r *Registry) Tick(now time.Time) (silent []fleet.BackendID) {
	for id, e := range r.entries {
		since := now.Sub(e.heard)
		switch {
		case since > r.cfg.Forget:
			delete(r.entries, id)
			if r.addresses[e.instance.Address] == id {
				delete(r.addresses, e.instance.Address)
			}
		case since > r.cfg.Silence && !e.instance.Silent && e.instance.State != Gone:
			e.instance.Silent = true
			r.touch(e)
			silent = append(silent, id)
		}
	}
	return silent
}

// Restart counts the silence of all instances from now on: a host that takes over has heard from none of them yet.
func (r *Registry) Restart(now time.Time) {
	for _, e := range r.entries {
		if e.instance.State == Gone {
			continue
		}
		e.heard = now
		if e.instance.Silent {
			e.instance.Silent = false
			r.touch(e)
		}
	}
}

// Adopt takes over instances that another host knew, without their heartbeats; known ones stay as they are.
func (r *Registry) Adopt(now time.Time, list []Instance) {
	for _, in := range list {
		if e := r.entries[in.ID]; e != nil && e.instance.Incarnation >= in.Incarnation {
			if e.instance.Incarnation == in.Incarnation && in.State > e.instance.State {
				e.instance.State = in.State
				r.touch(e)
			}
			continue
		}
		if len(r.entries) >= r.cfg.Instances || r.outlived(&in) {
			continue
		}
		r.displace(&in)
		e := &entry{instance: in, heard: now}
		r.entries[in.ID] = e
		r.touch(e)
	}
}

// Get returns an instance and its last heartbeat.
func (r *Registry) Get(id fleet.BackendID) (Instance, Heartbeat, bool) {
	e := r.entries[id]
	if e == nil {
		return Instance{}, Heartbeat{}, false
	}
	return e.instance, e.beat, true
}

// After returns the instances that changed after a revision, tombstones included, in the order of their changes.
func (r *Registry) After(revision uint64) []Instance {
	if revision >= r.revision {
		return nil
	}
	var out []Instance
	if len(r.changes) > 0 && r.changes[0].revision <= revision+1 {
		for _, c := range r.changes[revision+1-r.changes[0].revision:] {
			// Only the last change of an instance tells its state.
			if e := r.entries[c.id]; e != nil && e.instance.Revision == c.revision {
				out = append(out, e.instance)
			}
		}
		return out
	}
	for _, e := range r.entries {
		if e.instance.Revision > revision {
			out = append(out, e.instance)
		}
	}
	slices.SortFunc(out, func(a, b Instance) int { return cmp.Compare(a.Revision, b.Revision) })
	return out
}
