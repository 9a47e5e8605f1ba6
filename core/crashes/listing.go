package crashes

import (
	"cmp"
	"slices"
	"time"

	"toucanway/core/fleet"
)

// listing is a set of contents. Requests that have all of them are refused: requests with all of them were in flight at the same crashes
// without an answer since, so that each of them may be at fault. A request that lacks one of them runs, and its answer or crash tells them apart.
type listing struct {
	// members is sorted by compareContents and never empty.
	members []*suspicion
	// adoptedAt is the time at which the listing was taken over from an earlier leader, else zero.
	adoptedAt time.Time
	// until is the time of the next trial, triedAt the time of the last grant of a trial request.
	until, triedAt time.Time
	// failedTrials is the number of trials that crashed a server.
	failedTrials int
	// isConfirmed is set once an answer shows that servers answer requests with other contents of those in flight at the crashes.
	isConfirmed bool
}

// compareContents puts the content first that fewer requests share.
func compareContents(a, b *suspicion) int {
	return cmp.Or(cmp.Compare(b.Depth, a.Depth), cmp.Compare(a.ID, b.ID))
}

// key returns the content by which the listing is known.
func (l *listing) key() fleet.Fingerprint { return l.members[0].ID }

// contents returns the members' contents.
func (l *listing) contents() []Content {
	out := make([]Content, len(l.members))
	for i, c := range l.members {
		out[i] = c.Content
	}
	return out
}

// told returns the listing as hosts are told of it.
func (l *listing) told(now time.Time) Listing {
	contents := l.contents()
	return Listing{Content: contents[0], Others: contents[1:], Left: l.until.Sub(now)}
}

// explains reports whether a request that the listing refuses was in flight at a crash that is evidence against all members.
func (l *listing) explains(k *crash) bool {
	for _, c := range l.members {
		if _, ok := c.crashes[k.key]; !ok {
			return false
		}
	}
	return k.hadTogether(l.members...)
}

// interval returns the time from the listing, or from the last trial that crashed a server, to the next trial.
func (l *listing) interval() time.Duration {
	if !l.isConfirmed && l.failedTrials < maxEarlyTrials {
		return earlyTrialTime << l.failedTrials
	}
	return min(minListTime<<l.failedTrials, maxListTime)
}

// trialTimeout returns the time after which another trial request is granted if nothing is known of the last one.
func (l *listing) trialTimeout() time.Duration {
	if l.isConfirmed {
		return trialTime
	}
	return earlyTrialTimeout
}

// list lists contents together. If the list is full, the listing that ends first gives way.
func (d *Detector) list(now time.Time, members []*suspicion) *listing {
	slices.SortFunc(members, compareContents)
	members = members[:min(len(members), maxTogether)]
	l := &listing{members: members}
	for _, other := range d.listed {
		if !slices.ContainsFunc(members, func(c *suspicion) bool { return !slices.Contains(other.members, c) }) {
			// What the other one refuses is refused by this one, too.
			d.drop(other)
		}
	}
	if len(d.listed) >= maxListed {
		var first *listing
		for _, other := range d.listed {
			if first == nil || other.until.Before(first.until) {
				first = other
			}
		}
		d.endListing(first)
	}
	for _, c := range members {
		c.listings++
	}
	if same := d.listed[l.key()]; same != nil {
		d.drop(same)
	}
	d.listed[l.key()] = l
	d.dropSuperseded(l)
	l.isConfirmed = d.isConfirmed(l)
	l.until = now.Add(l.interval())
	d.listChanged(Listed{l.contents(), len(members[0].crashes)})
	return l
}

// dropSuperseded drops the unconfirmed listings whose crashes a new one explains as well: crashes went on in spite of them.
func (d *Detector) dropSuperseded(l *listing) {
	for _, other := range d.listed {
		if other == l || other.isConfirmed || !other.adoptedAt.IsZero() || !d.explainsAllOf(l, other) {
			continue
		}
		d.drop(other)
		d.listChanged(Expired{other.contents()})
	}
}

// explainsAllOf reports whether a listing explains all crashes that another one explains.
func (d *Detector) explainsAllOf(l, other *listing) bool {
	for _, k := range d.crashes {
		if other.explains(k) && !l.explains(k) {
			return false
		}
	}
	return true
}

// adopt takes over a listing of an earlier leader.
func (d *Detector) adopt(now time.Time, told Listing) {
	if d.listed[told.Content.ID] != nil {
		return
	}
	var members []*suspicion
	for _, content := range append([]Content{told.Content}, told.Others...) {
		c := d.content(now, content)
		if c == nil {
			return
		}
		members = append(members, c)
	}
	l := d.list(now, members)
	l.adoptedAt = now
	l.until = now.Add(min(max(told.Left, 0), maxListTime))
}

// drop removes a listing.
func (d *Detector) drop(l *listing) {
	delete(d.listed, l.key())
	for _, c := range l.members {
		c.listings--
	}
	d.listRevision = d.revision.N + 1
}

// endListing ends a listing without evidence of innocence.
func (d *Detector) endListing(l *listing) {
	d.drop(l)
	for _, c := range l.members {
		clear(c.crashes)
		d.clearSuspicion(c)
	}
	d.listChanged(Expired{l.contents()})
}

// unlist takes a content that was answered out of all listings. What is left of them is refused on, since one of them is at fault.
func (d *Detector) unlist(now time.Time, c *suspicion) {
	for _, l := range d.listed {
		if !slices.Contains(l.members, c) || !c.answeredAt.After(l.adoptedAt) {
			continue
		}
		d.drop(l)
		rest := slices.DeleteFunc(slices.Clone(l.members), func(m *suspicion) bool { return m == c })
		if len(rest) == 0 {
			d.clearListed(c)
			continue
		}
		narrowed := d.list(now, rest)
		narrowed.adoptedAt, narrowed.failedTrials = l.adoptedAt, l.failedTrials
		narrowed.until = now.Add(narrowed.interval())
	}
}

// clearListed records that a content is no longer listed since it was answered. The end of its suspicion tells it otherwise.
func (d *Detector) clearListed(c *suspicion) {
	if d.suspected[c.ID] == nil {
		d.changed(Cleared{c.Content})
	}
}

// isConfirmed reports whether an answer sets the members of a listing apart from other contents in flight at their crashes.
func (d *Detector) isConfirmed(l *listing) bool {
	for _, k := range d.crashes {
		if k.setsApart() && l.explains(k) {
			return true
		}
	}
	return false
}

// confirm puts off the trials of listings that answers have confirmed since.
func (d *Detector) confirm(now time.Time) {
	for _, l := range d.listed {
		if l.isConfirmed || !d.isConfirmed(l) {
			continue
		}
		l.isConfirmed = true
		l.until = now.Add(l.interval())
		d.listChanged(Listed{l.contents(), len(l.members[0].crashes)})
	}
}

// judgeTrials extends the listings that were due for a trial at a crash of their contents.
func (d *Detector) judgeTrials(now time.Time, k *crash) {
	for _, l := range d.listed {
		if now.Before(l.until) || !l.explains(k) {
			continue
		}
		l.failedTrials++
		l.until = now.Add(l.interval())
		d.listChanged(Listed{l.contents(), len(l.members[0].crashes)})
	}
}

// grantTrials returns the contents of which an entry host may send one request to a server: listed ones that are due for a trial.
func (d *Detector) grantTrials(now time.Time, refused []fleet.Fingerprint) []fleet.Fingerprint {
	var out []fleet.Fingerprint
	for _, id := range refused {
		l := d.listed[id]
		if l == nil || now.Before(l.until) || !l.isConfirmed && now.Sub(d.lastCrash()) < earlyTrialTime {
			continue
		}
		if now.Sub(l.triedAt) >= l.trialTimeout() {
			l.triedAt = now
			out = append(out, id)
			d.changes = append(d.changes, Tried{l.contents()})
		}
	}
	return out
}

// lastCrash returns the time of the last crash. An early trial soon after it would be in flight beside what caused it.
func (d *Detector) lastCrash() time.Time {
	var last time.Time
	for _, k := range d.crashes {
		if k.at.After(last) {
			last = k.at
		}
	}
	return last
}

// listChanged records a change of the list.
func (d *Detector) listChanged(c Change) {
	d.listRevision = d.revision.N + 1
	d.changed(c)
}
