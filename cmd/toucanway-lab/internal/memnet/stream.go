package memnet

import (
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// segment is what one write sends; a nil data with an end is a close or a reset.
type segment struct {
	data []byte
	end  error
	// at is the arrival time; it is zero while the segment waits for a cut link.
	at time.Time
}

// stream is one direction of a connection.
type stream struct {
	link   *link
	window int
	// lost tells the writer, after the delay of the way back, that the reader was closed.
	lost func()

	mu   sync.Mutex
	cond sync.Cond
	// sent holds segments that have not arrived, oldest first.
	sent  []segment
	timer *time.Timer
	ready []byte
	// held counts the bytes in sent and ready.
	held int
	// end is what the reader gets after ready: io.EOF or a reset.
	end error
	// writeErr is what the writer gets from now on.
	writeErr   error
	readerGone bool
	read       deadline
	write      deadline
}

func newStream(l *link, window int) *stream {
	s := &stream{link: l, window: window}
	s.cond.L = &s.mu
	l.add(s)
	return s
}

// deadline wakes the waiters of a stream when it passes.
type deadline struct {
	at    time.Time
	timer *time.Timer
}

func (d *deadline) passed() bool { return !d.at.IsZero() && !time.Now().Before(d.at) }

// set is called with the stream locked.
func (d *deadline) set(s *stream, at time.Time) {
	if d.timer != nil {
		d.timer.Stop()
		d.timer = nil
	}
	d.at = at
	if wait := time.Until(at); !at.IsZero() && wait > 0 {
		d.timer = time.AfterFunc(wait, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.cond.Broadcast()
		})
	}
	s.cond.Broadcast()
}

func (s *stream) writeBytes(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for len(p) > 0 {
		for s.writeErr == nil && !s.write.passed() && s.held >= s.window {
			s.cond.Wait()
		}
		if s.writeErr != nil {
			return n, s.writeErr
		}
		if s.write.passed() {
			return n, os.ErrDeadlineExceeded
		}
		k := min(len(p), s.window-s.held)
		s.held += k
		s.push(segment{data: append([]byte(nil), p[:k]...)})
		p = p[k:]
		n += k
	}
	return n, nil
}

// push sends a segment after those before it; it is called with the stream locked.
func (s *stream) push(g segment) {
	if k := len(s.sent); k == 0 || !s.sent[k-1].at.IsZero() {
		s.schedule(&g)
	}
	s.sent = append(s.sent, g)
	s.deliver()
}

func (s *stream) schedule(g *segment) bool {
	at, ok := s.link.send(time.Now(), len(g.data))
	if ok {
		g.at = at
	}
	return ok
}

// retransmit sends again what a cut link did not deliver, and holds what is under way when the link was cut.
func (s *stream) retransmit() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, open := s.link.open(); !open {
		for i := range s.sent {
			s.sent[i].at = time.Time{}
		}
		return
	}
	for i := range s.sent {
		if s.sent[i].at.IsZero() && !s.schedule(&s.sent[i]) {
			return
		}
	}
	s.deliver()
}

// deliver moves what has arrived to the reader and sets the timer for the rest; it is called with the stream locked.
func (s *stream) deliver() {
	now := time.Now()
	for len(s.sent) > 0 && !s.sent[0].at.IsZero() && !s.sent[0].at.After(now) {
		g := s.sent[0]
		s.sent = s.sent[1:]
		s.arrive(g)
	}
	if s.timer != nil {
		s.timer.Stop()
		s.timer = nil
	}
	if len(s.sent) > 0 && !s.sent[0].at.IsZero() {
		s.timer = time.AfterFunc(s.sent[0].at.Sub(now), func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.deliver()
		})
	}
	s.cond.Broadcast()
}

func (s *stream) arrive(g segment) {
	switch {
	case g.end != nil:
		s.end = g.end
		if g.end != io.EOF {
			s.held -= len(s.ready)
			s.ready = nil
		}
		s.link.remove(s)
	case s.readerGone:
		s.held -= len(g.data)
		if s.lost != nil {
			s.lost()
			s.lost = nil
		}
	default:
		s.ready = append(s.ready, g.data...)
	}
}

func (s *stream) readBytes(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.ready) == 0 && s.end == nil && !s.readerGone && !s.read.passed() {
		s.cond.Wait()
	}
	switch {
	case s.readerGone:
		return 0, net.ErrClosed
	case s.read.passed():
		return 0, os.ErrDeadlineExceeded
	case len(s.ready) > 0:
		n := copy(p, s.ready)
		s.ready = s.ready[n:]
		s.held -= n
		s.cond.Broadcast()
		return n, nil
	}
	return 0, s.end
}

// closeRead ends the reader's side.
func (s *stream) closeRead() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readerGone = true
	s.held -= len(s.ready)
	s.ready = nil
	s.read.set(s, time.Time{})
}

// closeWrite ends the writer's side; the reader gets the end after what was written.
func (s *stream) closeWrite(end error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.writeErr != nil {
		return
	}
	s.writeErr = net.ErrClosed
	s.write.set(s, time.Time{})
	if end != io.EOF {
		s.sent = nil
	}
	s.push(segment{end: end})
}

// fail ends both sides when the peer's reset arrives.
func (s *stream) fail() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.writeErr == nil {
		s.writeErr = syscall.ECONNRESET
	}
	s.sent = nil
	s.link.remove(s)
	s.cond.Broadcast()
}

func (s *stream) setRead(t time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.read.set(s, t)
}

func (s *stream) setWrite(t time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write.set(s, t)
}
