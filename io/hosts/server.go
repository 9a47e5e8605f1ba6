package hosts

import (
	"context"
	"crypto/tls"
	"errors"
	"io"
	"log"
	"net"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"golang.org/x/sync/errgroup"

	"toucanway/core/fleet"
)

// drainTimeout bounds how long calls in flight may continue when the server stops.
const drainTimeout = 2 * time.Second

// maxConcurrentCalls bounds the calls in flight on one connection; each waiting capacity request occupies one.
const maxConcurrentCalls = 10000

// Server answers calls from other hosts; register procedures with Handle before Run.
type Server struct {
	// TLS is nil for cleartext HTTP/2.
	TLS *tls.Config

	mux http.ServeMux
}

// Handle registers the function that answers a procedure; from is the calling host.
func Handle[Req, Res any](s *Server, procedure string, f func(ctx context.Context, from fleet.HostID, req *Req) (*Res, error)) {
	h := connect.NewUnaryHandler(procedure, func(ctx context.Context, r *connect.Request[Req]) (*connect.Response[Res], error) {
		res, err := f(ctx, fleet.HostID(r.Header().Get(headerHost)), r.Msg)
		if err != nil {
			return nil, err
		}
		return connect.NewResponse(res), nil
	}, connect.WithCodec(cborCodec{}), connect.WithReadMaxBytes(MaxMessageBytes),
		// Messages are small, and compressing them costs more time than it saves on the network.
		connect.WithCompression("gzip", nil, nil))
	s.mux.Handle(procedure, h)
}

// Run serves the listener until the context ends, then gives calls in flight up to drainTimeout to finish.
func (s *Server) Run(ctx context.Context, l net.Listener) error {
	var protocols http.Protocols
	if s.TLS != nil {
		cfg := s.TLS.Clone()
		cfg.NextProtos = []string{"h2"}
		l = tls.NewListener(l, cfg)
		protocols.SetHTTP2(true)
	} else {
		protocols.SetUnencryptedHTTP2(true)
	}
	srv := &http.Server{
		Handler:           &s.mux,
		ReadHeaderTimeout: HeartbeatTimeout,
		IdleTimeout:       time.Minute,
		// Clients detect broken connections themselves, and the log lines of net/http have no structured fields.
		ErrorLog:  log.New(io.Discard, "", 0),
		Protocols: &protocols,
		HTTP2: &http.HTTP2Config{
			MaxConcurrentStreams: maxConcurrentCalls,
			SendPingTimeout:      HeartbeatInterval,
			PingTimeout:          HeartbeatTimeout,
			WriteByteTimeout:     HeartbeatTimeout,
		},
	}
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error {
		if err := srv.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	g.Go(func() error {
		<-ctx.Done()
		stop, cancel := context.WithTimeout(context.WithoutCancel(ctx), drainTimeout)
		defer cancel()
		if err := srv.Shutdown(stop); err != nil {
			return srv.Close()
		}
		return nil
	})
	return g.Wait()
}
