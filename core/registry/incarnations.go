package registry

import (
	"iter"

	"toucanway/core/fleet"
)

// Incarnations holds a value for the newest incarnation of each server that one was put for. The zero value is empty. It holds at most
// DefaultMaxInstances values; the oldest one gives way to a new one. It is not safe for concurrent use.
type Incarnations[V any] struct {
	servers map[fleet.BackendID]*incarnationValue[V]
	// added is the number of records added so far.
	added uint64
}

type incarnationValue[V any] struct {
	incarnation fleet.Incarnation
	// number is the value of Incarnations.added at the creation of the record.
	number uint64
	value  V
}

// Get returns the value of an incarnation, or nil.
func (r *Incarnations[V]) Get(b fleet.BackendIncarnation) *V {
	if s := r.servers[b.Backend]; s != nil && s.incarnation == b.Incarnation {
		return &s.value
	}
	return nil
}

// Put sets the value of an incarnation and returns it; it returns nil if a later one is on record.
func (r *Incarnations[V]) Put(b fleet.BackendIncarnation, v V) *V {
	s := r.servers[b.Backend]
	if s != nil && s.incarnation > b.Incarnation {
		return nil
	}
	if r.servers == nil {
		r.servers = map[fleet.BackendID]*incarnationValue[V]{}
	}
	if s == nil && len(r.servers) >= DefaultMaxInstances {
		r.dropOldest()
	}
	if s == nil || s.incarnation != b.Incarnation {
		r.added++
		s = &incarnationValue[V]{incarnation: b.Incarnation, number: r.added}
		r.servers[b.Backend] = s
	}
	s.value = v
	return &s.value
}

// Drop drops the value of a server.
func (r *Incarnations[V]) Drop(id fleet.BackendID) { delete(r.servers, id) }

func (r *Incarnations[V]) dropOldest() {
	var oldest fleet.BackendID
	first := r.added + 1
	for id, s := range r.servers {
		if s.number < first {
			oldest, first = id, s.number
		}
	}
	r.Drop(oldest)
}

// Len returns the number of values.
func (r *Incarnations[V]) Len() int { return len(r.servers) }

// All returns all values.
func (r *Incarnations[V]) All() iter.Seq2[fleet.BackendIncarnation, V] {
	return func(yield func(fleet.BackendIncarnation, V) bool) {
		for id, s := range r.servers {
			if !yield(fleet.BackendIncarnation{Backend: id, Incarnation: s.incarnation}, s.value) {
				return
			}
		}
	}
}
