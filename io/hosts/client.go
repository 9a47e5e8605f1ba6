package hosts

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"

	"toucanway/core/fleet"
	"toucanway/io/network"
)

// Bounds of calls between hosts.
const (
	// HeartbeatInterval is the time without data after which an HTTP/2 ping is sent, so that broken connections are detected.
	// HeartbeatTimeout is the timeout of its answer.
	HeartbeatInterval = 500 * time.Millisecond
	HeartbeatTimeout  = time.Second
	// MaxMessageBytes is large enough for a snapshot chunk with a whole configuration document.
	MaxMessageBytes = 8 << 20

	headerHost = "X-Toucanway-Host"
)

// Client calls procedures of other hosts; it is safe for concurrent use.
type Client struct {
	self      fleet.HostID
	scheme    string
	transport *http.Transport

	mu      sync.Mutex
	clients map[string]any
	// conns holds the open connections. closes is the number of calls of Close.
	conns  map[*clientConn]bool
	closes int
}

// clientConn is a connection of a client.
type clientConn struct {
	net.Conn
	client *Client
}

// Close closes the connection.
func (c *clientConn) Close() error {
	c.client.mu.Lock()
	delete(c.client.conns, c)
	c.client.mu.Unlock()
	return c.Conn.Close()
}

// NewClient returns a client that dials through n. tlsConfig returns the TLS configuration of the next connection; nil
// means cleartext HTTP/2.
func NewClient(self fleet.HostID, n network.Network, tlsConfig func() *tls.Config) *Client {
	var protocols http.Protocols
	scheme := "http"
	if tlsConfig != nil {
		scheme = "https"
		protocols.SetHTTP2(true)
	} else {
		protocols.SetUnencryptedHTTP2(true)
	}
	c := &Client{self: self, scheme: scheme, clients: map[string]any{}, conns: map[*clientConn]bool{}}
	c.transport = &http.Transport{
		DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			return c.dial(ctx, n, address)
		},
		DialTLSContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			return c.dialTLS(ctx, n, address, tlsConfig())
		},
		Protocols:       &protocols,
		IdleConnTimeout: time.Minute,
		HTTP2: &http.HTTP2Config{
			SendPingTimeout:  HeartbeatInterval,
			PingTimeout:      HeartbeatTimeout,
			WriteByteTimeout: HeartbeatTimeout,
		},
	}
	return c
}

// dial opens a connection. It closes it at once if Close was called meanwhile: the HTTP library goes on with dials that no call waits for
// any more.
func (c *Client) dial(ctx context.Context, n network.Network, address string) (net.Conn, error) {
	c.mu.Lock()
	closes := c.closes
	c.mu.Unlock()
	conn, err := n.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closes != closes {
		return nil, errors.Join(net.ErrClosed, conn.Close())
	}
	t := &clientConn{conn, c}
	c.conns[t] = true
	return t, nil
}

// dialTLS opens a TLS connection; the handshake has the same timeout as a dial.
func (c *Client) dialTLS(ctx context.Context, n network.Network, address string, cfg *tls.Config) (net.Conn, error) {
	plain, err := c.dial(ctx, n, address)
	if err != nil {
		return nil, err
	}
	if cfg.ServerName, _, err = net.SplitHostPort(address); err != nil {
		return nil, errors.Join(err, plain.Close())
	}
	cfg.NextProtos = []string{"h2"}
	ctx, cancel := context.WithTimeout(ctx, network.DialTimeout)
	defer cancel()
	conn := tls.Client(plain, cfg)
	if err := conn.HandshakeContext(ctx); err != nil {
		return nil, errors.Join(err, plain.Close())
	}
	return conn, nil
}

// Close closes all connections, also those that are being opened. Later calls open new ones.
func (c *Client) Close() {
	c.transport.CloseIdleConnections()
	c.mu.Lock()
	conns := c.conns
	c.conns = map[*clientConn]bool{}
	c.closes++
	c.mu.Unlock()
	for t := range conns {
		// An error means that the connection is closed already.
		_ = t.Conn.Close()
	}
}

// Call calls a procedure of the host at an address, IP:PORT; the context must have a deadline.
func Call[Req, Res any](ctx context.Context, c *Client, address, procedure string, req *Req) (*Res, error) {
	r := connect.NewRequest(req)
	r.Header().Set(headerHost, string(c.self))
	res, err := clientFor[Req, Res](c, address, procedure).CallUnary(ctx, r)
	if err != nil {
		return nil, err
	}
	return res.Msg, nil
}

func clientFor[Req, Res any](c *Client, address, procedure string) *connect.Client[Req, Res] {
	url := c.scheme + "://" + address + procedure
	c.mu.Lock()
	defer c.mu.Unlock()
	if v, ok := c.clients[url]; ok {
		return v.(*connect.Client[Req, Res])
	}
	v := connect.NewClient[Req, Res](&http.Client{Transport: c.transport}, url,
		connect.WithCodec(cborCodec{}), connect.WithReadMaxBytes(MaxMessageBytes), connect.WithAcceptCompression("gzip", nil, nil))
	c.clients[url] = v
	return v
}

// Unreachable reports whether a call failed while dialling, so that the other host cannot have executed it.
func Unreachable(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
