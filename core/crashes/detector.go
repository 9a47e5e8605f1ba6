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
	key      fleet.BackendIncarnation
	at       time.Time
	contents map[fleet.Fingerprint]bool
	// requests holds the contents of each request that was in flight.
	requests [][]fleet.Fingerprint
	// answeredAt is the time of the last known answer to a request that has one of the contents.
	answeredAt time.Time
	// isExplained is set if one of the requests is refused now.
	isExplained bool
}

// add adds a request.
func (k *crash) add(contents []Content) {
	ids := make([]fleet.Fingerprint, len(contents))
	for i, c := range contents {
		ids[i] = c.ID
	}
	if len(k.requests) < maxCrashRequests*4 && !slices.ContainsFunc(k.requests, func(other []fleet.Fingerprint) bool { return slices.Equal(other, ids) }) {
		k.requests = append(k.requests, ids)
	}
}

// hadTogether reports whether one of the requests had all of the contents.
func (k *crash) hadTogether(contents ...*suspicion) bool {
	for _, c := range contents {
		if !k.contents[c.ID] {
			return false
		}
	}
	return slices.ContainsFunc(k.requests, func(ids []fleet.Fingerprint) bool {
		return !slices.ContainsFunc(contents, func(c *suspicion) bool { return !slices.Contains(ids, c.ID) })
	})
}

// setsApart reports whether an answer since the crash shows that servers answer requests with some of the contents again, so that those
// without an answer stand out.
func (k *crash) setsApart() bool { return k.answeredAt.After(k.at) }

// suspicion is what is known of one content.
type suspicion struct {
	Content
	// crashes holds the crashes after answeredAt, the time of the last known answer.
	crashes    map[fleet.BackendIncarnation]time.Time
	answeredAt time.Time
	// suspectedAt is the time from which the content has been suspected, or zero.
	suspectedAt time.Time
	touchedAt   time.Time
	// listings is the number of listings with the content.
	listings int
}

// Detector decides which contents are listed. The zero value is not usable; see NewDetector.
type Detector struct {
	revision Revision
	// listRevision is the revision at which listed changed last.
	listRevision uint64
	crashes      map[fleet.BackendIncarnation]*crash
	contents     map[fleet.Fingerprint]*suspicion
	// suspected holds the contents whose suspectedAt is set, listed the listings by the first of their contents.
	suspected map[fleet.Fingerprint]*suspicion
	listed    map[fleet.Fingerprint]*listing
	changes   []Change
}

// NewDetector returns an empty detector for a leader of the given term.
func NewDetector(term uint64) *Detector {
	return &Detector{
		revision: Revision{Term: term}, crashes: map[fleet.BackendIncarnation]*crash{}, contents: map[fleet.Fingerprint]*suspicion{},
		suspected: map[fleet.Fingerprint]*suspicion{}, listed: map[fleet.Fingerprint]*listing{},
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
	s := &State{Revision: d.revision, Suspects: d.toldSuspects(now)}
	for _, l := range d.listed {
		s.Listed = append(s.Listed, l.told(now))
	}
	slices.SortFunc(s.Listed, func(a, b Listing) int { return cmp.Compare(a.Content.ID, b.Content.ID) })
	return s
}

// toldSuspects returns the contents of whose answers hosts should tell: those that are listed together first, then the suspected ones.
func (d *Detector) toldSuspects(now time.Time) []Suspect {
	told := map[fleet.Fingerprint]*suspicion{}
	for _, l := range d.listed {
		for _, c := range l.members {
			told[c.ID] = c
		}
	}
	maps.Copy(told, d.suspected)
	suspects := make([]Suspect, 0, len(told))
	for id, c := range told {
		suspect := Suspect{ID: id}
		if len(c.crashes) > 0 {
			suspect.Age = now.Sub(c.firstCrash())
		}
		suspects = append(suspects, suspect)
	}
	isListed := func(s Suspect) int { return min(told[s.ID].listings, 1) }
	slices.SortFunc(suspects, func(a, b Suspect) int {
		return cmp.Or(cmp.Compare(isListed(b), isListed(a)), cmp.Compare(b.Age, a.Age), cmp.Compare(a.ID, b.ID))
	})
	return suspects[:min(len(suspects), maxSuspects)]
}

// observeCrash records a crash.
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
		k = &crash{key: key, at: at, contents: map[fleet.Fingerprint]bool{}}
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
		if k.at.After(c.answeredAt) {
			c.crashes[key] = k.at
			d.suspect(now, c)
		}
	}
	for _, contents := range report.requests() {
		k.add(contents)
	}
	d.judgeTrials(now, k)
}

// suspect suspects a content that was in flight at enough crashes.
func (d *Detector) suspect(now time.Time, c *suspicion) {
	if d.suspected[c.ID] != nil || len(c.crashes) < suspectCrashes {
		return
	}
	c.suspectedAt = now
	d.suspected[c.ID] = c
	d.changed(Suspected{c.Content, len(c.crashes)})
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
		if c.listings == 0 && (oldest.IsZero() || c.touchedAt.Before(oldest)) {
			oldest = c.touchedAt
		}
	}
	if oldest.IsZero() || !oldest.Before(now) {
		return false
	}
	for id, c := range d.contents {
		if c.listings == 0 && !c.touchedAt.After(oldest) {
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
	for _, k := range d.crashes {
		if k.contents[c.ID] && at.After(k.answeredAt) {
			k.answeredAt = at
		}
	}
	maps.DeleteFunc(c.crashes, func(_ fleet.BackendIncarnation, crashed time.Time) bool { return !crashed.After(at) })
	if c.listings > 0 && len(c.crashes) == 0 {
		d.unlist(now, c)
	}
	d.clearSuspicion(c)
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
