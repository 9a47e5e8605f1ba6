package sessions

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"toucanway/core/control"
	"toucanway/core/fleet"
	"toucanway/core/raft"
	"toucanway/io/hosts"
	"toucanway/io/voters"
)

const (
	// Lease is how long a host may take new work after its last answered poll. It outlasts an election, so that the
	// death of a leader stops no host.
	Lease = 3 * time.Second
	// BackendSilence is how long after its last announcement a backend server counts as lost.
	BackendSilence = 5 * time.Second

	maxHold       = time.Second
	maxEntryBytes = 1 << 20
	checkInterval = 100 * time.Millisecond
	// inForceTimeout exceeds a session lease, within which every host either has the document or lost its lease.
	inForceTimeout = 2 * Lease
)

// Group is the control group as the service uses it.
type Group interface {
	Propose(ctx context.Context, data []byte) (fleet.Index, []byte, error)
	LeaseValid(now time.Time) bool
	EntriesAfter(index fleet.Index, maxBytes fleet.Bytes) ([]raft.Entry, bool)
	Snapshot() (fleet.Index, []byte, error)
	WaitApplied(ctx context.Context, after fleet.Index) error
	View(f func())
	Status() voters.Status
}

// Settings of a Service.
type Settings struct {
	Self    fleet.HostID
	Group   Group
	Machine *control.Machine
	// Dead tells whether the process of a backend server is known to have ended; nil means never.
	Dead func(ctx context.Context, b control.Backend) bool
	// Log receives changes of state; nil means no log.
	Log *zap.Logger
}

// Service answers polls on the control leader. It is safe for concurrent use. Lock order: mu, then the group's own lock.
type Service struct {
	cfg Settings

	mu sync.Mutex
	// term and since tell the leadership that the tables below belong to; they start empty with each one.
	term     raft.Term
	since    time.Time
	renewals map[fleet.HostID]renewal
	seen     map[fleet.BackendID]sighting
	news     chan struct{}
}

type renewal struct {
	incarnation fleet.Incarnation
	at          time.Time
	applied     fleet.Index
}

type sighting struct {
	incarnation fleet.Incarnation
	at          time.Time
}

// New returns a service.
func New(cfg Settings) *Service {
	if cfg.Log == nil {
		cfg.Log = zap.NewNop()
	}
	return &Service{cfg: cfg, renewals: map[fleet.HostID]renewal{}, seen: map[fleet.BackendID]sighting{}, news: make(chan struct{})}
}

// Register adds the control procedures to a server.
func (s *Service) Register(srv *hosts.Server) {
	hosts.Handle(srv, hosts.ProcedureFollow, s.Follow)
	hosts.Handle(srv, hosts.ProcedureRenew, s.Renew)
	hosts.Handle(srv, hosts.ProcedureSubmit, s.Submit)
}

// lead reports whether this host leads now, and starts empty tables when its leadership is new.
func (s *Service) lead(now time.Time) bool {
	if !s.cfg.Group.LeaseValid(now) {
		return false
	}
	st := s.cfg.Group.Status()
	s.mu.Lock()
	defer s.mu.Unlock()
	if st.Term != s.term {
		s.term = st.Term
		s.since = now
		clear(s.renewals)
		clear(s.seen)
	}
	return true
}

// Leads reports whether this host leads the control group under a valid leader lease, and since when.
func (s *Service) Leads(now time.Time) (time.Time, bool) {
	if !s.lead(now) {
		return time.Time{}, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.since, true
}

// Follow answers a host's poll. The lease is granted only while this host's own leader lease stands, checked after the
// entries were read, so that no later leader's entries can be missing.
func (s *Service) Follow(ctx context.Context, _ fleet.HostID, req *hosts.FollowRequest) (*hosts.FollowResponse, error) {
	if !s.lead(time.Now()) {
		return s.notLeader(), nil
	}
	s.record(req)
	wait, cancel := context.WithTimeout(ctx, min(max(req.Hold, 0), maxHold))
	defer cancel()
	if err := s.cfg.Group.WaitApplied(wait, req.Applied); err != nil && ctx.Err() != nil {
		return nil, ctx.Err()
	}
	res, err := s.entries(req.Applied)
	if err != nil {
		return nil, err
	}
	s.grant(req, res)
	return res, nil
}

func (s *Service) notLeader() *hosts.FollowResponse {
	return &hosts.FollowResponse{Status: hosts.StatusNotLeader, Leader: s.cfg.Group.Status().Leader}
}

// record notes what a host has in force, and the backend servers that it saw.
func (s *Service) record(req *hosts.FollowRequest) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range req.Seen {
		if old := s.seen[l.Backend]; l.Incarnation >= old.incarnation {
			s.seen[l.Backend] = sighting{incarnation: l.Incarnation, at: now}
		}
	}
	r := s.renewals[req.Host]
	if req.Incarnation == 0 || req.Incarnation < r.incarnation {
		return
	}
	if req.Incarnation > r.incarnation {
		// A session counts from its first poll on; the wait for an old one ends with the session itself.
		r = renewal{incarnation: req.Incarnation, at: now}
	}
	r.applied = max(r.applied, req.Applied)
	s.renewals[req.Host] = r
	close(s.news)
	s.news = make(chan struct{})
}

func (s *Service) entries(after fleet.Index) (*hosts.FollowResponse, error) {
	res := &hosts.FollowResponse{}
	applied := s.cfg.Group.Status().Applied
	entries, ok := s.cfg.Group.EntriesAfter(after, maxEntryBytes)
	last := after
	if !ok {
		index, snapshot, err := s.cfg.Group.Snapshot()
		if err != nil {
			return nil, err
		}
		res.Snapshot, res.SnapshotIndex = snapshot, index
		last = index
	}
	for _, e := range entries {
		one := hosts.LogEntry{Index: e.Index}
		if e.Kind == raft.EntryCommand {
			one.Data = e.Data
		}
		res.Entries = append(res.Entries, one)
		last = e.Index
	}
	res.Newest = last >= applied
	return res, nil
}

// grant renews the session lease of a host whose session is open.
func (s *Service) grant(req *hosts.FollowRequest, res *hosts.FollowResponse) {
	var open bool
	s.cfg.Group.View(func() {
		cur, ok := s.cfg.Machine.State.Session(req.Host)
		open = ok && cur.Incarnation == req.Incarnation
	})
	now := time.Now()
	switch {
	case !s.lead(now):
		*res = *s.notLeader()
	case req.Incarnation == 0:
	case !open:
		res.Status = hosts.StatusClosed
	case res.Newest:
		res.Lease = Lease
		s.mu.Lock()
		defer s.mu.Unlock()
		if r := s.renewals[req.Host]; r.incarnation == req.Incarnation {
			r.at = now
			s.renewals[req.Host] = r
		}
	}
}

// leaderLease is how long the leader holds a session for valid: the host's own lease with the clocks' rate error.
func leaderLease() time.Duration {
	return Lease + time.Duration(float64(Lease)*fleet.MaxClockSkewRate)
}

// validUntil returns when a session's lease ends at the latest. A session that was not renewed under this leadership may
// have been renewed by the leader before.
func (s *Service) validUntil(v control.Session) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	at := s.since
	if r, ok := s.renewals[v.Host]; ok && r.incarnation == v.Incarnation && r.at.After(at) {
		at = r.at
	}
	return at.Add(leaderLease())
}

func (s *Service) appliedBy(v control.Session) fleet.Index {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r := s.renewals[v.Host]; r.incarnation == v.Incarnation {
		return r.applied
	}
	return 0
}

// Hosts returns what each session reported, ordered by host.
func (s *Service) Hosts(now time.Time) []hosts.HostOverview {
	var sessions []control.Session
	s.cfg.Group.View(func() { sessions = s.cfg.Machine.State.Sessions() })
	out := make([]hosts.HostOverview, 0, len(sessions))
	for _, v := range sessions {
		out = append(out, hosts.HostOverview{Host: v.Host, Applied: s.appliedBy(v), LeaseValid: now.Before(s.validUntil(v))})
	}
	return out
}

// Submit commits a configuration document and answers once every host whose lease stands has it in force.
func (s *Service) Submit(ctx context.Context, _ fleet.HostID, req *hosts.ProposeRequest) (*hosts.SubmitResponse, error) {
	if !s.lead(time.Now()) {
		return &hosts.SubmitResponse{Status: hosts.StatusNotLeader, Leader: s.cfg.Group.Status().Leader}, nil
	}
	_, data, err := s.cfg.Group.Propose(ctx, req.Data)
	if err != nil {
		return &hosts.SubmitResponse{Status: failure(err), Leader: s.cfg.Group.Status().Leader}, nil
	}
	res, err := control.DecodeResult(data)
	if err != nil || res.Reason != "" {
		return &hosts.SubmitResponse{Result: res}, err
	}
	expired, err := s.waitInForce(ctx, res.Index)
	if err != nil {
		return nil, err
	}
	return &hosts.SubmitResponse{Result: res, Expired: expired}, nil
}

// failure tells whether a failed proposal may still commit.
func failure(err error) hosts.Status {
	if voters.MayCommit(err) {
		return hosts.StatusUncertain
	}
	return hosts.StatusNotLeader
}

// waitInForce returns once every session either reported the index or ended, with the hosts of the ended ones.
func (s *Service) waitInForce(ctx context.Context, index fleet.Index) ([]fleet.HostID, error) {
	ctx, cancel := context.WithTimeout(ctx, inForceTimeout)
	defer cancel()
	var sessions []control.Session
	s.cfg.Group.View(func() { sessions = s.cfg.Machine.State.Sessions() })
	var expired []fleet.HostID
	for _, v := range sessions {
		for s.appliedBy(v) < index {
			if !time.Now().Before(s.validUntil(v)) {
				expired = append(expired, v.Host)
				break
			}
			if err := s.waitNews(ctx, s.validUntil(v)); err != nil {
				return nil, err
			}
		}
	}
	return expired, nil
}

// waitNews waits for the next poll of any host, or until a moment.
func (s *Service) waitNews(ctx context.Context, until time.Time) error {
	s.mu.Lock()
	news := s.news
	s.mu.Unlock()
	t := time.NewTimer(time.Until(until))
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-news:
	case <-t.C:
	}
	return nil
}

// Run closes sessions and removes backend servers whose time ran out, while this host leads.
func (s *Service) Run(ctx context.Context) error {
	t := time.NewTicker(checkInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
		if now := time.Now(); s.lead(now) {
			s.closeSessions(ctx, now)
			s.removeBackends(ctx, now)
		}
	}
}

// Log messages of lives that ended.
const (
	logSessionClosed  = "session closed"
	logBackendRemoved = "backend server removed"
)

// meet counts a session that was opened under this leadership from now on; its first poll may still be on its way.
func (s *Service) meet(now time.Time, v control.Session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r := s.renewals[v.Host]; r.incarnation < v.Incarnation {
		s.renewals[v.Host] = renewal{incarnation: v.Incarnation, at: now}
	}
}

func (s *Service) closeSessions(ctx context.Context, now time.Time) {
	var sessions []control.Session
	s.cfg.Group.View(func() { sessions = s.cfg.Machine.State.Sessions() })
	for _, v := range sessions {
		s.meet(now, v)
		if now.Before(s.validUntil(v)) {
			continue
		}
		if s.propose(ctx, &control.CloseSession{Host: v.Host, Incarnation: v.Incarnation}) {
			s.cfg.Log.Info(logSessionClosed, zap.String("session-host", string(v.Host)), zap.Uint64("incarnation", uint64(v.Incarnation)))
		}
	}
}

func (s *Service) removeBackends(ctx context.Context, now time.Time) {
	var backends []control.Backend
	s.cfg.Group.View(func() { backends = s.cfg.Machine.State.Backends() })
	for _, b := range backends {
		if b.Lost || now.Before(s.backendUntil(b.Announcement)) {
			continue
		}
		dead := s.cfg.Dead != nil && s.cfg.Dead(ctx, b)
		c := &control.RemoveBackend{Backend: b.Announcement.ID, Incarnation: b.Announcement.Incarnation, Dead: dead}
		if s.propose(ctx, c) {
			s.cfg.Log.Info(logBackendRemoved, zap.String("backend-server", string(b.Announcement.ID)), zap.Bool("dead", dead))
		}
	}
}

func (s *Service) backendUntil(a fleet.Announcement) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	at := s.since
	if v, ok := s.seen[a.ID]; ok && v.incarnation == a.Incarnation && v.at.After(at) {
		at = v.at
	}
	return at.Add(BackendSilence)
}

func (s *Service) propose(ctx context.Context, c control.Command) bool {
	data, err := control.Encode(control.Proposal{Proposer: control.Proposer{Host: s.cfg.Self}, Command: c})
	if err != nil {
		panic("sessions: command cannot be encoded: " + err.Error())
	}
	_, out, err := s.cfg.Group.Propose(ctx, data)
	if err != nil {
		return false
	}
	res, err := control.DecodeResult(out)
	return err == nil && res.Reason == ""
}
