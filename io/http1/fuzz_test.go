package http1

import (
	"bufio"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
)

// Guards against a head that is judged as one text and parsed as another: the library has to end it at the same byte, with the same status.
func FuzzPeekHead(f *testing.F) {
	f.Add("HTTP/1.1 200 OK\r\nA: b\r\nContent-Length: 5\r\n\r\nhello")
	f.Add("HTTP/1.1 200\nA: b\nB:\t\r\n\r\nhello\r\n\r\n")
	f.Add("HTTP/1.0 599 \r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n")
	f.Add("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n\r\n")
	f.Add("HTTP/1.1 200 OK\r\nA: b\n\nhello\r\n\r\n")
	f.Add("HTTP/1.1 200 OK\r\n A: b\r\n\r\n")
	f.Add("HTTP/1.1 200 OK\r\nA: b\r\n c\r\n\r\n")
	f.Add("HTTP/1.1 200 OK\r\nTrailer: A\r\nConnection: close, A\r\nServer: x\r\nSet-Cookie: a=b\r\n\r\n")
	f.Fuzz(func(t *testing.T, text string) {
		r := bufio.NewReader(strings.NewReader(text))
		head, err := PeekHead(r)
		if err != nil {
			return
		}
		require.NotContains(t, text[:head.Size-2], "\r\n\r\n")
		var h fasthttp.ResponseHeader
		before := r.Buffered()
		if h.Read(r) != nil {
			// The library may refuse more, for instance a length that is no number.
			return
		}
		require.Equal(t, head.Size, before-r.Buffered())
		require.Equal(t, head.Status, h.StatusCode())
	})
}
