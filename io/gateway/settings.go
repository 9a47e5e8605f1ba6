package gateway

import (
	"cmp"
	"time"

	"github.com/joomcode/errorx"
	"go.uber.org/zap"

	"toucanway/core/buffers"
	"toucanway/core/fleet"
	"toucanway/io/backend"
	"toucanway/io/controlapi"
	"toucanway/io/metrics"
)

// Errors is the namespace of this package's errors.
var Errors = errorx.NewNamespace("gateway")

// Budget is the retry budget of all entry hosts together.
type Budget struct {
	// Ratio is the number of retries allowed for each request, Slack the number of further retries in each Window.
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
	// Now must include the time for which the host was suspended.
	Now func() time.Time
	// ConfigurationTime is the time after its acknowledgement from which a configuration must be in force.
	ConfigurationTime time.Duration
	// KeyRevocation is the time after its acknowledgement from which a configuration without a key must keep requests with the key from
	// running on this host; 0 means that there is no bound.
	KeyRevocation time.Duration
	// Cores and LinkMbps say what the host can bear; 0 if it is not known.
	Cores    float64
	LinkMbps float64
	// Buffers bounds the memory of the requests and answers that are not complete yet.
	Buffers *buffers.Budget
	// GracePeriod is the time from a request to shut down to the end of the process.
	GracePeriod time.Duration
	Log         *zap.Logger
	Metrics     *metrics.Registry
}

// Times and bounds of a gateway.
const (
	// reportRetryDelay is the delay after a failed report.
	reportRetryDelay = 250 * time.Millisecond
	// minReportInterval is the shortest time between two reports.
	minReportInterval = 10 * time.Millisecond
	// followHold is the time for which a member of the control group may delay its answer while nothing changes.
	followHold = time.Second
	// confirmHold is that time while this host may not serve client accounts, or once a member has failed to answer. holdShare divides
	// KeyRevocation to get the longest one at other times. With a KeyRevocation of 5 s, the last confirmation is then 1.1 s old at most in
	// normal operation, and accounts are served without a break while four members in a row fail to answer.
	confirmHold = 50 * time.Millisecond
	holdShare   = 10
	callTimeout = 2 * time.Second
	// placeTimeout bounds a call that asks the leader where to send a request with a long prompt. After a call without an answer
	// this host chooses by itself for placeRetryDelay.
	placeTimeout    = 60 * time.Millisecond
	placeRetryDelay = 500 * time.Millisecond
	// grantTimeout bounds a call that asks the leader for the grant of a request to a server with a rate limit.
	grantTimeout = 300 * time.Millisecond
	// connectTimeout bounds a new connection to a backend server.
	connectTimeout = 400 * time.Millisecond
	// After a rejection, requests for the same target aren't sent to the server for busyRetryDelay if the server was busy, for
	// example loading an adapter, or could not be connected to, and for notLoadedRetryDelay if it hasn't loaded the target.
	busyRetryDelay      = 30 * time.Millisecond
	notLoadedRetryDelay = time.Second
	// maxRejections bounds the remembered rejections.
	maxRejections = 4096
	// configurationTimeout is how long a request waits for the first configuration of this host.
	configurationTimeout = 1500 * time.Millisecond
	// accountsWait is how long a request with a key waits for the control group to confirm that the key is still valid. A host that was
	// suspended hears from the group within a round trip and confirmHold.
	accountsWait = 400 * time.Millisecond
	// retryAfter is the retry delay sent to refused callers.
	retryAfter = 500 * time.Millisecond
	// poisonRetryAfter is the shortest retry delay sent for requests with content that crashes servers.
	poisonRetryAfter = 5 * time.Second
	// Callers abandon a stream that makes no event for the longest of minStreamWait, objectiveWaitFactor times the route's
	// Objective and gapWaitFactor times its GapObjective. A stream that can go on at another server does so after this time
	// divided by stallShare.
	minStreamWait       = 2 * time.Second
	objectiveWaitFactor = 4
	gapWaitFactor       = 8
	stallShare          = 2
	// refusalMargin is how long before that time a waiting request is refused.
	refusalMargin = 250 * time.Millisecond
	// writeTimeout bounds each write to a caller, writeBlock the bytes of a complete answer that are written at once. A caller that
	// reads less than writeBlock within writeTimeout loses the answer, so that it doesn't hold memory for ever.
	writeTimeout = 5 * time.Second
	writeBlock   = 16 << 10
	// drainAcceptTime is the time for which a draining host still accepts requests, since callers learn of the drain late.
	drainAcceptTime = 2500 * time.Millisecond
	// lastRequestTime is how long a draining host that accepts no more connections still reads from those without a request.
	lastRequestTime = 100 * time.Millisecond
	// lateReadTime is how long after drainAcceptTime a request may still have been read completely.
	lateReadTime = 500 * time.Millisecond
	// drainReserve is the part of the grace period that is reserved for the last answers and the end of the process.
	drainReserve = time.Second
	// maxRejectionBytes and rejectionTimeout bound the body of an answer that rejects a request without running it.
	maxRejectionBytes = 4 << 10
	rejectionTimeout  = 100 * time.Millisecond
	// maxAnswer bounds the size of an answer that is buffered until it is complete.
	maxAnswer = 8 << 20
	// answerChunk is the size of the pieces in which such an answer is kept, so that it is not copied as it grows.
	answerChunk = 32 << 10
)

// orDefault returns a value of a configuration, or the default for one that is 0 or less.
func orDefault[T cmp.Ordered](value, otherwise T) T {
	var zero T
	if value > zero {
		return value
	}
	return otherwise
}
