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
	return &Client{
		self:   self,
		scheme: scheme,
		transport: &http.Transport{
			DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
				return n.Dial(ctx, address)
			},
			DialTLSContext: func(ctx context.Context, _, address string) (net.Conn, error) {
				return dialTLS(ctx, n, address, tlsConfig())
			},
			Protocols:       &protocols,
			IdleConnTimeout: time.Minute,
			HTTP2: &http.HTTP2Config{
				SendPingTimeout:  HeartbeatInterval,
				PingTimeout:      HeartbeatTimeout,
				WriteByteTimeout: HeartbeatTimeout,
			},
		},
		clients: map[string]any{},
	}
}

// dialTLS opens a TLS connection; the handshake has the same timeout as a dial.
func dialTLS(ctx context.Context, n network.Network, address string, cfg *tls.Config) (net.Conn, error) {
	c, err := n.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	if cfg.ServerName, _, err = net.SplitHostPort(address); err != nil {
		return nil, errors.Join(err, c.Close())
	}
	cfg.NextProtos = []string{"h2"}
	ctx, cancel := context.WithTimeout(ctx, network.DialTimeout)
	defer cancel()
	conn := tls.Client(c, cfg)
	if err := conn.HandshakeContext(ctx); err != nil {
		return nil, errors.Join(err, c.Close())
	}
	return conn, nil
}

// Close closes idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

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
