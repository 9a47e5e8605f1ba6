package control

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/joomcode/errorx"

	"toucanway/core/fleet"
)

// Errors is the namespace of this package's errors.
var Errors = errorx.NewNamespace("control")

// ErrCorrupt reports data that this version can't decode as a command, result or snapshot.
var ErrCorrupt = Errors.NewType("corrupt")

// Proposer identifies the sender of commands. A command that is repeated after a lost answer has the same Proposal.Seq.
type Proposer struct {
	Host        fleet.HostID      `cbor:"1,keyasint"`
	Incarnation fleet.Incarnation `cbor:"2,keyasint"`
}

// Proposal is a command with its sender, as stored in the log.
type Proposal struct {
	Proposer Proposer
	Seq      uint64
	Command  Command
}

// envelope is the encoded form of a proposal; exactly one of the command fields is set.
type envelope struct {
	Proposer           Proposer            `cbor:"1,keyasint"`
	Seq                uint64              `cbor:"2,keyasint"`
	Submit             *SubmitDocument     `cbor:"10,keyasint,omitempty"`
	OpenSession        *OpenSession        `cbor:"11,keyasint,omitempty"`
	DrainSession       *DrainSession       `cbor:"12,keyasint,omitempty"`
	CloseSession       *CloseSession       `cbor:"13,keyasint,omitempty"`
	PutBackend         *PutBackend         `cbor:"14,keyasint,omitempty"`
	RemoveBackend      *RemoveBackend      `cbor:"15,keyasint,omitempty"`
	AssignOwner        *AssignOwner        `cbor:"16,keyasint,omitempty"`
	ReleaseOwner       *ReleaseOwner       `cbor:"17,keyasint,omitempty"`
	SetReplicaTarget   *SetReplicaTarget   `cbor:"18,keyasint,omitempty"`
	DecideLoad         *DecideLoad         `cbor:"19,keyasint,omitempty"`
	DecideUnload       *DecideUnload       `cbor:"20,keyasint,omitempty"`
	ReportOrder        *ReportOrder        `cbor:"21,keyasint,omitempty"`
	Settle             *SettleInventory    `cbor:"22,keyasint,omitempty"`
	RecordCrash        *RecordCrash        `cbor:"23,keyasint,omitempty"`
	DeleteCrashRecords *DeleteCrashRecords `cbor:"24,keyasint,omitempty"`
}

// Encode returns the encoded form of a proposal.
func Encode(p Proposal) ([]byte, error) {
	e := envelope{Proposer: p.Proposer, Seq: p.Seq}
	switch c := p.Command.(type) {
	case *SubmitDocument:
		e.Submit = c
	case *OpenSession:
		e.OpenSession = c
	case *DrainSession:
		e.DrainSession = c
	case *CloseSession:
		e.CloseSession = c
	case *PutBackend:
		e.PutBackend = c
	case *RemoveBackend:
		e.RemoveBackend = c
	case *AssignOwner:
		e.AssignOwner = c
	case *ReleaseOwner:
		e.ReleaseOwner = c
	case *SetReplicaTarget:
		e.SetReplicaTarget = c
	case *DecideLoad:
		e.DecideLoad = c
	case *DecideUnload:
		e.DecideUnload = c
	case *ReportOrder:
		e.ReportOrder = c
	case *SettleInventory:
		e.Settle = c
	case *RecordCrash:
		e.RecordCrash = c
	case *DeleteCrashRecords:
		e.DeleteCrashRecords = c
	default:
		return nil, ErrCorrupt.New("command %T has no encoded form; add it to the envelope", c)
	}
	return cbor.Marshal(e)
}

// Decode decodes a proposal.
func Decode(data []byte) (Proposal, error) {
	var e envelope
	if err := cbor.Unmarshal(data, &e); err != nil {
		return Proposal{}, ErrCorrupt.Wrap(err, "log entry cannot be decoded as a control command; another version wrote it")
	}
	c := e.command()
	if c == nil {
		return Proposal{}, ErrCorrupt.New("log entry holds an unknown control command; upgrade this host")
	}
	return Proposal{Proposer: e.Proposer, Seq: e.Seq, Command: c}, nil
}

func (e *envelope) command() Command {
	switch {
	case e.Submit != nil:
		return e.Submit
	case e.OpenSession != nil:
		return e.OpenSession
	case e.DrainSession != nil:
		return e.DrainSession
	case e.CloseSession != nil:
		return e.CloseSession
	case e.PutBackend != nil:
		return e.PutBackend
	case e.RemoveBackend != nil:
		return e.RemoveBackend
	case e.AssignOwner != nil:
		return e.AssignOwner
	case e.ReleaseOwner != nil:
		return e.ReleaseOwner
	case e.SetReplicaTarget != nil:
		return e.SetReplicaTarget
	case e.DecideLoad != nil:
		return e.DecideLoad
	case e.DecideUnload != nil:
		return e.DecideUnload
	case e.ReportOrder != nil:
		return e.ReportOrder
	case e.Settle != nil:
		return e.Settle
	case e.RecordCrash != nil:
		return e.RecordCrash
	case e.DeleteCrashRecords != nil:
		return e.DeleteCrashRecords
	}
	return nil
}

// Reason is the kebab-case reason of a rejected command.
type Reason string

// Reasons of rejected commands. RejectUnknown means that the command names something that is not registered or no longer exists,
// RejectReplicaTarget that the model already has its target number of replicas, RejectState that the named object is of the
// wrong kind or in the wrong state, and RejectLimit that a bound of the control state would be exceeded.
const (
	RejectConflict      Reason = "conflict"
	RejectDigest        Reason = "digest-mismatch"
	RejectStaleFence    Reason = "stale-fence"
	RejectUnknown       Reason = "unknown"
	RejectMemory        Reason = "memory-exceeded"
	RejectReplicaTarget Reason = "target-exceeded"
	RejectDuplicate     Reason = "duplicate"
	RejectLimit         Reason = "limit-exceeded"
	RejectState         Reason = "wrong-state"
	RejectIncarnation   Reason = "old-incarnation"
	RejectUndecodable   Reason = "undecodable"
	RejectOwnerDraining Reason = "owner-draining"
)

// Result is the outcome of a command; an empty Reason means that it was accepted.
type Result struct {
	Index    fleet.Index           `cbor:"1,keyasint"`
	Reason   Reason                `cbor:"2,keyasint,omitempty"`
	Message  string                `cbor:"3,keyasint,omitempty"`
	Version  fleet.DocumentVersion `cbor:"4,keyasint,omitempty"`
	Sections []string              `cbor:"5,keyasint,omitempty"`
}

// Rejection is the error form of a rejected command.
type Rejection struct{ Result Result }

// Error returns the reason and the message.
func (r *Rejection) Error() string { return string(r.Result.Reason) + ": " + r.Result.Message }

// Err returns nil for an accepted command and a *Rejection otherwise.
func (r Result) Err() error {
	if r.Reason == "" {
		return nil
	}
	return &Rejection{Result: r}
}

// DecodeResult decodes a result that Machine.Apply returned.
func DecodeResult(data []byte) (Result, error) {
	var r Result
	if err := cbor.Unmarshal(data, &r); err != nil {
		return Result{}, ErrCorrupt.Wrap(err, "result of a control command cannot be decoded; upgrade this host")
	}
	return r, nil
}
