package crashes

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"toucanway/core/fleet"
)

// Parameters of the decision.
const (
	// suspectCrashes is the number of crashes in a row, without an answer to a request with the content, from which the content is
	// suspected, listCrashes the number from which it is listed.
	suspectCrashes = 2
	listCrashes    = 3
	// minSpan is the time between the first and the last of these crashes, since crashes at one moment can have another cause. A
	// content with burstCrashes crashes is listed all the same.
	minSpan      = time.Second
	burstCrashes = 5
	// settleTime is the time from the suspicion to the listing, in which all entry hosts can tell of answers. They report at least
	// once a second.
	settleTime = 1500 * time.Millisecond
	// minListTime is the time from a listing to the first trial request; it doubles up to maxListTime with each trial that crashes a
	// server.
	minListTime = time.Minute
	maxListTime = 16 * time.Minute
	// trialTime is the time after which another trial request is granted if nothing is known of the last one.
	trialTime = 10 * time.Second
	// retention is the time for which a crash is evidence, and for which a listing that is due for a trial waits for a request.
	retention = 10 * time.Minute
	// Bounds of the tables; the oldest entries give way.
	maxCrashes  = 256
	maxContents = 4096
	maxListed   = 64
	maxSuspects = 64
)

// decide lists contents until none is due. Of several that are due, the one with the most crashes goes first, then the one that
// fewest requests share: what it explains no longer counts against the others.
func (d *Detector) decide(now time.Time) {
	for {
		var best *suspicion
		for _, c := range d.suspected {
			if d.isDue(now, c) && (best == nil || c.before(best)) {
				best = c
			}
		}
		if best == nil {
			return
		}
		d.list(best, now.Add(minListTime))
	}
}

// before reports whether c goes before other.
func (c *suspicion) before(other *suspicion) bool {
	return cmp.Or(cmp.Compare(len(other.crashes), len(c.crashes)), cmp.Compare(other.Depth, c.Depth), cmp.Compare(c.ID, other.ID)) < 0
}

// span returns the times of the first and the last crash.
func (c *suspicion) span() (first, last time.Time) {
	for _, at := range c.crashes {
		if first.IsZero() || at.Before(first) {
			first = at
		}
		if at.After(last) {
			last = at
		}
	}
	return first, last
}

// isDue reports whether a suspected content is to be listed: enough crashes, no answer since the first of them although the hosts
// had time to tell, and a crash that no listed content explains.
func (d *Detector) isDue(now time.Time, c *suspicion) bool {
	if len(c.crashes) < listCrashes || now.Sub(c.suspectedAt) < settleTime {
		return false
	}
	if first, last := c.span(); len(c.crashes) < burstCrashes && last.Sub(first) < minSpan {
		return false
	}
	for key := range c.crashes {
		if d.crashes[key].explanations == 0 {
			return true
		}
	}
	return false
}

// explain adds n to the explanations of the crashes at which a content was in flight, since it was listed or is no longer.
func (d *Detector) explain(c *suspicion, n int) {
	d.listRevision = d.revision.N + 1
	for _, k := range d.crashes {
		if k.contents[c.ID] {
			k.explanations += n
		}
	}
}

// list lists a content. If the list is full, the listing that ends first gives way.
func (d *Detector) list(c *suspicion, until time.Time) {
	if len(d.listed) >= maxListed {
		d.endListing(slices.MinFunc(slices.Collect(maps.Values(d.listed)), func(a, b *suspicion) int { return a.listedUntil.Compare(b.listedUntil) }))
	}
	delete(d.suspected, c.ID)
	d.listed[c.ID] = c
	d.explain(c, 1)
	c.listedUntil, c.listTime, c.triedAt, c.suspectedAt = until, minListTime, time.Time{}, time.Time{}
	d.changed(Listed{c.Content, len(c.crashes)})
}

// endListing ends a listing without evidence of innocence.
func (d *Detector) endListing(c *suspicion) {
	delete(d.listed, c.ID)
	d.explain(c, -1)
	c.listedUntil = time.Time{}
	clear(c.crashes)
	d.changed(Expired{c.Content})
}

// expire ends listings and removes old evidence.
func (d *Detector) expire(now time.Time) {
	for _, c := range d.listed {
		if now.Sub(c.listedUntil) > retention {
			d.endListing(c)
		}
	}
	for key, k := range d.crashes {
		if now.Sub(k.at) > retention {
			d.forget(key)
		}
	}
	maps.DeleteFunc(d.contents, func(_ fleet.Fingerprint, c *suspicion) bool {
		return c.listedUntil.IsZero() && now.Sub(c.touchedAt) > retention
	})
}
