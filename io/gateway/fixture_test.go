package gateway

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttputil"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"toucanway/core/balance"
	"toucanway/core/buffers"
	"toucanway/core/fleet"
	"toucanway/core/holdoff"
	"toucanway/core/registry"
	"toucanway/core/routes"
	"toucanway/io/backend"
	"toucanway/io/controlapi"
	"toucanway/io/metrics"
	"toucanway/io/network"
	"toucanway/io/network/networktest"
)

// testDialect is a dialect with short header names.
type testDialect struct{}

func (testDialect) Configuration([]byte) (*routes.Configuration, error) {
	return nil, errors.New("not used")
}

func (testDialect) Request(h *fasthttp.RequestHeader) RequestInfo {
	m := RequestInfo{ID: fleet.RequestID(h.Peek("Id")), Target: fleet.Target{Model: fleet.ModelID(h.Peek("Model"))}}
	if key, ok := bytes.CutPrefix(h.Peek("Authorization"), []byte("Token ")); ok {
		m.Key = key
	}
	if d, err := time.ParseDuration(string(h.Peek("Deadline"))); err == nil {
		m.Deadline = d
	}
	if parts := string(h.Peek("Parts")); parts != "" {
		for id := range strings.SplitSeq(parts, ",") {
			m.Parts = append(m.Parts, balance.Part{ID: id})
		}
	}
	return m
}

func (testDialect) SetForwardHeaders(h *fasthttp.RequestHeader, f ForwardInfo) {
	h.Del("Secret")
	h.Set("Instance", string(f.Instance))
	h.Set("Priority", strconv.Itoa(f.Priority))
	if f.HidesKey {
		h.Del("Authorization")
		h.Set("Account", string(f.Account))
	}
	if f.LastEvent != "" {
		h.Set("Last-Event", f.LastEvent)
	}
}

func (testDialect) Answer(h *fasthttp.ResponseHeader) AnswerInfo {
	return AnswerInfo{
		ID: fleet.RequestID(h.Peek("Id")), Signed: len(h.Peek("Signature")) > 0, NotRun: len(h.Peek("Not-Run")) > 0,
		Misdirected: h.StatusCode() == 421, Instance: fleet.BackendID(h.Peek("Instance")),
		Notice: testNotice(h),
	}
}

// testNotice decodes the headers Leaving and, of a 503, Retry-After.
func testNotice(h *fasthttp.ResponseHeader) holdoff.Notice {
	n := holdoff.Notice{Leaving: len(h.Peek("Leaving")) > 0}
	if seconds, err := strconv.ParseFloat(string(h.Peek("Retry-After")), 64); err == nil && h.StatusCode() == 503 {
		n.Pause = time.Duration(seconds * float64(time.Second))
	}
	return n
}

// fixture is a gateway in front of scripted backend servers, on in-memory connections.
type fixture struct {
	t         *testing.T
	gateway   *Gateway
	callers   *fasthttputil.InmemoryListener
	mu        sync.Mutex
	listeners map[string]*fasthttputil.InmemoryListener
	// received holds the text of the requests that each backend server has read.
	received map[string][]string
	// serverEnd replaces io.EOF at the end of connections to backend servers, if it is set.
	serverEnd error
	// dials is the number of connections to backend servers that were asked for.
	dials int
	stop  func()
	// servers counts the running scripts.
	servers sync.WaitGroup
	// shutDown makes the host cancel the requests in flight, as at the end of the grace period.
	shutDown func()
	// log holds the lines of the gateway.
	log *observer.ObservedLogs
	// onDial is called before each connection to a backend server; nil does nothing.
	onDial func(address string)
}

func (f *fixture) Listen(string) (net.Listener, error) { return nil, errors.New("not used") }

func (f *fixture) Dial(ctx context.Context, address string) (net.Conn, error) {
	if f.onDial != nil {
		f.onDial(address)
	}
	f.mu.Lock()
	f.dials++
	l := f.listeners[address]
	f.mu.Unlock()
	if strings.HasPrefix(address, "127.") {
		return network.TCP{}.Dial(ctx, address)
	}
	if l == nil {
		return nil, &net.OpError{Op: "dial", Net: "memory", Err: syscall.ECONNREFUSED}
	}
	c, err := l.Dial()
	if err != nil || f.serverEnd == nil {
		return c, err
	}
	return networktest.EndingConn{Conn: c, End: f.serverEnd}, nil
}

// script is the behaviour of a backend server: it gets each request and writes raw bytes as the answer.
type script func(req *fasthttp.Request, c net.Conn)

func newFixture(t *testing.T) *fixture { return newFixtureWith(t, &buffers.Budget{}) }

// newFixtureWith returns a fixture whose gateway holds requests and answers in a given memory.
func newFixtureWith(t *testing.T, b *buffers.Budget) *fixture {
	f := &fixture{
		t: t, callers: fasthttputil.NewInmemoryListener(), listeners: map[string]*fasthttputil.InmemoryListener{}, received: map[string][]string{},
	}
	var core zapcore.Core
	core, f.log = observer.New(zap.InfoLevel)
	f.gateway = New(Settings{
		Self: "host", Place: fleet.Place{Region: "r", DataCentre: "d"}, Dialect: testDialect{},
		Client: controlapi.NewClient(nil, 1, func() []fleet.HostID { return nil }), Pool: backend.NewPool(f), Log: zap.New(core),
		Metrics: metrics.New(metrics.Options{}), Budget: Budget{Ratio: 1, Slack: 100, Window: time.Second},
		GracePeriod: 4 * time.Second, ConfigurationTime: time.Minute, Now: time.Now, Buffers: b,
	})
	v := f.gateway.view
	v.budget.SetLimits(100, 100)
	v.confirm(time.Now())
	v.table = mustTable(&routes.Configuration{
		Version: 1,
		Routes: []routes.Route{
			{Name: "unsafe", Host: "h", Prefix: "/unsafe/", Kind: routes.Unsafe, Timeout: 5 * time.Second, MaxAttempts: 1, Services: []routes.WeightedService{{Service: "s", Weight: 1}}},
			{Name: "safe", Host: "h", Prefix: "/safe/", Kind: routes.Safe, Timeout: 5 * time.Second, MaxAttempts: 2, Services: []routes.WeightedService{{Service: "s", Weight: 1}}},
			{Name: "stream", Host: "h", Prefix: "/stream/", Kind: routes.Streaming, Timeout: 5 * time.Second, MaxAttempts: 1, Services: []routes.WeightedService{{Service: "s", Weight: 1}}},
			{Name: "resumable", Host: "h", Prefix: "/resumable/", Kind: routes.Streaming, Resumable: true, Timeout: 5 * time.Second, MaxAttempts: 2, Services: []routes.WeightedService{{Service: "s", Weight: 1}}},
			{Name: "brief", Host: "h", Prefix: "/brief/", Kind: routes.Unsafe, Timeout: 80 * time.Millisecond, MaxAttempts: 1, Services: []routes.WeightedService{{Service: "s", Weight: 1}}},
		},
		Services: []routes.Service{{Name: "s"}},
	})
	ctx, cancel := context.WithCancelCause(context.Background())
	done := make(chan error, 1)
	go func() { done <- f.gateway.server.serve(networktest.DeadlineListener{Listener: f.callers}, ctx) }()
	f.shutDown = func() { cancel(errStopping) }
	f.stop = sync.OnceFunc(func() {
		cancel(nil)
		f.callers.Close()
		f.gateway.server.closeAll()
		require.NoError(t, <-done)
	})
	t.Cleanup(f.stop)
	return f
}

// addServerAt adds a backend server at an address.
func (f *fixture) addServerAt(name, address string) {
	in := registry.Instance{ID: fleet.BackendID(name), Incarnation: 1, Service: "s", Address: address, DataCentre: "d", Slots: 4}
	f.gateway.view.mu.Lock()
	f.gateway.view.instances[in.ID] = &in
	f.gateway.view.mu.Unlock()
}

// addServer adds a backend server with a script; with a nil script it refuses connections.
func (f *fixture) addServer(name string, s script) {
	address := name + ":80"
	f.addServerAt(name, address)
	if s == nil {
		return
	}
	l := fasthttputil.NewInmemoryListener()
	f.mu.Lock()
	f.listeners[address] = l
	f.mu.Unlock()
	f.t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			f.servers.Go(func() {
				defer c.Close()
				r := bufio.NewReaderSize(c, defaultHeaderBytes)
				for {
					var req fasthttp.Request
					if req.Header.Read(r) != nil || req.ContinueReadBody(r, 8<<20, false) != nil {
						return
					}
					f.mu.Lock()
					f.received[name] = append(f.received[name], req.String())
					f.mu.Unlock()
					s(&req, c)
				}
			})
		}
	}()
}

// close ends the gateway and waits for the scripts of all backend servers.
func (f *fixture) close() {
	f.stop()
	f.gateway.cfg.Pool.Close()
	f.mu.Lock()
	for _, l := range f.listeners {
		l.Close()
	}
	f.mu.Unlock()
	f.servers.Wait()
}

func (f *fixture) requests(name string) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.received[name]
}

// totalRequests returns the number of requests that all backend servers have read.
func (f *fixture) totalRequests() (n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.received {
		n += len(s)
	}
	return n
}

// signedAnswer returns a script that writes a signed answer.
func signedAnswer(body string) script {
	return func(req *fasthttp.Request, c net.Conn) {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nSignature: x\r\nContent-Length: %d\r\n\r\n%s", req.Header.Peek("Id"), len(body), body)
	}
}

func rawAnswer(text string) script {
	return func(_ *fasthttp.Request, c net.Conn) { io.WriteString(c, text) }
}

func closeConnection(_ *fasthttp.Request, c net.Conn) { c.Close() }

// call sends raw bytes on a new connection and reads one answer.
func (f *fixture) call(text string) (*fasthttp.Response, error) {
	c, err := f.callers.Dial()
	require.NoError(f.t, err)
	defer c.Close()
	return roundTrip(c, text)
}

// begin sends raw bytes on a new connection and returns it once a backend server has read the request.
func (f *fixture) begin(server, text string) net.Conn {
	c, err := f.callers.Dial()
	require.NoError(f.t, err)
	_, err = io.WriteString(c, text)
	require.NoError(f.t, err)
	for len(f.requests(server)) == 0 {
		time.Sleep(time.Millisecond)
	}
	return c
}

func roundTrip(c net.Conn, text string) (*fasthttp.Response, error) {
	if text != "" {
		// An empty write is a read of zero bytes at the other end of an in-memory connection.
		go io.WriteString(c, text)
	}
	var res fasthttp.Response
	err := res.Read(bufio.NewReader(c))
	return &res, err
}

// readStream sends a request for a path on a new connection, and returns the body of its streamed answer and whether it was whole.
func (f *fixture) readStream(path string) (string, bool) {
	c, err := f.callers.Dial()
	require.NoError(f.t, err)
	defer c.Close()
	go io.WriteString(c, getRequest(path))
	var res fasthttp.Response
	res.StreamBody = true
	if res.ReadLimitBody(bufio.NewReader(c), 0) != nil {
		return "", false
	}
	if res.StatusCode() != fasthttp.StatusOK {
		return "", false
	}
	body, err := io.ReadAll(res.BodyStream())
	return string(body), err == nil
}

// mustTable indexes a configuration without contradictions.
func mustTable(c *routes.Configuration) *table {
	t, err := newTable(c)
	if err != nil {
		panic(err)
	}
	return t
}

func getRequest(path string) string {
	return "GET " + path + " HTTP/1.1\r\nHost: h\r\nId: 1\r\n\r\n"
}
