package overload

import "time"

// facet is a property that requests share and by which they may starve.
type facet struct {
	kind facetKind
	name string
	size int
}

type facetKind uint8

const (
	byAccount facetKind = iota
	byModel
	bySession
	byKind
	bySize
)

// unserved is the time since which requests of a facet have waited or been refused without one that was sent, and the time of the last
// of them.
type unserved struct{ since, seen time.Time }

func (r *Request) facets() [5]facet {
	return [...]facet{
		{byAccount, string(r.Account), 0}, {byModel, string(r.Target.Model), 0}, {bySession, r.Session, 0}, {byKind, r.Kind, 0}, {bySize, "", r.Size},
	}
}

// recordUnserved records that a request waits or is refused.
func (p *Policy) recordUnserved(now time.Time, r *Request) {
	for _, f := range r.facets() {
		if f.name == "" && f.size == 0 {
			continue
		}
		u, ok := p.unserved[f]
		if !ok && len(p.unserved) >= maxUnserved {
			p.forgetUnserved(now)
			if len(p.unserved) >= maxUnserved {
				continue
			}
		}
		if !ok || now.Sub(u.seen) > unservedMemory {
			u.since = now
		}
		u.seen = now
		p.unserved[f] = u
	}
}

// forgetUnserved forgets the facets without requests of late, once a second at most.
func (p *Policy) forgetUnserved(now time.Time) {
	if now.Sub(p.forgotAt) < time.Second {
		return
	}
	p.forgotAt = now
	for f, u := range p.unserved {
		if now.Sub(u.seen) > unservedMemory {
			delete(p.unserved, f)
		}
	}
}

// unservedTime returns the longest time for which a facet of a request has been without service.
func (p *Policy) unservedTime(now time.Time, r *Request) time.Duration {
	var longest time.Duration
	for _, f := range r.facets() {
		if u, ok := p.unserved[f]; ok {
			longest = max(longest, now.Sub(u.since))
		}
	}
	return longest
}

// preferStarving makes a waiting request the one that is served out of order if a facet of it has been without service for starvationTime,
// and for longer than those of the present one.
func (p *Policy) preferStarving(now time.Time, e *entry) {
	h := p.unservedTime(now, &e.Request)
	if h < starvationTime {
		return
	}
	if present := p.entry(p.starving); present == nil || h > p.unservedTime(now, &present.Request) {
		p.starving = e.ticket
	}
}
