package residency

import (
	"time"

	"toucanway/core/fleet"
)

// LoadExpected returns the time in which the first load of a model that is under way is expected to end, and false if none is or an engine
// has the model.
func (p *Planner) LoadExpected(now time.Time, s fleet.ServiceID, model fleet.ModelID) (time.Duration, bool) {
	if p.table == nil {
		return 0, false
	}
	m := p.table.Model(s, model)
	if m == nil {
		return 0, false
	}
	var first time.Duration
	found := false
	for _, e := range p.engines {
		h := e.models[model]
		if e.Service != s || h == nil || !e.usable() {
			continue
		}
		if h.phase != loading {
			return 0, false
		}
		takes, _ := e.loadTime(m)
		if left := max(h.loadedAt.Add(takes).Sub(now), 0); !found || left < first {
			first, found = left, true
		}
	}
	return first, found
}
