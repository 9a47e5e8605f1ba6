package formation

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"toucanway/core/fleet"
	"toucanway/core/pause"
	"toucanway/core/raft"
	"toucanway/io/hosts"
	"toucanway/io/voters"
)

// Log messages of changes of state.
const (
	logOpened   = "control group opened on this host"
	logReopen   = "control group cannot work on this host's storage; it is opened again shortly"
	logJoined   = "host admitted to the control group"
	logAdmitted = "host admitted to the control group by this leader"
	logRemoved  = "silent host removed from the control group"
	logRefused  = "host not admitted to the control group yet"
)

// Group is this host's member of the control group. It is safe for concurrent use.
type Group struct {
	cfg Settings
	// membershipLock holds a token while the leader changes the membership.
	membershipLock chan struct{}

	mu     sync.Mutex
	open   *openGroup
	opened chan struct{}
}

// openGroup is the group on this host from one opening of the storage to its failure.
type openGroup struct {
	group   *voters.Group
	machine raft.StateMachine
}

// New returns a group; call Run next.
func New(cfg Settings) *Group {
	cfg.setDefaults()
	return &Group{cfg: cfg, membershipLock: make(chan struct{}, 1), opened: make(chan struct{})}
}

// Register adds the procedures of the group to a server.
func (g *Group) Register(srv *hosts.Server) {
	hosts.Handle(srv, hosts.ProcedureStep, g.handleStep)
	hosts.Handle(srv, ProcedureJoin, g.handleJoin)
}

// current returns the open group, or nil if there is none.
func (g *Group) current() *openGroup {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.open
}

// requireOpen returns the open group, or ErrClosed.
func (g *Group) requireOpen() (*openGroup, error) {
	if p := g.current(); p != nil {
		return p, nil
	}
	return nil, ErrClosed.New("the control group is not open on this host; ask another host")
}

// Run keeps the group open on this host until the context ends.
func (g *Group) Run(ctx context.Context) error {
	eg, ctx := errgroup.WithContext(ctx)
	eg.Go(func() error {
		for ctx.Err() == nil {
			err := g.runOpen(ctx)
			if ctx.Err() != nil {
				return nil
			}
			g.cfg.Log.Error(logReopen, zap.Error(err))
			if pause.For(ctx, g.cfg.ReopenInterval) != nil {
				return nil
			}
		}
		return nil
	})
	eg.Go(func() error {
		g.runEvery(ctx, g.cfg.JoinInterval, g.askToJoin)
		return nil
	})
	eg.Go(func() error {
		g.runEvery(ctx, time.Second, g.removeSilent)
		return nil
	})
	return eg.Wait()
}

func (g *Group) runEvery(ctx context.Context, d time.Duration, f func(context.Context)) {
	for pause.For(ctx, d) == nil {
		f(ctx)
	}
}

// runOpen opens the storage and runs the group until the storage fails or the context ends.
func (g *Group) runOpen(ctx context.Context) error {
	storage, err := g.cfg.Open()
	if err != nil {
		return err
	}
	p := &openGroup{machine: g.cfg.Machine()}
	raftSettings := g.cfg.Raft
	raftSettings.Self = g.cfg.Self
	if g.cfg.PreferredLeader != nil && !g.cfg.PreferredLeader() {
		raftSettings.StartDelay = otherHostsStartDelay
	}
	if seeds := g.cfg.Seeds(); g.cfg.Bootstrap && slices.Contains(seeds, g.cfg.Self) {
		raftSettings.Voters = seeds
	}
	p.group, err = voters.Open(voters.Settings{
		Raft: raftSettings, Storage: storage, Transport: g, Machine: p.machine, Now: g.cfg.Now, Log: g.cfg.Log,
	})
	if err != nil {
		return errors.Join(err, storage.Close())
	}
	ctx, cancel := context.WithCancel(ctx)
	eg, ctx := errgroup.WithContext(ctx)
	eg.Go(func() error { return p.group.Run(ctx) })
	g.mu.Lock()
	g.open = p
	started := g.opened
	g.mu.Unlock()
	close(started)
	g.cfg.Log.Info(logOpened, zap.Bool("bootstrap", raftSettings.Voters != nil), zap.Uint64("storage", uint64(p.group.Storage())))
	err = p.waitFailed(ctx)
	g.mu.Lock()
	g.open, g.opened = nil, make(chan struct{})
	g.mu.Unlock()
	cancel()
	return errors.Join(err, eg.Wait())
}

// waitFailed waits for the group to fail and returns the error.
func (p *openGroup) waitFailed(ctx context.Context) error {
	for {
		s := p.group.Status()
		if s.Failed != nil {
			return s.Failed
		}
		if err := p.group.WaitChanged(ctx, s); err != nil {
			return err
		}
	}
}

// Send sends raft messages to another host; it implements voters.Transport.
func (g *Group) Send(ctx context.Context, to fleet.HostID, id raft.GroupID, msgs []raft.Message) error {
	_, err := hosts.Call[hosts.StepRequest, hosts.StepResponse](ctx, g.cfg.Client, g.cfg.Address(to), hosts.ProcedureStep,
		&hosts.StepRequest{Group: id, Messages: msgs})
	return err
}

func (g *Group) handleStep(_ context.Context, from fleet.HostID, req *hosts.StepRequest) (*hosts.StepResponse, error) {
	if p := g.current(); p != nil {
		p.group.Receive(from, req.Messages)
	}
	return &hosts.StepResponse{}, nil
}

// Status returns the group's state as this host sees it, or the zero value while the group is closed.
func (g *Group) Status() voters.Status {
	if p := g.current(); p != nil {
		return p.group.Status()
	}
	return voters.Status{}
}

// Leading reports whether this host leads the group and no other host can lead at the same time.
func (g *Group) Leading() bool {
	p := g.current()
	return p != nil && p.group.Leading()
}

// LeadsTerm reports whether this host leads the group in a term and no other host can lead at the same time.
func (g *Group) LeadsTerm(t raft.Term) bool {
	p := g.current()
	if p == nil {
		return false
	}
	term, _, ok := p.group.Lease()
	return ok && term == t
}

// ViewAsLeader calls f with the state machine, which doesn't change meanwhile, if this host leads the group and no other host can lead at
// the same time, and reports whether it did. The state has all that was acknowledged before the call if upToDate is set.
func (g *Group) ViewAsLeader(f func(term raft.Term, upToDate bool, m raft.StateMachine)) bool {
	p := g.current()
	if p == nil {
		return false
	}
	term, upToDate, ok := p.group.Lease()
	if !ok {
		return false
	}
	p.group.View(func() { f(term, upToDate, p.machine) })
	return true
}

// Propose commits a command and returns the state machine's result for it; see voters.Group.Propose.
func (g *Group) Propose(ctx context.Context, data []byte) ([]byte, error) {
	p, err := g.requireOpen()
	if err != nil {
		return nil, err
	}
	_, res, err := p.group.Propose(ctx, data)
	return res, err
}

// Barrier returns once this host is confirmed as leader and has applied everything that was committed before the call.
func (g *Group) Barrier(ctx context.Context) error {
	p, err := g.requireOpen()
	if err != nil {
		return err
	}
	return p.group.Barrier(ctx)
}

// View calls f with the state machine, which doesn't change meanwhile, and reports whether the group is open.
func (g *Group) View(f func(raft.StateMachine)) bool {
	p := g.current()
	if p == nil {
		return false
	}
	p.group.View(func() { f(p.machine) })
	return true
}

// WaitChanged returns once the role, leader, term or members differ from those of s, or the group is closed or opened.
func (g *Group) WaitChanged(ctx context.Context, s voters.Status) error {
	g.mu.Lock()
	p, started := g.open, g.opened
	g.mu.Unlock()
	if p == nil {
		select {
		case <-started:
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	if err := p.group.WaitChanged(ctx, s); err != nil && ctx.Err() != nil {
		return ctx.Err()
	}
	return nil
}
