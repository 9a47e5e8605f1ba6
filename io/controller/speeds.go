package controller

import (
	"math"

	"toucanway/core/balance"
	"toucanway/io/controlapi"
)

// speed is the time ratio of a backend server.
type speed struct {
	// ratio is the mean of the ratios that entry hosts have reported.
	ratio float64
	// told is set once the ratio has been unusual, so that hosts are also told when it is no longer.
	told bool
}

const (
	// unusualRatio is the factor by which the ratio of a backend server must differ from 1 before entry hosts are told of it.
	unusualRatio = 1.25
	// maxSpeeds bounds the backend servers with a time ratio. Above it all are forgotten, and measured again within seconds.
	maxSpeeds = 16384
)

// recordSpeeds records the time ratios in a report; c.mu is held.
func (c *Controller) recordSpeeds(loads []controlapi.Load) {
	for _, l := range loads {
		if l.TimeRatio <= 0 {
			continue
		}
		if len(c.speeds) >= maxSpeeds {
			clear(c.speeds)
		}
		s := c.speeds[l.Instance]
		s.ratio = balance.MeanRatio(s.ratio, float64(l.TimeRatio))
		s.told = s.told || math.Abs(math.Log(s.ratio)) > math.Log(unusualRatio)
		c.speeds[l.Instance] = s
	}
}

// unusualSpeeds returns the time ratios that entry hosts are told of; c.mu is held.
func (c *Controller) unusualSpeeds() (out controlapi.PackedLoads) {
	for id, s := range c.speeds {
		if s.told {
			out = out.Add(id, balance.TotalLoad{Active: int(math.Round(100 * s.ratio))})
		}
	}
	return out
}
