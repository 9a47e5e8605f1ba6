//go:build !race

package gateway

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"toucanway/core/crashes"
	"toucanway/core/registry"
)

// partRequest returns a request whose prompt has the given parts and one of its own.
func partRequest(path string, n int, parts string) string {
	body := fmt.Sprintf("body %d", n)
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nId: 1\r\nParts: %s,own%d\r\nContent-Length: %d\r\n\r\n%s", path, parts, n, len(body), body)
}

// untilCloseHead is the head of a stream that ends with its connection.
const untilCloseHead = "HTTP/1.1 200 OK\r\nId: 1\r\nSignature: x\r\nContent-Type: text/event-stream\r\n\r\n"

// crash ends a backend server: connections to it are refused from then on.
func (f *fixture) crash(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.listeners, name+":80")
}

// crashingOn returns a script that crashes the server at each request with a part, and answers all others.
func (f *fixture) crashingOn(name, part string) script {
	return func(req *fasthttp.Request, c net.Conn) {
		if strings.Contains(string(req.Header.Peek("Parts")), part) {
			f.crash(name)
			c.Close()
			return
		}
		signedAnswer("good")(req, c)
	}
}

// report exchanges a report with a leader whose detector is given.
func (f *fixture) report(d *crashes.Detector) {
	v := f.gateway.view
	req := v.buildReport()
	now := time.Now()
	state := d.Handle(now, req.Crashes)
	v.mu.Lock()
	defer v.mu.Unlock()
	v.evidence.Apply(now, now, req.Crashes, state)
}

// requestsWith counts the requests with a text that have reached backend servers.
func (f *fixture) requestsWith(text string) (n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, list := range f.received {
		for _, req := range list {
			n += strings.Count(req, text)
		}
	}
	return n
}

// Guards against one backend server after the other that crashes on requests with the same part of a prompt, all other content of
// which is new, and against sound requests with the same first part that are refused because of them.
func TestPartThatCrashesServersIsRefused(t *testing.T) {
	const (
		contactTime = 4 * time.Second
		requests    = 12
	)
	startServerDate()
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		defer f.close()
		f.gateway.view.jobs.Start(t.Context())
		d := crashes.NewDetector(1)
		for i := range 2 * requests {
			name := fmt.Sprint("s", i)
			f.addServer(name, f.crashingOn(name, "deadly"))
		}
		var fifth time.Time
		reachedLate := 0
		for i := range requests {
			before := f.requestsWith("deadly")
			res, err := f.call(partRequest("/unsafe/", i, "shared,deadly"))
			require.NoError(t, err)
			synctest.Wait()
			if n := f.requestsWith("deadly"); n > before {
				require.Equal(t, 502, res.StatusCode(), "the request may have run")
				if n == 5 {
					fifth = time.Now()
				}
				if !fifth.IsZero() && time.Since(fifth) > contactTime {
					reachedLate++
				}
			} else {
				require.Equal(t, 503, res.StatusCode())
				require.Contains(t, string(res.Body()), poisonRequest)
				require.NotEmpty(t, res.Header.Peek("Retry-After"))
			}
			for j := range 10 {
				res, err = f.call(partRequest("/safe/", 1000+10*i+j, "shared"))
				require.NoError(t, err)
				require.Equal(t, "good", string(res.Body()))
			}
			for range 10 {
				f.report(d)
				d.Tick(time.Now())
				time.Sleep(100 * time.Millisecond)
			}
		}
		require.LessOrEqual(t, reachedLate, 3, "requests after the contact time")
		require.LessOrEqual(t, f.requestsWith("deadly"), 8)
		require.NoError(t, f.gateway.view.jobs.Stop())
	})
}

// Guards against lost answers of servers that run on, or have left as announced, that count as crashes, and against crashes that
// nobody is told of.
func TestLostAnswerIsACrash(t *testing.T) {
	tests := map[string]struct {
		server func(f *fixture) script
		crash  bool
	}{
		"refuses connections": {func(f *fixture) script { return f.crashingOn("a", "x") }, true},
		"listens":             {func(*fixture) script { return closeConnection }, false},
		"begins an answer and refuses connections": {func(f *fixture) script {
			return func(_ *fasthttp.Request, c net.Conn) {
				f.crash("a")
				io.WriteString(c, streamHead+chunk(event(1)))
				c.Close()
			}
		}, true},
		"ends a stream with its connection and refuses connections": {func(f *fixture) script {
			return func(_ *fasthttp.Request, c net.Conn) {
				f.crash("a")
				io.WriteString(c, untilCloseHead+event(1))
				c.Close()
			}
		}, true},
		"ends a stream with its connection": {func(*fixture) script {
			return func(_ *fasthttp.Request, c net.Conn) {
				io.WriteString(c, untilCloseHead+event(1))
				c.Close()
			}
		}, false},
		"left as announced": {func(f *fixture) script {
			return func(_ *fasthttp.Request, c net.Conn) {
				v := f.gateway.view
				v.mu.Lock()
				v.instances["a"].State = registry.Draining
				v.mu.Unlock()
				f.crash("a")
				c.Close()
			}
		}, false},
		"answers": {func(*fixture) script { return signedAnswer("x") }, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			startServerDate()
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t)
				f.gateway.view.jobs.Start(t.Context())
				f.addServer("a", tt.server(f))
				c, err := f.callers.Dial()
				require.NoError(t, err)
				go io.WriteString(c, partRequest("/stream/", 1, "x,y"))
				_, _ = io.ReadAll(c)
				synctest.Wait()
				req := f.gateway.view.buildReport()
				if !tt.crash {
					require.Nil(t, req.Crashes)
				} else {
					require.NotNil(t, req.Crashes)
					require.Len(t, req.Crashes.Crashes, 1)
					k := req.Crashes.Crashes[0]
					require.EqualValues(t, "a", k.Instance)
					require.Equal(t, []crashes.Content{crashes.PromptPart("x", 1), crashes.PromptPart("y", 2)}, k.Contents[:2])
					require.Len(t, k.Contents, 3, "the part of its own counts with the whole request only")
				}
				f.close()
				require.NoError(t, f.gateway.view.jobs.Stop())
			})
		})
	}
}

// Guards against a request that may have run and is refused as not run, since its content was listed between two attempts.
func TestListedBetweenAttempts(t *testing.T) {
	f := newFixture(t)
	list := func(_ *fasthttp.Request, c net.Conn) {
		v := f.gateway.view
		v.mu.Lock()
		v.evidence.Apply(time.Now(), time.Now(), nil, &crashes.State{
			Revision: crashes.Revision{Term: 1, N: 1}, Listed: []crashes.Listing{{Content: crashes.PromptPart("x", 1), Left: time.Minute}},
		})
		v.mu.Unlock()
		c.Close()
	}
	f.addServer("a", list)
	f.addServer("b", list)
	res, err := f.call(partRequest("/safe/", 1, "x"))
	require.NoError(t, err)
	require.Equal(t, 502, res.StatusCode())
	require.Equal(t, 1, f.totalRequests())
	res, err = f.call(partRequest("/safe/", 2, "x"))
	require.NoError(t, err)
	require.Equal(t, 503, res.StatusCode())
	require.Equal(t, 1, f.totalRequests())
}

// Guards against a suspected part that is cleared by an answer that the server has not given, and against a sound one that is not
// cleared.
func TestAnswerClearsSuspect(t *testing.T) {
	tests := map[string]struct {
		path   string
		server script
		clears bool
	}{
		"answer": {"/safe/", signedAnswer("x"), true},
		"stream": {"/stream/", rawAnswer(streamHead + chunk(event(1)) + "0\r\n\r\n"), true},
		"stream without events that ends with its connection": {"/stream/", func(_ *fasthttp.Request, c net.Conn) {
			io.WriteString(c, "HTTP/1.1 200 OK\r\nId: 1\r\nSignature: x\r\n\r\n")
			c.Close()
		}, false},
		"failed answer": {"/unsafe/", rawAnswer("HTTP/1.1 500 Oops\r\nId: 1\r\nSignature: x\r\nContent-Length: 0\r\n\r\n"), false},
		"rejection":     {"/unsafe/", rawAnswer("HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"), false},
		"lost":          {"/unsafe/", closeConnection, false},
		"stream that ends with its connection": {"/stream/", func(_ *fasthttp.Request, c net.Conn) {
			io.WriteString(c, untilCloseHead+event(1))
			c.Close()
		}, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			startServerDate()
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t)
				defer f.close()
				f.gateway.view.jobs.Start(t.Context())
				f.addServer("a", tt.server)
				v := f.gateway.view
				v.evidence.Apply(time.Now(), time.Now(), nil, &crashes.State{
					Revision: crashes.Revision{Term: 1, N: 1}, Suspects: []crashes.Suspect{{ID: crashes.PromptPart("x", 1).ID, Age: time.Second}},
				})
				c, err := f.callers.Dial()
				require.NoError(t, err)
				go io.WriteString(c, partRequest(tt.path, 1, "x"))
				_, err = c.Read(make([]byte, 1))
				require.NoError(t, err)
				c.Close()
				synctest.Wait()
				req := v.buildReport()
				require.Equal(t, tt.clears, len(req.Crashes.Answers) == 1)
				require.NoError(t, v.jobs.Stop())
			})
		})
	}
}
