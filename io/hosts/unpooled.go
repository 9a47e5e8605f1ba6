package hosts

import (
	"crypto/tls"

	"toucanway/core/fleet"
	"toucanway/io/network"
)

// NewBriefClient returns a client that closes each connection after one call. It serves calls that go to another host
// each time: kept connections would be idle, and their heartbeats would cost more than the calls.
func NewBriefClient(self fleet.HostID, n network.Network, tlsConfig func() *tls.Config) *Client {
	c := NewClient(self, n, tlsConfig)
	c.transport.DisableKeepAlives = true
	return c
}
