package placement

import (
	"math"
	"time"

	"toucanway/core/fleet"
)

// Demand is one host's report of what its callers wait for and called since its last report.
type Demand struct {
	Host        fleet.HostID      `cbor:"1,keyasint"`
	Incarnation fleet.Incarnation `cbor:"2,keyasint"`
	// Seq orders the reports of one incarnation; older and repeated ones are dropped.
	Seq   uint64      `cbor:"3,keyasint"`
	Place fleet.Place `cbor:"4,keyasint"`
	// Entries lists targets with waiting requests, running requests or calls since the last report.
	Entries []DemandEntry `cbor:"5,keyasint,omitempty"`
}

// DemandEntry is the demand of one target, class and region of callers.
type DemandEntry struct {
	Target fleet.Target `cbor:"1,keyasint"`
	Class  fleet.Class  `cbor:"2,keyasint"`
	Region fleet.Region `cbor:"3,keyasint,omitempty"`
	// Waiting counts requests that wait now, Running those that run now.
	Waiting int `cbor:"4,keyasint,omitempty"`
	Running int `cbor:"5,keyasint,omitempty"`
	// Calls counts requests that arrived since the last report.
	Calls int `cbor:"6,keyasint,omitempty"`
	// Earliest is the time left until the earliest deadline of the waiting requests.
	Earliest time.Duration `cbor:"7,keyasint,omitempty"`
	// Oldest is the time that the oldest waiting request has waited.
	Oldest time.Duration `cbor:"8,keyasint,omitempty"`
}

// LoadResult is the measured end of one load.
type LoadResult struct {
	Order       fleet.OrderID     `cbor:"1,keyasint"`
	Model       fleet.ModelID     `cbor:"2,keyasint"`
	Backend     fleet.BackendID   `cbor:"3,keyasint"`
	Incarnation fleet.Incarnation `cbor:"4,keyasint"`
	Tier        fleet.Tier        `cbor:"5,keyasint"`
	Took        time.Duration     `cbor:"6,keyasint"`
	Failed      bool              `cbor:"7,keyasint,omitempty"`
}

// report is the last report of one host.
type report struct {
	at     time.Time
	demand Demand
}

// contribution is what one host adds to a model's demand.
type contribution struct {
	entries  []DemandEntry
	received time.Time
}

// demand is the demand of one model over all hosts.
type demand struct {
	hosts   map[fleet.HostID]*contribution
	changed bool
	waiting int
	running int
	// class is the most urgent class that waits.
	class fleet.Class
	// earliest is the time left until the earliest deadline of a waiting request; 0 means none.
	earliest time.Duration
	// regions is where the requests come from.
	regions map[fleet.Region]int
	// calls counts arrivals since counted, rate is their smoothed number per second.
	calls   int
	counted time.Time
	rate    float64
	// busy is the number of running requests, smoothed over about one load time.
	busy   float64
	busyAt time.Time
	// serviceTime is the smoothed time that a request runs.
	serviceTime time.Duration
}

// ObserveDemand takes one host's report.
func (p *Planner) ObserveDemand(now time.Time, d Demand) {
	old := p.hosts[d.Host]
	if old != nil {
		o := old.demand
		if d.Incarnation < o.Incarnation || d.Incarnation == o.Incarnation && d.Seq <= o.Seq {
			return
		}
		p.dropReport(d.Host, old)
	}
	p.hosts[d.Host] = &report{at: now, demand: d}
	for i, e := range d.Entries {
		m := p.models[e.Target.Model]
		if m == nil || !m.declared {
			continue
		}
		if m.hosts == nil {
			m.hosts = map[fleet.HostID]*contribution{}
		}
		c := m.hosts[d.Host]
		if c == nil {
			c = &contribution{received: now}
			m.hosts[d.Host] = c
		}
		c.entries = append(c.entries, d.Entries[i])
		m.changed = true
		m.calls += e.Calls
		if e.Calls > 0 {
			p.warm.Observe(now, m.target())
			if e.Target.Adapter != "" {
				p.warm.Observe(now, e.Target)
			}
		}
	}
}

func (p *Planner) dropReport(id fleet.HostID, r *report) {
	for _, e := range r.demand.Entries {
		if m := p.models[e.Target.Model]; m != nil {
			delete(m.hosts, id)
			m.changed = true
		}
	}
	delete(p.hosts, id)
}

// active reports whether any request waits, runs or came lately.
func (d *demand) active() bool { return d.waiting > 0 || d.running > 0 }

func (d *demand) service() time.Duration {
	if d.serviceTime > 0 {
		return d.serviceTime
	}
	return defaultService
}

// sum adds up the reports of all hosts when one of them changed, and the rate of calls once a second.
func (d *demand) sum(now time.Time) {
	d.sumRate(now)
	if !d.changed {
		return
	}
	d.changed = false
	d.waiting, d.running, d.earliest, d.class = 0, 0, 0, fleet.Classes
	clear(d.regions)
	for _, c := range d.hosts {
		for i := range c.entries {
			e := &c.entries[i]
			d.waiting += e.Waiting
			d.running += e.Running
			if n := e.Waiting + e.Running + e.Calls; n > 0 && e.Region != "" {
				if d.regions == nil {
					d.regions = map[fleet.Region]int{}
				}
				d.regions[e.Region] += n
			}
			if e.Waiting == 0 {
				continue
			}
			d.class = min(d.class, e.Class)
			if left := max(e.Earliest-now.Sub(c.received), time.Millisecond); e.Earliest > 0 && (d.earliest == 0 || left < d.earliest) {
				d.earliest = left
			}
		}
	}
}

// smooth follows the running requests over a span; a rise shorter than a load cannot be met by one.
func (d *demand) smooth(now time.Time, span time.Duration) {
	if !d.busyAt.IsZero() {
		w := 1 - math.Exp(-now.Sub(d.busyAt).Seconds()/span.Seconds())
		d.busy += (float64(d.running) - d.busy) * w
	}
	d.busyAt = now
}

func (d *demand) sumRate(now time.Time) {
	if d.counted.IsZero() {
		d.counted = now
		return
	}
	span := now.Sub(d.counted).Seconds()
	if span < 1 {
		return
	}
	const weight = 0.3
	d.rate = d.rate*(1-weight) + float64(d.calls)/span*weight
	d.calls, d.counted = 0, now
	if d.waiting == 0 && d.running > 0 && d.rate > 0.1 {
		const serviceWeight = 0.1
		s := time.Duration(float64(d.running) / d.rate * float64(time.Second))
		d.serviceTime = time.Duration(float64(d.service())*(1-serviceWeight) + float64(s)*serviceWeight)
	}
}
