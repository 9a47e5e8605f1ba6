package gateway

import (
	"context"
	"maps"
	"sync"
	"time"

	"go.uber.org/zap"

	"toucanway/core/fleet"
	"toucanway/core/pause"
	"toucanway/core/registry"
)

// logForgotten is the message of the log line for a server that this host forgets.
const logForgotten = "backend server is forgotten: it is silent and refuses connections"

const (
	// forgetAfter is the time for which a server has to be silent before this host may forget it. The leader has then dropped it, and tells of it
	// as of a new one if it sends a heartbeat again.
	forgetAfter = registry.DefaultRetention
	// forgetInterval is the interval of the checks.
	forgetInterval = 10 * time.Second
)

// silences holds the times since which servers have been silent, as far as this host was told. The zero value is empty.
type silences map[fleet.BackendIncarnation]time.Time

// note records what this host was told of a server.
func (s silences) note(now time.Time, in *registry.Instance) {
	k := incarnationOf(in)
	switch _, known := s[k]; {
	case !in.Silent || in.State == registry.Gone:
		delete(s, k)
	case !known:
		s[k] = now
	}
}

// forgetLoop forgets crashed servers until the context ends.
func (v *View) forgetLoop(ctx context.Context) error {
	for pause.For(ctx, forgetInterval) == nil {
		v.forgetCrashed(ctx)
	}
	return nil
}

// forgetCrashed forgets the servers that have been silent for forgetAfter and refuse connections. A server that is silent and accepts them may
// only be cut off from the control group, so that it is kept.
func (v *View) forgetCrashed(ctx context.Context) {
	var checks sync.WaitGroup
	for _, in := range v.longSilent(time.Now()) {
		checks.Go(func() {
			if v.cfg.Pool.Refuses(ctx, in.Address, connectTimeout) {
				v.forget(in)
			}
		})
	}
	checks.Wait()
}

// longSilent returns the servers that have been silent for forgetAfter. It drops the records of servers that are no longer known.
func (v *View) longSilent(now time.Time) []*registry.Instance {
	v.mu.Lock()
	defer v.mu.Unlock()
	maps.DeleteFunc(v.silences, func(k fleet.BackendIncarnation, _ time.Time) bool {
		in := v.instances[k.Backend]
		return in == nil || in.Incarnation != k.Incarnation
	})
	var out []*registry.Instance
	for k, since := range v.silences {
		if now.Sub(since) >= forgetAfter {
			out = append(out, v.instances[k.Backend])
		}
	}
	return out
}

// forget removes a server unless this host has been told of it anew.
func (v *View) forget(in *registry.Instance) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.instances[in.ID] != in {
		return
	}
	v.cfg.Log.Info(logForgotten, zap.String("instance", string(in.ID)), zap.Uint64("incarnation", uint64(in.Incarnation)),
		zap.String("address", in.Address), zap.Duration("silent-ms", time.Since(v.silences[incarnationOf(in)])))
	delete(v.instances, in.ID)
	delete(v.silences, incarnationOf(in))
	v.cfg.Pool.Drop(in.Address)
	v.balancer.Retain(v.instances)
	v.notifyChanged()
}
