package formation

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"go.uber.org/zap"

	"toucanway/core/fleet"
	"toucanway/core/pause"
	"toucanway/core/raft"
	"toucanway/io/hosts"
)

// ProcedureJoin asks the leader of the control group to admit the calling host.
const ProcedureJoin = "/formation.v1/Join"

// JoinRequest names the calling host's data folder.
type JoinRequest struct {
	Storage raft.StorageID `cbor:"1,keyasint"`
}

// JoinResponse has StatusOK if the asked host leads; the calling host is then a member.
type JoinResponse struct {
	Status hosts.Status `cbor:"1,keyasint"`
	Leader fleet.HostID `cbor:"2,keyasint,omitempty"`
}

// needsJoin reports whether this host, as far as it knows, is not a voter with its current data folder.
func (p *openGroup) needsJoin(self fleet.HostID) bool {
	s := p.group.Status()
	m, ok := s.Members.Find(self)
	switch {
	case !ok || s.Refused:
		return true
	case m.Storage == 0 && !m.Learner:
		return false
	default:
		return m.Learner || m.Storage != p.group.Storage()
	}
}

// askToJoin asks seeds and members to admit this host if it is not a voter, or if it has had no leader for a while.
func (g *Group) askToJoin(ctx context.Context) {
	p := g.current()
	if p == nil || !p.needsJoin(g.cfg.Self) && !g.lacksLeader(ctx, p) {
		return
	}
	s := p.group.Status()
	asked := map[fleet.HostID]bool{g.cfg.Self: true}
	queue := slices.Concat(g.cfg.Seeds(), s.Members.Voters())
	rand.Shuffle(len(queue), func(i, j int) { queue[i], queue[j] = queue[j], queue[i] })
	if s.Leader != "" {
		queue = append([]fleet.HostID{s.Leader}, queue...)
	}
	for len(queue) > 0 && ctx.Err() == nil {
		h := queue[0]
		queue = queue[1:]
		if asked[h] {
			continue
		}
		asked[h] = true
		res, err := g.callJoin(ctx, h, p.group.Storage())
		if err != nil {
			g.cfg.Log.Debug(logRefused, zap.String("asked", string(h)), zap.Error(err))
			continue
		}
		if res.Status == hosts.StatusOK {
			g.cfg.Log.Info(logJoined, zap.String("leader", string(h)))
			return
		}
		if res.Leader != "" {
			queue = append([]fleet.HostID{res.Leader}, queue...)
		}
	}
}

func (g *Group) callJoin(ctx context.Context, h fleet.HostID, id raft.StorageID) (*JoinResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	return hosts.Call[JoinRequest, JoinResponse](ctx, g.cfg.Client, g.cfg.Address(h), ProcedureJoin, &JoinRequest{Storage: id})
}

// lacksLeader reports whether the host has had no leader for a while, so that it may have been removed without knowing it.
func (g *Group) lacksLeader(ctx context.Context, p *openGroup) bool {
	if p.group.Status().Leader != "" {
		return false
	}
	return pause.For(ctx, leaderlessTimeout) == nil && g.current() == p && p.group.Status().Leader == ""
}

// handleJoin admits the calling host, as a learner if the group has its maximum of voters.
func (g *Group) handleJoin(ctx context.Context, from fleet.HostID, req *JoinRequest) (*JoinResponse, error) {
	p, err := g.requireOpen()
	if err != nil {
		return nil, err
	}
	if !p.group.Leading() {
		return &JoinResponse{Status: hosts.StatusNotLeader, Leader: p.group.Status().Leader}, nil
	}
	select {
	case g.membershipLock <- struct{}{}:
		defer func() { <-g.membershipLock }()
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	members := p.group.Status().Members
	m, ok := members.Find(from)
	if ok && !m.Learner && m.Storage == req.Storage {
		return &JoinResponse{}, nil
	}
	switch {
	case !ok && len(members.Voters()) >= g.cfg.MaxVoters:
		err = p.group.AddLearner(ctx, from)
	case ok && m.Learner && len(members.Voters()) >= g.cfg.MaxVoters:
		return &JoinResponse{}, nil
	default:
		err = p.group.Replace(ctx, from)
	}
	if err != nil {
		return nil, err
	}
	g.cfg.Log.Info(logAdmitted, zap.String("admitted", string(from)), zap.Uint64("storage", uint64(req.Storage)),
		zap.Int("voters", len(p.group.Status().Voters)))
	return &JoinResponse{}, nil
}

// removeSilent removes one member that has been silent for RemoveAfter, if enough voters remain to tolerate further losses.
func (g *Group) removeSilent(ctx context.Context) {
	p := g.current()
	if p == nil || !p.group.Leading() {
		return
	}
	silent := p.group.SilentMembers(g.cfg.RemoveAfter)
	if len(silent) == 0 {
		return
	}
	select {
	case g.membershipLock <- struct{}{}:
		defer func() { <-g.membershipLock }()
	default:
		return
	}
	minVoters := 2*g.cfg.ToleratedLosses + 1
	for _, h := range silent {
		members := p.group.Status().Members
		m, ok := members.Find(h)
		if !ok || !m.Learner && len(members.Voters())-1 < minVoters {
			continue
		}
		ctx, cancel := context.WithTimeout(ctx, time.Second)
		err := p.group.Remove(ctx, h)
		cancel()
		g.cfg.Log.Info(logRemoved, zap.String("removed", string(h)), zap.Int("voters", len(members.Voters())-1), zap.Error(err))
		return
	}
}
