//go:build !race

package gateway

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"toucanway/core/fleet"
)

// withFixture runs a test with a fixture under synthetic time.
func withFixture(t *testing.T, run func(t *testing.T, f *fixture)) {
	startServerDate()
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		defer f.close()
		run(t, f)
	})
}

// makeSecondChoice makes a server one that requests go to only after the others.
func (f *fixture) makeSecondChoice(name string) {
	f.gateway.view.mu.Lock()
	defer f.gateway.view.mu.Unlock()
	f.gateway.view.instances[fleet.BackendID(name)].DataCentre = "elsewhere"
}

// readRaw sends a request for a path on a new connection and returns all bytes until the connection ends.
func (f *fixture) readRaw(path string) string {
	c, err := f.callers.Dial()
	require.NoError(f.t, err)
	defer c.Close()
	go io.WriteString(c, getRequest(path))
	data, err := io.ReadAll(c)
	require.NoError(f.t, err)
	return string(data)
}

const (
	signedHead = "HTTP/1.1 200 OK\r\nId: 1\r\nSignature: x\r\n"
	eventType  = "Content-Type: text/event-stream\r\n"
)

// withLength, inChunks and untilClose return an answer in each of the three framings; the server closes the connection behind the last.
func withLength(head, body string) string {
	return head + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body)) + body
}

func inChunks(head, body string) string {
	text := head + "Transfer-Encoding: chunked\r\n\r\n"
	if body != "" {
		text += chunk(body)
	}
	return text + "0\r\n\r\n"
}

func untilClose(head, body string) string { return head + "\r\n" + body }

// writeAndClose returns a script that writes a text and closes the connection.
func writeAndClose(text string) script {
	return func(_ *fasthttp.Request, c net.Conn) {
		io.WriteString(c, text)
		c.Close()
	}
}

// brokenStreams holds the beginnings of a stream that break off behind event 2, in all framings.
var brokenStreams = map[string]string{
	"chunks":              signedHead + eventType + "Transfer-Encoding: chunked\r\n\r\n" + chunk(event(1)+event(2)),
	"chunks, in an event": signedHead + eventType + "Transfer-Encoding: chunked\r\n\r\n" + chunk(event(1)+event(2)+"id: 3\nda"),
	"length":              signedHead + eventType + "Content-Length: 200\r\n\r\n" + event(1) + event(2),
	"length, in an event": signedHead + eventType + "Content-Length: 200\r\n\r\n" + event(1) + event(2) + "id: 3\ndata: x\n",
	"until close":         untilClose(signedHead+eventType, event(1)+event(2)+"id: 3\ndata: x\n"),
	"error in chunks": inChunks(signedHead+eventType, event(1)+event(2)+
		"HTTP/1.1 500 Oops\r\nContent-Length: 12\r\n\r\nserver error\n\n"),
	"error in an event":      inChunks(signedHead+eventType, event(1)+event(2)+"id: 3\ndaHTTP/1.1 500 Oops\r\n\r\nserver error\n\n"),
	"error until close":      untilClose(signedHead+eventType, event(1)+event(2)+"id: 3\ndaserver error: gone\n\n"),
	"error without an event": untilClose(signedHead+eventType, event(1)+event(2)+"{\"server error\": 1}\n\n"),
}

// Guards against the text or the head of a server's error in the middle of a caller's stream, and against a stream that ends as if it
// were complete: a stream breaks off, and the next server doesn't go on with it.
func TestNextServerFailsBrokenStream(t *testing.T) {
	text := "server error\n\n"
	next := map[string]string{
		"500":                        withLength("HTTP/1.1 500 Oops\r\nId: 1\r\nSignature: x\r\n", text),
		"500 in chunks":              inChunks("HTTP/1.1 500 Oops\r\nId: 1\r\nSignature: x\r\n", text),
		"500 until close":            untilClose("HTTP/1.1 500 Oops\r\nId: 1\r\nSignature: x\r\n", text),
		"500 as events":              withLength("HTTP/1.1 500 Oops\r\nId: 1\r\nSignature: x\r\n"+eventType, "id: 3\ndata: server error\n\n"),
		"503":                        withLength("HTTP/1.1 503 Busy\r\nId: 1\r\n", text),
		"503 not run":                withLength("HTTP/1.1 503 Busy\r\nId: 1\r\nNot-Run: 1\r\n", text),
		"421":                        withLength("HTTP/1.1 421 Misdirected\r\nId: 1\r\n", text),
		"404":                        withLength("HTTP/1.1 404 Not Found\r\nId: 1\r\nSignature: x\r\n", text),
		"302":                        withLength("HTTP/1.1 302 Found\r\nId: 1\r\nSignature: x\r\nLocation: /\r\n", text),
		"not signed":                 withLength("HTTP/1.1 200 OK\r\nId: 1\r\n"+eventType, "id: 3\ndata: server error\n\n"),
		"of another request":         withLength("HTTP/1.1 200 OK\r\nId: 9\r\nSignature: x\r\n"+eventType, "id: 3\ndata: server error\n\n"),
		"text":                       withLength(signedHead+"Content-Type: text/plain\r\n", text),
		"text that reads as events":  withLength(signedHead+"Content-Type: text/plain\r\n", "id: 3\ndata: server error\n\n"),
		"JSON, no type":              withLength(signedHead, "{\"server error\": 1}\n\n"),
		"text of the type of events": withLength(signedHead+eventType, text),
		"head of the type of events": inChunks(signedHead+eventType, "HTTP/1.1 500 Oops\r\n\r\n"+text),
		"event without an id":        inChunks(signedHead+eventType, "data: server error\n\n"),
		"event with another id":      inChunks(signedHead+eventType, "id: x3\ndata: server error\n\n"),
		"from the start":             inChunks(signedHead+eventType, "id: 1\ndata: server error\n\n"),
		"later event":                inChunks(signedHead+eventType, "id: 4\ndata: server error\n\n"),
		"no content":                 "HTTP/1.1 204 No Content\r\nId: 1\r\nSignature: x\r\n\r\n",
		"partial content":            inChunks("HTTP/1.1 206 Partial\r\nId: 1\r\nSignature: x\r\n"+eventType, "id: 3\ndata: server error\n\n"),
		"status 000":                 inChunks("HTTP/1.1 000 OK\r\nId: 1\r\nSignature: x\r\n"+eventType, "id: 3\ndata: server error\n\n"),
		"malformed field":            inChunks(signedHead+"Odd Name: x\r\n"+eventType, "id: 3\ndata: server error\n\n"),
		"malformed field, not run":   withLength("HTTP/1.1 503 Busy\r\nId: 1\r\nNot-Run : 1\r\n", text),
		"malformed interim answer":   "HTTP/1.1 103 X\r\nOdd : x\r\n\r\n" + inChunks(signedHead+eventType, "id: 3\ndata: server error\n\n"),
		"head cut":                   "HTTP/1.1 200 OK\r\nId: 1\r\nSignature: x\r\nContent-Le",
		"no answer":                  "server error\n\n",
		"nothing":                    "",
	}
	for begun, first := range brokenStreams {
		for name, second := range next {
			t.Run(begun+"/"+name, func(t *testing.T) {
				withFixture(t, func(t *testing.T, f *fixture) {
					f.addServer("a", writeAndClose(first))
					f.addServer("b", writeAndClose(second))
					f.makeSecondChoice("b")
					requireBrokenOff(t, f.readRaw("/resumable/"), event(1)+event(2))
					require.Equal(t, 2, f.totalRequests())
				})
			})
		}
		t.Run(begun+"/may not be repeated", func(t *testing.T) {
			withFixture(t, func(t *testing.T, f *fixture) {
				f.addServer("a", writeAndClose(first))
				requireBrokenOff(t, f.readRaw("/stream/"), event(1)+event(2))
			})
		})
		t.Run(begun+"/goes on", func(t *testing.T) {
			withFixture(t, func(t *testing.T, f *fixture) {
				f.addServer("a", writeAndClose(first))
				f.addServer("b", writeAndClose(inChunks(signedHead+"Content-Type: text/event-stream; charset=utf-8\r\n", event(3))))
				f.makeSecondChoice("b")
				body, whole := f.readStream("/resumable/")
				require.Equal(t, event(1)+event(2)+event(3), body)
				require.True(t, whole)
			})
		})
	}
}

// requireBrokenOff requires that an answer has a head and the given events in chunks, and neither other bytes nor an end.
func requireBrokenOff(t *testing.T, raw, events string) {
	head, rest, ok := strings.Cut(raw, "\r\n\r\n")
	require.True(t, ok, raw)
	require.Contains(t, head, "Transfer-Encoding: chunked")
	require.NotContains(t, raw, "server error")
	require.NotContains(t, rest, "HTTP/1.1")
	var body strings.Builder
	for rest != "" {
		var n int
		_, err := fmt.Sscanf(rest, "%x\r\n", &n)
		require.NoError(t, err)
		require.Positive(t, n, "the stream ends as if it were complete")
		_, rest, _ = strings.Cut(rest, "\r\n")
		body.WriteString(rest[:n])
		rest = rest[n+2:]
	}
	require.Equal(t, events, body.String())
}

// Guards against events that come twice: behind an event without an id no other server can know where to go on.
func TestStreamWithoutIDsIsNotResumed(t *testing.T) {
	for name, events := range map[string]string{"no ids": "data: 1\n\n", "no id at the end": event(1) + "data: 2\n\n"} {
		t.Run(name, func(t *testing.T) {
			withFixture(t, func(t *testing.T, f *fixture) {
				f.addServer("a", writeAndClose(signedHead+eventType+"Content-Length: 200\r\n\r\n"+events))
				f.addServer("b", writeAndClose(inChunks(signedHead+eventType, event(2))))
				f.makeSecondChoice("b")
				requireBrokenOff(t, f.readRaw("/resumable/"), events)
				require.Equal(t, 1, f.totalRequests())
			})
		})
	}
}
