package crashes

import (
	"cmp"
	"maps"
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
	// minPresumedSpan is the time between the first and the last crash of a content that requests were answered with before, unless answers
	// to others set it apart. It is longer than it takes to kill servers one after the other.
	minPresumedSpan = 4 * time.Second
	// settleTime is the time from the suspicion to the listing, in which all entry hosts can tell of answers. They report at least
	// once a second.
	settleTime = 1500 * time.Millisecond
	// earlyTrialTime is the time from a listing that no answer has confirmed to the first trial request; it doubles up to maxEarlyTrials
	// trials that crash a server. Servers that crashed are back by then.
	earlyTrialTime = 5 * time.Second
	maxEarlyTrials = 2
	// minListTime is the time from a confirmed listing to the first trial request; it doubles up to maxListTime with each trial that
	// crashes a server.
	minListTime = time.Minute
	maxListTime = 16 * time.Minute
	// trialTime is the time after which another trial request is granted if nothing is known of the last one, earlyTrialTimeout that for
	// listings that no answer has confirmed.
	trialTime         = 10 * time.Second
	earlyTrialTimeout = 4 * time.Second
	// retention is the time for which a crash or an answer is evidence, and for which a listing that is due for a trial waits for a request.
	retention = 10 * time.Minute
	// Bounds of the tables; the oldest entries give way.
	maxCrashes  = 256
	maxContents = 4096
	maxListed   = 64
	maxSuspects = 64
	// maxTogether bounds the contents of a listing; requests share few parts, and of more the ones that fewest requests share stay.
	maxTogether = 16
)

// decide lists contents until none is due. Of several that are due, the one with the most crashes that nothing explains goes first, then
// the one that fewest requests share: what it explains no longer counts against the others.
func (d *Detector) decide(now time.Time) {
	d.confirm(now)
	for {
		d.explain()
		var best *evidence
		for _, c := range d.suspected {
			if e := d.weigh(now, c); e.isDue(now) && (best == nil || e.before(best)) {
				best = e
			}
		}
		if best == nil {
			return
		}
		d.list(now, d.inseparable(now, best))
	}
}

// explain marks the crashes at which a request that is refused now was in flight.
func (d *Detector) explain() {
	for _, k := range d.crashes {
		k.isExplained = false
		for _, l := range d.listed {
			if l.explains(k) {
				k.isExplained = true
				break
			}
		}
	}
}

// evidence is what the crashes of a content say against it.
type evidence struct {
	*suspicion
	// unexplained is the number of crashes that no listing explains; first and last are the times of the first and the last crash.
	unexplained int
	first, last time.Time
	// isSetApart is set if answers since a crash show that servers answer requests with other contents in flight there.
	isSetApart bool
	// isPresumedSound is set if requests with the content were answered before the crashes, and nothing sets it apart since: then all
	// that its requests share, and all other causes, explain the crashes as well.
	isPresumedSound bool
}

// weigh returns the evidence against a suspected content.
func (d *Detector) weigh(now time.Time, c *suspicion) *evidence {
	e := &evidence{suspicion: c}
	for key, at := range c.crashes {
		k := d.crashes[key]
		if !k.isExplained {
			e.unexplained++
		}
		if e.first.IsZero() || at.Before(e.first) {
			e.first = at
		}
		if at.After(e.last) {
			e.last = at
		}
		e.isSetApart = e.isSetApart || k.setsApart()
	}
	wasAnswered := !c.answeredAt.IsZero() && now.Sub(c.answeredAt) <= retention
	e.isPresumedSound = wasAnswered && !e.isSetApart
	return e
}

// isDue reports whether a content is to be listed: enough crashes, no answer since the first of them although the hosts had time to tell,
// and crashes that no listing explains. A single one of these may have another cause while answers to others are missing.
func (e *evidence) isDue(now time.Time) bool {
	n, span := len(e.crashes), e.last.Sub(e.first)
	switch {
	case n < listCrashes || e.unexplained == 0 || now.Sub(e.suspectedAt) < settleTime:
		return false
	case !e.isSetApart && e.unexplained < suspectCrashes:
		return false
	case e.isPresumedSound:
		return n >= burstCrashes && span >= minPresumedSpan
	default:
		return n >= burstCrashes || span >= minSpan
	}
}

// before reports whether e goes before other.
func (e *evidence) before(other *evidence) bool {
	if e.isPresumedSound != other.isPresumedSound {
		return other.isPresumedSound
	}
	return cmp.Or(cmp.Compare(other.unexplained, e.unexplained), compareContents(e.suspicion, other.suspicion)) < 0
}

// inseparable returns the contents that the same evidence speaks against as against a content, itself included: in a request together with it
// at all of its crashes that no listing explains.
func (d *Detector) inseparable(now time.Time, e *evidence) []*suspicion {
	out := []*suspicion{e.suspicion}
	for _, c := range d.suspected {
		if c != e.suspicion && d.isAlwaysTogether(append(out, c), e.suspicion) && d.weigh(now, c).isPresumedSound == e.isPresumedSound {
			out = append(out, c)
		}
	}
	return out
}

// isAlwaysTogether reports whether at each unexplained crash of a content one request had all of some contents, each of them without an answer
// since.
func (d *Detector) isAlwaysTogether(contents []*suspicion, c *suspicion) bool {
	for key := range c.crashes {
		k := d.crashes[key]
		if k.isExplained {
			continue
		}
		for _, other := range contents {
			if _, ok := other.crashes[key]; !ok {
				return false
			}
		}
		if !k.hadTogether(contents...) {
			return false
		}
	}
	return true
}

// firstCrash returns the time of the first crash that is evidence against a content.
func (c *suspicion) firstCrash() time.Time {
	var first time.Time
	for _, at := range c.crashes {
		if first.IsZero() || at.Before(first) {
			first = at
		}
	}
	return first
}

// expire ends listings and removes old evidence.
func (d *Detector) expire(now time.Time) {
	for _, l := range d.listed {
		if now.Sub(l.until) > retention {
			d.endListing(l)
		}
	}
	for key, k := range d.crashes {
		if now.Sub(k.at) > retention {
			d.forget(key)
		}
	}
	maps.DeleteFunc(d.contents, func(_ fleet.Fingerprint, c *suspicion) bool {
		return c.listings == 0 && now.Sub(c.touchedAt) > retention
	})
}
