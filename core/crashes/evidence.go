package crashes

import (
	"maps"
	"math"
	"slices"
	"time"

	"toucanway/core/fleet"
)

// Bounds of an Evidence; the oldest entries give way.
const (
	maxOwnCrashes    = 64
	maxCrashContents = 256
	maxCrashRequests = 128
	maxAnswered      = 4096
)

// Evidence is what one entry host knows of crashes and answers, and what the leader has told it. The zero value is empty.
type Evidence struct {
	known    Revision
	crashes  []ownCrash
	answered answerTimes
	suspects map[fleet.Fingerprint]*observed
	listed   map[fleet.Fingerprint]*observed
	// adopted is set while a new leader has to be told of the listings.
	adopted bool
}

// ownCrash is a crash with this host's requests.
type ownCrash struct {
	Crash
	at time.Time
	// sending is set while the crash is part of a report, sent once the leader has confirmed it.
	sending, sent bool
}

// observed is a suspected or listed content with this host's last answer.
type observed struct {
	content Content
	// others holds the contents that a request has to have as well for a listing to refuse it.
	others []Content
	// since is the first crash; an answer before it says nothing. until is the time from which a listed content may be tried.
	since, until time.Time
	// refused is set once a request was refused, trial while one may be let through.
	refused, trial bool
	// toldAt is the time of the last answer of which the leader knows.
	answeredAt, toldAt time.Time
}

// answerTimes holds the times of the last answers of recent contents in two generations, of which the older one is dropped when
// the newer one is full.
type answerTimes struct {
	newer, older map[fleet.Fingerprint]time.Time
}

func (t *answerTimes) add(now time.Time, id fleet.Fingerprint) {
	if t.newer == nil || len(t.newer) >= maxAnswered/2 {
		t.newer, t.older = make(map[fleet.Fingerprint]time.Time, maxAnswered/2), t.newer
	}
	t.newer[id] = now
}

func (t *answerTimes) last(id fleet.Fingerprint) time.Time {
	if at, ok := t.newer[id]; ok {
		return at
	}
	return t.older[id]
}

// HasCrashed reports whether this host knows of the crash of an incarnation.
func (e *Evidence) HasCrashed(id fleet.BackendID, inc fleet.Incarnation) bool {
	return e.crash(id, inc) != nil
}

func (e *Evidence) crash(id fleet.BackendID, inc fleet.Incarnation) *ownCrash {
	i := slices.IndexFunc(e.crashes, func(c ownCrash) bool { return c.Instance == id && c.Incarnation == inc })
	if i < 0 {
		return nil
	}
	return &e.crashes[i]
}

// RecordCrash records the crash of a server with the contents of a request that was in flight there.
func (e *Evidence) RecordCrash(now time.Time, id fleet.BackendID, inc fleet.Incarnation, contents []Content) {
	c := e.crash(id, inc)
	if c == nil {
		if len(e.crashes) >= maxOwnCrashes {
			e.crashes = slices.Delete(e.crashes, 0, 1)
		}
		e.crashes = append(e.crashes, ownCrash{Crash: Crash{Instance: id, Incarnation: inc}, at: now})
		c = &e.crashes[len(e.crashes)-1]
	}
	c.addRequest(contents)
	c.sending, c.sent = false, false
}

// addRequest adds the contents of a request. Those beyond maxCrashContents, and further requests beyond maxCrashRequests, are left out.
func (c *Crash) addRequest(contents []Content) {
	var indexes []uint16
	for _, content := range contents {
		i := slices.Index(c.Contents, content)
		if i < 0 {
			if len(c.Contents) >= maxCrashContents {
				continue
			}
			i = len(c.Contents)
			c.Contents = append(c.Contents, content)
		}
		indexes = append(indexes, uint16(i))
	}
	isKnown := slices.ContainsFunc(c.Requests, func(other []uint16) bool { return slices.Equal(other, indexes) })
	if len(indexes) > 0 && len(c.Requests) < maxCrashRequests && !isKnown {
		c.Requests = append(c.Requests, indexes)
	}
}

// RecordAnswer records the complete answer to a request, and reports whether the leader should be told at once, since it clears a
// content that has not been cleared by this host before.
func (e *Evidence) RecordAnswer(now time.Time, contents []Content) bool {
	urgent := false
	for _, c := range contents {
		if c.Depth != wholeRequestDepth {
			e.answered.add(now, c.ID)
		}
		for _, o := range [...]*observed{e.suspects[c.ID], e.listed[c.ID]} {
			if o != nil {
				o.answeredAt = now
				urgent = urgent || !o.toldAt.After(o.since)
			}
		}
	}
	return urgent
}

// Followed returns the state from which on this host wants to hear of listings at once. It wants none before it has told a new leader
// of those of the one before.
func (e *Evidence) Followed() Revision {
	if e.adopted {
		return Revision{Term: e.known.Term, N: math.MaxUint64}
	}
	return e.known
}

// IsTracking reports whether the leader suspects or lists any content, so that the contents of requests matter.
func (e *Evidence) IsTracking() bool { return len(e.suspects) > 0 || len(e.listed) > 0 }

// Listed returns the first listing that refuses a request with the given contents, with the time until it may be tried.
func (e *Evidence) Listed(now time.Time, contents []Content) (Listing, bool) {
	for _, c := range contents {
		if o := e.listed[c.ID]; o != nil && o.refuses(contents) {
			return Listing{Content: o.content, Others: o.others, Left: o.until.Sub(now)}, true
		}
	}
	return Listing{}, false
}

// refuses reports whether a request with the listed content has all others as well.
func (o *observed) refuses(contents []Content) bool {
	return !slices.ContainsFunc(o.others, func(c Content) bool { return !hasContent(contents, c.ID) })
}

func hasContent(contents []Content, id fleet.Fingerprint) bool {
	return slices.ContainsFunc(contents, func(c Content) bool { return c.ID == id })
}

// Admit decides on a request that a listing refuses: it reports whether the request is let through as the trial that the leader has
// granted. A trial should tell the listed contents apart from the other suspects, so that a request with one of these is let through only
// if none without has come for trialTime.
func (e *Evidence) Admit(now time.Time, l Listing, contents []Content) bool {
	o := e.listed[l.Content.ID]
	if o == nil {
		return true
	}
	if e.hasOtherSuspect(l, contents) && now.Sub(o.until) < trialTime {
		return false
	}
	admitted := o.trial
	o.trial, o.refused = false, !admitted
	return admitted
}

// hasOtherSuspect reports whether one of the contents is suspected and not part of the listing.
func (e *Evidence) hasOtherSuspect(l Listing, contents []Content) bool {
	for _, c := range contents {
		if e.suspects[c.ID] != nil && c.ID != l.Content.ID && !hasContent(l.Others, c.ID) {
			return true
		}
	}
	return false
}

// Report returns what the leader has to be told, or nil if there is nothing. Apply must follow if the leader has answered.
func (e *Evidence) Report(now time.Time) *Report {
	e.crashes = slices.DeleteFunc(e.crashes, func(c ownCrash) bool { return now.Sub(c.at) > retention })
	maps.DeleteFunc(e.listed, func(_ fleet.Fingerprint, o *observed) bool { return now.Sub(o.until) > retention })
	if len(e.crashes) == 0 && !e.IsTracking() {
		e.known = Revision{}
		return nil
	}
	r := &Report{Known: e.known}
	for i := range e.crashes {
		if c := &e.crashes[i]; !c.sent {
			c.sending = true
			out := c.Crash
			out.Age, out.Contents, out.Requests = now.Sub(c.at), slices.Clone(c.Contents), slices.Clone(c.Requests)
			r.Crashes = append(r.Crashes, out)
		}
	}
	for id, o := range e.suspects {
		if o.answeredAt.After(o.toldAt) {
			r.addAnswer(now, id, o)
		}
	}
	for id, o := range e.listed {
		if e.suspects[id] == nil && o.hasNewAnswer() {
			r.addAnswer(now, id, o)
		}
		if o.refused && !now.Before(o.until) {
			r.Refused = append(r.Refused, id)
		}
		if e.adopted {
			r.Listed = append(r.Listed, Listing{Content: o.content, Others: o.others, Left: o.until.Sub(now)})
		}
	}
	return r
}

func (r *Report) addAnswer(now time.Time, id fleet.Fingerprint, o *observed) {
	r.Answers = append(r.Answers, Answer{ID: id, Age: now.Sub(o.answeredAt)})
}

// hasNewAnswer reports whether the leader doesn't know of the last answer since the first crash.
func (o *observed) hasNewAnswer() bool {
	return o.answeredAt.After(o.since) && o.answeredAt.After(o.toldAt)
}

// Apply records that the leader has received a report at a time, and what it has answered: nil if it had nothing new. The report is
// nil if the leader has sent its state without one. Apply reports whether there is more to tell at once.
func (e *Evidence) Apply(now, reportedAt time.Time, r *Report, s *State) bool {
	if s != nil && s.Revision.Term != e.known.Term && e.known.Term != 0 {
		// A new leader knows nothing yet. What the one before has told stays in force until this host has passed it on.
		e.known = Revision{Term: s.Revision.Term}
		e.adopted = true
		for i := range e.crashes {
			e.crashes[i].sending, e.crashes[i].sent = false, false
		}
		return true
	}
	if r != nil {
		e.confirm(reportedAt, r)
	}
	outdated := s != nil && s.Revision.Term == e.known.Term && s.Revision.N < e.known.N
	if s == nil || outdated || r == nil && e.adopted {
		return false
	}
	e.known, e.adopted = s.Revision, false
	e.replace(now, s)
	return slices.ContainsFunc(slices.Collect(maps.Values(e.suspects)), func(o *observed) bool { return o.answeredAt.After(o.toldAt) })
}

// confirm marks the content of a report as told.
func (e *Evidence) confirm(reportedAt time.Time, r *Report) {
	for i := range e.crashes {
		if c := &e.crashes[i]; c.sending {
			c.sending, c.sent = false, true
		}
	}
	for _, a := range r.Answers {
		for _, o := range [...]*observed{e.suspects[a.ID], e.listed[a.ID]} {
			if o != nil {
				o.toldAt = reportedAt.Add(-a.Age)
			}
		}
	}
}

// replace takes over the leader's suspected and listed contents.
func (e *Evidence) replace(now time.Time, s *State) {
	suspects, listed := map[fleet.Fingerprint]*observed{}, map[fleet.Fingerprint]*observed{}
	for _, c := range s.Suspects {
		o := &observed{content: Content{ID: c.ID}, since: now.Add(-c.Age), answeredAt: e.answered.last(c.ID)}
		o.carryOver(e.suspects[c.ID])
		suspects[c.ID] = o
	}
	for _, l := range s.Listed {
		o := &observed{content: l.Content, others: l.Others, until: now.Add(l.Left)}
		o.carryOver(e.listed[l.Content.ID])
		// A grant ends once the trial is put off: the trial of another host has crashed a server, or answers have confirmed the listing.
		o.trial = o.trial && l.Left <= 0 || slices.Contains(s.Trials, l.Content.ID)
		if before := e.listed[l.Content.ID]; before == nil {
			// Answers so far are known to the leader, or are older than the crashes.
			o.since = now
		}
		listed[l.Content.ID] = o
	}
	e.suspects, e.listed = suspects, listed
}

// carryOver keeps what this host knew of the content before.
func (o *observed) carryOver(before *observed) {
	if before == nil {
		return
	}
	o.toldAt, o.refused, o.trial = before.toldAt, before.refused, before.trial
	if before.answeredAt.After(o.answeredAt) {
		o.answeredAt = before.answeredAt
	}
	if o.since.IsZero() {
		o.since = before.since
	}
}
