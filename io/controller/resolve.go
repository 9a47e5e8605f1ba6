package controller

import (
	"time"

	"toucanway/core/fleet"
	"toucanway/io/controlapi"
)

// Resolve returns the addresses of entry hosts for a caller at a place, and how long it may keep them: those of its data
// centre, else those of its region, else all. The list is empty while no entry host is known.
func (c *Controller) Resolve(region fleet.Region, dc fleet.DataCentre) ([]string, time.Duration) {
	c.mu.Lock()
	list := c.followed
	if c.reign != nil {
		if own := c.ready(); len(own) > 0 {
			list = own
		}
	}
	c.mu.Unlock()
	near := func(match func(controlapi.Entry) bool) []string {
		var out []string
		for _, e := range list {
			if match(e) {
				out = append(out, e.Address)
			}
		}
		return out
	}
	out := near(func(e controlapi.Entry) bool { return e.DataCentre == dc })
	if len(out) == 0 {
		out = near(func(e controlapi.Entry) bool { return e.Region == region })
	}
	if len(out) == 0 {
		out = near(func(controlapi.Entry) bool { return true })
	}
	return out, c.cfg.Lifetime
}
