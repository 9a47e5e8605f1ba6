//go:build !race

package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"toucanway/core/routes"
	"toucanway/io/network/networktest"
)

// uploadBytes is more than the buffers of a loopback connection hold.
const uploadBytes = 6 << 20

// uploadRequest returns a request with a long body.
func uploadRequest(path string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nId: 1\r\nContent-Length: %d\r\n\r\n%s", path, uploadBytes, strings.Repeat("b", uploadBytes))
}

// upload sends an upload on a new connection and returns its answer.
func (f *fixture) upload(path string) parsedAnswer {
	c, err := f.callers.Dial()
	require.NoError(f.t, err)
	defer c.Close()
	go io.WriteString(c, uploadRequest(path))
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(f.t, err)
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	return parsedAnswer{res.StatusCode, string(body), err == nil}
}

// newUploadFixture returns a fixture that takes uploads.
func newUploadFixture(t *testing.T) *fixture {
	f := newFixture(t)
	f.setLimits(routes.Limits{BodyBytes: uploadBytes})
	return f
}

// addUploadServer adds a server on a loopback address that writes an answer without having read the upload, and ends the connection.
func (f *fixture) addUploadServer(name, answer string, end func(*net.TCPConn)) {
	f.addServerAt(name, networktest.UploadServer{Answer: answer, End: end}.Start(f.t))
}

// Guards against a part of an answer that reaches its caller as a whole one: its server has reset the connection while the upload was written. It
// counts as lost, so that another server answers or goes on with the stream where the route allows it.
func TestResetOfUpload(t *testing.T) {
	const part = "part of an answer"
	for name, end := range map[string]func(*net.TCPConn){"linger 0": networktest.ResetByLinger, "unread bytes": networktest.CloseUnread} {
		t.Run(name, func(t *testing.T) {
			for range 4 {
				f := newUploadFixture(t)
				f.addUploadServer("a", untilClose(signedHead, part), end)
				require.Equal(t, 502, f.upload("/unsafe/").status)
				f.addServer("b", signedAnswer("whole"))
				f.makeSecondChoice("b")
				require.Equal(t, parsedAnswer{200, "whole", true}, f.upload("/safe/"))

				f = newUploadFixture(t)
				f.addUploadServer("a", untilClose(signedHead+eventType, event(1)), end)
				got := f.upload("/stream/")
				require.False(t, got.status == 200 && got.whole, got.body)
				f.addServer("b", func(req *fasthttp.Request, c net.Conn) {
					events := event(1) + event(2)
					if string(req.Header.Peek("Last-Event")) == "1" {
						events = event(2)
					}
					io.WriteString(c, inChunks(signedHead+eventType, events))
				})
				f.makeSecondChoice("b")
				require.Equal(t, parsedAnswer{200, event(1) + event(2), true}, f.upload("/resumable/"))
			}
		})
	}
}

// Guards against answers and refusals that are whole by their head or framing and count as lost, since their server has reset the connection of
// the upload behind them.
func TestWholeAnswerToUpload(t *testing.T) {
	tests := map[string]struct {
		answer string
		want   string
	}{
		"length":                 {withLength(signedHead, "early"), "early"},
		"chunks":                 {inChunks(signedHead, "early"), "early"},
		"refusal":                {"HTTP/1.1 503 Busy\r\nId: 1\r\nNot-Run: 1\r\nContent-Length: 4\r\n\r\nbusy", "of the next"},
		"refusal, until close":   {"HTTP/1.1 503 Busy\r\nId: 1\r\nNot-Run: 1\r\n\r\nbusy", "of the next"},
		"misdirected, no length": {"HTTP/1.1 421 Misdirected\r\nId: 1\r\n\r\nnot here", "of the next"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f := newUploadFixture(t)
			end := make(chan struct{})
			// A test that fails doesn't wait for its server.
			defer close(end)
			f.addUploadServer("a", tt.answer, func(c *net.TCPConn) {
				// A reset discards what its receiver hasn't read.
				<-end
				networktest.ResetByLinger(c)
			})
			f.addServer("b", signedAnswer("of the next"))
			f.makeSecondChoice("b")
			require.Equal(t, parsedAnswer{200, tt.want, true}, f.upload("/unsafe/"))
		})
	}
}
