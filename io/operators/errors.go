package operators

import (
	"context"
	"errors"
	"strings"

	"github.com/joomcode/errorx"
	"github.com/valyala/fasthttp"

	"toucanway/core/config"
	"toucanway/core/control"
	"toucanway/core/schema"
)

// Errors is the namespace of errors that arise in the client and are not answers of a host.
var Errors = errorx.NewNamespace("operators")

// ErrProtocol reports an answer that does not come from this interface or is of an incompatible version.
var ErrProtocol = Errors.NewType("protocol")

// Code is the stable kebab-case code of an error of this interface.
type Code string

// Codes of errors.
const (
	CodeBadRequest       Code = "bad-request"
	CodeUnauthorized     Code = "unauthorized"
	CodeNoFirstOperator  Code = "no-first-operator"
	CodeNotOwner         Code = "not-owner"
	CodeNotFound         Code = "not-found"
	CodeMethodNotAllowed Code = "method-not-allowed"
	CodeConflict         Code = "conflict"
	CodeUnknownBase      Code = "unknown-base"
	CodeInvalidDocument  Code = "invalid-document"
	CodeDigestMismatch   Code = "digest-mismatch"
	CodeTooLarge         Code = "too-large"
	CodeUnknown          Code = "unknown"
	CodeRejected         Code = "rejected"
	CodeUnavailable      Code = "unavailable"
	CodeOutcomeUnknown   Code = "outcome-unknown"
	CodeInternal         Code = "internal"
)

var httpStatus = map[Code]int{
	CodeBadRequest:       fasthttp.StatusBadRequest,
	CodeUnauthorized:     fasthttp.StatusUnauthorized,
	CodeNoFirstOperator:  fasthttp.StatusUnauthorized,
	CodeNotOwner:         fasthttp.StatusForbidden,
	CodeNotFound:         fasthttp.StatusNotFound,
	CodeMethodNotAllowed: fasthttp.StatusMethodNotAllowed,
	CodeConflict:         fasthttp.StatusConflict,
	CodeUnknownBase:      fasthttp.StatusConflict,
	CodeInvalidDocument:  fasthttp.StatusUnprocessableEntity,
	CodeDigestMismatch:   fasthttp.StatusUnprocessableEntity,
	CodeTooLarge:         fasthttp.StatusRequestEntityTooLarge,
	CodeUnknown:          fasthttp.StatusNotFound,
	CodeRejected:         fasthttp.StatusConflict,
	CodeUnavailable:      fasthttp.StatusServiceUnavailable,
	CodeOutcomeUnknown:   fasthttp.StatusGatewayTimeout,
	CodeInternal:         fasthttp.StatusInternalServerError,
}

// Error is an error of this interface, as answered by the server and returned by the client.
type Error struct {
	Code    Code   `json:"code"`
	Message string `json:"message"`
	// Version is the version in force; it is set in conflicts.
	Version uint64 `json:"version,omitempty"`
	// Sections are the sections in conflict, or those that the operator does not own.
	Sections []string         `json:"sections,omitempty"`
	Problems []schema.Problem `json:"problems,omitempty"`
}

// Error returns the code, the message and one line for each problem.
func (e *Error) Error() string {
	out := string(e.Code) + ": " + e.Message
	if len(e.Problems) > 0 {
		out += "\n" + schema.Problems(e.Problems).Error()
	}
	return out
}

// Unavailable reports that the system cannot answer now; Message includes the remedy.
type Unavailable struct{ Message string }

// Error returns the message.
func (u *Unavailable) Error() string { return u.Message }

// Unknown reports that something that the operator named does not exist; Message includes the remedy.
type Unknown struct{ Message string }

// Error returns the message.
func (u *Unknown) Error() string { return u.Message }

// apiError converts an error of the System into an error of the interface.
func apiError(err error) *Error {
	var (
		answered    *Error
		rejection   *control.Rejection
		notOwner    *config.NotOwner
		problems    schema.Problems
		unavailable *Unavailable
		unknown     *Unknown
	)
	switch {
	case errors.As(err, &answered):
		return answered
	case errors.As(err, &rejection):
		return rejectionError(rejection.Result)
	case errors.As(err, &notOwner):
		return &Error{Code: CodeNotOwner, Message: notOwner.Error(), Sections: config.SectionNames(notOwner.Sections)}
	case errors.As(err, &problems):
		return &Error{Code: CodeInvalidDocument, Message: "the document is not valid; correct the problems and submit again", Problems: problems}
	case errors.As(err, &unavailable):
		return &Error{Code: CodeUnavailable, Message: unavailable.Message}
	case errors.As(err, &unknown):
		return &Error{Code: CodeUnknown, Message: unknown.Message}
	case errors.Is(err, context.DeadlineExceeded), errors.Is(err, context.Canceled):
		return &Error{Code: CodeOutcomeUnknown, Message: "the host did not get an answer in time; the request may have taken effect, and it is safe to send it again"}
	default:
		return &Error{Code: CodeInternal, Message: "internal error; see the host's log: " + err.Error()}
	}
}

// requestError converts an error of a request with the given method. A read that got no answer in time has changed nothing.
func requestError(method string, err error) *Error {
	e := apiError(err)
	if e.Code == CodeOutcomeUnknown && method == fasthttp.MethodGet {
		return &Error{Code: CodeUnavailable, Message: "the host did not get an answer in time; ask again, or ask another host"}
	}
	return e
}

// rejectionError converts a rejection by the control state into an error of the interface.
func rejectionError(r control.Result) *Error {
	switch r.Reason {
	case control.RejectConflict:
		return conflictError(uint64(r.Version), r.Sections)
	case control.RejectDigest:
		return &Error{Code: CodeDigestMismatch, Message: r.Message}
	case control.RejectLimit:
		return &Error{Code: CodeTooLarge, Message: r.Message}
	case control.RejectUnknown:
		return &Error{Code: CodeUnknown, Message: r.Message}
	case control.RejectStaleFence, control.RejectMemory, control.RejectReplicaTarget, control.RejectDuplicate, control.RejectState,
		control.RejectIncarnation, control.RejectUndecodable, control.RejectOwnerDraining:
		return &Error{Code: CodeRejected, Message: string(r.Reason) + ": " + r.Message}
	default:
		return &Error{Code: CodeRejected, Message: string(r.Reason) + ": " + r.Message}
	}
}

func conflictError(version uint64, sections []string) *Error {
	cause := "other operators changed sections that are no longer on record"
	if len(sections) > 0 {
		cause = "other operators changed " + strings.Join(sections, ", ")
	}
	return &Error{
		Code: CodeConflict, Version: version, Sections: sections,
		Message: cause + " since the base was read; use submit --rebase when your change is in other sections, or else read the document again",
	}
}
