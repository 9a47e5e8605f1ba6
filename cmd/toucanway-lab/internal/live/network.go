package live

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"toucanway/core/pause"
	"toucanway/io/network"
)

// Route is a direction between two IP addresses.
type Route struct{ From, To netip.Addr }

// Network delays and counts the traffic between the loopback addresses of one process. It is safe for concurrent use.
type Network struct {
	delay func(from, to netip.Addr) time.Duration
	// group runs the senders of the connections.
	group errgroup.Group

	mu        sync.Mutex
	conns     map[*conn]struct{}
	stopped   bool
	bytesSent map[Route]*atomic.Int64
}

// NewNetwork returns a network with a one-way delay for each route.
func NewNetwork(delay func(from, to netip.Addr) time.Duration) *Network {
	return &Network{delay: delay, conns: map[*conn]struct{}{}, bytesSent: map[Route]*atomic.Int64{}}
}

// Host returns the network of one IP address.
func (n *Network) Host(ip string) network.Network {
	return &host{network: n, tcp: network.TCP{Local: netip.MustParseAddr(ip)}}
}

// Traffic returns the bytes that were sent on each route.
func (n *Network) Traffic() map[Route]int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	out := make(map[Route]int64, len(n.bytesSent))
	for r, b := range n.bytesSent {
		out[r] = b.Load()
	}
	return out
}

// AbortConnections aborts all connections of an IP address, as the end of its process does.
func (n *Network) AbortConnections(ip string) {
	a := netip.MustParseAddr(ip)
	for _, c := range n.openConns() {
		if c.route.From == a || c.route.To == a {
			c.abort()
		}
	}
}

// Shutdown aborts all connections, and those that are opened later.
func (n *Network) Shutdown() {
	n.mu.Lock()
	n.stopped = true
	n.mu.Unlock()
	for _, c := range n.openConns() {
		c.abort()
	}
}

// Close calls Shutdown and waits for the senders of the connections. No one may dial or accept connections any more.
func (n *Network) Close() error {
	n.Shutdown()
	return n.group.Wait()
}

func (n *Network) openConns() []*conn {
	n.mu.Lock()
	defer n.mu.Unlock()
	out := make([]*conn, 0, len(n.conns))
	for c := range n.conns {
		out = append(out, c)
	}
	return out
}

// wrap returns a connection that delays its writes, and starts its sender.
func (n *Network) wrap(inner net.Conn) net.Conn {
	r := Route{From: addressOf(inner.LocalAddr()), To: addressOf(inner.RemoteAddr())}
	n.mu.Lock()
	defer n.mu.Unlock()
	sent := n.bytesSent[r]
	if sent == nil {
		sent = &atomic.Int64{}
		n.bytesSent[r] = sent
	}
	c := newConn(inner, r, n.delay(r.From, r.To), sent)
	n.conns[c] = struct{}{}
	if n.stopped {
		c.abort()
	}
	n.group.Go(func() error {
		c.send()
		n.mu.Lock()
		defer n.mu.Unlock()
		delete(n.conns, c)
		return nil
	})
	return c
}

func addressOf(a net.Addr) netip.Addr {
	if t, ok := a.(*net.TCPAddr); ok {
		return t.AddrPort().Addr().Unmap()
	}
	return netip.Addr{}
}

// host is the network of one IP address.
type host struct {
	network *Network
	tcp     network.TCP
}

// Listen opens a listener whose connections are delayed.
func (h *host) Listen(address string) (net.Listener, error) {
	l, err := h.tcp.Listen(address)
	if err != nil {
		return nil, err
	}
	return &listener{Listener: l, network: h.network}, nil
}

// Dial connects after one round-trip time, which is what the TCP handshake takes.
func (h *host) Dial(ctx context.Context, address string) (net.Conn, error) {
	to, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, err
	}
	if err := pause.For(ctx, 2*h.network.delay(h.tcp.Local, to.Addr())); err != nil {
		return nil, err
	}
	c, err := h.tcp.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return h.network.wrap(c), nil
}

type listener struct {
	net.Listener
	network *Network
}

// Accept returns the next connection, delayed.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.network.wrap(c), nil
}
