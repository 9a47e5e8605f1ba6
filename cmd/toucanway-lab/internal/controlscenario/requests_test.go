package controlscenario

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"toucanway/core/fleet"
	"toucanway/core/pause"
	"toucanway/core/routes"
	"toucanway/io/gateway"
)

// plainService is a service without models, which requestDialect has a route to.
const plainService fleet.ServiceID = "plain"

// requestTimeout is the timeout of the route to plainService.
const requestTimeout = 3 * time.Second

// requestDialect decodes requests and answers with short header names, and configurations with one route to plainService.
type requestDialect struct{ gatewayDialect }

func (requestDialect) Configuration(data []byte) (*routes.Configuration, error) {
	c, err := versionParser{}.Configuration(data)
	if err == nil {
		c.Services = append(c.Services, routes.Service{Name: plainService})
		c.Routes = []routes.Route{{
			Name: "plain", Host: "h", Prefix: "/", Kind: routes.Unsafe, Timeout: requestTimeout, Objective: 500 * time.Millisecond, MaxAttempts: 1,
			Services: []routes.WeightedService{{Service: plainService, Weight: 1}},
		}}
	}
	return c, err
}

func (requestDialect) Request(h *fasthttp.RequestHeader) gateway.RequestInfo {
	return gateway.RequestInfo{ID: fleet.RequestID(h.Peek("Id"))}
}

func (requestDialect) SetForwardHeaders(h *fasthttp.RequestHeader, f gateway.ForwardInfo) {
	h.Set("Instance", string(f.Instance))
}

func (requestDialect) Answer(h *fasthttp.ResponseHeader) gateway.AnswerInfo {
	a := gateway.AnswerInfo{ID: fleet.RequestID(h.Peek("Id")), Signed: true}
	if rate, err := strconv.ParseFloat(string(h.Peek("Limit")), 64); err == nil {
		a.Limit = fleet.NewRateLimit(rate)
	}
	return a
}

// ipOf returns the IP address of an address with a port.
func ipOf(address string) string {
	ip, _, _ := net.SplitHostPort(address)
	return ip
}

// startServerDate starts fasthttp's process-wide clock for the Date header, which must not belong to one test with synthetic time.
var startServerDate = sync.OnceFunc(func() {
	var h fasthttp.ResponseHeader
	_, _ = h.WriteTo(io.Discard)
})

// callResult is the result of one request of a caller.
type callResult struct {
	at     time.Time
	took   time.Duration
	status int
}

// callers sends requests to gateways at a rate.
type callers struct {
	w       *simulation
	mu      sync.Mutex
	results []callResult
	stop    func()
}

// startCallers starts callers that send a number of requests a second to gateways, until stop is called.
func startCallers(t *testing.T, w *simulation, gateways []string, perSecond float64) *callers {
	c := &callers{w: w}
	random := rand.New(rand.NewPCG(1, 0))
	ctx, cancel := context.WithCancel(context.Background())
	var eg errgroup.Group
	eg.Go(func() error {
		for n := 0; pause.For(ctx, time.Duration(random.ExpFloat64()/perSecond*float64(time.Second))) == nil; n++ {
			address := gateways[random.IntN(len(gateways))]
			eg.Go(func() error {
				c.call(n, address)
				return nil
			})
		}
		return nil
	})
	c.stop = func() {
		cancel()
		require.NoError(t, eg.Wait())
	}
	return c
}

func (c *callers) call(n int, address string) {
	began := time.Now()
	r := callResult{at: began}
	ctx, cancel := context.WithTimeout(context.Background(), 2*requestTimeout)
	defer cancel()
	if conn, err := c.w.net.Host("10.1.7.1").Dial(ctx, address); err == nil {
		defer conn.Close()
		var res fasthttp.Response
		if _, err = fmt.Fprintf(conn, "GET /x HTTP/1.1\r\nHost: h\r\nId: %d\r\nConnection: close\r\n\r\n", n); err == nil && res.Read(bufio.NewReader(conn)) == nil {
			r.status = res.StatusCode()
		}
	}
	r.took = time.Since(began)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.results = append(c.results, r)
}

// since returns the share of the requests since a time that were answered, and the longest time that a refused one took.
func (c *callers) since(t time.Time) (answered float64, slowestRefusal time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, r := range c.results {
		if r.at.Before(t) {
			continue
		}
		n++
		if r.status == fasthttp.StatusOK {
			answered++
		} else {
			slowestRefusal = max(slowestRefusal, r.took)
		}
	}
	return answered / math.Max(float64(n), 1), slowestRefusal
}

// listen accepts connections at port 80 of an address until the returned function is called, which also closes them.
func listen(t *testing.T, w *simulation, ip string, serve func(net.Conn)) func() {
	host := w.net.Host(ip)
	l, err := host.Listen(ip + ":80")
	require.NoError(t, err)
	var conns sync.WaitGroup
	conns.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			conns.Go(func() {
				defer c.Close()
				serve(c)
			})
		}
	})
	return func() {
		host.Close()
		conns.Wait()
	}
}
