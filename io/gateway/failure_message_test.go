//go:build !race

package gateway

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"toucanway/io/logs"
)

// ofAnother stands for bytes of a server that may belong to another caller.
const ofAnother = "secret-of-another"

// Guards against an error answer that repeats bytes or the address of a server: they may belong to another caller. It has the code and says what
// to do next.
func TestErrorAnswerHidesServer(t *testing.T) {
	tests := map[string]struct {
		server script
		code   string
	}{
		"status line":          {writeAndClose(ofAnother + " 200 OK\r\n\r\n" + ofAnother), "backend-failed"},
		"status":               {writeAndClose("HTTP/1.1 000 " + ofAnother + "\r\n\r\n" + ofAnother), "backend-failed"},
		"name":                 {writeAndClose(signedHead + ofAnother + " : x\r\n\r\n" + ofAnother), "backend-failed"},
		"value":                {writeAndClose(signedHead + "Odd: " + ofAnother + "\x00\r\n\r\n" + ofAnother), "backend-failed"},
		"length":               {writeAndClose(signedHead + "Content-Length: " + ofAnother + "\r\n\r\n" + ofAnother), "backend-failed"},
		"encoding":             {writeAndClose(signedHead + "Transfer-Encoding: " + ofAnother + "\r\n\r\n" + ofAnother), "backend-failed"},
		"chunk size":           {writeAndClose(signedHead + "Transfer-Encoding: chunked\r\n\r\n" + ofAnother + "\r\n"), "backend-failed"},
		"trailer":              {writeAndClose(signedHead + "Transfer-Encoding: chunked\r\n\r\n0\r\n" + ofAnother + "\r\n\r\n"), "backend-failed"},
		"cut body":             {writeAndClose(signedHead + "Content-Length: 99\r\n\r\n" + ofAnother), "backend-failed"},
		"answer to another":    {writeAndClose("HTTP/1.1 200 OK\r\nId: 2\r\nSignature: x\r\nContent-Length: 17\r\n\r\n" + ofAnother), "backend-failed"},
		"no signature":         {rawAnswer("HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 17\r\n\r\n" + ofAnother), "backend-failed"},
		"no statement":         {rawAnswer("HTTP/1.1 503 Busy\r\nId: 1\r\nContent-Length: 17\r\n\r\n" + ofAnother), "backend-failed"},
		"no answer":            {closeConnection, "backend-failed"},
		"refused":              {rawAnswer("HTTP/1.1 503 Busy\r\nId: 1\r\nNot-Run: " + ofAnother + "\r\nContent-Length: 17\r\n\r\n" + ofAnother), "no-capacity"},
		"refused a connection": {nil, "no-capacity"},
	}
	for name, tt := range tests {
		for _, route := range []string{"/unsafe/", "/safe/", "/stream/", "/resumable/"} {
			t.Run(name+route, func(t *testing.T) {
				withFixture(t, func(t *testing.T, f *fixture) {
					f.addServer("server-a", tt.server)
					raw := f.readRaw(route)
					require.NotContains(t, raw, ofAnother)
					require.NotContains(t, raw, "server-a")
					var answer struct {
						Error struct{ Code, Message string }
					}
					require.NoError(t, json.Unmarshal([]byte(parseAnswer(t, raw).body), &answer), raw)
					require.Equal(t, tt.code, answer.Error.Code)
					require.Contains(t, answer.Error.Message, "send")
				})
			})
		}
	}
}

// Guards against log lines of any length, as a server may choose what an error quotes, and against lines without the error, which the caller is not
// told.
func TestLoggedErrorsAreBounded(t *testing.T) {
	for name, tt := range map[string]struct {
		answer, want string
	}{
		"short": {"HTTP/1.1 000 " + ofAnother + "\r\n", ofAnother},
		"long":  {signedHead + "Content-Length: " + strings.Repeat("x", 4000) + "\r\n", "xxx"},
	} {
		for _, path := range []string{"/unsafe/", "/safe/"} {
			t.Run(name+path, func(t *testing.T) {
				withFixture(t, func(t *testing.T, f *fixture) {
					f.addServer("server-a", writeAndClose(tt.answer+"\r\n"))
					f.readRaw(path)
					f.close()
					lines := f.log.FilterMessage(logRequest).All()
					require.Len(t, lines, 1)
					fields := lines[0].ContextMap()
					require.Equal(t, "backend-failed", fields["cause"])
					require.NotEmpty(t, fields["error"])
					require.LessOrEqual(t, len(fields["error"].(string)), logs.MaxErrorBytes)
					step := fields["steps"].([]any)[0].(map[string]any)
					require.Equal(t, "server-a", step["instance"])
					require.Contains(t, step["error"], tt.want)
					require.LessOrEqual(t, len(step["error"].(string)), logs.MaxErrorBytes)
				})
			})
		}
	}
}
