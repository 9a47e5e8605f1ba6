package membershipload

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"golang.org/x/sync/errgroup"

	"toucanway/cmd/toucanway-lab/internal/memnet"
	"toucanway/core/fleet"
	"toucanway/core/membership"
	"toucanway/io/hosts"
	"toucanway/io/members"
)

// TrafficLimit is the limit for all control traffic of a host, in bytes per second.
const TrafficLimit = 2000

const (
	joinTimeout      = 10 * time.Minute
	quietDuration    = time.Minute
	detectTimeout    = 5 * time.Minute
	regions          = 5
	dataCentres      = 12
	sameRegionDelay  = time.Millisecond
	otherRegionDelay = 12 * time.Millisecond
)

// Result is the outcome of Measure. Rates are per host and second, of bytes sent; a host receives as much on average.
type Result struct {
	Hosts int
	Seed  uint64
	// Join is the time until all hosts know each other after a simultaneous start, JoinBytes the mean rate of message bytes
	// meanwhile.
	Join      time.Duration
	JoinBytes float64
	// Calls, MessageBytes and WireBytes are rates without failures. Wire bytes are an estimate: encoded messages, and
	// for each call the bytes of connection setup, HTTP/2 frames and headers measured on one call, without TLS and
	// without TCP and IP headers. WorstBytes is MessageBytes of the host that sent most.
	Calls, MessageBytes, WireBytes, WorstBytes float64
	// First, Median and Last are the times from a host's failure until the others consider it dead; DeathBytes is the
	// rate of message bytes meanwhile.
	First, Median, Last time.Duration
	DeathBytes          float64
	// WrongDeaths counts how often a live host was considered dead.
	WrongDeaths int
}

// Measure runs n hosts in five regions on synthetic time, and measures their traffic and the detection of one that fails.
func Measure(n int, seed uint64) (Result, error) {
	r := Result{Hosts: n, Seed: seed}
	framing, err := Framing()
	if err != nil {
		return r, err
	}
	l := NewLoop(seed)
	l.Delay = func(from, to *Host) time.Duration {
		if from.Detector.Self().Place.Region == to.Detector.Self().Place.Region {
			return sameRegionDelay
		}
		return otherRegionDelay
	}
	var detectionTimes []time.Duration
	var failedAt time.Time
	l.Changed = func(_ *Host, e membership.Effect) {
		c, ok := e.(membership.StateChanged)
		switch {
		case !ok || c.Member.State != membership.Dead:
		case c.Member.Host == l.Hosts[n-1].ID && !failedAt.IsZero():
			detectionTimes = append(detectionTimes, l.Now.Sub(failedAt))
		default:
			r.WrongDeaths++
		}
	}
	for i := range n {
		dc := i % dataCentres
		l.Add(fleet.Place{
			Region:     fleet.Region(fmt.Sprintf("region-%d", dc%regions)),
			DataCentre: fleet.DataCentre(fmt.Sprintf("data-centre-%02d", dc)),
			Rack:       fleet.Rack(fmt.Sprintf("rack-%03d", i/10)),
		}, 1)
	}
	start := l.Now
	if !l.RunUntil(joinTimeout, l.Converged) {
		return r, fmt.Errorf("%d hosts did not find each other within %s", n, joinTimeout)
	}
	r.Join = l.Now.Sub(start)
	r.JoinBytes, _, _ = l.resetRates(r.Join)
	// The first minute is not measured, since updates from the start are still spreading.
	l.Run(quietDuration)
	l.resetRates(quietDuration)
	l.Run(quietDuration)
	r.MessageBytes, r.WorstBytes, r.Calls = l.resetRates(quietDuration)
	r.WireBytes = r.MessageBytes + r.Calls*framing
	failedAt = l.Now
	l.Hosts[n-1].Stopped = true
	if !l.RunUntil(detectTimeout, func() bool { return len(detectionTimes) >= n-1 }) {
		return r, fmt.Errorf("%d of %d hosts detected a failed host within %s", len(detectionTimes), n-1, detectTimeout)
	}
	r.DeathBytes, _, _ = l.resetRates(l.Now.Sub(failedAt))
	slices.Sort(detectionTimes)
	r.First, r.Median, r.Last = detectionTimes[0], detectionTimes[len(detectionTimes)/2], detectionTimes[len(detectionTimes)-1]
	return r, nil
}

// resetRates returns the mean and the highest rate of message bytes of a host and the mean rate of calls over d, and resets the
// counts.
func (l *Loop) resetRates(d time.Duration) (bytes, worst, calls float64) {
	n := float64(len(l.Hosts))
	for _, h := range l.Hosts {
		bytes += float64(h.Bytes) / d.Seconds() / n
		worst = max(worst, float64(h.Bytes)/d.Seconds())
		calls += float64(h.Calls) / d.Seconds() / n
		h.Bytes, h.Messages, h.Calls = 0, 0, 0
	}
	return bytes, worst, calls
}

// Framing returns the bytes on the wire of one call between hosts, in both directions, beyond its two messages. It runs
// in real time, so the result varies by the few control frames that a closing connection may still send.
func Framing() (float64, error) {
	const clientIP, serverIP = "10.0.0.1", "10.0.0.2"
	n := memnet.New(memnet.Settings{})
	l, err := n.Host(serverIP).Listen(serverIP + ":7400")
	if err != nil {
		return 0, err
	}
	msg := membership.Message{Kind: membership.KindPing, From: "host-0000", Digest: 1 << 31}
	var srv hosts.Server
	hosts.Handle(&srv, members.ProcedureProbe, func(_ context.Context, _ fleet.HostID, req *membership.Message) (*membership.Message, error) {
		return req, nil
	})
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return srv.Run(ctx, l) })
	client := hosts.NewUnpooledClient("host-0000", n.Host(clientIP), nil)
	_, err = hosts.Call[membership.Message, membership.Message](ctx, client, serverIP+":7400", members.ProcedureProbe, &msg)
	client.Close()
	cancel()
	if err := g.Wait(); err != nil {
		return 0, err
	}
	if err != nil {
		return 0, err
	}
	data, err := cbor.Marshal(msg)
	if err != nil {
		return 0, err
	}
	total := -2 * len(data)
	for _, t := range n.Traffic() {
		total += int(t.Bytes)
	}
	return float64(total), nil
}
