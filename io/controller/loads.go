package controller

import (
	"toucanway/core/balance"
	"toucanway/core/fleet"
	"toucanway/io/controlapi"
)

// setLoads replaces an entry host's load; c.mu is held.
func (c *Controller) setLoads(e *entry, loads []controlapi.Load) {
	if len(e.loads) > 0 {
		c.busyEntries--
	}
	if len(loads) > 0 {
		c.busyEntries++
	}
	c.addLoads(e.loads, -1)
	c.addLoads(loads, 1)
	e.loads = loads
}

// addLoads adds an entry host's load to the totals, or subtracts it with a sign of -1; c.mu is held.
func (c *Controller) addLoads(list []controlapi.Load, sign int) {
	for _, l := range list {
		sum := c.loads[l.Instance]
		sum.Active += sign * l.Active
		sum.Prompt += fleet.Tokens(sign) * l.Prompt
		sum.Held += fleet.Tokens(sign) * l.Held
		if sum == (balance.TotalLoad{}) {
			delete(c.loads, l.Instance)
		} else {
			c.loads[l.Instance] = sum
		}
	}
}

// otherHostsLoads returns the total load without that of one entry host, and the memory that it takes; c.mu is held.
func (c *Controller) otherHostsLoads(own []controlapi.Load) (loads, held controlapi.PackedLoads) {
	c.addLoads(own, -1)
	loads = make(controlapi.PackedLoads, 0, packedLoadSize*len(c.loads))
	for id, sum := range c.loads {
		loads = loads.Add(id, sum)
		if sum.Held > 0 {
			held = held.Add(id, balance.TotalLoad{Prompt: sum.Held})
		}
	}
	c.addLoads(own, 1)
	return loads, held
}

// engineLoad combines the reports of all entry hosts about one engine.
type engineLoad struct {
	inFlight map[fleet.Target]int
	suspect  bool
}

// engineLoads returns the requests in flight at each engine; c.mu is held.
func (c *Controller) engineLoads() map[fleet.BackendID]engineLoad {
	sums := map[fleet.BackendID]engineLoad{}
	for _, e := range c.entries {
		for _, l := range e.loads {
			sum := sums[l.Instance]
			if sum.inFlight == nil {
				sum.inFlight = map[fleet.Target]int{}
			}
			for _, t := range l.Targets {
				sum.inFlight[t.Target] += t.Active
			}
			sum.suspect = sum.suspect || l.Unreachable
			sums[l.Instance] = sum
		}
	}
	return sums
}
