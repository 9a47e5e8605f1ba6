package operators

import "toucanway/core/schema"

// Paths of the interface.
const (
	PathDocument    = "/v1/document"
	PathHistory     = "/v1/document/history"
	PathDiff        = "/v1/document/diff"
	PathStatus      = "/v1/status"
	PathHosts       = "/v1/hosts"
	PathBackends    = "/v1/backend-servers"
	PathModels      = "/v1/models"
	PathDrain       = "/v1/drain"
	PathWatch       = "/v1/watch"
	PathMetrics     = "/v1/metrics"
	PathTextMetrics = "/metrics"
	PathHealth      = "/health"
	PathReadiness   = "/readiness"
	PathProfiles    = "/debug/pprof/"
)

// DocumentAnswer is an accepted document; Text is set only for the newest one.
type DocumentAnswer struct {
	Version  uint64   `json:"version"`
	Base     uint64   `json:"base"`
	Digest   string   `json:"digest"`
	Operator string   `json:"operator,omitempty"`
	Sections []string `json:"sections"`
	Text     string   `json:"text,omitempty"`
}

// HistoryAnswer lists accepted documents, oldest first, without texts.
type HistoryAnswer struct {
	Documents []DocumentAnswer `json:"documents"`
}

// SubmitRequest is a changed document: either the whole text, or hunks relative to the base and the digest of the result.
type SubmitRequest struct {
	Base   uint64        `json:"base"`
	Text   string        `json:"text,omitempty"`
	Digest string        `json:"digest,omitempty"`
	Hunks  []HunkRequest `json:"hunks,omitempty"`
}

// HunkRequest replaces the lines from start (inclusive, counted from 0) to end (exclusive) of the base. Lines include their
// line endings.
type HunkRequest struct {
	Start int      `json:"start"`
	End   int      `json:"end"`
	Lines []string `json:"lines"`
}

// SubmitAnswer reports which version is in force. Unchanged means that the submitted text was already in force.
type SubmitAnswer struct {
	Version      uint64   `json:"version"`
	Sections     []string `json:"sections"`
	Repeated     bool     `json:"repeated,omitempty"`
	Unchanged    bool     `json:"unchanged,omitempty"`
	ExpiredHosts []string `json:"expired-hosts,omitempty"`
}

// DiffRequest is a text to compare with the document in force.
type DiffRequest struct {
	Text string `json:"text"`
}

// DiffAnswer is the difference from the document in force. NotOwned lists changed sections that the operator does not own.
type DiffAnswer struct {
	Version  uint64           `json:"version"`
	Sections []string         `json:"sections"`
	NotOwned []string         `json:"not-owned,omitempty"`
	Hunks    []HunkRequest    `json:"hunks"`
	Problems []schema.Problem `json:"problems,omitempty"`
}

// StatusAnswer is the state of the deployment as seen by the host that answers.
type StatusAnswer struct {
	Host            string        `json:"host"`
	Version         uint64        `json:"version"`
	Digest          string        `json:"digest"`
	Applied         uint64        `json:"applied"`
	Leader          string        `json:"leader,omitempty"`
	LeaseValid      bool          `json:"lease-valid"`
	Hosts           int           `json:"hosts"`
	BackendServers  int           `json:"backend-servers"`
	ReadyReplicas   int           `json:"ready-replicas"`
	LoadingReplicas int           `json:"loading-replicas"`
	InDoubtReplicas int           `json:"in-doubt-replicas"`
	Waiting         int           `json:"waiting"`
	Unmet           []UnmetAnswer `json:"unmet"`
}

// UnmetAnswer is a bound of the document that is not met now.
type UnmetAnswer struct {
	Section string `json:"section"`
	Subject string `json:"subject"`
	Bound   string `json:"bound"`
	Want    string `json:"want"`
	Have    string `json:"have"`
	Reason  string `json:"reason"`
}

// HostsAnswer lists hosts.
type HostsAnswer struct {
	Hosts []HostAnswer `json:"hosts"`
}

// HostAnswer is one host.
type HostAnswer struct {
	ID            string `json:"id"`
	Incarnation   uint64 `json:"incarnation"`
	Address       string `json:"address"`
	CallerAddress string `json:"caller-address"`
	Region        string `json:"region"`
	DataCentre    string `json:"data-centre"`
	Rack          string `json:"rack,omitempty"`
	LeaseValid    bool   `json:"lease-valid"`
	Draining      bool   `json:"draining,omitempty"`
	Voter         bool   `json:"voter,omitempty"`
	Leader        bool   `json:"leader,omitempty"`
	Applied       uint64 `json:"applied"`
	Version       uint64 `json:"version"`
	Owned         int    `json:"owned-backend-servers"`
	Waiting       int    `json:"waiting"`
}

// BackendsAnswer lists backend servers.
type BackendsAnswer struct {
	Backends []BackendAnswer `json:"backend-servers"`
}

// BackendAnswer is one backend server; memory is in bytes.
type BackendAnswer struct {
	ID          string   `json:"id"`
	Kind        string   `json:"kind"`
	Incarnation uint64   `json:"incarnation"`
	Address     string   `json:"address"`
	Region      string   `json:"region"`
	DataCentre  string   `json:"data-centre"`
	Rack        string   `json:"rack,omitempty"`
	State       string   `json:"state"`
	Owner       string   `json:"owner,omitempty"`
	Fence       uint64   `json:"fence"`
	Memory      int64    `json:"memory"`
	Used        int64    `json:"used"`
	Slots       int      `json:"slots"`
	Running     int      `json:"running"`
	Queued      int      `json:"queued"`
	Models      []string `json:"models,omitempty"`
	Services    []string `json:"services,omitempty"`
	ChecksFence bool     `json:"checks-fence"`
}

// ModelsAnswer lists models.
type ModelsAnswer struct {
	Models []ModelAnswer `json:"models"`
}

// ModelAnswer is one model; memory is in bytes.
type ModelAnswer struct {
	ID               string          `json:"id"`
	Version          string          `json:"version"`
	Memory           int64           `json:"memory"`
	Target           int             `json:"target"`
	MinReplicas      int             `json:"min-replicas"`
	MaxReplicas      int             `json:"max-replicas"`
	Waiting          int             `json:"waiting"`
	Replicas         []ReplicaAnswer `json:"replicas"`
	DeclaredAdapters int             `json:"declared-adapters"`
	LoadedAdapters   []AdapterAnswer `json:"loaded-adapters"`
}

// ReplicaAnswer is one replica that the planner decided on.
type ReplicaAnswer struct {
	Order         uint64 `json:"order"`
	BackendServer string `json:"backend-server"`
	Version       string `json:"version"`
	State         string `json:"state"`
	Role          string `json:"role"`
}

// AdapterAnswer is one adapter that is loaded somewhere.
type AdapterAnswer struct {
	ID             string   `json:"id"`
	Memory         int64    `json:"memory"`
	BackendServers []string `json:"backend-servers"`
}

// DrainRequest names what to drain: a host or a backend server.
type DrainRequest struct {
	Host          string `json:"host,omitempty"`
	BackendServer string `json:"backend-server,omitempty"`
}

// DrainAnswer confirms that a drain has started.
type DrainAnswer struct {
	Draining string `json:"draining"`
}

// EventAnswer is one event, a line of the watch stream.
type EventAnswer struct {
	Index   uint64 `json:"index,omitempty"`
	Kind    string `json:"kind"`
	Subject string `json:"subject,omitempty"`
	Detail  string `json:"detail,omitempty"`
}

// StateAnswer answers health and readiness checks.
type StateAnswer struct {
	State string `json:"state"`
}

// ErrorAnswer is the body of every answer with a status of 400 or above.
type ErrorAnswer struct {
	Error Error `json:"error"`
}
