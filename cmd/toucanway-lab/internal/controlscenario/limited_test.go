package controlscenario

import (
	"bufio"
	"cmp"
	"fmt"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"toucanway/core/fleet"
	"toucanway/core/registry"
)

// arrival is a request that a server has read.
type arrival struct {
	at time.Time
	// from is the gateway that sent it.
	from string
}

// limitedServer is a backend server of plainService that may name a rate limit. It is safe for concurrent use.
type limitedServer struct {
	id      fleet.BackendID
	address string
	// answerTime is the time from a request to its answer.
	answerTime time.Duration
	mu         sync.Mutex
	limit      fleet.RateLimit
	// limitedAt is the time from which the server has named its present limit.
	limitedAt time.Time
	arrivals  []arrival
	// toldAt maps the gateways to the time of the first answer that named a limit.
	toldAt map[string]time.Time
	// close ends the server.
	close func()
}

// startServer starts a server and announces it.
func startServer(t *testing.T, w *simulation, n int, answerTime time.Duration) *limitedServer {
	ip := fmt.Sprintf("10.%d.9.%d", n%3+1, n+1)
	s := &limitedServer{id: fleet.BackendID(fmt.Sprint("s", n)), address: ip + ":80", answerTime: answerTime, toldAt: map[string]time.Time{}}
	s.close = listen(t, w, ip, s.serve)
	s.announce(t, w, 1)
	return s
}

func (s *limitedServer) announce(t *testing.T, w *simulation, seq uint64) {
	sendHeartbeat(t, w, registry.Heartbeat{Instance: registry.Instance{ID: s.id, Incarnation: 1, Service: plainService, Address: s.address, Slots: 64}, Seq: seq})
}

// serve answers the requests of one connection, each after answerTime.
func (s *limitedServer) serve(c net.Conn) {
	from := ipOf(c.RemoteAddr().String())
	r := bufio.NewReader(c)
	for {
		var req fasthttp.Request
		if req.Read(r) != nil {
			return
		}
		s.mu.Lock()
		s.arrivals = append(s.arrivals, arrival{time.Now(), from})
		s.mu.Unlock()
		time.Sleep(s.answerTime)
		s.mu.Lock()
		head := ""
		if s.limit.Named {
			head = fmt.Sprintf("Limit: %v\r\n", s.limit)
			if _, told := s.toldAt[from]; !told {
				s.toldAt[from] = time.Now()
			}
		}
		s.mu.Unlock()
		if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\n%sContent-Length: 2\r\n\r\nok", req.Header.Peek("Id"), head); err != nil {
			return
		}
	}
}

// setLimit makes the server name a limit, or none, from now on.
func (s *limitedServer) setLimit(l fleet.RateLimit) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limit, s.limitedAt = l, time.Now()
}

// Figures of the rule for servers that name a limit.
const (
	limitWindow  = 4 * time.Second
	limitContact = 4 * time.Second
	limitTold    = 500 * time.Millisecond
	limitFactor  = 1.5
	limitSlack   = 5
)

// worstWindow returns the largest number of requests in limitWindow from limitContact after the server named its present limit on, from
// gateways that had heard of a limit limitTold before, and the number allowed.
func (s *limitedServer) worstWindow() (most int, allowed float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var counted []time.Time
	for _, a := range s.arrivals {
		told, ok := s.toldAt[a.from]
		if !ok || a.at.Sub(told) < limitTold || a.at.Sub(s.limitedAt) < limitContact {
			continue
		}
		counted = append(counted, a.at)
		first := 0
		for a.at.Sub(counted[first]) > limitWindow {
			first++
		}
		counted = counted[first:]
		most = max(most, len(counted))
	}
	return most, limitFactor*s.limit.PerSecond*limitWindow.Seconds() + limitSlack
}

// arrivalsSince returns the number of requests since a time.
func (s *limitedServer) arrivalsSince(t time.Time) (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range s.arrivals {
		if a.at.After(t) {
			n++
		}
	}
	return n
}

// limitedRun is a run with a server that names a limit 5 s after the start, for 15 s.
type limitedRun struct {
	controllers, gateways int
	// limit is the limit of the server, perSecond the rate of the callers' requests.
	limit, perSecond float64
	// during is called 4 s after the server has named its limit; nil does nothing.
	during func(t *testing.T, w *simulation, s *limitedServer, gateways []string)
	// restarted is the number of further gateways that restart 4 s after the server has named its limit.
	restarted int
	// others is the number of further servers without a limit.
	others int
	// answerTime is the time from a request to its answer at the servers; 0 stands for 50 ms.
	answerTime time.Duration
}

// play plays the run and calls check at its end, with the time from which the limit counts.
func (r limitedRun) play(t *testing.T, check func(t *testing.T, s *limitedServer, c *callers, from time.Time)) {
	startServerDate()
	synctest.Test(t, func(t *testing.T) {
		w := startControllersOf(t, r.controllers)
		defer closeAndCheck(t, w)
		addresses, stop := startRequestGateways(t, w, 0, r.gateways)
		defer stop()
		more, stopMore := startRequestGateways(t, w, r.gateways, r.restarted)
		defer func() { stopMore() }()
		addresses = append(addresses, more...)
		answerTime := cmp.Or(r.answerTime, 50*time.Millisecond)
		s := startServer(t, w, 0, answerTime)
		defer s.close()
		for i := range r.others {
			defer startServer(t, w, i+1, answerTime).close()
		}
		time.Sleep(3 * time.Second)
		c := startCallers(t, w, addresses, r.perSecond)
		time.Sleep(2 * time.Second)
		s.setLimit(fleet.NewRateLimit(r.limit))
		time.Sleep(limitContact)
		from := time.Now()
		if r.during != nil {
			r.during(t, w, s, addresses)
		}
		if r.restarted > 0 {
			stopMore()
			time.Sleep(500 * time.Millisecond)
			_, stopMore = startRequestGateways(t, w, r.gateways, r.restarted)
		}
		time.Sleep(11 * time.Second)
		c.stop()
		check(t, s, c, from)
	})
}

// Guards against a server in need that gets more requests from all gateways together than the limit that it has named (rule LIMIT),
// and against callers that wait out their deadline for it.
func TestServersRateLimitHoldsForAllGateways(t *testing.T) {
	tests := map[string]limitedRun{
		"few gateways":                 {controllers: 3, gateways: 3, limit: 2, perSecond: 20},
		"less than one a second":       {controllers: 3, gateways: 3, limit: 0.4, perSecond: 20},
		"less for each than the limit": {controllers: 3, gateways: 60, limit: 5, perSecond: 40},
		"hundreds of gateways":         {controllers: 3, gateways: 200, limit: 2, perSecond: 60},
	}
	for name, r := range tests {
		t.Run(name, func(t *testing.T) {
			r.play(t, func(t *testing.T, s *limitedServer, c *callers, from time.Time) {
				most, allowed := s.worstWindow()
				require.LessOrEqual(t, float64(most), allowed)
				// What the server takes is used, and the rest is refused early.
				require.GreaterOrEqual(t, float64(s.arrivalsSince(from)), r.limit*10*0.7)
				_, slowest := c.since(from)
				require.Less(t, slowest, requestTimeout/2)
			})
		})
	}
}

// Guards against a limit that is exceeded, or that keeps everything from the server, while gateways or controllers are lost or cut off.
func TestServersRateLimitHoldsUnderFailure(t *testing.T) {
	killAll := func(t *testing.T, w *simulation, _ *limitedServer, _ []string) {
		for _, h := range w.hosts {
			require.NoError(t, w.kill(h))
		}
	}
	// restartAll restarts all controllers at once; the server is registered again with its next heartbeat.
	restartAll := func(t *testing.T, w *simulation, s *limitedServer, _ []string) {
		restartControllers(t, w)
		s.announce(t, w, 2)
	}
	tests := map[string]struct {
		limitedRun
		// used is the least share of the limit that is used.
		used float64
	}{
		"leader killed": {limitedRun{controllers: 3, gateways: 20, limit: 5, perSecond: 30, during: func(t *testing.T, w *simulation, _ *limitedServer, _ []string) {
			require.NoError(t, w.kill(w.leader()))
		}}, 0.5},
		"leader killed, hundreds of gateways": {limitedRun{controllers: 3, gateways: 200, limit: 20, perSecond: 80, during: func(t *testing.T, w *simulation, _ *limitedServer, _ []string) {
			require.NoError(t, w.kill(w.leader()))
		}}, 0.5},
		"leader cut off": {limitedRun{controllers: 3, gateways: 20, limit: 5, perSecond: 30, during: func(_ *testing.T, w *simulation, _ *limitedServer, _ []string) {
			w.net.Isolate(string(w.leader().ip))
		}}, 0.5},
		"gateways restarted": {limitedRun{controllers: 3, gateways: 10, limit: 5, perSecond: 30, restarted: 10}, 0.5},
		"gateways restarted, leader killed": {limitedRun{controllers: 3, gateways: 10, limit: 5, perSecond: 30, restarted: 10, during: func(t *testing.T, w *simulation, _ *limitedServer, _ []string) {
			require.NoError(t, w.kill(w.leader()))
		}}, 0.5},
		"gateways cut off from the controllers": {limitedRun{controllers: 3, gateways: 20, limit: 5, perSecond: 30, during: func(_ *testing.T, w *simulation, _ *limitedServer, gateways []string) {
			for _, g := range gateways[:10] {
				for _, h := range w.hosts {
					w.net.Cut(ipOf(g), string(h.ip))
				}
			}
		}}, 0.5},
		"all controllers killed":                        {limitedRun{controllers: 3, gateways: 20, limit: 5, perSecond: 30, during: killAll}, 0.1},
		"all controllers killed, hundreds of gateways":  {limitedRun{controllers: 3, gateways: 200, limit: 5, perSecond: 60, during: killAll}, 0.02},
		"all controllers restarted":                     {limitedRun{controllers: 3, gateways: 20, limit: 5, perSecond: 30, during: restartAll}, 0.3},
		"all controllers restarted, low limit":          {limitedRun{controllers: 9, gateways: 200, limit: 0.4, perSecond: 60, during: restartAll}, 0},
		"all controllers restarted, slow answers":       {limitedRun{controllers: 3, gateways: 6, limit: 2, perSecond: 40, during: restartAll, answerTime: time.Second}, 0.3},
		"all controllers restarted, five, slow answers": {limitedRun{controllers: 5, gateways: 20, limit: 5, perSecond: 80, during: restartAll, answerTime: 1500 * time.Millisecond}, 0.3},
		"all controllers killed, less for each gateway": {limitedRun{controllers: 3, gateways: 60, limit: 0.4, perSecond: 60, during: killAll}, 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			tt.play(t, func(t *testing.T, s *limitedServer, c *callers, from time.Time) {
				most, allowed := s.worstWindow()
				require.LessOrEqual(t, float64(most), allowed)
				require.GreaterOrEqual(t, float64(s.arrivalsSince(from)), tt.limit*11*tt.used)
				_, slowest := c.since(from)
				require.Less(t, slowest, requestTimeout/2)
			})
		})
	}
}

// Guards against requests that are refused although another server has no limit.
func TestRequestsGoElsewhereThanToServerWithRateLimit(t *testing.T) {
	limitedRun{controllers: 3, gateways: 9, limit: 0.4, perSecond: 20, others: 1}.play(t, func(t *testing.T, s *limitedServer, c *callers, from time.Time) {
		most, allowed := s.worstWindow()
		require.LessOrEqual(t, float64(most), allowed)
		answered, _ := c.since(from)
		require.Equal(t, 1.0, answered)
	})
}

// Guards against a changed limit that is not kept, and against one that stays in force after the server has ceased to name it.
func TestChangeOfServersRateLimit(t *testing.T) {
	tests := map[string]struct {
		before, after fleet.RateLimit
		least         float64
	}{
		"lower":  {fleet.NewRateLimit(10), fleet.NewRateLimit(1), 0.7},
		"higher": {fleet.NewRateLimit(1), fleet.NewRateLimit(10), 7},
		"ended":  {fleet.NewRateLimit(1), fleet.RateLimit{}, 25},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			run := limitedRun{controllers: 3, gateways: 30, limit: tt.before.PerSecond, perSecond: 30}
			run.during = func(_ *testing.T, _ *simulation, s *limitedServer, _ []string) { s.setLimit(tt.after) }
			run.play(t, func(t *testing.T, s *limitedServer, _ *callers, from time.Time) {
				if tt.after.Named {
					most, allowed := s.worstWindow()
					require.LessOrEqual(t, float64(most), allowed)
				}
				require.GreaterOrEqual(t, float64(s.arrivalsSince(from.Add(limitContact))), tt.least*7)
			})
		})
	}
}
