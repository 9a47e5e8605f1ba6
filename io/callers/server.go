package callers

import (
	"bufio"
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"io"
	"net"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"toucanway/core/fleet"
)

// Chunk is one piece of an answer from a model.
type Chunk struct {
	Text string
	// Finish is the reason why the answer ended; set on the last chunk only.
	Finish string
	Usage  *Usage
}

// Answer is the stream of one answer. Next returns io.EOF after the last chunk and a *fleet.Refusal if the answer cannot be
// continued. Close cancels the request if its answer is not complete, and releases its resources.
type Answer interface {
	Next(ctx context.Context) (Chunk, error)
	Close()
}

// ServiceAnswer is the answer of a plain service.
type ServiceAnswer struct {
	Status      int
	ContentType string
	Body        []byte
}

// HostAddress is one entry host that a caller may use.
type HostAddress struct {
	Host    fleet.HostID `json:"host"`
	Address string       `json:"address"`
	Region  fleet.Region `json:"region"`
}

// Hosts lists the entry hosts to use and how long the list is valid.
type Hosts struct {
	Hosts      []HostAddress `json:"hosts"`
	LifetimeMs int64         `json:"lifetime_ms"`
}

// Handler carries out requests; it is safe for concurrent use.
type Handler interface {
	// Authenticate returns the identity that a bearer token belongs to, or a refusal.
	Authenticate(token string) (Identity, *fleet.Refusal)
	// Complete admits a completion and returns its answer once the first chunk is ready.
	Complete(ctx context.Context, c *Completion) (Answer, *fleet.Refusal)
	// Call carries out a call of a plain service.
	Call(ctx context.Context, c *ServiceCall) (*ServiceAnswer, *fleet.Refusal)
	// Hosts returns the entry hosts to use for a model or a service; both may be empty.
	Hosts(model string, service fleet.ServiceID) (Hosts, *fleet.Refusal)
	// Models returns the names that callers may use as a model, sorted.
	Models() []string
	// HostsHint returns the value of the X-Toucanway-Hosts header, which tells a caller to request the list of hosts again if
	// its list is old; empty if the header is to be left out.
	HostsHint() string
	// MaxBody returns the largest accepted body.
	MaxBody() fleet.Bytes
}

// Settings of a Server; zero fields mean the documented defaults.
type Settings struct {
	Handler Handler
	// ServeOther serves paths that are not for callers, such as announcements of backend servers. It reports whether the path
	// is one of them.
	ServeOther func(ctx *fasthttp.RequestCtx) bool
	TLS        *tls.Config
	// WriteTimeout bounds each write to a caller, 10 s by default.
	WriteTimeout time.Duration
	// IdleTimeout bounds the time between requests of a connection, 30 s by default.
	IdleTimeout time.Duration
	// MaxBodyBytes bounds the body that is read before it is checked against Handler.MaxBody, 64 MiB by default.
	MaxBodyBytes int
	// Now is the clock for the created field of answers, time.Now by default.
	Now func() time.Time
}

const (
	defaultWriteTimeout = 10 * time.Second
	defaultIdleTimeout  = 30 * time.Second
	defaultMaxBody      = 64 << 20
	readTimeout         = 10 * time.Second
)

// Server serves callers.
type Server struct {
	cfg            Settings
	http           *fasthttp.Server
	requestContext context.Context
}

// NewServer returns a server that uses the defaults for zero settings.
func NewServer(cfg Settings) *Server {
	if cfg.WriteTimeout == 0 {
		cfg.WriteTimeout = defaultWriteTimeout
	}
	if cfg.IdleTimeout == 0 {
		cfg.IdleTimeout = defaultIdleTimeout
	}
	if cfg.MaxBodyBytes == 0 {
		cfg.MaxBodyBytes = defaultMaxBody
	}
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	s := &Server{cfg: cfg}
	s.http = &fasthttp.Server{
		Handler:               s.serve,
		ReadTimeout:           readTimeout,
		IdleTimeout:           cfg.IdleTimeout,
		MaxRequestBodySize:    cfg.MaxBodyBytes,
		CloseOnShutdown:       true,
		NoDefaultDate:         true,
		NoDefaultServerHeader: true,
		ErrorHandler:          handleReadError,
		Logger:                discardLogger{},
	}
	return s
}

// discardLogger discards fasthttp's log lines about broken connections, since the log only records state changes.
type discardLogger struct{}

// Printf discards the line.
func (discardLogger) Printf(string, ...any) {}

// Run serves the listener until the context ends, then refuses new connections and waits for requests in flight, at most until
// stop ends.
func (s *Server) Run(ctx context.Context, l net.Listener, stop context.Context) error {
	s.requestContext = stop
	if s.cfg.TLS != nil {
		l = tls.NewListener(l, s.cfg.TLS)
	}
	g, gctx := errgroup.WithContext(ctx)
	g.Go(func() error {
		return s.http.Serve(watchedListener{Listener: l, writeTimeout: s.cfg.WriteTimeout})
	})
	g.Go(func() error {
		<-gctx.Done()
		err := s.http.ShutdownWithContext(stop)
		if errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded) {
			return nil
		}
		return err
	})
	return g.Wait()
}

func handleReadError(ctx *fasthttp.RequestCtx, err error) {
	r := fleet.Refuse(fleet.CodeBadRequest, 0, "the request is not valid HTTP: %v", err)
	if errors.Is(err, fasthttp.ErrBodyTooLarge) {
		r = fleet.Refuse(fleet.CodeTooLarge, 0, "the body is too large; shorten the request")
	}
	writeRefusal(ctx, newRequestID(), r)
	ctx.SetConnectionClose()
}

func newRequestID() fleet.RequestID { return fleet.RequestID(uuid.NewString()) }

func (s *Server) serve(ctx *fasthttp.RequestCtx) {
	if s.cfg.ServeOther != nil && s.cfg.ServeOther(ctx) {
		return
	}
	id := newRequestID()
	ctx.Response.Header.Set(HeaderRequestID, string(id))
	if hint := s.cfg.Handler.HostsHint(); hint != "" {
		ctx.Response.Header.Set(HeaderHosts, hint)
	}
	if r := s.route(ctx, id); r != nil {
		writeRefusal(ctx, id, r)
	}
}

func (s *Server) route(ctx *fasthttp.RequestCtx, id fleet.RequestID) *fleet.Refusal {
	identity, r := s.cfg.Handler.Authenticate(bearerToken(&ctx.Request.Header))
	if r != nil {
		return r
	}
	if n := len(ctx.Request.Body()); fleet.Bytes(n) > s.cfg.Handler.MaxBody() {
		return fleet.Refuse(fleet.CodeTooLarge, 0, "the body has %d bytes, more than the limit of %d", n, s.cfg.Handler.MaxBody())
	}
	path := string(ctx.Path())
	switch {
	case path == "/v1/completions" && ctx.IsPost():
		return s.complete(ctx, id, identity, false)
	case path == "/v1/chat/completions" && ctx.IsPost():
		return s.complete(ctx, id, identity, true)
	case path == "/v1/models" && ctx.IsGet():
		return s.models(ctx)
	case path == "/v1/hosts" && ctx.IsGet():
		return s.hosts(ctx)
	case strings.HasPrefix(path, "/v1/services/"):
		return s.call(ctx, id, identity)
	default:
		return fleet.Refuse(fleet.CodeBadRequest, 0, "no such path: %s %s", ctx.Method(), path)
	}
}

// watchCaller returns a context that ends when the caller disconnects; stop must be called before the connection is written to.
func (s *Server) watchCaller(ctx *fasthttp.RequestCtx) (context.Context, func()) {
	if c, ok := ctx.Conn().(*watchedConn); ok {
		return c.watch(s.requestContext)
	}
	return context.WithCancel(s.requestContext)
}

func (s *Server) complete(ctx *fasthttp.RequestCtx, id fleet.RequestID, identity Identity, chat bool) *fleet.Refusal {
	// The body is copied, since fasthttp reuses its buffers while a stream is still being written.
	c := &Completion{ID: id, Identity: identity, Chat: chat, Body: append([]byte(nil), ctx.Request.Body()...)}
	var r *fleet.Refusal
	if c.Deadline, r = parseDeadline(&ctx.Request.Header); r != nil {
		return r
	}
	if c.Key, r = parseKey(&ctx.Request.Header); r != nil {
		return r
	}
	if r = parseCompletion(c); r != nil {
		return r
	}
	callerCtx, stop := s.watchCaller(ctx)
	answer, r := s.cfg.Handler.Complete(callerCtx, c)
	if r != nil {
		stop()
		return r
	}
	if !c.Stream {
		defer stop()
		defer answer.Close()
		return s.writeComplete(callerCtx, ctx, c, answer)
	}
	ctx.SetContentType("text/event-stream")
	ctx.Response.Header.Set(fasthttp.HeaderCacheControl, "no-cache")
	ctx.Response.ImmediateHeaderFlush = true
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		defer stop()
		defer answer.Close()
		s.writeEvents(callerCtx, w, c, answer)
	})
	return nil
}

func (s *Server) writeComplete(callerCtx context.Context, ctx *fasthttp.RequestCtx, c *Completion, answer Answer) *fleet.Refusal {
	var text strings.Builder
	last := Chunk{}
	for {
		chunk, err := answer.Next(callerCtx)
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return toRefusal(err)
		}
		text.WriteString(chunk.Text)
		last = chunk
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(encodeAnswer(c, s.cfg.Now(), text.String(), last.Finish, last.Usage, false))
	return nil
}

// writeEvents writes each chunk before it reads the next one, so that a caller that reads slowly slows down the reads from the
// engine.
func (s *Server) writeEvents(callerCtx context.Context, w *bufio.Writer, c *Completion, answer Answer) {
	created := s.cfg.Now()
	for {
		chunk, err := answer.Next(callerCtx)
		switch {
		case errors.Is(err, io.EOF):
			writeEvent(w, []byte("[DONE]"))
			return
		case err != nil:
			writeEvent(w, refusalBody(c.ID, toRefusal(err)))
			return
		}
		if !writeEvent(w, encodeAnswer(c, created, chunk.Text, chunk.Finish, chunk.Usage, true)) {
			return
		}
	}
}

// writeEvent writes one server-sent event and reports whether it was written.
func writeEvent(w *bufio.Writer, data []byte) bool {
	for _, part := range [][]byte{[]byte("data: "), data, []byte("\n\n")} {
		if _, err := w.Write(part); err != nil {
			return false
		}
	}
	return w.Flush() == nil
}

func toRefusal(err error) *fleet.Refusal {
	var r *fleet.Refusal
	if errors.As(err, &r) {
		return r
	}
	return &fleet.Refusal{Code: fleet.CodeBackendFailed, Execution: fleet.MayHaveRun, RetryAfter: time.Second,
		Message: "the backend server gave no complete answer; send the request again only if it may run twice"}
}

func (s *Server) call(ctx *fasthttp.RequestCtx, id fleet.RequestID, identity Identity) *fleet.Refusal {
	name, rest, _ := strings.Cut(strings.TrimPrefix(string(ctx.Path()), "/v1/services/"), "/")
	c := &ServiceCall{
		ID: id, Identity: identity, Service: fleet.ServiceID(name), Method: string(ctx.Method()), Path: "/" + rest,
		ContentType: string(ctx.Request.Header.ContentType()), Body: append([]byte(nil), ctx.Request.Body()...),
	}
	if q := ctx.QueryArgs().QueryString(); len(q) > 0 {
		c.Path += "?" + string(q)
	}
	var r *fleet.Refusal
	if c.Deadline, r = parseDeadline(&ctx.Request.Header); r != nil {
		return r
	}
	if c.Key, r = parseKey(&ctx.Request.Header); r != nil {
		return r
	}
	callerCtx, stop := s.watchCaller(ctx)
	defer stop()
	a, r := s.cfg.Handler.Call(callerCtx, c)
	if r != nil {
		return r
	}
	ctx.SetStatusCode(a.Status)
	ctx.SetContentType(a.ContentType)
	ctx.SetBody(a.Body)
	return nil
}

// modelList is the OpenAI-style list of models.
type modelList struct {
	Object string       `json:"object"`
	Data   []modelEntry `json:"data"`
}

type modelEntry struct {
	ID     string `json:"id"`
	Object string `json:"object"`
}

func (s *Server) models(ctx *fasthttp.RequestCtx) *fleet.Refusal {
	list := modelList{Object: "list", Data: []modelEntry{}}
	for _, name := range s.cfg.Handler.Models() {
		list.Data = append(list.Data, modelEntry{ID: name, Object: "model"})
	}
	return writeJSON(ctx, list)
}

func (s *Server) hosts(ctx *fasthttp.RequestCtx) *fleet.Refusal {
	q := ctx.QueryArgs()
	h, r := s.cfg.Handler.Hosts(string(q.Peek("model")), fleet.ServiceID(q.Peek("service")))
	if r != nil {
		return r
	}
	return writeJSON(ctx, h)
}

func writeJSON(ctx *fasthttp.RequestCtx, v any) *fleet.Refusal {
	out, err := json.Marshal(v)
	if err != nil {
		panic("callers: answer cannot be encoded: " + err.Error())
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(out)
	return nil
}
