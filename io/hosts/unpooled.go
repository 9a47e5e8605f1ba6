package hosts

import (
	"crypto/tls"

	"toucanway/core/fleet"
	"toucanway/io/network"
)

// NewUnpooledClient returns a client that closes each connection after one call. It is meant for calls that go to a
// different host each time: pooled connections would be idle, and their keepalive pings would cost more than the calls.
func NewUnpooledClient(self fleet.HostID, n network.Network, tlsConfig func() *tls.Config) *Client {
	c := NewClient(self, n, tlsConfig)
	c.transport.DisableKeepAlives = true
	return c
}
