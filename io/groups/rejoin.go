package groups

import (
	"context"
	"time"

	"go.uber.org/zap"

	"toucanway/core/fleet"
	"toucanway/core/pause"
	"toucanway/core/raft"
	"toucanway/io/hosts"
	"toucanway/io/voters"
)

const (
	rejoinInterval = time.Second
	// replaceTimeout bounds a replacement, during which the learner receives a snapshot and catches up.
	replaceTimeout = time.Minute
)

const logReplaced = "voter replaced"

// rejoinWhenRefused checks once per rejoinInterval, until the context ends, whether the group refuses this voter because its
// disk was lost. If so, it asks the leader to replace the voter.
func (s *Set) rejoinWhenRefused(ctx context.Context, id raft.GroupID, g *voters.Group) {
	client := hosts.NewGroupClient(s.cfg.Client, s.cfg.Members)
	pause.Every(ctx, rejoinInterval, func() {
		if !g.Status().Refused {
			return
		}
		rejoinCtx, cancel := context.WithTimeout(ctx, replaceTimeout)
		_, err := hosts.CallLeader[hosts.RejoinRequest, hosts.RejoinResponse](rejoinCtx, client, hosts.ProcedureRejoin,
			replaceTimeout, &hosts.RejoinRequest{Group: id})
		cancel()
		if err == nil {
			s.cfg.Log.Info(logReplaced, zap.Uint32("group", uint32(id)))
		}
	})
}

// handleRejoin makes the host that sent the request a voter again. Replacements are carried out one at a time, since a
// replaced voter counts for a quorum only once it has caught up.
func (s *Set) handleRejoin(ctx context.Context, from fleet.HostID, req *hosts.RejoinRequest) (*hosts.RejoinResponse, error) {
	g := s.groups[req.Group]
	if g == nil || !g.LeaseValid(time.Now()) {
		res := &hosts.RejoinResponse{Status: hosts.StatusNotLeader}
		if g != nil {
			res.Leader = g.Status().Leader
		}
		return res, nil
	}
	select {
	case s.replacing <- struct{}{}:
		defer func() { <-s.replacing }()
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if err := g.Replace(ctx, from); err != nil {
		return nil, err
	}
	return &hosts.RejoinResponse{}, nil
}
