package backend

import (
	"bufio"
	"errors"
	"io"
	"net/http/httputil"

	"github.com/valyala/fasthttp"

	"toucanway/io/http1"
)

// Content lengths by which fasthttp shows that a body is sent in chunks, or ends with its connection.
const (
	lengthInChunks   = -1
	lengthUntilClose = -2
)

// newBody returns the body behind the headers of the answer, nil if there is none.
func (x *Exchange) newBody() io.Reader {
	h := &x.Response.Header
	if x.isHead || h.StatusCode() == fasthttp.StatusNoContent || h.StatusCode() == fasthttp.StatusNotModified {
		return nil
	}
	switch n := h.ContentLength(); n {
	case lengthInChunks:
		return &chunkedBody{r: x.conn.r, chunks: httputil.NewChunkedReader(x.conn.r), header: h}
	case lengthUntilClose:
		return untilCloseBody{x}
	default:
		return &lengthBody{r: x.conn.r, left: n}
	}
}

// untilCloseBody reads a body that ends with its connection. It is whole only if nothing on the connection has failed: a write of the request that
// fails takes the error of the connection, so that the next read ends as if the server had closed in order.
type untilCloseBody struct{ x *Exchange }

// Read reads from the body.
func (b untilCloseBody) Read(p []byte) (int, error) {
	n, err := b.x.conn.r.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if werr := b.x.endWrite(); werr != nil {
		return n, ErrLost.Wrap(werr, "the connection to the server at %s broke while the request was written", b.x.address)
	}
	return n, io.EOF
}

// lengthBody reads a body with a length.
type lengthBody struct {
	r    *bufio.Reader
	left int
}

// Read reads from the body; it returns io.EOF with the last bytes, and io.ErrUnexpectedEOF if the connection ends before them.
func (b *lengthBody) Read(p []byte) (int, error) {
	if b.left == 0 {
		return 0, io.EOF
	}
	n, err := b.r.Read(p[:min(len(p), b.left)])
	b.left -= n
	switch {
	case b.left == 0:
		return n, io.EOF
	case errors.Is(err, io.EOF):
		return n, io.ErrUnexpectedEOF
	}
	return n, err
}

// chunkedBody reads a body in chunks and the trailers behind it, which are judged before the library parses them.
type chunkedBody struct {
	r      *bufio.Reader
	chunks io.Reader
	header *fasthttp.ResponseHeader
	// end is the result of reading the trailers, io.EOF if the answer is whole; nil before.
	end error
}

// Read reads from the body.
func (b *chunkedBody) Read(p []byte) (int, error) {
	if b.end != nil {
		return 0, b.end
	}
	n, err := b.chunks.Read(p)
	if errors.Is(err, io.EOF) {
		b.end = b.readTrailers()
		err = b.end
	}
	return n, err
}

func (b *chunkedBody) readTrailers() error {
	if err := http1.PeekTrailers(b.r); err != nil {
		return err
	}
	if err := b.header.ReadTrailer(b.r); err != nil {
		return err
	}
	return io.EOF
}
