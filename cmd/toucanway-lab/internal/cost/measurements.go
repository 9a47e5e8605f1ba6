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

// Load of one entry host at the target size of section 1.7 of the design page.
const (
	targetHosts         = 1300
	targetTokensPerHost = 17_000_000 / targetHosts
	// targetStreamsPerHost is the number of streams with 42 ms between tokens that produce targetTokensPerHost a second.
	targetStreamsPerHost = targetTokensPerHost * 42 / 1000
	targetOrdersPerHost  = 62_000 / targetHosts
)

const (
	tokensPerStream   = 500
	concurrentStreams = 16
	concurrentOrders  = 32
	trafficWindow     = 5 * time.Second
	callTimeout       = time.Minute
	// openStreamInterval is the token interval of the streams whose memory is measured: long enough that they stay open between
	// their first two tokens.
	openStreamInterval = 20 * time.Second
)

// Measurements returns the measurements of decisions and of running deployments.
func Measurements(ctx context.Context) []capacity.Measurement {
	return append(decisionMeasurements(), []capacity.Measurement{
		{
			Name: "CPU of passing on tokens", SizeUnit: "token", Unit: "ms", Sizes: []int{10000, 20000, 40000}, Target: targetTokensPerHost,
			Run: func(n int) (float64, error) {
				return entryHostOverhead(ctx, options{hosts: 1, slots: 2 * concurrentStreams, tokenInterval: time.Nanosecond}, func(w *testbed, address string) (float64, error) {
					return cpuMilliseconds(func() error {
						return w.sendStreams(ctx, address, n/tokensPerStream, concurrentStreams, tokensPerStream)
					})
				})
			},
		},
		{
			Name: "time added to the tokens of one stream", SizeUnit: "token", Unit: "ms", Sizes: []int{500, 1000, 2000}, Target: 1,
			Run: func(n int) (float64, error) {
				return entryHostOverhead(ctx, options{hosts: 1, slots: 4, tokenInterval: time.Nanosecond}, func(w *testbed, address string) (float64, error) {
					began := time.Now()
					err := w.sendStreams(ctx, address, 1, 1, n)
					return float64(time.Since(began)) / float64(time.Millisecond), err
				})
			},
		},
		{
			Name: "memory of open streams", SizeUnit: "stream", Unit: "B", Sizes: []int{64, 128, 256}, Target: targetStreamsPerHost,
			Run: func(n int) (float64, error) {
				return entryHostOverhead(ctx, options{hosts: 1, slots: 2 * n, tokenInterval: openStreamInterval}, func(w *testbed, address string) (float64, error) {
					return w.openStreamMemory(ctx, address, n)
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
				w, err := start(ctx, options{hosts: n})
				if err != nil {
					return 0, err
				}
				return float64(w.submitDuration) / float64(time.Millisecond), w.close()
			},
		},
		{
			Name: "time of orders, 32 at once, 2 commits each", SizeUnit: "order", Unit: "ms", Sizes: []int{200, 400, 800}, Target: targetOrdersPerHost,
			Run: func(n int) (float64, error) {
				elapsed, _, err := sendOrders(ctx, n)
				return elapsed, err
			},
		},
		{
			Name: "files of three voters after orders", SizeUnit: "order", Unit: "B", Sizes: []int{200, 400, 800}, Target: 1_000_000,
			Run: func(n int) (float64, error) {
				_, size, err := sendOrders(ctx, n)
				return size, err
			},
		},
	}...)
}

// entryHostOverhead measures calls sent directly to the engine and calls sent through the entry host, and returns the difference.
func entryHostOverhead(ctx context.Context, s options, measure func(w *testbed, address string) (float64, error)) (float64, error) {
	w, err := start(ctx, s)
	if err != nil {
		return 0, err
	}
	direct, err := measure(w, engineAddress)
	if err != nil {
		return 0, errors.Join(fmt.Errorf("direct calls of the engine: %w", err), w.close())
	}
	throughHost, err := measure(w, w.deployment.CallerAddresses()[0])
	return throughHost - direct, errors.Join(err, w.close())
}

// cpuMilliseconds returns the CPU time, in milliseconds, that the process spends while f runs.
func cpuMilliseconds(f func() error) (float64, error) {
	d, err := capacity.MeasureCPU(f)
	return float64(d) / float64(time.Millisecond), err
}

func request(key string, output int) *caller.Request {
	return &caller.Request{
		Key: history.Key(key), Target: fleet.Target{Model: model}, Prompt: tokens.KeyMark(key) + " " + tokens.LengthMark(output),
		MaxTokens: output, Stream: true, Deadline: callTimeout,
	}
}

// sendStreams sends n streamed requests of output tokens each to an address, at most concurrency of them at a time.
func (w *testbed) sendStreams(ctx context.Context, address string, n, concurrency, output int) error {
	c := w.caller("interactive", address)
	defer c.Close()
	var g errgroup.Group
	g.SetLimit(concurrency)
	for i := range n {
		g.Go(func() error { return checkOutcome(c.Do(ctx, request(fmt.Sprintf("s%d", i), output))) })
	}
	return g.Wait()
}

// checkOutcome returns an error unless a request got the expected answer.
func checkOutcome(o caller.Outcome) error {
	if o.Answered && o.WrongReason == "" {
		return nil
	}
	return fmt.Errorf("request failed: %s %+v %w", o.WrongReason, o.Refusal, o.Err)
}

// openStreamMemory returns the bytes of memory that n open streams add.
func (w *testbed) openStreamMemory(ctx context.Context, address string, n int) (float64, error) {
	ctx, cancel := context.WithCancel(ctx)
	c := w.caller("interactive", address)
	defer c.Close()
	before := memoryInUse()
	var g errgroup.Group
	for i := range n {
		g.Go(func() error {
			c.Do(ctx, request(fmt.Sprintf("o%d", i), 3))
			return nil
		})
	}
	waitCtx, stop := context.WithTimeout(ctx, callTimeout)
	defer stop()
	var err error
	for err == nil && len(w.deployment.Engines["e1"].Inventory().Running) < n {
		err = pause.For(waitCtx, pollInterval)
	}
	after := memoryInUse()
	cancel()
	return after - before, errors.Join(err, g.Wait(), w.awaitIdle())
}

// awaitIdle waits until the engine runs no request.
func (w *testbed) awaitIdle() error {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	for len(w.deployment.Engines["e1"].Inventory().Running) > 0 {
		if err := pause.For(ctx, pollInterval); err != nil {
			return err
		}
	}
	return nil
}

// memoryInUse returns the bytes of heap and stacks in use after garbage collection.
func memoryInUse() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}

// controlTraffic returns the mean number of bytes a second that a host sends to and receives from other hosts in an idle
// deployment of n hosts, for its voters or for its other hosts.
func controlTraffic(ctx context.Context, n int, voter bool) (float64, error) {
	w, err := start(ctx, options{hosts: n})
	if err != nil {
		return 0, err
	}
	sum := func() float64 {
		var b int64
		for r, v := range w.network.Traffic() {
			for _, ip := range []string{r.From.String(), r.To.String()} {
				if w.isVoter(ip) == voter && strings.HasPrefix(ip, hostIP(0)[:len(hostIP(0))-1]) {
					b += v
				}
			}
		}
		return float64(b)
	}
	before := sum()
	err = pause.For(ctx, trafficWindow)
	after := sum()
	members := min(n, maxVoters)
	if !voter {
		members = n - maxVoters
	}
	return (after - before) / trafficWindow.Seconds() / float64(members), errors.Join(err, w.close())
}

func (w *testbed) isVoter(ip string) bool {
	for _, h := range w.deployment.Settings.Hosts {
		if h.IP == ip {
			return h.Voter
		}
	}
	return false
}

// sendOrders sends n orders, which are non-idempotent requests, to a deployment of three voters. It returns the time that they
// take in milliseconds, and the number of bytes by which the files of the voters grow.
func sendOrders(ctx context.Context, n int) (elapsed, growth float64, err error) {
	w, err := start(ctx, options{hosts: maxVoters, withService: true})
	if err != nil {
		return 0, 0, err
	}
	before, err := w.storedBytes()
	if err != nil {
		return 0, 0, errors.Join(err, w.close())
	}
	c := w.caller("critical", deployment.CallerAddress(w.deployment.Settings.Hosts[0]))
	defer c.Close()
	began := time.Now()
	var g errgroup.Group
	g.SetLimit(concurrentOrders)
	for i := range n {
		g.Go(func() error {
			key := fmt.Sprintf("order-%d", i)
			return checkOutcome(c.Do(ctx, &caller.Request{
				Key: history.Key(key), NonIdempotent: true, Service: "orders", Path: "/orders", Body: []byte(fmt.Sprintf(`{"key":%q}`, key)),
				Deadline: callTimeout,
			}))
		})
	}
	err = g.Wait()
	elapsed = float64(time.Since(began)) / float64(time.Millisecond)
	after, serr := w.storedBytes()
	return elapsed, float64(after - before), errors.Join(err, serr, w.close())
}
