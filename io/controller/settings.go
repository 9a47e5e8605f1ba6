package controller

import (
	"context"
	"time"

	"github.com/joomcode/errorx"
	"go.uber.org/zap"

	"toucanway/core/fleet"
	"toucanway/core/residency"
	"toucanway/core/routes"
	"toucanway/io/controlapi"
	"toucanway/io/formation"
	"toucanway/io/metrics"
)

// Errors is the namespace of this package's errors.
var Errors = errorx.NewNamespace("controller")

var (
	// ErrInvalid reports a configuration that cannot come into force; nothing was changed.
	ErrInvalid = Errors.NewType("invalid")
	// ErrUnavailable reports that this host cannot tell or change the state now; the call may be repeated at any host.
	ErrUnavailable = Errors.NewType("unavailable")
	// ErrRejected reports a call that no host can carry out.
	ErrRejected = Errors.NewType("rejected")
)

// Parser reads configurations; the platform's adapter implements it.
type Parser interface {
	Configuration(data []byte) (*routes.Configuration, error)
}

// Engines speaks to model engines; the platform's adapter implements it. The context bounds each call.
type Engines interface {
	Order(ctx context.Context, o residency.Order, fence fleet.Fence, holder fleet.HostID) residency.Outcome
	Report(ctx context.Context, p residency.Probe) (residency.Report, error)
}

// Settings of a Controller; all but the durations are required.
type Settings struct {
	Self fleet.HostID
	// Control is the address that backend servers and operators use.
	Control string
	Group   *formation.Group
	Client  *controlapi.Client
	Parser  Parser
	Engines Engines
	Planner residency.Settings
	Log     *zap.Logger
	Metrics *metrics.Registry
	// Ordering notes whether this host is the one that orders engines, for its next start; an error costs no more than time.
	Ordering func(bool) error
	// Now must count the time in which the host was suspended.
	Now func() time.Time
	// Handover is how long a new leader waits before it orders engines that another host may have ordered.
	Handover time.Duration
	// Lifetime is how long callers may keep the addresses of entry hosts.
	Lifetime time.Duration
}

// Timing of a controller.
const (
	planInterval = 100 * time.Millisecond
	// planRest is the rest after each look of the planner, in units of the time that the look took.
	planRest = 4
	// publishInterval is the time after which what all engines hold is looked at again, beside those that have changed.
	publishInterval = time.Second
	// orderTimeout bounds an order; an engine answers at once or not at all.
	orderTimeout = time.Second
	// unloadNotice is the time between the notice to entry hosts and the unload of a model.
	unloadNotice = 50 * time.Millisecond
	// entryMisses is the number of reports that an entry host may miss, and entrySlack the time that one may be late, before it
	// no longer counts as present.
	entryMisses = 2
	entrySlack  = 1200 * time.Millisecond
	// leastReport and mostReport bound the time between two reports of an entry host; reportShare is that for each host, so
	// that the leader's work doesn't grow with their number.
	leastReport = 100 * time.Millisecond
	mostReport  = time.Second
	reportShare = 3 * time.Millisecond
	// sumSize is the size in bytes that one sum of loads has as a rule.
	sumSize = 8
	// gatherShare is the time for which changes are gathered for each entry host before they are told, and mostGather its bound.
	gatherShare = 500 * time.Microsecond
	mostGather  = 50 * time.Millisecond
	// settleTime is the age of a leader at which every backend server that can has sent it a heartbeat.
	settleTime = 4 * time.Second
	// followHold is how long a member of the group lets the leader keep back an answer.
	followHold = time.Second
	maxHold    = 5 * time.Second
	// callTimeout bounds calls that backend servers and operators wait for; they give up after a second.
	callTimeout = 900 * time.Millisecond
	// handoverMargin is added to Handover for orders that are still on their way.
	handoverMargin = 500 * time.Millisecond
)
