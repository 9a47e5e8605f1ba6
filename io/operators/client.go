package operators

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"toucanway/io/backend"
	"toucanway/io/metrics"
	"toucanway/io/network"
)

// Limits of the client. A watch stream without heartbeats for watchIdleTimeout counts as broken.
const (
	maxAnswerBytes   = 32 << 20
	clientTimeout    = 20 * time.Second
	watchIdleTimeout = 4 * DefaultHeartbeat
	dialTimeout      = 2 * time.Second
)

// ClientSettings are the settings of a Client.
type ClientSettings struct {
	// Addresses are the operators' addresses of one or more hosts, IP:PORT. If a host cannot be reached, the next one is
	// tried, which is safe because every operation may be repeated.
	Addresses []string
	// Token is the operator's bearer token.
	Token string
	// TLS is the configuration of connections; nil means plain TCP.
	TLS *tls.Config
	// Dial opens connections; nil means TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Timeout bounds one request to one host; 0 means 20 s.
	Timeout time.Duration
}

// Client is a client of the operators' interface. It is safe for concurrent use. Errors that a host answers are of type
// *Error.
type Client struct {
	cfg  ClientSettings
	pool *backend.Pool
}

// NewClient returns a client.
func NewClient(cfg ClientSettings) *Client {
	if cfg.Dial == nil {
		cfg.Dial = network.TCP{}.Dial
	}
	if cfg.Timeout <= 0 {
		cfg.Timeout = clientTimeout
	}
	return &Client{cfg: cfg, pool: backend.NewPool(hostDialer{cfg})}
}

// hostDialer opens connections as the settings of a client say.
type hostDialer struct{ cfg ClientSettings }

// Dial connects to a host.
func (d hostDialer) Dial(ctx context.Context, address string) (net.Conn, error) {
	c, err := d.cfg.Dial(ctx, address)
	if err != nil || d.cfg.TLS == nil {
		return c, err
	}
	cfg := d.cfg.TLS.Clone()
	if cfg.ServerName == "" {
		if cfg.ServerName, _, err = net.SplitHostPort(address); err != nil {
			return nil, errors.Join(err, c.Close())
		}
	}
	t := tls.Client(c, cfg)
	if err := t.HandshakeContext(ctx); err != nil {
		return nil, errors.Join(err, c.Close())
	}
	return t, nil
}

// Close closes idle connections.
func (c *Client) Close() { c.pool.Close() }

// Document returns the newest accepted document.
func (c *Client) Document(ctx context.Context) (DocumentAnswer, error) {
	return call[DocumentAnswer](ctx, c, fasthttp.MethodGet, PathDocument, nil)
}

// History returns the accepted documents that are still on record, oldest first, without texts.
func (c *Client) History(ctx context.Context) (HistoryAnswer, error) {
	return call[HistoryAnswer](ctx, c, fasthttp.MethodGet, PathHistory, nil)
}

// Submit submits a changed document. A submission whose answer was lost may be repeated safely.
func (c *Client) Submit(ctx context.Context, r SubmitRequest) (SubmitAnswer, error) {
	return call[SubmitAnswer](ctx, c, fasthttp.MethodPost, PathDocument, r)
}

// Diff validates a text and compares it with the document in force.
func (c *Client) Diff(ctx context.Context, r DiffRequest) (DiffAnswer, error) {
	return call[DiffAnswer](ctx, c, fasthttp.MethodPost, PathDiff, r)
}

// Status returns the state of the deployment as seen by the host that answers.
func (c *Client) Status(ctx context.Context) (StatusAnswer, error) {
	return call[StatusAnswer](ctx, c, fasthttp.MethodGet, PathStatus, nil)
}

// Hosts returns all hosts.
func (c *Client) Hosts(ctx context.Context) (HostsAnswer, error) {
	return call[HostsAnswer](ctx, c, fasthttp.MethodGet, PathHosts, nil)
}

// Backends returns all backend servers.
func (c *Client) Backends(ctx context.Context) (BackendsAnswer, error) {
	return call[BackendsAnswer](ctx, c, fasthttp.MethodGet, PathBackends, nil)
}

// Models returns all models with their replicas and loaded adapters.
func (c *Client) Models(ctx context.Context) (ModelsAnswer, error) {
	return call[ModelsAnswer](ctx, c, fasthttp.MethodGet, PathModels, nil)
}

// Drain starts the drain of a host or a backend server.
func (c *Client) Drain(ctx context.Context, r DrainRequest) (DrainAnswer, error) {
	return call[DrainAnswer](ctx, c, fasthttp.MethodPost, PathDrain, r)
}

// Metrics returns the metrics of the host that answers.
func (c *Client) Metrics(ctx context.Context) ([]metrics.Family, error) {
	return call[[]metrics.Family](ctx, c, fasthttp.MethodGet, PathMetrics, nil)
}

// Ready returns nil if the host that answers accepts new work.
func (c *Client) Ready(ctx context.Context) error {
	_, err := call[StateAnswer](ctx, c, fasthttp.MethodGet, PathReadiness, nil)
	return err
}

// Unreachable reports that no host answered.
type Unreachable struct{ Err error }

// Error returns the remedy and the errors of all addresses.
func (u *Unreachable) Error() string {
	return "no host answered; check --address and whether the hosts run: " + u.Err.Error()
}

// Unwrap returns the errors of all addresses.
func (u *Unreachable) Unwrap() error { return u.Err }

// call tries the addresses in turn until a host answers that can reach the control group.
func call[A any](ctx context.Context, c *Client, method, path string, body any) (A, error) {
	var answer A
	var data []byte
	if body != nil {
		var err error
		if data, err = json.Marshal(body); err != nil {
			return answer, err
		}
	}
	if len(data) > MaxBody {
		// A host would close the connection while the body is still being sent, and its answer would be lost.
		return answer, &Error{Code: CodeTooLarge, Message: tooLargeMessage}
	}
	var errs error
	// A partitioned host answers with CodeUnavailable, while another host may reach the control group.
	var unavailable *Error
	for _, address := range c.cfg.Addresses {
		if err := ctx.Err(); err != nil {
			return answer, err
		}
		err := c.callOne(ctx, address, method, path, data, &answer)
		var answered *Error
		if errors.As(err, &answered) && answered.Code == CodeUnavailable {
			unavailable = answered
			continue
		}
		if err == nil || answered != nil {
			return answer, err
		}
		errs = errors.Join(errs, fmt.Errorf("%s: %w", address, err))
	}
	if unavailable != nil {
		return answer, unavailable
	}
	if errs == nil {
		errs = errors.New("no address is given")
	}
	return answer, &Unreachable{Err: errs}
}

func (c *Client) callOne(ctx context.Context, address, method, path string, data []byte, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.Timeout)
	defer cancel()
	req := c.newRequest(address, method, path)
	defer fasthttp.ReleaseRequest(req)
	if data != nil {
		req.Header.SetContentType("application/json")
		req.SetBodyRaw(data)
	}
	x, err := c.pool.Do(ctx, address, req, backend.Options{IdleTimeout: c.cfg.Timeout, DialTimeout: dialTimeout})
	if err != nil {
		return errors.Join(ctx.Err(), err)
	}
	defer x.Close()
	body, err := readBody(x)
	if err != nil {
		return errors.Join(ctx.Err(), err)
	}
	return decodeAnswer(x.Response.StatusCode(), body, answer)
}

// readBody reads the whole body of an answer.
func readBody(x *backend.Exchange) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(x, maxAnswerBytes+1))
	if err == nil && len(body) > maxAnswerBytes {
		err = ErrProtocol.New("the answer has more than %d bytes; use a client of the same version as the host", maxAnswerBytes)
	}
	return body, err
}

// newRequest returns a request to a host, which the caller releases.
func (c *Client) newRequest(address, method, path string) *fasthttp.Request {
	req := fasthttp.AcquireRequest()
	req.SetRequestURI("http://" + address + path)
	req.Header.SetMethod(method)
	req.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+c.cfg.Token)
	return req
}

// decodeAnswer decodes an answer, or returns the *Error of an answer with an error status.
func decodeAnswer(status int, body []byte, answer any) error {
	if status >= fasthttp.StatusBadRequest {
		var e ErrorAnswer
		if err := json.Unmarshal(body, &e); err != nil || e.Error.Code == "" {
			return ErrProtocol.New("answer with status %d does not come from the operators' interface; check the port", status)
		}
		return &e.Error
	}
	if err := json.Unmarshal(body, answer); err != nil {
		return ErrProtocol.Wrap(err, "answer cannot be decoded; use a client of the same version as the host")
	}
	return nil
}
