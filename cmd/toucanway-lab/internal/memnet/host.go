package memnet

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"os"
	"sync"
	"syscall"
	"time"

	"toucanway/io/network"
)

const (
	// maxBacklog is the most connections that may wait for Accept; further ones are refused.
	maxBacklog     = 4096
	firstEphemeral = 32768
)

var _ network.Network = (*Host)(nil)

// Host is the network interface of one IP address.
type Host struct {
	network *Network
	ip      netip.Addr

	mu        sync.Mutex
	nextPort  uint16
	listeners map[uint16]*listener
	conns     map[*conn]struct{}
}

func newHost(n *Network, ip netip.Addr) *Host {
	return &Host{
		network: n, ip: ip, nextPort: firstEphemeral,
		listeners: map[uint16]*listener{}, conns: map[*conn]struct{}{},
	}
}

// IP returns the host's address.
func (h *Host) IP() string { return h.ip.String() }

// Listen opens a listener on IP:PORT; for port 0 it chooses a free one.
func (h *Host) Listen(address string) (net.Listener, error) {
	a, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, fmt.Errorf("listen address %q is not IP:PORT: %w", address, err)
	}
	if a.Addr() != h.ip && !a.Addr().IsUnspecified() {
		return nil, opError("listen", a, syscall.EADDRNOTAVAIL)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	port := a.Port()
	if port == 0 {
		port = h.ephemeral()
	}
	if h.listeners[port] != nil {
		return nil, opError("listen", a, syscall.EADDRINUSE)
	}
	l := &listener{host: h, addr: netip.AddrPortFrom(h.ip, port)}
	l.cond.L = &l.mu
	h.listeners[port] = l
	return l, nil
}

// ephemeral returns a free port; h.mu is held.
func (h *Host) ephemeral() uint16 {
	for {
		p := h.nextPort
		h.nextPort++
		if h.nextPort < firstEphemeral {
			h.nextPort = firstEphemeral
		}
		if h.listeners[p] == nil {
			return p
		}
	}
}

// Dial connects to IP:PORT. It takes one round trip, and waits while the link is cut until the context ends or
// network.DialTimeout has passed, as it does for an address without a host.
func (h *Host) Dial(ctx context.Context, address string) (net.Conn, error) {
	to, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, fmt.Errorf("dial address %q is not IP:PORT: %w", address, err)
	}
	out, back := h.network.link(h.ip, to.Addr()), h.network.link(to.Addr(), h.ip)
	out.countDial()
	limit := time.NewTimer(network.DialTimeout)
	defer limit.Stop()
	for {
		changed := h.network.watch()
		outDelay, openOut := out.delay()
		backDelay, openBack := back.delay()
		if !openOut || !openBack || h.network.lookup(to.Addr()) == nil {
			if err := wait(ctx, limit.C, changed); err != nil {
				return nil, opError("dial", to, err)
			}
			continue
		}
		roundTrip := time.NewTimer(outDelay + backDelay)
		err := wait(ctx, limit.C, roundTrip.C)
		roundTrip.Stop()
		if err != nil {
			return nil, opError("dial", to, err)
		}
		_, openOut = out.delay()
		if _, openBack = back.delay(); !openOut || !openBack {
			continue
		}
		return h.connect(to, out, back)
	}
}

// wait returns nil once ready receives or is closed, and the error of the dial if its context or time limit ends before.
func wait[T any](ctx context.Context, limit <-chan time.Time, ready <-chan T) error {
	select {
	case <-ready:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-limit:
		return os.ErrDeadlineExceeded
	}
}

func (h *Host) connect(to netip.AddrPort, out, back *link) (net.Conn, error) {
	peer := h.network.lookup(to.Addr())
	peer.mu.Lock()
	l := peer.listeners[to.Port()]
	peer.mu.Unlock()
	if l == nil {
		return nil, opError("dial", to, syscall.ECONNREFUSED)
	}
	h.mu.Lock()
	from := netip.AddrPortFrom(h.ip, h.ephemeral())
	h.mu.Unlock()
	sending, receiving := newStream(out, h.network.settings.Window), newStream(back, h.network.settings.Window)
	localEnd := &conn{host: h, in: receiving, out: sending, local: from, remote: to}
	remoteEnd := &conn{host: peer, in: sending, out: receiving, local: to, remote: from}
	sending.onReaderClosed = resetFunc(back, sending, receiving)
	receiving.onReaderClosed = resetFunc(out, receiving, sending)
	h.track(localEnd)
	peer.track(remoteEnd)
	if !l.enqueue(remoteEnd) {
		localEnd.reset()
		remoteEnd.reset()
		return nil, opError("dial", to, syscall.ECONNREFUSED)
	}
	return localEnd, nil
}

// resetFunc returns a function that resets the connection of a stream whose reader is closed: the reset reaches the writer over
// the link back.
func resetFunc(back *link, written, other *stream) func() {
	return func() {
		delay, open := back.delay()
		if !open {
			return
		}
		time.AfterFunc(delay, func() {
			written.reset()
			other.mu.Lock()
			other.arrive(segment{end: syscall.ECONNRESET})
			other.cond.Broadcast()
			other.mu.Unlock()
		})
	}
}

func (h *Host) track(c *conn) {
	h.mu.Lock()
	h.conns[c] = struct{}{}
	h.mu.Unlock()
}

func (h *Host) untrack(c *conn) {
	h.mu.Lock()
	delete(h.conns, c)
	h.mu.Unlock()
}

// Close simulates the end of the process on the host: it closes the listeners and resets the connections. The host can be used
// again.
func (h *Host) Close() {
	h.mu.Lock()
	listeners, conns := h.listeners, h.conns
	h.listeners, h.conns = map[uint16]*listener{}, map[*conn]struct{}{}
	h.mu.Unlock()
	for _, l := range listeners {
		_ = l.Close()
	}
	for c := range conns {
		c.reset()
	}
}

// Connections returns the number of open connections of the host.
func (h *Host) Connections() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.conns)
}

type listener struct {
	host *Host
	addr netip.AddrPort

	mu      sync.Mutex
	cond    sync.Cond
	backlog []*conn
	closed  bool
}

// Accept waits for the next connection.
func (l *listener) Accept() (net.Conn, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.backlog) == 0 && !l.closed {
		l.cond.Wait()
	}
	if l.closed {
		return nil, opError("accept", l.addr, net.ErrClosed)
	}
	c := l.backlog[0]
	l.backlog = l.backlog[1:]
	return c, nil
}

func (l *listener) enqueue(c *conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed || len(l.backlog) >= maxBacklog {
		return false
	}
	l.backlog = append(l.backlog, c)
	l.cond.Signal()
	return true
}

// Close stops the listener and resets the connections that were not accepted.
func (l *listener) Close() error {
	l.mu.Lock()
	if l.closed {
		l.mu.Unlock()
		return opError("close", l.addr, net.ErrClosed)
	}
	l.closed = true
	waiting := l.backlog
	l.backlog = nil
	l.cond.Broadcast()
	l.mu.Unlock()
	for _, c := range waiting {
		c.reset()
	}
	l.host.mu.Lock()
	if l.host.listeners[l.addr.Port()] == l {
		delete(l.host.listeners, l.addr.Port())
	}
	l.host.mu.Unlock()
	return nil
}

// Addr returns the listener's address.
func (l *listener) Addr() net.Addr { return net.TCPAddrFromAddrPort(l.addr) }

func opError(op string, a netip.AddrPort, err error) error {
	return &net.OpError{Op: op, Net: "tcp", Addr: net.TCPAddrFromAddrPort(a), Err: err}
}
