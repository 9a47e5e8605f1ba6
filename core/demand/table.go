package demand

import (
	"math"
	"time"

	"toucanway/core/fleet"
)

// DefaultMaxAge is the age at which a host's report is dropped.
const DefaultMaxAge = 5 * time.Second

// defaultServiceTime is the service time of a model that is assumed until it has been measured.
const defaultServiceTime = 2 * time.Second

// Table sums up the last reports of all hosts. It is not safe for concurrent use.
type Table struct {
	maxAge time.Duration
	hosts  map[fleet.HostID]*hostReport
	models map[fleet.ModelID]*Model
}

type hostReport struct {
	receivedAt time.Time
	report     Report
}

// Model is the demand of one model over all hosts.
type Model struct {
	Waiting int
	Running int
	// Alone is the number of requests that must run alone, and not on the last replica.
	Alone int
	// Class is the highest class of a waiting request; fleet.NumClasses if none waits.
	Class fleet.Class
	// TimeToDeadline is the time left until the earliest deadline of a waiting request; 0 means none.
	TimeToDeadline time.Duration
	// Regions counts the requests by the callers' region.
	Regions map[fleet.Region]int
	// MeanRunning is the moving average of the number of running requests, as of the last Update.
	MeanRunning float64

	updated time.Time
	// waitingByHost summarises the waiting requests of each host that has any; changed means that Class and TimeToDeadline have
	// to be computed again.
	waitingByHost map[fleet.HostID]*hostWaiting
	changed       bool
	// calls counts arrivals since rateUpdated; rate is the moving average of their number per second.
	calls       int
	rateUpdated time.Time
	rate        float64
	serviceTime time.Duration
}

// hostWaiting is the highest class and the earliest deadline of the waiting requests at one host.
type hostWaiting struct {
	receivedAt     time.Time
	class          fleet.Class
	timeToDeadline time.Duration
}

// New returns a table without reports; maxAge 0 means DefaultMaxAge.
func New(maxAge time.Duration) *Table {
	if maxAge <= 0 {
		maxAge = DefaultMaxAge
	}
	return &Table{maxAge: maxAge, hosts: map[fleet.HostID]*hostReport{}, models: map[fleet.ModelID]*Model{}}
}

// Declare returns the demand of a model, which is counted from then on. Entries of models that were not declared are
// ignored.
func (t *Table) Declare(id fleet.ModelID) *Model {
	m := t.models[id]
	if m == nil {
		m = &Model{Class: fleet.NumClasses, Regions: map[fleet.Region]int{}, waitingByHost: map[fleet.HostID]*hostWaiting{}}
		t.models[id] = m
	}
	return m
}

// Forget removes a declared model.
func (t *Table) Forget(id fleet.ModelID) { delete(t.models, id) }

// Observe replaces the last report of a host if the new one is newer, and returns whether it is.
func (t *Table) Observe(now time.Time, r Report) bool {
	old := t.hosts[r.Host]
	if old != nil {
		o := &old.report
		if r.Incarnation < o.Incarnation || r.Incarnation == o.Incarnation && r.Seq <= o.Seq {
			return false
		}
		t.subtract(o)
	}
	t.hosts[r.Host] = &hostReport{receivedAt: now, report: r}
	for i := range r.Entries {
		e := &r.Entries[i]
		m := t.models[e.Target.Model]
		if m == nil {
			continue
		}
		m.add(e, 1)
		m.calls += e.Calls
		if e.Waiting > 0 {
			m.addWaiting(now, r.Host, e)
		}
	}
	return true
}

// Expire drops the reports of hosts that sent none for the maximum age.
func (t *Table) Expire(now time.Time) {
	for id, h := range t.hosts {
		if now.Sub(h.receivedAt) > t.maxAge {
			t.subtract(&h.report)
			delete(t.hosts, id)
		}
	}
}

func (t *Table) subtract(r *Report) {
	for i := range r.Entries {
		e := &r.Entries[i]
		m := t.models[e.Target.Model]
		if m == nil {
			continue
		}
		m.add(e, -1)
		if e.Waiting > 0 {
			delete(m.waitingByHost, r.Host)
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

func (m *Model) addWaiting(now time.Time, host fleet.HostID, e *Entry) {
	w := m.waitingByHost[host]
	if w == nil {
		w = &hostWaiting{receivedAt: now, class: e.Class, timeToDeadline: e.TimeToDeadline}
		m.waitingByHost[host] = w
	}
	w.class = min(w.class, e.Class)
	if w.timeToDeadline == 0 || e.TimeToDeadline > 0 && e.TimeToDeadline < w.timeToDeadline {
		w.timeToDeadline = e.TimeToDeadline
	}
	m.changed = true
}

// Active reports whether any request waits or runs.
func (m *Model) Active() bool { return m.Waiting > 0 || m.Running > 0 }

// ServiceTime returns the time that one request runs on average.
func (m *Model) ServiceTime() time.Duration {
	if m.serviceTime > 0 {
		return m.serviceTime
	}
	return defaultServiceTime
}

// Update computes the averages and the earliest deadline at the given time; smoothing is the time constant of MeanRunning.
func (m *Model) Update(now time.Time, smoothing time.Duration) {
	if !m.updated.IsZero() {
		w := 1 - math.Exp(-now.Sub(m.updated).Seconds()/smoothing.Seconds())
		m.MeanRunning += (float64(m.Running) - m.MeanRunning) * w
	}
	m.updated = now
	m.updateRate(now)
	if !m.changed {
		return
	}
	m.changed = false
	m.Class, m.TimeToDeadline = fleet.NumClasses, 0
	for _, w := range m.waitingByHost {
		m.Class = min(m.Class, w.class)
		left := max(w.timeToDeadline-now.Sub(w.receivedAt), time.Millisecond)
		if w.timeToDeadline > 0 && (m.TimeToDeadline == 0 || left < m.TimeToDeadline) {
			m.TimeToDeadline = left
		}
	}
}

// updateRate updates the average rate of calls and, while no request waits, the average service time, which is the number of
// running requests divided by that rate.
func (m *Model) updateRate(now time.Time) {
	if m.rateUpdated.IsZero() {
		m.rateUpdated = now
		return
	}
	elapsed := now.Sub(m.rateUpdated).Seconds()
	if elapsed < 1 {
		return
	}
	const rateWeight, serviceWeight, minRate = 0.3, 0.1, 0.1
	m.rate = m.rate*(1-rateWeight) + float64(m.calls)/elapsed*rateWeight
	m.calls, m.rateUpdated = 0, now
	if m.Waiting == 0 && m.Running > 0 && m.rate > minRate {
		s := float64(m.Running) / m.rate * float64(time.Second)
		m.serviceTime = time.Duration(float64(m.ServiceTime())*(1-serviceWeight) + s*serviceWeight)
	}
}
