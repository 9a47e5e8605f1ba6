package gateway

import (
	"bufio"
	"fmt"
	"io"
	"math"
	"net"

	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"toucanway/core/buffers"
	"toucanway/core/routes"
)

// echoBody is a script that answers with the length of the request's body and that of its header Long.
func echoBody(req *fasthttp.Request, c net.Conn) {
	signedAnswer(fmt.Sprint(len(req.Body()), " ", len(req.Header.Peek("Long"))))(req, c)
}

// Guards against a host that reserves what a limit allows, for each connection and each body, or panics since that is more than there is: a limit
// bounds what callers may send.
func TestLimitsReserveNoMemory(t *testing.T) {
	const (
		connections = 40
		// mostAllocated is far below one reservation of the smallest limit played.
		mostAllocated = 64 << 20
	)
	tests := map[string]struct {
		limits routes.Limits
		// claim is a request that names a long body and sends little of it; empty sends none.
		claim string
	}{
		"headers, 1 GiB":                {routes.Limits{HeaderBytes: 1 << 30}, ""},
		"headers, the largest number":   {routes.Limits{HeaderBytes: math.MaxInt}, ""},
		"body, 1 TiB":                   {routes.Limits{BodyBytes: 1 << 40}, "Content-Length: 1099511627776\r\n\r\nx"},
		"body, the largest number":      {routes.Limits{BodyBytes: math.MaxInt}, "Content-Length: 9223372036854775807\r\n\r\nx"},
		"body in chunks, 1 TiB":         {routes.Limits{BodyBytes: 1 << 40}, "Transfer-Encoding: chunked\r\n\r\n10000000000\r\nx"},
		"body in chunks, most":          {routes.Limits{BodyBytes: math.MaxInt}, "Transfer-Encoding: chunked\r\n\r\n7ffffffffffffff0\r\nx"},
		"negative":                      {routes.Limits{HeaderBytes: -1, BodyBytes: -1, HeaderTimeout: -1, IdleTimeout: -1}, ""},
		"times, the longest":            {routes.Limits{HeaderTimeout: math.MaxInt64, IdleTimeout: math.MaxInt64}, ""},
		"times, longest, and a body":    {routes.Limits{HeaderTimeout: math.MaxInt64, IdleTimeout: math.MaxInt64}, "Content-Length: 100\r\n\r\nx"},
		"largest body of a short limit": {routes.Limits{BodyBytes: 1}, ""},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.addServer("a", echoBody)
			kept, err := f.callers.Dial()
			require.NoError(t, err)
			defer kept.Close()
			res, err := roundTrip(kept, getRequest("/safe/before"))
			require.NoError(t, err)
			require.Equal(t, 200, res.StatusCode())
			f.setLimits(tt.limits)
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			for range connections {
				if tt.claim != "" {
					c, err := f.callers.Dial()
					require.NoError(t, err)
					_, err = io.WriteString(c, "POST /safe/claim HTTP/1.1\r\nHost: h\r\nId: 2\r\n"+tt.claim)
					require.NoError(t, err)
					c.Close()
				}
				res, err := f.call("POST /safe/x HTTP/1.1\r\nHost: h\r\nId: 1\r\nContent-Length: 1\r\n\r\nx")
				require.NoError(t, err)
				require.Equal(t, "1 0", string(res.Body()))
			}
			runtime.ReadMemStats(&after)
			require.Less(t, after.TotalAlloc-before.TotalAlloc, uint64(mostAllocated))
			res, err = roundTrip(kept, getRequest("/safe/after"))
			require.NoError(t, err)
			require.Equal(t, 200, res.StatusCode())
			f.close()
		})
	}
}

// Guards against headers and trailers within the limit that are refused, beyond it that are not, and against bytes behind them that are lost
// when the buffer grows or shrinks.
func TestHeadersUpToTheLimit(t *testing.T) {
	const limit = 16 << 10
	long := func(n int) string { return "Long: " + strings.Repeat("x", n) + "\r\n" }
	tests := map[string]struct {
		header, body string
		status       int
		answer       string
	}{
		"short":                           {long(10), "", 200, "0 10"},
		"a buffer's size":                 {long(minHeaderBytes), "", 200, "0 4096"},
		"within the limit":                {long(15000), "", 200, "0 15000"},
		"beyond the limit":                {long(17000), "", 431, ""},
		"far beyond the limit":            {long(1 << 20), "", 431, ""},
		"with a body":                     {long(9000) + "Content-Length: 30000\r\n", strings.Repeat("y", 30000), 200, "30000 9000"},
		"with chunks":                     {long(9000) + "Transfer-Encoding: chunked\r\n", "4\r\nabcd\r\n5;x=1\r\nefghi\r\n0\r\n\r\n", 200, "9 9000"},
		"with trailers":                   {"Transfer-Encoding: chunked\r\n", "4\r\nabcd\r\n0\r\n" + strings.Replace(long(9000), "Long", "Sum", 1) + "\r\n", 200, "4 0"},
		"trailers beyond the limit":       {"Transfer-Encoding: chunked\r\n", "4\r\nabcd\r\n0\r\n" + strings.Replace(long(17000), "Long", "Sum", 1) + "\r\n", 431, ""},
		"body of a few bytes":             {"Content-Length: 3\r\n", "abc", 200, "3 0"},
		"empty body in chunks":            {"Transfer-Encoding: chunked\r\n", "0\r\n\r\n", 200, "0 0"},
		"body beyond its limit":           {"Content-Length: 5000000\r\n", "", 413, ""},
		"body in chunks beyond its limit": {"Transfer-Encoding: chunked\r\n", "4c4b40\r\n" + strings.Repeat("y", 5000000) + "\r\n0\r\n\r\n", 413, ""},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			b := &buffers.Budget{}
			f := newFixtureWith(t, b)
			f.addServer("a", echoBody)
			f.setLimits(routes.Limits{HeaderBytes: limit})
			c, err := f.callers.Dial()
			require.NoError(t, err)
			defer c.Close()
			text := "POST /safe/x HTTP/1.1\r\nHost: h\r\nId: 1\r\n" + tt.header + "\r\n" + tt.body
			// Each request comes with the beginning of the next one.
			go io.WriteString(c, text+text+getRequest("/safe/last"))
			r := bufio.NewReader(c)
			for range 2 {
				var res fasthttp.Response
				require.NoError(t, res.Read(r))
				require.Equal(t, tt.status, res.StatusCode(), "%s", res.Body())
				if tt.status != 200 {
					break
				}
				require.Equal(t, tt.answer, string(res.Body()))
			}
			if tt.status == 200 {
				var res fasthttp.Response
				require.NoError(t, res.Read(r))
				require.Equal(t, "0 0", string(res.Body()))
			}
			c.Close()
			f.close()
			used, _ := b.Used()
			require.Zero(t, used)
		})
	}
}

// Guards against headers that take a host over its memory under a high limit, and against callers that are not told that their request has not run.
func TestHeadersOverMemoryAreRefused(t *testing.T) {
	f := newFixtureWith(t, &buffers.Budget{Limit: 1 << 20})
	f.addServer("a", echoBody)
	f.setLimits(routes.Limits{HeaderBytes: 1 << 40, HeaderTimeout: time.Minute})
	res, err := f.call("GET /safe/x HTTP/1.1\r\nHost: h\r\nId: 1\r\nLong: " + strings.Repeat("x", 8<<20))
	require.NoError(t, err)
	require.Equal(t, 503, res.StatusCode())
	require.Contains(t, string(res.Body()), "host-over-memory")
	res, err = f.call(getRequest("/safe/x"))
	require.NoError(t, err)
	require.Equal(t, 200, res.StatusCode())
	f.close()
}
