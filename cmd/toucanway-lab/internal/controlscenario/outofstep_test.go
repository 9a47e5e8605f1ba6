package controlscenario

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a stream that is taken up at another software version (rule ORDER) at a gateway that is out of step: it was cut off, together
// with one controller, just before a server of a new version joined, on which the stream has begun through another gateway.
func TestStreamTakenUpAtGatewayOutOfStep(t *testing.T) {
	const streams = 60
	for _, gap := range []time.Duration{0, 300 * time.Millisecond, time.Second, 3 * time.Second} {
		for _, cut := range []string{"h2", "h3", "h4"} {
			t.Run(fmt.Sprint(cut, ", taken up after ", gap), func(t *testing.T) {
				startServerDate()
				synctest.Test(t, func(t *testing.T) {
					w := startControllersOf(t, 5)
					defer closeAndCheck(t, w)
					gateways, stop := startStreamGateways(t, w)
					defer stop()
					defer startStreamServer(t, w, 0, "v1")()
					time.Sleep(3 * time.Second)
					h, err := w.host(cut)
					require.NoError(t, err)
					if w.leader() == h {
						// Another host leads then, and the cut is another test's.
						return
					}
					last := len(gateways) - 1
					for _, other := range w.hosts {
						if other != h {
							w.net.Cut(string(h.ip), string(other.ip))
							w.net.Cut(ipOf(gateways[last]), string(other.ip))
						}
					}
					for _, g := range gateways[:last] {
						w.net.Cut(string(h.ip), ipOf(g))
					}
					defer startStreamServer(t, w, 1, "v2")()
					time.Sleep(300 * time.Millisecond)
					first := readStreams(w, gateways[:last], streams, func(i int) (string, *streamPart, int) { return fmt.Sprint("first-", i), nil, 2 })
					time.Sleep(gap)
					second := readStreams(w, gateways[last:], streams, func(i int) (string, *streamPart, int) {
						return fmt.Sprint("second-", i), &first[i], lastEvent
					})
					began := map[string]int{}
					for i, p := range first {
						if len(p.versions) == 0 {
							continue
						}
						began[p.versions[0]]++
						for _, v := range second[i].versions {
							require.Equal(t, p.versions[0], v, "stream %d", i)
						}
					}
					require.Positive(t, began["v1"])
					require.Positive(t, began["v2"])
				})
			})
		}
	}
}

// readStreams reads streams at the same time, in turn at the gateways; each call of stream returns the id, the part to go on with and the
// number of events to read.
func readStreams(w *simulation, gateways []string, n int, stream func(i int) (string, *streamPart, int)) []streamPart {
	out := make([]streamPart, n)
	var wg sync.WaitGroup
	for i := range n {
		id, resumed, most := stream(i)
		wg.Go(func() { out[i] = readStream(w, gateways[i%len(gateways)], id, resumed, most) })
	}
	wg.Wait()
	return out
}
