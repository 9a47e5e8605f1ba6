package planning

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"toucanway/core/config"
	"toucanway/core/control"
	"toucanway/core/fleet"
	"toucanway/core/placement"
	"toucanway/core/poison"
	"toucanway/io/hosts"
	"toucanway/io/sessions"
)

const (
	roundInterval = 200 * time.Millisecond
	// gatherTime joins the first requests of a burst at many hosts into one round.
	gatherTime = 10 * time.Millisecond
	// commitTimeout bounds the commit of one phase of a round's commands.
	commitTimeout  = 2 * time.Second
	expireInterval = time.Second
)

// Settings of a Service.
type Settings struct {
	Self     fleet.HostID
	Sessions *sessions.Service
	Group    sessions.Group
	Machine  *control.Machine
	// Document returns the configuration in force.
	Document func() (*config.Document, fleet.DocumentVersion)
	Policies Policies
	// Seed drives choices among equally good backend servers.
	Seed uint64
	// Log receives changes of state; nil means no log.
	Log *zap.Logger
}

// Policies replace placement decisions by simpler ones for measurements; the zero value means those of the product.
type Policies struct {
	// KeepWarm is a fixed time that idle models stay loaded; zero means a time learnt for each model.
	KeepWarm time.Duration
}

// Service runs the planner while this host leads the control group. It is safe for concurrent use. Lock order: mu, then
// the group's own lock.
type Service struct {
	cfg Settings

	mu      sync.Mutex
	planner *placement.Planner
	since   time.Time
	version fleet.DocumentVersion
	marks   *poison.View
	cleared time.Time
	wake    chan struct{}
}

// New returns a service without a planner; each leadership starts with a new one.
func New(cfg Settings) *Service {
	if cfg.Log == nil {
		cfg.Log = zap.NewNop()
	}
	return &Service{cfg: cfg, wake: make(chan struct{}, 1)}
}

// Register adds the procedures to a server.
func (s *Service) Register(srv *hosts.Server) {
	hosts.Handle(srv, hosts.ProcedureDemand, s.Demand)
}

// Demand takes a host's report and answers with estimates; waiting requests start a round soon.
func (s *Service) Demand(_ context.Context, _ fleet.HostID, req *hosts.DemandRequest) (*hosts.DemandResponse, error) {
	now := time.Now()
	since, leads := s.cfg.Sessions.Leads(now)
	if !leads {
		return &hosts.DemandResponse{Status: hosts.StatusNotLeader, Leader: s.cfg.Group.Status().Leader}, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.current(now, since)
	for _, inv := range req.Inventories {
		p.ObserveInventory(now, inv)
	}
	for _, l := range req.Loads {
		p.ObserveLoad(now, l)
	}
	p.ObserveDemand(now, req.Demand)
	for _, e := range req.Demand.Entries {
		if e.Waiting > 0 {
			s.wakeUp()
			break
		}
	}
	res := &hosts.DemandResponse{}
	for _, m := range req.Models {
		ready, known := p.Estimate(m)
		res.Estimates = append(res.Estimates, hosts.Estimate{Model: m, Known: known, Ready: ready})
	}
	return res, nil
}

func (s *Service) wakeUp() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// current returns the planner of this leadership under the newest document; mu is held.
func (s *Service) current(now, since time.Time) *placement.Planner {
	doc, version := s.cfg.Document()
	if s.planner == nil || !since.Equal(s.since) {
		s.since = since
		s.planner = placement.New(settingsOf(doc, version, s.cfg.Seed, s.cfg.Policies))
		s.marks = poison.New(poison.Settings{Expiry: doc.Limits.PoisonExpiry})
		s.version = version
	}
	if version != s.version {
		s.version = version
		s.planner.SetCatalogue(now, catalogueOf(doc, version))
		s.marks = poison.New(poison.Settings{Expiry: doc.Limits.PoisonExpiry})
	}
	return s.planner
}

// Unmet returns the operators' bounds that do not hold at present, as the last round saw them.
func (s *Service) Unmet() []placement.UnmetBound {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.planner == nil {
		return nil
	}
	return append([]placement.UnmetBound(nil), s.planner.Unmet()...)
}

// Run plans in intervals, and soon after a report of waiting requests, until the context ends.
func (s *Service) Run(ctx context.Context) error {
	repeat(ctx, roundInterval, gatherTime, s.wake, s.round)
	return nil
}

func (s *Service) round(ctx context.Context) {
	now := time.Now()
	since, leads := s.cfg.Sessions.Leads(now)
	if !leads {
		return
	}
	var commands []control.Command
	s.mu.Lock()
	p := s.current(now, since)
	s.cfg.Group.View(func() {
		commands = append(p.Round(now, &s.cfg.Machine.State), s.expireMarks(now)...)
	})
	s.mu.Unlock()
	for _, phase := range phases(commands) {
		s.commit(ctx, phase)
	}
}

// expireMarks returns the command that clears crash records past their expiry; mu and the group's lock are held.
func (s *Service) expireMarks(now time.Time) []control.Command {
	if now.Sub(s.cleared) < expireInterval {
		return nil
	}
	s.cleared = now
	s.marks.SetMarks(now, s.cfg.Machine.State.Marks())
	if old := s.marks.Expired(now); len(old) > 0 {
		return []control.Command{&control.ClearSuspects{Fingerprints: old}}
	}
	return nil
}

// phases splits the commands of a round into groups that may commit in any order: a load needs its target first.
func phases(commands []control.Command) [][]control.Command {
	var first, second []control.Command
	for _, c := range commands {
		if _, ok := c.(*control.DecideLoad); ok {
			second = append(second, c)
			continue
		}
		first = append(first, c)
	}
	return [][]control.Command{first, second}
}

func (s *Service) commit(ctx context.Context, commands []control.Command) {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	var g errgroup.Group
	for _, c := range commands {
		g.Go(func() error {
			s.propose(ctx, c)
			return nil
		})
	}
	if err := g.Wait(); err != nil {
		panic("planning: commit returned an error: " + err.Error())
	}
}

const logRejected = "decision rejected"

// propose commits one command. A rejected or lost one is planned again from the state in a later round.
func (s *Service) propose(ctx context.Context, c control.Command) {
	data, err := control.Encode(control.Proposal{Proposer: control.Proposer{Host: s.cfg.Self}, Command: c})
	if err != nil {
		panic("planning: command cannot be encoded: " + err.Error())
	}
	_, out, err := s.cfg.Group.Propose(ctx, data)
	if err != nil {
		return
	}
	if res, err := control.DecodeResult(out); err == nil && res.Reason != "" {
		s.cfg.Log.Debug(logRejected, zap.String("reason", string(res.Reason)), zap.String("detail", res.Message))
	}
}
