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

// Procedure carries one message of the failure detector and returns one.
const Procedure = "/membership.v1/Probe"

// Errors is the namespace of this package's errors.
var Errors = errorx.NewNamespace("members")

// ErrStopped means that the service does not run.
var ErrStopped = Errors.NewType("stopped")

// Log messages of state changes.
const (
	logState = "host state changed"
	logPath  = "path to host changed"
)

// maxCalls bounds the calls under way; the rest fail at once. Probes, relayed probes and refutations of a host stay far
// below it.
const maxCalls = 256

// Settings of a Service; zero fields mean the documented defaults.
type Settings struct {
	Host    fleet.HostID
	Address string
	Place   fleet.Place
	// Seeds are addresses of hosts to join through.
	Seeds []string
	// Incarnation returns the host's incarnation, 0 while it is not known; nil means never known.
	Incarnation func() fleet.Incarnation
	// Client must not keep connections open, since each probe goes to another host; see hosts.NewBriefClient.
	Client *hosts.Client
	// Seed of the random choice of hosts to probe.
	Seed uint64
	// Log receives changes of other hosts' states; nil means no log.
	Log *zap.Logger
}

// Member is another host and its state.
type Member = membership.Member

// Service tells which other hosts are alive. It is safe for concurrent use. Lock order: mu alone.
type Service struct {
	cfg  Settings
	wake chan struct{}

	mu       sync.Mutex
	detector *membership.Detector
	// group owns the calls; nil while the service does not run.
	group    *errgroup.Group
	ctx      context.Context
	calls    int
	requests uint64
	waiting  map[uint64]chan membership.Message
	// leaving is closed once all calls that tell of the leave have ended.
	leaving chan struct{}
}

// New returns a service that knows no other host until Run.
func New(cfg Settings) *Service {
	if cfg.Log == nil {
		cfg.Log = zap.NewNop()
	}
	s := &Service{cfg: cfg, wake: make(chan struct{}, 1), waiting: map[uint64]chan membership.Message{}}
	s.detector = membership.New(time.Now(), membership.Settings{
		Host: cfg.Host, Address: cfg.Address, Place: cfg.Place, Life: s.life(), Seeds: cfg.Seeds,
		Rand: rand.New(rand.NewPCG(cfg.Seed, 0)),
	})
	return s
}

func (s *Service) life() fleet.Incarnation {
	if s.cfg.Incarnation == nil {
		return 0
	}
	return s.cfg.Incarnation()
}

// Register adds the procedure to a server.
func (s *Service) Register(srv *hosts.Server) { hosts.Handle(srv, Procedure, s.probe) }

// Alive reports whether a host takes part and is not held for dead; a suspected host counts as alive.
func (s *Service) Alive(id fleet.HostID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if id == s.cfg.Host {
		return s.detector.Self().State == membership.Alive
	}
	m, ok := s.detector.Member(id)
	return ok && (m.State == membership.Alive || m.State == membership.Suspect)
}

// Members returns all other hosts known, those gone included.
func (s *Service) Members() []Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.detector.Members()
}

// Run probes other hosts until the context ends; it can run once.
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

// loop ticks the detector when it is due.
func (s *Service) loop(ctx context.Context) {
	t := time.NewTimer(0)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		case <-s.wake:
		}
		life := s.life()
		s.mu.Lock()
		s.detector.SetLife(life)
		if now := time.Now(); !now.Before(s.detector.NextTick()) {
			s.carryOut(s.detector.Tick(now))
		}
		t.Reset(time.Until(s.detector.NextTick()))
		s.mu.Unlock()
	}
}

// probe answers a request of another host.
func (s *Service) probe(ctx context.Context, _ fleet.HostID, req *membership.Message) (*membership.Message, error) {
	answer := make(chan membership.Message, 1)
	s.mu.Lock()
	if s.group == nil {
		s.mu.Unlock()
		return nil, ErrStopped.New("the host is starting or stopping; ask again")
	}
	s.requests++
	id := s.requests
	s.waiting[id] = answer
	s.carryOut(s.detector.Receive(time.Now(), id, *req))
	s.nudge()
	s.mu.Unlock()
	select {
	case m := <-answer:
		return &m, nil
	case <-ctx.Done():
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.waiting, id)
		return nil, ctx.Err()
	}
}

// nudge has the loop look at the next tick again.
func (s *Service) nudge() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// carryOut carries out effects; s.mu is held.
func (s *Service) carryOut(effects []membership.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case membership.Send:
			s.send(e)
		case membership.Reply:
			if answer, ok := s.waiting[e.Request]; ok {
				delete(s.waiting, e.Request)
				answer <- e.Message
			}
		case membership.Changed:
			s.cfg.Log.Info(logState, zap.String("peer", string(e.Member.Host)), zap.Stringer("state", e.Member.State),
				zap.Uint64("life", uint64(e.Member.Version.Life)), zap.Stringer("was", e.Was))
		case membership.PathChanged:
			s.cfg.Log.Info(logPath, zap.String("peer", string(e.Host)), zap.Stringer("path", e.Path))
		default:
			panic("members: unknown effect")
		}
	}
}

// send calls another host in a goroutine of the service's group; s.mu is held.
func (s *Service) send(e membership.Send) {
	if s.group == nil || s.calls >= maxCalls {
		s.carryOut(s.detector.Failed(time.Now(), e.Call))
		return
	}
	s.calls++
	ctx := s.ctx
	s.group.Go(func() error {
		ctx, cancel := context.WithTimeout(ctx, e.Timeout)
		defer cancel()
		res, err := hosts.Call[membership.Message, membership.Message](ctx, s.cfg.Client, e.Address, Procedure, &e.Message)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.calls--
		if s.leaving != nil && s.calls == 0 {
			close(s.leaving)
			s.leaving = nil
		}
		now := time.Now()
		if err != nil {
			s.carryOut(s.detector.Failed(now, e.Call))
		} else {
			s.carryOut(s.detector.Answer(now, e.Call, *res))
		}
		s.nudge()
		return nil
	})
}

// Leave tells other hosts that this one leaves, and waits until they know or the context ends. Run has to go on
// meanwhile.
func (s *Service) Leave(ctx context.Context) {
	s.mu.Lock()
	s.carryOut(s.detector.Leave(time.Now()))
	if s.calls == 0 {
		s.mu.Unlock()
		return
	}
	if s.leaving == nil {
		s.leaving = make(chan struct{})
	}
	done := s.leaving
	s.mu.Unlock()
	select {
	case <-done:
	case <-ctx.Done():
	}
}
