package operators

import (
	"bufio"
	"context"
	"encoding/json"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"toucanway/core/fleet"
)

// watch streams changes as lines of JSON, with heartbeats at a fixed interval. The stream ends when the server stops, when
// the connection breaks, or when the log no longer contains the next changes.
func (s *Server) watch(ctx context.Context, r *fasthttp.RequestCtx) {
	after, err := strconv.ParseUint(string(r.QueryArgs().Peek("after")), 10, 64)
	if err != nil && r.QueryArgs().Has("after") {
		answerError(r, &Error{Code: CodeBadRequest, Message: "the parameter after is not a log index; leave it out to get all changes on record"})
		return
	}
	if s.watchStreams.Add(1) > maxWatchStreams {
		s.watchStreams.Add(-1)
		answerError(r, &Error{Code: CodeUnavailable, Message: "too many watch streams; use another host, or poll /v1/status"})
		return
	}
	conn := r.Conn()
	r.SetContentType("application/x-ndjson")
	r.SetBodyStreamWriter(func(w *bufio.Writer) {
		defer s.watchStreams.Add(-1)
		out := &eventWriter{w: w, conn: conn}
		stream, cancel := context.WithCancel(ctx)
		defer cancel()
		g, gctx := errgroup.WithContext(stream)
		g.Go(func() error { return out.heartbeats(gctx, s.cfg.Heartbeat) })
		g.Go(func() error {
			defer cancel()
			return s.cfg.System.Watch(gctx, fleet.Index(after), func(e Event) error { return out.write(eventAnswer(e)) })
		})
		if err := g.Wait(); err != nil && ctx.Err() == nil {
			_ = out.write(ErrorAnswer{Error: *apiError(err)}) // the error is ignored, since the connection may be closed
		}
	})
}

// eventWriter writes lines to a connection, each within the write timeout.
type eventWriter struct {
	mu   sync.Mutex
	w    *bufio.Writer
	conn net.Conn
}

func (e *eventWriter) write(v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	if _, err := e.w.Write(append(data, '\n')); err != nil {
		return err
	}
	return e.w.Flush()
}

func (e *eventWriter) heartbeats(ctx context.Context, interval time.Duration) error {
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for {
		if err := e.write(EventAnswer{Kind: string(EventHeartbeat)}); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
	}
}
