package engines

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"testing"
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
