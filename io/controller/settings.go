package controller

import (
	"context"
	"time"

	"github.com/joomcode/errorx"
	"go.uber.org/zap"

	"toucanway/core/fleet"
	"toucanway/core/holdoff"
	"toucanway/core/quota"
	"toucanway/core/residency"
	"toucanway/core/routes"
	"toucanway/io/controlapi"
	"toucanway/io/formation"
	"toucanway/io/metrics"
)

// Errors is the namespace of this package's errors.
var Errors = errorx.NewNamespace("controller")

var (
	// ErrInvalid reports an invalid configuration; nothing was changed.
	ErrInvalid = Errors.NewType("invalid")
	// ErrUnavailable reports that this host cannot read or change the state now; the call may be repeated at any host.
	ErrUnavailable = Errors.NewType("unavailable")
	// ErrRejected reports a call that no host can serve.
	ErrRejected = Errors.NewType("rejected")
)

// Parser decodes configurations; the platform's adapter implements it.
type Parser interface {
	Configuration(data []byte) (*routes.Configuration, error)
}

// Engines calls model engines; the platform's adapter implements it. The context bounds each call.
type Engines interface {
	// Order sends an order if permitted, which is called immediately before the order is written, returns true. Both methods also
	// return what the answer says about further requests to the engine.
	Order(ctx context.Context, o residency.Order, fence fleet.Fence, holder fleet.HostID, permitted func() bool) (residency.Outcome, holdoff.Notice)
	Report(ctx context.Context, p residency.Probe) (residency.Report, holdoff.Notice, error)
}

// Settings of a Controller; all but the durations are required. The durations have no defaults: 0 is used as it is.
type Settings struct {
	Self fleet.HostID
	// Region is the region of this host.
	Region fleet.Region
	// ControlAddress is the address that backend servers and operators use.
	ControlAddress string
	Group          *formation.Group
	Client         *controlapi.Client
	Parser         Parser
	Engines        Engines
	Planner        residency.Settings
	Log            *zap.Logger
	Metrics        *metrics.Registry
	// SaveIsOrderer stores for the next start whether this host is the one that sends orders to engines. An error only makes that
	// start slower.
	SaveIsOrderer func(bool) error
	// Now must include the time for which the host was suspended.
	Now func() time.Time
	// OrderHandover is the time that a new leader waits before it orders engines to which another host may have sent orders.
	OrderHandover time.Duration
	// QuotaTolerance bounds by how much the requests of a client account may exceed its quota.
	QuotaTolerance quota.Tolerance
	// AddressLifetime is the time for which callers may cache the addresses of entry hosts.
	AddressLifetime time.Duration
}

// Timing of a controller.
const (
	planInterval = 100 * time.Millisecond
	// planRestFactor is the length of the rest after each planning pass, as a multiple of the duration of the pass.
	planRestFactor = 4
	// recordCheckInterval is the interval of the checks for replicated records that are no longer needed.
	recordCheckInterval = time.Second
	// publishInterval is the interval at which the loaded models of all engines are published; those of changed engines are
	// published immediately.
	publishInterval = time.Second
	// orderTimeout bounds an order; an engine answers immediately or not at all.
	orderTimeout = time.Second
	// unloadNotice is the time between the publication of an unload to the entry hosts and the order to the engine.
	unloadNotice = 50 * time.Millisecond
	// maxMissedReports is the number of reports that an entry host may miss, and reportSlack the time by which a report may be
	// late, before the host is dropped.
	maxMissedReports = 2
	reportSlack      = 1200 * time.Millisecond
	// minReportInterval and maxReportInterval bound the interval of an entry host's reports. Between them the interval is
	// reportIntervalPerHost times the number of entry hosts, so that the leader's work doesn't grow with their number.
	minReportInterval     = 100 * time.Millisecond
	maxReportInterval     = time.Second
	reportIntervalPerHost = 3 * time.Millisecond
	// packedLoadSize is the typical size in bytes of the packed load of one backend server.
	packedLoadSize = 8
	// mirrorCollectTime is the time for which changes are collected before a mirror is told of them. Before an entry host is told of them,
	// they are collected for collectTimePerFollower times the number of hosts that follow this one, but at most for maxCollectTime.
	mirrorCollectTime      = 10 * time.Millisecond
	collectTimePerFollower = time.Millisecond
	maxCollectTime         = 500 * time.Millisecond
	// maxMirrorAge is the age from which a mirror answers no entry hosts, since the leader may have changed the state meanwhile. They wait
	// for it to be current again before they ask another member: for the Hold of their call, but at least for minMirrorWait and at most for
	// maxMirrorWait. A host that asks for an answer at once leaves its mirror only for a better reason.
	maxMirrorAge  = 1200 * time.Millisecond
	minMirrorWait = 300 * time.Millisecond
	maxMirrorWait = 500 * time.Millisecond
	// mirrorTimeout is the time after the last call of a mirror at which entry hosts are no longer told of it.
	mirrorTimeout = 3 * time.Second
	// firstHeartbeatsTime is the time after which a new leader has received a heartbeat from every backend server that can reach
	// it.
	firstHeartbeatsTime = 4 * time.Second
	// followHold is the time for which a member of the group lets the leader delay an answer.
	followHold = 500 * time.Millisecond
	// maxHold bounds the Hold of a FollowRequest.
	maxHold = 5 * time.Second
	// callTimeout bounds calls that backend servers and operators wait for; they time out after a second.
	callTimeout = 900 * time.Millisecond
	// handoverMargin is added to OrderHandover for orders of the previous leader that are still in transit.
	handoverMargin = 500 * time.Millisecond
)
