package residency

import (
	"math"
	"time"

	"toucanway/core/fleet"
)

// rateTimeConstant is the time constant of the request rate of a target.
const rateTimeConstant = 5 * time.Second

// maxTargets bounds the number of targets with recorded demand.
const maxTargets = 8192

// Demand is one host's report of the requests for one target since its previous report.
type Demand struct {
	Service fleet.ServiceID `cbor:"1,keyasint"`
	Target  fleet.Target    `cbor:"2,keyasint"`
	// Software is the software version that the waiting requests are bound to, since their streams have begun there; empty for none.
	Software fleet.SoftwareVersion `cbor:"7,keyasint,omitempty"`
	Arrivals int                   `cbor:"3,keyasint,omitempty"`
	// Waiting is the number of requests that no backend server can take now.
	Waiting int `cbor:"4,keyasint,omitempty"`
	// TopPriority is the priority of the most urgent waiting request; 0 comes first.
	TopPriority int `cbor:"5,keyasint,omitempty"`
	// Prompt is the number of prompt tokens of the arrivals.
	Prompt fleet.Tokens `cbor:"6,keyasint,omitempty"`
}

type demandKey struct {
	service fleet.ServiceID
	target  fleet.Target
}

type demand struct {
	// requests is the number of requests and prompt the number of their prompt tokens; both decay with the time constant
	// rateTimeConstant.
	requests    float64
	prompt      float64
	firstSeen   time.Time
	decayedAt   time.Time
	lastSeen    time.Time
	waiting     map[fleet.HostID]int
	topPriority int
	// waitingSince is the time since which requests have waited without a break, waitedAt the time of the last report of one.
	waitingSince, waitedAt time.Time
}

// waitingBreak is the time without waiting requests after which the next one begins a new wait; a host's report removes its
// earlier one.
const waitingBreak = 500 * time.Millisecond

func (d *demand) decay(now time.Time) {
	if dt := now.Sub(d.decayedAt); dt > 0 {
		f := math.Exp(-float64(dt) / float64(rateTimeConstant))
		d.requests, d.prompt, d.decayedAt = d.requests*f, d.prompt*f, now
	}
}

// rate returns the recent requests and prompt tokens per second. For a target first seen less than rateTimeConstant ago it
// divides by the shorter time, so that the rate isn't underestimated.
func (d *demand) rate(now time.Time) (requests, prompt float64) {
	d.decay(now)
	age := max(now.Sub(d.firstSeen), minRateWindow)
	window := rateTimeConstant.Seconds() * (1 - math.Exp(-float64(age)/float64(rateTimeConstant)))
	return d.requests / window, d.prompt / window
}

// minRateWindow is the shortest time over which a rate is measured.
const minRateWindow = 2 * time.Second

func (d *demand) waitingRequests() int {
	n := 0
	for _, k := range d.waiting {
		n += k
	}
	return n
}

// UpdateDemand processes a host's report; the host's waiting requests for targets that are not listed have ended.
func (p *Planner) UpdateDemand(now time.Time, host fleet.HostID, list []Demand) {
	for _, k := range p.waitingAt[host] {
		if d := p.demands[k]; d != nil {
			delete(d.waiting, host)
		}
	}
	delete(p.waitingAt, host)
	p.bound.update(now, host, list)
	for _, in := range list {
		if in.Software != "" {
			continue
		}
		k := demandKey{in.Service, in.Target}
		d := p.demands[k]
		if d == nil {
			if len(p.demands) >= maxTargets {
				continue
			}
			d = &demand{firstSeen: now, decayedAt: now, waiting: map[fleet.HostID]int{}}
			p.demands[k] = d
		}
		d.decay(now)
		d.requests += float64(in.Arrivals)
		d.prompt += float64(in.Prompt)
		d.lastSeen = now
		if in.Waiting > 0 {
			if len(d.waiting) == 0 && now.Sub(d.waitedAt) > waitingBreak {
				d.waitingSince = now
			}
			d.waitedAt = now
			d.waiting[host] = in.Waiting
			p.waitingAt[host] = append(p.waitingAt[host], k)
			d.topPriority = in.TopPriority
		}
		p.touchAdapter(now, in)
	}
}

// touchAdapter records the time of a request for an adapter, so that the adapter isn't the first to be unloaded.
func (p *Planner) touchAdapter(now time.Time, in Demand) {
	if in.Target.Adapter == "" {
		return
	}
	for _, e := range p.engines {
		if h := e.models[in.Target.Model]; h != nil && e.Service == in.Service {
			if a := h.adapters[in.Target.Adapter]; a != nil {
				a.lastUsed = now
			}
		}
	}
}

// modelDemand is the demand for a model, with and without adapters.
type modelDemand struct {
	// rate is in requests per second, prompt in prompt tokens per second.
	rate, prompt float64
	waiting      int
	// waitingSince is the time since which requests have waited; valid if any wait.
	waitingSince time.Time
}

// modelDemands returns the demand for each model. It drops targets without a recent request.
func (p *Planner) modelDemands(now time.Time) map[demandKey]modelDemand {
	out := map[demandKey]modelDemand{}
	for k, d := range p.demands {
		rate, prompt := d.rate(now)
		waiting := d.waitingRequests()
		if now.Sub(d.lastSeen) > 10*rateTimeConstant && waiting == 0 {
			delete(p.demands, k)
			continue
		}
		m := demandKey{k.service, fleet.Target{Model: k.target.Model}}
		sum := out[m]
		sum.rate += rate
		sum.prompt += prompt
		if waiting > 0 {
			if sum.waiting == 0 || d.waitingSince.Before(sum.waitingSince) {
				sum.waitingSince = d.waitingSince
			}
			sum.waiting += waiting
		}
		out[m] = sum
	}
	return out
}

// UpdateLoad sets the number of requests that all hosts have in flight at an engine, by target, and whether a host can't reach
// it.
func (p *Planner) UpdateLoad(id fleet.BackendID, running map[fleet.Target]int, suspect bool) {
	if e := p.engines[id]; e != nil {
		e.setInFlight(running)
		e.suspect = suspect
	}
}
