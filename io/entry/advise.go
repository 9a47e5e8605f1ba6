package entry

import (
	"maps"
	"sync"
	"time"

	"toucanway/core/advice"
	"toucanway/core/control"
	"toucanway/core/fleet"
	"toucanway/core/membership"
	"toucanway/io/callers"
)

// adviser answers which entry hosts callers should use. Lock order: mu, then the follower's lock.
type adviser struct {
	mu      sync.Mutex
	adviser *advice.Adviser
	applied fleet.Index
	life    time.Duration
	known   map[string]control.Session
	dead    map[fleet.HostID]bool
}

// advise answers for a model or a service; without either it spreads callers over all hosts.
func (h *Host) advise(model string, service fleet.ServiceID) (callers.Hosts, *fleet.Refusal) {
	a := &h.adviser
	dead := h.deadHosts()
	a.mu.Lock()
	defer a.mu.Unlock()
	target := advice.Target{Name: model + "/" + string(service)}
	life := h.addressLifetime()
	h.follower.Read(func(s *control.State) {
		a.sync(s, life, dead)
		if model != "" {
			target.Backends = modelBackends(s, fleet.ParseTarget(model).Model)
		} else if service != "" {
			target.Backends = serviceBackends(s, service)
		}
	})
	out := callers.Hosts{LifetimeMs: life.Milliseconds()}
	for _, address := range a.adviser.Hosts(target).Addresses {
		v := a.known[address]
		out.Hosts = append(out.Hosts, callers.HostAddress{Host: v.Host, Address: address, Region: v.Place.Region})
	}
	if len(out.Hosts) == 0 {
		return out, fleet.Refuse(fleet.CodeHostDraining, time.Second, "no entry host takes new callers now; ask again")
	}
	return out, nil
}

// deadHosts returns the hosts that the failure detector suspects or holds for dead. Suspicion begins with a failed probe,
// before the session of a dead host ends.
func (h *Host) deadHosts() map[fleet.HostID]bool {
	dead := map[fleet.HostID]bool{}
	for _, m := range h.members.Members() {
		if m.State != membership.Alive {
			dead[m.Host] = true
		}
	}
	return dead
}

// sync takes over the sessions of a changed control state.
func (a *adviser) sync(s *control.State, life time.Duration, dead map[fleet.HostID]bool) {
	if a.adviser != nil && a.applied == s.Applied() && a.life == life && maps.Equal(a.dead, dead) {
		return
	}
	a.dead = dead
	if a.adviser == nil || a.life != life {
		a.adviser = advice.New(advice.Settings{Lifetime: life})
		a.life = life
	}
	a.applied = s.Applied()
	a.known = map[string]control.Session{}
	var hosts []advice.Host
	for _, v := range s.Sessions() {
		a.known[v.CallerAddress] = v
		hosts = append(hosts, advice.Host{ID: v.Host, Address: v.CallerAddress, Place: v.Place, Draining: v.Draining, Dead: dead[v.Host]})
	}
	a.adviser.SetHosts(hosts)
}

func modelBackends(s *control.State, m fleet.ModelID) []advice.Backend {
	var out []advice.Backend
	for _, r := range s.Replicas(m) {
		if b, ok := s.Backend(r.Backend); r.State == control.ReplicaReady && ok && !b.Lost && !b.Leaving {
			out = append(out, advice.Backend{Place: b.Announcement.Place, Owner: b.Owner})
		}
	}
	return out
}

func serviceBackends(s *control.State, id fleet.ServiceID) []advice.Backend {
	var out []advice.Backend
	for _, b := range s.Backends() {
		for _, one := range b.Announcement.Services {
			if one == id && !b.Lost && !b.Leaving {
				out = append(out, advice.Backend{Place: b.Announcement.Place, Owner: b.Owner})
			}
		}
	}
	return out
}
