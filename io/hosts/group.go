package hosts

import (
	"context"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	"toucanway/core/fleet"
	"toucanway/core/pause"
)

// Errors is the namespace of this package's errors.
var Errors = errorx.NewNamespace("hosts")

var (
	// ErrNoLeader means that no member of a group answered as its leader before the deadline.
	ErrNoLeader = Errors.NewType("no-leader")
	// ErrUncertain means that an entry was proposed and may have been committed.
	ErrUncertain = Errors.NewType("uncertain")
)

const (
	// attemptTimeout bounds one call to a member, so that an unresponsive member uses up little of the caller's deadline.
	attemptTimeout = time.Second
	// retryDelay is the delay between rounds over all members, for instance during an election.
	retryDelay = 50 * time.Millisecond
)

// Member is one voter of a group.
type Member struct {
	ID      fleet.HostID
	Address string
}

// GroupClient calls the leader of a group and caches which member it is; it is safe for concurrent use.
type GroupClient struct {
	client *Client

	mu      sync.Mutex
	members []Member
	// leaderIndex, modulo the number of members, is the index in members of the member to call next.
	leaderIndex int
}

// NewGroupClient returns a client for the group with the given voters.
func NewGroupClient(c *Client, members []Member) *GroupClient {
	return &GroupClient{client: c, members: members}
}

// leaderResponse is implemented by the responses of procedures that only the leader of a group carries out.
type leaderResponse interface {
	status() (Status, fleet.HostID)
}

func (r *FollowResponse) status() (Status, fleet.HostID)   { return r.Status, r.Leader }
func (r *ProposeResponse) status() (Status, fleet.HostID)  { return r.Status, r.Leader }
func (r *SubmitResponse) status() (Status, fleet.HostID)   { return r.Status, r.Leader }
func (r *DemandResponse) status() (Status, fleet.HostID)   { return r.Status, r.Leader }
func (r *RejoinResponse) status() (Status, fleet.HostID)   { return r.Status, r.Leader }
func (r *OverviewResponse) status() (Status, fleet.HostID) { return r.Status, r.Leader }

// CallLeader calls a procedure on the group's leader, trying the members in turn until the context ends. The call may be
// repeated, so it must be idempotent. timeout bounds each attempt; zero means one second.
func CallLeader[Req any, Res any, P interface {
	*Res
	leaderResponse
}](ctx context.Context, g *GroupClient, procedure string, timeout time.Duration, req *Req) (*Res, error) {
	if timeout == 0 {
		timeout = attemptTimeout
	}
	var lastErr error
	for tries := 0; ; tries++ {
		m, ok := g.currentMember()
		if !ok {
			return nil, ErrNoLeader.New("no voter of the group is known; list the voters in the settings")
		}
		attemptCtx, cancel := context.WithTimeout(ctx, timeout)
		res, err := Call[Req, Res](attemptCtx, g.client, m.Address, procedure, req)
		cancel()
		switch {
		case err != nil:
			lastErr = err
			g.skipMember(m)
		default:
			status, hint := P(res).status()
			if status == StatusOK || status == StatusClosed {
				return res, nil
			}
			if status == StatusUncertain {
				lastErr = ErrUncertain.New("leader %s stopped leading before the entry was committed", m.ID)
			}
			g.followHint(m, hint)
		}
		if err := waitAfterRound(ctx, tries, g.size()); err != nil {
			return nil, ErrNoLeader.Wrap(lastErr, "no leader answered before the deadline; check that a majority of voters runs and is reachable")
		}
	}
}

// waitAfterRound waits after each round over all members.
func waitAfterRound(ctx context.Context, tries, members int) error {
	if (tries+1)%members != 0 {
		return ctx.Err()
	}
	return pause.For(ctx, retryDelay)
}

func (g *GroupClient) size() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.members)
}

func (g *GroupClient) currentMember() (Member, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.members) == 0 {
		return Member{}, false
	}
	return g.members[g.leaderIndex%len(g.members)], true
}

// skipMember selects the next member after one that did not answer.
func (g *GroupClient) skipMember(m Member) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.members[g.leaderIndex%len(g.members)].ID == m.ID {
		g.leaderIndex++
	}
}

// followHint selects the member that m named as the leader or, if it named no other member, the next one.
func (g *GroupClient) followHint(m Member, hint fleet.HostID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for i, other := range g.members {
		if other.ID == hint && hint != m.ID {
			g.leaderIndex = i
			return
		}
	}
	if g.members[g.leaderIndex%len(g.members)].ID == m.ID {
		g.leaderIndex++
	}
}
