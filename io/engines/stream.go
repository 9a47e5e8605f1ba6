package engines

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"time"

	"toucanway/core/fleet"
	"toucanway/io/backend"
)

const (
	// maxEventBytes bounds one server-sent event; a token's event has a few hundred bytes.
	maxEventBytes = 64 << 10
	// maxTrailingBytes and trailingTimeout bound what an engine sends after the end of an answer.
	maxTrailingBytes = 4 << 10
	trailingTimeout  = 250 * time.Millisecond
)

// Token is one event of an engine's answer.
type Token struct {
	// Index is the token's position in the complete answer, from 0.
	Index int
	Text  string
	// Finish is the reason why the answer ended; set on the last event only.
	Finish string
	// Usage is set on the last event only.
	Usage *Usage
}

// Usage counts the tokens of a request.
type Usage struct {
	Prompt     fleet.Tokens
	Completion fleet.Tokens
	// Cached is the part of the prompt that the engine found in its prefix cache.
	Cached fleet.Tokens
}

// event holds the fields of an OpenAI-style chunk that the host reads.
type event struct {
	ID      fleet.RequestID `json:"id"`
	Choices []struct {
		Text  string `json:"text"`
		Delta *struct {
			Content string `json:"content"`
		} `json:"delta"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
	TokenIndex *int `json:"token_index"`
	Usage      *struct {
		Prompt     fleet.Tokens `json:"prompt_tokens"`
		Completion fleet.Tokens `json:"completion_tokens"`
		Details    *struct {
			Cached fleet.Tokens `json:"cached_tokens"`
		} `json:"prompt_tokens_details"`
	} `json:"usage"`
}

// Stream is the streamed answer of an engine. It is not safe for concurrent use, except for Close.
type Stream struct {
	x         *backend.Exchange
	r         *bufio.Reader
	request   fleet.RequestID
	nextIndex int
	done      bool
	// tokenTimeout bounds the time for the next token, whatever else the engine sends meanwhile.
	tokenTimeout time.Duration
}

func newStream(x *backend.Exchange, id fleet.RequestID, next int, tokenTimeout time.Duration) *Stream {
	return &Stream{x: x, r: bufio.NewReaderSize(x, maxEventBytes), request: id, nextIndex: next, tokenTimeout: tokenTimeout}
}

// Next returns the next token, or io.EOF once the answer is complete. Other errors are backend.ErrLost, ErrProtocol and
// ErrMisdelivered; after them the answer may be resumed at Received.
func (s *Stream) Next() (Token, error) {
	if s.x != nil {
		s.x.ReadWithin(s.tokenTimeout)
	}
	for {
		data, err := s.nextData()
		if err != nil {
			return Token{}, err
		}
		if string(data) == "[DONE]" {
			s.done = s.readTrailing()
			return Token{}, io.EOF
		}
		var e event
		if err := json.Unmarshal(data, &e); err != nil {
			return Token{}, ErrProtocol.Wrap(err, "engine sent an event that is not a JSON chunk; check its version")
		}
		if e.ID != s.request {
			return Token{}, ErrMisdelivered.New("engine sent a chunk of request %s in the answer of %s", e.ID, s.request)
		}
		t, ok, err := s.toToken(&e)
		if err != nil {
			return Token{}, err
		}
		if ok {
			return t, nil
		}
	}
}

// readTrailing reads the rest of the body, so that the connection can be reused, and reports whether it has ended.
func (s *Stream) readTrailing() bool {
	if s.x != nil {
		s.x.ReadWithin(trailingTimeout)
	}
	n, err := io.Copy(io.Discard, io.LimitReader(s.r, maxTrailingBytes+1))
	return err == nil && n <= maxTrailingBytes
}

// toToken returns the token of an event after checking its index; it returns false for an event that repeats an earlier token or
// carries nothing, which is no progress of the answer.
func (s *Stream) toToken(e *event) (Token, bool, error) {
	t := Token{Index: s.nextIndex}
	if e.TokenIndex != nil {
		t.Index = *e.TokenIndex
	}
	if t.Index < s.nextIndex {
		return Token{}, false, nil
	}
	if t.Index > s.nextIndex {
		return Token{}, false, ErrProtocol.New("engine skipped tokens %d to %d of request %s", s.nextIndex, t.Index-1, s.request)
	}
	if len(e.Choices) > 0 {
		c := e.Choices[0]
		t.Text = c.Text
		if c.Delta != nil {
			t.Text = c.Delta.Content
		}
		if c.FinishReason != nil {
			t.Finish = *c.FinishReason
		}
	}
	if u := e.Usage; u != nil {
		t.Usage = &Usage{Prompt: u.Prompt, Completion: u.Completion}
		if u.Details != nil {
			t.Usage.Cached = u.Details.Cached
		}
	}
	if t.Text != "" || e.TokenIndex != nil {
		s.nextIndex++
		return t, true, nil
	}
	return t, t.Finish != "" || t.Usage != nil, nil
}

// nextData returns the data line of the next event; other lines are skipped.
func (s *Stream) nextData() ([]byte, error) {
	for {
		line, err := s.r.ReadSlice('\n')
		if errors.Is(err, bufio.ErrBufferFull) {
			return nil, ErrProtocol.New("engine sent an event longer than %d bytes", maxEventBytes)
		}
		if err != nil {
			return nil, backend.ErrLost.Wrap(err, "answer of request %s ended after %d tokens", s.request, s.nextIndex)
		}
		if rest, ok := bytes.CutPrefix(line, []byte("data:")); ok {
			return bytes.TrimSpace(rest), nil
		}
	}
}

// Received returns the number of tokens received, including those before the answer was resumed.
func (s *Stream) Received() int { return s.nextIndex }

// Close ends the exchange. If the answer was not read to its end, the request is cancelled by closing the connection.
func (s *Stream) Close() {
	if !s.done {
		s.x.Abort()
		return
	}
	s.x.Close()
}
