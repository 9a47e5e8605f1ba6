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

// Bounds of the interface.
const (
	// MaxBody holds a document of 1 MiB in JSON, where a byte may be written as up to three on average.
	MaxBody        = 4 << 20
	maxConnections = 256
	// maxWatching leaves connections for requests when many programs watch.
	maxWatching   = 128
	readTimeout   = 20 * time.Second
	writeTimeout  = 10 * time.Second
	idleTimeout   = 60 * time.Second
	shutdownBound = 5 * time.Second
	// DefaultRequestTimeout holds an election, a commit and the time for a document to be in force everywhere.
	DefaultRequestTimeout = 15 * time.Second
	// DefaultHeartbeat is the interval of heartbeats on the watch stream.
	DefaultHeartbeat = 5 * time.Second
)

const tooLargeMessage = "the body is larger than 4 MiB; submit hunks or a smaller document"

// Log messages of changes that operators made.
const (
	logAccepted       = "document accepted"
	logDrainRequested = "drain requested"
)

// ServerSettings are the settings of a Server.
type ServerSettings struct {
	System System
	// FirstOperator may submit the first document; a zero one means that nobody may.
	FirstOperator config.Operator
	// Logger gets one line for each accepted document and each drain; nil means none.
	Logger *zap.Logger
	// RequestTimeout bounds one request; 0 means DefaultRequestTimeout.
	RequestTimeout time.Duration
	// Heartbeat is the interval of heartbeats on the watch stream; 0 means DefaultHeartbeat.
	Heartbeat time.Duration
}

// Server answers operators.
type Server struct {
	cfg      ServerSettings
	routes   map[route]handler
	requests metrics.Counters
	watching atomic.Int64

	mu     sync.Mutex
	digest string
	parsed *config.Document
}

// NewServer returns a server of a system.
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
	s.routes = s.handlers()
	s.requests = cfg.System.Metrics().Counter("operators-requests", "Operators' requests by path and code.", "path", "code")
	return s
}

// Serve answers on a listener until ctx ends, then waits a few seconds for requests under way.
func (s *Server) Serve(ctx context.Context, ln net.Listener) error {
	srv := &fasthttp.Server{
		Handler:               func(r *fasthttp.RequestCtx) { s.handle(ctx, r) },
		ErrorHandler:          answerBroken,
		Name:                  "toucanway",
		MaxRequestBodySize:    MaxBody,
		Concurrency:           maxConnections,
		ReadTimeout:           readTimeout,
		WriteTimeout:          writeTimeout,
		IdleTimeout:           idleTimeout,
		NoDefaultServerHeader: true,
		NoDefaultDate:         true,
		CloseOnShutdown:       true,
		Logger:                noLogger{},
	}
	g, gctx := errgroup.WithContext(ctx)
	g.Go(func() error { return srv.Serve(ln) })
	g.Go(func() error {
		<-gctx.Done()
		bound, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownBound)
		defer cancel()
		return srv.ShutdownWithContext(bound)
	})
	if err := g.Wait(); err != nil && ctx.Err() == nil {
		return err
	}
	return nil
}

// noLogger drops fasthttp's lines about broken connections, which are no state changes.
type noLogger struct{}

// Printf drops the line.
func (noLogger) Printf(string, ...any) {}

// answerBroken answers requests that cannot be read.
func answerBroken(r *fasthttp.RequestCtx, err error) {
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
	// newest is the document that the credential was checked against; a request that uses a later one could change
	// sections that its operator no longer owns.
	newest control.Document
	// document is the decoded newest, nil before the first.
	document *config.Document
}

// route is a method on a path.
type route struct{ method, path string }

// handler answers a request with a JSON body, or has written the answer itself when the body is nil.
type handler func(request) (any, error)

func (s *Server) handlers() map[route]handler {
	return map[route]handler{
		{fasthttp.MethodGet, PathDocument}:  s.getDocument,
		{fasthttp.MethodPost, PathDocument}: s.submit,
		{fasthttp.MethodGet, PathHistory}:   s.history,
		{fasthttp.MethodPost, PathDiff}:     s.diff,
		{fasthttp.MethodGet, PathStatus}:    s.status,
		{fasthttp.MethodGet, PathHosts}:     s.hosts,
		{fasthttp.MethodGet, PathBackends}:  s.backends,
		{fasthttp.MethodGet, PathModels}:    s.models,
		{fasthttp.MethodPost, PathDrain}:    s.drain,
		{fasthttp.MethodGet, PathMetrics}:   s.metrics,
		{fasthttp.MethodGet, PathText}:      s.text,
	}
}

// codeKey is the key of the error code that an answer was given, for the counters.
const codeKey = "code"

// handle answers one request and counts it by path and code.
func (s *Server) handle(ctx context.Context, r *fasthttp.RequestCtx) {
	s.answer(ctx, r)
	path, code := string(r.Path()), "ok"
	if c, ok := r.UserValue(codeKey).(Code); ok {
		code = string(c)
	}
	if !s.knows(path) {
		path = metrics.Overflow
	}
	s.requests.With(path, code).Inc(1)
}

func (s *Server) knows(path string) bool {
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
	bound, cancel := context.WithTimeout(ctx, s.cfg.RequestTimeout)
	defer cancel()
	req, err := s.authenticate(bound, r)
	if err != nil {
		answerError(r, errorOf(err))
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
		answerError(r, errorOf(err))
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

// authenticate finds the operator that holds the bearer token of a request.
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
	doc, err := s.decoded(newest)
	if err != nil {
		return request{}, err
	}
	out := request{ctx: ctx, http: r, newest: newest, document: doc}
	if doc == nil {
		if len(s.cfg.FirstOperator.Credentials) == 0 {
			return request{}, &Error{Code: CodeNoFirstOperator, Message: "no document is in force; set first-operator in the host's settings and restart it"}
		}
		if !s.cfg.FirstOperator.Holds(token) {
			return request{}, unauthorized
		}
		out.operator = s.cfg.FirstOperator.ID
		return out, nil
	}
	op, ok := doc.OperatorOf(token)
	if !ok {
		return request{}, unauthorized
	}
	out.operator = op.ID
	return out, nil
}

// decoded returns a decoded document, or nil before the first. The last one is kept.
func (s *Server) decoded(d control.Document) (*config.Document, error) {
	if d.Version == 0 {
		return nil, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.digest == d.Digest {
		return s.parsed, nil
	}
	parsed, problems := config.Parse("document in force", d.Text)
	if len(problems) > 0 {
		return nil, &Unavailable{Message: "the document in force cannot be read by this version; upgrade the host: " + problems[0].String()}
	}
	s.digest, s.parsed = d.Digest, parsed
	return parsed, nil
}

// decode reads a JSON body strictly.
func (r request) decode(into any) error {
	dec := json.NewDecoder(bytes.NewReader(r.http.PostBody()))
	dec.DisallowUnknownFields()
	if err := dec.Decode(into); err != nil {
		return &Error{Code: CodeBadRequest, Message: "the body is not the expected JSON: " + err.Error()}
	}
	if dec.More() {
		return &Error{Code: CodeBadRequest, Message: "the body holds more than one JSON value; send one"}
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
	answerJSON(r, statusOf[e.Code], ErrorAnswer{Error: *e})
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

func (s *Server) text(r request) (any, error) {
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

// drain takes the owners of the section capacity, which declares what the deployment may use.
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
	if err := s.cfg.System.Drain(r.ctx, drainOf(body, r.operator)); err != nil {
		return nil, err
	}
	s.cfg.Logger.Info(logDrainRequested, zap.String("operator", string(r.operator)),
		zap.String("host-drained", body.Host), zap.String("backend-server", body.BackendServer))
	return DrainAnswer{Draining: body.Host + body.BackendServer}, nil
}
