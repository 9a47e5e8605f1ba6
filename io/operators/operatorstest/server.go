package operatorstest

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp/fasthttputil"

	"toucanway/core/config"
	"toucanway/io/operators"
)

// Addresses of the in-memory network; nothing listens on AddressDown.
const (
	AddressDown = "127.0.0.1:1"
	AddressUp   = "127.0.0.1:2"
)

// Server is an operators' server on an in-memory network.
type Server struct {
	t  *testing.T
	ln *fasthttputil.InmemoryListener
}

// Serve starts a server that stops at the end of the test.
func Serve(t *testing.T, s operators.System, first config.Operator) *Server {
	t.Helper()
	return ServeTLS(t, s, first, nil)
}

// ServeTLS starts a server that stops at the end of the test. It uses TLS unless the configuration is nil.
func ServeTLS(t *testing.T, s operators.System, first config.Operator, cfg *tls.Config) *Server {
	t.Helper()
	out := &Server{t: t, ln: fasthttputil.NewInmemoryListener()}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	server := operators.NewServer(operators.ServerSettings{System: s, FirstOperator: first})
	var ln net.Listener = out.ln
	if cfg != nil {
		ln = tls.NewListener(ln, cfg)
	}
	go func() { done <- server.Serve(ctx, ln) }()
	t.Cleanup(func() {
		cancel()
		require.NoError(t, <-done)
	})
	return out
}

// Dial connects to the server at every address except AddressDown.
func (s *Server) Dial(_ context.Context, address string) (net.Conn, error) {
	if address == AddressDown {
		return nil, errors.New("host is down")
	}
	return s.ln.Dial()
}

// Client returns a client with a token; its first address does not answer.
func (s *Server) Client(token string) *operators.Client {
	c := operators.NewClient(operators.ClientSettings{Addresses: []string{AddressDown, AddressUp}, Token: token, Dial: s.Dial})
	s.t.Cleanup(c.Close)
	return c
}
