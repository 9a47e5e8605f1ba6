package sessions

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"toucanway/core/control"
	"toucanway/core/fleet"
	"toucanway/core/pause"
	"toucanway/core/raft"
	"toucanway/io/hosts"
	"toucanway/io/voters"
)

const (
	// Lease is how long a host may accept new work after it sent the last poll that was answered. It is longer than an
	// election, so that hosts continue to accept work when the leader fails.
	Lease = 3 * time.Second
	// BackendTimeout is how long after its last announcement a backend server is considered lost.
	BackendTimeout = 5 * time.Second

	maxPollHold   = time.Second
	maxEntryBytes = 1 << 20
	checkInterval = 100 * time.Millisecond
	// inForceTimeout bounds the wait until a document is in force. It exceeds the session lease, within which every host either
	// has put the document in force or has lost its lease.
	inForceTimeout = 2 * Lease
)

// Group is the part of voters.Group that the service uses, for the control group.
type Group interface {
	Propose(ctx context.Context, data []byte) (fleet.Index, []byte, error)
	LeaseValid(now time.Time) bool
	EntriesAfter(index fleet.Index, maxBytes fleet.Bytes) ([]raft.Entry, bool)
	Snapshot() (fleet.Index, []byte, error)
	WaitApplied(ctx context.Context, after fleet.Index) error
	View(f func())
	Status() voters.Status
}

// Settings configure a Service.
type Settings struct {
	Self    fleet.HostID
	Group   Group
	Machine *control.Machine
	// ProcessEnded reports whether the process of a backend server is known to have ended; nil means never.
	ProcessEnded func(ctx context.Context, b control.Backend) bool
	// Log receives log messages; nil means no log.
	Log *zap.Logger
}

// Service answers polls on the control leader. It is safe for concurrent use. Lock order: mu, then the group's own lock.
type Service struct {
	cfg Settings

	mu sync.Mutex
	// term and leaderSince are the term and start of the leadership to which the maps below belong; the maps are cleared when
	// a new leadership begins.
	term          raft.Term
	leaderSince   time.Time
	renewals      map[fleet.HostID]renewal
	announcements map[fleet.BackendID]announcement
	// pollReceived is closed and replaced when a poll is recorded in renewals.
	pollReceived chan struct{}
}

type renewal struct {
	incarnation fleet.Incarnation
	renewedAt   time.Time
	applied     fleet.Index
}

type announcement struct {
	incarnation fleet.Incarnation
	receivedAt  time.Time
}

// New returns a service.
func New(cfg Settings) *Service {
	if cfg.Log == nil {
		cfg.Log = zap.NewNop()
	}
	return &Service{
		cfg: cfg, renewals: map[fleet.HostID]renewal{}, announcements: map[fleet.BackendID]announcement{},
		pollReceived: make(chan struct{}),
	}
}

// Register registers the procedures of the service with a server.
func (s *Service) Register(srv *hosts.Server) {
	hosts.Handle(srv, hosts.ProcedureFollow, s.Follow)
	hosts.Handle(srv, hosts.ProcedureRenew, s.Renew)
	hosts.Handle(srv, hosts.ProcedureSubmit, s.Submit)
}

// refreshLeadership reports whether this host leads now, and clears the maps if its leadership is new.
func (s *Service) refreshLeadership(now time.Time) bool {
	if !s.cfg.Group.LeaseValid(now) {
		return false
	}
	st := s.cfg.Group.Status()
	s.mu.Lock()
	defer s.mu.Unlock()
	if st.Term != s.term {
		s.term = st.Term
		s.leaderSince = now
		clear(s.renewals)
		clear(s.announcements)
	}
	return true
}

// Leads reports whether this host leads the control group under a valid leader lease, and since when.
func (s *Service) Leads(now time.Time) (time.Time, bool) {
	if !s.refreshLeadership(now) {
		return time.Time{}, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leaderSince, true
}

// Follow answers a host's poll. A lease is granted only if this host's own leader lease is still valid after the entries
// were read, so that no entries of a later leader can be missing.
func (s *Service) Follow(ctx context.Context, _ fleet.HostID, req *hosts.FollowRequest) (*hosts.FollowResponse, error) {
	if !s.refreshLeadership(time.Now()) {
		return s.notLeader(), nil
	}
	s.recordPoll(req)
	wait, cancel := context.WithTimeout(ctx, min(max(req.Hold, 0), maxPollHold))
	defer cancel()
	if err := s.cfg.Group.WaitApplied(wait, req.Applied); err != nil && ctx.Err() != nil {
		return nil, ctx.Err()
	}
	res, err := s.entriesAfter(req.Applied)
	if err != nil {
		return nil, err
	}
	s.grantLease(req, res)
	return res, nil
}

func (s *Service) notLeader() *hosts.FollowResponse {
	return &hosts.FollowResponse{Status: hosts.StatusNotLeader, Leader: s.cfg.Group.Status().Leader}
}

// recordPoll stores the applied index that a host reports, and the current time for the backend servers that announced
// themselves to the host.
func (s *Service) recordPoll(req *hosts.FollowRequest) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range req.Announced {
		if old := s.announcements[l.Backend]; l.Incarnation >= old.incarnation {
			s.announcements[l.Backend] = announcement{incarnation: l.Incarnation, receivedAt: now}
		}
	}
	r := s.renewals[req.Host]
	if req.Incarnation == 0 || req.Incarnation < r.incarnation {
		return
	}
	if req.Incarnation > r.incarnation {
		// The lease of a new session counts from its first poll. The renewals of the earlier session are dropped, and a wait
		// for that session ends with its lease.
		r = renewal{incarnation: req.Incarnation, renewedAt: now}
	}
	r.applied = max(r.applied, req.Applied)
	s.renewals[req.Host] = r
	close(s.pollReceived)
	s.pollReceived = make(chan struct{})
}

func (s *Service) entriesAfter(after fleet.Index) (*hosts.FollowResponse, error) {
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
		entry := hosts.LogEntry{Index: e.Index}
		if e.Kind == raft.EntryCommand {
			entry.Data = e.Data
		}
		res.Entries = append(res.Entries, entry)
		last = e.Index
	}
	res.Newest = last >= applied
	return res, nil
}

// grantLease renews the session lease of a host whose session is open.
func (s *Service) grantLease(req *hosts.FollowRequest, res *hosts.FollowResponse) {
	var open bool
	s.cfg.Group.View(func() {
		cur, ok := s.cfg.Machine.State.Session(req.Host)
		open = ok && cur.Incarnation == req.Incarnation
	})
	now := time.Now()
	switch {
	case !s.refreshLeadership(now):
		*res = *s.notLeader()
	case req.Incarnation == 0:
	case !open:
		res.Status = hosts.StatusClosed
	case res.Newest:
		res.Lease = Lease
		s.mu.Lock()
		defer s.mu.Unlock()
		if r := s.renewals[req.Host]; r.incarnation == req.Incarnation {
			r.renewedAt = now
			s.renewals[req.Host] = r
		}
	}
}

// leaseWithClockDrift returns how long the leader considers a session valid after a renewal: the host's own lease plus the
// largest clock drift.
func leaseWithClockDrift() time.Duration {
	return Lease + time.Duration(float64(Lease)*fleet.MaxClockDrift)
}

// leaseEnd returns the latest time at which a session's lease ends. A session that was not renewed under this leadership
// may have been renewed by the previous leader until the leadership began.
func (s *Service) leaseEnd(v control.Session) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	at := s.leaderSince
	if r, ok := s.renewals[v.Host]; ok && r.incarnation == v.Incarnation && r.renewedAt.After(at) {
		at = r.renewedAt
	}
	return at.Add(leaseWithClockDrift())
}

func (s *Service) appliedBy(v control.Session) fleet.Index {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r := s.renewals[v.Host]; r.incarnation == v.Incarnation {
		return r.applied
	}
	return 0
}

// Hosts returns the applied index and lease validity of each session, ordered by host.
func (s *Service) Hosts(now time.Time) []hosts.HostOverview {
	var sessions []control.Session
	s.cfg.Group.View(func() { sessions = s.cfg.Machine.State.Sessions() })
	out := make([]hosts.HostOverview, 0, len(sessions))
	for _, v := range sessions {
		out = append(out, hosts.HostOverview{Host: v.Host, Applied: s.appliedBy(v), LeaseValid: now.Before(s.leaseEnd(v))})
	}
	return out
}

// Submit commits a configuration document and answers once it is in force on every host with a valid lease.
func (s *Service) Submit(ctx context.Context, _ fleet.HostID, req *hosts.ProposeRequest) (*hosts.SubmitResponse, error) {
	if !s.refreshLeadership(time.Now()) {
		return &hosts.SubmitResponse{Status: hosts.StatusNotLeader, Leader: s.cfg.Group.Status().Leader}, nil
	}
	_, data, err := s.cfg.Group.Propose(ctx, req.Data)
	if err != nil {
		return &hosts.SubmitResponse{Status: failureStatus(err), Leader: s.cfg.Group.Status().Leader}, nil
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

// failureStatus returns the status for a failed proposal, which depends on whether the entry may still be committed.
func failureStatus(err error) hosts.Status {
	if voters.MayCommit(err) {
		return hosts.StatusUncertain
	}
	return hosts.StatusNotLeader
}

// waitInForce returns once every session either reported the index as applied or its lease ended. It returns the hosts
// whose lease ended.
func (s *Service) waitInForce(ctx context.Context, index fleet.Index) ([]fleet.HostID, error) {
	ctx, cancel := context.WithTimeout(ctx, inForceTimeout)
	defer cancel()
	var sessions []control.Session
	s.cfg.Group.View(func() { sessions = s.cfg.Machine.State.Sessions() })
	var expired []fleet.HostID
	for _, v := range sessions {
		for s.appliedBy(v) < index {
			if !time.Now().Before(s.leaseEnd(v)) {
				expired = append(expired, v.Host)
				break
			}
			if err := s.waitForPoll(ctx, s.leaseEnd(v)); err != nil {
				return nil, err
			}
		}
	}
	return expired, nil
}

// waitForPoll waits until the next poll of any host, or until a time.
func (s *Service) waitForPoll(ctx context.Context, until time.Time) error {
	s.mu.Lock()
	pollReceived := s.pollReceived
	s.mu.Unlock()
	t := time.NewTimer(time.Until(until))
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-pollReceived:
	case <-t.C:
	}
	return nil
}

// Run closes sessions whose lease ended and removes silent backend servers while this host leads, until the context ends.
func (s *Service) Run(ctx context.Context) error {
	pause.Every(ctx, checkInterval, func() {
		if now := time.Now(); s.refreshLeadership(now) {
			s.closeExpiredSessions(ctx, now)
			s.removeSilentBackends(ctx, now)
		}
	})
	return nil
}

// Log messages of closed sessions and removed backend servers.
const (
	logSessionClosed  = "session closed"
	logBackendRemoved = "backend server removed"
)

// awaitFirstPoll starts the lease of a session whose host has not polled under this leadership yet, since that poll may still
// be in flight.
func (s *Service) awaitFirstPoll(now time.Time, v control.Session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r := s.renewals[v.Host]; r.incarnation < v.Incarnation {
		s.renewals[v.Host] = renewal{incarnation: v.Incarnation, renewedAt: now}
	}
}

func (s *Service) closeExpiredSessions(ctx context.Context, now time.Time) {
	var sessions []control.Session
	s.cfg.Group.View(func() { sessions = s.cfg.Machine.State.Sessions() })
	for _, v := range sessions {
		s.awaitFirstPoll(now, v)
		if now.Before(s.leaseEnd(v)) {
			continue
		}
		if s.propose(ctx, &control.CloseSession{Host: v.Host, Incarnation: v.Incarnation}) {
			s.cfg.Log.Info(logSessionClosed, zap.String("session-host", string(v.Host)), zap.Uint64("incarnation", uint64(v.Incarnation)))
		}
	}
}

func (s *Service) removeSilentBackends(ctx context.Context, now time.Time) {
	var backends []control.Backend
	s.cfg.Group.View(func() { backends = s.cfg.Machine.State.Backends() })
	for _, b := range backends {
		if b.Lost || now.Before(s.backendDeadline(b.Announcement)) {
			continue
		}
		dead := s.cfg.ProcessEnded != nil && s.cfg.ProcessEnded(ctx, b)
		c := &control.RemoveBackend{Backend: b.Announcement.ID, Incarnation: b.Announcement.Incarnation, Dead: dead}
		if s.propose(ctx, c) {
			s.cfg.Log.Info(logBackendRemoved, zap.String("backend-server", string(b.Announcement.ID)), zap.Bool("dead", dead))
		}
	}
}

func (s *Service) backendDeadline(a fleet.Announcement) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	at := s.leaderSince
	if v, ok := s.announcements[a.ID]; ok && v.incarnation == a.Incarnation && v.receivedAt.After(at) {
		at = v.receivedAt
	}
	return at.Add(BackendTimeout)
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
