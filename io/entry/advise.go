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

// adviser selects the entry hosts that callers should use. Lock order: mu, then the follower's lock.
type adviser struct {
	mu        sync.Mutex
	adviser   *advice.Adviser
	applied   fleet.Index
	lifetime  time.Duration
	byAddress map[string]control.Session
	notAlive  map[fleet.HostID]bool
}

// advise returns the hosts to use for a model or a service. If neither is given, it spreads callers over all hosts.
func (h *Host) advise(model string, service fleet.ServiceID) (callers.Hosts, *fleet.Refusal) {
	a := &h.adviser
	notAlive := h.notAliveHosts()
	a.mu.Lock()
	defer a.mu.Unlock()
	target := advice.Target{Name: model + "/" + string(service)}
	lifetime := h.addressLifetime()
	h.follower.Read(func(s *control.State) {
		a.update(s, lifetime, notAlive)
		if model != "" {
			target.Backends = modelBackends(s, fleet.ParseTarget(model).Model)
		} else if service != "" {
			target.Backends = serviceBackends(s, service)
		}
	})
	out := callers.Hosts{LifetimeMs: lifetime.Milliseconds()}
	for _, address := range a.adviser.Hosts(target).Addresses {
		v := a.byAddress[address]
		out.Hosts = append(out.Hosts, callers.HostAddress{Host: v.Host, Address: address, Region: v.Place.Region})
	}
	if len(out.Hosts) == 0 {
		return out, fleet.Refuse(fleet.CodeHostDraining, time.Second, "no entry host accepts new callers now; retry after the given time")
	}
	return out, nil
}

// notAliveHosts returns the hosts that the failure detector does not consider alive, including suspected ones. A suspicion
// starts with a failed probe, which is earlier than the end of the host's session.
func (h *Host) notAliveHosts() map[fleet.HostID]bool {
	notAlive := map[fleet.HostID]bool{}
	for _, m := range h.members.Members() {
		if m.State != membership.Alive {
			notAlive[m.Host] = true
		}
	}
	return notAlive
}

// update rebuilds the hosts if the control state, the address lifetime or the set of hosts that are not alive has changed.
func (a *adviser) update(s *control.State, lifetime time.Duration, notAlive map[fleet.HostID]bool) {
	if a.adviser != nil && a.applied == s.Applied() && a.lifetime == lifetime && maps.Equal(a.notAlive, notAlive) {
		return
	}
	a.notAlive = notAlive
	if a.adviser == nil || a.lifetime != lifetime {
		a.adviser = advice.New(advice.Settings{Lifetime: lifetime})
		a.lifetime = lifetime
	}
	a.applied = s.Applied()
	a.byAddress = map[string]control.Session{}
	var hosts []advice.Host
	for _, v := range s.Sessions() {
		a.byAddress[v.CallerAddress] = v
		hosts = append(hosts, advice.Host{ID: v.Host, Address: v.CallerAddress, Place: v.Place, Draining: v.Draining, Dead: notAlive[v.Host]})
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
