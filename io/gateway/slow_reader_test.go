package gateway

import (
	"bufio"
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
)

// Guards against an answer that is ready and is broken off since its caller reads slowly, and against a caller that reads nothing and holds
// the answer's memory for ever.
func TestSlowReaderGetsAnswer(t *testing.T) {
	const size = 1 << 20
	// The first header starts a goroutine of the library, which must not belong to a test.
	require.NoError(t, new(fasthttp.ResponseHeader).Write(bufio.NewWriter(io.Discard)))
	tests := map[string]struct {
		// perSecond is the number of bytes that the caller reads in a second.
		perSecond int
		complete  bool
	}{
		"link of 0.5 Mbit/s":    {64 << 10, true},
		"reads hardly anything": {1 << 10, false},
		"reads nothing":         {0, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				near, far := net.Pipe()
				c := newConn(near, func() bool { return false })
				read := make(chan int, 1)
				go func() {
					n, buf := 0, make([]byte, max(tt.perSecond/10, 1))
					for tt.perSecond > 0 {
						time.Sleep(100 * time.Millisecond)
						k, err := io.ReadAtLeast(far, buf, len(buf))
						n += k
						if err != nil {
							break
						}
					}
					read <- n
				}()
				began := time.Now()
				var h fasthttp.ResponseHeader
				h.SetContentLength(size)
				c.write(&h, make([]byte, size))
				if !tt.complete {
					require.True(t, c.closeAfterAnswer)
					require.LessOrEqual(t, time.Since(began), 2*writeTimeout)
				}
				require.Equal(t, !tt.complete, c.closeAfterAnswer)
				require.NoError(t, near.Close())
				n := <-read
				require.Equal(t, tt.complete, n >= size)
				require.NoError(t, far.Close())
			})
		})
	}
}
