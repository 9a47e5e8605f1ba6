package engines

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttputil"

	"toucanway/core/fleet"
	"toucanway/io/backend"
)

// newClosingClient returns a client of an engine that writes a text for a request and closes the connection.
func newClosingClient(t *testing.T, text string) *Client {
	l := fasthttputil.NewInmemoryListener()
	t.Cleanup(func() { l.Close() })
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		var req fasthttp.Request
		if req.Read(bufio.NewReader(c)) == nil {
			io.WriteString(c, text)
		}
	}()
	return NewClient(backend.NewPool(memoryNetwork{l}))
}

const (
	tokens  = "data: {\"id\":\"r\",\"token_index\":2,\"choices\":[{\"text\":\"x\"}]}\n\ndata: {\"id\":\"r\",\"token_index\":3,\"choices\":[{\"text\":\"y\"}]}\n\n"
	refusal = `{"error":{"execution":"not-run","request_id":"r"}}`
)

// readTokens reads the answer to a completion that goes on behind token 1, and returns its tokens and the error that ended it.
func readTokens(t *testing.T, text string) (string, error) {
	s, err := newClosingClient(t, text).Complete(t.Context(), Completion{Address: "e:1", Request: "r", ResumeFrom: 2, IdleTimeout: time.Minute})
	if err != nil {
		return "", err
	}
	defer s.Close()
	var out strings.Builder
	for {
		token, err := s.Next()
		if err != nil {
			return out.String(), err
		}
		out.WriteString(token.Text)
	}
}

// Guards against an answer that counts as whole, or as a refusal, although the engine has cut it, in its head or behind it.
func TestCutAnswers(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
	body := tokens + "data: [DONE]\n\n"
	tests := map[string]struct {
		text string
		// end is the text behind which the answer says all.
		end string
	}{
		"tokens until close": {head + "\r\n" + body, "[DONE]\n"},
		"tokens in chunks":   {head + "Transfer-Encoding: chunked\r\n\r\n" + chunks(body), "E]\n"},
		"refusal":            {httpAnswer(503, refusal), refusal},
		"refusal, close":     {"HTTP/1.1 503 Busy\r\n\r\n" + refusal, refusal},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			whole := strings.Index(tt.text, tt.end) + len(tt.end)
			for n := range len(tt.text) + 1 {
				got, err := readTokens(t, tt.text[:n])
				require.Contains(t, []string{"", "x", "xy"}, got)
				refused := errorx.IsOfType(err, ErrRefused)
				require.Equal(t, n >= whole, errors.Is(err, io.EOF) || refused, "%q: %v", tt.text[:n], err)
			}
		})
	}
}

// chunks returns a body in chunks of 16 bytes at most.
func chunks(body string) string {
	var out strings.Builder
	for body != "" {
		n := min(16, len(body))
		fmt.Fprintf(&out, "%x\r\n%s\r\n", n, body[:n])
		body = body[n:]
	}
	return out.String() + "0\r\n\r\n"
}

// Guards against an error's text or head among the tokens of a stream that goes on at another engine, against tokens that come twice
// or are missing, and against a stream that counts as complete without its end.
func TestNextEngineFailsBrokenStream(t *testing.T) {
	answer := func(body string) string { return httpAnswer(200, body) }
	tests := map[string]struct{ text, tokens string }{
		"500":                   {httpAnswer(500, "engine error"), ""},
		"503":                   {httpAnswer(503, refusal), ""},
		"404":                   {httpAnswer(404, "not found"), ""},
		"text":                  {answer("engine error\n\n"), ""},
		"text as data":          {answer("data: engine error\n\n"), ""},
		"head":                  {answer("HTTP/1.1 500 Oops\r\n\r\nengine error\n\n"), ""},
		"tokens, then a head":   {answer(tokens + "HTTP/1.1 500 Oops\r\n\r\nengine error\n\n"), "xy"},
		"error event":           {answer("data: {\"error\":{\"message\":\"engine error\"}}\n\n"), ""},
		"of another request":    {answer(strings.ReplaceAll(tokens, `"r"`, `"s"`)), ""},
		"later token":           {answer(strings.ReplaceAll(tokens, `"token_index":2`, `"token_index":4`)), ""},
		"repeated tokens first": {answer(strings.ReplaceAll(tokens, `"token_index":2`, `"token_index":1`)), ""},
		"nothing":               {answer(""), ""},
		"no content":            {"HTTP/1.1 204 No Content\r\n\r\n", ""},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			got, err := readTokens(t, tt.text)
			require.Equal(t, tt.tokens, got)
			require.NotErrorIs(t, err, io.EOF)
		})
	}
}

// Guards against an answer with a malformed head that counts as tokens, as a refusal or as the outcome of an order.
func TestMalformedHeads(t *testing.T) {
	body := chunks(tokens + "data: [DONE]\n\n")
	for name, text := range map[string]string{
		"status":  "HTTP/1.1 000 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + body,
		"field":   "HTTP/1.1 200 OK\r\nOdd Name: x\r\nTransfer-Encoding: chunked\r\n\r\n" + body,
		"refusal": "HTTP/1.1 503 Busy\r\nOdd : x\r\n\r\n" + refusal,
	} {
		t.Run(name, func(t *testing.T) {
			got, err := readTokens(t, text)
			require.Empty(t, got)
			require.True(t, errorx.IsOfType(err, backend.ErrLost), "%v", err)
		})
	}
	outcome, err := newClosingClient(t, "HTTP/1.1 000 OK\r\n\r\n{\"order\":4,\"outcome\":0}").Order(t.Context(), "e:1", fleet.Order{ID: 4, Deadline: time.Minute})
	require.Equal(t, fleet.OrderInDoubt, outcome)
	require.Error(t, err)
	_, err = newClosingClient(t, "HTTP/1.1 000 OK\r\n\r\n{}").Inventory(t.Context(), "e:1", 1)
	require.Error(t, err)
}
