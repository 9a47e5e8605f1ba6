package operators_test

import (
	"context"
	"fmt"
	"io"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"toucanway/core/config"
	"toucanway/core/control"
	"toucanway/core/fleet"
	"toucanway/io/operators"
	"toucanway/io/operators/operatorstest"
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

// withDocument returns a system whose first document is in force, and the clients of two operators.
func withDocument(t *testing.T) (f *operatorstest.System, srv *operatorstest.Server, ana, budi *operators.Client) {
	t.Helper()
	f = operatorstest.New()
	srv = operatorstest.Serve(t, f, firstOperator)
	ana, budi = srv.Client("token-ana"), srv.Client("token-budi")
	a, err := ana.Submit(t.Context(), operators.SubmitRequest{Text: document("1GiB", "20s")})
	require.NoError(t, err)
	require.Equal(t, uint64(1), a.Version)
	return f, srv, ana, budi
}

var firstOperator = config.Operator{ID: "ana", Credentials: []config.Credential{config.HashToken("", "token-ana")}}

func requireCode(t *testing.T, err error, code operators.Code) *operators.Error {
	t.Helper()
	var e *operators.Error
	require.ErrorAs(t, err, &e)
	require.Equal(t, code, e.Code, e.Message)
	return e
}

// Guards against a first document that is submitted by anyone but the first operator, and against tokens that are accepted
// although no document declares them.
func TestFirstDocument(t *testing.T) {
	f := operatorstest.New()
	clientWith := operatorstest.Serve(t, f, firstOperator).Client
	for name, token := range map[string]string{"other token": "token-budi", "no token": ""} {
		t.Run(name, func(t *testing.T) {
			_, err := clientWith(token).Submit(t.Context(), operators.SubmitRequest{Text: document("1GiB", "20s")})
			requireCode(t, err, operators.CodeUnauthorized)
		})
	}
	require.Zero(t, f.Newest().Version)
}

// Guards against a lost change when operators submit at the same time.
func TestConcurrentSubmissions(t *testing.T) {
	f, _, ana, budi := withDocument(t)
	requests := map[*operators.Client]operators.SubmitRequest{
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
	var rejections []error
	for range requests {
		if err := <-results; err != nil {
			rejections = append(rejections, err)
		}
	}
	require.Len(t, rejections, 1)
	require.Equal(t, fleet.DocumentVersion(2), f.Newest().Version)
	e := requireCode(t, rejections[0], operators.CodeConflict)
	require.Equal(t, uint64(2), e.Version)
	require.Contains(t, e.Message, "submit --rebase")
	require.Equal(t, f.Newest().Sections, e.Sections)

	// The operator whose submission was rejected rebases it, as submit --rebase does. Then both changes are in force.
	for c, r := range requests {
		merged, err := config.Rebase(document("1GiB", "20s"), r.Text, f.Newest().Text)
		require.NoError(t, err)
		if merged == f.Newest().Text {
			continue
		}
		_, err = c.Submit(t.Context(), operators.SubmitRequest{Base: e.Version, Text: merged})
		require.NoError(t, err)
	}
	require.Equal(t, document("2GiB", "25s"), f.Newest().Text)
}

// Guards against a repeated submission that is treated as a new or conflicting one, also after later changes.
func TestRepeatedSubmission(t *testing.T) {
	f, _, ana, budi := withDocument(t)
	r := operators.SubmitRequest{Base: 1, Text: document("1GiB", "25s")}
	f.LoseNextAnswer()
	_, err := ana.Submit(t.Context(), r)
	requireCode(t, err, operators.CodeOutcomeUnknown)
	_, err = budi.Submit(t.Context(), operators.SubmitRequest{Base: 2, Text: document("2GiB", "25s")})
	require.NoError(t, err)

	f.Expired = []fleet.HostID{"h7"}
	a, err := ana.Submit(t.Context(), r)
	require.NoError(t, err)
	require.Equal(t, operators.SubmitAnswer{Version: 2, Sections: []string{"limits"}, Repeated: true, ExpiredHosts: []string{"h7"}}, a)
	require.Equal(t, fleet.DocumentVersion(3), f.Newest().Version)
	a, err = ana.Submit(t.Context(), operators.SubmitRequest{Base: 3, Text: document("2GiB", "25s")})
	require.NoError(t, err)
	require.True(t, a.Unchanged)
}

// changingSystem is a system whose document changes right after it was first read.
type changingSystem struct {
	*operatorstest.System
	change func()
}

func (o *changingSystem) Document(ctx context.Context) (control.Document, error) {
	d, err := o.System.Document(ctx)
	if change := o.change; change != nil {
		o.change = nil
		change()
	}
	return d, err
}

// Guards against a change of a section by an operator who lost its ownership while the submission was being checked.
func TestOwnershipLostDuringSubmit(t *testing.T) {
	f, _, ana, _ := withDocument(t)
	without := strings.Replace(document("1GiB", "20s"), "models: [budi]", "models: [ana]", 1)
	changing := &changingSystem{System: f, change: func() {
		_, err := ana.Submit(t.Context(), operators.SubmitRequest{Base: 1, Text: without})
		require.NoError(t, err)
	}}
	budi := operatorstest.Serve(t, changing, firstOperator).Client("token-budi")
	text := strings.Replace(without, "1GiB", "2GiB", 1)
	_, err := budi.Submit(t.Context(), operators.SubmitRequest{Base: 2, Text: text})
	requireCode(t, err, operators.CodeUnknownBase)
	_, err = budi.Submit(t.Context(), operators.SubmitRequest{Base: 2, Text: text})
	requireCode(t, err, operators.CodeNotOwner)
	require.Equal(t, without, f.Newest().Text)
}

// Guards against hunks that produce a different document than the operator intended.
func TestSubmitHunks(t *testing.T) {
	f, _, ana, _ := withDocument(t)
	want := document("1GiB", "25s")
	var hunks []operators.HunkRequest
	for _, h := range config.Diff(f.Newest().Text, want).Hunks {
		hunks = append(hunks, operators.HunkRequest{Start: h.Start, End: h.End, Lines: h.Lines})
	}
	_, err := ana.Submit(t.Context(), operators.SubmitRequest{Base: 1, Digest: control.Digest(want + "x"), Hunks: hunks})
	requireCode(t, err, operators.CodeDigestMismatch)
	_, err = ana.Submit(t.Context(), operators.SubmitRequest{Base: 1, Digest: control.Digest(want), Hunks: hunks})
	require.NoError(t, err)
	require.Equal(t, want, f.Newest().Text)
}

// Guards against changes that are accepted although they are forbidden or invalid, and against errors with a wrong code.
func TestRefusedRequests(t *testing.T) {
	f, _, ana, budi := withDocument(t)
	for name, tc := range map[string]struct {
		client  *operators.Client
		request operators.SubmitRequest
		code    operators.Code
	}{
		"section of another owner": {budi, operators.SubmitRequest{Base: 1, Text: document("1GiB", "25s")}, operators.CodeNotOwner},
		"invalid document":         {ana, operators.SubmitRequest{Base: 1, Text: document("1", "25")}, operators.CodeInvalidDocument},
		"unknown newer base":       {ana, operators.SubmitRequest{Base: 9, Text: document("1GiB", "25s")}, operators.CodeUnknownBase},
		"old base":                 {ana, operators.SubmitRequest{Base: 0, Text: document("1GiB", "25s")}, operators.CodeConflict},
		"neither text nor hunks":   {ana, operators.SubmitRequest{Base: 1}, operators.CodeBadRequest},
		"too large":                {ana, operators.SubmitRequest{Base: 1, Text: strings.Repeat("#", operators.MaxBody)}, operators.CodeTooLarge},
		"large document":           {ana, operators.SubmitRequest{Base: 1, Text: strings.Repeat("#", control.MaxDocumentBytes+1)}, operators.CodeInvalidDocument},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := tc.client.Submit(t.Context(), tc.request)
			requireCode(t, err, tc.code)
		})
	}
	_, err := budi.Submit(t.Context(), operators.SubmitRequest{Base: 1, Text: document("1", "25")})
	require.Len(t, requireCode(t, err, operators.CodeInvalidDocument).Problems, 2)
	require.Equal(t, fleet.DocumentVersion(1), f.Newest().Version)

	_, err = budi.Drain(t.Context(), operators.DrainRequest{Host: "h1"})
	require.Equal(t, []string{"capacity"}, requireCode(t, err, operators.CodeNotOwner).Sections)
	_, err = ana.Drain(t.Context(), operators.DrainRequest{Host: "gone"})
	requireCode(t, err, operators.CodeUnknown)
	_, err = ana.Drain(t.Context(), operators.DrainRequest{Host: "h1", BackendServer: "e1"})
	requireCode(t, err, operators.CodeBadRequest)
	_, err = ana.Drain(t.Context(), operators.DrainRequest{BackendServer: "e1"})
	require.NoError(t, err)
	require.Equal(t, []operators.Drain{{Backend: "e1", Operator: "ana"}}, f.Drains)
	requireCode(t, ana.Ready(t.Context()), operators.CodeUnavailable)
}

// Guards against requests that are served without a valid token, and against errors with a wrong code.
func TestRawRequests(t *testing.T) {
	_, srv, _, _ := withDocument(t)
	for name, tc := range map[string]struct {
		head, body string
		want       string
	}{
		"unknown path":             {"GET /v1/nothing", "", `"code":"not-found"`},
		"wrong method":             {"POST /v1/status", "", `"code":"method-not-allowed"`},
		"unknown key":              {"POST /v1/drain", `{"unit":"h1"}`, `"code":"bad-request"`},
		"two values":               {"POST /v1/drain", `{"host":"h1"} {}`, `"code":"bad-request"`},
		"too large":                {fmt.Sprintf("POST /v1/document HTTP/1.1\r\nContent-Length: %d", operators.MaxBody+1), "", `"code":"too-large"`},
		"invalid index":            {"GET /v1/watch?after=x", "", `"code":"bad-request"`},
		"text exposition":          {"GET /metrics", "", "HTTP/1.1 200"},
		"profiles":                 {"GET /debug/pprof/cmdline", "", "HTTP/1.1 200"},
		"health without token":     {"GET /health HTTP/1.1", "", `"state":"healthy"`},
		"document without token":   {"GET /v1/document HTTP/1.1", "", `"code":"unauthorized"`},
		"text metrics, no token":   {"GET /metrics HTTP/1.1", "", `"code":"unauthorized"`},
		"metrics without token":    {"GET /v1/metrics HTTP/1.1", "", `"code":"unauthorized"`},
		"profiles without token":   {"GET /debug/pprof/heap HTTP/1.1", "", `"code":"unauthorized"`},
		"watch without token":      {"GET /v1/watch HTTP/1.1", "", `"code":"unauthorized"`},
		"unknown path, no token":   {"GET /v1/nothing HTTP/1.1", "", `"code":"unauthorized"`},
		"other scheme than bearer": {"GET /v1/status HTTP/1.1\r\nAuthorization: Basic token-ana", "", `"code":"unauthorized"`},
	} {
		t.Run(name, func(t *testing.T) {
			conn, err := srv.Dial(t.Context(), operatorstest.AddressUp)
			require.NoError(t, err)
			head := tc.head
			if !strings.Contains(head, "HTTP/1.1") {
				head += fmt.Sprintf(" HTTP/1.1\r\nAuthorization: Bearer token-budi\r\nContent-Length: %d", len(tc.body))
			}
			_, err = fmt.Fprintf(conn, "%s\r\nHost: h\r\nConnection: close\r\n\r\n%s", head, tc.body)
			require.NoError(t, err)
			answer, err := io.ReadAll(conn)
			require.NoError(t, err)
			require.Contains(t, string(answer), tc.want)
		})
	}
}

// Guards against values that are missing from answers.
func TestReadRequests(t *testing.T) {
	f, srv, _, budi := withDocument(t)
	d, err := budi.Document(t.Context())
	require.NoError(t, err)
	require.Equal(t, f.Newest().Text, d.Text)
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
	f.Registry.Counter("requests", "").With().Inc(2)
	fams, err := budi.Metrics(t.Context())
	require.NoError(t, err)
	require.Equal(t, "requests", fams[1].Name)
	require.Equal(t, int64(2), fams[1].Metrics[0].Value)
	require.Equal(t, "operators-requests", fams[0].Name)
	require.Equal(t, map[string]string{"path": operators.PathHosts, "code": "ok"}, fams[0].Metrics[3].Labels)
	diff, err := budi.Diff(t.Context(), operators.DiffRequest{Text: document("2GiB", "25")})
	require.NoError(t, err)
	require.Equal(t, []string{"limits", "models"}, diff.Sections)
	require.Equal(t, []string{"limits"}, diff.NotOwned)
	require.Len(t, diff.Problems, 1)

	down := operators.NewClient(operators.ClientSettings{Addresses: []string{"127.0.0.1:1"}, Dial: srv.Dial})
	var unreachable *operators.Unreachable
	require.ErrorAs(t, down.Ready(t.Context()), &unreachable)
}

// Guards against changes that are missing from a watch stream, and against streams that do not end with their reader.
func TestWatch(t *testing.T) {
	_, _, ana, _ := withDocument(t)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var seen []uint64
	err := ana.Watch(ctx, 0, func(e operators.EventAnswer) error {
		switch {
		case e.Kind == string(operators.EventHeartbeat):
			return nil
		case e.Index == 1:
			_, err := ana.Submit(ctx, operators.SubmitRequest{Base: 1, Text: document("1GiB", "25s")})
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
