package operators

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/pprofhandler"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"toucanway/core/config"
	"toucanway/core/control"
	"toucanway/core/fleet"
	"toucanway/io/metrics"
)

// Limits of the server.
const (
	// MaxBody is enough for a document of 1 MiB as JSON, with up to three bytes on average for each byte of the document.
	MaxBody        = 4 << 20
	maxConnections = 256
	// maxWatchStreams bounds the watch streams, so that connections are left for other requests.
	maxWatchStreams = 128
	readTimeout     = 20 * time.Second
	writeTimeout    = 10 * time.Second
	idleTimeout     = 60 * time.Second
	shutdownTimeout = 5 * time.Second
	// DefaultRequestTimeout is enough for an election, a commit and the time until a document is in force everywhere.
	DefaultRequestTimeout = 15 * time.Second
	// DefaultHeartbeat is the interval of heartbeats on the watch stream.
	DefaultHeartbeat = 5 * time.Second
)

const tooLargeMessage = "the body is larger than 4 MiB; submit hunks or a smaller document"

// Log messages about changes by operators.
const (
	logAccepted       = "document accepted"
	logDrainRequested = "drain requested"
)

// ServerSettings are the settings of a Server.
type ServerSettings struct {
	System System
	// FirstOperator may submit the first document; if it is zero, nobody may.
	FirstOperator config.Operator
	// Logger gets one line for each accepted document and each drain; nil disables it.
	Logger *zap.Logger
	// RequestTimeout bounds one request; 0 means DefaultRequestTimeout.
	RequestTimeout time.Duration
	// Heartbeat is the interval of heartbeats on the watch stream; 0 means DefaultHeartbeat.
	Heartbeat time.Duration
}

// Server serves the operators' interface.
type Server struct {
	cfg          ServerSettings
	routes       map[route]handler
	requests     metrics.Counters
	watchStreams atomic.Int64

	mu           sync.Mutex
	parsedDigest string
	parsed       *config.Document
}

// NewServer returns a server for cfg.System.
func NewServer(cfg ServerSettings) *Server {
	if cfg.Logger == nil {
		cfg.Logger = zap.NewNop()
	}
	if cfg.RequestTimeout <= 0 {
		cfg.RequestTimeout = DefaultRequestTimeout
	}
	if cfg.Heartbeat <= 0 {
		cfg.Heartbeat = DefaultHeartbeat
	}
	s := &Server{cfg: cfg}
	s.routes = s.routeHandlers()
	s.requests = cfg.System.Metrics().Counter("operators-requests", "Operators' requests by path and code.", "path", "code")
	return s
}

// Serve serves a listener until ctx ends, then waits up to shutdownTimeout for requests in flight.
func (s *Server) Serve(ctx context.Context, ln net.Listener) error {
	srv := &fasthttp.Server{
		Handler:               func(r *fasthttp.RequestCtx) { s.handle(ctx, r) },
		ErrorHandler:          answerUnreadable,
		Name:                  "toucanway",
		MaxRequestBodySize:    MaxBody,
		Concurrency:           maxConnections,
		ReadTimeout:           readTimeout,
		WriteTimeout:          writeTimeout,
		IdleTimeout:           idleTimeout,
		NoDefaultServerHeader: true,
		NoDefaultDate:         true,
		CloseOnShutdown:       true,
		Logger:                discardLogger{},
	}
	g, gctx := errgroup.WithContext(ctx)
	g.Go(func() error { return srv.Serve(ln) })
	g.Go(func() error {
		<-gctx.Done()
		shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
		defer cancel()
		return srv.ShutdownWithContext(shutdownCtx)
	})
	if err := g.Wait(); err != nil && ctx.Err() == nil {
		return err
	}
	return nil
}

// discardLogger discards fasthttp's log lines about broken connections, since the log only records state changes.
type discardLogger struct{}

// Printf discards the line.
func (discardLogger) Printf(string, ...any) {}

// answerUnreadable answers requests that cannot be parsed.
func answerUnreadable(r *fasthttp.RequestCtx, err error) {
	var small *fasthttp.ErrSmallBuffer
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		answerError(r, &Error{Code: CodeTooLarge, Message: tooLargeMessage})
	case errors.As(err, &small):
		answerError(r, &Error{Code: CodeTooLarge, Message: "the headers are too large; send fewer of them"})
	default:
		answerError(r, &Error{Code: CodeBadRequest, Message: "the request cannot be read; send HTTP/1.1"})
	}
}

// request is one authenticated request.
type request struct {
	ctx      context.Context
	http     *fasthttp.RequestCtx
	operator fleet.OperatorID
	// newest is the document that the token was checked against. The request must not use a later document, in which its
	// operator may no longer own the sections that it changes.
	newest control.Document
	// document is newest in parsed form; it is nil while there is no document.
	document *config.Document
}

// route is a method on a path.
type route struct{ method, path string }

// handler returns the JSON body of the answer. If the body is nil, the handler has written the answer itself.
type handler func(request) (any, error)

func (s *Server) routeHandlers() map[route]handler {
	return map[route]handler{
		{fasthttp.MethodGet, PathDocument}:    s.getDocument,
		{fasthttp.MethodPost, PathDocument}:   s.submit,
		{fasthttp.MethodGet, PathHistory}:     s.history,
		{fasthttp.MethodPost, PathDiff}:       s.diff,
		{fasthttp.MethodGet, PathStatus}:      s.status,
		{fasthttp.MethodGet, PathHosts}:       s.hosts,
		{fasthttp.MethodGet, PathBackends}:    s.backends,
		{fasthttp.MethodGet, PathModels}:      s.models,
		{fasthttp.MethodPost, PathDrain}:      s.drain,
		{fasthttp.MethodGet, PathMetrics}:     s.metrics,
		{fasthttp.MethodGet, PathTextMetrics}: s.textMetrics,
	}
}

// codeKey is the key of the user value that holds the error code of the answer, for the metrics.
const codeKey = "code"

// handle answers one request and counts it by path and code.
func (s *Server) handle(ctx context.Context, r *fasthttp.RequestCtx) {
	s.answer(ctx, r)
	path, code := string(r.Path()), "ok"
	if c, ok := r.UserValue(codeKey).(Code); ok {
		code = string(c)
	}
	if !s.hasPath(path) {
		path = metrics.Overflow
	}
	s.requests.With(path, code).Inc(1)
}

func (s *Server) hasPath(path string) bool {
	for r := range s.routes {
		if r.path == path {
			return true
		}
	}
	return path == PathHealth || path == PathReadiness || path == PathWatch
}

func (s *Server) answer(ctx context.Context, r *fasthttp.RequestCtx) {
	method, path := string(r.Method()), string(r.Path())
	switch {
	case path == PathHealth:
		answerState(r, "healthy", s.cfg.System.Health())
		return
	case path == PathReadiness:
		answerState(r, "ready", s.cfg.System.Ready())
		return
	}
	reqCtx, cancel := context.WithTimeout(ctx, s.cfg.RequestTimeout)
	defer cancel()
	req, err := s.authenticate(reqCtx, r)
	if err != nil {
		answerError(r, requestError(method, err))
		return
	}
	switch {
	case path == PathWatch && method == fasthttp.MethodGet:
		s.watch(ctx, r)
		return
	case strings.HasPrefix(path, PathProfiles):
		pprofhandler.PprofHandler(r)
		return
	}
	answer, ok := s.routes[route{method, path}]
	if !ok {
		answerError(r, s.unknownRoute(path))
		return
	}
	body, err := answer(req)
	if err != nil {
		answerError(r, requestError(method, err))
		return
	}
	if body != nil {
		answerJSON(r, fasthttp.StatusOK, body)
	}
}

func (s *Server) unknownRoute(path string) *Error {
	for known := range s.routes {
		if known.path == path || path == PathWatch {
			return &Error{Code: CodeMethodNotAllowed, Message: "this path has no such method; see docs/operators.md"}
		}
	}
	return &Error{Code: CodeNotFound, Message: "there is no such path; the paths begin with /v1/"}
}

// authenticate returns the request with the operator that its bearer token belongs to.
func (s *Server) authenticate(ctx context.Context, r *fasthttp.RequestCtx) (request, error) {
	unauthorized := &Error{Code: CodeUnauthorized, Message: "send an operator's token as Authorization: Bearer TOKEN"}
	token, ok := strings.CutPrefix(string(r.Request.Header.Peek(fasthttp.HeaderAuthorization)), "Bearer ")
	if !ok || token == "" {
		return request{}, unauthorized
	}
	newest, err := s.cfg.System.Document(ctx)
	if err != nil {
		return request{}, err
	}
	doc, err := s.parse(newest)
	if err != nil {
		return request{}, err
	}
	out := request{ctx: ctx, http: r, newest: newest, document: doc}
	if doc == nil {
		if len(s.cfg.FirstOperator.Credentials) == 0 {
			return request{}, &Error{Code: CodeNoFirstOperator, Message: "no document is in force; set first-operator in the host's settings and restart it"}
		}
		if !s.cfg.FirstOperator.HasToken(token) {
			return request{}, unauthorized
		}
		out.operator = s.cfg.FirstOperator.ID
		return out, nil
	}
	op, ok := doc.OperatorByToken(token)
	if !ok {
		return request{}, unauthorized
	}
	out.operator = op.ID
	return out, nil
}

// parse returns a document in parsed form, or nil while there is no document. It caches the last result.
func (s *Server) parse(d control.Document) (*config.Document, error) {
	if d.Version == 0 {
		return nil, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.parsedDigest == d.Digest {
		return s.parsed, nil
	}
	parsed, problems := config.Parse("document in force", d.Text)
	if len(problems) > 0 {
		return nil, &Unavailable{Message: "the document in force cannot be parsed by this version; upgrade the host: " + problems[0].String()}
	}
	s.parsedDigest, s.parsed = d.Digest, parsed
	return parsed, nil
}

// decode decodes the JSON body and rejects unknown fields and trailing values.
func (r request) decode(into any) error {
	dec := json.NewDecoder(bytes.NewReader(r.http.PostBody()))
	dec.DisallowUnknownFields()
	if err := dec.Decode(into); err != nil {
		return &Error{Code: CodeBadRequest, Message: "the body is not the expected JSON: " + err.Error()}
	}
	if dec.More() {
		return &Error{Code: CodeBadRequest, Message: "the body contains more than one JSON value; send one"}
	}
	return nil
}

func answerJSON(r *fasthttp.RequestCtx, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		status, data = fasthttp.StatusInternalServerError, []byte(`{"error":{"code":"internal","message":"answer cannot be encoded"}}`)
	}
	r.SetStatusCode(status)
	r.SetContentType("application/json")
	r.SetBody(data)
}

func answerError(r *fasthttp.RequestCtx, e *Error) {
	r.SetUserValue(codeKey, e.Code)
	answerJSON(r, httpStatus[e.Code], ErrorAnswer{Error: *e})
	if e.Code == CodeUnavailable {
		r.Response.Header.Set(fasthttp.HeaderRetryAfter, "1")
	}
}

func answerState(r *fasthttp.RequestCtx, state string, err error) {
	if err != nil {
		answerError(r, &Error{Code: CodeUnavailable, Message: err.Error()})
		return
	}
	answerJSON(r, fasthttp.StatusOK, StateAnswer{State: state})
}

func (s *Server) textMetrics(r request) (any, error) {
	r.http.SetContentType(metrics.TextContentType)
	return nil, s.cfg.System.Metrics().WriteText(r.http)
}

func (s *Server) metrics(request) (any, error) { return s.cfg.System.Metrics().Families(), nil }

func (s *Server) status(r request) (any, error) {
	v, err := s.cfg.System.Status(r.ctx)
	return statusAnswer(v), err
}

func (s *Server) hosts(r request) (any, error) {
	v, err := s.cfg.System.Hosts(r.ctx)
	return HostsAnswer{Hosts: convertAll(v, hostAnswer)}, err
}

func (s *Server) backends(r request) (any, error) {
	v, err := s.cfg.System.Backends(r.ctx)
	return BackendsAnswer{Backends: convertAll(v, backendAnswer)}, err
}

func (s *Server) models(r request) (any, error) {
	v, err := s.cfg.System.Models(r.ctx)
	return ModelsAnswer{Models: convertAll(v, modelAnswer)}, err
}

// drain starts a drain. It requires ownership of the section capacity, which declares the resources of the deployment.
func (s *Server) drain(r request) (any, error) {
	var body DrainRequest
	if err := r.decode(&body); err != nil {
		return nil, err
	}
	if (body.Host == "") == (body.BackendServer == "") {
		return nil, &Error{Code: CodeBadRequest, Message: "name either a host or a backend-server"}
	}
	if r.document == nil || !r.document.Owns(r.operator, config.SectionCapacity) {
		return nil, &config.NotOwner{Operator: r.operator, Sections: []config.Section{config.SectionCapacity}}
	}
	if err := s.cfg.System.Drain(r.ctx, toDrain(body, r.operator)); err != nil {
		return nil, err
	}
	s.cfg.Logger.Info(logDrainRequested, zap.String("operator", string(r.operator)),
		zap.String("host-drained", body.Host), zap.String("backend-server", body.BackendServer))
	return DrainAnswer{Draining: body.Host + body.BackendServer}, nil
}
