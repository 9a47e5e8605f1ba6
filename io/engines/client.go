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
	// ErrRefused means that the engine refused a request before running it.
	ErrRefused = Errors.NewType("refused")
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
	// IdleTimeout is the longest time without an event before the stream counts as lost.
	IdleTimeout time.Duration
}

// Complete sends a request and returns its stream once the engine has accepted it. Errors are backend.ErrNotSent, backend.ErrLost
// and ErrRefused.
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
		defer x.Close()
		return nil, ErrRefused.New("engine at %s answered %d: %s", call.Address, code, readErrorText(x))
	}
	return newStream(x, call.Request, call.ResumeFrom), nil
}

// Cancel asks an engine to cancel a request.
func (c *Client) Cancel(ctx context.Context, address string, id fleet.RequestID) error {
	ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
	defer cancel()
	return c.post(ctx, address, "/v1/cancel", cancelBody{Request: id}, nil, cancelTimeout)
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
	Order   fleet.OrderID      `json:"order"`
	Outcome fleet.OrderOutcome `json:"outcome"`
	Message string             `json:"message"`
}

// Order sends an order to an engine and waits for its outcome, at most until the order's deadline. If the outcome is not
// OrderDone, the error says why.
func (c *Client) Order(ctx context.Context, address string, o fleet.Order) (fleet.OrderOutcome, error) {
	ctx, cancel := context.WithTimeout(ctx, o.Deadline)
	defer cancel()
	var a orderAnswer
	err := c.post(ctx, address, "/v1/orders", o, &a, o.Deadline)
	switch {
	case errorx.IsOfType(err, backend.ErrNotSent):
		return fleet.OrderFailed, err
	case errorx.IsOfType(err, ErrRefused):
		return fleet.OrderRefused, err
	case err != nil:
		return fleet.OrderInDoubt, err
	case a.Order != o.ID:
		return fleet.OrderInDoubt, ErrMisdelivered.New("engine at %s answered order %d with that of %d", address, o.ID, a.Order)
	case a.Outcome != fleet.OrderDone:
		return a.Outcome, ErrRefused.New("engine at %s: %s", address, a.Message)
	}
	return fleet.OrderDone, nil
}

func (c *Client) post(ctx context.Context, address, path string, body, answer any, idleTimeout time.Duration) error {
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.SetContentType("application/json")
	req.SetRequestURI("http://" + address + path)
	req.SetBody(data)
	return c.exchange(ctx, address, req, answer, idleTimeout)
}

func (c *Client) exchange(ctx context.Context, address string, req *fasthttp.Request, answer any, idleTimeout time.Duration) error {
	x, err := c.pool.Do(ctx, address, req, backend.Options{IdleTimeout: idleTimeout})
	if err != nil {
		return err
	}
	defer x.Close()
	if code := x.Response.StatusCode(); code != fasthttp.StatusOK {
		return ErrRefused.New("engine at %s answered %d: %s", address, code, readErrorText(x))
	}
	data, err := io.ReadAll(io.LimitReader(x, maxInventoryBytes))
	if err != nil {
		return backend.ErrLost.Wrap(err, "answer of engine at %s ended early", address)
	}
	if answer == nil {
		return nil
	}
	if err := json.Unmarshal(data, answer); err != nil {
		return ErrProtocol.Wrap(err, "engine at %s sent an invalid answer; check its version", address)
	}
	return nil
}

// readErrorText returns the first maxErrorBytes of an error answer.
func readErrorText(r io.Reader) string {
	data, err := io.ReadAll(io.LimitReader(r, maxErrorBytes))
	if err != nil && len(data) == 0 {
		return err.Error()
	}
	return string(data)
}
