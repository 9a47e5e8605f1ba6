package engine

import (
	"cmp"
	"slices"

	"toucanway/core/fleet"
)

// checkpoints are the copies of weights near an engine, each list with the most recently used first.
type checkpoints struct {
	memory, disk       []fleet.ModelID
	maxMemory, maxDisk int
}

func newCheckpoints(tiers map[fleet.ModelID]fleet.Tier, maxMemory, maxDisk int) checkpoints {
	c := checkpoints{maxMemory: maxMemory, maxDisk: maxDisk}
	for id, tier := range tiers {
		switch tier {
		case fleet.TierMemory:
			c.memory = append(c.memory, id)
		case fleet.TierDisk:
			c.disk = append(c.disk, id)
		case fleet.TierRemote:
		}
	}
	slices.Sort(c.memory)
	slices.Sort(c.disk)
	return c
}

func (c *checkpoints) tier(id fleet.ModelID) fleet.Tier {
	switch {
	case slices.Contains(c.memory, id):
		return fleet.TierMemory
	case slices.Contains(c.disk, id):
		return fleet.TierDisk
	default:
		return fleet.TierRemote
	}
}

// keep caches a checkpoint that was just used; what exceeds a tier falls to the next one.
func (c *checkpoints) keep(id fleet.ModelID) {
	c.memory = front(c.memory, id)
	c.disk = slices.DeleteFunc(c.disk, func(o fleet.ModelID) bool { return o == id })
	for len(c.memory) > c.maxMemory {
		c.disk = front(c.disk, c.memory[len(c.memory)-1])
		c.memory = c.memory[:len(c.memory)-1]
	}
	if len(c.disk) > c.maxDisk {
		c.disk = c.disk[:c.maxDisk]
	}
}

// forgetMemory is what the end of the process does: copies in memory are lost, those on disk remain.
func (c *checkpoints) forgetMemory() {
	lost := c.memory
	c.memory = nil
	for _, id := range lost {
		c.disk = front(c.disk, id)
	}
	if len(c.disk) > c.maxDisk {
		c.disk = c.disk[:c.maxDisk]
	}
}

func front(list []fleet.ModelID, id fleet.ModelID) []fleet.ModelID {
	list = slices.DeleteFunc(list, func(o fleet.ModelID) bool { return o == id })
	return slices.Insert(list, 0, id)
}

func (e *Engine) cachedCheckpoints() []fleet.CachedCheckpoint {
	e.mu.Lock()
	defer e.mu.Unlock()
	var out []fleet.CachedCheckpoint
	for _, id := range e.checkpoints.memory {
		out = append(out, fleet.CachedCheckpoint{Model: id, Tier: fleet.TierMemory})
	}
	for _, id := range e.checkpoints.disk {
		out = append(out, fleet.CachedCheckpoint{Model: id, Tier: fleet.TierDisk})
	}
	slices.SortFunc(out, func(a, b fleet.CachedCheckpoint) int { return cmp.Compare(a.Model, b.Model) })
	return out
}

func (e *Engine) tierOf(id fleet.ModelID) fleet.Tier {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.checkpoints.tier(id)
}

func (e *Engine) keepCheckpoint(id fleet.ModelID) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.checkpoints.keep(id)
}
