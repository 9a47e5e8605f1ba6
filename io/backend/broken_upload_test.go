package backend

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"toucanway/io/network"
	"toucanway/io/network/networktest"
)

// upload sends an upload of a size and reads its answer; the error is nil if it is whole. It calls begun once, when a byte of the body was read or none comes.
func upload(ctx context.Context, p *Pool, address string, size int, begun func()) (string, error) {
	begun = sync.OnceFunc(begun)
	defer begun()
	req := &fasthttp.Request{}
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("http://" + address + "/")
	req.SetBody(bytes.Repeat([]byte("b"), size))
	x, err := p.Do(ctx, address, req, Options{IdleTimeout: time.Minute, NoRetry: true, NewConnection: true})
	if err != nil {
		return "", err
	}
	defer x.Close()
	first := make([]byte, 1)
	if _, err := io.ReadFull(x, first); err != nil {
		return "", err
	}
	begun()
	rest, err := io.ReadAll(x)
	if err == nil {
		// The end stays the end.
		if _, again := x.Read(make([]byte, 1)); !errors.Is(again, io.EOF) {
			err = again
		}
	}
	return string(first) + string(rest), err
}

// busy keeps goroutines computing until the function that it returns is called.
func busy(n int) func() {
	var stop atomic.Bool
	var wg sync.WaitGroup
	for range n {
		wg.Go(func() {
			for !stop.Load() {
			}
		})
	}
	return func() {
		stop.Store(true)
		wg.Wait()
	}
}

// partHead is the beginning of a head without fields of the framing.
const partHead = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n"

// Guards against a part of an answer without a length that counts as whole: the server has reset the connection while the upload was written, and
// the write has taken the error, so that the next read ends as if the server had closed in order.
func TestResetOfUpload(t *testing.T) {
	ends := map[string]func(*net.TCPConn){"linger 0": networktest.ResetByLinger, "unread bytes": networktest.CloseUnread}
	sizes := map[string]int{"4 KiB": 4 << 10, "16 KiB": 16 << 10, "256 KiB": 256 << 10, "1 MiB": 1 << 20, "6 MiB": 6 << 20}
	for endName, end := range ends {
		for sizeName, size := range sizes {
			for _, after := range []string{"at once", "after a part of the upload", "after a part of the answer"} {
				for load, n := range map[string]int{"alone": 0, "beside load": 2 * runtime.GOMAXPROCS(0)} {
					t.Run(strings.Join([]string{endName, sizeName, after, load}, "/"), func(t *testing.T) {
						defer busy(n)()
						testResetOfUpload(t, end, size, after)
					})
				}
			}
		}
	}
}

// uploadsPerCase is the number of uploads of each case; which of write and read takes the error differs from one to the next.
const uploadsPerCase = 4

func testResetOfUpload(t *testing.T, end func(*net.TCPConn), size int, after string) {
	readFirst, begun, wait := 0, func() {}, func() {}
	switch after {
	case "after a part of the upload":
		readFirst = size / 2
	case "after a part of the answer":
		read := make(chan struct{}, uploadsPerCase)
		begun, wait = func() { read <- struct{}{} }, func() { <-read }
	}
	address := networktest.UploadServer{Answer: partHead + "\r\npart of an answer", ReadFirst: readFirst, End: func(c *net.TCPConn) {
		wait()
		end(c)
	}}.Start(t)
	p := NewPool(network.TCP{})
	defer p.Close()
	for range uploadsPerCase {
		body, err := upload(t.Context(), p, address, size, begun)
		require.Error(t, err, "%q counts as whole", body)
	}
}

// Guards against whole answers to uploads that their server hasn't read, and early refusals, that count as lost since the write has failed.
func TestEarlyAnswerToUpload(t *testing.T) {
	// readOn reads what is left of the upload before it closes, as RFC 9112, section 9.6, asks for.
	readOn := func(c *net.TCPConn, _ <-chan struct{}) {
		_ = c.CloseWrite()
		_, _ = io.Copy(io.Discard, c)
	}
	// keepOpen neither reads on nor closes until the answer was read.
	keepOpen := func(c *net.TCPConn, read <-chan struct{}) {
		_ = c.CloseWrite()
		<-read
	}
	// reset waits until the answer was read: a reset discards what its receiver hasn't read.
	reset := func(c *net.TCPConn, read <-chan struct{}) {
		<-read
		networktest.ResetByLinger(c)
	}
	sizes := []int{4 << 10, 256 << 10, 6 << 20}
	tests := map[string]struct {
		answer string
		end    func(c *net.TCPConn, read <-chan struct{})
	}{
		"length, reset":          {partHead + "Content-Length: 5\r\n\r\nwhole", reset},
		"chunks, reset":          {partHead + "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n", reset},
		"refusal, reset":         {"HTTP/1.1 413 Too Large\r\nContent-Length: 5\r\n\r\nwhole", reset},
		"until close, read on":   {partHead + "\r\nwhole", readOn},
		"refusal, read on":       {"HTTP/1.1 413 Too Large\r\n\r\nwhole", readOn},
		"until close, kept open": {partHead + "\r\nwhole", keepOpen},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			read := make(chan struct{}, len(sizes))
			// A test that fails doesn't wait for its server.
			defer close(read)
			address := networktest.UploadServer{Answer: tt.answer, End: func(c *net.TCPConn) { tt.end(c, read) }}.Start(t)
			p := NewPool(network.TCP{})
			defer p.Close()
			for _, size := range sizes {
				body, err := upload(t.Context(), p, address, size, func() {})
				require.NoError(t, err, size)
				require.Equal(t, "whole", body)
				read <- struct{}{}
			}
		})
	}
}
