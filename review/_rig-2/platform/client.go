package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

const host = "review.example"

// client is one connection of a caller.
type client struct {
	net.Conn
	r *bufio.Reader
}

func dial(address string) (*client, error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &client{c, bufio.NewReader(c)}, nil
}

// result is what a caller sees of its request.
type result struct {
	status int
	header http.Header
	body   []byte
	// complete is set if the whole answer arrived, err says why it did not.
	complete bool
	err      error
	took     time.Duration
}

// String returns the result for the record.
func (r result) String() string {
	if r.complete {
		return fmt.Sprintf("status %d, %d bytes, complete, after %.3f s", r.status, len(r.body), r.took.Seconds())
	}
	return fmt.Sprintf("status %d, %d bytes, not complete (%v), after %.3f s", r.status, len(r.body), r.err, r.took.Seconds())
}

// send writes a request with a body of a known length.
func (c *client) send(method, path, id string, deadline time.Duration, headers, body string) error {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n%s", method, path, host, id, deadline.Milliseconds(), headers)
	if body != "" || method == http.MethodPost {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	b.WriteString("\r\n" + body)
	_, err := c.Write(b.Bytes())
	return err
}

// receive reads one answer.
func (c *client) receive(method string, timeout time.Duration) result {
	began := time.Now()
	if err := c.SetReadDeadline(began.Add(timeout)); err != nil {
		return result{err: err}
	}
	res, err := http.ReadResponse(c.r, &http.Request{Method: method})
	if err != nil {
		return result{err: err, took: time.Since(began)}
	}
	data, err := io.ReadAll(res.Body)
	return result{res.StatusCode, res.Header, data, err == nil, err, time.Since(began)}
}

// do sends a request on a new connection and reads its answer.
func do(address, method, path, id string, deadline time.Duration, headers, body string) result {
	c, err := dial(address)
	if err != nil {
		return result{err: err}
	}
	defer c.Close()
	if err := c.send(method, path, id, deadline, headers, body); err != nil {
		return result{err: err}
	}
	return c.receive(method, deadline+2*time.Second)
}

// events returns n events of a stream.
func events(from, n int) string {
	var b strings.Builder
	for i := from; i < from+n; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: piece %d\n\n", i, i)
	}
	return b.String()
}
