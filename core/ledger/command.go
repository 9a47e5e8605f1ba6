package ledger

import (
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/joomcode/errorx"

	"toucanway/core/fleet"
)

// Errors is the namespace of this package's errors.
var Errors = errorx.NewNamespace("ledger")

// ErrCorrupt reports data that this version can't decode as a command, result or snapshot.
var ErrCorrupt = Errors.NewType("corrupt")

// Key identifies one non-idempotent request and its repetitions.
type Key struct {
	Tenant fleet.TenantID `cbor:"1,keyasint"`
	Key    string         `cbor:"2,keyasint"`
}

// Attempt identifies one host's attempt to run a request; Number increases within one incarnation of the host.
type Attempt struct {
	Host        fleet.HostID      `cbor:"1,keyasint"`
	Incarnation fleet.Incarnation `cbor:"2,keyasint"`
	Number      uint64            `cbor:"3,keyasint"`
}

// Answer is the stored answer of a request that ran.
type Answer struct {
	Status      int    `cbor:"1,keyasint"`
	ContentType string `cbor:"2,keyasint"`
	Body        []byte `cbor:"3,keyasint"`
	// Dropped is set if the body was not stored, because it exceeded MaxAnswerBytes or all stored bodies together would have
	// exceeded maxBodyBytes.
	Dropped bool `cbor:"4,keyasint,omitempty"`
}

// Command is a change of the ledger; the types below are all of them.
type Command interface{ isCommand() }

// Dispatch requests the right to run a request; only the first attempt gets it.
type Dispatch struct {
	Key         Key               `cbor:"1,keyasint"`
	Fingerprint fleet.Fingerprint `cbor:"2,keyasint"`
	Attempt     Attempt           `cbor:"3,keyasint"`
}

// Complete stores the answer of a dispatched request.
type Complete struct {
	Key     Key     `cbor:"1,keyasint"`
	Attempt Attempt `cbor:"2,keyasint"`
	Answer  Answer  `cbor:"3,keyasint"`
}

// Abandon declares that an attempt has not run and never will: a dispatch of the same attempt that commits later fails.
type Abandon struct {
	Key         Key               `cbor:"1,keyasint"`
	Fingerprint fleet.Fingerprint `cbor:"2,keyasint"`
	Attempt     Attempt           `cbor:"3,keyasint"`
}

// MarkUnknown declares that an attempt was sent and that its outcome can't be determined.
type MarkUnknown struct {
	Key     Key     `cbor:"1,keyasint"`
	Attempt Attempt `cbor:"2,keyasint"`
}

// CloseHost declares unknown the outcome of every unanswered request that an ended incarnation of a host, or an earlier one,
// dispatched.
type CloseHost struct {
	Host        fleet.HostID      `cbor:"1,keyasint"`
	Incarnation fleet.Incarnation `cbor:"2,keyasint"`
}

// Advance adds elapsed time of the leader's clock, deletes records older than the retention and sets the maximum number of
// records.
type Advance struct {
	Elapsed    time.Duration `cbor:"1,keyasint"`
	Retention  time.Duration `cbor:"2,keyasint"`
	MaxRecords int           `cbor:"3,keyasint,omitempty"`
}

func (*Dispatch) isCommand()    {}
func (*Complete) isCommand()    {}
func (*Abandon) isCommand()     {}
func (*MarkUnknown) isCommand() {}
func (*CloseHost) isCommand()   {}
func (*Advance) isCommand()     {}

// envelope is the encoded form of a command; exactly one field is set.
type envelope struct {
	Dispatch    *Dispatch    `cbor:"1,keyasint,omitempty"`
	Complete    *Complete    `cbor:"2,keyasint,omitempty"`
	Abandon     *Abandon     `cbor:"3,keyasint,omitempty"`
	MarkUnknown *MarkUnknown `cbor:"4,keyasint,omitempty"`
	CloseHost   *CloseHost   `cbor:"5,keyasint,omitempty"`
	Advance     *Advance     `cbor:"6,keyasint,omitempty"`
}

// Encode returns the encoded form of a command.
func Encode(c Command) ([]byte, error) {
	var e envelope
	switch c := c.(type) {
	case *Dispatch:
		e.Dispatch = c
	case *Complete:
		e.Complete = c
	case *Abandon:
		e.Abandon = c
	case *MarkUnknown:
		e.MarkUnknown = c
	case *CloseHost:
		e.CloseHost = c
	case *Advance:
		e.Advance = c
	default:
		return nil, ErrCorrupt.New("command %T has no encoded form; add it to the envelope", c)
	}
	return cbor.Marshal(e)
}

// Decode decodes a command.
func Decode(data []byte) (Command, error) {
	var e envelope
	if err := cbor.Unmarshal(data, &e); err != nil {
		return nil, ErrCorrupt.Wrap(err, "log entry cannot be decoded as a ledger command; another version wrote it")
	}
	switch {
	case e.Dispatch != nil:
		return e.Dispatch, nil
	case e.Complete != nil:
		return e.Complete, nil
	case e.Abandon != nil:
		return e.Abandon, nil
	case e.MarkUnknown != nil:
		return e.MarkUnknown, nil
	case e.CloseHost != nil:
		return e.CloseHost, nil
	case e.Advance != nil:
		return e.Advance, nil
	}
	return nil, ErrCorrupt.New("log entry holds an unknown ledger command; upgrade this host")
}

// Verdict is the kind of outcome of a command.
type Verdict int

// Verdicts of ledger commands.
const (
	// VerdictAccepted means that the command took effect; a Dispatch may now be sent.
	VerdictAccepted Verdict = iota
	// VerdictRunning means that another attempt was dispatched and has not ended.
	VerdictRunning
	// VerdictAnswered means that the stored answer is in the result.
	VerdictAnswered
	// VerdictUnknown means that an attempt was dispatched and its outcome is not known.
	VerdictUnknown
	// VerdictMismatch means that the key was used with another body.
	VerdictMismatch
	// VerdictAbandoned means that the same attempt was abandoned before.
	VerdictAbandoned
	// VerdictFull means that the ledger has its maximum number of records, or the record that of abandoned attempts.
	VerdictFull
	// VerdictStale means that the command changed nothing: it can't be decoded or doesn't match the record's state.
	VerdictStale
)

var verdictNames = [...]string{"accepted", "running", "answered", "unknown", "mismatch", "abandoned", "full", "stale"}

// String returns the verdict's name.
func (v Verdict) String() string {
	if v < 0 || int(v) >= len(verdictNames) {
		return fmt.Sprintf("verdict-%d", int(v))
	}
	return verdictNames[v]
}

// Result is the outcome of a ledger command.
type Result struct {
	Verdict Verdict `cbor:"1,keyasint"`
	Answer  *Answer `cbor:"2,keyasint,omitempty"`
	// Attempt is the attempt that was dispatched last.
	Attempt Attempt `cbor:"3,keyasint,omitempty"`
}

// DecodeResult decodes a result that Machine.Apply returned.
func DecodeResult(data []byte) (Result, error) {
	var r Result
	if err := cbor.Unmarshal(data, &r); err != nil {
		return Result{}, ErrCorrupt.Wrap(err, "result of a ledger command cannot be decoded; upgrade this host")
	}
	return r, nil
}
