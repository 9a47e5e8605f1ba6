package members

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/joomcode/errorx"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"toucanway/core/fleet"
	"toucanway/core/membership"
	"toucanway/io/hosts"
)

// ProcedureProbe carries one message of the failure detector and returns one.
const ProcedureProbe = "/membership.v1/Probe"

// Errors is the namespace of this package's errors.
var Errors = errorx.NewNamespace("members")

// ErrStopped means that the service does not run.
var ErrStopped = Errors.NewType("stopped")

// Log messages of state changes.
const (
	logState = "host state changed"
	logPath  = "path to host changed"
)

// maxCalls bounds the calls in flight; further calls fail at once. The calls for probes, relayed probes and refutations are
// far fewer.
const maxCalls = 256

// Settings of a Service.
type Settings struct {
	Host    fleet.HostID
	Address string
	Place   fleet.Place
	// Seeds are addresses of hosts to join through.
	Seeds []string
	// Incarnation returns the host's incarnation, 0 while it is unknown. A nil function means that it is never known.
	Incarnation func() fleet.Incarnation
	// Client should not keep connections open, since each probe goes to another host; see hosts.NewUnpooledClient.
	Client *hosts.Client
	// Seed seeds the random choice of hosts to probe.
	Seed uint64
	// Log records changes in the state of other hosts; nil disables it.
	Log *zap.Logger
}

// Member is another host and its state.
type Member = membership.Member

// Service reports which other hosts are alive. It is safe for concurrent use. No other lock is taken while mu is held.
type Service struct {
	cfg    Settings
	wakeup chan struct{}

	mu       sync.Mutex
	detector *membership.Detector
	// group runs the calls; it is nil while the service is not running.
	group    *errgroup.Group
	ctx      context.Context
	calls    int
	requests uint64
	pending  map[uint64]chan membership.Message
	// leaveSent is closed once no call is in flight any more; it is nil unless Leave waits.
	leaveSent chan struct{}
}

// New returns a service; it knows no other host before Run.
func New(cfg Settings) *Service {
	if cfg.Log == nil {
		cfg.Log = zap.NewNop()
	}
	s := &Service{cfg: cfg, wakeup: make(chan struct{}, 1), pending: map[uint64]chan membership.Message{}}
	s.detector = membership.New(time.Now(), membership.Settings{
		Host: cfg.Host, Address: cfg.Address, Place: cfg.Place, Incarnation: s.incarnation(), Seeds: cfg.Seeds,
		Rand: rand.New(rand.NewPCG(cfg.Seed, 0)),
	})
	return s
}

func (s *Service) incarnation() fleet.Incarnation {
	if s.cfg.Incarnation == nil {
		return 0
	}
	return s.cfg.Incarnation()
}

// Register adds the procedure to a server.
func (s *Service) Register(srv *hosts.Server) { hosts.Handle(srv, ProcedureProbe, s.handleProbe) }

// Alive reports whether a host is alive or suspected. Unknown and dead hosts and hosts that left are not alive.
func (s *Service) Alive(id fleet.HostID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if id == s.cfg.Host {
		return s.detector.Self().State == membership.Alive
	}
	m, ok := s.detector.Member(id)
	return ok && (m.State == membership.Alive || m.State == membership.Suspect)
}

// Members returns all other known hosts, including dead ones and those that left.
func (s *Service) Members() []Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.detector.Members()
}

// Run probes other hosts until the context ends. It can be called only once.
func (s *Service) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	s.mu.Lock()
	s.group, s.ctx = g, ctx
	s.mu.Unlock()
	g.Go(func() error {
		s.loop(ctx)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.group = nil
		return nil
	})
	return g.Wait()
}

// loop calls the detector's Tick when it is due.
func (s *Service) loop(ctx context.Context) {
	t := time.NewTimer(0)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		case <-s.wakeup:
		}
		incarnation := s.incarnation()
		s.mu.Lock()
		s.detector.SetIncarnation(incarnation)
		if now := time.Now(); !now.Before(s.detector.NextTick()) {
			s.execute(s.detector.Tick(now))
		}
		t.Reset(time.Until(s.detector.NextTick()))
		s.mu.Unlock()
	}
}

// handleProbe answers a request from another host.
func (s *Service) handleProbe(ctx context.Context, _ fleet.HostID, req *membership.Message) (*membership.Message, error) {
	answer := make(chan membership.Message, 1)
	s.mu.Lock()
	if s.group == nil {
		s.mu.Unlock()
		return nil, ErrStopped.New("the failure detector is not running, because the host is starting or stopping; retry")
	}
	s.requests++
	id := s.requests
	s.pending[id] = answer
	s.execute(s.detector.Receive(time.Now(), id, *req))
	s.wakeLoop()
	s.mu.Unlock()
	select {
	case m := <-answer:
		return &m, nil
	case <-ctx.Done():
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.pending, id)
		return nil, ctx.Err()
	}
}

// wakeLoop makes the loop recompute the time of the next tick.
func (s *Service) wakeLoop() {
	select {
	case s.wakeup <- struct{}{}:
	default:
	}
}

// execute carries out effects; the caller holds s.mu.
func (s *Service) execute(effects []membership.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case membership.Send:
			s.send(e)
		case membership.Reply:
			if answer, ok := s.pending[e.Request]; ok {
				delete(s.pending, e.Request)
				answer <- e.Message
			}
		case membership.StateChanged:
			s.cfg.Log.Info(logState, zap.String("peer", string(e.Member.Host)), zap.Stringer("state", e.Member.State),
				zap.Uint64("life", uint64(e.Member.Version.Incarnation)), zap.Stringer("was", e.Was))
		case membership.PathChanged:
			s.cfg.Log.Info(logPath, zap.String("peer", string(e.Host)), zap.Stringer("path", e.Path))
		default:
			panic("members: unknown effect")
		}
	}
}

// send calls another host in a goroutine of the service's group; the caller holds s.mu.
func (s *Service) send(e membership.Send) {
	if s.group == nil || s.calls >= maxCalls {
		s.execute(s.detector.Failed(time.Now(), e.Call))
		return
	}
	s.calls++
	ctx := s.ctx
	s.group.Go(func() error {
		ctx, cancel := context.WithTimeout(ctx, e.Timeout)
		defer cancel()
		res, err := hosts.Call[membership.Message, membership.Message](ctx, s.cfg.Client, e.Address, ProcedureProbe, &e.Message)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.calls--
		if s.leaveSent != nil && s.calls == 0 {
			close(s.leaveSent)
			s.leaveSent = nil
		}
		now := time.Now()
		if err != nil {
			s.execute(s.detector.Failed(now, e.Call))
		} else {
			s.execute(s.detector.Answer(now, e.Call, *res))
		}
		s.wakeLoop()
		return nil
	})
}

// Leave notifies other hosts that this one leaves, and waits until the notifications have been answered or have failed,
// or until the context ends. Run must still be running.
func (s *Service) Leave(ctx context.Context) {
	s.mu.Lock()
	s.execute(s.detector.Leave(time.Now()))
	if s.calls == 0 {
		s.mu.Unlock()
		return
	}
	if s.leaveSent == nil {
		s.leaveSent = make(chan struct{})
	}
	done := s.leaveSent
	s.mu.Unlock()
	select {
	case <-done:
	case <-ctx.Done():
	}
}
