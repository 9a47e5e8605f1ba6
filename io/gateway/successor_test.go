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
	"toucanway/core/fleet"
)

// pausing returns a script that sends the first event, and the second one and the end of the stream after a pause. It tells on whole whether the
// connection was open until then.
func pausing(pause time.Duration, whole chan<- bool) script {
	return func(_ *fasthttp.Request, c net.Conn) {
		io.WriteString(c, streamHead+chunk(event(1)))
		time.Sleep(pause)
		_, err := io.WriteString(c, chunk(event(2))+chunk(event(3))+"0\r\n\r\n")
		whole <- err == nil
	}
}

// goingOnAfter returns a script that goes on with a stream of three events after a delay.
func goingOnAfter(delay time.Duration) script {
	return func(req *fasthttp.Request, c net.Conn) {
		time.Sleep(delay)
		last := 0
		fmt.Sscan(string(req.Header.Peek("Last-Event")), &last)
		text := streamHead
		for i := last + 1; i <= 3; i++ {
			text += chunk(event(i))
		}
		io.WriteString(c, text+"0\r\n\r\n")
	}
}

// newPausedStream returns a fixture whose resumable streams begin at server a, with the other servers that are given.
func newPausedStream(t *testing.T, first script, others map[string]script) *fixture {
	f := newFixture(t)
	f.gateway.view.jobs.Start(t.Context())
	f.addServer("a", first)
	for name, s := range others {
		f.addServer(name, s)
		f.gateway.view.mu.Lock()
		f.gateway.view.instances[fleet.BackendID(name)].DataCentre = "elsewhere"
		f.gateway.view.mu.Unlock()
	}
	return f
}

// end ends a fixture of newPausedStream once the checks for crashes have ended, which open connections.
func (f *fixture) end() {
	synctest.Wait()
	f.close()
	require.NoError(f.t, f.gateway.view.jobs.Stop())
}

// Guards against a sound stream that is given up at a silent server for another one that does not accept it, and is then cut.
func TestSilentStreamIsKeptUntilAnotherServerAccepts(t *testing.T) {
	// pause is longer than the time after which another server is tried, and shorter than the patience of callers.
	const pause = 1800 * time.Millisecond
	full := rawAnswer("HTTP/1.1 503 Busy\r\nId: 1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n")
	tests := map[string]struct {
		others map[string]script
		// prepare changes the gateway before the request.
		prepare func(f *fixture)
		// asked is set if the other server gets the request.
		asked bool
	}{
		"full":                  {map[string]script{"b": full}, nil, true},
		"all full":              {map[string]script{"b": full, "c": full}, nil, true},
		"crashed":               {map[string]script{"b": nil}, nil, false},
		"silent as well":        {map[string]script{"b": func(_ *fasthttp.Request, c net.Conn) { _, _ = c.Read(make([]byte, 1)) }}, nil, true},
		"fails":                 {map[string]script{"b": rawAnswer("HTTP/1.1 500 Oops\r\nId: 1\r\nSignature: x\r\nContent-Length: 0\r\n\r\n")}, nil, true},
		"crashes":               {map[string]script{"b": closeConnection}, nil, true},
		"answers without stamp": {map[string]script{"b": rawAnswer("HTTP/1.1 200 OK\r\nId: 1\r\nContent-Type: text/event-stream\r\nContent-Length: 0\r\n\r\n")}, nil, true},
		"malformed status":      {map[string]script{"b": rawAnswer(inChunks("HTTP/1.1 000 OK\r\nId: 1\r\nSignature: x\r\n"+eventType, event(3)))}, nil, true},
		"malformed field":       {map[string]script{"b": rawAnswer(inChunks(signedHead+"Odd Name: x\r\n"+eventType, event(3)))}, nil, true},
		"no budget": {map[string]script{"b": goingOnAfter(0)}, func(f *fixture) {
			f.gateway.view.budget.SetLimits(0, 0)
		}, false},
		"content is listed": {map[string]script{"b": goingOnAfter(0)}, func(f *fixture) {
			go func() {
				time.Sleep(pause / 4)
				v := f.gateway.view
				v.mu.Lock()
				defer v.mu.Unlock()
				v.evidence.Apply(time.Now(), time.Now(), nil, &crashes.State{
					Revision: crashes.Revision{Term: 1, N: 1}, Listed: []crashes.Listing{{Content: crashes.WholeRequest([]byte("GET"), []byte("/resumable/"), nil, nil), Left: time.Minute}},
				})
			}()
		}, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			startServerDate()
			synctest.Test(t, func(t *testing.T) {
				whole := make(chan bool, 1)
				f := newPausedStream(t, pausing(pause, whole), tt.others)
				if tt.prepare != nil {
					tt.prepare(f)
				}
				body, complete := f.readStream("/resumable/")
				require.Equal(t, event(1)+event(2)+event(3), body)
				require.True(t, complete)
				require.True(t, <-whole, "the server was given up")
				require.Len(t, f.requests("a"), 1)
				require.Equal(t, tt.asked, f.totalRequests() > 1)
				f.end()
			})
		})
	}
}

// Guards against attempts at other servers, each of which costs the retry budget and a record, without an end.
func TestAttemptsAtOtherServersAreBounded(t *testing.T) {
	startServerDate()
	synctest.Test(t, func(t *testing.T) {
		whole := make(chan bool, 1)
		full := rawAnswer("HTTP/1.1 503 Busy\r\nId: 1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n")
		f := newPausedStream(t, pausing(4500*time.Millisecond, whole), map[string]script{"b": full})
		_, complete := f.readStream("/resumable/")
		require.True(t, complete)
		require.True(t, <-whole)
		require.Len(t, f.requests("b"), maxSuccessors)
		f.end()
	})
}

// Guards against a server that is kept at work once another one goes on with its stream.
func TestSilentServerIsGivenUpOnceAnotherAccepts(t *testing.T) {
	startServerDate()
	synctest.Test(t, func(t *testing.T) {
		closed := make(chan time.Time, 1)
		f := newPausedStream(t, func(_ *fasthttp.Request, c net.Conn) {
			io.WriteString(c, streamHead+chunk(event(1)))
			_, _ = c.Read(make([]byte, 1))
			closed <- time.Now()
		}, map[string]script{"b": goingOnAfter(100 * time.Millisecond)})
		began := time.Now()
		body, whole := f.readStream("/resumable/")
		require.Equal(t, event(1)+event(2)+event(3), body)
		require.True(t, whole)
		require.Equal(t, began.Add(1100*time.Millisecond), <-closed)
		require.Equal(t, 1, strings.Count(strings.Join(f.requests("b"), ""), "Last-Event: 1\r\n"))
		f.end()
	})
}

// Guards against events that are lost, come twice or are joined out of order when a silent server goes on, ends or crashes at about the time at
// which another one accepts its stream.
func TestServersThatGoOnAtOnce(t *testing.T) {
	startServerDate()
	for pause := 950 * time.Millisecond; pause <= 1250*time.Millisecond; pause += 10 * time.Millisecond {
		for _, delay := range []time.Duration{0, 10 * time.Millisecond, 100 * time.Millisecond, 150 * time.Millisecond} {
			for _, crash := range []bool{false, true} {
				synctest.Test(t, func(t *testing.T) {
					whole := make(chan bool, 2)
					first := pausing(pause, whole)
					if crash {
						first = func(_ *fasthttp.Request, c net.Conn) {
							io.WriteString(c, streamHead+chunk(event(1)))
							time.Sleep(pause)
							c.Close()
						}
					}
					f := newPausedStream(t, first, map[string]script{"b": goingOnAfter(delay)})
					body, complete := f.readStream("/resumable/")
					require.Equal(t, event(1)+event(2)+event(3), body, "pause %v, delay %v, crash %v", pause, delay, crash)
					require.True(t, complete, "pause %v, delay %v, crash %v", pause, delay, crash)
					f.end()
				})
			}
		}
	}
}
