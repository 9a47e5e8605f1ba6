package ratelimit

import (
	"time"

	"toucanway/core/fleet"
	"toucanway/core/registry"
)

// burstTime is the time for which a server's unused requests are kept.
const burstTime = 500 * time.Millisecond

// Buckets grants single requests to servers with a rate limit. The zero value is ready to use.
type Buckets struct {
	servers registry.Incarnations[bucket]
}

// bucket is the state of a server's limit.
type bucket struct {
	perSecond float64
	// usedUntil is the time up to which the requests granted so far use the limit.
	usedUntil time.Time
}

// Delay returns the time after which a server takes another request.
func (b *Buckets) Delay(now time.Time, s fleet.BackendIncarnation, l fleet.RateLimit) time.Duration {
	k := b.bucket(now, s, l)
	if k == nil {
		return 0
	}
	return max(k.usedUntil.Add(-burstTime).Sub(now), 0)
}

// Take grants a request to a server, which must be sent after Delay.
func (b *Buckets) Take(now time.Time, s fleet.BackendIncarnation, l fleet.RateLimit) {
	k := b.bucket(now, s, l)
	if k == nil {
		return
	}
	if k.usedUntil.Before(now) {
		k.usedUntil = now
	}
	k.usedUntil = k.usedUntil.Add(interval(l.PerSecond))
}

// bucket returns the state of a server's limit, or nil without a limit or for an earlier incarnation than the one on record.
func (b *Buckets) bucket(now time.Time, s fleet.BackendIncarnation, l fleet.RateLimit) *bucket {
	if !l.Named {
		return nil
	}
	k := b.servers.Get(s)
	if k == nil {
		return b.servers.Put(s, bucket{l.PerSecond, now})
	}
	if k.perSecond != l.PerSecond {
		// The requests that wait for their time count at the new rate.
		full := now.Add(burstTime)
		if waiting := k.usedUntil.Sub(full); waiting > 0 {
			k.usedUntil = full.Add(time.Duration(float64(waiting) * k.perSecond / l.PerSecond))
		}
		k.perSecond = l.PerSecond
	}
	return k
}

// interval returns the time between two requests at a rate.
func interval(perSecond float64) time.Duration {
	return time.Duration(float64(time.Second) / perSecond)
}
