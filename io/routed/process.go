package routed

import (
	"context"
	"errors"
	"io"
	"net/netip"
	"os"
	"os/signal"
	"runtime/debug"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"golang.org/x/sync/errgroup"

	"toucanway/core/fleet"
	"toucanway/io/formation"
	"toucanway/io/hosts"
	"toucanway/io/logs"
	"toucanway/io/metrics"
	"toucanway/io/network"
	"toucanway/io/settings"
)

// Log messages of a process.
const (
	logStarted    = "process started"
	logStopped    = "process stopped"
	logReloaded   = "settings read again"
	logUnreadable = "settings cannot be read; the earlier ones stay in use"
)

const (
	// settingsInterval is the interval at which the settings file is checked, since it may change without a signal.
	settingsInterval = time.Second
	// maxControlBody bounds the request bodies of operators and backend servers.
	maxControlBody     = 16 << 20
	controlReadTimeout = 5 * time.Second
	// heapShare is the share of the process's memory above which the runtime reclaims memory more often; the rest is for stacks
	// of the C library, buffers of the system and peaks.
	heapShare = 0.8
	// bufferShare is the share of the process's memory for requests and answers that are not complete yet. The runtime needs about twice
	// that until it has reclaimed them.
	bufferShare = 0.125
)

// process is the common part of gateways and controllers.
type process struct {
	settings  *settings.Routed
	file      string
	network   network.TCP
	client    *hosts.Client
	seeds     atomic.Pointer[[]fleet.HostID]
	log       *zap.Logger
	logWriter *logs.Writer
	metrics   *metrics.Registry
}

func newProcess(s *settings.Routed, file string, out io.Writer) *process {
	p := &process{settings: s, file: file, logWriter: logs.NewWriter(out), metrics: metrics.New(metrics.Options{})}
	if s.Memory > 0 {
		debug.SetMemoryLimit(int64(heapShare * float64(s.Memory)))
	}
	p.network = network.TCP{Local: localAddress(s.IP)}
	p.log = logs.New(p.logWriter, zapcore.InfoLevel, s.Host)
	p.client = hosts.NewClient(s.IP, p.network, nil)
	p.setSeeds(s)
	p.metrics.GaugeFunc("log-lines-dropped", "Log lines dropped because the log queue was full.", func() int64 { return int64(p.logWriter.Dropped()) })
	return p
}

// localAddress returns the source address of outgoing connections. It is the zero value, which lets the system choose, if the
// host's id is not an IP address.
func localAddress(h fleet.HostID) netip.Addr {
	a, err := netip.ParseAddr(string(h))
	if err != nil {
		return netip.Addr{}
	}
	return a
}

func (p *process) setSeeds(s *settings.Routed) {
	ids := make([]fleet.HostID, 0, len(s.Seeds))
	for _, a := range s.Seeds {
		if h := formation.HostOf(string(a)); h != "" {
			ids = append(ids, h)
		}
	}
	p.seeds.Store(&ids)
}

func (p *process) seedHosts() []fleet.HostID { return *p.seeds.Load() }

// run runs the functions, the log and the metrics endpoint until the context ends; the log ends last.
func (p *process) run(ctx context.Context, role string, tasks ...func(context.Context) error) error {
	writing, stopWriting := context.WithCancel(context.WithoutCancel(ctx))
	var writer errgroup.Group
	writer.Go(func() error { return p.logWriter.Run(writing) })
	p.log.Info(logStarted, zap.String("role", role), zap.String("ip", string(p.settings.IP)), zap.Bool("bootstrap", p.settings.Bootstrap),
		zap.Any("seeds", p.seedHosts()), zap.Int("pid", os.Getpid()))
	eg, ctx := errgroup.WithContext(ctx)
	for _, f := range tasks {
		eg.Go(func() error { return f(ctx) })
	}
	eg.Go(func() error { return p.watchSettings(ctx) })
	if a := p.settings.Listen.Metrics; a != "" {
		eg.Go(func() error { return p.serve(ctx, a, p.exposeMetrics) })
	}
	err := eg.Wait()
	p.client.Close()
	p.log.Info(logStopped, zap.Error(err))
	stopWriting()
	return errors.Join(err, writer.Wait())
}

func (p *process) exposeMetrics(ctx *fasthttp.RequestCtx) {
	ctx.SetContentType("text/plain; version=0.0.4")
	if err := p.metrics.WriteText(ctx); err != nil {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
	}
}

// watchSettings reloads the seeds when the settings file changes; other settings need a restart.
func (p *process) watchSettings(ctx context.Context) error {
	t := time.NewTicker(settingsInterval)
	defer t.Stop()
	changed := make(chan os.Signal, 1)
	signal.Notify(changed, syscall.SIGHUP)
	defer signal.Stop(changed)
	last, err := os.ReadFile(p.file)
	if err != nil {
		p.log.Warn(logUnreadable, zap.Error(err))
	}
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		case <-changed:
		}
		text, err := os.ReadFile(p.file)
		if err != nil || string(text) == string(last) {
			continue
		}
		last = text
		s, problems := settings.ParseRouted(p.file, string(text))
		if len(problems) > 0 {
			p.log.Warn(logUnreadable, zap.Error(problems))
			continue
		}
		p.setSeeds(s)
		p.log.Info(logReloaded, zap.Any("seeds", p.seedHosts()))
	}
}

// serve serves HTTP on an address until the context ends.
func (p *process) serve(ctx context.Context, a settings.Address, h fasthttp.RequestHandler) error {
	l, err := p.network.Listen(string(a))
	if err != nil {
		return err
	}
	srv := &fasthttp.Server{
		Handler: h, NoDefaultDate: true, NoDefaultServerHeader: true, MaxRequestBodySize: maxControlBody, ReadTimeout: controlReadTimeout,
		CloseOnShutdown: true, Logger: zap.NewStdLog(zap.NewNop()),
	}
	eg, ctx := errgroup.WithContext(ctx)
	eg.Go(func() error { return srv.Serve(l) })
	eg.Go(func() error {
		<-ctx.Done()
		stop, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Second)
		defer cancel()
		if err := srv.ShutdownWithContext(stop); !errors.Is(err, context.DeadlineExceeded) {
			return err
		}
		return nil
	})
	return eg.Wait()
}
