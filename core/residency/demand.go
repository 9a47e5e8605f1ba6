package residency

import (
	"math"
	"time"

	"toucanway/core/fleet"
)

// rateWindow is the time constant of the rate of requests for a target.
const rateWindow = 5 * time.Second

// targets bounds the targets whose demand is kept.
const maxTargets = 8192

// Demand is what one host tells of the requests for one target since it told last.
type Demand struct {
	Service  fleet.ServiceID `cbor:"1,keyasint"`
	Target   fleet.Target    `cbor:"2,keyasint"`
	Arrivals int             `cbor:"3,keyasint,omitempty"`
	// Waiting counts requests that no backend server can take now.
	Waiting int `cbor:"4,keyasint,omitempty"`
	// Urgent is the priority of the most urgent waiting request; 0 comes first.
	Urgent int `cbor:"5,keyasint,omitempty"`
	// Prompt is the number of prompt tokens of the arrivals.
	Prompt fleet.Tokens `cbor:"6,keyasint,omitempty"`
}

type demandKey struct {
	service fleet.ServiceID
	target  fleet.Target
}

type demand struct {
	// count is the number of requests and prompt that of their prompt tokens, which lose their weight with the time constant
	// rateWindow.
	count   float64
	prompt  float64
	since   time.Time
	at      time.Time
	last    time.Time
	waiting map[fleet.HostID]int
	urgent  int
}

func (d *demand) decay(now time.Time) {
	if dt := now.Sub(d.at); dt > 0 {
		f := math.Exp(-float64(dt) / float64(rateWindow))
		d.count, d.prompt, d.at = d.count*f, d.prompt*f, now
	}
}

// rate returns the requests and prompt tokens a second of late; a target that was asked for only just now isn't taken for a
// rare one.
func (d *demand) rate(now time.Time) (requests, prompt float64) {
	d.decay(now)
	known := max(now.Sub(d.since), leastWindow)
	window := rateWindow.Seconds() * (1 - math.Exp(-float64(known)/float64(rateWindow)))
	return d.count / window, d.prompt / window
}

// leastWindow is the shortest time over which a rate is taken.
const leastWindow = 2 * time.Second

func (d *demand) wanted() int {
	n := 0
	for _, k := range d.waiting {
		n += k
	}
	return n
}

// Demands takes in what a host tells; the host's waiting requests of other targets have ended.
func (p *Planner) Demands(now time.Time, host fleet.HostID, list []Demand) {
	for _, d := range p.demands {
		delete(d.waiting, host)
	}
	for _, in := range list {
		k := demandKey{in.Service, in.Target}
		d := p.demands[k]
		if d == nil {
			if len(p.demands) >= maxTargets {
				continue
			}
			d = &demand{since: now, at: now, waiting: map[fleet.HostID]int{}}
			p.demands[k] = d
		}
		d.decay(now)
		d.count += float64(in.Arrivals)
		d.prompt += float64(in.Prompt)
		d.last = now
		if in.Waiting > 0 {
			d.waiting[host] = in.Waiting
			d.urgent = in.Urgent
		}
		p.use(now, in)
	}
}

// use notes that a target was asked for, so that its adapter isn't unloaded first.
func (p *Planner) use(now time.Time, in Demand) {
	if in.Target.Adapter == "" {
		return
	}
	for _, e := range p.engines {
		if h := e.models[in.Target.Model]; h != nil && e.Service == in.Service {
			if a := h.adapters[in.Target.Adapter]; a != nil {
				a.used = now
			}
		}
	}
}

// modelDemand is what is asked of a model, with and without adapters.
type modelDemand struct {
	// rate is in requests a second, prompt in prompt tokens a second.
	rate, prompt float64
	waiting      int
}

// modelDemands returns the demand of each model.
func (p *Planner) modelDemands(now time.Time) map[demandKey]modelDemand {
	out := map[demandKey]modelDemand{}
	for k, d := range p.demands {
		rate, prompt := d.rate(now)
		if now.Sub(d.last) > 10*rateWindow && d.wanted() == 0 {
			delete(p.demands, k)
			continue
		}
		m := demandKey{k.service, fleet.Target{Model: k.target.Model}}
		sum := out[m]
		sum.rate += rate
		sum.prompt += prompt
		sum.waiting += d.wanted()
		out[m] = sum
	}
	return out
}

// Loads takes in how many requests of each target all hosts have under way at an engine, and whether one can't reach it.
func (p *Planner) Loads(id fleet.BackendID, running map[fleet.Target]int, suspect bool) {
	if e := p.engines[id]; e != nil {
		e.setRunning(running)
		e.suspect = suspect
	}
}
