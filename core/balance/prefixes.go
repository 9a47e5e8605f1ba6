package balance

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"toucanway/core/fleet"
)

const (
	// prefixTTL is the time for which a prefix that was sent to a server is assumed to be cached there.
	prefixTTL = 20 * time.Second
	// maxPrefixes bounds the remembered prefixes. Above it, those older than half of prefixTTL are dropped, and then arbitrary
	// ones until half of maxPrefixes are left.
	maxPrefixes = 16384
)

// prefixes remembers which prompt prefixes were sent to which incarnation of a server.
type prefixes struct {
	sentAt map[uint64]time.Time
}

func newPrefixes() prefixes { return prefixes{sentAt: map[uint64]time.Time{}} }

// prefix is the start of a prompt that ends with a part, and the number of tokens of that part.
type prefix struct {
	hash   uint64
	tokens fleet.Tokens
}

// prefixes returns the prefixes of a prompt, from the shortest to the longest. The hash covers the target and all parts of the prefix.
func (r *Request) prefixes() []prefix {
	var d xxhash.Digest
	d.Reset()
	for _, s := range []string{string(r.Target.Model), string(r.Target.Adapter)} {
		// Writes to a digest never fail.
		_, _ = d.WriteString(s)
		_, _ = d.Write([]byte{0})
	}
	out := make([]prefix, len(r.Parts))
	for i, p := range r.Parts {
		_, _ = d.WriteString(p.ID)
		out[i] = prefix{d.Sum64(), p.Tokens}
	}
	return out
}

// at returns the key of a prefix at an incarnation of a server.
func (p prefix) at(id fleet.BackendID, inc fleet.Incarnation) uint64 {
	return p.hash ^ (xxhash.Sum64String(string(id)) + uint64(inc)*oddMultiplier)
}

// oddMultiplier spreads the incarnations of a server over all keys; it is 2^64 divided by the golden ratio.
const oddMultiplier = 0x9e3779b97f4a7c15

func (p *prefixes) add(now time.Time, r *Request, id fleet.BackendID, inc fleet.Incarnation) {
	for _, x := range r.prefixes() {
		p.sentAt[x.at(id, inc)] = now
	}
	if len(p.sentAt) <= maxPrefixes {
		return
	}
	for key, at := range p.sentAt {
		if now.Sub(at) > prefixTTL/2 {
			delete(p.sentAt, key)
		}
	}
	// Half of the entries are dropped at once, since each pass over all entries is expensive.
	for key := range p.sentAt {
		if len(p.sentAt) <= maxPrefixes/2 {
			break
		}
		delete(p.sentAt, key)
	}
}

// cached returns the number of tokens at the start of a prompt that are assumed to be cached at the server.
func (p *prefixes) cached(now time.Time, r *Request, list []prefix, id fleet.BackendID, inc fleet.Incarnation) fleet.Tokens {
	var n fleet.Tokens
	for _, x := range list {
		at, ok := p.sentAt[x.at(id, inc)]
		if !ok || now.Sub(at) > prefixTTL {
			break
		}
		n += x.tokens
	}
	return min(n, r.Prompt)
}
