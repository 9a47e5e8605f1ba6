package relay

import (
	"context"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	"toucanway/core/fleet"
	"toucanway/io/hosts"
)

// Errors is the namespace of this package's errors.
var Errors = errorx.NewNamespace("relay")

// ErrUnable means that the relay cannot answer and the host has to poll the leader.
var ErrUnable = Errors.NewType("unable")

const (
	// renewInterval is the longest time that a poll waits until its batch is sent. updateBatchDelay is how long the relay
	// collects polls after new log entries, so that the batch includes the hosts that have applied them.
	renewInterval    = 250 * time.Millisecond
	updateBatchDelay = 20 * time.Millisecond
	// renewTimeout bounds the call for one batch. The sum of maxHold, renewInterval and renewTimeout is less than a host's
	// timeout for polling its relay.
	renewTimeout = 200 * time.Millisecond
	// grantTimeout bounds the wait for the grant and for the log entries that it requires.
	grantTimeout = renewInterval + renewTimeout
	maxHold      = 500 * time.Millisecond
	// maxEntries and maxBytes bound the part of the log that is kept; hosts that need older entries poll the leader.
	maxEntries = 4096
	maxBytes   = 4 << 20
	// maxAnswerBytes bounds the entries in one answer, maxPending the polls that wait for a batch.
	maxAnswerBytes = 1 << 20
	maxPending     = 4096
)

// Relay answers the polls of other hosts in its data centre. It is safe for concurrent use. No other lock is taken while
// mu is held.
type Relay struct {
	control *hosts.GroupClient
	wakeup  chan struct{}

	mu sync.Mutex
	// entries is the end of the log, without gaps, up to index last.
	entries []hosts.LogEntry
	bytes   int
	last    fleet.Index
	// updatedAt is when last increased; updated is closed and replaced at that moment.
	updatedAt time.Time
	updated   chan struct{}
	pending   []*pendingPoll
}

// pendingPoll is one request from a host that waits for the leader's grant.
type pendingPoll struct {
	req *hosts.FollowRequest
	// answer receives the grant for exactly this request, or is closed if the batch failed.
	answer chan grant
}

type grant struct {
	hosts.Grant
	applied fleet.Index
}

// New returns a relay with an empty log.
func New(control *hosts.GroupClient) *Relay {
	return &Relay{control: control, wakeup: make(chan struct{}, 1), updated: make(chan struct{})}
}

// Register adds the procedure to a server.
func (r *Relay) Register(srv *hosts.Server) { hosts.Handle(srv, hosts.ProcedureRelay, r.Follow) }

// AddEntries adds the log entries of a response that the relay's own follower has applied.
func (r *Relay) AddEntries(res *hosts.FollowResponse) {
	r.mu.Lock()
	defer r.mu.Unlock()
	before := r.last
	if len(res.Snapshot) > 0 && res.SnapshotIndex > r.last {
		r.entries, r.bytes, r.last = nil, 0, res.SnapshotIndex
	}
	for _, e := range res.Entries {
		if e.Index <= r.last {
			continue
		}
		if e.Index != r.last+1 {
			r.entries, r.bytes = nil, 0
		}
		r.entries = append(r.entries, e)
		r.bytes += len(e.Data)
		r.last = e.Index
	}
	drop := 0
	for len(r.entries)-drop > maxEntries || r.bytes > maxBytes {
		r.bytes -= len(r.entries[drop].Data)
		drop++
	}
	r.entries = append([]hosts.LogEntry(nil), r.entries[drop:]...)
	if r.last > before {
		r.updatedAt = time.Now()
		close(r.updated)
		r.updated = make(chan struct{})
		r.wakeRun()
	}
}

func (r *Relay) wakeRun() {
	select {
	case r.wakeup <- struct{}{}:
	default:
	}
}

// Follow answers a host's poll once the leader has granted its lease and either there are new entries or the hold time
// is over.
func (r *Relay) Follow(ctx context.Context, _ fleet.HostID, req *hosts.FollowRequest) (*hosts.FollowResponse, error) {
	hold := time.NewTimer(min(max(req.Hold, 0), maxHold))
	defer hold.Stop()
	ctx, cancel := context.WithTimeout(ctx, maxHold+grantTimeout)
	defer cancel()
	p, err := r.enqueue(req)
	if err != nil {
		return nil, err
	}
	var g grant
	select {
	case got, ok := <-p.answer:
		if !ok {
			return nil, ErrUnable.New("the leader did not answer the relay; poll the leader")
		}
		g = got
	case <-ctx.Done():
		return nil, ErrUnable.Wrap(ctx.Err(), "the leader's grant did not arrive in time; poll the leader")
	}
	if g.Status == hosts.StatusOK && g.applied <= req.Applied {
		r.waitBeyond(ctx, req.Applied, hold.C)
	}
	// The entries that the grant requires may still be in transit to the relay's own follower.
	if g.applied > 0 {
		r.waitBeyond(ctx, g.applied-1, nil)
	}
	return r.respond(req, g)
}

// enqueue adds a poll to the next batch.
func (r *Relay) enqueue(req *hosts.FollowRequest) (*pendingPoll, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.pending) >= maxPending || !r.hasEntriesAfter(req.Applied) {
		return nil, ErrUnable.New("the relay lacks entries after %d or has too many waiting polls; poll the leader", req.Applied)
	}
	p := &pendingPoll{req: req, answer: make(chan grant, 1)}
	r.pending = append(r.pending, p)
	r.wakeRun()
	return p, nil
}

// hasEntriesAfter reports whether the kept part of the log contains all entries after an index.
func (r *Relay) hasEntriesAfter(after fleet.Index) bool {
	return r.last > 0 && after+fleet.Index(len(r.entries)) >= r.last
}

// waitBeyond waits until the log extends beyond an index or the timer fires; a nil timer never fires.
func (r *Relay) waitBeyond(ctx context.Context, index fleet.Index, timer <-chan time.Time) {
	for {
		r.mu.Lock()
		last, updated := r.last, r.updated
		r.mu.Unlock()
		if last > index {
			return
		}
		select {
		case <-updated:
		case <-timer:
			return
		case <-ctx.Done():
			return
		}
	}
}

// respond returns the entries that a host lacks, and includes the grant if the entries reach the index that it requires.
func (r *Relay) respond(req *hosts.FollowRequest, g grant) (*hosts.FollowResponse, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.hasEntriesAfter(req.Applied) {
		return nil, ErrUnable.New("the relay does not have all entries after %d; poll the leader", req.Applied)
	}
	res := &hosts.FollowResponse{}
	end, size := req.Applied, 0
	for _, e := range r.entries {
		if e.Index <= req.Applied {
			continue
		}
		if size += len(e.Data); size > maxAnswerBytes && len(res.Entries) > 0 {
			break
		}
		res.Entries = append(res.Entries, e)
		end = e.Index
	}
	if end >= g.applied {
		res.Newest, res.Status, res.Lease = true, g.Status, g.Lease
	}
	return res, nil
}
