//go:build !race

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

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"toucanway/io/backend"
)

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
