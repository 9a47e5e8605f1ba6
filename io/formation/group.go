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

// Group is this host's part in the control group. It is safe for concurrent use.
type Group struct {
	cfg Settings
	// changing holds a token while the leader changes the membership.
	changing chan struct{}

	mu      sync.Mutex
	part    *part
	started chan struct{}
}

// part is the host's part from one opening of the storage to its failure.
type part struct {
	group   *voters.Group
	machine raft.StateMachine
}

// New returns a group; Run has to be called next.
func New(cfg Settings) *Group {
	cfg.setDefaults()
	return &Group{cfg: cfg, changing: make(chan struct{}, 1), started: make(chan struct{})}
}

// Register adds the procedures of the group to a server.
func (g *Group) Register(srv *hosts.Server) {
	hosts.Handle(srv, hosts.ProcedureStep, g.step)
	hosts.Handle(srv, ProcedureJoin, g.join)
}

// current returns the open part, nil if there is none.
func (g *Group) current() *part {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.part
}

// usable returns the open part or an ErrClosed.
func (g *Group) usable() (*part, error) {
	if p := g.current(); p != nil {
		return p, nil
	}
	return nil, ErrClosed.New("the control group is not open on this host; ask another one")
}

// Run keeps the host's part open until the context ends.
func (g *Group) Run(ctx context.Context) error {
	eg, ctx := errgroup.WithContext(ctx)
	eg.Go(func() error {
		for ctx.Err() == nil {
			err := g.runPart(ctx)
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
		g.every(ctx, g.cfg.JoinInterval, g.askToJoin)
		return nil
	})
	eg.Go(func() error {
		g.every(ctx, time.Second, g.removeSilent)
		return nil
	})
	return eg.Wait()
}

func (g *Group) every(ctx context.Context, d time.Duration, f func(context.Context)) {
	for pause.For(ctx, d) == nil {
		f(ctx)
	}
}

// runPart opens the storage and takes part until the storage fails or the context ends.
func (g *Group) runPart(ctx context.Context) error {
	storage, err := g.cfg.Open()
	if err != nil {
		return err
	}
	p := &part{machine: g.cfg.Machine()}
	set := g.cfg.Raft
	set.Self = g.cfg.Self
	if g.cfg.First != nil && !g.cfg.First() {
		set.StartDelay = startDelay
	}
	if seeds := g.cfg.Seeds(); g.cfg.Bootstrap && slices.Contains(seeds, g.cfg.Self) {
		set.Voters = seeds
	}
	p.group, err = voters.Open(voters.Settings{
		Raft: set, Storage: storage, Transport: g, Machine: p.machine, Now: g.cfg.Now, Log: g.cfg.Log,
	})
	if err != nil {
		return errors.Join(err, storage.Close())
	}
	ctx, cancel := context.WithCancel(ctx)
	eg, ctx := errgroup.WithContext(ctx)
	eg.Go(func() error { return p.group.Run(ctx) })
	g.mu.Lock()
	g.part = p
	started := g.started
	g.mu.Unlock()
	close(started)
	g.cfg.Log.Info(logOpened, zap.Bool("bootstrap", set.Voters != nil), zap.Uint64("storage", uint64(p.group.Storage())))
	err = p.waitFailed(ctx)
	g.mu.Lock()
	g.part, g.started = nil, make(chan struct{})
	g.mu.Unlock()
	cancel()
	return errors.Join(err, eg.Wait())
}

// waitFailed returns the error that ends the part.
func (p *part) waitFailed(ctx context.Context) error {
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

// Send hands raft messages to another host; it implements voters.Transport.
func (g *Group) Send(ctx context.Context, to fleet.HostID, id raft.GroupID, msgs []raft.Message) error {
	_, err := hosts.Call[hosts.StepRequest, hosts.StepResponse](ctx, g.cfg.Client, g.cfg.Address(to), hosts.ProcedureStep,
		&hosts.StepRequest{Group: id, Messages: msgs})
	return err
}

func (g *Group) step(_ context.Context, from fleet.HostID, req *hosts.StepRequest) (*hosts.StepResponse, error) {
	if p := g.current(); p != nil {
		p.group.Receive(from, req.Messages)
	}
	return &hosts.StepResponse{}, nil
}

// Status returns the group's state as this host sees it, the zero value while it is closed.
func (g *Group) Status() voters.Status {
	if p := g.current(); p != nil {
		return p.group.Status()
	}
	return voters.Status{}
}

// Leading says whether this host leads the group and no other host can at present.
func (g *Group) Leading() bool {
	p := g.current()
	return p != nil && p.group.Leading()
}

// Propose commits a command and returns what the state machine returned for it; see voters.Group.Propose.
func (g *Group) Propose(ctx context.Context, data []byte) ([]byte, error) {
	p, err := g.usable()
	if err != nil {
		return nil, err
	}
	_, res, err := p.group.Propose(ctx, data)
	return res, err
}

// Barrier returns once this host is confirmed as leader and has applied all that was committed before the call.
func (g *Group) Barrier(ctx context.Context) error {
	p, err := g.usable()
	if err != nil {
		return err
	}
	return p.group.Barrier(ctx)
}

// View calls f with the state machine while it doesn't change, and says whether the group is open.
func (g *Group) View(f func(raft.StateMachine)) bool {
	p := g.current()
	if p == nil {
		return false
	}
	p.group.View(func() { f(p.machine) })
	return true
}

// WaitChanged returns once the role, leader, term or members differ from those of s, or the part is closed or opened.
func (g *Group) WaitChanged(ctx context.Context, s voters.Status) error {
	g.mu.Lock()
	p, started := g.part, g.started
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
