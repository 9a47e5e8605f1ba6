//go:build !race

package gateway

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// trailers are what may follow the last chunk of an answer; the value is set if HTTP allows it.
var trailers = map[string]bool{
	"\r\n":                            true,
	"Sum: 12\r\n\r\n":                 true,
	"Sum: 12\r\nTook:\t3\r\n\r\n":     true,
	"Sum: 1\nTook: 3\r\n\r\n":         true,
	"Odd Name: x\r\n\r\n":             false,
	"Odd : x\r\n\r\n":                 false,
	"Odd\t: x\r\n\r\n":                false,
	"Odd\x01: x\r\n\r\n":              false,
	" : x\r\n\r\n":                    false,
	": x\r\n\r\n":                     false,
	" \r\n\r\n":                       false,
	"Odd\r\n\r\n":                     false,
	"Odd: x\r\n y\r\n\r\n":            false,
	"Odd: x\x00\r\n\r\n":              false,
	"Odd: x\ry\r\n\r\n":               false,
	"Content-Length: 5\r\n\r\n":       false,
	"Content-Length : 5\r\n\r\n":      false,
	"Transfer-Encoding: x\r\n\r\n":    false,
	"Sum: 12\n\nHTTP/1.1 200\r\n\r\n": false,
	"\nHTTP/1.1 200 OK\r\n\r\n":       false,
}

// Guards against an answer with malformed trailers that counts as whole: what ends it is then not what its server has sent as its end.
func TestMalformedTrailer(t *testing.T) {
	for text, valid := range trailers {
		t.Run(text, func(t *testing.T) {
			answer := func(body string) script {
				return rawAnswer(signedHead + eventType + "Transfer-Encoding: chunked\r\n\r\n" + chunk(body) + "0\r\n" + text)
			}
			withFixture(t, func(t *testing.T, f *fixture) {
				f.addServer("a", answer("hello"))
				got := parseAnswer(t, f.readRaw("/unsafe/"))
				if valid {
					require.Equal(t, parsedAnswer{200, "hello", true}, got)
				} else {
					require.Equal(t, 502, got.status)
				}
			})
			withFixture(t, func(t *testing.T, f *fixture) {
				f.addServer("a", answer(event(1)))
				body, whole := f.readStream("/stream/")
				require.Equal(t, event(1), body)
				require.Equal(t, valid, whole)
			})
			withFixture(t, func(t *testing.T, f *fixture) {
				f.addServer("a", answer(event(1)))
				f.addServer("b", rawAnswer(inChunks(signedHead+eventType, event(2))))
				f.makeSecondChoice("b")
				want := event(1) + event(2)
				if valid {
					want = event(1)
				}
				body, whole := f.readStream("/resumable/")
				require.Equal(t, want, body)
				require.True(t, whole)
			})
		})
	}
}
