package relay

import (
	"context"
	"sync"
	"time"

	"toucanway/io/follow"
	"toucanway/io/hosts"
)

const (
	// pollTimeout bounds a poll of a relay, so that after a failure a poll of the leader still arrives well within the
	// session lease.
	pollTimeout = time.Second
	// directDuration is how long a host polls the leader after its relay failed.
	directDuration = 5 * time.Second
)

// Poller sends a host's polls to its relay, or to the leader if there is no relay or the relay failed recently. It is
// safe for concurrent use.
type Poller struct {
	Client  *hosts.Client
	Control *hosts.GroupClient
	// Choose returns the address of the relay, or false if the host follows the leader directly.
	Choose func() (address string, ok bool)

	mu          sync.Mutex
	directUntil time.Time
}

// Poll makes one poll. If the relay fails, Poll returns the error and the next polls go to the leader: a repetition within
// the same Poll would count the lease from a time before the request for which it was granted.
func (p *Poller) Poll(ctx context.Context, req *hosts.FollowRequest) (*hosts.FollowResponse, error) {
	p.mu.Lock()
	direct := time.Now().Before(p.directUntil)
	p.mu.Unlock()
	// A host without a session reads the log from the beginning, which only the leader has.
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
		p.directUntil = time.Now().Add(directDuration)
		p.mu.Unlock()
	}
	return res, err
}
