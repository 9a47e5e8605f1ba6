package routing

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"toucanway/core/fleet"
)

const (
	none = int32(-1)
	// hitGain is the weight of a new answer in a server's share of believed prefixes that its engine really had.
	hitGain = 0.1
	// lostDoubt is the doubt of one lost event, which may be the eviction of any known prefix.
	lostDoubt = 1.0
	// maxDoubt is the doubt of one gap at which nothing older is believed.
	maxDoubt = 50
)

// cache is what is believed of one backend server's prefix cache.
type cache struct {
	newest, oldest int32
	count          int
	seq            uint64
	// doubt grows with lost events; entries are believed less by what it grew since they were confirmed.
	doubt float64
	// hit is the running share of believed tokens that answers confirm.
	hit float64
}

func newCache() cache { return cache{newest: none, oldest: none, hit: 1} }

// entry is one prefix believed to be cached on one backend server, in a ring of use and a chain of equal keys.
type entry struct {
	key          uint64
	at           time.Time
	doubt        float64
	length       int32
	backend      int32
	older, newer int32
	chain        int32
	used         bool
}

// prefixIndex finds the backend servers of a prefix. Entries are slots of one slice, so that a full index allocates nothing.
type prefixIndex struct {
	heads      map[uint64]int32
	entries    []entry
	free       int32
	limit      int
	perBackend int
	half       float64
	hand       int
}

func newPrefixIndex(limit, perBackend int, half time.Duration) prefixIndex {
	return prefixIndex{heads: map[uint64]int32{}, free: none, limit: limit, perBackend: perBackend, half: float64(half)}
}

func hashTarget(t fleet.Target) uint64 {
	const separate = 0x9e3779b97f4a7c15
	h := xxhash.Sum64String(string(t.Model))
	if t.Adapter != "" {
		h = h*separate ^ xxhash.Sum64String(string(t.Adapter))
	}
	return h
}

// CacheEvent takes an event of a backend server's prefix cache; a gap in Seq lowers the belief in older entries.
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
			c.doubt += min(maxDoubt, lostDoubt*float64(lost)/float64(max(c.count, 1)))
		}
		c.seq = ev.Seq
	case !ev.Evicted:
		// A late addition may be followed by an eviction that arrived before it.
		return
	}
	if ev.Evicted {
		r.prefixes.drop(c, r.prefixes.find(key, i))
		return
	}
	r.prefixes.confirm(now, c, i, key, ev.Length, r.backends)
}

// Answered corrects the belief by what an engine reports of its cache with an answer: it holds the prompt from now on.
func (r *Router) Answered(now time.Time, id fleet.BackendID, q *Request, believed, cached fleet.Tokens) {
	i, ok := r.index[id]
	if !ok {
		return
	}
	c := &r.backends[i].cache
	if believed > 0 {
		c.hit += hitGain * (min(1, float64(cached)/float64(believed)) - c.hit)
	}
	target := hashTarget(q.Target)
	for _, p := range q.Prefixes {
		r.prefixes.confirm(now, c, i, p.Hash^target, p.Length, r.backends)
	}
}

// match sets the believed cached length of the request's longest known prefix for each backend server that has one.
func (x *prefixIndex) match(now time.Time, target uint64, q *Request, backends []backend, match []float32) {
	for _, p := range q.Prefixes {
		for e := x.head(p.Hash ^ target); e != none; e = x.entries[e].chain {
			n := &x.entries[e]
			c := &backends[n.backend].cache
			age := float64(max(0, now.Sub(n.at)))
			believed := c.hit * math.Exp(n.doubt-c.doubt) * math.Exp2(-age/x.half)
			match[n.backend] = max(match[n.backend], float32(float64(n.length)*believed))
		}
	}
}

// unmatch clears what match set.
func (x *prefixIndex) unmatch(target uint64, q *Request, match []float32) {
	for _, p := range q.Prefixes {
		for e := x.head(p.Hash ^ target); e != none; e = x.entries[e].chain {
			match[x.entries[e].backend] = 0
		}
	}
}

func (x *prefixIndex) head(key uint64) int32 {
	if e, ok := x.heads[key]; ok {
		return e
	}
	return none
}

func (x *prefixIndex) find(key uint64, i int32) int32 {
	e := x.head(key)
	for e != none && x.entries[e].backend != i {
		e = x.entries[e].chain
	}
	return e
}

// confirm adds a prefix or renews it, dropping the least recently confirmed one of the backend server, or an arbitrary one
// of all, when a bound is reached.
func (x *prefixIndex) confirm(now time.Time, c *cache, i int32, key uint64, length fleet.Tokens, backends []backend) {
	e := x.find(key, i)
	if e == none {
		if c.count >= x.perBackend {
			x.drop(c, c.oldest)
		}
		e = x.take(backends)
		x.entries[e] = entry{key: key, backend: i, chain: x.head(key), used: true}
		x.heads[key] = e
		c.count++
	} else {
		x.unlink(c, e)
	}
	n := &x.entries[e]
	n.at, n.doubt, n.length = now, c.doubt, int32(min(max(length, 0), math.MaxInt32))
	n.older, n.newer = c.newest, none
	if c.newest != none {
		x.entries[c.newest].newer = e
	} else {
		c.oldest = e
	}
	c.newest = e
}

// take returns an unused slot, freeing one by a turning hand when all are used.
func (x *prefixIndex) take(backends []backend) int32 {
	if x.free == none && len(x.entries) < x.limit {
		x.entries = append(x.entries, entry{})
		return int32(len(x.entries) - 1)
	}
	for x.free == none {
		x.hand = (x.hand + 1) % len(x.entries)
		if n := &x.entries[x.hand]; n.used {
			x.drop(&backends[n.backend].cache, int32(x.hand))
		}
	}
	e := x.free
	x.free = x.entries[e].chain
	return e
}

func (x *prefixIndex) drop(c *cache, e int32) {
	if e == none {
		return
	}
	x.unlink(c, e)
	n := &x.entries[e]
	if at := x.heads[n.key]; at == e {
		if n.chain == none {
			delete(x.heads, n.key)
		} else {
			x.heads[n.key] = n.chain
		}
	} else {
		for x.entries[at].chain != e {
			at = x.entries[at].chain
		}
		x.entries[at].chain = n.chain
	}
	c.count--
	*n = entry{chain: x.free}
	x.free = e
}

func (x *prefixIndex) unlink(c *cache, e int32) {
	n := &x.entries[e]
	if n.newer != none {
		x.entries[n.newer].older = n.older
	} else {
		c.newest = n.older
	}
	if n.older != none {
		x.entries[n.older].newer = n.newer
	} else {
		c.oldest = n.newer
	}
}

// forget drops all entries of a backend server.
func (x *prefixIndex) forget(c *cache) {
	for c.count > 0 {
		x.drop(c, c.oldest)
	}
}
