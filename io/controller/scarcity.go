package controller

import (
	"toucanway/core/overload"
	"toucanway/io/controlapi"
)

// setWaiting replaces the work that waits for room at an entry host; c.mu is held.
func (c *Controller) setWaiting(e *entry, waiting []controlapi.WaitingWork) {
	if len(waiting) > controlapi.MaxPackedWork {
		waiting = waiting[:controlapi.MaxPackedWork]
	}
	c.addWaiting(e.waiting, -1)
	c.addWaiting(waiting, 1)
	e.waiting = waiting
}

// addWaiting adds an entry host's waiting work to the totals, or subtracts it with a sign of -1; c.mu is held.
func (c *Controller) addWaiting(list []controlapi.WaitingWork, sign int) {
	for _, w := range list {
		sum := c.waiting[w.Class]
		sum.OnTime += sign * w.Work.OnTime
		sum.Late += sign * w.Work.Late
		if sum == (overload.Work{}) {
			delete(c.waiting, w.Class)
		} else {
			c.waiting[w.Class] = sum
		}
	}
}

// otherHostsWaiting returns the work that waits at all entry hosts but one, of the classes that this one may compete with; c.mu is held.
func (c *Controller) otherHostsWaiting(own []controlapi.WaitingWork) controlapi.PackedWork {
	c.addWaiting(own, -1)
	var out controlapi.PackedWork
	n := 0
	for class, sum := range c.waiting {
		if n++; n > controlapi.MaxPackedWork {
			break
		}
		out = out.Add(class, sum)
	}
	c.addWaiting(own, 1)
	return out
}
