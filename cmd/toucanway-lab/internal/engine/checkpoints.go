package engine

import (
	"cmp"
	"slices"

	"toucanway/core/fleet"
)

// checkpoints is an LRU cache of checkpoints in the memory and on the disk of an engine's machine. Each list has the most
// recently used checkpoint first.
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

// cache adds a checkpoint that was just used. Checkpoints that exceed the limit of memory move to disk; those that exceed the
// limit of the disk are deleted.
func (c *checkpoints) cache(id fleet.ModelID) {
	c.memory = moveToFront(c.memory, id)
	c.disk = slices.DeleteFunc(c.disk, func(o fleet.ModelID) bool { return o == id })
	for len(c.memory) > c.maxMemory {
		c.disk = moveToFront(c.disk, c.memory[len(c.memory)-1])
		c.memory = c.memory[:len(c.memory)-1]
	}
	if len(c.disk) > c.maxDisk {
		c.disk = c.disk[:c.maxDisk]
	}
}

// dropMemory models the end of the process: checkpoints in memory are lost, but each has a copy on disk.
func (c *checkpoints) dropMemory() {
	lost := c.memory
	c.memory = nil
	for _, id := range lost {
		c.disk = moveToFront(c.disk, id)
	}
	if len(c.disk) > c.maxDisk {
		c.disk = c.disk[:c.maxDisk]
	}
}

// moveToFront returns the list with the model at its front.
func moveToFront(list []fleet.ModelID, id fleet.ModelID) []fleet.ModelID {
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

func (e *Engine) cacheCheckpoint(id fleet.ModelID) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.checkpoints.cache(id)
}
