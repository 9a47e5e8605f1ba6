package crashes

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"toucanway/core/fleet"
)

// crash is a crash as reported by all hosts.
type crash struct {
	at       time.Time
	contents map[fleet.Fingerprint]bool
	// explanations is the number of listed contents among them.
	explanations int
}

// suspicion is what is known of one content.
type suspicion struct {
	Content
	// crashes holds the crashes after answeredAt, the time of the last known answer.
	crashes    map[fleet.BackendIncarnation]time.Time
	answeredAt time.Time
	// suspectedAt is the time from which the content has been suspected, or zero.
	suspectedAt time.Time
	// listedUntil is the time of the next trial of a listed content, listTime the time from its listing to then, and triedAt the time
	// of the last grant of a trial request.
	listedUntil, triedAt time.Time
	listTime             time.Duration
	touchedAt            time.Time
}

// Detector decides which contents are listed. The zero value is not usable; see NewDetector.
type Detector struct {
	revision Revision
	// listRevision is the revision at which listed changed last.
	listRevision uint64
	crashes      map[fleet.BackendIncarnation]*crash
	contents     map[fleet.Fingerprint]*suspicion
	// suspected and listed hold the contents whose suspectedAt or listedUntil is set.
	suspected, listed map[fleet.Fingerprint]*suspicion
	changes           []Change
}

// NewDetector returns an empty detector for a leader of the given term.
func NewDetector(term uint64) *Detector {
	return &Detector{
		revision: Revision{Term: term}, crashes: map[fleet.BackendIncarnation]*crash{}, contents: map[fleet.Fingerprint]*suspicion{},
		suspected: map[fleet.Fingerprint]*suspicion{}, listed: map[fleet.Fingerprint]*suspicion{},
	}
}

// Handle processes the report of an entry host, which is nil if the host has nothing to tell, and returns the state that the host
// lacks, or nil.
func (d *Detector) Handle(now time.Time, r *Report) *State {
	if r == nil {
		r = &Report{}
	}
	for _, l := range r.Listed {
		d.adopt(now, l)
	}
	for _, c := range r.Crashes {
		d.observeCrash(now, c)
	}
	for _, a := range r.Answers {
		d.observeAnswer(now, a)
	}
	if len(r.Crashes) > 0 {
		d.decide(now)
	}
	if trials := d.grantTrials(now, r.Refused); len(trials) > 0 {
		s := d.state(now)
		s.Trials = trials
		return s
	}
	if r.Known == d.revision {
		return nil
	}
	if r.Known == (Revision{}) && len(d.suspected) == 0 && len(d.listed) == 0 && len(r.Crashes) == 0 {
		return nil
	}
	return d.state(now)
}

// Listings returns the state if the list has changed since the known revision, else nil.
func (d *Detector) Listings(now time.Time, known Revision) *State {
	if known.Term != d.revision.Term && len(d.listed) == 0 || known.Term == d.revision.Term && known.N >= d.listRevision {
		return nil
	}
	return d.state(now)
}

// ListRevision returns the revision at which the list has changed last.
func (d *Detector) ListRevision() uint64 { return d.listRevision }

// Tick applies what has become due, and returns the changes since the last call for the log.
func (d *Detector) Tick(now time.Time) []Change {
	d.expire(now)
	d.decide(now)
	changes := d.changes
	d.changes = nil
	return changes
}

// state returns the suspected and listed contents.
func (d *Detector) state(now time.Time) *State {
	s := &State{Revision: d.revision}
	for _, c := range d.listed {
		s.Listed = append(s.Listed, Listing{Content: c.Content, Left: c.listedUntil.Sub(now)})
	}
	for _, c := range d.suspected {
		first, _ := c.span()
		s.Suspects = append(s.Suspects, Suspect{ID: c.ID, Age: now.Sub(first)})
	}
	slices.SortFunc(s.Listed, func(a, b Listing) int { return cmp.Compare(a.Content.ID, b.Content.ID) })
	slices.SortFunc(s.Suspects, func(a, b Suspect) int { return cmp.Or(cmp.Compare(b.Age, a.Age), cmp.Compare(a.ID, b.ID)) })
	s.Suspects = s.Suspects[:min(len(s.Suspects), maxSuspects)]
	return s
}

// adopt takes over a listing of an earlier leader.
func (d *Detector) adopt(now time.Time, l Listing) {
	c := d.content(now, l.Content)
	if c == nil || d.listed[c.ID] != nil {
		return
	}
	d.list(c, now.Add(min(max(l.Left, 0), maxListTime)))
}

// grantTrials returns the contents of which an entry host may send one request to a server: listed ones that are due for a trial.
func (d *Detector) grantTrials(now time.Time, refused []fleet.Fingerprint) []fleet.Fingerprint {
	var out []fleet.Fingerprint
	for _, id := range refused {
		if c := d.listed[id]; c != nil && !now.Before(c.listedUntil) && now.Sub(c.triedAt) >= trialTime {
			c.triedAt = now
			out = append(out, id)
			d.changes = append(d.changes, Tried{c.Content})
		}
	}
	return out
}

func (d *Detector) observeCrash(now time.Time, report Crash) {
	key := fleet.BackendIncarnation{Backend: report.Instance, Incarnation: report.Incarnation}
	at := now.Add(-max(report.Age, 0))
	if now.Sub(at) > retention {
		return
	}
	k := d.crashes[key]
	if k == nil {
		if len(d.crashes) >= maxCrashes {
			d.forget(slices.MinFunc(slices.Collect(maps.Keys(d.crashes)), func(a, b fleet.BackendIncarnation) int { return d.crashes[a].at.Compare(d.crashes[b].at) }))
		}
		k = &crash{at: at, contents: map[fleet.Fingerprint]bool{}}
		d.crashes[key] = k
	}
	if at.Before(k.at) {
		k.at = at
	}
	for _, content := range report.Contents {
		c := d.content(now, content)
		if c == nil || k.contents[content.ID] {
			continue
		}
		k.contents[content.ID] = true
		if d.listed[content.ID] != nil {
			k.explanations++
		}
		if !k.at.After(c.answeredAt) {
			continue
		}
		c.crashes[key] = k.at
		d.weigh(now, c)
	}
}

// weigh suspects a content, or extends its listing after a failed trial, because of another crash.
func (d *Detector) weigh(now time.Time, c *suspicion) {
	switch {
	case d.listed[c.ID] != nil && !now.Before(c.listedUntil):
		c.listTime = min(2*c.listTime, maxListTime)
		c.listedUntil = now.Add(c.listTime)
		d.changed(Listed{c.Content, len(c.crashes)})
	case d.listed[c.ID] != nil || d.suspected[c.ID] != nil:
	case len(c.crashes) >= suspectCrashes:
		c.suspectedAt = now
		d.suspected[c.ID] = c
		d.changed(Suspected{c.Content, len(c.crashes)})
	}
}

// content returns the state of a content. It returns nil if the table is full of contents that were touched at the same time or
// are listed.
func (d *Detector) content(now time.Time, content Content) *suspicion {
	c := d.contents[content.ID]
	if c == nil {
		if len(d.contents) >= maxContents && !d.dropOldest(now) {
			return nil
		}
		c = &suspicion{Content: content, crashes: map[fleet.BackendIncarnation]time.Time{}}
		d.contents[content.ID] = c
	}
	c.touchedAt = now
	return c
}

// dropOldest removes the contents that are not listed and were not touched recently, at least the oldest of them.
func (d *Detector) dropOldest(now time.Time) bool {
	var oldest time.Time
	for _, c := range d.contents {
		if c.listedUntil.IsZero() && (oldest.IsZero() || c.touchedAt.Before(oldest)) {
			oldest = c.touchedAt
		}
	}
	if oldest.IsZero() || !oldest.Before(now) {
		return false
	}
	for id, c := range d.contents {
		if c.listedUntil.IsZero() && !c.touchedAt.After(oldest) {
			clear(c.crashes)
			d.clearSuspicion(c)
			delete(d.contents, id)
		}
	}
	return true
}

// observeAnswer removes the crashes before an answer from the evidence against a content.
func (d *Detector) observeAnswer(now time.Time, a Answer) {
	c := d.contents[a.ID]
	at := now.Add(-max(a.Age, 0))
	if c == nil || !at.After(c.answeredAt) {
		return
	}
	c.answeredAt = at
	maps.DeleteFunc(c.crashes, func(_ fleet.BackendIncarnation, crashed time.Time) bool { return !crashed.After(at) })
	switch {
	case d.listed[c.ID] != nil && len(c.crashes) == 0:
		delete(d.listed, c.ID)
		d.explain(c, -1)
		c.listedUntil = time.Time{}
		d.changed(Cleared{c.Content})
	default:
		d.clearSuspicion(c)
	}
}

// clearSuspicion ends the suspicion of a content that has too few crashes left.
func (d *Detector) clearSuspicion(c *suspicion) {
	if d.suspected[c.ID] == nil || len(c.crashes) >= suspectCrashes {
		return
	}
	delete(d.suspected, c.ID)
	c.suspectedAt = time.Time{}
	d.changed(Cleared{c.Content})
}

// forget removes a crash.
func (d *Detector) forget(key fleet.BackendIncarnation) {
	for id := range d.crashes[key].contents {
		c := d.contents[id]
		if c == nil {
			continue
		}
		delete(c.crashes, key)
		d.clearSuspicion(c)
	}
	delete(d.crashes, key)
}

// changed records a change of the state.
func (d *Detector) changed(c Change) {
	d.revision.N++
	d.changes = append(d.changes, c)
}
