package relay

import (
	"context"
	"sync"
	"time"

	"toucanway/io/follow"
	"toucanway/io/hosts"
)

const (
	// pollTimeout bounds a poll of a relay, so that a poll of the leader still comes well within the session lease.
	pollTimeout = time.Second
	// directTime is how long a host polls the leader after its relay failed.
	directTime = 5 * time.Second
)

// Poller carries a host's polls to its relay, and to the leader while there is none or it fails. It is safe for
// concurrent use.
type Poller struct {
	Client  *hosts.Client
	Control *hosts.GroupClient
	// Choose returns the address of the relay, and false when the host follows the leader.
	Choose func() (address string, ok bool)

	mu          sync.Mutex
	directUntil time.Time
}

// Poll makes one poll. After a failed one the next goes to the leader, as a poll of its own: a lease never counts from
// before the request that it was granted for.
func (p *Poller) Poll(ctx context.Context, req *hosts.FollowRequest) (*hosts.FollowResponse, error) {
	p.mu.Lock()
	direct := time.Now().Before(p.directUntil)
	p.mu.Unlock()
	// A host without session reads the log from its beginning, which the leader alone keeps.
	if direct || req.Incarnation == 0 {
		return follow.PollLeader(ctx, p.Control, req)
	}
	address, ok := p.Choose()
	if !ok {
		return follow.PollLeader(ctx, p.Control, req)
	}
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	res, err := hosts.Call[hosts.FollowRequest, hosts.FollowResponse](ctx, p.Client, address, hosts.ProcedureRelay, req)
	if err != nil {
		p.mu.Lock()
		p.directUntil = time.Now().Add(directTime)
		p.mu.Unlock()
	}
	return res, err
}
