package controller

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"toucanway/core/affinity"
	"toucanway/core/catalog"
	"toucanway/core/fleet"
	"toucanway/core/registry"
	"toucanway/io/controlapi"
)

// maxSoftware bounds the versions of all services together; heartbeats with further ones are rejected.
const maxSoftware = 1024

// admitSoftware commits the software version of a server that is not on record. Entry hosts hear of the server afterwards only, so that a
// service with one version on record has no streams of another one, also after the loss of all hosts.
func (c *Controller) admitSoftware(ctx context.Context, in *registry.Instance) error {
	all := c.state().Software
	if slices.Contains(all[in.Service], in.Software) || !c.cfg.Group.Leading() {
		return nil
	}
	n := 0
	for _, list := range all {
		n += len(list)
	}
	if n >= maxSoftware {
		return ErrRejected.New("too many software versions are on record; there is room again once versions without a server are removed")
	}
	// The first heartbeats of many servers come at the same time.
	_, err, shared := c.admissions.Do(string(in.Service)+"\x00"+string(in.Software), func() (any, error) {
		return nil, c.propose(ctx, catalog.Command{AddSoftware: &catalog.Software{Service: in.Service, Version: in.Software}})
	})
	if err != nil || shared {
		return err
	}
	c.cfg.Log.Info(logSoftware, zap.String("service", string(in.Service)), zap.String("software", string(in.Software)),
		zap.String("instance", string(in.ID)))
	return nil
}

// unusedSoftware returns the versions on record that no server has had for affinity.Retention, after which no stream of theirs can go on;
// c.mu is held.
func (c *Controller) unusedSoftware(now time.Time) []catalog.Software {
	used := map[catalog.Software]bool{}
	for _, in := range c.registry.ChangedAfter(0) {
		if in.State != registry.Gone {
			used[catalog.Software{Service: in.Service, Version: in.Software}] = true
		}
	}
	var out []catalog.Software
	unused := map[catalog.Software]time.Time{}
	for s, list := range c.state().Software {
		for _, v := range list {
			k := catalog.Software{Service: s, Version: v}
			since, known := c.softwareUnusedSince[k]
			switch {
			case used[k]:
				continue
			case !known:
				since = now
			case now.Sub(since) > affinity.Retention:
				out = append(out, k)
			}
			unused[k] = since
		}
	}
	c.softwareUnusedSince = unused
	return out
}

// removeSoftware removes versions that are no longer used from the record.
func (c *Controller) removeSoftware(ctx context.Context, list []catalog.Software) {
	for _, s := range list {
		call, cancel := context.WithTimeout(ctx, callTimeout)
		err := c.propose(call, catalog.Command{RemoveSoftware: &s})
		cancel()
		// A version that stays on record is tried again with the next check.
		c.cfg.Log.Info(logSoftwareGone, zap.String("service", string(s.Service)), zap.String("software", string(s.Version)), zap.Error(err))
	}
}

// handleRecordStreams records the origins of streams for other entry hosts.
func (c *Controller) handleRecordStreams(_ context.Context, _ fleet.HostID, req *controlapi.RecordStreamsRequest) (*controlapi.RecordStreamsResponse, error) {
	now := c.cfg.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range req.Streams {
		c.streams.Add(now, s.ID, s.Origin)
	}
	return &controlapi.RecordStreamsResponse{}, nil
}

// handleFindStream tells what this host knows of a stream.
func (c *Controller) handleFindStream(_ context.Context, _ fleet.HostID, req *controlapi.FindStreamRequest) (*controlapi.FindStreamResponse, error) {
	now := c.cfg.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	res := &controlapi.FindStreamResponse{}
	if o, ok := c.streams.Find(now, req.ID); ok {
		res.Origin = &o
	}
	return res, nil
}

// handleSoftware tells the software versions of a service if this host leads. A follower may be cut off without knowing, while servers of a
// further version join.
func (c *Controller) handleSoftware(_ context.Context, _ fleet.HostID, req *controlapi.SoftwareRequest) (*controlapi.SoftwareResponse, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.validLeadership() == nil {
		return &controlapi.SoftwareResponse{Reply: c.notLeader()}, nil
	}
	return &controlapi.SoftwareResponse{Versions: knownSoftware(c.state().Software[req.Service], req.Service, c.registry.ChangedAfter(0))}, nil
}

// knownSoftware returns the software versions of a service: those on record, and those of servers that this host has heard of before the log
// told it of their version.
func knownSoftware(onRecord []fleet.SoftwareVersion, s fleet.ServiceID, instances []registry.Instance) []fleet.SoftwareVersion {
	out := slices.Clone(onRecord)
	for _, in := range instances {
		if in.Service == s && !slices.Contains(out, in.Software) {
			out = append(out, in.Software)
		}
	}
	return out
}
