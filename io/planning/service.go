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
	// wakeDelay is how long a round is delayed after a report, so that it covers the first requests of a burst at many hosts.
	wakeDelay = 10 * time.Millisecond
	// commitTimeout bounds the commit of one phase of a round's commands.
	commitTimeout  = 2 * time.Second
	expireInterval = time.Second
)

// Settings configures a Service.
type Settings struct {
	Self     fleet.HostID
	Sessions *sessions.Service
	Group    sessions.Group
	Machine  *control.Machine
	// Document returns the configuration in force.
	Document func() (*config.Document, fleet.DocumentVersion)
	Policies Policies
	// Seed seeds the random choice among equally good backend servers.
	Seed uint64
	// Log receives rejected decisions; nil means no log.
	Log *zap.Logger
}

// Policies replaces placement policies with simpler ones as baselines for measurements. The zero value means the default
// policies.
type Policies struct {
	// KeepWarm is the time that idle models stay loaded; zero means that it is derived from the calls of each model.
	KeepWarm time.Duration
}

// Service runs the planner while this host leads the control group. It is safe for concurrent use. Lock order: mu, then
// the group's own lock.
type Service struct {
	cfg Settings

	mu               sync.Mutex
	planner          *placement.Planner
	leaderSince      time.Time
	documentVersion  fleet.DocumentVersion
	crashRecords     *poison.View
	recordsExpiredAt time.Time
	wake             chan struct{}
}

// New returns a service without a planner. Each leadership of this host starts with a new planner.
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

// Demand processes a host's report and answers with estimates. A report with waiting requests triggers a round soon.
func (s *Service) Demand(_ context.Context, _ fleet.HostID, req *hosts.DemandRequest) (*hosts.DemandResponse, error) {
	now := time.Now()
	since, leads := s.cfg.Sessions.Leads(now)
	if !leads {
		return &hosts.DemandResponse{Status: hosts.StatusNotLeader, Leader: s.cfg.Group.Status().Leader}, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.currentPlanner(now, since)
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
		ready, possible := p.Estimate(m)
		res.Estimates = append(res.Estimates, hosts.Estimate{Model: m, Possible: possible, Ready: ready})
	}
	return res, nil
}

func (s *Service) wakeUp() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// currentPlanner returns the planner of this leadership, updated to the latest configuration document. The caller holds mu.
func (s *Service) currentPlanner(now, since time.Time) *placement.Planner {
	doc, version := s.cfg.Document()
	if s.planner == nil || !since.Equal(s.leaderSince) {
		s.leaderSince = since
		s.planner = placement.New(settingsOf(doc, version, s.cfg.Seed, s.cfg.Policies))
		s.crashRecords = poison.New(poison.Settings{Expiry: doc.Limits.PoisonExpiry})
		s.documentVersion = version
	}
	if version != s.documentVersion {
		s.documentVersion = version
		s.planner.SetCatalogue(now, catalogueOf(doc, version))
		s.crashRecords = poison.New(poison.Settings{Expiry: doc.Limits.PoisonExpiry})
	}
	return s.planner
}

// Unmet returns the bounds set by the operators that the last round found unmet.
func (s *Service) Unmet() []placement.UnmetBound {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.planner == nil {
		return nil
	}
	return append([]placement.UnmetBound(nil), s.planner.Unmet()...)
}

// Run plans at intervals, and soon after a report of waiting requests, until the context ends.
func (s *Service) Run(ctx context.Context) error {
	callPeriodically(ctx, roundInterval, wakeDelay, s.wake, s.round)
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
	p := s.currentPlanner(now, since)
	s.cfg.Group.View(func() {
		commands = append(p.Round(now, &s.cfg.Machine.State), s.expireCrashRecords(now)...)
	})
	s.mu.Unlock()
	for _, phase := range splitPhases(commands) {
		s.commit(ctx, phase)
	}
}

// expireCrashRecords returns the command that deletes crash records past their expiry. The caller holds mu and the group's lock.
func (s *Service) expireCrashRecords(now time.Time) []control.Command {
	if now.Sub(s.recordsExpiredAt) < expireInterval {
		return nil
	}
	s.recordsExpiredAt = now
	s.crashRecords.SetCrashRecords(now, s.cfg.Machine.State.CrashRecords())
	if old := s.crashRecords.Expired(now); len(old) > 0 {
		return []control.Command{&control.DeleteCrashRecords{Fingerprints: old}}
	}
	return nil
}

// splitPhases splits the commands of a round into two groups to commit one after the other, since a load needs its replica
// target first.
// Within a group, the order does not matter.
func splitPhases(commands []control.Command) [][]control.Command {
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

// propose commits one command. If it is rejected or lost, a later round decides again from the control state.
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
