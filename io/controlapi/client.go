package controlapi

import (
	"context"
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

// ErrNoLeader means that no host answered as the leader in time; the call may have reached it.
var ErrNoLeader = Errors.NewType("no-leader")

const (
	// attemptTimeout bounds a call to one host beyond the time for which the call may be held.
	attemptTimeout = 700 * time.Millisecond
	// searchTimeout bounds the question of one host; it is short so that a host that has just started is asked soon.
	searchTimeout = 300 * time.Millisecond
	// leastPause and mostPause bound the time between two rounds of a search; pauseShare is that for each host that searches.
	leastPause = 60 * time.Millisecond
	mostPause  = 400 * time.Millisecond
	pauseShare = 4 * time.Millisecond
)

// response is what a leader answers.
type response interface{ reply() Reply }

// Client finds the leader of the control group and remembers it. Calls that find none share one search. It is safe for
// concurrent use.
type Client struct {
	client *hosts.Client
	port   uint16
	seeds  func() []fleet.HostID

	mu      sync.Mutex
	leader  fleet.HostID
	members []fleet.HostID
	// found is closed and replaced when a leader is learned.
	found chan struct{}
	// asking are the hosts that have not answered the search yet, and round those asked in its latest round.
	asking, round map[fleet.HostID]bool
	// asked is when the latest round of the search began, and hinted when a host's word on who leads was last followed.
	asked, hinted time.Time
	// pause separates rounds of the search.
	pause time.Duration
	// waiting counts the calls that wait for the search, which ends with the last of them.
	waiting   int
	searching context.Context
	end       context.CancelFunc
}

// NewClient returns a client that starts from seeds, which it asks for again in each round.
func NewClient(c *hosts.Client, port uint16, seeds func() []fleet.HostID) *Client {
	return &Client{
		client: c, port: port, seeds: seeds, found: make(chan struct{}), pause: leastPause,
		asking: map[fleet.HostID]bool{}, round: map[fleet.HostID]bool{},
	}
}

// SetMembers tells the client the present members of the group.
func (c *Client) SetMembers(ms []fleet.HostID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.members = ms
}

// SetSearchers tells the client how many hosts search when the leader is lost.
func (c *Client) SetSearchers(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pause = min(max(leastPause, pauseShare*time.Duration(n)), mostPause)
}

// Leader returns the leader as far as known.
func (c *Client) Leader() fleet.HostID {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leader
}

// find returns the leader, searching until one is found or the context ends.
func (c *Client) find(ctx context.Context) (fleet.HostID, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leader == "" {
		c.join()
		defer c.quit()
	}
	for c.leader == "" && ctx.Err() == nil {
		wait := c.pause - time.Since(c.asked)
		if wait <= 0 {
			wait = c.pause
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

// join counts a call that waits for the search; c.mu is held.
func (c *Client) join() {
	if c.waiting++; c.waiting == 1 {
		c.searching, c.end = context.WithCancel(context.Background())
	}
}

// quit ends what join began; c.mu is held.
func (c *Client) quit() {
	if c.waiting--; c.waiting == 0 {
		c.end()
	}
}

// search asks all known hosts whether they lead; c.mu is held.
func (c *Client) search() {
	c.asked = time.Now()
	clear(c.round)
	for _, h := range slices.Concat(c.members, c.seeds()) {
		c.question(h)
	}
}

// question asks one host whether it leads, once a round and not while it owes an answer; c.mu is held.
func (c *Client) question(h fleet.HostID) {
	if c.asking[h] || c.round[h] {
		return
	}
	c.asking[h], c.round[h] = true, true
	go c.ask(c.searching, h)
}

// ask asks one host whether it leads. One that names another host leads to that one, which need not be a known host.
func (c *Client) ask(ctx context.Context, h fleet.HostID) {
	ctx, cancel := context.WithTimeout(ctx, searchTimeout)
	defer cancel()
	res, err := call[LeadRequest, LeadResponse](ctx, c, h, ProcedureLead, 0, &LeadRequest{})
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.asking, h)
	switch {
	case err != nil || c.leader != "":
	case res.Reply.Status == hosts.StatusOK:
		c.learn(h)
	case res.Reply.Leader != "" && c.waiting > 0:
		c.question(res.Reply.Leader)
	}
}

// learn notes the leader; c.mu is held.
func (c *Client) learn(h fleet.HostID) {
	c.leader = h
	close(c.found)
	c.found = make(chan struct{})
}

// forget notes that a host is not the leader, or can't be reached. Its word on who leads is followed once in a while: two hosts
// may name each other.
func (c *Client) forget(h, hint fleet.HostID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leader != h {
		return
	}
	c.leader = ""
	if now := time.Now(); hint != "" && hint != h && now.Sub(c.hinted) >= c.pause {
		c.hinted = now
		c.learn(hint)
	}
}

// Call carries out a procedure on the leader, searching for it until the context ends. hold is how long the leader may keep the
// answer back.
func Call[Req, Res any, P interface {
	*Res
	response
}](ctx context.Context, c *Client, procedure string, hold time.Duration, req *Req) (*Res, error) {
	var last error
	for {
		h, ok := c.find(ctx)
		if !ok {
			return nil, ErrNoLeader.Wrap(last, "no host answered as leader of the control group in time; check that a majority of it runs")
		}
		res, err := call[Req, Res](ctx, c, h, procedure, hold, req)
		if err != nil {
			last = err
			c.forget(h, "")
			continue
		}
		r := P(res).reply()
		if r.Status == hosts.StatusOK {
			return res, nil
		}
		c.forget(h, r.Leader)
	}
}

// CallHere carries out a procedure by this host's own handler, and by that of the leader if this host doesn't lead.
func CallHere[Req, Res any, P interface {
	*Res
	response
}](ctx context.Context, c *Client, self fleet.HostID, handler func(context.Context, fleet.HostID, *Req) (*Res, error),
	procedure string, hold time.Duration, req *Req,
) (*Res, error) {
	res, err := handler(ctx, self, req)
	if err != nil || P(res).reply().Status == hosts.StatusOK {
		return res, err
	}
	return Call[Req, Res, P](ctx, c, procedure, hold, req)
}

func call[Req, Res any](ctx context.Context, c *Client, h fleet.HostID, procedure string, hold time.Duration, req *Req) (*Res, error) {
	ctx, cancel := context.WithTimeout(ctx, hold+attemptTimeout)
	defer cancel()
	return hosts.Call[Req, Res](ctx, c.client, formation.Address(h, c.port), procedure, req)
}
