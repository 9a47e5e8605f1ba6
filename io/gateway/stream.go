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
	"toucanway/core/buffers"
	"toucanway/core/fleet"
	"toucanway/io/backend"
	"toucanway/io/logs"
)

// streamState is the state of a streamed answer to the caller, across all servers that contribute to it.
type streamState struct {
	// headersSent is set once the headers were sent to the caller.
	headersSent bool
	// lastEventID is the id of the last forwarded event, lastNumber its value if it is a number; numbered is set in that case.
	lastEventID string
	lastNumber  int64
	numbered    bool
	// unidentified is set if the last forwarded event had no id, so that no server can go on behind it.
	unidentified bool
	// resumes is set until the first event of an answer with which another server goes on.
	resumes bool
	// typed is set if the current answer is of the type of events, so that each line is a field.
	typed      bool
	eventCount int
	// firstEventTime is the time to the first event, longestGap the longest gap between two forwarded events.
	firstEventTime time.Duration
	longestGap     time.Duration
	lastEventAt    time.Time
}

// maxEvent bounds one event of a stream.
const maxEvent = 1 << 20

// streamBuffer is the size of reads from a stream.
const streamBuffer = 4 << 10

// forwardStream forwards the events of an answer as they arrive; an event is forwarded only once it is complete.
func (x *exchange) forwardStream(upstream *backend.Exchange, ticket *balance.Ticket, status int, memory *buffers.Account) (int, balance.Outcome, error) {
	x.stream.resumes, x.stream.typed = x.stream.headersSent, isEventStream(&upstream.Response.Header)
	if x.stream.resumes && (status != fasthttp.StatusOK || !x.stream.typed) {
		upstream.Abort()
		return status, x.failureOutcome(balance.Lost), errNotResumed
	}
	var pending eventBuffer
	eventsBefore := x.stream.eventCount
	buf := make([]byte, streamBuffer)
	for {
		n, err := upstream.Read(buf)
		if n > 0 {
			pending.add(buf[:n])
			if perr := x.forwardEvents(upstream, ticket, &pending); perr != nil {
				upstream.Abort()
				return status, x.failureOutcome(balance.Lost), perr
			}
		}
		// An answer that ends with its connection before its first event can't be told from one that is broken off.
		noEvents := upstream.EndsWithConnection() && x.stream.eventCount == eventsBefore
		if err == io.EOF && pending.empty() && !noEvents {
			x.proxy.view.firstByte(ticket)
			return status, balance.Answered, x.endStream(upstream)
		}
		if !memory.SetSize(fleet.Bytes(pending.size())) {
			err = errOverMemory
		}
		if err != nil || pending.size() > maxEvent {
			upstream.Abort()
			return status, x.failureOutcome(balance.Lost), errTruncated
		}
	}
}

// forwardEvents forwards the complete events in pending. At a faulty event it forwards those before it, behind which another server
// may go on, and returns an error.
func (x *exchange) forwardEvents(upstream *backend.Exchange, ticket *balance.Ticket, pending *eventBuffer) error {
	var out []byte
	var faulty error
	progress, before := false, x.stream
	for event := pending.next(); event != nil; event = pending.next() {
		if x.stream.typed && !hasOnlyFields(event) {
			faulty = errNoEvent
			break
		}
		if faulty = x.stream.checkEventID(event); faulty != nil {
			break
		}
		out = append(out, event...)
		if !isProgress(event) {
			continue
		}
		progress = true
		if x.stream.eventCount == 0 {
			x.stream.firstEventTime = time.Since(x.began)
		}
		x.stream.eventCount++
	}
	if (progress || x.stream.lastEventID != before.lastEventID) && !x.keepServer() {
		// The other server goes on behind the events before.
		x.stream = before
		return errStalled
	}
	if progress {
		x.bindToServer()
		x.recordProgress(ticket)
	}
	if len(out) > 0 {
		if err := x.writeEvents(upstream, out); err != nil {
			return err
		}
	}
	return faulty
}

// keepServer reports whether the stream goes on at its present server, which has made an event; otherwise another one has accepted it.
func (x *exchange) keepServer() bool {
	if x.stream.unidentified {
		return x.stall.suspend()
	}
	return x.stall.progress(x.stream.lastEventID)
}

// recordProgress records that the answer has come forward by an event.
func (x *exchange) recordProgress(ticket *balance.Ticket) {
	x.proxy.view.firstByte(ticket)
	now := time.Now()
	if !x.stream.lastEventAt.IsZero() {
		x.stream.longestGap = max(x.stream.longestGap, now.Sub(x.stream.lastEventAt))
	}
	x.stream.lastEventAt = now
}

// checkEventID records an event's id. It returns an error, and records nothing, if the previous id is a number that this one doesn't
// follow, or if the event has no id and is the first one of a server that goes on with the stream.
func (r *streamState) checkEventID(event []byte) error {
	next := *r
	identified := false
	for line := range bytes.Lines(event) {
		value, ok := bytes.CutPrefix(line, []byte("id:"))
		if !ok {
			continue
		}
		id := string(bytes.TrimSpace(value))
		n, err := strconv.ParseInt(id, 10, 64)
		if next.numbered && (err != nil || n != next.lastNumber+1) {
			return errEventOrder
		}
		identified = true
		next.lastEventID, next.lastNumber, next.numbered = id, n, err == nil
	}
	if isProgress(event) {
		if next.resumes && !identified {
			return errEventOrder
		}
		next.resumes, next.unidentified = false, !identified
	}
	*r = next
	return nil
}

// writeEvents writes events to the caller as one chunk. Before the first chunk it writes the headers of the server's answer.
func (x *exchange) writeEvents(upstream *backend.Exchange, events []byte) error {
	c := x.conn
	if !x.stream.headersSent {
		var h fasthttp.ResponseHeader
		copyHeader(&h, &upstream.Response.Header)
		h.SetContentLength(-1)
		if c.closing() {
			h.SetConnectionClose()
		}
		x.stream.headersSent = true
		if err := h.Write(c.w); err != nil {
			return err
		}
	}
	if _, err := fmt.Fprintf(c.w, "%x\r\n", len(events)); err != nil {
		return err
	}
	if _, err := c.w.Write(events); err != nil {
		return err
	}
	if _, err := c.w.WriteString("\r\n"); err != nil {
		return err
	}
	return c.w.Flush()
}

// endStream completes the answer. A failed write ends the connection.
func (x *exchange) endStream(upstream *backend.Exchange) error {
	if !x.stream.headersSent {
		// The answer has no events.
		var h fasthttp.ResponseHeader
		copyHeader(&h, &upstream.Response.Header)
		h.SetContentLength(0)
		x.stream.headersSent = true
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

// attempts is a list of attempts that is logged as an array.
type attempts []attempt

// MarshalLogArray adds the attempts to a log line.
func (s attempts) MarshalLogArray(enc zapcore.ArrayEncoder) error {
	for _, a := range s {
		if err := enc.AppendObject(a); err != nil {
			return err
		}
	}
	return nil
}

// MarshalLogObject adds the fields of an attempt.
func (s attempt) MarshalLogObject(enc zapcore.ObjectEncoder) error {
	enc.AddString("instance", string(s.instance))
	enc.AddString("software", string(s.software))
	enc.AddString("outcome", s.outcome.String())
	enc.AddInt("status", s.status)
	enc.AddDuration("took-ms", s.duration)
	enc.AddDuration("cost-ms", s.choice.Cost)
	enc.AddInt("options", s.choice.Candidates)
	enc.AddInt("active", s.choice.Active)
	enc.AddInt("others", s.choice.OtherHostsActive)
	enc.AddInt64("cached", int64(s.choice.Cached))
	enc.AddBool("avoided", s.choice.Avoided)
	enc.AddBool("placed", s.choice.Placed)
	if s.limit.Named {
		enc.AddFloat64("limit-per-second", s.limit.PerSecond)
	}
	if s.err != nil {
		enc.AddString("error", logs.ErrorText(s.err))
	}
	return nil
}
