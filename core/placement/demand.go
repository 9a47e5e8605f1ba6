package placement

import (
	"time"

	"toucanway/core/demand"
	"toucanway/core/fleet"
)

// Demand is one host's report of its waiting requests and of the calls since its last report.
type Demand = demand.Report

// DemandEntry is the demand of one target, class and region of callers.
type DemandEntry = demand.Entry

// LoadResult is the outcome of one load with its measured time.
type LoadResult struct {
	Order       fleet.OrderID     `cbor:"1,keyasint"`
	Model       fleet.ModelID     `cbor:"2,keyasint"`
	Backend     fleet.BackendID   `cbor:"3,keyasint"`
	Incarnation fleet.Incarnation `cbor:"4,keyasint"`
	Tier        fleet.Tier        `cbor:"5,keyasint"`
	Took        time.Duration     `cbor:"6,keyasint"`
	Failed      bool              `cbor:"7,keyasint,omitempty"`
}

// ObserveDemand records a host's demand report. Reports that are not newer than the host's last one are ignored.
func (p *Planner) ObserveDemand(now time.Time, d Demand) {
	if !p.demand.Observe(now, d) {
		return
	}
	for i := range d.Entries {
		e := &d.Entries[i]
		m := p.models[e.Target.Model]
		if e.Calls == 0 || m == nil || !m.declared {
			continue
		}
		p.warm.Observe(now, m.target())
		if e.Target.Adapter != "" {
			p.warm.Observe(now, e.Target)
		}
	}
}
