package controller

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"toucanway/core/fleet"
	"toucanway/core/pause"
	"toucanway/core/registry"
	"toucanway/io/controlapi"
)

// Timing of the relay.
const (
	// renewInterval is the time for which unchanged heartbeats are collected before they are sent to the leader.
	renewInterval = 400 * time.Millisecond
	// maxLeaderAnswerAge is the largest age of the leader's last answer at which a follower still acknowledges heartbeats by
	// itself.
	maxLeaderAnswerAge = 1500 * time.Millisecond
)

// relay is the state of the heartbeats that a follower forwards to the leader. Unchanged heartbeats are forwarded in batches,
// which saves work on the leader.
type relay struct {
	// forwarded holds the digests of the heartbeats that the leader has processed.
	forwarded map[fleet.BackendID]uint64
	// renewals holds later, unchanged heartbeats for the next batch.
	renewals map[fleet.BackendID]controlapi.Renewal
}

func newRelay() relay {
	return relay{forwarded: map[fleet.BackendID]uint64{}, renewals: map[fleet.BackendID]controlapi.Renewal{}}
}

// digest returns a hash of a heartbeat without its sequence number. Versions and adapters of models are left out, too.
func digest(h registry.Heartbeat) uint64 {
	var d xxhash.Digest
	d.Reset()
	// Writes to a digest never fail.
	writeString := func(s string) { _, _ = d.WriteString(s + "\x00") }
	in := h.Instance
	writeString(string(in.Service))
	writeString(in.Address)
	writeString(string(in.DataCentre))
	writeString(string(in.Software))
	_, _ = d.Write([]byte{byte(in.State), byte(in.Slots), byte(in.Slots >> 8)})
	for shift := 0; shift < 64; shift += 8 {
		_, _ = d.Write([]byte{byte(uint64(in.Incarnation) >> shift)})
	}
	models := slices.Clone(in.Models)
	slices.SortFunc(models, func(a, b registry.Model) int { return cmp.Compare(a.Name, b.Name) })
	for _, m := range models {
		writeString(string(m.Name))
	}
	for _, list := range [][]fleet.ModelID{h.InMemory, h.OnDisk} {
		writeString("")
		for _, m := range slices.Sorted(slices.Values(list)) {
			writeString(string(m))
		}
	}
	return d.Sum64()
}

// recordUnchanged records an unchanged heartbeat for the next batch. It returns false if the heartbeat has to be forwarded to the
// leader.
func (c *Controller) recordUnchanged(h registry.Heartbeat) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leadership != nil || c.cfg.Now().Sub(c.leaderAnsweredAt) > maxLeaderAnswerAge {
		return false
	}
	id := h.Instance.ID
	in, _, ok := c.registry.Get(id)
	if !ok || in.Incarnation != h.Instance.Incarnation || in.State != h.Instance.State || c.relay.forwarded[id] != digest(h) {
		return false
	}
	if old := c.relay.renewals[id]; old.Incarnation != in.Incarnation || old.Seq < h.Seq {
		c.relay.renewals[id] = controlapi.Renewal{Instance: id, Incarnation: in.Incarnation, Seq: h.Seq}
	}
	return true
}

// recordForwarded records that the leader has processed a complete heartbeat.
func (c *Controller) recordForwarded(h registry.Heartbeat) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.relay.forwarded[h.Instance.ID] = digest(h)
}

// sendRenewals sends batches of unchanged heartbeats to the leader.
func (c *Controller) sendRenewals(ctx context.Context) error {
	pause.Every(ctx, renewInterval, func() {
		c.mu.Lock()
		list := make([]controlapi.Renewal, 0, len(c.relay.renewals))
		for _, r := range c.relay.renewals {
			list = append(list, r)
		}
		leading := c.leadership != nil
		clear(c.relay.renewals)
		c.mu.Unlock()
		if len(list) == 0 || leading {
			return
		}
		call, cancel := context.WithTimeout(ctx, callTimeout)
		res, err := controlapi.Call[controlapi.RenewRequest, controlapi.RenewResponse](call, c.cfg.Client,
			controlapi.ProcedureRenew, 0, &controlapi.RenewRequest{Renewals: list})
		cancel()
		if err != nil {
			// The next heartbeats are forwarded to the leader completely.
			c.forgetForwarded(list)
			return
		}
		c.mu.Lock()
		for _, id := range res.Unknown {
			delete(c.relay.forwarded, id)
		}
		c.mu.Unlock()
	})
	return nil
}

func (c *Controller) forgetForwarded(list []controlapi.Renewal) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range list {
		delete(c.relay.forwarded, r.Instance)
	}
}

// handleRenewals processes a batch of unchanged heartbeats from a follower.
func (c *Controller) handleRenewals(_ context.Context, _ fleet.HostID, req *controlapi.RenewRequest) (*controlapi.RenewResponse, error) {
	now := c.cfg.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.validLeadership() == nil {
		return &controlapi.RenewResponse{Reply: c.notLeader()}, nil
	}
	c.work.renewals++
	res := &controlapi.RenewResponse{}
	before := c.registry.Revision()
	for _, r := range req.Renewals {
		if !c.registry.Renew(now, r.Instance, r.Incarnation, r.Seq) {
			res.Unknown = append(res.Unknown, r.Instance)
		}
	}
	c.metrics.heartbeats.With(registry.Unchanged.String()).Inc(int64(len(req.Renewals) - len(res.Unknown)))
	if c.registry.Revision() != before {
		c.observeChanged(now)
		c.notifyChanged()
	}
	return res, nil
}
