package controlapi

import (
	"time"

	"toucanway/core/balance"
	"toucanway/core/crashes"
	"toucanway/core/fanout"
	"toucanway/core/fleet"
	"toucanway/core/registry"
	"toucanway/core/residency"
	"toucanway/core/routes"
	"toucanway/io/hosts"
)

// Procedures of the leader of the control group.
const (
	ProcedureLead      = "/controller.v1/Lead"
	ProcedureFollow    = "/controller.v1/Follow"
	ProcedurePlace     = "/controller.v1/Place"
	ProcedureReport    = "/controller.v1/Report"
	ProcedureHeartbeat = "/controller.v1/Heartbeat"
	ProcedureRenew     = "/controller.v1/Renew"
	ProcedureLeave     = "/controller.v1/Leave"
	ProcedureReplace   = "/controller.v1/Replace"
	ProcedureRead      = "/controller.v1/Read"
)

// Reply is the common part of all responses.
type Reply struct {
	Status hosts.Status `cbor:"1,keyasint,omitempty"`
	// Leader names the leader if it is known and Status is StatusNotLeader.
	Leader fleet.HostID `cbor:"2,keyasint,omitempty"`
}

func (r Reply) reply() Reply { return r }

// LeadRequest asks whether the host leads the control group.
type LeadRequest struct{}

// LeadResponse has StatusOK if the host leads.
type LeadResponse struct {
	Reply Reply `cbor:"1,keyasint,omitempty"`
}

func (r *LeadResponse) reply() Reply { return r.Reply }

// Position identifies the state of the leader up to which a host is up to date.
type Position struct {
	// Term is the leader's term; revisions of different terms can't be compared.
	Term uint64 `cbor:"1,keyasint,omitempty"`
	// Backends is the revision of the registry, Entries that of the list of entry hosts.
	Backends uint64 `cbor:"2,keyasint,omitempty"`
	Entries  uint64 `cbor:"3,keyasint,omitempty"`
	// Configuration is the version in force on the host.
	Configuration routes.Version `cbor:"4,keyasint,omitempty"`
	// Mirrors is the revision of the list of mirrors.
	Mirrors uint64 `cbor:"5,keyasint,omitempty"`
	// HasConfiguration is set if a configuration is in force on the host. Its version may be 0.
	HasConfiguration bool `cbor:"6,keyasint,omitempty"`
}

// HasNewerConfiguration reports whether the configuration at a position is newer than that of a host.
func (p Position) HasNewerConfiguration(host Position) bool {
	return p.Configuration > host.Configuration || p.HasConfiguration && !host.HasConfiguration && host.Configuration == 0
}

// FollowRequest asks for the changes after a position.
type FollowRequest struct {
	Position Position `cbor:"1,keyasint"`
	// Hold is the longest time that the leader waits for a change before it answers.
	Hold time.Duration `cbor:"2,keyasint"`
	// Entries is set to receive the list of entry hosts, too.
	Entries bool `cbor:"3,keyasint,omitempty"`
	// Mirror is set by members of the control group, which can tell entry hosts of the changes.
	Mirror *fanout.Mirror `cbor:"4,keyasint,omitempty"`
	// Direct is set by an entry host that asks the leader since no mirror that the leader has named answers.
	Direct bool `cbor:"5,keyasint,omitempty"`
	// Crashes is the state of crashes that the host has.
	Crashes crashes.Revision `cbor:"6,keyasint,omitempty"`
}

// Entry is an entry host that accepts callers' requests.
type Entry struct {
	Host       fleet.HostID     `cbor:"1,keyasint"`
	Address    string           `cbor:"2,keyasint"`
	Region     fleet.Region     `cbor:"3,keyasint"`
	DataCentre fleet.DataCentre `cbor:"4,keyasint"`
	// Cores and LinkMbps say what the host can bear; 0 if it is not known.
	Cores    float64 `cbor:"5,keyasint,omitempty"`
	LinkMbps float64 `cbor:"6,keyasint,omitempty"`
}

// FollowResponse contains the changes up to a new position.
type FollowResponse struct {
	Reply    Reply    `cbor:"1,keyasint,omitempty"`
	Position Position `cbor:"2,keyasint"`
	// Complete is set if Instances lists all instances that the leader knows and the leader has led long enough to have received
	// a heartbeat from every backend server that can reach it.
	Complete  bool                `cbor:"3,keyasint,omitempty"`
	Instances []registry.Instance `cbor:"4,keyasint,omitempty"`
	// Configuration is compressed; it is empty if the version hasn't changed.
	Configuration []byte `cbor:"5,keyasint,omitempty"`
	// Entries replaces the list of entry hosts if its revision has changed.
	Entries []Entry `cbor:"6,keyasint,omitempty"`
	// Members lists the voters of the control group.
	Members []fleet.HostID `cbor:"7,keyasint,omitempty"`
	// AsOf is the time after the arrival of the request up to which the answer is complete; it is negative for a time before.
	AsOf time.Duration `cbor:"9,keyasint,omitempty"`
	// Leader is the host that leads the control group.
	Leader fleet.HostID `cbor:"10,keyasint,omitempty"`
	// Mirrors replaces the list of members that can tell entry hosts of changes, if its revision has changed.
	Mirrors []fanout.Mirror `cbor:"11,keyasint,omitempty"`
	// MirrorsOnly is set if the entry host should follow one of Mirrors; the answer tells nothing else.
	MirrorsOnly bool `cbor:"12,keyasint,omitempty"`
	// EntriesPerDataCentre is the number of entry hosts of each data centre that callers are told of; it is sent with Entries.
	EntriesPerDataCentre int `cbor:"8,keyasint,omitempty"`
	// Crashes is set if contents were listed since the state that the follower has.
	Crashes *crashes.State `cbor:"13,keyasint,omitempty"`
}

func (r *FollowResponse) reply() Reply { return r.Reply }

// Load is the load of the requests that one host has in flight at a backend server.
type Load struct {
	Instance fleet.BackendID `cbor:"1,keyasint"`
	// Active is the number of requests, Targets the number by model and adapter.
	Active int `cbor:"2,keyasint,omitempty"`
	// Prompt is the number of prompt tokens of requests without a first event.
	Prompt  fleet.Tokens `cbor:"3,keyasint,omitempty"`
	Targets []TargetLoad `cbor:"4,keyasint,omitempty"`
	// Unreachable is set if the host can't reach the backend server at present.
	Unreachable bool `cbor:"5,keyasint,omitempty"`
	// Held is the number of tokens for which the backend server needs memory until these requests have ended.
	Held fleet.Tokens `cbor:"6,keyasint,omitempty"`
	// TimeRatio is the ratio of the backend server's times to the expected ones, if the host has measured it since its last report.
	TimeRatio float32 `cbor:"7,keyasint,omitempty"`
}

// TargetLoad is the number of requests in flight for one model and adapter.
type TargetLoad struct {
	Target fleet.Target `cbor:"1,keyasint"`
	Active int          `cbor:"2,keyasint"`
}

// ReportRequest is an entry host's report to the leader.
type ReportRequest struct {
	Entry Entry `cbor:"1,keyasint"`
	// Ready is set if the host accepts new callers.
	Ready   bool               `cbor:"2,keyasint,omitempty"`
	Loads   []Load             `cbor:"3,keyasint,omitempty"`
	Demands []residency.Demand `cbor:"4,keyasint,omitempty"`
	// Leaving lists the incarnations of backend servers that have told this host that they leave and that the leader has not
	// reported as draining yet.
	Leaving []fleet.BackendIncarnation `cbor:"8,keyasint,omitempty"`
	// Limits lists what backend servers have told this host about their rate limits and the leader has not reported yet.
	Limits []LimitNotice `cbor:"9,keyasint,omitempty"`
	// Waiting is the work that waits at this host for room at servers that could run it.
	Waiting []WaitingWork `cbor:"10,keyasint,omitempty"`
	// Crashes tells of crashes of backend servers; nil if there is nothing to tell.
	Crashes *crashes.Report `cbor:"5,keyasint,omitempty"`
}

// LimitNotice is what a backend server has said about its rate limit.
type LimitNotice struct {
	Backend     fleet.BackendID   `cbor:"1,keyasint"`
	Incarnation fleet.Incarnation `cbor:"2,keyasint"`
	Limit       fleet.RateLimit   `cbor:"3,keyasint,omitzero"`
	// Age is the time since the answer that named the limit, or since the request was sent whose answer named none.
	Age time.Duration `cbor:"4,keyasint,omitempty"`
}

// ReportResponse contains the load of the other hosts.
type ReportResponse struct {
	Reply Reply `cbor:"1,keyasint,omitempty"`
	// Loads is the total load of all other hosts; backend servers without load are left out.
	Loads PackedLoads `cbor:"2,keyasint,omitempty"`
	// Entries is the number of entry hosts, among which the retry budget is divided.
	Entries int `cbor:"3,keyasint,omitempty"`
	// Interval is the time until the next report, unless one is triggered earlier.
	Interval time.Duration `cbor:"4,keyasint,omitempty"`
	// Waiting is the work that waits for room at all other hosts; classes without any are left out.
	Waiting PackedWork `cbor:"6,keyasint,omitempty"`
	// Expected lists the models for which requests wait at the host and of which a load is under way.
	Expected []ExpectedLoad `cbor:"7,keyasint,omitempty"`
	// Crashes lists the contents of requests that crash backend servers; nil if the host has the state already.
	Crashes *crashes.State `cbor:"5,keyasint,omitempty"`
	// Held lists the tokens that the requests of all other hosts hold in the memory of each backend server, in the place of Prompt.
	Held PackedLoads `cbor:"6,keyasint,omitempty"`
	// Ratios lists the time ratios of backend servers that are slower or faster than expected, in percent in the place of Active.
	Ratios PackedLoads `cbor:"7,keyasint,omitempty"`
}

// OtherHosts unpacks the load of all other hosts and the time ratios.
func (r *ReportResponse) OtherHosts() (balance.OtherHostsLoad, error) {
	loads, err := r.Loads.Unpack()
	if err != nil {
		return nil, err
	}
	held, err := r.Held.Unpack()
	if err != nil {
		return nil, err
	}
	ratios, err := r.Ratios.Unpack()
	if err != nil {
		return nil, err
	}
	return func(id fleet.BackendID) balance.TotalLoad {
		l := loads(id)
		l.Held, l.TimeRatio = held(id).Prompt, float64(ratios(id).Active)/100
		return l
	}, nil
}

// ExpectedLoad is the time in which a load that is under way is expected to end.
type ExpectedLoad struct {
	Service fleet.ServiceID `cbor:"1,keyasint"`
	Model   fleet.ModelID   `cbor:"2,keyasint"`
	In      time.Duration   `cbor:"3,keyasint,omitempty"`
}

func (r *ReportResponse) reply() Reply { return r.Reply }

// HeartbeatRequest forwards a heartbeat of a backend server.
type HeartbeatRequest struct {
	Heartbeat registry.Heartbeat `cbor:"1,keyasint"`
}

// Renewal stands for a heartbeat without changes.
type Renewal struct {
	Instance    fleet.BackendID   `cbor:"1,keyasint"`
	Incarnation fleet.Incarnation `cbor:"2,keyasint"`
	Seq         uint64            `cbor:"3,keyasint"`
}

// RenewRequest forwards heartbeats without changes since the complete one that the calling host has forwarded before.
type RenewRequest struct {
	Renewals []Renewal `cbor:"1,keyasint"`
}

// RenewResponse lists the instances that the leader doesn't know; their next heartbeat must be forwarded completely.
type RenewResponse struct {
	Reply   Reply             `cbor:"1,keyasint,omitempty"`
	Unknown []fleet.BackendID `cbor:"2,keyasint,omitempty"`
}

func (r *RenewResponse) reply() Reply { return r.Reply }

// LeaveRequest reports that a backend server has left.
type LeaveRequest struct {
	Instance    fleet.BackendID   `cbor:"1,keyasint"`
	Incarnation fleet.Incarnation `cbor:"2,keyasint,omitempty"`
}

// HeartbeatResponse acknowledges a HeartbeatRequest or a LeaveRequest.
type HeartbeatResponse struct {
	Reply Reply `cbor:"1,keyasint,omitempty"`
}

func (r *HeartbeatResponse) reply() Reply { return r.Reply }

// ReplaceRequest submits a checked configuration.
type ReplaceRequest struct {
	Version routes.Version `cbor:"1,keyasint"`
	// Data is compressed.
	Data []byte `cbor:"2,keyasint"`
}

// ReplaceResponse confirms that this configuration or one with a higher version is in force.
type ReplaceResponse struct {
	Reply Reply `cbor:"1,keyasint,omitempty"`
}

func (r *ReplaceResponse) reply() Reply { return r.Reply }

// ReadRequest asks for the newest configuration, unless its version is the one that the calling host already has.
type ReadRequest struct {
	KnownVersion routes.Version `cbor:"1,keyasint,omitempty"`
	// Known is set if the calling host has a configuration.
	Known bool `cbor:"2,keyasint,omitempty"`
}

// ReadResponse contains the newest configuration.
type ReadResponse struct {
	Reply   Reply          `cbor:"1,keyasint,omitempty"`
	Version routes.Version `cbor:"2,keyasint,omitempty"`
	// Data is compressed; it is empty if the calling host already has the version.
	Data []byte `cbor:"3,keyasint,omitempty"`
}

func (r *ReadResponse) reply() Reply { return r.Reply }
