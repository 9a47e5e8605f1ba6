package operators

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttputil"

	"toucanway/core/config"
	"toucanway/core/control"
	"toucanway/core/fleet"
	"toucanway/io/metrics"
)

func document(memory, deadline string) string {
	return fmt.Sprintf(`owners:
  operators:
    ana: {credentials: ["%s"]}
    budi: {credentials: ["%s"]}
  sections: {owners: [ana], limits: [ana], capacity: [ana], models: [budi]}
models:
  chat: {versions: [v1], memory: %s, kv-bytes-per-token: 1KiB, load-times: {memory: 1s, disk: 2s, remote: 3s}}
limits:
  default-deadline: %s
`, config.HashToken("", "token-ana"), config.HashToken("x", "token-budi"), memory, deadline)
}

// fakeSystem applies submissions to a control state, as a single voter would.
type fakeSystem struct {
	mu      sync.Mutex
	state   control.State
	index   fleet.Index
	expired []fleet.HostID
	lose    bool
	drained []Drain
	reg     *metrics.Registry
	changed chan struct{}
}

func newFake() *fakeSystem {
	return &fakeSystem{reg: metrics.New(metrics.Options{}), changed: make(chan struct{}, 8)}
}

func (f *fakeSystem) Document(context.Context) (control.Document, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.Document(), nil
}

func (f *fakeSystem) History(context.Context) ([]control.Document, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.History(), nil
}

func (f *fakeSystem) Submit(_ context.Context, c *control.SubmitDocument) (Submission, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	entry, err := control.Encode(control.Proposal{Command: c})
	if err != nil {
		return Submission{}, err
	}
	f.index++
	res := f.state.Apply(f.index, entry)
	if f.lose {
		f.lose = false
		return Submission{}, context.DeadlineExceeded
	}
	select {
	case f.changed <- struct{}{}:
	default:
	}
	return Submission{Result: res, Expired: f.expired}, nil
}

func (f *fakeSystem) Status(context.Context) (Status, error) {
	return Status{Host: "h1", Unmet: []Unmet{{
		Section: config.SectionModels, Subject: "model chat", Bound: "min-replicas", Want: "2", Have: "1", Reason: "no engine has 14GiB free",
	}}}, nil
}

func (f *fakeSystem) Hosts(context.Context) ([]Host, error) {
	return []Host{{Session: control.Session{Host: "h1", Place: fleet.Place{Region: "west"}}, LeaseValid: true}}, nil
}

func (f *fakeSystem) Backends(context.Context) ([]Backend, error) {
	return []Backend{{Backend: control.Backend{Announcement: fleet.Announcement{ID: "e1"}, Leaving: true}}}, nil
}

func (f *fakeSystem) Models(context.Context) ([]Model, error) {
	return []Model{{Model: config.Model{Name: "chat", Versions: []fleet.ModelVersion{"v1"}}, Replicas: []control.Replica{{Backend: "e1", State: control.ReplicaReady}}}}, nil
}

func (f *fakeSystem) Drain(_ context.Context, d Drain) error {
	if d.Host == "gone" {
		return &Unknown{Message: "there is no host gone; see toucanway runners"}
	}
	f.drained = append(f.drained, d)
	return nil
}

func (f *fakeSystem) Watch(ctx context.Context, after fleet.Index, each func(Event) error) error {
	for {
		f.mu.Lock()
		at := f.index
		f.mu.Unlock()
		for ; after < at; after++ {
			if err := each(Event{Index: after + 1, Kind: EventDocument, Subject: "document"}); err != nil {
				return err
			}
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-f.changed:
		}
	}
}

func (f *fakeSystem) Health() error                  { return nil }
func (f *fakeSystem) Ready() error                   { return errors.New("session lease expired") }
func (f *fakeSystem) Metrics() *metrics.Registry     { return f.reg }
func (f *fakeSystem) text() string                   { return f.state.Document().Text }
func (f *fakeSystem) version() fleet.DocumentVersion { return f.state.Document().Version }

// serve starts a server on an in-memory network and returns clients by token.
func serve(t *testing.T, f *fakeSystem) func(token string) *Client {
	t.Helper()
	ln := fasthttputil.NewInmemoryListener()
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	server := NewServer(ServerSettings{
		System:        f,
		FirstOperator: config.Operator{ID: "ana", Credentials: []config.Credential{config.HashToken("", "token-ana")}},
	})
	go func() { done <- server.Serve(ctx, ln) }()
	t.Cleanup(func() {
		cancel()
		require.NoError(t, <-done)
	})
	return func(token string) *Client {
		c := NewClient(ClientSettings{
			Addresses: []string{"127.0.0.1:1", "127.0.0.1:2"}, Token: token,
			Dial: func(_ context.Context, address string) (net.Conn, error) {
				if address == "127.0.0.1:1" {
					return nil, errors.New("host is down")
				}
				return ln.Dial()
			},
		})
		t.Cleanup(c.Close)
		return c
	}
}

// started returns a system whose first document is in force, with the clients of two operators.
func started(t *testing.T) (f *fakeSystem, ana, budi *Client) {
	t.Helper()
	f = newFake()
	as := serve(t, f)
	ana, budi = as("token-ana"), as("token-budi")
	a, err := ana.Submit(t.Context(), SubmitRequest{Text: document("1GiB", "20s")})
	require.NoError(t, err)
	require.Equal(t, uint64(1), a.Version)
	return f, ana, budi
}

func requireCode(t *testing.T, err error, code Code) *Error {
	t.Helper()
	var e *Error
	require.ErrorAs(t, err, &e)
	require.Equal(t, code, e.Code, e.Message)
	return e
}

// Guards against first documents by anybody, and against a token that is accepted although no document grants it.
func TestFirstDocument(t *testing.T) {
	f := newFake()
	as := serve(t, f)
	for name, token := range map[string]string{"other token": "token-budi", "no token": ""} {
		t.Run(name, func(t *testing.T) {
			_, err := as(token).Submit(t.Context(), SubmitRequest{Text: document("1GiB", "20s")})
			requireCode(t, err, CodeUnauthorized)
		})
	}
	require.Zero(t, f.version())
}

// Guards against documents that lose a change when operators submit at the same time.
func TestRacingSubmissions(t *testing.T) {
	f, ana, budi := started(t)
	requests := map[*Client]SubmitRequest{
		ana:  {Base: 1, Text: document("1GiB", "25s")},
		budi: {Base: 1, Text: document("2GiB", "20s")},
	}
	results := make(chan error, len(requests))
	for c, r := range requests {
		go func() {
			_, err := c.Submit(t.Context(), r)
			results <- err
		}()
	}
	var lost []error
	for range requests {
		if err := <-results; err != nil {
			lost = append(lost, err)
		}
	}
	require.Len(t, lost, 1)
	require.Equal(t, fleet.DocumentVersion(2), f.version())
	e := requireCode(t, lost[0], CodeConflict)
	require.Equal(t, uint64(2), e.Version)
	require.Contains(t, e.Message, "submit --rebase")
	require.Equal(t, f.state.Document().Sections, e.Sections)

	// The loser rebases, as submit --rebase does, and both changes are in force.
	for c, r := range requests {
		merged, err := config.Rebase(document("1GiB", "20s"), r.Text, f.text())
		require.NoError(t, err)
		if merged == f.text() {
			continue
		}
		_, err = c.Submit(t.Context(), SubmitRequest{Base: e.Version, Text: merged})
		require.NoError(t, err)
	}
	require.Equal(t, document("2GiB", "25s"), f.text())
}

// Guards against a resent submission that is taken for a new or conflicting one, also after later changes.
func TestResentSubmission(t *testing.T) {
	f, ana, budi := started(t)
	r := SubmitRequest{Base: 1, Text: document("1GiB", "25s")}
	f.lose = true
	_, err := ana.Submit(t.Context(), r)
	requireCode(t, err, CodeOutcomeUnknown)
	_, err = budi.Submit(t.Context(), SubmitRequest{Base: 2, Text: document("2GiB", "25s")})
	require.NoError(t, err)

	f.expired = []fleet.HostID{"h7"}
	a, err := ana.Submit(t.Context(), r)
	require.NoError(t, err)
	require.Equal(t, SubmitAnswer{Version: 2, Sections: []string{"limits"}, Repeated: true, ExpiredHosts: []string{"h7"}}, a)
	require.Equal(t, fleet.DocumentVersion(3), f.version())
	a, err = ana.Submit(t.Context(), SubmitRequest{Base: 3, Text: document("2GiB", "25s")})
	require.NoError(t, err)
	require.True(t, a.Unchanged)
}

// Guards against hunks that give another document than the operator saw.
func TestSubmitHunks(t *testing.T) {
	f, ana, _ := started(t)
	want := document("1GiB", "25s")
	var hunks []HunkRequest
	for _, h := range config.Diff(f.text(), want).Hunks {
		hunks = append(hunks, hunkAnswer(h))
	}
	_, err := ana.Submit(t.Context(), SubmitRequest{Base: 1, Digest: control.Digest(want + "x"), Hunks: hunks})
	requireCode(t, err, CodeDigestMismatch)
	_, err = ana.Submit(t.Context(), SubmitRequest{Base: 1, Digest: control.Digest(want), Hunks: hunks})
	require.NoError(t, err)
	require.Equal(t, want, f.text())
}

// Guards against changes that are not allowed, and errors without a stable code.
func TestRefusedRequests(t *testing.T) {
	f, ana, budi := started(t)
	for name, tc := range map[string]struct {
		client  *Client
		request SubmitRequest
		code    Code
	}{
		"section of another owner": {budi, SubmitRequest{Base: 1, Text: document("1GiB", "25s")}, CodeNotOwner},
		"invalid document":         {ana, SubmitRequest{Base: 1, Text: document("1", "25")}, CodeInvalidDocument},
		"base from the future":     {ana, SubmitRequest{Base: 9, Text: document("1GiB", "25s")}, CodeUnknownBase},
		"old base":                 {ana, SubmitRequest{Base: 0, Text: document("1GiB", "25s")}, CodeConflict},
		"nothing":                  {ana, SubmitRequest{Base: 1}, CodeBadRequest},
		"too large":                {ana, SubmitRequest{Base: 1, Text: strings.Repeat("#", MaxBody)}, CodeTooLarge},
		"large document":           {ana, SubmitRequest{Base: 1, Text: strings.Repeat("#", control.MaxDocumentBytes+1)}, CodeInvalidDocument},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := tc.client.Submit(t.Context(), tc.request)
			requireCode(t, err, tc.code)
		})
	}
	_, err := budi.Submit(t.Context(), SubmitRequest{Base: 1, Text: document("1", "25")})
	require.Len(t, requireCode(t, err, CodeInvalidDocument).Problems, 2)
	require.Equal(t, fleet.DocumentVersion(1), f.version())

	_, err = budi.Drain(t.Context(), DrainRequest{Host: "h1"})
	require.Equal(t, []string{"capacity"}, requireCode(t, err, CodeNotOwner).Sections)
	_, err = ana.Drain(t.Context(), DrainRequest{Host: "gone"})
	requireCode(t, err, CodeUnknown)
	_, err = ana.Drain(t.Context(), DrainRequest{Host: "h1", BackendServer: "e1"})
	requireCode(t, err, CodeBadRequest)
	_, err = ana.Drain(t.Context(), DrainRequest{BackendServer: "e1"})
	require.NoError(t, err)
	require.Equal(t, []Drain{{Backend: "e1", Operator: "ana"}}, f.drained)
	requireCode(t, ana.Ready(t.Context()), CodeUnavailable)
	_, err = call[StateAnswer](t.Context(), ana, fasthttp.MethodGet, "/v1/nothing", nil)
	requireCode(t, err, CodeNotFound)
	_, err = call[StateAnswer](t.Context(), ana, fasthttp.MethodPost, PathStatus, nil)
	requireCode(t, err, CodeMethodNotAllowed)
	_, err = call[StateAnswer](t.Context(), ana, fasthttp.MethodPost, PathDrain, map[string]int{"unit": 1})
	requireCode(t, err, CodeBadRequest)

	conn, err := ana.cfg.Dial(t.Context(), "127.0.0.1:2")
	require.NoError(t, err)
	_, err = fmt.Fprintf(conn, "POST /v1/document HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", MaxBody+1)
	require.NoError(t, err)
	answer, err := io.ReadAll(conn)
	require.NoError(t, err)
	require.Contains(t, string(answer), `"code":"too-large"`)
}

// Guards against answers that lose a value on the way, and reading without a credential.
func TestReading(t *testing.T) {
	f, ana, budi := started(t)
	d, err := budi.Document(t.Context())
	require.NoError(t, err)
	require.Equal(t, f.text(), d.Text)
	h, err := budi.History(t.Context())
	require.NoError(t, err)
	require.Empty(t, h.Documents[0].Text)
	s, err := budi.Status(t.Context())
	require.NoError(t, err)
	require.Equal(t, "no engine has 14GiB free", s.Unmet[0].Reason)
	m, err := budi.Models(t.Context())
	require.NoError(t, err)
	require.Equal(t, "ready", m.Models[0].Replicas[0].State)
	b, err := budi.Backends(t.Context())
	require.NoError(t, err)
	require.Equal(t, "leaving", b.Backends[0].State)
	hosts, err := budi.Hosts(t.Context())
	require.NoError(t, err)
	require.Equal(t, "west", hosts.Hosts[0].Region)
	f.reg.Counter("requests", "").With().Inc(2)
	fams, err := budi.Metrics(t.Context())
	require.NoError(t, err)
	require.Equal(t, int64(2), fams[0].Metrics[0].Value)
	diff, err := budi.Diff(t.Context(), DiffRequest{Text: document("2GiB", "25")})
	require.NoError(t, err)
	require.Equal(t, []string{"limits", "models"}, diff.Sections)
	require.Equal(t, []string{"limits"}, diff.NotOwned)
	require.Len(t, diff.Problems, 1)

	nobody := NewClient(ClientSettings{Addresses: []string{"127.0.0.1:2"}, Dial: ana.cfg.Dial})
	for _, path := range []string{PathDocument, PathText, PathMetrics, PathProfiles, PathWatch} {
		_, err := call[StateAnswer](t.Context(), nobody, fasthttp.MethodGet, path, nil)
		requireCode(t, err, CodeUnauthorized)
	}
	_, err = call[StateAnswer](t.Context(), nobody, fasthttp.MethodGet, PathHealth, nil)
	require.NoError(t, err)
	down := NewClient(ClientSettings{Addresses: []string{"127.0.0.1:1"}, Dial: ana.cfg.Dial})
	var unreachable *Unreachable
	require.ErrorAs(t, down.Ready(t.Context()), &unreachable)
}

// Guards against changes that a watching operator misses, and streams that outlive their reader.
func TestWatch(t *testing.T) {
	_, ana, _ := started(t)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var seen []uint64
	err := ana.Watch(ctx, 0, func(e EventAnswer) error {
		switch {
		case e.Kind == string(EventHeartbeat):
			return nil
		case e.Index == 1:
			_, err := ana.Submit(ctx, SubmitRequest{Base: 1, Text: document("1GiB", "25s")})
			require.NoError(t, err)
		case e.Index == 2:
			cancel()
		}
		seen = append(seen, e.Index)
		return nil
	})
	require.ErrorIs(t, err, context.Canceled)
	require.Equal(t, []uint64{1, 2}, seen)
}
