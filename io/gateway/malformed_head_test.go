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

// malformedFields are lines of heads that HTTP doesn't allow.
var malformedFields = map[string]string{
	"blank in a name":           "Odd Name: x\r\n",
	"blank before the colon":    "Odd : x\r\n",
	"tab before the colon":      "Odd\t: x\r\n",
	"tab in a name":             "Odd\tName: x\r\n",
	"NUL in a name":             "Odd\x00Name: x\r\n",
	"control byte in a name":    "Odd\x01Name: x\r\n",
	"ESC in a name":             "\x1b[31mOdd: x\r\n",
	"DEL in a name":             "Odd\x7f: x\r\n",
	"CR in a name":              "Odd\rName: x\r\n",
	"other byte in a name":      "Odd\xe9: x\r\n",
	"bracket in a name":         "Odd(1): x\r\n",
	"no name":                   ": x\r\n",
	"blank as a name":           " : x\r\n",
	"no colon":                  "Odd\r\n",
	"folded value":              "Odd: x\r\n y\r\n",
	"folded with a tab":         "Odd: x\r\n\ty\r\n",
	"folded length":             "Content-Length:\r\n 5\r\n",
	"NUL in a value":            "Odd: x\x00y\r\n",
	"CR in a value":             "Odd: x\ry\r\n",
	"CR at the end of a value":  "Odd: x\r\r\n",
	"control byte in a value":   "Odd: x\x01y\r\n",
	"length that is no number":  "Content-Length: 5x\r\n",
	"negative length":           "Content-Length: -5\r\n",
	"length with a sign":        "Content-Length: +5\r\n",
	"empty length":              "Content-Length:\r\n",
	"two lengths":               "Content-Length: 5\r\nContent-Length: 6\r\n",
	"encoding that isn't known": "Transfer-Encoding: gzip, chunked\r\n",
	"two encodings":             "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
}

// Guards against an answer with a malformed field that reaches its caller, with that line or without it.
func TestMalformedField(t *testing.T) {
	const status, fields = "HTTP/1.1 200 OK\r\n", "Id: 1\r\nSignature: x\r\n"
	for name, line := range malformedFields {
		t.Run(name, func(t *testing.T) {
			testMalformedHead(t, status+line+fields)
			testMalformedHead(t, status+fields+line)
		})
		t.Run(name+", interim answer", func(t *testing.T) {
			testMalformedHead(t, "HTTP/1.1 103 Early Hints\r\n"+line+"\r\n"+status+fields)
		})
	}
}

// Guards against an answer whose fields don't say clearly where its body ends, and whose caller gets a body that isn't the server's.
func TestMalformedFraming(t *testing.T) {
	const chunked = "5\r\nhello\r\n0\r\n\r\n"
	tests := map[string]string{
		"blank before the colon of a length":    signedHead + "Content-Length : 5\r\n\r\nhello, world",
		"tab before the colon of a length":      signedHead + "Content-Length\t: 5\r\n\r\nhello, world",
		"two lengths, one with a blank":         signedHead + "Content-Length: 12\r\nContent-Length : 5\r\n\r\nhello, world",
		"blank before the colon of an encoding": signedHead + "Transfer-Encoding : chunked\r\n\r\n" + chunked,
		"length, and an encoding with a blank":  signedHead + "Content-Length: 15\r\nTransfer-Encoding : chunked\r\n\r\n" + chunked,
		"length and encoding":                   signedHead + "Content-Length: 15\r\nTransfer-Encoding: chunked\r\n\r\n" + chunked,
		"encoding and length":                   signedHead + "Transfer-Encoding: chunked\r\nContent-Length: 15\r\n\r\n" + chunked,
		"encoding of an older version":          "HTTP/1.0 200 OK\r\nId: 1\r\nSignature: x\r\nTransfer-Encoding: chunked\r\n\r\n" + chunked,
		"encoding of a later version":           "HTTP/1.2 200 OK\r\nId: 1\r\nSignature: x\r\nTransfer-Encoding: chunked\r\n\r\n" + chunked,
		"folded encoding":                       signedHead + "Transfer-Encoding:\r\n chunked\r\n\r\n" + chunked,
		"folded length":                         signedHead + "Content-Length:\r\n 5\r\n\r\nhello, world",
		"end of the head by LF, CRLF in a body": "HTTP/1.1 200 OK\nId: 1\nSignature: x\n\nhello\r\n\r\nworld",
		"end of the head by LF, length":         "HTTP/1.1 200 OK\nId: 1\nSignature: x\nContent-Length: 9\n\nhello\r\n\r\n",
		"end of the head by CRLF behind LF":     "HTTP/1.1 200 OK\r\nId: 1\r\nSignature: x\n\r\nhello\r\n\r\nworld",
	}
	for name, answer := range tests {
		t.Run(name, func(t *testing.T) {
			withFixture(t, func(t *testing.T, f *fixture) {
				f.addServer("a", writeAndClose(answer))
				require.Equal(t, 502, parseAnswer(t, f.readRaw("/unsafe/")).status)
			})
		})
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
		"all bytes of names":     {signedHead + "!#$%&'*+-.^_`|~09azAZ: x\r\n", 200},
		"no value":               {signedHead + "Empty:\r\nBlank: \t \r\n", 200},
		"blanks around values":   {"HTTP/1.1 200 OK\r\nId:1\r\nSignature: \t x \t \r\n", 200},
		"other bytes in values":  {signedHead + "Odd: \xc3\xa9\t\xff \"(a:b, c)\"\r\n", 200},
		"names in lower case":    {"HTTP/1.1 200 OK\r\nid: 1\r\nsignature: x\r\n", 200},
		"a field twice":          {signedHead + "Odd: 1\r\nOdd: 2\r\nSet-Cookie: a=b\r\nSet-Cookie: c=d\r\n", 200},
		"name that looks like":   {signedHead + "Content-Lengths: 99\r\nX-Transfer-Encoding: chunked\r\n", 200},
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
