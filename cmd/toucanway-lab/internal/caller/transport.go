package caller

import (
	"context"
	"net"
	"net/http"
	"time"

	"toucanway/io/network"
)

const (
	maxIdleConnsPerHost = 1024
	// idleConnTimeout is shorter than the idle timeouts of entry hosts, 10 s before the first request on a connection and 30 s
	// after it, so that no request is sent on a connection that is being closed.
	idleConnTimeout = 8 * time.Second
)

// NewTransport returns an HTTP transport that dials on a network.
func NewTransport(n network.Network) *http.Transport {
	return &http.Transport{
		DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			return n.Dial(ctx, address)
		},
		MaxIdleConnsPerHost: maxIdleConnsPerHost,
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true,
	}
}
