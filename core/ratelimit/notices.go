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
	// At is the time of the answer that named the limit, or the time at which the request was sent whose answer named none.
	At time.Time
}

// Notices holds what servers have said to this host and the leader doesn't know yet. The zero value is empty.
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
	n.records.Put(b, Notice{said, at})
	return true
}

// Limit returns the limit of a server for which the leader has told of the known one. The end of a limit counts once the leader tells
// of it, since another host may have heard something newer.
func (n *Notices) Limit(b fleet.BackendIncarnation, known fleet.RateLimit) fleet.RateLimit {
	if last := n.records.Get(b); last != nil && last.Limit.Named {
		return last.Limit
	}
	return known
}

// Told drops what the leader knows by now, from the limit that it has told of.
func (n *Notices) Told(b fleet.BackendIncarnation, known fleet.RateLimit) {
	if last := n.records.Get(b); last != nil && last.Limit == known {
		n.records.Drop(b.Backend)
	}
}

// All returns what the leader has not confirmed yet.
func (n *Notices) All() iter.Seq2[fleet.BackendIncarnation, Notice] { return n.records.All() }
