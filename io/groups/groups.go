package groups

import (
	"context"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"toucanway/core/control"
	"toucanway/core/fleet"
	"toucanway/core/ledger"
	"toucanway/core/raft"
	"toucanway/io/hosts"
	"toucanway/io/metrics"
	"toucanway/io/voters"
)

// ControlID is the id of the control group; ledger group n, counted from 0, is raft group n+1.
const ControlID raft.GroupID = 0

// LedgerID returns the raft group id of ledger group n, counted from 0.
func LedgerID(n int) raft.GroupID { return raft.GroupID(n + 1) }

const sendTimeout = 500 * time.Millisecond

// Settings configure a Set.
type Settings struct {
	Self fleet.HostID
	// Members are the voters of every group; Self is one of them.
	Members []hosts.Member
	// LedgerGroups is the number of ledger groups; zero means one.
	LedgerGroups int
	// Storage returns the storage of a group.
	Storage func(raft.GroupID) (voters.Storage, error)
	Client  *hosts.Client
	Seed    uint64
	Log     *zap.Logger
	// Metrics is the registry for the metrics of the groups; nil means that none are exposed.
	Metrics *metrics.Registry
}

// Set holds the raft groups of one voter.
type Set struct {
	cfg     Settings
	groups  map[raft.GroupID]*voters.Group
	control *control.Machine
	ledgers []*ledger.Machine
	// replacing is a semaphore that allows one replacement of a voter at a time.
	replacing chan struct{}
}

// Open opens all groups.
func Open(cfg Settings) (*Set, error) {
	if cfg.Log == nil {
		cfg.Log = zap.NewNop()
	}
	if cfg.Metrics == nil {
		cfg.Metrics = metrics.New(metrics.Options{})
	}
	cfg.LedgerGroups = max(cfg.LedgerGroups, 1)
	s := &Set{cfg: cfg, groups: map[raft.GroupID]*voters.Group{}, control: &control.Machine{}, replacing: make(chan struct{}, 1)}
	if err := s.openGroup(ControlID, s.control); err != nil {
		return nil, err
	}
	for n := range cfg.LedgerGroups {
		m := &ledger.Machine{}
		s.ledgers = append(s.ledgers, m)
		if err := s.openGroup(LedgerID(n), m); err != nil {
			return nil, err
		}
	}
	return s, nil
}

func (s *Set) openGroup(id raft.GroupID, m raft.StateMachine) error {
	storage, err := s.cfg.Storage(id)
	if err != nil {
		return err
	}
	initialVoters := make([]fleet.HostID, 0, len(s.cfg.Members))
	for _, v := range s.cfg.Members {
		initialVoters = append(initialVoters, v.ID)
	}
	g, err := voters.Open(voters.Settings{
		Group:     id,
		Raft:      raft.Settings{Self: s.cfg.Self, Voters: initialVoters, Seed: s.cfg.Seed + uint64(id)},
		Storage:   storage,
		Transport: transport{client: s.cfg.Client, members: s.cfg.Members},
		Machine:   m,
		Log:       s.cfg.Log,
	})
	if err != nil {
		return err
	}
	s.groups[id] = g
	declareMetrics(s.cfg.Metrics, id, g)
	return nil
}

// transport sends messages of a group with the Step procedure.
type transport struct {
	client  *hosts.Client
	members []hosts.Member
}

// Send sends messages to a member.
func (t transport) Send(ctx context.Context, to fleet.HostID, group raft.GroupID, msgs []raft.Message) error {
	for _, m := range t.members {
		if m.ID != to {
			continue
		}
		ctx, cancel := context.WithTimeout(ctx, sendTimeout)
		defer cancel()
		_, err := hosts.Call[hosts.StepRequest, hosts.StepResponse](ctx, t.client, m.Address, hosts.ProcedureStep,
			&hosts.StepRequest{Group: group, Messages: msgs})
		return err
	}
	return hosts.ErrNoLeader.New("voter %s has no address in the settings of this host; list all voters in the settings of every host", to)
}

// ControlGroup returns the control group and its state machine.
func (s *Set) ControlGroup() (*voters.Group, *control.Machine) { return s.groups[ControlID], s.control }

// Ledger returns ledger group n, counted from 0, and its state machine.
func (s *Set) Ledger(n int) (*voters.Group, *ledger.Machine) {
	return s.groups[LedgerID(n)], s.ledgers[n]
}

// Register adds the procedures of the groups to a server.
func (s *Set) Register(srv *hosts.Server) {
	hosts.Handle(srv, hosts.ProcedureStep, s.handleStep)
	hosts.Handle(srv, hosts.ProcedurePropose, s.handlePropose)
	hosts.Handle(srv, hosts.ProcedureRejoin, s.handleRejoin)
}

func (s *Set) handleStep(_ context.Context, from fleet.HostID, req *hosts.StepRequest) (*hosts.StepResponse, error) {
	if g := s.groups[req.Group]; g != nil {
		g.Receive(from, req.Messages)
	}
	return &hosts.StepResponse{}, nil
}

func (s *Set) handlePropose(ctx context.Context, _ fleet.HostID, req *hosts.ProposeRequest) (*hosts.ProposeResponse, error) {
	g := s.groups[raft.GroupID(req.Group)]
	if g == nil {
		return &hosts.ProposeResponse{Status: hosts.StatusNotLeader}, nil
	}
	index, result, err := g.Propose(ctx, req.Data)
	switch {
	case err == nil:
		return &hosts.ProposeResponse{Index: index, Result: result}, nil
	case voters.MayCommit(err):
		return &hosts.ProposeResponse{Status: hosts.StatusUncertain, Leader: g.Status().Leader}, nil
	default:
		return &hosts.ProposeResponse{Status: hosts.StatusNotLeader, Leader: g.Status().Leader}, nil
	}
}

// Run runs all groups until the context ends.
func (s *Set) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	for id, group := range s.groups {
		g.Go(func() error { return group.Run(ctx) })
		g.Go(func() error {
			s.rejoinWhenRefused(ctx, id, group)
			return nil
		})
	}
	return g.Wait()
}
