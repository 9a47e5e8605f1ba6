package main

import (
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Times and counts of the case with a large limit of headers.
const (
	keptCallers = 8
	slowWork    = 600 * time.Millisecond
	callerTime  = 1200 * time.Millisecond
	// restartDelay is the time after which the platform starts a process again that has ended, restarts how often it does.
	restartDelay = 500 * time.Millisecond
	restarts     = 3
	// allowedUnanswered is the number of requests from kept connections that a gateway may leave without an answer.
	allowedUnanswered = 3
	changedHeaders    = 32 << 10
)

// withHeaderLimit returns a valid configuration with a limit of headers.
func withHeaderLimit(version int, limit int64) []byte {
	var c map[string]any
	if err := json.Unmarshal(configuration(version, map[string]float64{"m": modelWeights}), &c); err != nil {
		panic(err)
	}
	c["limits"].(map[string]any)["max_header_bytes"] = limit
	return encode(c)
}

// crashCase counts the requests that reached a server and got no answer.
type crashCase struct {
	r          *run
	mu         sync.Mutex
	ran        map[string]bool
	unanswered [gatewayCount]int
	answered   int
	exits      [gatewayCount]int
}

// playCrash checks rule LOST while a valid configuration changes the limit of headers.
func playCrash(r *run) (bool, error) {
	c := &crashCase{r: r, ran: map[string]bool{}}
	servers, err := r.startServers("ledger", ledgerServers, c.serve)
	defer func() {
		for _, s := range servers {
			s.stop()
		}
	}()
	if err != nil {
		return false, err
	}
	if err := r.awaitRoute("/safe/", ""); err != nil {
		return false, err
	}
	end := make(chan struct{})
	var wg sync.WaitGroup
	for g := range gatewayCount {
		for n := range keptCallers {
			// The callers don't come at once.
			time.Sleep(slowWork / keptCallers / gatewayCount)
			wg.Go(func() { c.call(g, n, end) })
		}
		wg.Go(func() { c.restart(g, end) })
	}
	time.Sleep(2 * time.Second)
	limit := int64(changedHeaders)
	if r.trouble {
		limit = math.MaxInt64
	}
	r.record.add("operator: sends configuration 2 with max_header_bytes %d, else as before", limit)
	if err := r.submit(withHeaderLimit(2, limit), formTimeout); err != nil {
		return false, err
	}
	time.Sleep(8 * time.Second)
	close(end)
	wg.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	r.record.add("%d requests answered; gateways 1 and 2 ended by themselves %v times, and left %v requests without an answer that came on kept connections and ran; %d are allowed",
		c.answered, c.exits, c.unanswered, allowedUnanswered)
	return c.unanswered[0] > allowedUnanswered || c.unanswered[1] > allowedUnanswered, nil
}

func (c *crashCase) serve(s *server, x *request) bool {
	c.mu.Lock()
	c.ran[x.id] = true
	c.mu.Unlock()
	if strings.HasPrefix(x.id, "kept") {
		c.r.record.add("server %s: runs %s", s.id, x.id)
		time.Sleep(slowWork)
	}
	return x.success("ran " + x.id)
}

// call sends unsafe requests one after the other on a connection that is kept until it ends.
func (c *crashCase) call(g, n int, end <-chan struct{}) {
	var conn *client
	onConn := 0
	for k := 1; ; k++ {
		select {
		case <-end:
			if conn != nil {
				conn.Close()
			}
			return
		default:
		}
		if conn == nil {
			var err error
			if conn, err = dial(c.r.callersAddress(g)); err != nil {
				conn = nil
				time.Sleep(restartDelay)
				continue
			}
			onConn = 0
		}
		id := fmt.Sprintf("kept-%d-%d-%d", g+1, n+1, k)
		err := conn.send(http.MethodPost, "/unsafe/order", id, callerTime, "", "order")
		res := result{err: err}
		if err == nil {
			res = conn.receive(http.MethodPost, 2*callerTime)
		}
		onConn++
		c.record(g, id, onConn, res)
		if !res.complete || res.status != http.StatusOK {
			conn.Close()
			conn = nil
			time.Sleep(restartDelay / 2)
		}
	}
}

// record records the result of a request, which was the given one on its connection.
func (c *crashCase) record(g int, id string, onConn int, res result) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if res.complete {
		if res.status == http.StatusOK {
			c.answered++
		}
		return
	}
	c.r.record.add("caller: %s, request %d on its connection to gateway %d: %v; it has run: %v", id, onConn, g+1, res, c.ran[id])
	if c.ran[id] && onConn > 1 {
		c.unanswered[g]++
	}
}

// restart starts a gateway again that has ended by itself, as the platform does.
func (c *crashCase) restart(g int, end <-chan struct{}) {
	p := c.r.gateways[g]
	for range restarts {
		select {
		case <-end:
			return
		case <-p.exited:
		}
		c.mu.Lock()
		c.exits[g]++
		c.mu.Unlock()
		c.r.record.add("gateway %d has ended by itself: %v", g+1, p.cmd.ProcessState)
		c.r.record.add("gateway %d, log: %s", g+1, p.panicLine())
		time.Sleep(restartDelay)
		if err := p.start(); err != nil {
			c.r.record.add("gateway %d: not started: %v", g+1, err)
			return
		}
	}
}

// panicLine returns the line of the log that says why the process has ended.
func (p *process) panicLine() string {
	for line := range strings.Lines(p.log.String()) {
		if strings.HasPrefix(line, "panic:") || strings.HasPrefix(line, "fatal error:") {
			return strings.TrimSpace(line)
		}
	}
	return "no reason"
}
