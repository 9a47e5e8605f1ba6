package gateway

import (
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"toucanway/core/balance"
	"toucanway/core/fleet"
	"toucanway/core/holdoff"
	"toucanway/core/registry"
	"toucanway/io/controlapi"
)

// leaving returns a script that writes an answer with a status line and headers of the server, which says that it leaves.
func leaving(head, body string) script {
	return func(req *fasthttp.Request, c net.Conn) {
		fmt.Fprintf(c, "HTTP/1.1 %s\r\nLeaving: 1\r\nContent-Length: %d\r\n\r\n%s", head, len(body), body)
	}
}

// addDistantServer adds a server in another data centre, which is chosen only if there is no other.
func (f *fixture) addDistantServer(name string, s script) {
	f.addServer(name, s)
	f.gateway.view.mu.Lock()
	defer f.gateway.view.mu.Unlock()
	f.gateway.view.instances[fleet.BackendID(name)].DataCentre = "elsewhere"
}

// Guards against requests to a server after any of its answers has said that it leaves (rule DRAIN), whether or not the leader of
// the control group knows.
func TestNoRequestsToLeavingServer(t *testing.T) {
	tests := map[string]struct {
		path string
		// first is the behaviour of the server that leaves; its first request is answered by the other server if retried is set.
		first   script
		retried bool
	}{
		"success":       {"/unsafe/", leaving("200 OK\r\nId: 1\r\nSignature: x", "a"), false},
		"failure":       {"/unsafe/", leaving("500 Failed\r\nId: 1\r\nSignature: x", "a"), false},
		"not run":       {"/unsafe/", leaving("503 Busy\r\nId: 1\r\nNot-Run: 1", "a"), true},
		"misdirected":   {"/unsafe/", leaving("421 Other\r\nId: 1\r\nInstance: a", "a"), true},
		"other request": {"/safe/", leaving("200 OK\r\nId: 7\r\nSignature: x", "a"), true},
		"unsigned":      {"/safe/", leaving("200 OK\r\nId: 1", "a"), true},
		"body cut off": {"/safe/", func(_ *fasthttp.Request, c net.Conn) {
			io.WriteString(c, "HTTP/1.1 200 OK\r\nId: 1\r\nSignature: x\r\nLeaving: 1\r\nContent-Length: 9\r\n\r\nx")
			c.Close()
		}, true},
		"stream": {"/stream/", func(_ *fasthttp.Request, c net.Conn) {
			io.WriteString(c, "HTTP/1.1 200 OK\r\nId: 1\r\nSignature: x\r\nLeaving: 1\r\nTransfer-Encoding: chunked\r\n\r\n"+chunk(event(1))+"0\r\n\r\n")
		}, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			closing := func(req *fasthttp.Request, c net.Conn) {
				tt.first(req, c)
				c.Close()
			}
			f.addServer("a", closing)
			f.addDistantServer("b", signedAnswer("b"))
			res, err := f.call(getRequest(tt.path))
			require.NoError(t, err)
			require.Equal(t, tt.retried, string(res.Body()) == "b")
			for range 3 {
				res, err = f.call(getRequest("/unsafe/"))
				require.NoError(t, err)
				require.Equal(t, "b", string(res.Body()))
			}
			require.Len(t, f.requests("a"), 1)
			// The server is not merely ranked behind the other one for a moment.
			c := f.gateway.view.pick(t.Context(), "s", &balance.Request{Plain: true}, constraint{})
			require.Equal(t, 1, c.choice.Candidates)
		})
	}
}

// closingNotices are the notices after which a server takes no requests.
func closingNotices() map[string]holdoff.Notice {
	return map[string]holdoff.Notice{"leaves": {Leaving: true}, "pauses": {Pause: time.Minute}}
}

// Guards against a request that is written to a server that has closed for this host while the connection was opened.
func TestServerClosesWhileConnecting(t *testing.T) {
	for name, n := range closingNotices() {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.addServer("a", signedAnswer("a"))
			f.addDistantServer("b", signedAnswer("b"))
			f.onDial = func(address string) {
				if address == "a:80" {
					f.gateway.view.observeAnswer(f.gateway.view.instances["a"], AnswerInfo{Notice: n})
				}
			}
			res, err := f.call(getRequest("/unsafe/"))
			require.NoError(t, err)
			require.Equal(t, "b", string(res.Body()))
			require.Empty(t, f.requests("a"))
			f.gateway.view.mu.Lock()
			defer f.gateway.view.mu.Unlock()
			require.False(t, f.gateway.view.balancer.Loads(time.Now())["a"].Unreachable, "the server has not failed")
		})
	}
}

// Guards against a stream that is ended at a slow server for the sake of one that takes no requests.
func TestNoSwitchToClosedServer(t *testing.T) {
	for name, n := range closingNotices() {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.addServer("a", nil)
			f.addServer("b", nil)
			v := f.gateway.view
			tried := map[fleet.BackendID]bool{"a": true}
			r := &balance.Request{Plain: true}
			require.True(t, v.otherServerExists("s", r, constraint{excluded: tried}))
			v.observeAnswer(v.instances["b"], AnswerInfo{Notice: n})
			require.False(t, v.otherServerExists("s", r, constraint{excluded: tried}))
		})
	}
}

// Guards against a notice that is attributed to the server that was asked although another one has its address and names itself.
func TestNoticeOfAnotherServer(t *testing.T) {
	f := newFixture(t)
	f.addServer("a", nil)
	f.addServer("b", nil)
	v := f.gateway.view
	v.observeAnswer(v.instances["a"], AnswerInfo{Instance: "b", Notice: holdoff.Notice{Leaving: true}})
	v.observeAnswer(v.instances["a"], AnswerInfo{Instance: "unknown", Notice: holdoff.Notice{Leaving: true}})
	c := v.pick(t.Context(), "s", &balance.Request{Plain: true}, constraint{})
	require.Equal(t, fleet.BackendID("a"), c.instance.ID)
	require.Equal(t, 1, c.choice.Candidates)
}

// Guards against a leader that never hears that a server leaves because one report was lost or reached an earlier leader.
func TestLeavingServersAreReported(t *testing.T) {
	f := newFixture(t)
	f.addServer("a", nil)
	f.addServer("b", nil)
	v := f.gateway.view
	require.Empty(t, v.buildReport().Leaving)
	v.observeAnswer(v.instances["a"], AnswerInfo{Notice: holdoff.Notice{Leaving: true}})
	select {
	case <-v.reportNow:
	default:
		require.Fail(t, "the report waits for its interval")
	}
	want := []fleet.BackendIncarnation{{Backend: "a", Incarnation: 1}}
	require.Equal(t, want, v.buildReport().Leaving)
	require.Equal(t, want, v.buildReport().Leaving)
	draining := *v.instances["a"]
	draining.State = registry.Draining
	v.applyChanges(controlapi.Position{}, &controlapi.FollowResponse{Instances: []registry.Instance{draining}})
	require.Empty(t, v.buildReport().Leaving)
	restarted := registry.Instance{ID: "a", Incarnation: 2, Service: "s", Address: "a:80"}
	v.applyChanges(controlapi.Position{}, &controlapi.FollowResponse{Instances: []registry.Instance{restarted}})
	require.Empty(t, v.buildReport().Leaving)
}
