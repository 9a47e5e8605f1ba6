package controller

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"toucanway/core/balance"
	"toucanway/core/catalog"
	"toucanway/core/fleet"
	"toucanway/core/raft"
	"toucanway/core/registry"
	"toucanway/core/residency"
	"toucanway/core/routes"
	"toucanway/io/controlapi"
	"toucanway/io/hosts"
)

// Log messages of decisions and changes of belief.
const (
	logLeading  = "this host leads and orders the engines"
	logFollower = "this host no longer leads"
	logInstance = "backend server changed"
	logSilent   = "backend server is silent"
	logEntry    = "entry host changed"
	logOrder    = "engine ordered"
	logReport   = "engine reported"
	logReplaced = "configuration committed"
	logInvalid  = "configuration refused"
	logCurrent  = "configuration acknowledged; a version as high is in force"
	logUnread   = "configuration in force cannot be read"
	logNote     = "who orders engines cannot be noted for the next start"
)

// Controller is the control part of one host. It is safe for concurrent use.
type Controller struct {
	cfg   Settings
	count counters

	mu sync.Mutex
	// changed is closed and replaced when anything changes that followers are told.
	changed  chan struct{}
	kick     chan struct{}
	registry *registry.Registry
	planner  *residency.Planner
	// observed is the revision of the registry up to which the planner knows the instances.
	observed uint64
	// published is when what all engines hold was last looked at.
	published time.Time
	// reign is the present leadership, nil on other hosts.
	reign *reign
	// entries are the entry hosts as reported here, or as followed from the leader.
	entries map[fleet.HostID]*entry
	// entryRevision counts the changes of the list of ready entry hosts.
	entryRevision uint64
	followed      []controlapi.Entry
	// mirrored is when the leader last answered this host as a follower.
	mirrored time.Time
	relay    relay
	// loads are the sums of what all entry hosts have under way.
	loads map[fleet.BackendID]balance.TotalLoad
	// table is the configuration that the planner works with.
	table *routes.Table
}

// reign is one leadership of this host.
type reign struct {
	term  raft.Term
	since time.Time
	// ordersFrom is when orders may begin; ordering says that the log names this host as the one that orders.
	ordersFrom time.Time
	ordering   bool
}

// entry is what the leader knows of an entry host.
type entry struct {
	controlapi.Entry
	ready bool
	heard time.Time
	loads []controlapi.Load
}

// New returns a controller; Register and Run have to be called next.
func New(cfg Settings) *Controller {
	return &Controller{
		cfg: cfg, count: newCounters(cfg.Metrics), changed: make(chan struct{}), kick: make(chan struct{}, 1),
		registry: registry.New(registry.Settings{}), planner: residency.New(cfg.Planner), entries: map[fleet.HostID]*entry{},
		relay: newRelay(), loads: map[fleet.BackendID]balance.TotalLoad{},
	}
}

// Register adds the procedures of the leader to a server.
func (c *Controller) Register(srv *hosts.Server) {
	hosts.Handle(srv, controlapi.ProcedureLead, c.lead)
	hosts.Handle(srv, controlapi.ProcedureFollow, c.follow)
	hosts.Handle(srv, controlapi.ProcedureReport, c.report)
	hosts.Handle(srv, controlapi.ProcedurePlace, c.place)
	hosts.Handle(srv, controlapi.ProcedureHeartbeat, c.heartbeat)
	hosts.Handle(srv, controlapi.ProcedureRenew, c.renewed)
	hosts.Handle(srv, controlapi.ProcedureLeave, c.leave)
	hosts.Handle(srv, controlapi.ProcedureReplace, c.replace)
	hosts.Handle(srv, controlapi.ProcedureRead, c.read)
}

// Run carries out the host's part until the context ends.
func (c *Controller) Run(ctx context.Context) error {
	eg, ctx := errgroup.WithContext(ctx)
	eg.Go(func() error { return c.watch(ctx) })
	eg.Go(func() error { return c.mirror(ctx) })
	eg.Go(func() error { return c.renew(ctx) })
	eg.Go(func() error { return c.plan(ctx) })
	return eg.Wait()
}

// watch notices changes of leadership.
func (c *Controller) watch(ctx context.Context) error {
	for ctx.Err() == nil {
		s := c.cfg.Group.Status()
		if s.Role == raft.Leader {
			c.reignFrom(ctx, s.Term)
		} else {
			c.resign()
		}
		if err := c.cfg.Group.WaitChanged(ctx, s); err != nil {
			return nil
		}
	}
	return nil
}

// reignFrom begins a leadership once this host has applied all that was committed before.
func (c *Controller) reignFrom(ctx context.Context, term raft.Term) {
	c.mu.Lock()
	known := c.reign != nil && c.reign.term == term
	c.mu.Unlock()
	if known {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if c.cfg.Group.Barrier(ctx) != nil {
		return
	}
	state := c.state()
	now := c.cfg.Now()
	r := &reign{term: term, since: now, ordersFrom: now, ordering: state.Orderer == c.cfg.Self}
	if state.Orderer != "" && state.Orderer != c.cfg.Self {
		r.ordersFrom = now.Add(c.cfg.Handover + handoverMargin)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reign = r
	c.planner = residency.New(c.cfg.Planner)
	c.configure(state)
	c.registry.RestartSilenceTimeouts(now)
	for _, in := range c.registry.ChangedAfter(0) {
		if in.State != registry.Gone {
			c.planner.Observe(now, in, registry.Heartbeat{Instance: in, Engine: c.isEngine(in.Service)})
		}
	}
	c.observed = c.registry.Revision()
	c.planner.MarkAllInDoubt()
	c.cfg.Log.Info(logLeading, zap.Uint64("term", uint64(term)), zap.String("ordered-before", string(state.Orderer)),
		zap.Duration("orders-in-ms", r.ordersFrom.Sub(now)), zap.Uint64("configuration", uint64(state.Version)))
	c.announce()
}

func (c *Controller) resign() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.reign == nil {
		return
	}
	c.cfg.Log.Info(logFollower, zap.Uint64("term", uint64(c.reign.term)))
	c.reign = nil
	c.noteOrdering(false)
	c.announce()
}

// announce wakes those that wait for changes; c.mu is held.
func (c *Controller) announce() {
	close(c.changed)
	c.changed = make(chan struct{})
}

// hurry makes the planner look at once.
func (c *Controller) hurry() {
	select {
	case c.kick <- struct{}{}:
	default:
	}
}

// lead answers whether this host leads.
func (c *Controller) lead(context.Context, fleet.HostID, *controlapi.LeadRequest) (*controlapi.LeadResponse, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leading() == nil {
		return &controlapi.LeadResponse{Reply: c.notLeader()}, nil
	}
	return &controlapi.LeadResponse{}, nil
}

// leading returns the present leadership if it is valid now, else nil; c.mu is held.
func (c *Controller) leading() *reign {
	if c.reign == nil || !c.cfg.Group.Leading() {
		return nil
	}
	return c.reign
}

// notLeader is the reply of a host that doesn't lead.
func (c *Controller) notLeader() controlapi.Reply {
	leader := c.cfg.Group.Status().Leader
	if leader == c.cfg.Self {
		leader = ""
	}
	return controlapi.Reply{Status: hosts.StatusNotLeader, Leader: leader}
}

// state returns the replicated state as applied on this host.
func (c *Controller) state() catalog.State {
	var s catalog.State
	c.cfg.Group.View(func(m raft.StateMachine) { s = m.(*catalog.Machine).State })
	return s
}

// configure gives the planner the configuration of a state if it is newer than its own; c.mu is held.
func (c *Controller) configure(s catalog.State) {
	if s.Version == 0 || c.table != nil && c.table.Configuration.Version >= s.Version {
		if c.table != nil {
			c.planner.Configure(c.table)
		}
		return
	}
	data, err := controlapi.Unpack(s.Data)
	if err == nil {
		var cfg *routes.Configuration
		if cfg, err = c.cfg.Parser.Configuration(data); err == nil {
			c.table = routes.NewTable(cfg)
			c.planner.Configure(c.table)
			return
		}
	}
	c.cfg.Log.Error(logUnread, zap.Uint64("version", uint64(s.Version)), zap.Error(err))
}

func (c *Controller) isEngine(s fleet.ServiceID) bool {
	if c.table == nil {
		return false
	}
	svc := c.table.Configuration.Service(s)
	return svc != nil && svc.Engine != nil
}
