package caller

import (
	"context"
	"net"
	"net/http"
	"time"

	"toucanway/io/network"
)

const (
	maxIdlePerHost = 1024
	// idleTimeout is shorter than those of entry hosts, 10 s before the first request and 30 s after it, so that no request
	// is sent on a connection that is being closed.
	idleTimeout = 8 * time.Second
)

// NewTransport returns an HTTP transport that dials on a network.
func NewTransport(n network.Network) *http.Transport {
	return &http.Transport{
		DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			return n.Dial(ctx, address)
		},
		MaxIdleConnsPerHost: maxIdlePerHost,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
}
