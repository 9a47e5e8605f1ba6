package registry

import (
	"cmp"
	"slices"
	"time"

	"toucanway/core/fleet"
)

// Defaults of Settings.
const (
	DefaultSilenceTimeout = 5 * time.Second
	DefaultRetention      = 60 * time.Second
	DefaultMaxInstances   = 16384
)

// Settings configure a Registry; zero fields mean the defaults.
type Settings struct {
	// SilenceTimeout is the time without a heartbeat after which an instance counts as silent.
	SilenceTimeout time.Duration
	// Retention is the time without a heartbeat after which an instance or a tombstone is removed.
	Retention time.Duration
	// MaxInstances bounds the number of instances and tombstones; heartbeats of further ones are refused.
	MaxInstances int
}

// Verdict is the result of processing a heartbeat.
type Verdict uint8

// Verdicts on a heartbeat.
const (
	// Unchanged means that the heartbeat only shows that the instance is alive.
	Unchanged Verdict = iota
	// Changed means that the instance's record has changed.
	Changed
	// Outdated means that the heartbeat is older than the recorded state.
	Outdated
	// Full means that the registry has no room for another instance.
	Full
)

// String returns the verdict's name.
func (v Verdict) String() string { return [...]string{"unchanged", "changed", "outdated", "full"}[v] }

// Registry holds the known instances. It is not safe for concurrent use.
type Registry struct {
	cfg      Settings
	revision uint64
	entries  map[fleet.BackendID]*entry
	// addresses maps each address to its newest instance.
	addresses map[string]fleet.BackendID
	changes   changeLog
}

type entry struct {
	instance      Instance
	seq           uint64
	lastHeard     time.Time
	lastHeartbeat Heartbeat
}

func (e *entry) record() *Instance { return &e.instance }

// New returns an empty registry.
func New(cfg Settings) *Registry {
	cfg.SilenceTimeout = cmp.Or(cfg.SilenceTimeout, DefaultSilenceTimeout)
	cfg.Retention = cmp.Or(cfg.Retention, DefaultRetention)
	cfg.MaxInstances = cmp.Or(cfg.MaxInstances, DefaultMaxInstances)
	return &Registry{cfg: cfg, entries: map[fleet.BackendID]*entry{}, addresses: map[string]fleet.BackendID{}}
}

// Revision returns the number of changes so far.
func (r *Registry) Revision() uint64 { return r.revision }

func (r *Registry) recordChange(e *entry) {
	r.revision++
	e.instance.Revision = r.revision
	r.changes.add(r.revision, e.instance.ID)
}

// Observe processes a heartbeat.
func (r *Registry) Observe(now time.Time, h Heartbeat) Verdict {
	in := h.Instance
	e := r.entries[in.ID]
	switch {
	case e == nil:
		if len(r.entries) >= r.cfg.MaxInstances {
			return Full
		}
		if r.supersededAtAddress(&in) {
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
		return r.applyRenewal(now, e, h)
	case r.supersededAtAddress(&in):
		return Outdated
	}
	r.releaseAddress(e, in.Address)
	r.claimAddress(&in)
	e.instance, e.seq, e.lastHeard, e.lastHeartbeat = in, h.Seq, now, h
	r.recordChange(e)
	return Changed
}

// releaseAddress drops the record at an instance's address if its new address is another one.
func (r *Registry) releaseAddress(e *entry, address string) {
	if old := e.instance.Address; old != address && r.addresses[old] == e.instance.ID {
		delete(r.addresses, old)
	}
}

// supersededAtAddress reports whether a newer instance is known at the same address.
func (r *Registry) supersededAtAddress(in *Instance) bool {
	id, ok := r.addresses[in.Address]
	return ok && id != in.ID && r.entries[id].instance.Incarnation > in.Incarnation
}

// claimAddress records an instance at its address and marks another one that was recorded there as gone.
func (r *Registry) claimAddress(in *Instance) {
	if id, ok := r.addresses[in.Address]; ok && id != in.ID {
		if e := r.entries[id]; e.instance.State != Gone {
			e.instance.State = Gone
			r.recordChange(e)
		}
	}
	r.addresses[in.Address] = in.ID
}

// applyRenewal processes a later heartbeat of the same incarnation. Draining is never reverted. Loaded models change through
// SetModels only, since a heartbeat may be older than an order that was carried out.
func (r *Registry) applyRenewal(now time.Time, e *entry, h Heartbeat) Verdict {
	in, previous := h.Instance, e.instance
	in.State = max(in.State, previous.State)
	in.Models, in.Limit, in.Revision = previous.Models, previous.Limit, previous.Revision
	in.Software = previous.Software
	if in.Address != previous.Address {
		r.releaseAddress(e, in.Address)
		r.claimAddress(&in)
	}
	changed := in.Address != previous.Address || in.Service != previous.Service || in.State != previous.State || previous.Silent ||
		in.DataCentre != previous.DataCentre || in.Slots != previous.Slots
	e.instance, e.seq, e.lastHeard, e.lastHeartbeat = in, h.Seq, now, h
	if !changed {
		return Unchanged
	}
	r.recordChange(e)
	return Changed
}

func equalModels(a, b []Model) bool {
	return slices.EqualFunc(a, b, func(x, y Model) bool {
		return x.Name == y.Name && x.Version == y.Version && slices.Equal(x.Adapters, y.Adapters)
	})
}

// Renew processes a later heartbeat of an incarnation without changes, and reports whether the incarnation is known.
func (r *Registry) Renew(now time.Time, id fleet.BackendID, inc fleet.Incarnation, seq uint64) bool {
	e := r.entries[id]
	if e == nil || e.instance.Incarnation != inc {
		return false
	}
	if e.instance.State == Gone || seq <= e.seq {
		return true
	}
	e.seq, e.lastHeard = seq, now
	if e.instance.Silent {
		e.instance.Silent = false
		r.recordChange(e)
	}
	return true
}

// Depart records that an incarnation is draining or gone, whether or not a heartbeat of it has been observed, and reports whether that
// changed the record. An incarnation of which nothing is known is recorded as described by in, which needs only its ID, Incarnation and State
// if the state is Gone.
func (r *Registry) Depart(now time.Time, in Instance) bool {
	e := r.entries[in.ID]
	switch {
	case e == nil && len(r.entries) >= r.cfg.MaxInstances:
		return false
	case e == nil:
		e = &entry{}
		r.entries[in.ID] = e
	case e.instance.Incarnation > in.Incarnation, e.instance.Incarnation == in.Incarnation && e.instance.State >= in.State:
		return false
	case e.instance.Incarnation == in.Incarnation:
		known := e.instance
		known.State = in.State
		in = known
	}
	if r.supersededAtAddress(&in) {
		in.State = Gone
	}
	r.releaseAddress(e, in.Address)
	if in.State != Gone {
		r.claimAddress(&in)
	}
	e.instance, e.lastHeard = in, now
	r.recordChange(e)
	return true
}

// Drain marks an incarnation that is ready as draining, and reports whether that changed the record.
func (r *Registry) Drain(id fleet.BackendID, inc fleet.Incarnation) bool {
	e := r.entries[id]
	if e == nil || e.instance.State != Ready || inc != e.instance.Incarnation {
		return false
	}
	e.instance.State = Draining
	r.recordChange(e)
	return true
}

// SetLimit replaces the rate limit of an incarnation, and reports whether that changed the record.
func (r *Registry) SetLimit(b fleet.BackendIncarnation, l fleet.RateLimit) bool {
	e := r.entries[b.Backend]
	if e == nil || e.instance.Incarnation != b.Incarnation || e.instance.Limit == l {
		return false
	}
	e.instance.Limit = l
	r.recordChange(e)
	return true
}

// SetModels replaces the loaded models of an incarnation after orders, and reports whether that changed the record.
func (r *Registry) SetModels(id fleet.BackendID, inc fleet.Incarnation, models []Model) bool {
	e := r.entries[id]
	if e == nil || e.instance.Incarnation != inc || equalModels(e.instance.Models, models) {
		return false
	}
	e.instance.Models = models
	r.recordChange(e)
	return true
}

// Tick marks instances as silent, removes those without a heartbeat for Settings.Retention, and returns the newly silent ones.
func (r *Registry) Tick(now time.Time) (silent []fleet.BackendID) {
	for id, e := range r.entries {
		since := now.Sub(e.lastHeard)
		switch {
		case since > r.cfg.Retention:
			delete(r.entries, id)
			if r.addresses[e.instance.Address] == id {
				delete(r.addresses, e.instance.Address)
			}
		case since > r.cfg.SilenceTimeout && !e.instance.Silent && e.instance.State != Gone:
			e.instance.Silent = true
			r.recordChange(e)
			silent = append(silent, id)
		}
	}
	return silent
}

// RestartSilenceTimeouts restarts the silence timeouts of all instances, since a new leader has received no heartbeat yet.
func (r *Registry) RestartSilenceTimeouts(now time.Time) {
	for _, e := range r.entries {
		if e.instance.State == Gone {
			continue
		}
		e.lastHeard = now
		if e.instance.Silent {
			e.instance.Silent = false
			r.recordChange(e)
		}
	}
}

// Adopt adds instances that another host knows, without their heartbeats. A known instance changes only if it is an older
// incarnation, or if the same incarnation has a later state or another rate limit.
func (r *Registry) Adopt(now time.Time, list []Instance) {
	for _, in := range list {
		if e := r.entries[in.ID]; e != nil && e.instance.Incarnation >= in.Incarnation {
			if e.instance.Incarnation == in.Incarnation && (in.State > e.instance.State || in.Limit != e.instance.Limit) {
				e.instance.State, e.instance.Limit = max(e.instance.State, in.State), in.Limit
				r.recordChange(e)
			}
			continue
		}
		if len(r.entries) >= r.cfg.MaxInstances || r.supersededAtAddress(&in) {
			continue
		}
		r.claimAddress(&in)
		e := &entry{instance: in, lastHeard: now}
		r.entries[in.ID] = e
		r.recordChange(e)
	}
}

// Get returns an instance and its last heartbeat, and whether the instance is known.
func (r *Registry) Get(id fleet.BackendID) (Instance, Heartbeat, bool) {
	e := r.entries[id]
	if e == nil {
		return Instance{}, Heartbeat{}, false
	}
	return e.instance, e.lastHeartbeat, true
}

// ChangedAfter returns the instances that changed after a revision, tombstones included, in the order of their changes.
func (r *Registry) ChangedAfter(revision uint64) []Instance {
	if revision >= r.revision {
		return nil
	}
	return changedAfter(r.changes, r.entries, revision)
}
