package network

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// DialTimeout bounds each dial, since a dial into a network partition gets no reset.
const DialTimeout = 2 * time.Second

// keepAlive detects connections that broke without a reset within seconds; with the system's defaults that takes minutes.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2}

// unacknowledgedTimeout is how long sent bytes may stay unacknowledged before a connection counts as broken.
const unacknowledgedTimeout = 3 * time.Second

// setUnacknowledgedTimeout sets unacknowledgedTimeout on a new socket.
func setUnacknowledgedTimeout(_, _ string, c syscall.RawConn) error {
	var err error
	if cerr := c.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unacknowledgedTimeout.Milliseconds()))
	}); cerr != nil {
		return cerr
	}
	return err
}

// Network opens listeners and connections; tests replace it with an in-memory network with link faults.
type Network interface {
	// Listen opens a listener on an address, IP:PORT.
	Listen(address string) (net.Listener, error)
	// Dial connects to an address, IP:PORT, from the host's own IP address.
	Dial(ctx context.Context, address string) (net.Conn, error)
}

// TCP is the network of the operating system, bound to one local IP address.
type TCP struct {
	// Local is the source address of all connections; the zero value lets the system choose.
	Local netip.Addr
}

// Listen opens a TCP listener on an address, IP:PORT.
func (t TCP) Listen(address string) (net.Listener, error) {
	if _, err := netip.ParseAddrPort(address); err != nil {
		return nil, fmt.Errorf("listen address %q is not IP:PORT: %w", address, err)
	}
	l := net.ListenConfig{KeepAliveConfig: keepAlive}
	return l.Listen(context.Background(), "tcp", address)
}

// Dial connects to an IP:PORT from the local address within DialTimeout.
func (t TCP) Dial(ctx context.Context, address string) (net.Conn, error) {
	if _, err := netip.ParseAddrPort(address); err != nil {
		return nil, fmt.Errorf("dial address %q is not IP:PORT: %w", address, err)
	}
	d := net.Dialer{Timeout: DialTimeout, KeepAliveConfig: keepAlive, Control: setUnacknowledgedTimeout}
	if t.Local.IsValid() {
		d.LocalAddr = &net.TCPAddr{IP: t.Local.AsSlice()}
	}
	return d.DialContext(ctx, "tcp", address)
}
