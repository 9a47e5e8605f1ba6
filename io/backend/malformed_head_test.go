//go:build !race

package backend

import (
	"bufio"
	"io"
	"net"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/joomcode/errorx"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
)

// malformedAnswers are answers to request r2 with a head that HTTP doesn't allow, in each place where an exchange reads one.
func malformedAnswers() map[string]string {
	const rest = "Content-Length: 2\r\n\r\nhi"
	return map[string]string{
		"status":                      "HTTP/1.1 000 OK\r\nId: r2\r\n" + rest,
		"field":                       "HTTP/1.1 200 OK\r\nId: r2\r\nOdd Name: x\r\n" + rest,
		"length":                      "HTTP/1.1 200 OK\r\nId: r2\r\nContent-Length : 2\r\n\r\nhi",
		"status of interim answer":    "HTTP/1.1 099 X\r\n\r\n" + answerTo("r2", "hi"),
		"field of interim answer":     "HTTP/1.1 103 X\r\nOdd : x\r\n\r\n" + answerTo("r2", "hi"),
		"status behind interim":       "HTTP/1.1 103 X\r\n\r\nHTTP/1.1 000 OK\r\nId: r2\r\n" + rest,
		"status of earlier answer":    "HTTP/1.1 000 OK\r\nId: r1\r\n" + rest + answerTo("r2", "hi"),
		"field of earlier answer":     "HTTP/1.1 200 OK\r\nId: r1\r\nOdd Name: x\r\n" + rest + answerTo("r2", "hi"),
		"length of earlier answer":    "HTTP/1.1 200 OK\r\nId: r1\r\nContent-Length : 2\r\n" + rest + answerTo("r2", "hi"),
		"status behind earlier":       answerTo("r1", "late") + "HTTP/1.1 000 OK\r\nId: r2\r\n" + rest,
		"interim of earlier answer":   "HTTP/1.1 103 X\r\nOdd : x\r\n\r\n" + answerTo("r1", "late") + answerTo("r2", "hi"),
		"more interim than allowed":   strings.Repeat("HTTP/1.1 103 X\r\n\r\n", maxInterimAnswers+1) + answerTo("r2", "hi"),
		"blank line before an answer": "\r\n" + answerTo("r2", "hi"),
	}
}

// Guards against a malformed head that counts as an answer, wherever an exchange reads one, on a new connection and on a kept one, and against a
// connection that is kept behind it.
func TestMalformedHeads(t *testing.T) {
	for name, text := range malformedAnswers() {
		for _, kept := range []bool{false, true} {
			t.Run(name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { testMalformed(t, text, kept) })
			})
		}
	}
}

func testMalformed(t *testing.T, text string, kept bool) {
	n := &pipeNetwork{script: func(_ int, c net.Conn) {
		r := bufio.NewReader(c)
		var req fasthttp.Request
		for req.Read(r) == nil {
			answer := answerTo("r1", "of r1")
			if string(req.Header.Peek("Id")) == "r2" {
				answer = text
			}
			if _, err := io.WriteString(c, answer); err != nil {
				return
			}
		}
	}}
	p := NewPool(n)
	defer p.Close()
	if kept {
		_, err := exchange(p, "r1")
		require.NoError(t, err)
	}
	body, err := exchange(p, "r2")
	require.True(t, errorx.IsOfType(err, ErrLost), "%q: %v", body, err)
	require.False(t, IsNotSent(err))
	require.Empty(t, p.idle["b"])
	require.Equal(t, 1, n.dials)
}
