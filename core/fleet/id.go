package fleet

import (
	"fmt"
	"strings"
)

// HostID is the name of an entry host from its settings file.
type HostID string

// Incarnation distinguishes the successive processes of one host or backend server; later ones have higher numbers.
type Incarnation uint64

// BackendID is the name under which a backend server announces itself.
type BackendID string

// BackendIncarnation identifies one incarnation of a backend server.
type BackendIncarnation struct {
	Backend     BackendID   `cbor:"1,keyasint"`
	Incarnation Incarnation `cbor:"2,keyasint"`
}

// SoftwareVersion is the version of a backend server's software, not of the weights that it holds.
type SoftwareVersion string

// ModelID names a base model, as declared in the configuration document.
type ModelID string

// AdapterID names an adapter of one model; empty means the base model alone.
type AdapterID string

// ServiceID names a plain service, as declared in the configuration document.
type ServiceID string

// TenantID names the organisation or team that callers belong to and that is billed.
type TenantID string

// AccountID names a client account of a routed deployment, which owns keys and may have a quota.
type AccountID string

// CallerID names a caller, as declared in the configuration document.
type CallerID string

// OperatorID names an operator, as declared in the configuration document.
type OperatorID string

// Region names a region.
type Region string

// DataCentre names a data centre; names are unique across regions.
type DataCentre string

// Rack names a rack within a data centre.
type Rack string

// RequestID is the id of one caller's request, returned in X-Request-Id.
type RequestID string

// OrderID identifies an order to a backend server. Orders for models have the log index of a change of the replica's record as
// their id; the owner of the backend server numbers orders for adapters.
type OrderID uint64

// GrantID identifies a capacity grant under one owner's fence.
type GrantID uint64

// Fence is a fencing token. It is a log index of the control group and thus never decreases.
type Fence uint64

// Index is a position in a replicated log, starting at 1.
type Index uint64

// DocumentVersion counts accepted configuration documents, starting at 1.
type DocumentVersion uint64

// ModelVersion is the version of a model's weights.
type ModelVersion string

// Fingerprint is a hash of a request's tenant, target and body. A repeated request has the same one.
type Fingerprint uint64

// Bytes is an amount of memory or traffic in bytes.
type Bytes int64

// MaxClockDrift is the largest relative difference in rate between the monotonic clocks of two hosts.
const MaxClockDrift = 0.01

// Units of Bytes.
const (
	KiB Bytes = 1 << 10
	MiB Bytes = 1 << 20
	GiB Bytes = 1 << 30
)

// Tokens is a count of tokens.
type Tokens int64

// Class is a priority class; lower values are served first.
type Class int

// Priority classes in order of service.
const (
	ClassCritical Class = iota
	ClassInteractive
	ClassStandard
	ClassBatch
	// NumClasses is the number of priority classes.
	NumClasses = 4
)

var classNames = [NumClasses]string{"critical", "interactive", "standard", "batch"}

// String returns the class's name in the configuration document.
func (c Class) String() string {
	if c < 0 || int(c) >= NumClasses {
		return fmt.Sprintf("class-%d", int(c))
	}
	return classNames[c]
}

// ParseClass returns the class with the given name, and whether there is one.
func ParseClass(name string) (Class, bool) {
	for i, n := range classNames {
		if n == name {
			return Class(i), true
		}
	}
	return 0, false
}

// Target is the model, or the adapter of a model, to which a request is addressed.
type Target struct {
	Model   ModelID   `cbor:"1,keyasint"`
	Adapter AdapterID `cbor:"2,keyasint,omitempty"`
}

// String returns the name that callers use, MODEL or MODEL:ADAPTER.
func (t Target) String() string {
	if t.Adapter == "" {
		return string(t.Model)
	}
	return string(t.Model) + ":" + string(t.Adapter)
}

// ParseTarget splits a name that a caller uses into model and adapter.
func ParseTarget(name string) Target {
	m, a, _ := strings.Cut(name, ":")
	return Target{Model: ModelID(m), Adapter: AdapterID(a)}
}

// Place is the location of a host or backend server.
type Place struct {
	Region     Region     `cbor:"1,keyasint" json:"region"`
	DataCentre DataCentre `cbor:"2,keyasint" json:"data-centre"`
	Rack       Rack       `cbor:"3,keyasint,omitempty" json:"rack,omitempty"`
}
