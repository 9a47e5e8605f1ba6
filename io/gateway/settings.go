package gateway

import (
	"time"

	"github.com/joomcode/errorx"
	"go.uber.org/zap"

	"toucanway/core/fleet"
	"toucanway/io/backend"
	"toucanway/io/controlapi"
	"toucanway/io/metrics"
)

// Errors is the namespace of this package's errors.
var Errors = errorx.NewNamespace("gateway")

// Budget is the allowance of all entry hosts together to send requests again.
type Budget struct {
	// Ratio is the number of repeats for each request, Slack the number beyond that in each Window.
	Ratio  float64
	Slack  float64
	Window time.Duration
}

// Settings of a Gateway; all are required.
type Settings struct {
	Self    fleet.HostID
	Address string
	Place   fleet.Place
	// Regions maps data centres to regions.
	Regions map[fleet.DataCentre]fleet.Region
	Dialect Dialect
	Client  *controlapi.Client
	Pool    *backend.Pool
	Budget  Budget
	// Grace is the time from a request to stop to the end of the process.
	Grace   time.Duration
	Log     *zap.Logger
	Metrics *metrics.Registry
}

// Timing of a gateway.
const (
	// reportRetry is the time until the next report after one that has failed.
	reportRetry = 250 * time.Millisecond
	// hurriedInterval is the shortest time between two reports that requests wait for.
	hurriedInterval = 10 * time.Millisecond
	followHold      = 2 * time.Second
	callTimeout     = 2 * time.Second
	// placeTimeout bounds the question where a request with a long prompt goes, and placePause is how long this host chooses by
	// itself after one that was not answered.
	placeTimeout = 60 * time.Millisecond
	placePause   = 500 * time.Millisecond
	// connectTimeout bounds a new connection to a backend server.
	connectTimeout = 400 * time.Millisecond
	// busyPause and lackingPause are how long a request's target isn't sent to a server that has rejected it because it was
	// busy, as while an adapter is loaded, or because it doesn't hold the target.
	busyPause    = 30 * time.Millisecond
	lackingPause = time.Second
	// maxLacks bounds the rejections that are remembered.
	maxLacks = 4096
	// startPatience is how long a request waits at a host that doesn't know a configuration yet.
	startPatience = 1500 * time.Millisecond
	// retryAfter is what a refused caller is told to wait.
	retryAfter = 500 * time.Millisecond
	// leastPatience, objectivePatience times the objective and gapPatience times the objective of pauses: callers leave a stream
	// without an event for the longest of these.
	leastPatience     = 2 * time.Second
	objectivePatience = 4
	gapPatience       = 8
	// patienceMargin is how long before that a request that still waits is refused.
	patienceMargin = 250 * time.Millisecond
	// writeTimeout bounds each write to a caller.
	writeTimeout = 5 * time.Second
	// drainAccept is how long a host that stops still takes requests, since callers hear of it late.
	drainAccept = 2500 * time.Millisecond
	// drainReserve is kept of the grace for the last answers and the end of the process.
	drainReserve = time.Second
	// maxAnswer bounds an answer that is held until it is whole.
	maxAnswer = 8 << 20
)
