package poison

import (
	"cmp"
	"slices"
	"time"

	"toucanway/core/control"
	"toucanway/core/fleet"
)

// Defaults of Settings.
const (
	DefaultLimit  = control.MaxMarks
	DefaultExpiry = 10 * time.Minute
	// DefaultLocalExpiry bounds a suspicion that the control state never confirmed.
	DefaultLocalExpiry = 30 * time.Second
)

// Settings configure a View; zero fields mean the defaults above.
type Settings struct {
	Limit       int
	Expiry      time.Duration
	LocalExpiry time.Duration
}

// View is one entry host's view of suspects and marks. It is not safe for concurrent use.
type View struct {
	cfg    Settings
	marks  map[fleet.Fingerprint]seen
	locals map[fleet.Fingerprint]time.Time
}

type seen struct {
	mark  control.Mark
	since time.Time
}

// New returns an empty view.
func New(cfg Settings) *View {
	cfg.Limit = cmp.Or(cfg.Limit, DefaultLimit)
	cfg.Expiry = cmp.Or(cfg.Expiry, DefaultExpiry)
	cfg.LocalExpiry = cmp.Or(cfg.LocalExpiry, DefaultLocalExpiry)
	return &View{cfg: cfg, marks: map[fleet.Fingerprint]seen{}, locals: map[fleet.Fingerprint]time.Time{}}
}

// SetMarks replaces the marks by those of the control state, which are bounded there. A mark's expiry starts when this host
// first sees its last change, since hosts share no clock.
func (v *View) SetMarks(now time.Time, marks []control.Mark) {
	next := make(map[fleet.Fingerprint]seen, len(marks))
	for _, m := range marks[max(0, len(marks)-v.cfg.Limit):] {
		since := now
		if old, ok := v.marks[m.Fingerprint]; ok && old.mark.Index == m.Index {
			since = old.since
		}
		next[m.Fingerprint] = seen{mark: m, since: since}
		delete(v.locals, m.Fingerprint)
	}
	v.marks = next
}

// Suspect notes requests that a backend server ran when it died, until the control state confirms the crash.
func (v *View) Suspect(now time.Time, fingerprints ...fleet.Fingerprint) {
	for _, f := range fingerprints {
		if len(v.locals) >= v.cfg.Limit {
			v.dropOldest()
		}
		v.locals[f] = now
	}
}

func (v *View) dropOldest() {
	var oldest fleet.Fingerprint
	first := true
	for f, at := range v.locals {
		if o := v.locals[oldest]; first || at.Before(o) || at.Equal(o) && f < oldest {
			oldest, first = f, false
		}
	}
	delete(v.locals, oldest)
}

// Decision says how a request may run; the types below are all of them.
type Decision interface{ isDecision() }

// Run lets a request run as usual.
type Run struct{}

// MinReplicas is the number of ready replicas of its model without which a suspect must wait.
const MinReplicas = 2

// RunAlone lets a suspect run on a backend server of its own.
type RunAlone struct{}

// Wait has a suspect wait until its model has a second replica; Refusal answers it when its time is over before.
type Wait struct{ Refusal *fleet.Refusal }

// Refuse refuses a request.
type Refuse struct{ Refusal *fleet.Refusal }

func (Run) isDecision()      {}
func (RunAlone) isDecision() {}
func (Wait) isDecision()     {}
func (Refuse) isDecision()   {}

// Decide says how a request may run, given the number of ready replicas of its model. A suspect never runs on the last one.
func (v *View) Decide(now time.Time, f fleet.Fingerprint, replicas int) Decision {
	s, marked := v.marks[f]
	if left := s.since.Add(v.cfg.Expiry).Sub(now); marked && left > 0 {
		if s.mark.Poison {
			return Refuse{fleet.Refuse(fleet.CodePoisonRequest, left,
				"this request crashed %d backend servers; change it or send it again later", s.mark.Crashes)}
		}
		return alone(replicas, left)
	}
	if at, ok := v.locals[f]; ok {
		if left := at.Add(v.cfg.LocalExpiry).Sub(now); left > 0 {
			return alone(replicas, left)
		}
		delete(v.locals, f)
	}
	return Run{}
}

func alone(replicas int, left time.Duration) Decision {
	if replicas < MinReplicas {
		return Wait{fleet.Refuse(fleet.CodePoisonRequest, left,
			"this request is suspected of crashing a backend server and the model has one replica left")}
	}
	return RunAlone{}
}

// Completed drops the suspicion of a request that ran to its end, and says whether the control state holds one to clear.
func (v *View) Completed(f fleet.Fingerprint) (clear bool) {
	delete(v.locals, f)
	s, ok := v.marks[f]
	return ok && !s.mark.Poison
}

// Expired returns the marks past their expiry, in ascending order, for the control leader to clear.
func (v *View) Expired(now time.Time) []fleet.Fingerprint {
	var out []fleet.Fingerprint
	for f, s := range v.marks {
		if !now.Before(s.since.Add(v.cfg.Expiry)) {
			out = append(out, f)
		}
	}
	slices.Sort(out)
	return out
}
