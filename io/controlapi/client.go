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
	// roundPause separates rounds over all known hosts.
	roundPause = 60 * time.Millisecond
)

// response is what a leader answers.
type response interface{ reply() Reply }

// Client finds the leader of the control group and remembers it. It is safe for concurrent use.
type Client struct {
	client *hosts.Client
	port   uint16
	seeds  func() []fleet.HostID

	mu      sync.Mutex
	leader  fleet.HostID
	members []fleet.HostID
	next    int
}

// NewClient returns a client that starts from seeds, which it asks for again in each round.
func NewClient(c *hosts.Client, port uint16, seeds func() []fleet.HostID) *Client {
	return &Client{client: c, port: port, seeds: seeds}
}

// SetMembers tells the client the present members of the group.
func (c *Client) SetMembers(ms []fleet.HostID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.members = ms
}

// Leader returns the leader as far as known.
func (c *Client) Leader() fleet.HostID {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leader
}

// target returns the host to ask next: the leader if known, else one known host after the other.
func (c *Client) target() (fleet.HostID, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leader != "" {
		return c.leader, true
	}
	known := slices.Clone(c.members)
	for _, s := range c.seeds() {
		if !slices.Contains(known, s) {
			known = append(known, s)
		}
	}
	if len(known) == 0 {
		return "", false
	}
	c.next++
	return known[c.next%len(known)], c.next%len(known) != 0
}

// learn takes over what an answer or a failure of a host tells about the leader.
func (c *Client) learn(asked, leader fleet.HostID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leader == asked || c.leader == "" {
		c.leader = leader
	}
}

// Call carries out a procedure on the leader, searching for it until the context ends. hold is how long the leader may keep the
// answer back.
func Call[Req, Res any, P interface {
	*Res
	response
}](ctx context.Context, c *Client, procedure string, hold time.Duration, req *Req) (*Res, error) {
	var last error
	for ctx.Err() == nil {
		h, more := c.target()
		if h != "" {
			res, err := call[Req, Res](ctx, c, h, procedure, hold, req)
			if err == nil {
				switch r := P(res).reply(); {
				case r.Status == hosts.StatusOK:
					c.learn(h, h)
					return res, nil
				case r.Leader != h:
					c.learn(h, r.Leader)
					more = more && r.Leader != ""
				default:
					c.learn(h, "")
				}
			} else {
				last = err
				c.learn(h, "")
			}
		}
		if more {
			continue
		}
		t := time.NewTimer(roundPause)
		select {
		case <-t.C:
		case <-ctx.Done():
			t.Stop()
		}
	}
	return nil, ErrNoLeader.Wrap(last, "no host answered as leader of the control group in time; check that a majority of it runs")
}

func call[Req, Res any](ctx context.Context, c *Client, h fleet.HostID, procedure string, hold time.Duration, req *Req) (*Res, error) {
	ctx, cancel := context.WithTimeout(ctx, hold+attemptTimeout)
	defer cancel()
	return hosts.Call[Req, Res](ctx, c.client, formation.Address(h, c.port), procedure, req)
}
