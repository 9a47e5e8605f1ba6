package fleet

import (
	"fmt"
	"time"
)

// Code is the stable kebab-case code of a refusal.
type Code string

// Codes of refusals; docs/refusals.md gives the remedy for each.
const (
	CodeBadRequest          Code = "bad-request"
	CodeUnauthorized        Code = "unauthorized"
	CodeUnknownModel        Code = "unknown-model"
	CodeUnknownService      Code = "unknown-service"
	CodeDeadlineTooShort    Code = "deadline-too-short"
	CodeDeadlineExceeded    Code = "deadline-exceeded"
	CodeQueueFull           Code = "queue-full"
	CodeNoCapacity          Code = "no-capacity"
	CodeLoadFailed          Code = "load-failed"
	CodePoisonRequest       Code = "poison-request"
	CodeIdempotencyMismatch Code = "idempotency-mismatch"
	CodeOutcomeUnknown      Code = "outcome-unknown"
	CodeStillRunning        Code = "still-running"
	CodeLedgerUnavailable   Code = "ledger-unavailable"
	CodeLedgerFull          Code = "ledger-full"
	CodeHostDraining        Code = "host-draining"
	CodeConfigurationStale  Code = "configuration-stale"
	CodeBackendFailed       Code = "backend-failed"
	CodeTooLarge            Code = "too-large"
)

// Execution says whether a refused request has run.
type Execution string

// States of execution.
const (
	NotRun     Execution = "not-run"
	MayHaveRun Execution = "may-have-run"
	Running    Execution = "running"
)

// Refusal is the answer to a request that is not served. It states whether the request may have run. RetryAfter is the suggested
// delay before a retry; 0 means that none is suggested.
type Refusal struct {
	Code       Code          `cbor:"1,keyasint"`
	Message    string        `cbor:"2,keyasint"`
	Execution  Execution     `cbor:"3,keyasint"`
	RetryAfter time.Duration `cbor:"4,keyasint"`
}

// Error returns the code, the execution state and the message.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s (%s): %s", r.Code, r.Execution, r.Message)
}

// Refuse returns a refusal of a request that did not run.
func Refuse(code Code, retryAfter time.Duration, format string, args ...any) *Refusal {
	return &Refusal{Code: code, Message: fmt.Sprintf(format, args...), Execution: NotRun, RetryAfter: retryAfter}
}
