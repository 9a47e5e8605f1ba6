package controlapi

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	"toucanway/core/fleet"
	"toucanway/io/formation"
	"toucanway/io/hosts"
)

// Errors is the namespace of this package's errors.
var Errors = errorx.NewNamespace("controlapi")

// ErrNoLeader means that no host answered as the leader before the context ended; the call may have reached the leader.
var ErrNoLeader = Errors.NewType("no-leader")

const (
	// attemptTimeout bounds a call to one host, in addition to the time for which the leader may hold the answer.
	attemptTimeout = 700 * time.Millisecond
	// searchTimeout bounds a call that asks a host whether it leads; it is short so that a host that has just started is asked
	// again soon.
	searchTimeout = 300 * time.Millisecond
	// minRoundInterval and maxRoundInterval bound the interval of the rounds of a search. Between them the interval is
	// roundIntervalPerHost times the number of searching hosts.
	minRoundInterval     = 60 * time.Millisecond
	maxRoundInterval     = 400 * time.Millisecond
	roundIntervalPerHost = 4 * time.Millisecond
	// maxRoundFactor bounds the growth of the interval from round to round, in multiples of the first one.
	maxRoundFactor = 4
	// hostsPerRound is the number of hosts that are asked in each round.
	hostsPerRound = 3
)

// Response is implemented by the leader's responses.
type Response interface{ reply() Reply }

// Client finds the leader of the control group and caches it. Concurrent calls without a known leader share one search. It is
// safe for concurrent use.
type Client struct {
	client *hosts.Client
	port   uint16
	seeds  func() []fleet.HostID

	mu      sync.Mutex
	leader  fleet.HostID
	members []fleet.HostID
	// found is closed and replaced when a leader is found.
	found chan struct{}
	// unanswered holds the hosts that have not answered yet, askedThisRound those asked in the latest round.
	unanswered, askedThisRound map[fleet.HostID]bool
	// roundStart is the start of the latest round, hintFollowedAt the last time at which a host's hint to the leader was followed.
	roundStart, hintFollowedAt time.Time
	// roundInterval is the time between two rounds of a search.
	roundInterval time.Duration
	// rounds is the number of rounds of the present search.
	rounds int
	// waiting is the number of calls that wait for the search, which ends with the last of them.
	waiting   int
	searchCtx context.Context
	endSearch context.CancelFunc
}

// NewClient returns a client that searches from seeds; it calls seeds again in each round of a search.
func NewClient(c *hosts.Client, port uint16, seeds func() []fleet.HostID) *Client {
	return &Client{
		client: c, port: port, seeds: seeds, found: make(chan struct{}), roundInterval: minRoundInterval,
		unanswered: map[fleet.HostID]bool{}, askedThisRound: map[fleet.HostID]bool{},
	}
}

// SetMembers sets the current members of the group.
func (c *Client) SetMembers(ms []fleet.HostID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.members = ms
}

// Members returns the current members of the group, as far as this host knows.
func (c *Client) Members() []fleet.HostID {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.members
}

// SetSearchingHosts sets the number of hosts that search when the leader is lost.
func (c *Client) SetSearchingHosts(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.roundInterval = min(max(minRoundInterval, roundIntervalPerHost*time.Duration(n)), maxRoundInterval)
}

// SetLeader records the leader as another member of the group has named it.
func (c *Client) SetLeader(h fleet.HostID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if h != "" && c.leader != h {
		c.setLeader(h)
	}
}

// Leader returns the leader, or "" if it isn't known.
func (c *Client) Leader() fleet.HostID {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leader
}

// find returns the leader. If it isn't known, find searches until one is found, or returns false when the context ends.
func (c *Client) find(ctx context.Context) (fleet.HostID, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leader == "" {
		c.beginWaiting()
		defer c.endWaiting()
	}
	for c.leader == "" && ctx.Err() == nil {
		interval := c.roundInterval * time.Duration(min(1+c.rounds, maxRoundFactor))
		wait := interval - time.Since(c.roundStart)
		if wait <= 0 {
			wait = interval
			c.rounds++
			c.search()
		}
		found := c.found
		c.mu.Unlock()
		t := time.NewTimer(wait)
		select {
		case <-found:
		case <-t.C:
		case <-ctx.Done():
		}
		t.Stop()
		c.mu.Lock()
	}
	return c.leader, c.leader != "" && ctx.Err() == nil
}

// beginWaiting adds a call that waits for the search, and begins a search with the first one; c.mu is held.
func (c *Client) beginWaiting() {
	if c.waiting++; c.waiting == 1 {
		c.searchCtx, c.endSearch = context.WithCancel(context.Background())
	}
}

// endWaiting removes a call that beginWaiting added, and ends the search with the last one; c.mu is held.
func (c *Client) endWaiting() {
	if c.waiting--; c.waiting == 0 {
		c.endSearch()
	}
}

// search asks some of the known hosts whether they lead, others in each round; c.mu is held. A host that doesn't lead names the
// leader, and hundreds of hosts that all ask every member would keep the members from answering.
func (c *Client) search() {
	c.roundStart = time.Now()
	clear(c.askedThisRound)
	known := slices.Concat(c.members, c.seeds())
	slices.Sort(known)
	known = slices.Compact(known)
	rand.Shuffle(len(known), func(i, j int) { known[i], known[j] = known[j], known[i] })
	for _, h := range known[:min(len(known), hostsPerRound)] {
		c.askOnce(h)
	}
}

// askOnce asks one host whether it leads, at most once a round and not while a previous call is in flight; c.mu is held.
func (c *Client) askOnce(h fleet.HostID) {
	if c.unanswered[h] || c.askedThisRound[h] {
		return
	}
	c.unanswered[h], c.askedThisRound[h] = true, true
	go c.ask(c.searchCtx, h)
}

// ask asks one host whether it leads. If the host names another one as the leader, that one is asked next, even if it is unknown.
func (c *Client) ask(ctx context.Context, h fleet.HostID) {
	ctx, cancel := context.WithTimeout(ctx, searchTimeout)
	defer cancel()
	res, err := CallMember[LeadRequest, LeadResponse](ctx, c, h, ProcedureLead, 0, &LeadRequest{})
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.unanswered, h)
	switch {
	case err != nil || c.leader != "":
	case res.Reply.Status == hosts.StatusOK:
		c.setLeader(h)
	case res.Reply.Leader != "" && c.waiting > 0:
		c.askOnce(res.Reply.Leader)
	}
}

// setLeader records the leader and wakes the waiting calls; c.mu is held.
func (c *Client) setLeader(h fleet.HostID) {
	c.leader, c.rounds = h, 0
	close(c.found)
	c.found = make(chan struct{})
}

// dropLeader records that a host is not the leader or can't be reached. Its hint to the leader is followed at most once per round
// interval, since two hosts may name each other.
func (c *Client) dropLeader(h, hint fleet.HostID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leader != h {
		return
	}
	c.leader = ""
	if now := time.Now(); hint != "" && hint != h && now.Sub(c.hintFollowedAt) >= c.roundInterval {
		c.hintFollowedAt = now
		c.setLeader(hint)
	}
}

// Call calls a procedure of the leader and retries until a leader answers or the context ends. The leader may delay the answer
// for the time hold.
func Call[Req, Res any, P interface {
	*Res
	Response
}](ctx context.Context, c *Client, procedure string, hold time.Duration, req *Req) (*Res, error) {
	var lastErr error
	for {
		h, ok := c.find(ctx)
		if !ok {
			return nil, ErrNoLeader.Wrap(lastErr, "no host answered as leader of the control group in time; check that a majority of its members is running")
		}
		res, err := CallMember[Req, Res](ctx, c, h, procedure, hold, req)
		if err != nil {
			lastErr = err
			// A call that was given up early says nothing of the leader.
			if ctx.Err() == nil {
				c.dropLeader(h, "")
			}
			continue
		}
		r := P(res).reply()
		if r.Status == hosts.StatusOK {
			return res, nil
		}
		c.dropLeader(h, r.Leader)
	}
}

// CallLocalFirst calls this host's own handler of a procedure, and then that of the leader if this host doesn't lead.
func CallLocalFirst[Req, Res any, P interface {
	*Res
	Response
}](ctx context.Context, c *Client, self fleet.HostID, handler func(context.Context, fleet.HostID, *Req) (*Res, error),
	procedure string, hold time.Duration, req *Req,
) (*Res, error) {
	res, err := handler(ctx, self, req)
	if err != nil || P(res).reply().Status == hosts.StatusOK {
		return res, err
	}
	return Call[Req, Res, P](ctx, c, procedure, hold, req)
}

// CallMember calls a procedure of one member of the group, which need not lead. The member may delay the answer for the time hold.
func CallMember[Req, Res any](ctx context.Context, c *Client, h fleet.HostID, procedure string, hold time.Duration, req *Req) (*Res, error) {
	ctx, cancel := context.WithTimeout(ctx, hold+attemptTimeout)
	defer cancel()
	return hosts.Call[Req, Res](ctx, c.client, formation.Address(h, c.port), procedure, req)
}
