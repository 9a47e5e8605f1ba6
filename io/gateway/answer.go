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

// refusal is an answer of this host's own.
type refusal struct {
	status  int
	code    string
	message string
	// retry is when the caller may come back; 0 if that is not said.
	retry time.Duration
	id    string
}

// refuse writes an answer of this host's own.
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
	if r.retry > 0 {
		h.Set("Retry-After", strconv.FormatFloat(r.retry.Seconds(), 'f', 3, 64))
	}
	if r.id != "" {
		h.Set("X-Request-Id", r.id)
	}
	c.write(&h, body)
}

// write writes a whole answer. A failed write ends the connection.
func (c *conn) write(h *fasthttp.ResponseHeader, body []byte) {
	if c.ending() {
		h.SetConnectionClose()
	}
	err := c.SetWriteDeadline(time.Now().Add(writeTimeout))
	if err == nil {
		err = h.Write(c.w)
	}
	if err == nil {
		_, err = c.w.Write(body)
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
	c.last = true
	c.Close()
}

// connectionFields are headers that concern one connection only.
var connectionFields = fields{"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "TE", "Trailer",
	"Transfer-Encoding", "Upgrade", "Expect"}

// hasField says whether raw headers hold a field, whose name is given in lower case.
func hasField(raw []byte, name string) bool {
	for line := range bytes.Lines(raw) {
		key, _, ok := bytes.Cut(line, []byte{':'})
		if ok && strings.EqualFold(string(bytes.TrimSpace(key)), name) {
			return true
		}
	}
	return false
}

// cleanRequest removes the headers that concern the caller's connection only.
func cleanRequest(h *fasthttp.RequestHeader) {
	hop := hopFields(h.PeekAll("Connection"))
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

// fields are names of headers.
type fields []string

func (f fields) has(name string) bool {
	return slices.ContainsFunc(f, func(one string) bool { return strings.EqualFold(one, name) })
}

// hopFields returns the headers that concern one connection only: the known ones and those that connection headers name, but not
// those that a request can't do without.
func hopFields(values [][]byte) fields {
	out := slices.Clone(connectionFields)
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

// passHeader copies an answer's headers but for those of the connection to the backend server.
func passHeader(dst, src *fasthttp.ResponseHeader) {
	dst.SetNoDefaultContentType(true)
	dst.SetStatusCode(src.StatusCode())
	skip := append(hopFields(src.PeekAll("Connection")), "Content-Length")
	for k, v := range src.All() {
		if !skip.has(string(k)) {
			dst.AddBytesKV(k, v)
		}
	}
}
