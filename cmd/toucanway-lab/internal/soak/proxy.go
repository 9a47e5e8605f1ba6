package soak

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// condition is the state of the link from one address to another.
type condition struct {
	delay time.Duration
	// silent links deliver nothing and report no error.
	silent bool
}

// links holds the conditions between addresses, by direction, and the open connections. It is safe for concurrent use.
type links struct {
	mu         sync.Mutex
	conditions map[[2]string]condition
	conns      map[net.Conn]bool
}

func newLinks() *links {
	return &links{conditions: map[[2]string]condition{}, conns: map[net.Conn]bool{}}
}

func (l *links) set(from, to string, c condition) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conditions[[2]string{from, to}] = c
}

func (l *links) get(from, to string) condition {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.conditions[[2]string{from, to}]
}

// restore restores the link between two addresses in both directions.
func (l *links) restore(a, b string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conditions, [2]string{a, b})
	delete(l.conditions, [2]string{b, a})
}

func (l *links) restoreAll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	clear(l.conditions)
}

// reset resets a random share of all open connections.
func (l *links) reset(r *rand.Rand, share float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		if r.Float64() < share {
			if tcp, ok := c.(*net.TCPConn); ok {
				// The connection is closed in any case.
				_ = tcp.SetLinger(0)
			}
			c.Close()
		}
	}
}

func (l *links) track(c net.Conn, open bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if open {
		l.conns[c] = true
	} else {
		delete(l.conns, c)
	}
}

// pollInterval is the interval at which a silent connection checks whether its link delivers again.
const pollInterval = 10 * time.Millisecond

// proxy accepts connections at address and forwards them to target under the conditions of the links until the context ends.
func (l *links) proxy(ctx context.Context, address, target string) error {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	stop := context.AfterFunc(ctx, func() { ln.Close() })
	defer stop()
	self, _, err := net.SplitHostPort(address)
	if err != nil {
		return err
	}
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		c, err := ln.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return err
		}
		wg.Go(func() { l.forward(ctx, c, self, target) })
	}
}

// forward forwards one connection in both directions.
func (l *links) forward(ctx context.Context, c net.Conn, self, target string) {
	peer, _, err := net.SplitHostPort(c.RemoteAddr().String())
	if err != nil {
		c.Close()
		return
	}
	upstream, err := net.DialTimeout("tcp", target, time.Second)
	if err != nil {
		c.Close()
		return
	}
	l.track(c, true)
	defer l.track(c, false)
	stop := context.AfterFunc(ctx, func() {
		c.Close()
		upstream.Close()
	})
	defer stop()
	var wg sync.WaitGroup
	wg.Go(func() { l.copy(ctx, upstream, c, peer, self) })
	wg.Go(func() { l.copy(ctx, c, upstream, self, peer) })
	wg.Wait()
}

// copy forwards bytes in one direction. When it returns, it closes both connections.
func (l *links) copy(ctx context.Context, dst, src net.Conn, from, to string) {
	defer dst.Close()
	defer src.Close()
	buf := make([]byte, 32<<10)
	for {
		n, err := src.Read(buf)
		for l.get(from, to).silent && ctx.Err() == nil {
			time.Sleep(pollInterval)
		}
		if d := l.get(from, to).delay; d > 0 {
			time.Sleep(d)
		}
		if n > 0 {
			if _, werr := dst.Write(buf[:n]); werr != nil {
				return
			}
		}
		if err == io.EOF || err != nil {
			return
		}
	}
}
