package follow

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/joomcode/errorx"
	"go.uber.org/zap"

	"toucanway/core/config"
	"toucanway/core/control"
	"toucanway/core/fleet"
	"toucanway/core/pause"
	"toucanway/io/hosts"
	"toucanway/io/metrics"
)

// Errors is the namespace of this package's errors.
var Errors = errorx.NewNamespace("follow")

var (
	// ErrSuperseded means that another process opened a session under this host's id.
	ErrSuperseded = Errors.NewType("superseded")
	// ErrGap means that log entries are missing in an answer of the leader; the next poll requests them again.
	ErrGap = Errors.NewType("gap")
)

// Log messages of changes of the session and the document.
const (
	logUndecodable   = "configuration cannot be decoded; upgrade this host"
	logInForce       = "configuration in force"
	logSessionOpened = "session opened"
)

const (
	// Hold is how long the leader may delay the answer to a poll while there are no new entries.
	Hold = 500 * time.Millisecond
	// pollTimeout bounds one poll, including the Hold, so that an unresponsive leader doesn't block the next poll.
	pollTimeout = Hold + 700*time.Millisecond
	// proposeTimeout bounds a proposal over all its attempts.
	proposeTimeout = 5 * time.Second
	// submitTimeout bounds one attempt to submit a document, which includes its commit and the wait until it is in force.
	submitTimeout  = 8 * time.Second
	pollRetryDelay = 50 * time.Millisecond
	// minRecentEntries is the minimum number of recent log entries kept for RecentEntries; up to twice as many are kept.
	minRecentEntries = 512
)

// Settings configure a Follower; zero fields mean the documented defaults.
type Settings struct {
	Host          fleet.HostID
	Address       string
	CallerAddress string
	Place         fleet.Place
	Control       *hosts.GroupClient
	// TakeAnnounced returns the backend servers that announced themselves since the last call, and clears the list; nil means
	// none.
	TakeAnnounced func() []fleet.BackendIncarnation
	// Seed makes the first sequence number of this process differ from that of an earlier one. Otherwise the first command of
	// this process could be mistaken for a repetition of the earlier process's first command. Zero means a random seed.
	Seed uint64
	// Poll sends a poll, with a timeout of its own; nil means that polls are sent to the leader by Control.
	Poll func(ctx context.Context, req *hosts.FollowRequest) (*hosts.FollowResponse, error)
	// OnApplied is called with each answer whose entries were applied; nil means no call. It must not block.
	OnApplied func(res *hosts.FollowResponse)
	// Log receives changes of the session's state; nil means no log.
	Log *zap.Logger
	// Metrics is the registry for the follower's metrics; nil means that none are exposed.
	Metrics *metrics.Registry
}

// Follower is a host's copy of the control state. It is safe for concurrent use. It takes no other lock while it holds mu.
type Follower struct {
	cfg     Settings
	metrics followMetrics
	seq     sequence

	mu          sync.RWMutex
	state       control.State
	doc         *config.Document
	docVersion  fleet.DocumentVersion
	incarnation fleet.Incarnation
	leaseEnd    time.Time
	changed     chan struct{}
	// recentEntries holds the last applied entries in order, for RecentEntries.
	recentEntries []hosts.LogEntry
}

// sequence numbers the proposals of one incarnation of the host.
type sequence struct {
	mu   sync.Mutex
	last uint64
}

func (s *sequence) next() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.last++
	return s.last
}

// New returns a follower with an empty state.
func New(cfg Settings) *Follower {
	if cfg.Log == nil {
		cfg.Log = zap.NewNop()
	}
	if cfg.Metrics == nil {
		cfg.Metrics = metrics.New(metrics.Options{})
	}
	if cfg.Poll == nil {
		cfg.Poll = func(ctx context.Context, req *hosts.FollowRequest) (*hosts.FollowResponse, error) {
			return PollLeader(ctx, cfg.Control, req)
		}
	}
	f := &Follower{cfg: cfg, doc: &config.Document{}, changed: make(chan struct{})}
	if cfg.Seed == 0 {
		cfg.Seed = rand.Uint64()
	}
	f.seq.last = rand.New(rand.NewPCG(cfg.Seed, 0)).Uint64() >> 1
	f.metrics = f.newMetrics(cfg.Metrics)
	return f
}

// Read calls fn with the state; fn must neither change nor keep it.
func (f *Follower) Read(fn func(*control.State)) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	fn(&f.state)
}

// Document returns the configuration in force and its version; version 0 is the empty document.
func (f *Follower) Document() (*config.Document, fleet.DocumentVersion) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.doc, f.docVersion
}

// HasLease reports whether the session lease is valid at a time of this host's clock and the newest document that the host
// knows of is in force here.
func (f *Follower) HasLease(now time.Time) bool {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return now.Before(f.leaseEnd) && f.docVersion == f.state.Document().Version
}

// LeaseEnd returns the end of the session lease.
func (f *Follower) LeaseEnd() time.Time {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.leaseEnd
}

// Incarnation returns the incarnation of the open session, or 0.
func (f *Follower) Incarnation() fleet.Incarnation {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.incarnation
}

// Changed returns a channel that is closed at the next change of the state or the lease.
func (f *Follower) Changed() <-chan struct{} {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.changed
}

// Run polls the leader until the context ends. It returns ErrSuperseded if another process opened a session under this
// host's id.
func (f *Follower) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		err := f.poll(ctx)
		if errorx.IsOfType(err, ErrSuperseded) {
			return err
		}
		if err != nil {
			f.metrics.pollsFailed.With().Inc(1)
			if pause.For(ctx, pollRetryDelay) != nil {
				return nil
			}
		}
	}
	return nil
}

// PollLeader sends a poll to the control leader and returns its answer.
func PollLeader(ctx context.Context, control *hosts.GroupClient, req *hosts.FollowRequest) (*hosts.FollowResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	return hosts.CallLeader[hosts.FollowRequest, hosts.FollowResponse](ctx, control, hosts.ProcedureFollow, pollTimeout, req)
}

// poll sends one poll, applies the answer and opens a session if there is none.
func (f *Follower) poll(ctx context.Context) error {
	req := &hosts.FollowRequest{Host: f.cfg.Host, Hold: Hold}
	f.mu.RLock()
	req.Incarnation = f.incarnation
	req.Applied = f.state.Applied()
	f.mu.RUnlock()
	if f.cfg.TakeAnnounced != nil {
		req.Announced = f.cfg.TakeAnnounced()
	}
	sent := time.Now()
	res, err := f.cfg.Poll(ctx, req)
	if err != nil {
		return err
	}
	if err := f.apply(res, sent); err != nil {
		return err
	}
	if f.cfg.OnApplied != nil {
		f.cfg.OnApplied(res)
	}
	if res.Newest && (res.Status == hosts.StatusClosed || req.Incarnation == 0) {
		return f.openSession(ctx)
	}
	return nil
}

// apply applies the entries and the lease of an answer. A new document is decoded before the state with its entry becomes
// visible.
func (f *Follower) apply(res *hosts.FollowResponse, sent time.Time) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(res.Snapshot) > 0 && res.SnapshotIndex > f.state.Applied() {
		m := control.Machine{}
		if err := m.Restore(res.SnapshotIndex, res.Snapshot); err != nil {
			return err
		}
		f.state = m.State
		f.recentEntries = nil
	}
	for _, e := range res.Entries {
		if e.Index <= f.state.Applied() {
			continue
		}
		if e.Index != f.state.Applied()+1 {
			return ErrGap.New("control log entry %d is followed by entry %d; the entries between them are missing",
				f.state.Applied(), e.Index)
		}
		f.keepEntry(e)
		if len(e.Data) == 0 {
			f.state.Skip(e.Index)
			continue
		}
		f.state.Apply(e.Index, e.Data)
	}
	f.refreshDocument()
	if res.Lease > 0 && res.Newest {
		if end := sent.Add(res.Lease); end.After(f.leaseEnd) {
			f.leaseEnd = end
		}
	}
	close(f.changed)
	f.changed = make(chan struct{})
	return nil
}

func (f *Follower) keepEntry(e hosts.LogEntry) {
	if len(f.recentEntries) >= 2*minRecentEntries {
		f.recentEntries = append([]hosts.LogEntry(nil), f.recentEntries[minRecentEntries:]...)
	}
	f.recentEntries = append(f.recentEntries, e)
}

// RecentEntries returns the entries after a log index, and false if some of them are no longer kept.
func (f *Follower) RecentEntries(after fleet.Index) ([]hosts.LogEntry, bool) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	if after >= f.state.Applied() {
		return nil, true
	}
	for i, e := range f.recentEntries {
		if e.Index == after+1 {
			return append([]hosts.LogEntry(nil), f.recentEntries[i:]...), true
		}
	}
	return nil, false
}

// OldestRecent returns the log index after which RecentEntries returns all entries that are kept.
func (f *Follower) OldestRecent() fleet.Index {
	f.mu.RLock()
	defer f.mu.RUnlock()
	if len(f.recentEntries) == 0 {
		return f.state.Applied()
	}
	return f.recentEntries[0].Index - 1
}

// refreshDocument puts the newest document in force. Documents are decoded before they are submitted, so if this one can't
// be decoded, this host's version is older than the document's format.
func (f *Follower) refreshDocument() {
	d := f.state.Document()
	if d.Version == f.docVersion {
		return
	}
	doc, problems := config.Parse("document", d.Text)
	if len(problems) > 0 {
		f.cfg.Log.Error(logUndecodable,
			zap.Uint64("version", uint64(d.Version)), zap.Error(problems))
		return
	}
	f.doc = doc
	f.docVersion = d.Version
	f.cfg.Log.Info(logInForce, zap.Uint64("version", uint64(d.Version)))
}

// openSession opens a session for a new incarnation of the host.
func (f *Follower) openSession(ctx context.Context) error {
	f.mu.Lock()
	ownIncarnation := f.incarnation
	cur, open := f.state.Session(f.cfg.Host)
	f.incarnation = 0
	f.mu.Unlock()
	if ownIncarnation > 0 && open && cur.Incarnation > ownIncarnation {
		return ErrSuperseded.New("another process uses the host id %s; give each host an id of its own", f.cfg.Host)
	}
	res, err := f.propose(ctx, 0, &control.OpenSession{
		Host: f.cfg.Host, Address: f.cfg.Address, CallerAddress: f.cfg.CallerAddress, Place: f.cfg.Place,
	})
	if err != nil {
		return err
	}
	if err := res.Err(); err != nil {
		return err
	}
	next := fleet.Incarnation(res.Index)
	f.mu.Lock()
	f.incarnation = next
	f.mu.Unlock()
	f.metrics.sessionsOpened.With().Inc(1)
	f.cfg.Log.Info(logSessionOpened, zap.Uint64("incarnation", uint64(next)))
	return nil
}

// Submit commits a document and returns once it is in force on every host with a lease. It also returns the hosts whose
// lease ended before that.
func (f *Follower) Submit(ctx context.Context, c *control.SubmitDocument) (control.Result, []fleet.HostID, error) {
	data, err := f.encodeProposal(f.Incarnation(), c)
	if err != nil {
		return control.Result{}, nil, err
	}
	res, err := hosts.CallLeader[hosts.ProposeRequest, hosts.SubmitResponse](ctx, f.cfg.Control, hosts.ProcedureSubmit, submitTimeout,
		&hosts.ProposeRequest{Data: data})
	if err != nil {
		return control.Result{}, nil, err
	}
	return res.Result, res.Expired, nil
}

// Propose commits a command and returns its result; a rejected command is not an error.
func (f *Follower) Propose(ctx context.Context, c control.Command) (control.Result, error) {
	return f.propose(ctx, f.Incarnation(), c)
}

func (f *Follower) propose(ctx context.Context, incarnation fleet.Incarnation, c control.Command) (control.Result, error) {
	data, err := f.encodeProposal(incarnation, c)
	if err != nil {
		return control.Result{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	res, err := hosts.CallLeader[hosts.ProposeRequest, hosts.ProposeResponse](ctx, f.cfg.Control, hosts.ProcedurePropose, 0,
		&hosts.ProposeRequest{Data: data})
	if err != nil {
		return control.Result{}, err
	}
	return control.DecodeResult(res.Result)
}

func (f *Follower) encodeProposal(incarnation fleet.Incarnation, c control.Command) ([]byte, error) {
	return control.Encode(control.Proposal{
		Proposer: control.Proposer{Host: f.cfg.Host, Incarnation: incarnation}, Seq: f.seq.next(), Command: c,
	})
}

// WaitApplied waits until the state contains a log index.
func (f *Follower) WaitApplied(ctx context.Context, index fleet.Index) error {
	for {
		changed := f.Changed()
		var applied fleet.Index
		f.Read(func(s *control.State) { applied = s.Applied() })
		if applied >= index {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		}
	}
}
