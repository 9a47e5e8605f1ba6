package memnet

import (
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// segment holds the bytes of one write; a segment with an end and without data is a close or a reset.
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
	// onReaderClosed resets the connection at the writer, after the delay of the link back, since the reader was closed.
	onReaderClosed func()

	mu   sync.Mutex
	cond sync.Cond
	// inFlight holds segments that have not arrived, oldest first.
	inFlight []segment
	timer    *time.Timer
	ready    []byte
	// buffered counts the bytes in inFlight and ready.
	buffered int
	// end is the error that the reader gets after ready: io.EOF or a reset.
	end error
	// writeErr is the error of all further writes.
	writeErr      error
	readClosed    bool
	readDeadline  deadline
	writeDeadline deadline
}

func newStream(l *link, window int) *stream {
	s := &stream{link: l, window: window}
	s.cond.L = &s.mu
	l.add(s)
	return s
}

// deadline wakes all readers and writers that wait for a stream when it passes.
type deadline struct {
	at    time.Time
	timer *time.Timer
}

func (d *deadline) passed() bool { return !d.at.IsZero() && !time.Now().Before(d.at) }

// set sets the deadline; s.mu is held.
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
		for s.writeErr == nil && !s.writeDeadline.passed() && s.buffered >= s.window {
			s.cond.Wait()
		}
		if s.writeErr != nil {
			return n, s.writeErr
		}
		if s.writeDeadline.passed() {
			return n, os.ErrDeadlineExceeded
		}
		k := min(len(p), s.window-s.buffered)
		s.buffered += k
		s.push(segment{data: append([]byte(nil), p[:k]...)})
		p = p[k:]
		n += k
	}
	return n, nil
}

// push sends a segment after those before it; s.mu is held.
func (s *stream) push(g segment) {
	if k := len(s.inFlight); k == 0 || !s.inFlight[k-1].at.IsZero() {
		s.schedule(&g)
	}
	s.inFlight = append(s.inFlight, g)
	s.deliver()
}

func (s *stream) schedule(g *segment) bool {
	at, ok := s.link.send(time.Now(), len(g.data))
	if ok {
		g.at = at
	}
	return ok
}

// retransmit is called after a change of the link. It resends the segments that a cut link did not deliver; while the link is
// cut, it holds back the segments in flight.
func (s *stream) retransmit() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, open := s.link.delay(); !open {
		for i := range s.inFlight {
			s.inFlight[i].at = time.Time{}
		}
		return
	}
	for i := range s.inFlight {
		if s.inFlight[i].at.IsZero() && !s.schedule(&s.inFlight[i]) {
			return
		}
	}
	s.deliver()
}

// deliver makes arrived segments available to the reader and sets the timer for the rest; s.mu is held.
func (s *stream) deliver() {
	now := time.Now()
	for len(s.inFlight) > 0 && !s.inFlight[0].at.IsZero() && !s.inFlight[0].at.After(now) {
		g := s.inFlight[0]
		s.inFlight = s.inFlight[1:]
		s.arrive(g)
	}
	if s.timer != nil {
		s.timer.Stop()
		s.timer = nil
	}
	if len(s.inFlight) > 0 && !s.inFlight[0].at.IsZero() {
		s.timer = time.AfterFunc(s.inFlight[0].at.Sub(now), func() {
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
			s.buffered -= len(s.ready)
			s.ready = nil
		}
		s.link.remove(s)
	case s.readClosed:
		s.buffered -= len(g.data)
		if s.onReaderClosed != nil {
			s.onReaderClosed()
			s.onReaderClosed = nil
		}
	default:
		s.ready = append(s.ready, g.data...)
	}
}

func (s *stream) readBytes(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.ready) == 0 && s.end == nil && !s.readClosed && !s.readDeadline.passed() {
		s.cond.Wait()
	}
	switch {
	case s.readClosed:
		return 0, net.ErrClosed
	case s.readDeadline.passed():
		return 0, os.ErrDeadlineExceeded
	case len(s.ready) > 0:
		n := copy(p, s.ready)
		s.ready = s.ready[n:]
		s.buffered -= n
		s.cond.Broadcast()
		return n, nil
	}
	return 0, s.end
}

// closeRead closes the reader's side and drops unread bytes.
func (s *stream) closeRead() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readClosed = true
	s.buffered -= len(s.ready)
	s.ready = nil
	s.readDeadline.set(s, time.Time{})
}

// closeWrite closes the writer's side. The reader gets the end after all bytes written before, unless
// it is a reset, which drops the bytes not yet read.
func (s *stream) closeWrite(end error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.writeErr != nil {
		return
	}
	s.writeErr = net.ErrClosed
	s.writeDeadline.set(s, time.Time{})
	if end != io.EOF {
		s.inFlight = nil
	}
	s.push(segment{end: end})
}

// reset fails further writes and drops the segments in flight when the peer's reset arrives.
func (s *stream) reset() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.writeErr == nil {
		s.writeErr = syscall.ECONNRESET
	}
	s.inFlight = nil
	s.link.remove(s)
	s.cond.Broadcast()
}

func (s *stream) setReadDeadline(t time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readDeadline.set(s, t)
}

func (s *stream) setWriteDeadline(t time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writeDeadline.set(s, t)
}
