package controller

import (
	"time"

	"toucanway/core/directory"
	"toucanway/core/fleet"
	"toucanway/io/controlapi"
)

// Resolve returns the addresses of entry hosts for a caller and the time for which it may cache them. It returns some hosts of the
// caller's data centre, or if there are none, of its region, or else of all, in proportion to their capacity if it differs. The list is
// empty while no entry host is known.
func (c *Controller) Resolve(region fleet.Region, dc fleet.DataCentre) ([]string, time.Duration) {
	c.mu.Lock()
	c.resolves++
	answer := c.resolves
	list, size := c.leaderEntries, c.leaderDirectorySize
	if c.leadership != nil {
		if own := c.readyEntries(); len(own) > 0 {
			list, size = own, c.directorySize.Hosts()
		}
	}
	c.mu.Unlock()
	addresses := func(match func(controlapi.Entry) bool) []string {
		var matching []controlapi.Entry
		for _, e := range list {
			if match(e) {
				matching = append(matching, e)
			}
		}
		capacities := make([]directory.Capacity, len(matching))
		for i, e := range matching {
			capacities[i] = directory.Capacity{Cores: e.Cores, LinkMbps: e.LinkMbps}
		}
		var out []string
		id := func(e controlapi.Entry) fleet.HostID { return e.Host }
		for _, e := range directory.ChooseWeighted(matching, directory.Weights(capacities), max(size, directory.MinHosts), answer, id) {
			out = append(out, e.Address)
		}
		return out
	}
	out := addresses(func(e controlapi.Entry) bool { return e.DataCentre == dc })
	if len(out) == 0 {
		out = addresses(func(e controlapi.Entry) bool { return e.Region == region })
	}
	if len(out) == 0 {
		out = addresses(func(controlapi.Entry) bool { return true })
	}
	return out, c.cfg.AddressLifetime
}
