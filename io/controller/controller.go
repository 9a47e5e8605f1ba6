package controller

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
	"golang.org/x/sync/singleflight"

	"toucanway/core/affinity"
	"toucanway/core/balance"
	"toucanway/core/catalog"
	"toucanway/core/crashes"
	"toucanway/core/directory"
	"toucanway/core/fleet"
	"toucanway/core/holdoff"
	"toucanway/core/overload"
	"toucanway/core/quota"
	"toucanway/core/raft"
	"toucanway/core/ratelimit"
	"toucanway/core/registry"
	"toucanway/core/residency"
	"toucanway/core/routes"
	"toucanway/io/controlapi"
	"toucanway/io/hosts"
)

// Log messages of decisions and state changes.
const (
	logLeading        = "this host leads and orders the engines"
	logFollower       = "this host no longer leads"
	logInstance       = "backend server changed"
	logSilent         = "backend server is silent"
	logPaused         = "backend server wants no requests from this host for some time"
	logSoftware       = "software version of a service on record"
	logSoftwareGone   = "software version of a service that no server has any more"
	logDeparture      = "backend server that drains or has left on record"
	logDeparturesGone = "backend servers that left some time ago are no longer on record"
	logLimit          = "rate limit of a backend server in force on all hosts"
	logLeaving        = "backend server counts as draining, since it has said that it leaves"
	logDirectory      = "callers are told of another number of entry hosts"
	logEntry          = "entry host changed"
	logOrder          = "engine ordered"
	logReport         = "engine reported"
	logReplaced       = "configuration committed"
	logInvalid        = "configuration refused"
	logCurrent        = "configuration acknowledged; a version as high is in force"
	logUnreadable     = "configuration in force cannot be read"
	logSaveIsOrderer  = "who orders engines cannot be noted for the next start"
)

// Controller runs the control functions of one host. It is safe for concurrent use.
type Controller struct {
	cfg     Settings
	metrics counters

	mu sync.Mutex
	// changed is closed and replaced when state changes that is sent to all followers, entriesChanged when only the list of entry
	// hosts changes, which is sent to controllers. A list of hundreds of hosts changes with each of their starts.
	changed, entriesChanged chan struct{}
	// planNow makes the planner run immediately.
	planNow  chan struct{}
	registry *registry.Registry
	// holdoffs holds what engines have said about further requests from this host, whether or not it led all the while.
	holdoffs holdoff.Table
	planner  *residency.Planner
	// observedRevision is the revision of the registry up to which the planner knows the instances.
	observedRevision uint64
	// publishedAt is the time at which the loaded models of all engines were last published.
	publishedAt time.Time
	// leadership is the current leadership, nil on hosts that don't lead.
	leadership *leadership
	// entries holds the entry hosts that report to this host as leader.
	entries map[fleet.HostID]*entry
	// entryRevision is the number of changes to the list of ready entry hosts.
	entryRevision uint64
	// busyEntries is the number of entries with requests in flight.
	busyEntries int
	// directorySize is the number of entry hosts of each data centre that callers are told of while this host leads.
	directorySize directory.Size
	// resolves is the number of answers to callers that ask for entry hosts.
	resolves uint64
	// leaderEntries holds the ready entry hosts as received from the leader, leaderDirectorySize the number of them in each data
	// centre that callers are told of.
	leaderEntries       []controlapi.Entry
	leaderDirectorySize int
	// leaderAnsweredAt is the time of the leader's last answer to this host as a follower.
	leaderAnsweredAt time.Time
	relay            relay
	// mirror is this follower's copy of the leader's state.
	mirror mirror
	// mirrors holds the members that follow this host as leader; mirrorRevision is the number of changes to them.
	mirrors        map[fleet.HostID]mirrorHost
	mirrorRevision uint64
	// followers is the number of hosts whose calls wait here for changes.
	followers int
	// limitsAt holds the time of the newest notice on each server's rate limit; limits grants the requests to those servers.
	limitsAt registry.Incarnations[time.Time]
	limits   ratelimit.Buckets
	// admissions unites the commits of one software version.
	admissions singleflight.Group
	// streams holds the origins of streams that entry hosts have recorded here.
	streams affinity.Table
	// softwareUnusedSince holds the software versions on record that no server has, with the time since which none has it.
	softwareUnusedSince map[catalog.Software]time.Time
	// recordCheckedAt is the time of the last check for records that are no longer needed.
	recordCheckedAt time.Time
	// departuresSince holds the departures on record with the time since which this leader has seen them there.
	departuresSince map[fleet.BackendIncarnation]time.Time
	// loads holds the total load of all entry hosts by backend server.
	loads map[fleet.BackendID]balance.TotalLoad
	// waiting holds the work that waits for room at all entry hosts.
	waiting map[overload.Class]overload.Work
	// speeds holds the time ratios of backend servers that entry hosts have measured.
	speeds map[fleet.BackendID]speed
	// detector finds the contents of requests that crash backend servers while this host leads.
	detector *crashes.Detector
	// table is the configuration that the planner works with.
	table *routes.Table
	work  workCount
}

// leadership is one period of leadership of this host.
type leadership struct {
	term  raft.Term
	since time.Time
	// ordersFrom is the time from which orders may be sent to engines; isOrderer is set once the log names this host as the one
	// that sends them.
	ordersFrom time.Time
	isOrderer  bool
	quotas     *quotas
	// state is the replicated state as this host last read it, and stateAsOf the time up to which it has all that was acknowledged.
	state     catalog.State
	stateAsOf time.Time
}

// entry is the leader's state for an entry host.
type entry struct {
	controlapi.Entry
	ready      bool
	reportedAt time.Time
	// interval is the time until its next report.
	interval time.Duration
	loads    []controlapi.Load
	// waiting is the work that waits for room there.
	waiting []controlapi.WaitingWork
}

// New returns a controller; call Register and Run next.
func New(cfg Settings) *Controller {
	return &Controller{
		cfg: cfg, metrics: newCounters(cfg.Metrics), changed: make(chan struct{}), entriesChanged: make(chan struct{}), planNow: make(chan struct{}, 1),
		registry: registry.New(registry.Settings{}), planner: residency.New(cfg.Planner), entries: map[fleet.HostID]*entry{}, mirrors: map[fleet.HostID]mirrorHost{},
		relay: newRelay(), loads: map[fleet.BackendID]balance.TotalLoad{}, waiting: map[overload.Class]overload.Work{},
		speeds: map[fleet.BackendID]speed{},
	}
}

// Register adds the procedures of the leader to a server.
func (c *Controller) Register(srv *hosts.Server) {
	hosts.Handle(srv, controlapi.ProcedureLead, c.handleLead)
	hosts.Handle(srv, controlapi.ProcedureFollow, c.handleFollow)
	hosts.Handle(srv, controlapi.ProcedureReport, c.handleReport)
	hosts.Handle(srv, controlapi.ProcedurePlace, c.handlePlace)
	hosts.Handle(srv, controlapi.ProcedureHeartbeat, c.handleHeartbeat)
	hosts.Handle(srv, controlapi.ProcedureRenew, c.handleRenewals)
	hosts.Handle(srv, controlapi.ProcedureLeave, c.handleLeave)
	hosts.Handle(srv, controlapi.ProcedureReplace, c.handleReplace)
	hosts.Handle(srv, controlapi.ProcedureRead, c.handleRead)
	hosts.Handle(srv, controlapi.ProcedureRecordStreams, c.handleRecordStreams)
	hosts.Handle(srv, controlapi.ProcedureFindStream, c.handleFindStream)
	hosts.Handle(srv, controlapi.ProcedureSoftware, c.handleSoftware)
	hosts.Handle(srv, controlapi.ProcedureAccounts, c.handleAccounts)
	hosts.Handle(srv, controlapi.ProcedureQuota, c.handleQuota)
}

// Run runs the controller until the context ends.
func (c *Controller) Run(ctx context.Context) error {
	eg, ctx := errgroup.WithContext(ctx)
	eg.Go(func() error { return c.watchLeadership(ctx) })
	eg.Go(func() error { return c.followLeader(ctx) })
	eg.Go(func() error { return c.sendRenewals(ctx) })
	eg.Go(func() error { return c.planLoop(ctx) })
	return eg.Wait()
}

// watchLeadership begins and ends the leadership of this host.
func (c *Controller) watchLeadership(ctx context.Context) error {
	for ctx.Err() == nil {
		s := c.cfg.Group.Status()
		if s.Role == raft.Leader {
			c.beginLeadership(ctx, s.Term)
		} else {
			c.endLeadership()
		}
		if err := c.cfg.Group.WaitChanged(ctx, s); err != nil {
			return nil
		}
	}
	return nil
}

// beginLeadership begins a leadership once this host has applied everything that was committed before.
func (c *Controller) beginLeadership(ctx context.Context, term raft.Term) {
	c.mu.Lock()
	known := c.leadership != nil && c.leadership.term == term
	c.mu.Unlock()
	if known {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	before := c.cfg.Now()
	if c.cfg.Group.Barrier(ctx) != nil {
		return
	}
	state := c.state()
	now := c.cfg.Now()
	r := &leadership{term: term, since: now, ordersFrom: now, isOrderer: state.Orderer == c.cfg.Self, state: state, stateAsOf: before,
		quotas: newQuotas(now, quota.Epoch(term), c.cfg.QuotaTolerance)}
	if state.Orderer != "" && state.Orderer != c.cfg.Self {
		r.ordersFrom = now.Add(c.cfg.OrderHandover + handoverMargin)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leadership = r
	clear(c.mirrors)
	clear(c.softwareUnusedSince)
	clear(c.departuresSince)
	c.limits, c.limitsAt = ratelimit.Buckets{}, registry.Incarnations[time.Time]{}
	c.mirrorRevision++
	c.planner = c.planner.Successor()
	c.detector = crashes.NewDetector(uint64(term))
	c.configure(state)
	c.registry.RestartSilenceTimeouts(now)
	c.adoptDepartures(now, state)
	for _, in := range c.registry.ChangedAfter(0) {
		if in.State != registry.Gone {
			c.planner.Observe(now, in, registry.Heartbeat{Instance: in, Engine: c.isEngine(in.Service)})
		}
	}
	c.observedRevision = c.registry.Revision()
	c.planner.MarkAllInDoubt()
	c.cfg.Log.Info(logLeading, zap.Uint64("term", uint64(term)), zap.String("ordered-before", string(state.Orderer)),
		zap.Duration("orders-in-ms", r.ordersFrom.Sub(now)), zap.Uint64("configuration", uint64(state.Version)))
	c.notifyChanged()
}

func (c *Controller) endLeadership() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leadership == nil {
		return
	}
	c.cfg.Log.Info(logFollower, zap.Uint64("term", uint64(c.leadership.term)))
	c.leadership = nil
	c.saveIsOrderer(false)
	c.notifyChanged()
}

// notifyChanged wakes all calls that wait for changes; c.mu is held.
func (c *Controller) notifyChanged() {
	c.work.notifications++
	close(c.changed)
	c.changed = make(chan struct{})
}

// notifyEntriesChanged wakes the calls of controllers that wait for changes; c.mu is held.
func (c *Controller) notifyEntriesChanged() {
	close(c.entriesChanged)
	c.entriesChanged = make(chan struct{})
}

// triggerPlanning makes the planner run immediately.
func (c *Controller) triggerPlanning() {
	select {
	case c.planNow <- struct{}{}:
	default:
	}
}

// handleLead answers whether this host leads.
func (c *Controller) handleLead(context.Context, fleet.HostID, *controlapi.LeadRequest) (*controlapi.LeadResponse, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.work.searches++
	if c.validLeadership() == nil {
		return &controlapi.LeadResponse{Reply: c.notLeader()}, nil
	}
	return &controlapi.LeadResponse{}, nil
}

// validLeadership returns the current leadership if it is valid now, else nil; c.mu is held. A host that leads again in a later term has a
// valid lease before it has begun that leadership, but may lack what other hosts have acknowledged between the two.
func (c *Controller) validLeadership() *leadership {
	if c.leadership == nil || !c.cfg.Group.LeadsTerm(c.leadership.term) {
		return nil
	}
	return c.leadership
}

// readAsLeader returns the current leadership with the newest state if it is valid now, else nil; c.mu is held.
func (c *Controller) readAsLeader(now time.Time) *leadership {
	r := c.leadership
	if r == nil {
		return nil
	}
	valid := false
	c.cfg.Group.ViewAsLeader(func(term raft.Term, upToDate bool, m raft.StateMachine) {
		if valid = term == r.term; valid {
			r.read(now, upToDate, m.(*catalog.Machine).State)
		}
	})
	if !valid {
		return nil
	}
	return r
}

// read takes the replicated state, which has all that was acknowledged before now if upToDate is set.
func (r *leadership) read(now time.Time, upToDate bool, s catalog.State) {
	r.state = s
	if upToDate {
		r.stateAsOf = now
	}
}

// notLeader returns the reply of a host that doesn't lead.
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

// propose commits a command.
func (c *Controller) propose(ctx context.Context, cmd catalog.Command) error {
	data, err := catalog.Encode(cmd)
	if err != nil {
		return err
	}
	_, err = c.cfg.Group.Propose(ctx, data)
	return err
}

// configure decodes the configuration of a state if it is newer than c.table, and passes the newest one to the planner; c.mu
// is held.
func (c *Controller) configure(s catalog.State) {
	if !s.HasConfiguration() || c.table != nil && c.table.Configuration.Version >= s.Version {
		if c.table != nil {
			c.planner.Configure(c.table)
		}
		return
	}
	data, err := controlapi.Decompress(s.Data)
	if err == nil {
		var cfg *routes.Configuration
		if cfg, err = c.cfg.Parser.Configuration(data); err == nil {
			c.table = routes.NewTable(cfg)
			c.planner.Configure(c.table)
			return
		}
	}
	c.cfg.Log.Error(logUnreadable, zap.Uint64("version", uint64(s.Version)), zap.Error(err))
}

func (c *Controller) isEngine(s fleet.ServiceID) bool {
	if c.table == nil {
		return false
	}
	svc := c.table.Configuration.Service(s)
	return svc != nil && svc.Engine != nil
}
