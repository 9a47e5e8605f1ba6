package gateway

import (
	"bytes"
	"encoding/json"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"
)

// refusal is an error answer from this host.
type refusal struct {
	status  int
	code    string
	message string
	// retryDelay is sent as Retry-After; 0 for none.
	retryDelay time.Duration
	id         string
}

// refuse writes a refusal as the answer.
func (c *conn) refuse(r refusal) {
	body, err := json.Marshal(struct {
		Error struct {
			Code    string `json:"code"`
			Message string `json:"message"`
		} `json:"error"`
	}{struct {
		Code    string `json:"code"`
		Message string `json:"message"`
	}{r.code, r.message}})
	if err != nil {
		body = nil
	}
	var h fasthttp.ResponseHeader
	h.SetStatusCode(r.status)
	h.SetContentType("application/json")
	h.SetContentLength(len(body))
	if r.retryDelay > 0 {
		h.Set(fasthttp.HeaderRetryAfter, formatDelay(r.retryDelay))
	}
	if r.id != "" {
		h.Set("X-Request-Id", r.id)
	}
	c.write(&h, body)
}

// formatDelay returns a delay in seconds with three decimals, rounded up.
func formatDelay(d time.Duration) string {
	ms := (d + time.Millisecond - 1) / time.Millisecond
	return strconv.FormatFloat(float64(ms)/1000, 'f', 3, 64)
}

// write writes a complete answer, whose body may come in pieces; that to a HEAD request has none. A failed write ends the connection.
func (c *conn) write(h *fasthttp.ResponseHeader, body ...[]byte) {
	if c.closing() {
		h.SetConnectionClose()
	}
	if c.isHead {
		body = nil
	}
	err := h.Write(c.w)
	for _, piece := range body {
		for len(piece) > 0 && err == nil {
			// Each block is a write with a deadline of its own, so that a caller that reads slowly still gets an answer that is ready.
			n := min(len(piece), writeBlock)
			_, err = c.w.Write(piece[:n])
			piece = piece[n:]
		}
	}
	if err == nil {
		err = c.w.Flush()
	}
	if err != nil {
		c.abort()
	}
}

// abort ends the connection without completing an answer.
func (c *conn) abort() {
	c.closeAfterAnswer = true
	c.Close()
}

// standardHopHeaders lists the hop-by-hop headers, which apply to one connection only.
var standardHopHeaders = headerNames{"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "TE", "Trailer",
	"Transfer-Encoding", "Upgrade", "Expect"}

// hasField reports whether raw headers contain a field; the case of its name is ignored.
func hasField(raw []byte, name string) bool {
	for line := range bytes.Lines(raw) {
		key, _, ok := bytes.Cut(line, []byte{':'})
		if ok && strings.EqualFold(string(bytes.TrimSpace(key)), name) {
			return true
		}
	}
	return false
}

// removeHopHeaders removes the hop-by-hop headers of the caller's request.
func removeHopHeaders(h *fasthttp.RequestHeader) {
	hop := hopHeaders(h.PeekAll("Connection"))
	var drop []string
	for k := range h.All() {
		if hop.has(string(k)) {
			drop = append(drop, string(k))
		}
	}
	for _, k := range drop {
		h.Del(k)
	}
	h.ResetConnectionClose()
}

type headerNames []string

func (f headerNames) has(name string) bool {
	return slices.ContainsFunc(f, func(n string) bool { return strings.EqualFold(n, name) })
}

// hopHeaders returns the hop-by-hop headers of a message: the standard ones and those named in its Connection headers, but never
// Host and Content-Length, which a request needs.
func hopHeaders(values [][]byte) headerNames {
	out := slices.Clone(standardHopHeaders)
	for _, v := range values {
		for name := range strings.SplitSeq(string(v), ",") {
			switch name = strings.TrimSpace(name); strings.ToLower(name) {
			case "", "close", "keep-alive", "host", "content-length":
			default:
				out = append(out, name)
			}
		}
	}
	return out
}

// copyHeader copies the status and the headers of an answer except the hop-by-hop headers and Content-Length.
func copyHeader(dst, src *fasthttp.ResponseHeader) {
	dst.SetNoDefaultContentType(true)
	dst.SetStatusCode(src.StatusCode())
	skip := append(hopHeaders(src.PeekAll("Connection")), "Content-Length")
	for k, v := range src.All() {
		if !skip.has(string(k)) {
			dst.AddBytesKV(k, v)
		}
	}
}
