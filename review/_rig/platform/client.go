package main

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// client sends requests one after the other to one gateway on a connection that it keeps.
type client struct {
	d       *deployment
	gateway *process
	name    string
	warmUp  bool
	// model is sent as X-Model unless it is empty.
	model string
	// prefix is sent as X-Prompt-Prefix unless it is empty.
	prefix string
	count  int
	conn   net.Conn
	r      *bufio.Reader
}

// outcome is how a request ended.
type outcome struct {
	id       string
	sentAt   time.Time
	endedAt  time.Time
	written  bool
	status   int
	stamp    string
	complete bool
	err      error
}

func (o outcome) String() string {
	if o.err != nil {
		return fmt.Sprintf("status %d, complete %v, error %v", o.status, o.complete, o.err)
	}
	return fmt.Sprintf("status %d, complete %v", o.status, o.complete)
}

func (c *client) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// send sends one POST and reads its answer.
func (c *client) send(path string, limit time.Duration) outcome {
	c.count++
	out := outcome{id: fmt.Sprintf("%s-%d", c.name, c.count)}
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.d.address(c.gateway, "callers"), time.Second)
		if err != nil {
			out.err = err
			return out
		}
		c.conn, c.r = conn, bufio.NewReader(conn)
	}
	// No two requests are alike: the gateways take the same body for a repetition.
	body := strings.Repeat(out.id+" ", 20)
	_ = c.conn.SetDeadline(time.Now().Add(limit + 500*time.Millisecond))
	out.sentAt = time.Now()
	if !c.warmUp {
		c.d.rec.logf("client %s sends %s to %s", c.name, out.id, c.gateway.name)
	}
	more := ""
	if c.model != "" {
		more = fmt.Sprintf("X-Model: %s\r\nX-Token-Count: 200,20\r\nX-Prompt-Prefix: %s\r\n", c.model, cmp.Or(c.prefix, fmt.Sprintf("a1:100,b%d:100", c.count)))
	}
	_, err := fmt.Fprintf(c.conn, "POST %s HTTP/1.1\r\nHost: rig.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n%sContent-Length: %d\r\n\r\n%s",
		path, out.id, limit.Milliseconds(), more, len(body), body)
	out.written = err == nil
	if err == nil {
		err = c.read(&out)
	}
	out.err, out.endedAt = err, time.Now()
	if !c.warmUp {
		c.d.rec.logf("client %s: %s ends: %v", c.name, out.id, out)
	}
	if err != nil {
		c.close()
	}
	return out
}

func (c *client) read(out *outcome) error {
	res, err := http.ReadResponse(c.r, &http.Request{Method: http.MethodPost})
	if err != nil {
		return err
	}
	defer res.Body.Close()
	out.status, out.stamp = res.StatusCode, res.Header.Get("X-Response-Stamp")
	if _, err := io.Copy(io.Discard, res.Body); err != nil {
		return err
	}
	out.complete = true
	if res.Close {
		c.close()
	}
	return nil
}
