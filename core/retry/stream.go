package retry

import (
	"slices"

	"toucanway/core/fleet"
)

// Connection numbers the connections of one host to backend servers.
type Connection uint64

// Chunk is a piece of an answer as received: the index of its first token, its number of tokens, and what it names as its
// request.
type Chunk struct {
	Connection Connection
	Request    fleet.RequestID
	Index      int
	Tokens     int
	Last       bool
}

// Verdict says what to do with a received chunk.
type Verdict interface{ isVerdict() }

// Deliver passes the tokens from Skip on to the caller; the ones before were delivered already.
type Deliver struct {
	Skip int
	// Done says that the answer is complete.
	Done bool
	// Cancel names the attempts that are given up, since the continuations of two attempts differ.
	Cancel []Connection
}

// Discard drops a chunk that brings nothing new, or comes from an attempt that was given up.
type Discard struct{}

// Misdelivered says that the connection carries answers to other requests: close it and resume on another.
type Misdelivered struct{}

// Gap says that tokens are missing before the chunk: close the connection and resume from token From.
type Gap struct{ From int }

func (Deliver) isVerdict()      {}
func (Discard) isVerdict()      {}
func (Misdelivered) isVerdict() {}
func (Gap) isVerdict()          {}

// Stream joins the attempts of one request into one answer without repetition or loss.
type Stream struct {
	request  fleet.RequestID
	attempts map[Connection]bool
	next     int
	done     bool
	// winner is the attempt that delivers; the others are given up with its first chunk.
	winner    Connection
	hasWinner bool
}

// NewStream returns the stream of a request without attempts.
func NewStream(id fleet.RequestID) *Stream {
	return &Stream{request: id, attempts: map[Connection]bool{}}
}

// Attempt adds a connection that the request was sent on and returns the token index to resume from.
func (s *Stream) Attempt(c Connection) (resumeFrom int) {
	s.attempts[c] = true
	return s.next
}

// Fail gives up an attempt; another may deliver from then on.
func (s *Stream) Fail(c Connection) {
	delete(s.attempts, c)
	if s.winner == c {
		s.hasWinner = false
	}
}

// Next returns the index of the first token that was not delivered.
func (s *Stream) Next() int { return s.next }

// Receive judges a chunk.
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
	// A last chunk that ends before what was delivered contradicts it, so that the answer is not complete.
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
