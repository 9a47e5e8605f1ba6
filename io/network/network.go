package network

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"time"
)

// DialTimeout bounds each dial, since a silent partition sends no reset.
const DialTimeout = 2 * time.Second

// Network opens listeners and connections; tests replace it by an in-memory network with link faults.
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
	return net.Listen("tcp", address)
}

// Dial connects to an IP:PORT from the local address within DialTimeout.
func (t TCP) Dial(ctx context.Context, address string) (net.Conn, error) {
	if _, err := netip.ParseAddrPort(address); err != nil {
		return nil, fmt.Errorf("dial address %q is not IP:PORT: %w", address, err)
	}
	d := net.Dialer{Timeout: DialTimeout}
	if t.Local.IsValid() {
		d.LocalAddr = &net.TCPAddr{IP: t.Local.AsSlice()}
	}
	return d.DialContext(ctx, "tcp", address)
}
