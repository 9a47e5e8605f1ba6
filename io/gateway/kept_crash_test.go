//go:build !race

package gateway

import (
	"fmt"
	"net"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"toucanway/core/balance"
	"toucanway/core/crashes"
	"toucanway/core/fleet"
)

// crashingOnPath returns a script that crashes the server at each request for a path, and answers all others. A crash calls crashed.
func (f *fixture) crashingOnPath(name, path string, crashed func()) script {
	return func(req *fasthttp.Request, c net.Conn) {
		if string(req.Header.RequestURI()) != path {
			time.Sleep(10 * time.Millisecond)
			signedAnswer("good")(req, c)
			return
		}
		f.crash(name)
		c.Close()
		crashed()
	}
}

// keepConnections sends sound requests side by side until each of the servers has answered one, so that the gateway keeps connections to all.
func (f *fixture) keepConnections(names []string) {
	for i := 0; slices.ContainsFunc(names, func(name string) bool { return len(f.requests(name)) == 0 }); i++ {
		require.Less(f.t, i, 1000, "there are servers without a request")
		var calls sync.WaitGroup
		for range names {
			calls.Go(func() {
				_, err := f.call(getRequest(fmt.Sprint("/safe/", i)))
				assert.NoError(f.t, err)
			})
		}
		calls.Wait()
	}
}

// Guards against a safe request that crashes all servers of its service by one attempt, again and again, and is never recognised: on a kept
// connection its repeat is refused a connection by the crashed server, which must not make the request one that was not sent.
func TestRequestThatCrashesServersOnKeptConnections(t *testing.T) {
	const (
		contactTime = 4 * time.Second
		path        = "/safe/deadly"
		requests    = 8
		servers     = 3
		interval    = 4500 * time.Millisecond
	)
	startServerDate()
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		defer f.close()
		v := f.gateway.view
		v.jobs.Start(t.Context())
		d := crashes.NewDetector(1)
		crashed, reachedLate := 0, 0
		var third time.Time
		var running []string
		for i := range requests {
			running = running[:0]
			for j := range servers {
				name := fmt.Sprintf("s%d-%d", i, j)
				running = append(running, name)
				f.addServer(name, f.crashingOnPath(name, path, func() {
					if crashed++; crashed == 3 {
						third = time.Now()
					}
				}))
			}
			f.keepConnections(running)
			before := crashed
			res, err := f.call(getRequest(path))
			require.NoError(t, err)
			synctest.Wait()
			switch n := crashed - before; {
			case n == 0:
				require.Equal(t, 503, res.StatusCode())
				require.Contains(t, string(res.Body()), poisonRequest)
			default:
				require.LessOrEqual(t, n, 2, "servers that one attempt reaches")
				require.Equal(t, 502, res.StatusCode(), "the request may have run")
				if !third.IsZero() && time.Since(third) > contactTime {
					reachedLate++
				}
			}
			// The servers that did not crash leave, so that all of the next ones have kept connections.
			for _, name := range running {
				f.crash(name)
				v.mu.Lock()
				delete(v.instances, fleet.BackendID(name))
				v.mu.Unlock()
			}
			for end := time.Now().Add(interval); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
				f.report(d)
				d.Tick(time.Now())
			}
		}
		require.LessOrEqual(t, reachedLate, 3, "requests after the contact time")
		require.NoError(t, v.jobs.Stop())
	})
}

// Guards against repeats on kept connections that nothing is charged for, that exceed a grant or a trial, and against a refusal that says the
// request has not run since only its repeat has not.
func TestRepeatOnKeptConnection(t *testing.T) {
	// endOnce ends the connection without an answer at the first request for a path, and answers it the second time.
	endOnce := func(second script) script {
		asked := false
		return func(req *fasthttp.Request, c net.Conn) {
			if !strings.HasPrefix(string(req.Header.RequestURI()), "/safe/tested") {
				signedAnswer("good")(req, c)
				return
			}
			if !asked {
				asked = true
				c.Close()
				return
			}
			second(req, c)
		}
	}
	rejection := rawAnswer("HTTP/1.1 503 Busy\r\nId: 1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n")
	otherServer := rawAnswer("HTTP/1.1 421 Misdirected\r\nId: 1\r\nInstance: z\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n")
	tests := map[string]struct {
		second script
		// prepare changes the gateway before the request.
		prepare func(v *View)
		status  int
		// reached is the number of times that the request reaches the server.
		reached int
		// left is the number of repeats that the retry budget allows afterwards.
		left int
	}{
		"answered":              {signedAnswer("good"), func(*View) {}, 200, 2, 2},
		"rejected":              {rejection, func(*View) {}, 502, 2, 2},
		"answered by another":   {otherServer, func(*View) {}, 502, 2, 2},
		"the budget is used up": {signedAnswer("good"), func(v *View) { v.budget.SetLimits(0, 0) }, 502, 1, 0},
		"trial": {signedAnswer("good"), func(v *View) {
			v.evidence.Apply(time.Now(), time.Now(), nil, &crashes.State{
				Revision: crashes.Revision{Term: 1, N: 1}, Trials: []fleet.Fingerprint{crashes.PromptPart("x", 1).ID},
				Listed: []crashes.Listing{{Content: crashes.PromptPart("x", 1)}},
			})
		}, 502, 1, 3},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			startServerDate()
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t)
				defer f.close()
				f.addServer("a", endOnce(tt.second))
				_, err := f.call(getRequest("/safe/first"))
				require.NoError(t, err)
				v := f.gateway.view
				v.mu.Lock()
				v.budget.SetLimits(0, 3)
				tt.prepare(v)
				v.mu.Unlock()
				for range 10 {
					v.recordArrival("s", &balance.Request{Plain: true})
				}
				res, err := f.call(partRequest("/safe/tested", 1, "x"))
				require.NoError(t, err)
				require.Equal(t, tt.status, res.StatusCode(), "%s", res.Body())
				require.Equal(t, tt.reached, f.requestsWith("/safe/tested"))
				left := 0
				for v.spendRetry("s") {
					left++
				}
				require.Equal(t, tt.left, left)
			})
		})
	}
}
