package gateway

import (
	"bytes"
	"mime"

	"github.com/valyala/fasthttp"
)

// eventBuffer splits the bytes of a stream into events. It searches each byte once, however the bytes arrive.
type eventBuffer struct {
	data []byte
	// searched is the number of bytes at the start of data that hold no end of an event.
	searched int
}

var eventEnd = []byte("\n\n")

// add appends bytes of the stream.
func (b *eventBuffer) add(p []byte) { b.data = append(b.data, p...) }

// next returns the next complete event, or nil if there is none. The result is valid until the next call of add.
func (b *eventBuffer) next() []byte {
	i := bytes.Index(b.data[b.searched:], eventEnd)
	if i < 0 {
		// The last byte may be the first one of an end.
		b.searched = max(len(b.data)-len(eventEnd)+1, 0)
		return nil
	}
	n := b.searched + i + len(eventEnd)
	event := b.data[:n]
	b.data, b.searched = b.data[n:], 0
	return event
}

// size returns the number of bytes after the last complete event.
func (b *eventBuffer) size() int { return len(b.data) }

// empty reports whether no part of a further event has arrived.
func (b *eventBuffer) empty() bool { return len(bytes.TrimSpace(b.data)) == 0 }

// isProgress reports whether an event brings the answer forward: it has an id or data. Comments and empty events do not.
func isProgress(event []byte) bool {
	for line := range bytes.Lines(event) {
		if bytes.HasPrefix(line, []byte("id:")) || bytes.HasPrefix(line, []byte("data:")) {
			return true
		}
	}
	return false
}

// hasOnlyFields reports whether each line of an event is a comment or a field, whose name consists of letters, digits, hyphens and
// underscores. Bytes that a server in trouble writes into its stream, such as an error's head or text, have other lines.
func hasOnlyFields(event []byte) bool {
	for line := range bytes.Lines(event) {
		name, _, _ := bytes.Cut(bytes.TrimRight(line, "\r\n"), []byte{':'})
		for _, c := range name {
			switch {
			case 'a' <= c && c <= 'z', 'A' <= c && c <= 'Z', '0' <= c && c <= '9', c == '-', c == '_':
			default:
				return false
			}
		}
	}
	return true
}

// isEventStream reports whether the body of an answer is a series of events.
func isEventStream(h *fasthttp.ResponseHeader) bool {
	t, _, err := mime.ParseMediaType(string(h.ContentType()))
	return err == nil && t == "text/event-stream"
}
