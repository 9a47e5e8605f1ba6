package gateway

import (
	"bytes"
	"fmt"
	"io"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap/zapcore"

	"toucanway/core/balance"
	"toucanway/io/backend"
)

// relay is the state of a streamed answer to the caller, over all servers that it came from.
type relay struct {
	// begun says that the head was sent to the caller.
	begun bool
	// last is the id of the last event that was passed on, and number its value if it is one.
	last    string
	number  int64
	ordered bool
	events  int
	// first is the time to the first event, gap the longest pause between two events that were passed on.
	first time.Duration
	gap   time.Duration
	at    time.Time
}

// maxEvent bounds one event of a stream.
const maxEvent = 1 << 20

// streamBuffer is the size of reads from a stream.
const streamBuffer = 4 << 10

// relayStream passes on the events of an answer as they arrive, whole ones only.
func (x *exchange) relayStream(up *backend.Exchange, ticket *balance.Ticket, status int) (int, balance.Outcome, error) {
	var pending []byte
	buf := make([]byte, streamBuffer)
	for {
		n, err := up.Read(buf)
		if n > 0 {
			pending = append(pending, buf[:n]...)
			var perr error
			if pending, perr = x.passEvents(up, ticket, pending); perr != nil {
				up.Abort()
				return status, x.lost(balance.Lost), perr
			}
		}
		if err == io.EOF && len(bytes.TrimSpace(pending)) == 0 {
			x.p.view.first(ticket)
			return status, balance.Answered, x.endStream(up)
		}
		if err != nil || len(pending) > maxEvent {
			up.Abort()
			return status, x.lost(balance.Lost), errCut
		}
	}
}

// passEvents writes the whole events at the start of what was read and returns the rest.
func (x *exchange) passEvents(up *backend.Exchange, ticket *balance.Ticket, pending []byte) ([]byte, error) {
	out := pending[:0:0]
	for {
		end := bytes.Index(pending, []byte("\n\n"))
		if end < 0 {
			break
		}
		event := pending[:end+2]
		if err := x.stream.check(event); err != nil {
			return nil, err
		}
		if x.stream.events == 0 {
			x.stream.first = time.Since(x.began)
		}
		x.stream.events++
		out = append(out, event...)
		pending = pending[end+2:]
	}
	if len(out) == 0 {
		return pending, nil
	}
	x.p.view.first(ticket)
	now := time.Now()
	if !x.stream.at.IsZero() {
		x.stream.gap = max(x.stream.gap, now.Sub(x.stream.at))
	}
	x.stream.at = now
	return pending, x.writePiece(up, out)
}

// check takes in an event's id, which must follow the last one.
func (r *relay) check(event []byte) error {
	for line := range bytes.Lines(event) {
		value, ok := bytes.CutPrefix(line, []byte("id:"))
		if !ok {
			continue
		}
		id := string(bytes.TrimSpace(value))
		n, err := strconv.ParseInt(id, 10, 64)
		if err == nil && r.ordered && n != r.number+1 {
			return errOrder
		}
		r.last, r.number, r.ordered = id, n, err == nil
	}
	return nil
}

// writePiece writes events to the caller, after the head of the first server's answer.
func (x *exchange) writePiece(up *backend.Exchange, piece []byte) error {
	c := x.conn
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	if !x.stream.begun {
		var h fasthttp.ResponseHeader
		passHeader(&h, &up.Response.Header)
		h.SetContentLength(-1)
		if c.ending() {
			h.SetConnectionClose()
		}
		x.stream.begun = true
		if err := h.Write(c.w); err != nil {
			return err
		}
	}
	if _, err := fmt.Fprintf(c.w, "%x\r\n", len(piece)); err != nil {
		return err
	}
	if _, err := c.w.Write(piece); err != nil {
		return err
	}
	if _, err := c.w.WriteString("\r\n"); err != nil {
		return err
	}
	return c.w.Flush()
}

// endStream completes the answer. A failed write ends the connection.
func (x *exchange) endStream(up *backend.Exchange) error {
	if !x.stream.begun {
		// The answer has no events.
		var h fasthttp.ResponseHeader
		passHeader(&h, &up.Response.Header)
		h.SetContentLength(0)
		x.stream.begun = true
		x.conn.write(&h, nil)
		return nil
	}
	if _, err := x.conn.w.WriteString("0\r\n\r\n"); err != nil {
		x.conn.abort()
		return nil
	}
	if x.conn.w.Flush() != nil {
		x.conn.abort()
	}
	return nil
}

// steps are logged as an array.
type steps []step

// MarshalLogArray adds the steps to a log line.
func (s steps) MarshalLogArray(enc zapcore.ArrayEncoder) error {
	for _, one := range s {
		if err := enc.AppendObject(one); err != nil {
			return err
		}
	}
	return nil
}

// MarshalLogObject adds the fields of a step.
func (s step) MarshalLogObject(enc zapcore.ObjectEncoder) error {
	enc.AddString("instance", string(s.instance))
	enc.AddString("outcome", s.outcome.String())
	enc.AddInt("status", s.status)
	enc.AddDuration("took-ms", s.took)
	enc.AddDuration("cost-ms", s.choice.Cost)
	enc.AddInt("options", s.choice.Candidates)
	enc.AddInt("active", s.choice.Active)
	enc.AddInt("others", s.choice.OtherHostsActive)
	enc.AddInt64("cached", int64(s.choice.Cached))
	enc.AddBool("avoided", s.choice.Avoided)
	enc.AddBool("placed", s.choice.Placed)
	if s.err != nil {
		enc.AddString("error", s.err.Error())
	}
	return nil
}
