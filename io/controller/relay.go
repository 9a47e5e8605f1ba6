package controller

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"toucanway/core/fleet"
	"toucanway/core/registry"
	"toucanway/io/controlapi"
)

// Timing of the relay.
const (
	// renewInterval is the time for which heartbeats that tell nothing new are gathered before the leader is told.
	renewInterval = 400 * time.Millisecond
	// mirrorFresh is the age of the last word of the leader up to which a host takes heartbeats by itself.
	mirrorFresh = 1500 * time.Millisecond
)

// relay is what a host that doesn't lead has passed on to the leader, so that the leader's work does not grow with every heartbeat.
type relay struct {
	// passed are digests of the heartbeats that the leader has taken.
	passed map[fleet.BackendID]uint64
	// renewals are the later heartbeats that told nothing new.
	renewals map[fleet.BackendID]controlapi.Renewal
}

func newRelay() relay {
	return relay{passed: map[fleet.BackendID]uint64{}, renewals: map[fleet.BackendID]controlapi.Renewal{}}
}

// digest returns a hash of all that a heartbeat tells but its number.
func digest(h registry.Heartbeat) uint64 {
	var d xxhash.Digest
	d.Reset()
	// Writes to a digest never fail.
	word := func(s string) { _, _ = d.WriteString(s + "\x00") }
	in := h.Instance
	word(string(in.Service))
	word(in.Address)
	word(string(in.DataCentre))
	_, _ = d.Write([]byte{byte(in.State), byte(in.Slots), byte(in.Slots >> 8)})
	for shift := 0; shift < 64; shift += 8 {
		_, _ = d.Write([]byte{byte(uint64(in.Incarnation) >> shift)})
	}
	models := slices.Clone(in.Models)
	slices.SortFunc(models, func(a, b registry.Model) int { return cmp.Compare(a.Name, b.Name) })
	for _, m := range models {
		word(string(m.Name))
	}
	for _, list := range [][]fleet.ModelID{h.InMemory, h.OnDisk} {
		word("")
		for _, m := range slices.Sorted(slices.Values(list)) {
			word(string(m))
		}
	}
	return d.Sum64()
}

// takeHere notes a heartbeat that tells nothing new, and says whether that is enough.
func (c *Controller) takeHere(h registry.Heartbeat) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.reign != nil || c.cfg.Now().Sub(c.mirrored) > mirrorFresh {
		return false
	}
	id := h.Instance.ID
	in, _, ok := c.registry.Get(id)
	if !ok || in.Incarnation != h.Instance.Incarnation || in.State != h.Instance.State || c.relay.passed[id] != digest(h) {
		return false
	}
	if old := c.relay.renewals[id]; old.Incarnation != in.Incarnation || old.Seq < h.Seq {
		c.relay.renewals[id] = controlapi.Renewal{Instance: id, Incarnation: in.Incarnation, Seq: h.Seq}
	}
	return true
}

// passedOn notes that the leader has taken a whole heartbeat.
func (c *Controller) passedOn(h registry.Heartbeat) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.relay.passed[h.Instance.ID] = digest(h)
}

// renew tells the leader of the heartbeats that told nothing new.
func (c *Controller) renew(ctx context.Context) error {
	t := time.NewTicker(renewInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
		c.mu.Lock()
		list := make([]controlapi.Renewal, 0, len(c.relay.renewals))
		for _, r := range c.relay.renewals {
			list = append(list, r)
		}
		leading := c.reign != nil
		clear(c.relay.renewals)
		c.mu.Unlock()
		if len(list) == 0 || leading {
			continue
		}
		call, cancel := context.WithTimeout(ctx, callTimeout)
		res, err := controlapi.Call[controlapi.RenewRequest, controlapi.RenewResponse](call, c.cfg.Client,
			controlapi.ProcedureRenew, 0, &controlapi.RenewRequest{Renewals: list})
		cancel()
		if err != nil {
			// The next heartbeats go to the leader whole.
			c.forget(list)
			continue
		}
		c.mu.Lock()
		for _, id := range res.Unknown {
			delete(c.relay.passed, id)
		}
		c.mu.Unlock()
	}
}

func (c *Controller) forget(list []controlapi.Renewal) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range list {
		delete(c.relay.passed, r.Instance)
	}
}

// renewed takes in heartbeats that another host has taken.
func (c *Controller) renewed(_ context.Context, _ fleet.HostID, req *controlapi.RenewRequest) (*controlapi.RenewResponse, error) {
	now := c.cfg.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leading() == nil {
		return &controlapi.RenewResponse{Reply: c.notLeader()}, nil
	}
	res := &controlapi.RenewResponse{}
	before := c.registry.Revision()
	for _, r := range req.Renewals {
		if !c.registry.Renew(now, r.Instance, r.Incarnation, r.Seq) {
			res.Unknown = append(res.Unknown, r.Instance)
		}
	}
	c.count.heartbeats.With(registry.Unchanged.String()).Inc(int64(len(req.Renewals) - len(res.Unknown)))
	if c.registry.Revision() != before {
		c.observe(now)
		c.announce()
	}
	return res, nil
}
