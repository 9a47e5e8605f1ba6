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

// eachPrefix calls f for the prefix that ends with each part, from the shortest to the longest, until f returns false. The key
// covers the server's incarnation, the target and all parts of the prefix; tokens counts the last part only.
func (r *Request) eachPrefix(id fleet.BackendID, inc fleet.Incarnation, f func(key uint64, tokens fleet.Tokens) bool) {
	var d xxhash.Digest
	d.Reset()
	for _, s := range []string{string(id), string(r.Target.Model), string(r.Target.Adapter)} {
		// Writes to a digest never fail.
		_, _ = d.WriteString(s)
		_, _ = d.Write([]byte{0, byte(inc), byte(inc >> 8), byte(inc >> 16), byte(inc >> 24)})
	}
	for _, p := range r.Parts {
		_, _ = d.WriteString(p.ID)
		if !f(d.Sum64(), p.Tokens) {
			return
		}
	}
}

func (p *prefixes) add(now time.Time, r *Request, id fleet.BackendID, inc fleet.Incarnation) {
	r.eachPrefix(id, inc, func(key uint64, _ fleet.Tokens) bool {
		p.sentAt[key] = now
		return true
	})
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
func (p *prefixes) cached(now time.Time, r *Request, id fleet.BackendID, inc fleet.Incarnation) fleet.Tokens {
	var n fleet.Tokens
	r.eachPrefix(id, inc, func(key uint64, tokens fleet.Tokens) bool {
		at, ok := p.sentAt[key]
		if !ok || now.Sub(at) > prefixTTL {
			return false
		}
		n += tokens
		return true
	})
	return min(n, r.Prompt)
}
