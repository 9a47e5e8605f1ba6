package ledgers

import (
	"context"
	"sync/atomic"

	"toucanway/core/fleet"
	"toucanway/core/ledger"
	"toucanway/io/groups"
	"toucanway/io/hosts"
)

// Client sends commands to the ledger groups; it is safe for concurrent use.
type Client struct {
	groups      []*hosts.GroupClient
	lastAttempt atomic.Uint64
}

// NewClient returns a client of n ledger groups with the given voters.
func NewClient(c *hosts.Client, members []hosts.Member, n int) *Client {
	l := &Client{}
	for range max(n, 1) {
		l.groups = append(l.groups, hosts.NewGroupClient(c, members))
	}
	return l
}

// NewAttempt returns an attempt that differs from all others of this incarnation of the host.
func (l *Client) NewAttempt(host fleet.HostID, incarnation fleet.Incarnation) ledger.Attempt {
	return ledger.Attempt{Host: host, Incarnation: incarnation, Number: l.lastAttempt.Add(1)}
}

// Commit commits a command in the ledger group of the key. An error means that it is not known whether the command was
// committed.
func (l *Client) Commit(ctx context.Context, key ledger.Key, c ledger.Command) (ledger.Result, error) {
	data, err := ledger.Encode(c)
	if err != nil {
		return ledger.Result{}, err
	}
	n := ledger.GroupOf(key, len(l.groups))
	res, err := hosts.CallLeader[hosts.ProposeRequest, hosts.ProposeResponse](ctx, l.groups[n], hosts.ProcedurePropose, 0,
		&hosts.ProposeRequest{Group: uint32(groups.LedgerID(n)), Data: data})
	if err != nil {
		return ledger.Result{}, err
	}
	return ledger.DecodeResult(res.Result)
}
