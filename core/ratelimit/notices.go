package ratelimit

import (
	"iter"
	"time"

	"toucanway/core/fleet"
	"toucanway/core/registry"
)

// Notice is what an incarnation of a server has said last about its limit.
type Notice struct {
	Limit fleet.RateLimit
	// At is the time of the answer that named the limit, the time at which the request was sent whose answer named none, or the time up to
	// which an earlier leader has told of the limit.
	At time.Time
	// told is set if an earlier leader has told of the limit, unset if the server has named it to this host.
	told bool
}

// Notices holds what servers have said to this host, or an earlier leader has told it, and the leader may not know yet. The zero value is empty.
type Notices struct {
	records registry.Incarnations[Notice]
}

// Observe records what the answer to a request says that was sent at a time, and reports whether that is news for the leader. Known is
// the limit that the leader has told of last.
func (n *Notices) Observe(now, sent time.Time, b fleet.BackendIncarnation, said, known fleet.RateLimit) bool {
	last := n.records.Get(b)
	switch {
	case last != nil && said == last.Limit:
		if !said.Named && sent.After(last.At) {
			last.At = sent
		}
		return false
	case said.Named && said == known && last == nil:
		return false
	case !said.Named && last == nil && !known.Named:
		return false
	case !said.Named && last != nil && !sent.After(last.At):
		// The request may have been answered before the server named its limit.
		return false
	}
	at := now
	if !said.Named {
		at = sent
	}
	n.records.Put(b, Notice{Limit: said, At: at})
	return true
}

// Keep records a limit that an earlier leader has told of, up to a time, for a new leader that may not know it, unless the server has said
// something since.
func (n *Notices) Keep(asOf time.Time, b fleet.BackendIncarnation, told fleet.RateLimit) {
	if told.Named && n.records.Get(b) == nil {
		n.records.Put(b, Notice{Limit: told, At: asOf, told: true})
	}
}

// Limit returns the limit of a server for which the leader has told of the known one. The end of a limit counts once the leader tells
// of it, since another host may have heard something newer.
func (n *Notices) Limit(b fleet.BackendIncarnation, known fleet.RateLimit) fleet.RateLimit {
	if last := n.records.Get(b); last != nil && last.Limit.Named {
		return last.Limit
	}
	return known
}

// Told drops what the leader knows by now, from the limit that it has told of. One that it names replaces one of an earlier leader.
func (n *Notices) Told(b fleet.BackendIncarnation, known fleet.RateLimit) {
	if last := n.records.Get(b); last != nil && (last.Limit == known || last.told && known.Named) {
		n.records.Drop(b.Backend)
	}
}

// All returns what the leader has not confirmed yet.
func (n *Notices) All() iter.Seq2[fleet.BackendIncarnation, Notice] { return n.records.All() }
