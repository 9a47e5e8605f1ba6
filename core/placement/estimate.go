package placement

import (
	"cmp"
	"slices"
	"time"

	"toucanway/core/control"
	"toucanway/core/fleet"
)

// Estimate is the expected time until one model has a ready replica.
type Estimate struct {
	Model fleet.ModelID `cbor:"1,keyasint"`
	// Ready is 0 when a replica is ready.
	Ready time.Duration `cbor:"2,keyasint,omitempty"`
	// Possible is false when no backend server can load the model at present.
	Possible bool `cbor:"3,keyasint,omitempty"`
}

// Estimates returns the estimates of the models with waiting requests in a report, ordered by model.
func (p *Planner) Estimates(d Demand) []Estimate {
	var out []Estimate
	for _, e := range d.Entries {
		if e.Waiting == 0 || slices.ContainsFunc(out, func(o Estimate) bool { return o.Model == e.Target.Model }) {
			continue
		}
		ready, ok := p.Estimate(e.Target.Model)
		out = append(out, Estimate{Model: e.Target.Model, Ready: ready, Possible: ok})
	}
	slices.SortFunc(out, func(a, b Estimate) int { return cmp.Compare(a.Model, b.Model) })
	return out
}

// Estimate returns the expected time until a model has a ready replica, 0 when it has one, and false when no load is
// possible at present.
func (p *Planner) Estimate(id fleet.ModelID) (time.Duration, bool) {
	m := p.models[id]
	if m == nil || !m.declared || p.budget == nil {
		return 0, false
	}
	if m.serving+m.outgoing > 0 {
		return 0, true
	}
	best, found := time.Duration(0), false
	for _, i := range m.records {
		r := &p.view.replicas[i]
		o := p.orders[r.Order]
		if o == nil || r.State != control.ReplicaIntended && r.State != control.ReplicaSent {
			continue
		}
		expected := m.loadTime(fleet.TierRemote)
		if o.fromStore {
			expected = time.Duration(float64(expected) * p.budget.Slowdown(p.now))
		} else if sv := p.view.server(r.Backend); sv != nil {
			expected = m.loadTime(tierOf(sv, id))
		}
		// A load that has exceeded its expected time, or nearly so, is expected to take another quarter of that time.
		left := max(expected-o.elapsed(p.now), expected/4)
		if !found || left < best {
			best, found = left, true
		}
	}
	if found {
		return best, true
	}
	if !m.estimated {
		c, ok := p.chooseServer(p.now, m, 0)
		m.estimated, m.estimateOK, m.estimate = true, ok, c.timeToReady
	}
	return m.estimate, m.estimateOK
}
