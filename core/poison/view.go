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
	DefaultLimit  = control.MaxCrashRecords
	DefaultExpiry = 10 * time.Minute
	// DefaultLocalExpiry is how long a request is suspected while the control state has not confirmed the crash.
	DefaultLocalExpiry = 30 * time.Second
)

// Settings configure a View; zero fields mean the defaults above.
type Settings struct {
	// Limit bounds the crash records, and also the suspects that are not confirmed.
	Limit int
	// Expiry is how long a crash record applies after its last change; LocalExpiry is the same for a suspect that is not
	// confirmed.
	Expiry      time.Duration
	LocalExpiry time.Duration
}

// View holds the crash records of the control state and the suspects of one entry host that are not confirmed yet. It is not
// safe for concurrent use.
type View struct {
	cfg           Settings
	crashRecords  map[fleet.Fingerprint]seenRecord
	localSuspects map[fleet.Fingerprint]time.Time
}

// seenRecord is a crash record with the time when this host first saw its last change.
type seenRecord struct {
	record control.CrashRecord
	since  time.Time
}

// New returns an empty view.
func New(cfg Settings) *View {
	cfg.Limit = cmp.Or(cfg.Limit, DefaultLimit)
	cfg.Expiry = cmp.Or(cfg.Expiry, DefaultExpiry)
	cfg.LocalExpiry = cmp.Or(cfg.LocalExpiry, DefaultLocalExpiry)
	return &View{cfg: cfg, crashRecords: map[fleet.Fingerprint]seenRecord{}, localSuspects: map[fleet.Fingerprint]time.Time{}}
}

// SetCrashRecords replaces the crash records by those of the control state, which bounds their number. The expiry of a record
// counts from the time when this host first sees its last change, since the clocks of hosts are not synchronised.
func (v *View) SetCrashRecords(now time.Time, records []control.CrashRecord) {
	next := make(map[fleet.Fingerprint]seenRecord, len(records))
	for _, r := range records[max(0, len(records)-v.cfg.Limit):] {
		since := now
		if old, ok := v.crashRecords[r.Fingerprint]; ok && old.record.Index == r.Index {
			since = old.since
		}
		next[r.Fingerprint] = seenRecord{record: r, since: since}
		delete(v.localSuspects, r.Fingerprint)
	}
	v.crashRecords = next
}

// Suspect records the requests that a backend server ran when it crashed, until the control state confirms the crash.
func (v *View) Suspect(now time.Time, fingerprints ...fleet.Fingerprint) {
	for _, f := range fingerprints {
		if len(v.localSuspects) >= v.cfg.Limit {
			v.dropOldest()
		}
		v.localSuspects[f] = now
	}
}

func (v *View) dropOldest() {
	var oldest fleet.Fingerprint
	first := true
	for f, at := range v.localSuspects {
		if o := v.localSuspects[oldest]; first || at.Before(o) || at.Equal(o) && f < oldest {
			oldest, first = f, false
		}
	}
	delete(v.localSuspects, oldest)
}

// Decision is how a request may run: Run, RunAlone, Wait or Refuse.
type Decision interface{ isDecision() }

// Run lets a request run as usual.
type Run struct{}

// MinReplicas is the number of ready replicas that a model needs before a suspect may run on one of them.
const MinReplicas = 2

// RunAlone lets a suspect run on a backend server that runs nothing else.
type RunAlone struct{}

// Wait makes a suspect wait until its model has a second replica; Refusal is its answer if its deadline passes first.
type Wait struct{ Refusal *fleet.Refusal }

// Refuse refuses a request.
type Refuse struct{ Refusal *fleet.Refusal }

func (Run) isDecision()      {}
func (RunAlone) isDecision() {}
func (Wait) isDecision()     {}
func (Refuse) isDecision()   {}

// Decide returns how a request may run, given the number of ready replicas of its model. A suspect never runs on the last
// replica.
func (v *View) Decide(now time.Time, f fleet.Fingerprint, replicas int) Decision {
	s, onRecord := v.crashRecords[f]
	if left := s.since.Add(v.cfg.Expiry).Sub(now); onRecord && left > 0 {
		if s.record.Poison {
			return Refuse{fleet.Refuse(fleet.CodePoisonRequest, left,
				"this request crashed %d backend servers; change it or send it again later", s.record.Crashes)}
		}
		return runAloneOrWait(replicas, left)
	}
	if at, ok := v.localSuspects[f]; ok {
		if left := at.Add(v.cfg.LocalExpiry).Sub(now); left > 0 {
			return runAloneOrWait(replicas, left)
		}
		delete(v.localSuspects, f)
	}
	return Run{}
}

func runAloneOrWait(replicas int, left time.Duration) Decision {
	if replicas < MinReplicas {
		return Wait{fleet.Refuse(fleet.CodePoisonRequest, left,
			"this request is suspected of crashing a backend server and the model has one replica left")}
	}
	return RunAlone{}
}

// Completed removes the suspicion of a request that ran to its end, and reports whether its crash record in the control
// state has to be deleted. The crash record of a poison request stays until it expires.
func (v *View) Completed(f fleet.Fingerprint) (deleteRecord bool) {
	delete(v.localSuspects, f)
	s, ok := v.crashRecords[f]
	return ok && !s.record.Poison
}

// Expired returns the fingerprints of expired crash records in ascending order, for the control leader to delete.
func (v *View) Expired(now time.Time) []fleet.Fingerprint {
	var out []fleet.Fingerprint
	for f, s := range v.crashRecords {
		if !now.Before(s.since.Add(v.cfg.Expiry)) {
			out = append(out, f)
		}
	}
	slices.Sort(out)
	return out
}
