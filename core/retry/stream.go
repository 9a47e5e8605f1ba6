package retry

import (
	"slices"

	"toucanway/core/fleet"
)

// Connection numbers the connections of one host to backend servers.
type Connection uint64

// Chunk is a piece of an answer as received: the index of its first token, its number of tokens, and the request whose answer it
// claims to be.
type Chunk struct {
	Connection Connection
	Request    fleet.RequestID
	Index      int
	Tokens     int
	Last       bool
}

// Verdict is the decision about a received chunk: Deliver, Discard, Misdelivered or Gap.
type Verdict interface{ isVerdict() }

// Deliver passes a chunk on to the caller without its first Skip tokens, which were delivered before.
type Deliver struct {
	Skip int
	// Done is set if the answer is complete.
	Done bool
	// Cancel lists the attempts to cancel, since another attempt may generate different tokens.
	Cancel []Connection
}

// Discard drops a chunk that has no new tokens, or that comes from a cancelled attempt.
type Discard struct{}

// Misdelivered means that the chunk belongs to another request: close the connection and resume on another one.
type Misdelivered struct{}

// Gap means that tokens are missing before the chunk: close the connection and resume from token From.
type Gap struct{ From int }

func (Deliver) isVerdict()      {}
func (Discard) isVerdict()      {}
func (Misdelivered) isVerdict() {}
func (Gap) isVerdict()          {}

// Stream joins the attempts of one request into one answer without repeated or lost tokens.
type Stream struct {
	request  fleet.RequestID
	attempts map[Connection]bool
	next     int
	done     bool
	// winner is the attempt whose chunks are delivered; the others are cancelled with its first chunk.
	winner    Connection
	hasWinner bool
}

// NewStream returns a stream for a request that has no attempt yet.
func NewStream(id fleet.RequestID) *Stream {
	return &Stream{request: id, attempts: map[Connection]bool{}}
}

// AddAttempt adds an attempt on a connection and returns the index of the token to resume from.
func (s *Stream) AddAttempt(c Connection) (resumeFrom int) {
	s.attempts[c] = true
	return s.next
}

// Fail removes a failed attempt; another one may deliver from then on.
func (s *Stream) Fail(c Connection) {
	delete(s.attempts, c)
	if s.winner == c {
		s.hasWinner = false
	}
}

// Next returns the index of the first token that was not delivered.
func (s *Stream) Next() int { return s.next }

// Receive decides what to do with a received chunk.
func (s *Stream) Receive(c Chunk) Verdict {
	switch {
	case c.Request != s.request:
		return Misdelivered{}
	case s.done || !s.attempts[c.Connection]:
		return Discard{}
	case s.hasWinner && c.Connection != s.winner:
		return Discard{}
	case c.Index < 0 || c.Tokens < 0 || c.Index > s.next:
		return Gap{From: s.next}
	case c.Index+c.Tokens <= s.next && !c.Last:
		return Discard{}
	}
	// A last chunk that ends before the tokens delivered so far contradicts them, so it does not complete the answer.
	if c.Index+c.Tokens < s.next {
		return Gap{From: s.next}
	}
	out := Deliver{Skip: s.next - c.Index, Done: c.Last}
	if !s.hasWinner {
		s.winner, s.hasWinner = c.Connection, true
		for other := range s.attempts {
			if other != c.Connection {
				out.Cancel = append(out.Cancel, other)
				delete(s.attempts, other)
			}
		}
		slices.Sort(out.Cancel)
	}
	s.next = c.Index + c.Tokens
	s.done = c.Last
	return out
}
