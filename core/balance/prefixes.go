package balance

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"toucanway/core/fleet"
)

const (
	// prefixLife is how long a part that was sent to a server is taken to be cached there.
	prefixLife = 20 * time.Second
	// maxPrefixes bounds the parts that are remembered; above it the older half of them is dropped.
	maxPrefixes = 16384
)

// prefixes remember which parts of prompts were sent to which incarnation of a server.
type prefixes struct {
	at map[uint64]time.Time
}

func newPrefixes() prefixes { return prefixes{at: map[uint64]time.Time{}} }

// chain calls f with the key of each common part, which covers all parts before it, until f returns false.
func (r *Request) chain(id fleet.BackendID, inc fleet.Incarnation, f func(key uint64, tokens fleet.Tokens) bool) {
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
	r.chain(id, inc, func(key uint64, _ fleet.Tokens) bool {
		p.at[key] = now
		return true
	})
	if len(p.at) <= maxPrefixes {
		return
	}
	for key, at := range p.at {
		if now.Sub(at) > prefixLife/2 {
			delete(p.at, key)
		}
	}
	// Room for a while is made at once, since each look at all parts is dear.
	for key := range p.at {
		if len(p.at) <= maxPrefixes/2 {
			break
		}
		delete(p.at, key)
	}
}

// cached returns the tokens at the start of a prompt that the server is taken to have cached.
func (p *prefixes) cached(now time.Time, r *Request, id fleet.BackendID, inc fleet.Incarnation) fleet.Tokens {
	var n fleet.Tokens
	r.chain(id, inc, func(key uint64, tokens fleet.Tokens) bool {
		at, ok := p.at[key]
		if !ok || now.Sub(at) > prefixLife {
			return false
		}
		n += tokens
		return true
	})
	return min(n, r.Prompt)
}
