package cost

import (
	"context"
	"errors"
	"fmt"
	"runtime"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"toucanway/cmd/toucanway-lab/internal/caller"
	"toucanway/cmd/toucanway-lab/internal/capacity"
	"toucanway/cmd/toucanway-lab/internal/deployment"
	"toucanway/cmd/toucanway-lab/internal/history"
	"toucanway/cmd/toucanway-lab/internal/tokens"
	"toucanway/core/fleet"
	"toucanway/core/pause"
)

// Shares of the target in section 1.7 of the design page for one entry host.
const (
	targetHosts         = 1300
	targetTokensPerHost = 17_000_000 / targetHosts
	// targetStreamsPerHost is the number of streams with 42 ms between tokens that give these tokens.
	targetStreamsPerHost = targetTokensPerHost * 42 / 1000
	targetOrdersPerHost  = 62_000 / targetHosts
)

const (
	tokensPerStream = 500
	streamsAtOnce   = 16
	ordersAtOnce    = 32
	trafficTime     = 5 * time.Second
	callTimeout     = time.Minute
	// openInterval keeps streams open between their first two tokens.
	openInterval = 20 * time.Second
)

// Measurements returns the measurements of the assembled daemon.
func Measurements(ctx context.Context) []capacity.Measurement {
	return append(decisionMeasurements(), []capacity.Measurement{
		{
			Name: "CPU of passing on tokens", SizeUnit: "token", Unit: "ms", Sizes: []int{10000, 20000, 40000}, Target: targetTokensPerHost,
			Run: func(n int) (float64, error) {
				return added(ctx, shape{hosts: 1, slots: 2 * streamsAtOnce, interval: time.Nanosecond}, func(w *world, address string) (float64, error) {
					return cpu(func() error { return w.streams(ctx, address, n/tokensPerStream, streamsAtOnce, tokensPerStream) })
				})
			},
		},
		{
			Name: "time added to the tokens of one stream", SizeUnit: "token", Unit: "ms", Sizes: []int{500, 1000, 2000}, Target: 1,
			Run: func(n int) (float64, error) {
				return added(ctx, shape{hosts: 1, slots: 4, interval: time.Nanosecond}, func(w *world, address string) (float64, error) {
					began := time.Now()
					err := w.streams(ctx, address, 1, 1, n)
					return float64(time.Since(began)) / float64(time.Millisecond), err
				})
			},
		},
		{
			Name: "memory of open streams", SizeUnit: "stream", Unit: "B", Sizes: []int{64, 128, 256}, Target: targetStreamsPerHost,
			Run: func(n int) (float64, error) {
				return added(ctx, shape{hosts: 1, slots: 2 * n, interval: openInterval}, func(w *world, address string) (float64, error) {
					return w.openMemory(ctx, address, n)
				})
			},
		},
		{
			Name: "control bytes a second of a voter", SizeUnit: "host", Unit: "B/s", Sizes: []int{3, 9, 27}, Target: targetHosts,
			Run: func(n int) (float64, error) { return controlTraffic(ctx, n, true) },
		},
		{
			Name: "control bytes a second of another host", SizeUnit: "host", Unit: "B/s", Sizes: []int{6, 9, 27}, Target: targetHosts,
			Run: func(n int) (float64, error) { return controlTraffic(ctx, n, false) },
		},
		{
			Name: "time until a document is in force", SizeUnit: "host", Unit: "ms", Sizes: []int{3, 9, 27}, Target: targetHosts,
			Run: func(n int) (float64, error) {
				w, err := start(ctx, shape{hosts: n})
				if err != nil {
					return 0, err
				}
				return float64(w.submitted) / float64(time.Millisecond), w.close()
			},
		},
		{
			Name: "time of orders, 32 at once, 2 commits each", SizeUnit: "order", Unit: "ms", Sizes: []int{200, 400, 800}, Target: targetOrdersPerHost,
			Run: func(n int) (float64, error) {
				took, _, err := orders(ctx, n)
				return took, err
			},
		},
		{
			Name: "files of three voters after orders", SizeUnit: "order", Unit: "B", Sizes: []int{200, 400, 800}, Target: 1_000_000,
			Run: func(n int) (float64, error) {
				_, size, err := orders(ctx, n)
				return size, err
			},
		},
	}...)
}

// added returns the difference that the entry host makes to calls of the engine.
func added(ctx context.Context, s shape, measure func(w *world, address string) (float64, error)) (float64, error) {
	w, err := start(ctx, s)
	if err != nil {
		return 0, err
	}
	direct, err := measure(w, engineAddress)
	if err != nil {
		return 0, errors.Join(fmt.Errorf("calls of the engine: %w", err), w.close())
	}
	through, err := measure(w, w.d.CallerAddresses()[0])
	return through - direct, errors.Join(err, w.close())
}

// cpu returns the milliseconds of CPU time that the process spends while f runs.
func cpu(f func() error) (float64, error) {
	d, err := capacity.MeasureCPU(f)
	return float64(d) / float64(time.Millisecond), err
}

func request(key string, output int) *caller.Request {
	return &caller.Request{
		Key: history.Key(key), Target: fleet.Target{Model: model}, Prompt: tokens.KeyMark(key) + " " + tokens.Mark(output),
		MaxTokens: output, Stream: true, Deadline: callTimeout,
	}
}

// streams carries out n calls of some tokens each, a number of them at once.
func (w *world) streams(ctx context.Context, address string, n, atOnce, output int) error {
	c := w.caller("interactive", address)
	defer c.Close()
	var g errgroup.Group
	g.SetLimit(atOnce)
	for i := range n {
		g.Go(func() error { return check(c.Do(ctx, request(fmt.Sprintf("s%d", i), output))) })
	}
	return g.Wait()
}

func check(o caller.Outcome) error {
	if o.Answered && o.Wrong == "" {
		return nil
	}
	return fmt.Errorf("a call was not answered: %s %+v %w", o.Wrong, o.Refusal, o.Err)
}

// openMemory returns the memory in use while n streams are open.
func (w *world) openMemory(ctx context.Context, address string, n int) (float64, error) {
	ctx, cancel := context.WithCancel(ctx)
	c := w.caller("interactive", address)
	defer c.Close()
	before := inUse()
	var g errgroup.Group
	for i := range n {
		g.Go(func() error {
			c.Do(ctx, request(fmt.Sprintf("o%d", i), 3))
			return nil
		})
	}
	waiting, stop := context.WithTimeout(ctx, callTimeout)
	defer stop()
	var err error
	for err == nil && len(w.d.Engines["e1"].Inventory().Running) < n {
		err = pause.For(waiting, pollInterval)
	}
	after := inUse()
	cancel()
	return after - before, errors.Join(err, g.Wait(), w.idle())
}

// idle waits until the engine has no request.
func (w *world) idle() error {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	for len(w.d.Engines["e1"].Inventory().Running) > 0 {
		if err := pause.For(ctx, pollInterval); err != nil {
			return err
		}
	}
	return nil
}

func inUse() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}

// controlTraffic returns the mean bytes a second that a host sends and receives to and from other hosts.
func controlTraffic(ctx context.Context, n int, voter bool) (float64, error) {
	w, err := start(ctx, shape{hosts: n})
	if err != nil {
		return 0, err
	}
	sum := func() float64 {
		var b int64
		for r, v := range w.net.Traffic() {
			for _, ip := range []string{r.From.String(), r.To.String()} {
				if w.isVoter(ip) == voter && strings.HasPrefix(ip, hostIP(0)[:len(hostIP(0))-1]) {
					b += v
				}
			}
		}
		return float64(b)
	}
	before := sum()
	err = pause.For(ctx, trafficTime)
	after := sum()
	members := min(n, mostVoters)
	if !voter {
		members = n - mostVoters
	}
	return (after - before) / trafficTime.Seconds() / float64(members), errors.Join(err, w.close())
}

func (w *world) isVoter(ip string) bool {
	for _, h := range w.d.Settings.Hosts {
		if h.IP == ip {
			return h.Voter
		}
	}
	return false
}

// orders returns the milliseconds that n orders take through three voters, and the bytes that their files grow by.
func orders(ctx context.Context, n int) (took, size float64, err error) {
	w, err := start(ctx, shape{hosts: mostVoters, service: true})
	if err != nil {
		return 0, 0, err
	}
	before, err := w.stored()
	if err != nil {
		return 0, 0, errors.Join(err, w.close())
	}
	c := w.caller("critical", deployment.CallerAddress(w.d.Settings.Hosts[0]))
	defer c.Close()
	began := time.Now()
	var g errgroup.Group
	g.SetLimit(ordersAtOnce)
	for i := range n {
		g.Go(func() error {
			key := fmt.Sprintf("order-%d", i)
			return check(c.Do(ctx, &caller.Request{
				Key: history.Key(key), Once: true, Service: "orders", Path: "/orders", Body: []byte(fmt.Sprintf(`{"key":%q}`, key)),
				Deadline: callTimeout,
			}))
		})
	}
	err = g.Wait()
	took = float64(time.Since(began)) / float64(time.Millisecond)
	after, serr := w.stored()
	return took, float64(after - before), errors.Join(err, serr, w.close())
}
