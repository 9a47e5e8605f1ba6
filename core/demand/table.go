package demand

import (
	"math"
	"time"

	"toucanway/core/fleet"
)

// DefaultMaxAge is the age at which a host's report no longer counts.
const DefaultMaxAge = 5 * time.Second

// defaultService is the time that one request runs, until it is learnt.
const defaultService = 2 * time.Second

// Table adds up the reports of all hosts. It is not safe for concurrent use.
type Table struct {
	maxAge time.Duration
	hosts  map[fleet.HostID]*stored
	models map[fleet.ModelID]*Model
}

type stored struct {
	at     time.Time
	report Report
}

// Model is the demand of one model over all hosts.
type Model struct {
	Waiting int
	Running int
	// Alone is the number of waiting requests that must not run on the last replica.
	Alone int
	// Class is the most urgent class that waits.
	Class fleet.Class
	// Earliest is the time left until the earliest deadline of a waiting request; 0 means none.
	Earliest time.Duration
	// Regions counts the requests by the callers' region.
	Regions map[fleet.Region]int
	// Busy is the number of running requests, smoothed over the span given to Update.
	Busy float64

	updated time.Time
	// waits holds the entries with waiting requests by host.
	waits   map[fleet.HostID]*wait
	changed bool
	// calls counts arrivals since counted, rate is their smoothed number per second.
	calls   int
	counted time.Time
	rate    float64
	service time.Duration
}

// wait is what waits at one host.
type wait struct {
	received time.Time
	class    fleet.Class
	earliest time.Duration
}

// New returns a table without reports; maxAge 0 means DefaultMaxAge.
func New(maxAge time.Duration) *Table {
	if maxAge <= 0 {
		maxAge = DefaultMaxAge
	}
	return &Table{maxAge: maxAge, hosts: map[fleet.HostID]*stored{}, models: map[fleet.ModelID]*Model{}}
}

// Declare returns the demand of a model, which counts from then on; reports of other models are passed over.
func (t *Table) Declare(id fleet.ModelID) *Model {
	m := t.models[id]
	if m == nil {
		m = &Model{Class: fleet.Classes, Regions: map[fleet.Region]int{}, waits: map[fleet.HostID]*wait{}}
		t.models[id] = m
	}
	return m
}

// Forget drops a model.
func (t *Table) Forget(id fleet.ModelID) { delete(t.models, id) }

// Observe replaces the last report of a host and returns whether it is newer than that one.
func (t *Table) Observe(now time.Time, r Report) bool {
	old := t.hosts[r.Host]
	if old != nil {
		o := &old.report
		if r.Incarnation < o.Incarnation || r.Incarnation == o.Incarnation && r.Seq <= o.Seq {
			return false
		}
		t.drop(o)
	}
	t.hosts[r.Host] = &stored{at: now, report: r}
	for i := range r.Entries {
		e := &r.Entries[i]
		m := t.models[e.Target.Model]
		if m == nil {
			continue
		}
		m.add(e, 1)
		m.calls += e.Calls
		if e.Waiting > 0 {
			m.wait(now, r.Host, e)
		}
	}
	return true
}

// Expire drops the reports of hosts that sent none for the maximum age.
func (t *Table) Expire(now time.Time) {
	for id, h := range t.hosts {
		if now.Sub(h.at) > t.maxAge {
			t.drop(&h.report)
			delete(t.hosts, id)
		}
	}
}

func (t *Table) drop(r *Report) {
	for i := range r.Entries {
		e := &r.Entries[i]
		m := t.models[e.Target.Model]
		if m == nil {
			continue
		}
		m.add(e, -1)
		if e.Waiting > 0 {
			delete(m.waits, r.Host)
			m.changed = true
		}
	}
}

func (m *Model) add(e *Entry, sign int) {
	m.Waiting += sign * e.Waiting
	m.Running += sign * e.Running
	m.Alone += sign * e.Alone
	if n := e.Waiting + e.Running + e.Calls; n > 0 && e.Region != "" {
		if m.Regions[e.Region] += sign * n; m.Regions[e.Region] <= 0 {
			delete(m.Regions, e.Region)
		}
	}
}

func (m *Model) wait(now time.Time, host fleet.HostID, e *Entry) {
	w := m.waits[host]
	if w == nil {
		w = &wait{received: now, class: e.Class, earliest: e.Earliest}
		m.waits[host] = w
	}
	w.class = min(w.class, e.Class)
	if w.earliest == 0 || e.Earliest > 0 && e.Earliest < w.earliest {
		w.earliest = e.Earliest
	}
	m.changed = true
}

// Active reports whether any request waits or runs.
func (m *Model) Active() bool { return m.Waiting > 0 || m.Running > 0 }

// Service returns the time that one request runs on average.
func (m *Model) Service() time.Duration {
	if m.service > 0 {
		return m.service
	}
	return defaultService
}

// Update brings the averages and the earliest deadline up to a time; span is the time over which Busy is smoothed.
func (m *Model) Update(now time.Time, span time.Duration) {
	if !m.updated.IsZero() {
		w := 1 - math.Exp(-now.Sub(m.updated).Seconds()/span.Seconds())
		m.Busy += (float64(m.Running) - m.Busy) * w
	}
	m.updated = now
	m.updateRate(now)
	if !m.changed {
		return
	}
	m.changed = false
	m.Class, m.Earliest = fleet.Classes, 0
	for _, w := range m.waits {
		m.Class = min(m.Class, w.class)
		left := max(w.earliest-now.Sub(w.received), time.Millisecond)
		if w.earliest > 0 && (m.Earliest == 0 || left < m.Earliest) {
			m.Earliest = left
		}
	}
}

// updateRate follows the rate of calls and, while none waits, the time that a request runs.
func (m *Model) updateRate(now time.Time) {
	if m.counted.IsZero() {
		m.counted = now
		return
	}
	elapsed := now.Sub(m.counted).Seconds()
	if elapsed < 1 {
		return
	}
	const rateWeight, serviceWeight, minRate = 0.3, 0.1, 0.1
	m.rate = m.rate*(1-rateWeight) + float64(m.calls)/elapsed*rateWeight
	m.calls, m.counted = 0, now
	if m.Waiting == 0 && m.Running > 0 && m.rate > minRate {
		s := float64(m.Running) / m.rate * float64(time.Second)
		m.service = time.Duration(float64(m.Service())*(1-serviceWeight) + s*serviceWeight)
	}
}
