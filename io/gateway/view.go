package gateway

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/singleflight"

	"toucanway/core/affinity"
	"toucanway/core/balance"
	"toucanway/core/crashes"
	"toucanway/core/fanout"
	"toucanway/core/fleet"
	"toucanway/core/holdoff"
	"toucanway/core/overload"
	"toucanway/core/pause"
	"toucanway/core/ratelimit"
	"toucanway/core/registry"
	"toucanway/core/residency"
	"toucanway/core/retry"
	"toucanway/core/routes"
	"toucanway/io/controlapi"
	"toucanway/io/jobs"
)

// Log messages of changes to the view.
const (
	logConfiguration = "configuration in force on this host"
	logUnreadable    = "configuration cannot be read; the earlier one stays in force"
	logInstance      = "backend server known"
	logLoads         = "loads of other hosts cannot be read"
	logContact       = "contact with the control group"
	logNoContact     = "no contact with the control group; this host goes on with what it knows"
)

// View is this host's view of the deployment and of its own requests in flight. It is safe for concurrent use.
type View struct {
	cfg Settings
	// reportNow makes the next report go out immediately.
	reportNow chan struct{}
	// recordNow makes the origins of new streams go to their holders.
	recordNow chan struct{}

	// quotas holds the credit under the quotas of client accounts. It has a lock of its own, which may be taken while mu is held.
	quotas *quotas

	// jobs runs the checks of servers that may have crashed, crashChecks unites those of one server.
	jobs        jobs.Group
	crashChecks singleflight.Group

	mu       sync.Mutex
	position controlapi.Position
	// confirmedAt is the time up to which the control group has told this host of all changes.
	confirmedAt time.Time
	// mirrors chooses the member of the control group that this host follows.
	mirrors fanout.Chooser
	// confirmed is closed and replaced when confirmedAt grows.
	confirmed chan struct{}
	table     *table
	instances map[fleet.BackendID]*registry.Instance
	silences  silences
	// changed is closed and replaced when the instances or the configuration change, or what servers have said.
	changed  chan struct{}
	balancer *balance.Balancer
	// policy decides on requests while there is too little room, waiters holds those that wait by their tickets, and returns those
	// that were refused.
	policy  *overload.Policy
	waiters map[overload.Ticket]*waiter
	returns overload.Returns
	// loads holds the times at which loads that are under way are expected to end.
	loads map[loadKey]time.Time
	// loadsAsOf is the time at which the request for the load of other hosts was sent, on the clock of Settings.Now.
	loadsAsOf time.Time
	// draw decides whether this host takes room to which others have an equal claim; it is drawn anew with each view of them.
	draw     float64
	budget   *retry.Budget
	arrivals map[demandKey]arrivals
	waiting  map[demandKey]*waitingRequests
	// rejections maps the targets that servers have recently rejected to the end of the retry delay.
	rejections map[rejectionKey]time.Time
	// holdoffs holds what servers have said about further requests.
	holdoffs holdoff.Table
	// limitNotices holds what servers have said about their rate limits and the leader hasn't confirmed.
	limitNotices ratelimit.Notices
	// origins holds the origins of the streams that this host has begun, unrecorded those that no holder has taken yet.
	origins    affinity.Table
	unrecorded []controlapi.Stream
	// turns holds this host's turns at servers with a rate limit while the leader doesn't answer.
	turns ratelimit.Turns
	// entryHosts is the number of entry hosts that the leader counts; 0 before its first answer.
	entryHosts int
	// evidence is what this host knows of content that crashes servers.
	evidence crashes.Evidence
	ready    bool
	// idleReports is set while the last report named no requests in flight, so that the next one is far off.
	idleReports bool
	// placeNotBefore is the time from which the leader may be asked again where to send a request, placeTimeout the timeout of
	// the call.
	placeNotBefore time.Time
	placeTimeout   time.Duration
}

type demandKey struct {
	service fleet.ServiceID
	target  fleet.Target
	// software is the software version that the waiting requests are bound to; empty for none, and for arrivals.
	software fleet.SoftwareVersion
}

type waitingRequests struct{ count, topPriority int }

// arrivals holds the number of requests since the last report and the number of their prompt tokens.
type arrivals struct {
	count  int
	prompt fleet.Tokens
}

func newView(cfg Settings) *View {
	return &View{
		cfg: cfg, reportNow: make(chan struct{}, 1), recordNow: make(chan struct{}, 1), instances: map[fleet.BackendID]*registry.Instance{}, silences: silences{}, changed: make(chan struct{}),
		confirmed: make(chan struct{}),
		balancer:  balance.New(balance.Location{DataCentre: cfg.Place.DataCentre, Regions: cfg.Regions}, rand.Uint64()),
		budget: retry.NewBudget(retry.Settings{
			RetriesPerRequest: cfg.Budget.Ratio * budgetShare, MinRetriesPerSecond: 1, Burst: 1, Initial: 1, Attempts: 1 << 20,
			Rand: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		}),
		arrivals: map[demandKey]arrivals{}, waiting: map[demandKey]*waitingRequests{}, rejections: map[rejectionKey]time.Time{},
		placeTimeout: placeTimeout, policy: overload.New(), waiters: map[overload.Ticket]*waiter{}, loads: map[loadKey]time.Time{},
	}
}

// budgetShare is the part of the retry budget that is used, so that requests that end just before a window don't exceed the
// budget.
const budgetShare = 0.8

// Table returns the configuration in force, or nil before the first one.
func (v *View) Table() *table {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.table
}

// configurationAge returns the version in force on this host and the age of the state that the control group last confirmed.
func (v *View) configurationAge() (routes.Version, time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.table == nil {
		return 0, 0
	}
	return v.table.Configuration.Version, v.cfg.Now().Sub(v.confirmedAt)
}

// confirmedTable returns the configuration in force on this host, and false if one that it doesn't know of may have to be in force by now,
// so that a route which it doesn't have can't be said not to exist.
func (v *View) confirmedTable() (*table, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.table, v.isConfirmed(v.confirmedAt)
}

// isConfirmed reports whether a configuration that was the newest one at a time is the one that must be in force now.
func (v *View) isConfirmed(at time.Time) bool { return v.cfg.Now().Sub(at) <= v.cfg.ConfigurationTime }

// inForce returns the configuration in force on this host, the time up to which the control group has confirmed it, and a channel that is
// closed when that time grows.
func (v *View) inForce() (*table, time.Time, <-chan struct{}) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.table, v.confirmedAt, v.confirmed
}

// awaitTable returns the configuration in force, or waits for the first one; it returns nil if none has arrived within the
// timeout.
func (v *View) awaitTable(ctx context.Context, timeout time.Duration) *table {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for {
		v.mu.Lock()
		t, changed := v.table, v.changed
		v.mu.Unlock()
		if t != nil {
			return t
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil
		}
	}
}

// reportLoop sends reports about this host to the leader until the context ends.
func (v *View) reportLoop(ctx context.Context) error {
	t := time.NewTimer(0)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		case <-v.reportNow:
			if pause.For(ctx, minReportInterval) != nil {
				return nil
			}
		}
		t.Reset(v.sendReport(ctx))
	}
}

// sendReport sends a report and returns the time until the next one is due.
func (v *View) sendReport(ctx context.Context) time.Duration {
	req := v.buildReport()
	began, asOf := time.Now(), v.cfg.Now()
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	res, err := controlapi.Call[controlapi.ReportRequest, controlapi.ReportResponse](call, v.cfg.Client,
		controlapi.ProcedureReport, 0, req)
	if err != nil {
		// followLeader logs the lost contact. The next report contains the loads and waiting requests again.
		v.restoreArrivals(req)
		return reportRetryDelay
	}
	others, err := res.OtherHosts()
	if err != nil {
		v.cfg.Log.Error(logLoads, zap.Error(err))
		return reportRetryDelay
	}
	waiting, err := res.Waiting.Unpack()
	if err != nil {
		v.cfg.Log.Error(logLoads, zap.Error(err))
		return reportRetryDelay
	}
	waiting.AsOf = asOf
	v.cfg.Client.SetSearchingHosts(res.Entries)
	slack := v.cfg.Budget.Slack * budgetShare / float64(max(res.Entries, 1))
	v.mu.Lock()
	defer v.mu.Unlock()
	// Half of the interval has passed on average since the other hosts reported, and half of it will until this host's next report.
	v.balancer.SetOtherHostsLoad(others, max(res.Interval, minReportInterval))
	v.loadsAsOf = asOf
	v.policy.SetOthers(waiting)
	v.expectLoads(time.Now(), res.Expected)
	v.draw = rand.Float64()
	v.wakeWaiting(time.Now())
	v.balancer.SetHosts(res.Entries)
	v.idleReports = len(req.Loads) == 0
	if v.evidence.Apply(time.Now(), began, req.Crashes, res.Crashes) {
		v.triggerReport()
	}
	v.entryHosts = res.Entries
	v.budget.SetLimits(slack/2/v.cfg.Budget.Window.Seconds(), max(slack/2, 1))
	return max(res.Interval, minReportInterval)
}

func (v *View) buildReport() *controlapi.ReportRequest {
	v.mu.Lock()
	defer v.mu.Unlock()
	req := &controlapi.ReportRequest{
		Ready: v.ready && v.table != nil,
		Entry: controlapi.Entry{Host: v.cfg.Self, Address: v.cfg.Address, Region: v.cfg.Place.Region, DataCentre: v.cfg.Place.DataCentre,
			Cores: v.cfg.Cores, LinkMbps: v.cfg.LinkMbps},
	}
	for id, l := range v.balancer.Loads(time.Now()) {
		load := controlapi.Load{Instance: id, Active: l.Active, Prompt: l.Prompt, Held: l.Held, TimeRatio: float32(l.TimeRatio), Unreachable: l.Unreachable}
		for t, n := range l.Targets {
			if t.Model != "" {
				load.Targets = append(load.Targets, controlapi.TargetLoad{Target: t, Active: n})
			}
		}
		req.Loads = append(req.Loads, load)
	}
	for k, a := range v.arrivals {
		d := residency.Demand{Service: k.service, Target: k.target, Arrivals: a.count, Prompt: a.prompt}
		if w := v.waiting[k]; w != nil {
			d.Waiting, d.TopPriority = w.count, w.topPriority
		}
		req.Demands = append(req.Demands, d)
	}
	for k, w := range v.waiting {
		if v.arrivals[k].count == 0 {
			req.Demands = append(req.Demands, residency.Demand{Service: k.service, Target: k.target, Software: k.software, Waiting: w.count, TopPriority: w.topPriority})
		}
	}
	for class, w := range v.policy.Summary(time.Now()) {
		req.Waiting = append(req.Waiting, controlapi.WaitingWork{Class: class, Work: w})
	}
	req.Leaving, req.Limits = v.unreportedLeaving(), v.unreportedLimits(time.Now())
	clear(v.arrivals)
	req.Crashes = v.evidence.Report(time.Now())
	return req
}

// restoreArrivals adds the arrivals of a report that has failed to the next one. If the leader has received it all the same, the
// demand is overstated for a few seconds, which costs less than demand that nobody hears of.
func (v *View) restoreArrivals(req *controlapi.ReportRequest) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, d := range req.Demands {
		if d.Arrivals > 0 {
			k := demandKey{service: d.Service, target: d.Target}
			a := v.arrivals[k]
			v.arrivals[k] = arrivals{a.count + d.Arrivals, a.prompt + d.Prompt}
		}
	}
}

// triggerReport makes the next report go out immediately.
func (v *View) triggerReport() {
	select {
	case v.reportNow <- struct{}{}:
	default:
	}
}

// setReady sets whether this host accepts new callers and reports it.
func (v *View) setReady(ready bool) {
	v.mu.Lock()
	v.ready = ready
	v.mu.Unlock()
	v.triggerReport()
}
