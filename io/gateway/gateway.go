package gateway

import (
	"context"
	"errors"
	"net"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"toucanway/core/pause"
)

// Log messages of the shutdown.
const (
	logDraining = "host stops: it takes no more callers"
	logDrained  = "host stops: requests under way have ended"
)

// Gateway forwards callers' requests to backend servers.
type Gateway struct {
	cfg    Settings
	view   *View
	server *server
	proxy  *proxy
}

// New returns a gateway; call Run next.
func New(cfg Settings) *Gateway {
	g := &Gateway{cfg: cfg, view: newView(cfg)}
	g.view.quotas = newQuotas(g.view)
	g.proxy = &proxy{cfg: cfg, view: g.view, metrics: newCounters(cfg.Metrics)}
	g.server = newServer(g.limits, g.proxy.handle, cfg.Buffers, g.proxy.metrics.overMemory.With("request"))
	return g
}

// Ready reports whether the host accepts new callers.
func (g *Gateway) Ready() bool {
	g.view.mu.Lock()
	defer g.view.mu.Unlock()
	return g.view.ready && g.view.table != nil
}

// limits returns the limits on what callers may send.
func (g *Gateway) limits() requestLimits {
	var l requestLimits
	if t, confirmed := g.view.confirmedTable(); t != nil {
		l = requestLimits{t.Configuration.Limits, confirmed}
	}
	l.HeaderBytes = orDefault(l.HeaderBytes, defaultHeaderBytes)
	l.BodyBytes = orDefault(l.BodyBytes, defaultBodyBytes)
	l.HeaderTimeout = orDefault(l.HeaderTimeout, defaultHeaderTime)
	l.IdleTimeout = orDefault(l.IdleTimeout, defaultIdleTime)
	return l
}

// Run serves callers on the listener until the context ends, then drains within the grace period.
func (g *Gateway) Run(ctx context.Context, l net.Listener) error {
	serving, cancel := context.WithCancelCause(context.WithoutCancel(ctx))
	defer cancel(nil)
	g.view.jobs.Start(serving)
	var eg errgroup.Group
	eg.Go(func() error { return g.view.followGroup(serving) })
	eg.Go(func() error { return g.view.reportLoop(serving) })
	eg.Go(func() error { return g.view.recordLoop(serving) })
	eg.Go(func() error { return g.view.quotas.run(serving) })
	eg.Go(func() error { return g.view.forgetLoop(serving) })
	g.view.setReady(true)
	eg.Go(func() error { return g.server.serve(l, serving) })
	<-ctx.Done()
	g.drain(l, func() { cancel(errStopping) })
	g.server.closeAll()
	return errors.Join(eg.Wait(), g.view.jobs.Stop())
}

// drain stops serving in three steps: callers are directed to other hosts, then no new requests are accepted, then the requests
// in flight end. Requests that are left when the grace period is nearly over are refused because of the shutdown.
func (g *Gateway) drain(l net.Listener, cancelRequests func()) {
	began := time.Now()
	g.cfg.Log.Info(logDraining, zap.Duration("grace-ms", g.cfg.GracePeriod))
	g.view.setReady(false)
	g.server.drain()
	accept, end := min(drainAcceptTime, g.cfg.GracePeriod/3), g.cfg.GracePeriod-drainReserve
	g.proxy.drain.Store(&drainTimes{readUntil: began.Add(accept + lateReadTime), sendUntil: began.Add((accept + end) / 2)})
	ctx, cancel := context.WithTimeout(context.Background(), end)
	defer cancel()
	// The wait ends early if the grace period is over.
	_ = pause.For(ctx, accept)
	// The only possible error is that the listener is closed already.
	_ = l.Close()
	g.server.closeIdle()
	g.server.wait(ctx)
	cancelRequests()
	last, cancel := context.WithTimeout(context.Background(), drainReserve/2)
	defer cancel()
	g.server.wait(last)
	g.cfg.Log.Info(logDrained, zap.Duration("took-ms", time.Since(began)))
}

// Health answers the platform's readiness checks.
func (g *Gateway) Health(ctx *fasthttp.RequestCtx) {
	if !g.Ready() {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	}
}
