package services

import (
	"context"
	"io"
	"time"

	"github.com/joomcode/errorx"
	"github.com/valyala/fasthttp"

	"toucanway/core/fleet"
	"toucanway/io/backend"
)

// Errors is the namespace of this package's errors.
var Errors = errorx.NewNamespace("services")

// ErrTooLarge means that the answer exceeds MaxAnswerBytes.
var ErrTooLarge = Errors.NewType("too-large")

// MaxAnswerBytes bounds the answer of a plain service.
const MaxAnswerBytes = 8 << 20

const headerRequestID = "X-Request-Id"

// Client calls plain services; it is safe for concurrent use.
type Client struct {
	pool *backend.Pool
}

// NewClient returns a client over a pool of connections.
func NewClient(p *backend.Pool) *Client { return &Client{pool: p} }

// Call is one call of a plain service.
type Call struct {
	Address     string
	Request     fleet.RequestID
	Method      string
	Path        string
	ContentType string
	Body        []byte
	// NonIdempotent is set if the call may not be repeated. It is then sent on a new connection, since the server may have closed
	// a reused one.
	NonIdempotent bool
	// IdleTimeout is the longest time without a byte before the call counts as lost.
	IdleTimeout time.Duration
}

// Answer is the complete answer of a service.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
}

// Do sends a call and reads its complete answer. Errors are backend.ErrNotSent, backend.ErrLost and ErrTooLarge;
// after any of them except backend.ErrNotSent the call may have run.
func (c *Client) Do(ctx context.Context, call Call) (Answer, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.Header.SetMethod(call.Method)
	req.Header.SetContentType(call.ContentType)
	req.Header.Set(headerRequestID, string(call.Request))
	req.SetRequestURI("http://" + call.Address + call.Path)
	req.SetBody(call.Body)
	x, err := c.pool.Do(ctx, call.Address, req, backend.Options{
		IdleTimeout: call.IdleTimeout, NewConnection: call.NonIdempotent,
		Match: func(h *fasthttp.ResponseHeader) backend.Match {
			return backend.MatchID(fleet.RequestID(h.Peek(headerRequestID)), call.Request)
		},
	})
	if err != nil {
		return Answer{}, err
	}
	defer x.Close()
	body, err := io.ReadAll(io.LimitReader(x, MaxAnswerBytes+1))
	if err != nil {
		return Answer{}, backend.ErrLost.Wrap(err, "answer of service at %s ended early", call.Address)
	}
	if len(body) > MaxAnswerBytes {
		return Answer{}, ErrTooLarge.New("service at %s answered more than %d bytes", call.Address, MaxAnswerBytes)
	}
	return Answer{Status: x.Response.StatusCode(), ContentType: string(x.Response.Header.ContentType()), Body: body}, nil
}
