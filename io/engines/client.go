package engines

import (
	"context"
	"encoding/json"
	"io"
	"strconv"
	"time"

	"github.com/joomcode/errorx"
	"github.com/valyala/fasthttp"

	"toucanway/core/fleet"
	"toucanway/io/backend"
)

// Errors is the namespace of this package's errors.
var Errors = errorx.NewNamespace("engines")

var (
	// ErrRefused means that the engine has stated that it did not run a request and never will.
	ErrRefused = Errors.NewType("refused")
	// ErrFailed means that the engine answered with an error that leaves open whether the request has run.
	ErrFailed = Errors.NewType("failed")
	// ErrProtocol means that an answer does not have the form that engines send.
	ErrProtocol = Errors.NewType("protocol")
	// ErrMisdelivered means that a piece of the answer to another request was received.
	ErrMisdelivered = Errors.NewType("misdelivered")
)

// Headers of requests to engines.
const (
	headerRequestID  = "X-Request-Id"
	headerFence      = "X-Fence"
	headerPriority   = "X-Priority"
	headerResumeFrom = "X-Resume-From"
)

const (
	inventoryTimeout  = 2 * time.Second
	cancelTimeout     = 2 * time.Second
	maxInventoryBytes = 4 << 20
	maxErrorBytes     = 4 << 10
)

// Client calls model engines; it is safe for concurrent use.
type Client struct {
	pool *backend.Pool
}

// NewClient returns a client over a pool of connections.
func NewClient(p *backend.Pool) *Client { return &Client{pool: p} }

// Completion is one attempt to run a completion on an engine.
type Completion struct {
	Address  string
	Request  fleet.RequestID
	Fence    fleet.Fence
	Priority fleet.Class
	// ResumeFrom is the number of tokens that the caller has received; the engine's answer starts with the next one.
	ResumeFrom int
	Chat       bool
	// Body is an OpenAI-style request with streaming enabled.
	Body []byte
	// IdleTimeout is the longest time without a token before the stream counts as lost.
	IdleTimeout time.Duration
}

// Complete sends a request and returns its stream once the engine has accepted it. Errors are backend.ErrNotSent, backend.ErrLost,
// ErrRefused and ErrFailed.
func (c *Client) Complete(ctx context.Context, call Completion) (*Stream, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.SetContentType("application/json")
	req.Header.Set(headerRequestID, string(call.Request))
	req.Header.Set(headerFence, strconv.FormatUint(uint64(call.Fence), 10))
	req.Header.Set(headerPriority, strconv.Itoa(int(call.Priority)))
	if call.ResumeFrom > 0 {
		req.Header.Set(headerResumeFrom, strconv.Itoa(call.ResumeFrom))
	}
	path := "/v1/completions"
	if call.Chat {
		path = "/v1/chat/completions"
	}
	req.SetRequestURI("http://" + call.Address + path)
	req.SetBody(call.Body)
	x, err := c.pool.Do(ctx, call.Address, req, backend.Options{IdleTimeout: call.IdleTimeout})
	if err != nil {
		return nil, err
	}
	if code := x.Response.StatusCode(); code != fasthttp.StatusOK {
		// The request may be sent to this engine again, and a second copy of the refusal on the same connection would bear its id.
		defer x.Abort()
		return nil, answerError(call.Address, code, readErrorText(x), call.Request)
	}
	return newStream(x, call.Request, call.ResumeFrom, call.IdleTimeout), nil
}

// Cancel asks an engine to cancel a request.
func (c *Client) Cancel(ctx context.Context, address string, id fleet.RequestID) error {
	ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
	defer cancel()
	req, err := newPost(address, "/v1/cancel", cancelBody{Request: id})
	if err != nil {
		return err
	}
	defer fasthttp.ReleaseRequest(req)
	return c.exchange(ctx, address, req, nil, cancelTimeout)
}

type cancelBody struct {
	Request fleet.RequestID `json:"request"`
}

// Inventory returns the models and adapters in an engine's memory and the requests that it runs. The request carries the owner's
// fencing token.
func (c *Client) Inventory(ctx context.Context, address string, fence fleet.Fence) (fleet.Inventory, error) {
	ctx, cancel := context.WithTimeout(ctx, inventoryTimeout)
	defer cancel()
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.SetRequestURI("http://" + address + "/v1/inventory")
	req.Header.Set(headerFence, strconv.FormatUint(uint64(fence), 10))
	var inv fleet.Inventory
	err := c.exchange(ctx, address, req, &inv, inventoryTimeout)
	return inv, err
}

type orderAnswer struct {
	Order fleet.OrderID `json:"order"`
	// Outcome is nil in an answer that states none.
	Outcome *fleet.OrderOutcome `json:"outcome"`
	Message string              `json:"message"`
}

// Order sends an order to an engine and waits for its outcome, at most until the order's deadline. If the outcome is not
// OrderDone, the error says why. An answer that does not state the outcome of this order leaves it in doubt, whatever its status.
func (c *Client) Order(ctx context.Context, address string, o fleet.Order) (fleet.OrderOutcome, error) {
	ctx, cancel := context.WithTimeout(ctx, o.Deadline)
	defer cancel()
	req, err := newPost(address, "/v1/orders", o)
	if err != nil {
		return fleet.OrderFailed, err
	}
	defer fasthttp.ReleaseRequest(req)
	status, data, err := c.do(ctx, address, req, backend.Options{IdleTimeout: o.Deadline})
	if errorx.IsOfType(err, backend.ErrNotSent) {
		return fleet.OrderFailed, err
	}
	if err != nil {
		return fleet.OrderInDoubt, err
	}
	var a orderAnswer
	if err := json.Unmarshal(data, &a); err != nil || a.Outcome == nil {
		return fleet.OrderInDoubt, ErrProtocol.New("engine at %s answered order %d with status %d and no outcome; check its version", address, o.ID, status)
	}
	switch {
	case a.Order != o.ID:
		return fleet.OrderInDoubt, ErrMisdelivered.New("engine at %s answered order %d with that of %d", address, o.ID, a.Order)
	case *a.Outcome == fleet.OrderDone && status == fasthttp.StatusOK:
		return fleet.OrderDone, nil
	case *a.Outcome == fleet.OrderDone:
		return fleet.OrderInDoubt, ErrProtocol.New("engine at %s answered order %d with status %d and the outcome %s", address, o.ID, status, *a.Outcome)
	}
	return *a.Outcome, ErrRefused.New("engine at %s: %s", address, a.Message)
}

func newPost(address, path string, body any) (*fasthttp.Request, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	req := fasthttp.AcquireRequest()
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.SetContentType("application/json")
	req.SetRequestURI("http://" + address + path)
	req.SetBody(data)
	return req, nil
}

// exchange sends a request on a connection of its own and decodes its answer: the answer names no request, so that a late copy of an
// earlier one could not be told from it. Errors are those of do, ErrRefused, ErrFailed and ErrProtocol.
func (c *Client) exchange(ctx context.Context, address string, req *fasthttp.Request, answer any, idleTimeout time.Duration) error {
	status, data, err := c.do(ctx, address, req, backend.Options{IdleTimeout: idleTimeout, NewConnection: true})
	if err != nil {
		return err
	}
	if status != fasthttp.StatusOK {
		return answerError(address, status, string(data[:min(len(data), maxErrorBytes)]), "")
	}
	if answer == nil {
		return nil
	}
	if err := json.Unmarshal(data, answer); err != nil {
		return ErrProtocol.Wrap(err, "engine at %s sent an invalid answer; check its version", address)
	}
	return nil
}

// do sends a request and returns the status and the body of its answer. Errors are backend.ErrNotSent and backend.ErrLost.
func (c *Client) do(ctx context.Context, address string, req *fasthttp.Request, o backend.Options) (int, []byte, error) {
	x, err := c.pool.Do(ctx, address, req, o)
	if err != nil {
		return 0, nil, err
	}
	defer x.Close()
	data, err := io.ReadAll(io.LimitReader(x, maxInventoryBytes))
	if err != nil {
		return 0, nil, backend.ErrLost.Wrap(err, "answer of engine at %s ended early", address)
	}
	return x.Response.StatusCode(), data, nil
}

// answerError returns ErrRefused if the body of an error answer states that the request was not run, and names the request if id is
// set. Otherwise it returns ErrFailed: the status alone says nothing about execution, and an answer that does not name the request
// may be the late answer to an earlier one on the same connection.
func answerError(address string, status int, text string, id fleet.RequestID) error {
	var body struct {
		Error struct {
			Execution fleet.Execution `json:"execution"`
			RequestID fleet.RequestID `json:"request_id"`
		} `json:"error"`
	}
	err := json.Unmarshal([]byte(text), &body)
	if err == nil && body.Error.Execution == fleet.NotRun && (id == "" || body.Error.RequestID == id) {
		return ErrRefused.New("engine at %s answered %d: %s", address, status, text)
	}
	return ErrFailed.New("engine at %s answered %d and the request may have run: %s", address, status, text)
}

// readErrorText returns the first maxErrorBytes of an error answer.
func readErrorText(r io.Reader) string {
	data, err := io.ReadAll(io.LimitReader(r, maxErrorBytes))
	if err != nil && len(data) == 0 {
		return err.Error()
	}
	return string(data)
}
