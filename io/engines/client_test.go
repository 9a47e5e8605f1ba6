package engines

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/joomcode/errorx"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttputil"

	"toucanway/core/fleet"
	"toucanway/io/backend"
)

// memoryNetwork is a network that consists of one in-memory listener.
type memoryNetwork struct {
	l *fasthttputil.InmemoryListener
}

func (m memoryNetwork) Listen(string) (net.Listener, error)            { return m.l, nil }
func (m memoryNetwork) Dial(context.Context, string) (net.Conn, error) { return m.l.Dial() }

// newClient returns a client of an engine that answers each request with raw bytes.
func newClient(t *testing.T, answer string) *Client {
	l := fasthttputil.NewInmemoryListener()
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				r := bufio.NewReader(c)
				var req fasthttp.Request
				for req.Read(r) == nil {
					if _, err := io.WriteString(c, answer); err != nil {
						return
					}
				}
			}()
		}
	}()
	return NewClient(backend.NewPool(memoryNetwork{l}))
}

func httpAnswer(status int, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
}

// Guards against an error answer that is taken as a promise that the request has not run: only a refusal that says so and names
// the request is one, whatever its status.
func TestErrorAnswers(t *testing.T) {
	tests := map[string]struct {
		answer string
		want   *errorx.Type
	}{
		"refused":                {httpAnswer(503, `{"error":{"execution":"not-run","request_id":"r"}}`), ErrRefused},
		"failed after a run":     {httpAnswer(500, `{"error":{"execution":"may-have-run","request_id":"r"}}`), ErrFailed},
		"no body":                {httpAnswer(500, ""), ErrFailed},
		"not JSON":               {httpAnswer(503, "busy"), ErrFailed},
		"without execution":      {httpAnswer(503, `{"error":{"request_id":"r"}}`), ErrFailed},
		"refusal of another one": {httpAnswer(503, `{"error":{"execution":"not-run","request_id":"other"}}`), ErrFailed},
		"refusal without an id":  {httpAnswer(503, `{"error":{"execution":"not-run"}}`), ErrFailed},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := newClient(t, tt.answer).Complete(t.Context(), Completion{Address: "e:1", Request: "r", IdleTimeout: time.Minute})
			require.True(t, errorx.IsOfType(err, tt.want), "%v", err)
		})
	}
}

// Guards against an order that counts as refused, and is given to another engine, although this one may carry it out.
func TestOrderAnswers(t *testing.T) {
	tests := map[string]struct {
		answer string
		want   fleet.OrderOutcome
	}{
		"done":                 {httpAnswer(200, `{"order":7,"outcome":"done"}`), fleet.OrderDone},
		"refused":              {httpAnswer(409, `{"order":7,"outcome":"refused"}`), fleet.OrderRefused},
		"failed":               {httpAnswer(200, `{"order":7,"outcome":"failed"}`), fleet.OrderFailed},
		"internal error":       {httpAnswer(500, "oops"), fleet.OrderInDoubt},
		"busy without outcome": {httpAnswer(503, `{"error":{"execution":"not-run"}}`), fleet.OrderInDoubt},
		"another order":        {httpAnswer(200, `{"order":6,"outcome":"done"}`), fleet.OrderInDoubt},
		"done with an error":   {httpAnswer(500, `{"order":7,"outcome":"done"}`), fleet.OrderInDoubt},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			out, err := newClient(t, tt.answer).Order(t.Context(), "e:1", fleet.Order{ID: 7, Deadline: time.Minute})
			require.Equal(t, tt.want, out)
			require.Equal(t, tt.want == fleet.OrderDone, err == nil)
		})
	}
}

// Guards against an answer that an engine holds open without ever making a token or an end: what it sends meanwhile is no
// progress. A slow stream whose tokens arrive within the timeout is sound.
func TestStreamEnds(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n"
	token := func(i int) string {
		return fmt.Sprintf("data: {\"id\":\"r\",\"token_index\":%d,\"choices\":[{\"text\":\"x\"}]}\n\n", i)
	}
	tests := map[string]struct {
		// first is sent at once, then after each pause the next piece, until the connection is closed.
		first  string
		pause  time.Duration
		next   func(i int) string
		tokens int
		whole  bool
	}{
		"slow but sound": {head, 8 * time.Second, func(i int) string {
			if i == 20 {
				return "data: [DONE]\n\n"
			}
			return token(i)
		}, 20, true},
		"comments":                 {head + token(0), time.Second, func(int) string { return ": waiting\n\n" }, 1, false},
		"a byte now and then":      {head + token(0) + "data: ", time.Second, func(int) string { return "x" }, 1, false},
		"events that say nothing":  {head + token(0), time.Second, func(int) string { return "data: {\"id\":\"r\"}\n\n" }, 1, false},
		"repeated tokens":          {head + token(0), time.Second, func(int) string { return token(0) }, 1, false},
		"bytes without end at end": {head + token(0) + "data: [DONE]\n\n", time.Millisecond, func(int) string { return "x" }, 1, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ended := make(chan struct{})
				c := NewClient(backend.NewPool(scriptedNetwork(func(c net.Conn) {
					defer close(ended)
					text := tt.first
					for i := 0; ; i++ {
						if _, err := io.WriteString(c, text); err != nil {
							return
						}
						time.Sleep(tt.pause)
						text = tt.next(i)
					}
				})))
				s, err := c.Complete(context.Background(), Completion{Address: "e:1", Request: "r", IdleTimeout: 10 * time.Second})
				require.NoError(t, err)
				tokens := 0
				lastToken := time.Now()
				for {
					if _, err = s.Next(); err != nil {
						break
					}
					tokens++
					lastToken = time.Now()
				}
				s.Close()
				<-ended
				require.LessOrEqual(t, time.Since(lastToken), 10*time.Second+tt.pause)
				require.Equal(t, tt.tokens, tokens)
				require.Equal(t, tt.whole, err == io.EOF, "%v", err)
			})
		})
	}
}

// scriptedNetwork connects each dial to an engine that reads one request and then runs the script on the connection.
type scriptedNetwork func(c net.Conn)

func (n scriptedNetwork) Listen(string) (net.Listener, error) { return nil, net.ErrClosed }

func (n scriptedNetwork) Dial(context.Context, string) (net.Conn, error) {
	client, server := net.Pipe()
	go func() {
		defer server.Close()
		var req fasthttp.Request
		if req.Read(bufio.NewReader(server)) == nil {
			n(server)
		}
	}()
	return client, nil
}
