package entry

import (
	"cmp"
	"context"
	"crypto/tls"
	"errors"
	"net"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"toucanway/core/capacity"
	"toucanway/core/config"
	"toucanway/core/control"
	"toucanway/core/fleet"
	"toucanway/core/raft"
	"toucanway/io/backend"
	"toucanway/io/callers"
	"toucanway/io/dispatch"
	"toucanway/io/engines"
	"toucanway/io/follow"
	"toucanway/io/groups"
	"toucanway/io/hosts"
	"toucanway/io/ledgers"
	"toucanway/io/members"
	"toucanway/io/metrics"
	"toucanway/io/network"
	"toucanway/io/operators"
	"toucanway/io/owner"
	"toucanway/io/planning"
	"toucanway/io/services"
	"toucanway/io/sessions"
	"toucanway/io/settings"
	"toucanway/io/voters"
)

// Settings of a Host.
type Settings struct {
	*settings.Settings
	Network network.Network
	// Storage returns the storage of a raft group on a voter.
	Storage func(raft.GroupID) (voters.Storage, error)
	Loggers *settings.Loggers
	// Seed drives random choices and election timeouts.
	Seed     uint64
	Policies Policies
}

// Policies replace policies by simpler ones for measurements; the zero value stands for the normal policies.
type Policies struct {
	Dispatch dispatch.Policies
	Planning planning.Policies
	// ArrivalOrder serves waiting requests in order of arrival, without classes, tenant shares, the limit on long work,
	// and preemption.
	ArrivalOrder bool
}

// Host is an entry host.
type Host struct {
	cfg          Settings
	log          *zap.Logger
	metrics      *metrics.Registry
	client       *hosts.Client
	server       hosts.Server
	control      *hosts.GroupClient
	follower     *follow.Follower
	registry     *registry
	pool         *backend.Pool
	owner        *owner.Owner
	reporter     *planning.Reporter
	dispatch     *dispatch.Dispatcher
	callers      *callers.Server
	members      *members.Service
	adapterLoads capacity.LoadShare
	adviser      adviser
	// operatorsTLS is nil for plain TCP.
	operatorsTLS *settings.Reloader
	// voter is nil on a host that is no voter.
	voter    *voter
	draining atomic.Bool
}

// voter holds the parts that only voters have.
type voter struct {
	groups            *groups.Set
	sessions          *sessions.Service
	planning          *planning.Service
	ledgerMaintainers []*ledgers.Maintainer
}

// New assembles a host; nothing is started before Run.
func New(cfg Settings) (*Host, error) {
	h := &Host{cfg: cfg, log: cfg.Loggers.Logger(settings.LogDefault), metrics: metrics.New(metrics.Options{})}
	hostsTLS, err := h.reloader("hosts", cfg.TLS.Hosts)
	if err != nil {
		return nil, err
	}
	voterList := voterMembers(cfg.Settings)
	h.client = hosts.NewClient(cfg.ID, cfg.Network, hostsTLS.Client())
	h.control = hosts.NewGroupClient(h.client, voterList)
	h.registry = &registry{announced: map[fleet.BackendID]fleet.Incarnation{}}
	h.follower = follow.New(follow.Settings{
		Host: cfg.ID, Address: string(cfg.Listen.Hosts), CallerAddress: string(cfg.Listen.Callers), Place: cfg.Place(),
		Control: h.control, TakeAnnounced: h.registry.takeAnnounced, Seed: cfg.Seed, Log: cfg.Loggers.Logger(settings.LogControl),
		Metrics: h.metrics,
	})
	h.registry.follower = h.follower
	h.pool = backend.NewPool(cfg.Network)
	h.reporter = planning.NewReporter(planning.ReporterSettings{
		Host: cfg.ID, Place: cfg.Place(), Incarnation: h.follower.Incarnation, Control: h.control,
	})
	h.owner = owner.New(owner.Settings{
		Host: cfg.ID, Follower: h.follower, Engines: engines.NewClient(h.pool),
		Preempt: h.preempt, OnLoadResult: h.reporter.AddLoadResult, OnInventory: h.reporter.AddInventory, Table: h.tableSettings,
		Log: cfg.Loggers.Logger(settings.LogCapacity), Metrics: h.metrics,
	})
	h.dispatch = dispatch.New(dispatch.Settings{
		Host: cfg.ID, Place: cfg.Place(), Follower: h.follower, Owner: h.owner, Client: h.client, Network: cfg.Network,
		Engines: engines.NewClient(h.pool), Services: services.NewClient(h.pool),
		Ledger:   ledgers.NewClient(h.client, voterList, cfg.LedgerGroups),
		Reporter: h.reporter, Metrics: h.metrics, Policies: cfg.Policies.Dispatch, Seed: cfg.Seed,
		Log: cfg.Loggers.Logger(settings.LogEngines),
	})
	h.registry.reports = h.dispatch
	if err := h.newCallers(); err != nil {
		return nil, err
	}
	if cfg.IsVoter() {
		if err := h.newVoter(voterList); err != nil {
			return nil, err
		}
	}
	h.members = h.newMembers(voterList, hostsTLS)
	h.members.Register(&h.server)
	h.owner.Register(&h.server)
	h.dispatch.Register(&h.server)
	h.server.TLS = hostsTLS.Server()
	h.operatorsTLS, err = h.reloader("operators", cfg.TLS.Operators)
	if err != nil {
		return nil, err
	}
	return h, nil
}

// preempt asks the host that holds a grant on an owned backend server to stop its request.
func (h *Host) preempt(p capacity.Preempt) {
	if p.Host == h.cfg.ID {
		h.dispatch.Preempt(p.Grant)
		return
	}
	address := ""
	h.follower.Read(func(s *control.State) {
		if v, ok := s.Session(p.Host); ok {
			address = v.Address
		}
	})
	if address != "" {
		h.dispatch.RequestPreemption(address, p.Grant)
	}
}

func (h *Host) newCallers() error {
	cfg := callers.Settings{Handler: handler{h}, ServeOther: engines.BackendHandler{Registry: h.registry}.Serve}
	callersTLS, err := h.reloader("callers", h.cfg.TLS.Callers)
	if err != nil {
		return err
	}
	cfg.TLS = callersTLS.Server()
	h.callers = callers.NewServer(cfg)
	return nil
}

// newMembers returns the failure detector; it joins through the voters.
func (h *Host) newMembers(voters []hosts.Member, tls *settings.Reloader) *members.Service {
	var seeds []string
	for _, v := range voters {
		if v.Address != string(h.cfg.Listen.Hosts) {
			seeds = append(seeds, v.Address)
		}
	}
	return members.New(members.Settings{
		Host: h.cfg.ID, Address: string(h.cfg.Listen.Hosts), Place: h.cfg.Place(), Seeds: seeds,
		Incarnation: h.follower.Incarnation, Client: hosts.NewUnpooledClient(h.cfg.ID, h.cfg.Network, tls.Client()),
		Seed: h.cfg.Seed, Log: h.cfg.Loggers.Logger(settings.LogMembership),
	})
}

func (h *Host) newVoter(members []hosts.Member) error {
	set, err := groups.Open(groups.Settings{
		Self: h.cfg.ID, Members: members, LedgerGroups: h.cfg.LedgerGroups,
		Storage: h.cfg.Storage, Client: h.client, Seed: h.cfg.Seed, Log: h.cfg.Loggers.Logger(settings.LogRaft), Metrics: h.metrics,
	})
	if err != nil {
		return err
	}
	group, machine := set.ControlGroup()
	v := &voter{groups: set}
	v.sessions = sessions.New(sessions.Settings{
		Self: h.cfg.ID, Group: group, Machine: machine, ProcessEnded: h.processEnded, Log: h.cfg.Loggers.Logger(settings.LogControl),
	})
	v.planning = planning.New(planning.Settings{
		Self: h.cfg.ID, Sessions: v.sessions, Group: group, Machine: machine, Document: h.follower.Document,
		Policies: h.cfg.Policies.Planning, Seed: h.cfg.Seed, Log: h.cfg.Loggers.Logger(settings.LogPlacement),
	})
	for n := range max(h.cfg.LedgerGroups, 1) {
		g, m := set.Ledger(n)
		v.ledgerMaintainers = append(v.ledgerMaintainers, &ledgers.Maintainer{Group: g, Machine: m, Session: h.session, Limits: h.ledgerLimits})
	}
	set.Register(&h.server)
	v.sessions.Register(&h.server)
	v.planning.Register(&h.server)
	hosts.Handle(&h.server, hosts.ProcedureOverview, v.overview)
	h.voter = v
	return nil
}

// overview returns the state that only the control leader has.
func (v *voter) overview(context.Context, fleet.HostID, *hosts.OverviewRequest) (*hosts.OverviewResponse, error) {
	group, _ := v.groups.ControlGroup()
	res := &hosts.OverviewResponse{Leader: group.Status().Leader}
	now := time.Now()
	if _, leads := v.sessions.Leads(now); !leads {
		res.Status = hosts.StatusNotLeader
		return res, nil
	}
	res.Hosts, res.Unmet = v.sessions.Hosts(now), v.planning.Unmet()
	return res, nil
}

func (h *Host) operators() *operators.Server {
	first := h.cfg.FirstOperator
	return operators.NewServer(operators.ServerSettings{
		System:        system{h},
		FirstOperator: config.Operator{ID: first.ID, Credentials: []config.Credential{first.Credential}},
		Logger:        h.cfg.Loggers.Logger(settings.LogOperators),
	})
}

// voterMembers returns the voters with their addresses. If the settings list only seeds, the seeds are used instead.
func voterMembers(s *settings.Settings) []hosts.Member {
	var out []hosts.Member
	for _, v := range s.Voters {
		out = append(out, hosts.Member{ID: v.ID, Address: string(v.Address)})
	}
	if len(out) == 0 {
		for _, a := range s.Seeds {
			out = append(out, hosts.Member{ID: fleet.HostID(a), Address: string(a)})
		}
	}
	return out
}

// session returns the session of a host and whether it is open. The copy of the control state counts as fresh while this host's
// own lease is valid.
func (h *Host) session(id fleet.HostID) (s control.Session, open, fresh bool) {
	fresh = h.follower.HasLease(time.Now())
	h.follower.Read(func(st *control.State) { s, open = st.Session(id) })
	return s, open, fresh
}

func (h *Host) ledgerLimits() (retention time.Duration, records int) {
	doc, _ := h.follower.Document()
	return cmp.Or(doc.Limits.LedgerRetention, defaultRetention), doc.Limits.LedgerRecords
}

// defaultRetention is the retention of ledger records while no document is in force.
const defaultRetention = 24 * time.Hour

// processEnded reports whether the process of a backend server has ended: its machine refuses the connection. It returns false
// if the server is only unreachable.
func (h *Host) processEnded(ctx context.Context, b control.Backend) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	c, err := h.cfg.Network.Dial(ctx, b.Announcement.Address)
	if err != nil {
		return connectionRefused(err)
	}
	return errors.Is(c.Close(), net.ErrClosed)
}

const probeTimeout = 500 * time.Millisecond

// Listeners are the open listeners of a host.
type Listeners struct {
	Callers   net.Listener
	Hosts     net.Listener
	Operators net.Listener
}

// Listen opens the configured addresses.
func (h *Host) Listen() (Listeners, error) {
	var l Listeners
	for _, one := range []struct {
		to      *net.Listener
		address settings.Address
	}{{&l.Callers, h.cfg.Listen.Callers}, {&l.Hosts, h.cfg.Listen.Hosts}, {&l.Operators, h.cfg.Listen.Operators}} {
		opened, err := h.cfg.Network.Listen(string(one.address))
		if err != nil {
			l.Close()
			return Listeners{}, ErrListen.Wrap(err, "cannot listen on %s; check that no other process uses it", one.address)
		}
		*one.to = opened
	}
	return l, nil
}

// Close closes the listeners that are open.
func (l Listeners) Close() {
	for _, one := range []net.Listener{l.Callers, l.Hosts, l.Operators} {
		if one != nil {
			one.Close()
		}
	}
}

// Run serves until ctx ends, then drains: it waits for all requests to finish within the drain bound and returns nil. If
// stop ends, Run ends at once without finishing the drain.
func (h *Host) Run(ctx, stop context.Context) error {
	l, err := h.Listen()
	if err != nil {
		return err
	}
	defer l.Close()
	// The parts keep running after ctx ends, as long as requests in flight need them.
	partsCtx, cancel := context.WithCancel(stop)
	defer cancel()
	servingCtx, stopServing := context.WithCancel(partsCtx)
	defer stopServing()
	g, gctx := errgroup.WithContext(partsCtx)
	h.startParts(g, gctx, l)
	g.Go(func() error { return h.callers.Run(servingCtx, l.Callers, gctx) })
	g.Go(func() error {
		if !h.waitDrain(gctx, ctx) {
			return nil
		}
		h.drain(gctx)
		stopServing()
		h.leave(gctx)
		cancel()
		return nil
	})
	h.log.Info(logStarted)
	err = g.Wait()
	h.pool.Close()
	h.client.Close()
	h.log.Info(logStopped, zap.Error(err))
	return err
}

// Follower returns the host's copy of the control state.
func (h *Host) Follower() *follow.Follower { return h.follower }

// startParts starts all parts except the callers' interface.
func (h *Host) startParts(g *errgroup.Group, ctx context.Context, l Listeners) {
	g.Go(func() error { return h.server.Run(ctx, l.Hosts) })
	g.Go(func() error { return h.follower.Run(ctx) })
	g.Go(func() error { return h.owner.Run(ctx) })
	g.Go(func() error { return h.reporter.Run(ctx) })
	g.Go(func() error { return h.members.Run(ctx) })
	g.Go(func() error { return h.dispatch.Run(ctx) })
	if cfg := h.operatorsTLS.Server(); cfg != nil {
		l.Operators = tls.NewListener(l.Operators, cfg)
	}
	g.Go(func() error { return h.operators().Serve(ctx, l.Operators) })
	if h.voter == nil {
		return
	}
	g.Go(func() error { return h.voter.groups.Run(ctx) })
	g.Go(func() error { return h.voter.sessions.Run(ctx) })
	g.Go(func() error { return h.voter.planning.Run(ctx) })
	for _, k := range h.voter.ledgerMaintainers {
		g.Go(func() error { return k.Run(ctx) })
	}
}
