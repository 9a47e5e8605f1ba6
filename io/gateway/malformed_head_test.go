//go:build !race

package gateway

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// malformedStatusLines are first lines of answers that HTTP doesn't allow.
var malformedStatusLines = map[string]string{
	"status 000":             "HTTP/1.1 000 OK\r\n",
	"status 000, no reason":  "HTTP/1.1 000\r\n",
	"status 001":             "HTTP/1.1 001 OK\r\n",
	"status 099":             "HTTP/1.1 099 OK\r\n",
	"status 600":             "HTTP/1.1 600 OK\r\n",
	"status 999":             "HTTP/1.1 999 OK\r\n",
	"two digits":             "HTTP/1.1 20 OK\r\n",
	"four digits":            "HTTP/1.1 2000 OK\r\n",
	"a sign":                 "HTTP/1.1 +20 OK\r\n",
	"letters":                "HTTP/1.1 2OO OK\r\n",
	"no status":              "HTTP/1.1\r\n",
	"two blanks":             "HTTP/1.1  200 OK\r\n",
	"tab":                    "HTTP/1.1\t200 OK\r\n",
	"other major version":    "HTTP/2.0 200 OK\r\n",
	"version of two digits":  "HTTP/1.10 200 OK\r\n",
	"lower case":             "http/1.1 200 OK\r\n",
	"NUL in the reason":      "HTTP/1.1 200 O\x00K\r\n",
	"CR in the reason":       "HTTP/1.1 200 O\rK\r\n",
	"empty line before":      "\r\nHTTP/1.1 200 OK\r\n",
	"blank before":           " HTTP/1.1 200 OK\r\n",
	"000 after interim":      "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 OK\r\n",
	"interim of 199 and 000": "HTTP/1.1 199 X\r\n\r\nHTTP/1.1 000 OK\r\n",
}

// Guards against an answer whose status line is malformed, status 000 above all, that reaches its caller as an answer: it counts as lost, so that
// another server answers where the route allows it, and the caller else gets a 502.
func TestMalformedStatusLine(t *testing.T) {
	for name, line := range malformedStatusLines {
		t.Run(name, func(t *testing.T) { testMalformedHead(t, line+"Id: 1\r\nSignature: x\r\n") })
	}
}

// testMalformedHead sends an answer with a malformed head, all but its framing, on each kind of route, from a server that keeps the connection
// and from one that closes it.
func testMalformedHead(t *testing.T, head string) {
	const body = "id: 1\ndata: of another caller\n\n"
	for framing, frame := range framings {
		t.Run(framing, func(t *testing.T) {
			for _, route := range []string{"/unsafe/", "/safe/", "/stream/", "/resumable/"} {
				withFixture(t, func(t *testing.T, f *fixture) {
					f.addServer("a", writeAndClose(frame(head+eventType, body)))
					raw := f.readRaw(route)
					require.Equal(t, 502, parseAnswer(t, raw).status, "%s: %s", route, raw)
				})
			}
			for _, route := range []string{"/safe/", "/resumable/"} {
				withFixture(t, func(t *testing.T, f *fixture) {
					f.addServer("a", rawAnswer(frame(head+eventType, body)))
					f.addServer("b", rawAnswer(inChunks(signedHead+eventType, event(1))))
					f.makeSecondChoice("b")
					require.Equal(t, parsedAnswer{200, event(1), true}, parseAnswer(t, f.readRaw(route)), route)
				})
			}
		})
	}
}

// Guards against a malformed head that promises that the request has not run.
func TestMalformedHeadPromisesNothing(t *testing.T) {
	withFixture(t, func(t *testing.T, f *fixture) {
		f.addServer("a", rawAnswer("HTTP/1.1 000 Busy\r\nId: 1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"))
		got := parseAnswer(t, f.readRaw("/unsafe/"))
		require.Equal(t, 502, got.status)
		require.Contains(t, got.body, "may have run")
	})
}

// Guards against sound answers with odd heads that are refused.
func TestOddHeads(t *testing.T) {
	tests := map[string]struct {
		head   string
		status int
	}{
		"no reason":              {"HTTP/1.1 200 \r\nId: 1\r\nSignature: x\r\n", 200},
		"no blank behind":        {"HTTP/1.1 200\r\nId: 1\r\nSignature: x\r\n", 200},
		"reason of other bytes":  {"HTTP/1.1 200 \xc3\xa9\t\"x\"\r\nId: 1\r\nSignature: x\r\n", 200},
		"unknown success":        {"HTTP/1.1 299 X\r\nId: 1\r\nSignature: x\r\n", 299},
		"highest status":         {"HTTP/1.1 599 X\r\nId: 1\r\nSignature: x\r\n", 599},
		"after interim answers":  {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + signedHead, 200},
		"lines that end with LF": {"HTTP/1.1 200 OK\nId: 1\nSignature: x\r\n", 200},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			for framing, frame := range framings {
				withFixture(t, func(t *testing.T, f *fixture) {
					f.addServer("a", writeAndClose(frame(tt.head, "hello")))
					require.Equal(t, parsedAnswer{tt.status, "hello", true}, parseAnswer(t, f.readRaw("/unsafe/")), framing)
				})
			}
		})
	}
}
