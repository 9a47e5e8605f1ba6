package ratelimit

import (
	"time"

	"toucanway/core/fleet"
	"toucanway/core/registry"
)

const (
	// fallbackShare is the part of a limit that hosts use together which the leader doesn't answer. The others may use all of it at the
	// same time.
	fallbackShare = 0.4
	// turnTime is the time for which a host may use its turn.
	turnTime = 2 * time.Second
)

// Turns gives a host that the leader doesn't answer its turns at servers with a rate limit. Hosts begin at random times, so that the sum of
// many hosts stays below the limit although each has a small part of a request a second. Turns that are not used expire. The zero value is
// ready to use.
type Turns struct {
	// next holds the time of the next turn at each server.
	next registry.Incarnations[time.Time]
}

// Take reports whether the host may send a request to a server now, and returns the time of its next turn otherwise. The limit is divided
// among a number of hosts. Hosts must differ in the random number, which is at least 0 and less than 1.
func (s *Turns) Take(now time.Time, b fleet.BackendIncarnation, l fleet.RateLimit, hosts int, random float64) (time.Time, bool) {
	period := interval(l.PerSecond * fallbackShare / float64(max(hosts, 1)))
	next := s.next.Get(b)
	if next == nil {
		first := now.Add(time.Duration(random * float64(period)))
		if next = s.next.Put(b, first); next == nil {
			return first, false
		}
	}
	if missed := now.Sub(*next) - turnTime; missed > 0 {
		*next = next.Add((missed/period + 1) * period)
	}
	if now.Before(*next) {
		return *next, false
	}
	*next = next.Add(period)
	return now, true
}
