package routing

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"toucanway/core/fleet"
)

const (
	noEntry = int32(-1)
	// hitRateGain is the weight of a new answer in the moving average of a server's hit rate.
	hitRateGain = 0.1
	// doubtPerLostEvent is the doubt that one lost event adds, divided by the number of known prefixes: it may have been the
	// eviction of any of them.
	doubtPerLostEvent = 1.0
	// maxDoubt bounds the doubt that one gap adds. At this value the weight of older entries is negligible.
	maxDoubt = 50
)

// cacheModel is the model of one backend server's prefix cache. Its entries form a list ordered by their last confirmation.
type cacheModel struct {
	newest, oldest int32
	count          int
	seq            uint64
	// doubt grows with lost events. An entry's weight falls by exp(-d), where d is the growth since it was last confirmed.
	doubt float64
	// hitRate is the moving average of the share of predicted cached tokens that answers confirm.
	hitRate float64
}

func newCache() cacheModel { return cacheModel{newest: noEntry, oldest: noEntry, hitRate: 1} }

// entry is one prefix that is probably cached on one backend server. older and newer link the entries of a server in the order
// of their last confirmation; next links the entries of a key on several servers, or the free slots.
type entry struct {
	key          uint64
	confirmedAt  time.Time
	doubt        float64
	length       int32
	backend      int32
	older, newer int32
	next         int32
	used         bool
}

// prefixIndex maps prefixes to the backend servers that probably cache them. Entries are slots of one slice that are reused, so
// that a full index allocates nothing.
type prefixIndex struct {
	// heads maps keys to their first entry; free is the first free slot.
	heads   map[uint64]int32
	entries []entry
	free    int32
	// limit bounds the entries in total, perBackend those of one backend server.
	limit      int
	perBackend int
	// halfLife is in nanoseconds.
	halfLife float64
	// evictionHand is the slot that was last dropped to make room.
	evictionHand int
}

func newPrefixIndex(limit, perBackend int, half time.Duration) prefixIndex {
	return prefixIndex{heads: map[uint64]int32{}, free: noEntry, limit: limit, perBackend: perBackend, halfLife: float64(half)}
}

func hashTarget(t fleet.Target) uint64 {
	const separate = 0x9e3779b97f4a7c15
	h := xxhash.Sum64String(string(t.Model))
	if t.Adapter != "" {
		h = h*separate ^ xxhash.Sum64String(string(t.Adapter))
	}
	return h
}

// CacheEvent applies an event of a backend server's prefix cache. A gap in Seq lowers the weight of entries confirmed before it.
func (r *Router) CacheEvent(now time.Time, ev fleet.CacheEvent) {
	i, ok := r.index[ev.Backend]
	if !ok || r.backends[i].incarnation != ev.Incarnation {
		return
	}
	c := &r.backends[i].cache
	key := ev.Prefix ^ hashTarget(ev.Target)
	switch {
	case ev.Seq > c.seq:
		if lost := ev.Seq - c.seq - 1; lost > 0 && c.seq > 0 {
			c.doubt += min(maxDoubt, doubtPerLostEvent*float64(lost)/float64(max(c.count, 1)))
		}
		c.seq = ev.Seq
	case !ev.Evicted:
		// An addition that arrives late is ignored, since the eviction that followed it may have arrived already.
		return
	}
	if ev.Evicted {
		r.prefixes.drop(c, r.prefixes.find(key, i))
		return
	}
	r.prefixes.confirm(now, c, i, key, ev.Length, r.backends)
}

// ObserveAnswer compares the predicted cached length with the one that an engine reported with its answer, and adds the prompt's
// prefixes, which the engine has in its cache from now on.
func (r *Router) ObserveAnswer(now time.Time, id fleet.BackendID, q *Request, predicted, cached fleet.Tokens) {
	i, ok := r.index[id]
	if !ok {
		return
	}
	c := &r.backends[i].cache
	if predicted > 0 {
		c.hitRate += hitRateGain * (min(1, float64(cached)/float64(predicted)) - c.hitRate)
	}
	target := hashTarget(q.Target)
	for _, p := range q.Prefixes {
		r.prefixes.confirm(now, c, i, p.Hash^target, p.Length, r.backends)
	}
}

// setCachedPrefixes sets, for each backend server, the expected cached length of the prompt: the maximum of length times
// confidence over the prefixes known there.
func (x *prefixIndex) setCachedPrefixes(now time.Time, target uint64, q *Request, backends []backend, cachedPrefix []float32) {
	for _, p := range q.Prefixes {
		for e := x.head(p.Hash ^ target); e != noEntry; e = x.entries[e].next {
			n := &x.entries[e]
			c := &backends[n.backend].cache
			age := float64(max(0, now.Sub(n.confirmedAt)))
			confidence := c.hitRate * math.Exp(n.doubt-c.doubt) * math.Exp2(-age/x.halfLife)
			cachedPrefix[n.backend] = max(cachedPrefix[n.backend], float32(float64(n.length)*confidence))
		}
	}
}

// clearCachedPrefixes resets the values that setCachedPrefixes set.
func (x *prefixIndex) clearCachedPrefixes(target uint64, q *Request, cachedPrefix []float32) {
	for _, p := range q.Prefixes {
		for e := x.head(p.Hash ^ target); e != noEntry; e = x.entries[e].next {
			cachedPrefix[x.entries[e].backend] = 0
		}
	}
}

func (x *prefixIndex) head(key uint64) int32 {
	if e, ok := x.heads[key]; ok {
		return e
	}
	return noEntry
}

func (x *prefixIndex) find(key uint64, i int32) int32 {
	e := x.head(key)
	for e != noEntry && x.entries[e].backend != i {
		e = x.entries[e].next
	}
	return e
}

// confirm adds or renews a prefix. At the backend server's bound it drops the server's least recently confirmed prefix, at the
// bound of the index an arbitrary one.
func (x *prefixIndex) confirm(now time.Time, c *cacheModel, i int32, key uint64, length fleet.Tokens, backends []backend) {
	e := x.find(key, i)
	if e == noEntry {
		if c.count >= x.perBackend {
			x.drop(c, c.oldest)
		}
		e = x.allocateSlot(backends)
		x.entries[e] = entry{key: key, backend: i, next: x.head(key), used: true}
		x.heads[key] = e
		c.count++
	} else {
		x.unlinkEntry(c, e)
	}
	n := &x.entries[e]
	n.confirmedAt, n.doubt, n.length = now, c.doubt, int32(min(max(length, 0), math.MaxInt32))
	n.older, n.newer = c.newest, noEntry
	if c.newest != noEntry {
		x.entries[c.newest].newer = e
	} else {
		c.oldest = e
	}
	c.newest = e
}

// allocateSlot returns a free slot. If all are used, it drops the entry that follows the previously dropped one in the slice.
func (x *prefixIndex) allocateSlot(backends []backend) int32 {
	if x.free == noEntry && len(x.entries) < x.limit {
		x.entries = append(x.entries, entry{})
		return int32(len(x.entries) - 1)
	}
	for x.free == noEntry {
		x.evictionHand = (x.evictionHand + 1) % len(x.entries)
		if n := &x.entries[x.evictionHand]; n.used {
			x.drop(&backends[n.backend].cache, int32(x.evictionHand))
		}
	}
	e := x.free
	x.free = x.entries[e].next
	return e
}

func (x *prefixIndex) drop(c *cacheModel, e int32) {
	if e == noEntry {
		return
	}
	x.unlinkEntry(c, e)
	n := &x.entries[e]
	if at := x.heads[n.key]; at == e {
		if n.next == noEntry {
			delete(x.heads, n.key)
		} else {
			x.heads[n.key] = n.next
		}
	} else {
		for x.entries[at].next != e {
			at = x.entries[at].next
		}
		x.entries[at].next = n.next
	}
	c.count--
	*n = entry{next: x.free}
	x.free = e
}

func (x *prefixIndex) unlinkEntry(c *cacheModel, e int32) {
	n := &x.entries[e]
	if n.newer != noEntry {
		x.entries[n.newer].older = n.older
	} else {
		c.newest = n.older
	}
	if n.older != noEntry {
		x.entries[n.older].newer = n.newer
	} else {
		c.oldest = n.newer
	}
}

// dropAll drops the entries of a backend server.
func (x *prefixIndex) dropAll(c *cacheModel) {
	for c.count > 0 {
		x.drop(c, c.oldest)
	}
}
