package operators

import (
	"context"

	"toucanway/core/config"
	"toucanway/core/control"
	"toucanway/core/fleet"
	"toucanway/io/metrics"
)

// System is the part of the daemon that operators can access. Its methods are safe for concurrent use and return when ctx
// ends. Errors of type *control.Rejection, *Unavailable and *Unknown are reported to the operator as such, others as
// internal errors.
type System interface {
	// Document returns the newest accepted document that this host knows, or a zero document.
	Document(ctx context.Context) (control.Document, error)
	// History returns the accepted documents that are still on record, oldest first.
	History(ctx context.Context) ([]control.Document, error)
	// Submit proposes a document and returns once it is in force on every host with a valid lease. A submission with the
	// base and digest of an accepted document is a repetition: it is proposed as well and gets the first answer.
	Submit(ctx context.Context, c *control.SubmitDocument) (Submission, error)
	// Status returns the state of the deployment as seen by this host.
	Status(ctx context.Context) (Status, error)
	// Hosts returns all hosts with a session.
	Hosts(ctx context.Context) ([]Host, error)
	// Backends returns all registered backend servers.
	Backends(ctx context.Context) ([]Backend, error)
	// Models returns the models of the document in force.
	Models(ctx context.Context) ([]Model, error)
	// Drain starts a graceful shutdown of a host, or stops new work on a backend server. Repeating it changes nothing.
	Drain(ctx context.Context, d Drain) error
	// Watch calls each for the changes after a log index, oldest first, until ctx ends or each returns an error. It returns
	// *Unknown if the log no longer contains the changes after the index.
	Watch(ctx context.Context, after fleet.Index, each func(Event) error) error
	// Health returns nil unless the process should be restarted.
	Health() error
	// Ready returns nil if the host accepts new work.
	Ready() error
	// Metrics returns the registry of the host.
	Metrics() *metrics.Registry
}

// Submission is the outcome of a proposed document.
type Submission struct {
	Result control.Result
	// Expired are the hosts whose lease expired before they reported the document.
	Expired []fleet.HostID
}

// Status is the state of the deployment as seen by one host. Ready, Loading and InDoubt count replicas: loads that are decided or
// sent count as loading, lost replicas as in doubt. Waiting counts the requests in flight at this host, whether they wait or run.
type Status struct {
	Host       fleet.HostID
	Version    fleet.DocumentVersion
	Digest     string
	Applied    fleet.Index
	Leader     fleet.HostID
	LeaseValid bool
	Hosts      int
	Backends   int
	Ready      int
	Loading    int
	InDoubt    int
	Waiting    int
	Unmet      []Unmet
}

// Unmet is a bound of the document that is not met now, and the reason.
type Unmet struct {
	Section config.Section
	// Subject is what the bound is about, such as "model chat".
	Subject string
	// Bound is the key in the document, such as min-replicas.
	Bound      string
	Want, Have string
	Reason     string
}

// Host is one host with a session.
type Host struct {
	Session    control.Session
	LeaseValid bool
	Applied    fleet.Index
	Version    fleet.DocumentVersion
	Voter      bool
	Leader     bool
	Owned      int
	Waiting    int
}

// Backend is a registered backend server.
type Backend struct {
	Backend control.Backend
	// Used is the memory used by models, adapters and grants.
	Used    fleet.Bytes
	Running int
	Queued  int
	Models  []fleet.ModelID
	// Slow means that the backend server gets less traffic because of its latency.
	Slow bool
}

// Model is a declared model with its replicas.
type Model struct {
	Model    config.Model
	Target   int
	Replicas []control.Replica
	Adapters []Adapter
	Waiting  int
}

// Adapter is an adapter that is loaded somewhere.
type Adapter struct {
	ID       fleet.AdapterID
	Memory   fleet.Bytes
	Backends []fleet.BackendID
}

// Drain names the host or the backend server to drain; one of the fields is set.
type Drain struct {
	Host    fleet.HostID
	Backend fleet.BackendID
	// Operator is the operator who requested the drain.
	Operator fleet.OperatorID
}

// Event is a change of the deployment.
type Event struct {
	Index   fleet.Index
	Kind    EventKind
	Subject string
	Detail  string
}

// EventKind is the kind of object that changed.
type EventKind string

// Kinds of events.
const (
	EventDocument   EventKind = "document"
	EventHost       EventKind = "host"
	EventBackend    EventKind = "backend-server"
	EventOwner      EventKind = "owner"
	EventTarget     EventKind = "target"
	EventReplica    EventKind = "replica"
	EventPoisonMark EventKind = "poison-mark"
	// EventHeartbeat is sent by the server at a fixed interval.
	EventHeartbeat EventKind = "heartbeat"
)
