package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Times and counts of the case with a request that crashes servers.
const (
	deadlyPath     = "/safe/deadly"
	deadlyInterval = 4500 * time.Millisecond
	deadlyRequests = 8
	// downTime is the time after which a crashed server is back, contactTime the bound contact_ms of the pages.
	downTime    = 3 * time.Second
	contactTime = 4 * time.Second
	// crashesBefore is the number of crashes from which contactTime counts, allowedLater the requests that may reach a server later.
	crashesBefore = 3
	allowedLater  = 3
	workTime      = 30 * time.Millisecond
	// soundInterval is the time between two sound requests to each gateway: 4 a second there, 8 in all.
	soundInterval = 250 * time.Millisecond
	ledgerServers = 3
)

// deadlyArrival is an arrival of the deadly request at a server.
type deadlyArrival struct {
	id string
	at time.Time
}

// deadlyCase holds the servers of the case, which crash and come back.
type deadlyCase struct {
	r  *run
	mu sync.Mutex
	// arrivals holds the arrivals of the deadly request; each of them has crashed a server.
	arrivals []deadlyArrival
	lost     int
	lives    int
	servers  []*server
	end      chan struct{}
}

// playDeadly checks rule BUDGET for a safe request that crashes each server that runs it, while sound requests keep connections open.
func playDeadly(r *run) (bool, error) {
	d := &deadlyCase{r: r, end: make(chan struct{})}
	for i := range ledgerServers {
		if err := d.startServer(i); err != nil {
			return false, err
		}
	}
	defer d.stopServers()
	if err := r.awaitRoute("/safe/", ""); err != nil {
		return false, err
	}
	var callers sync.WaitGroup
	for g := range gatewayCount {
		callers.Go(func() { d.sendSound(g) })
	}
	time.Sleep(2 * time.Second)
	for n := range deadlyRequests {
		if r.trouble {
			id := fmt.Sprintf("deadly-%d", n+1)
			r.record.add("caller: %s sent to gateway %d", id, n%gatewayCount+1)
			res := do(r.callersAddress(n%gatewayCount), http.MethodGet, deadlyPath, id, 1200*time.Millisecond, "", "")
			r.record.add("caller: %s: %v", id, res)
		}
		time.Sleep(deadlyInterval)
	}
	close(d.end)
	callers.Wait()
	return d.judge(), nil
}

// startServer starts the next lifetime of a server at its address.
func (d *deadlyCase) startServer(i int) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lives++
	s := &server{
		id: fmt.Sprintf("i-ledger-%d-%d", i+1, d.lives), service: "ledger", address: d.r.at(d.r.ip(3, i+1), portCallers), slots: 6, control: d.r.control, record: d.r.record,
	}
	s.serve = func(x *request) bool { return d.serve(i, s, x) }
	if err := s.start(); err != nil {
		return err
	}
	d.servers = append(d.servers, s)
	return nil
}

func (d *deadlyCase) stopServers() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, s := range d.servers {
		s.stop()
	}
}

func (d *deadlyCase) serve(i int, s *server, x *request) bool {
	if x.URL.Path != deadlyPath {
		time.Sleep(workTime)
		return x.success("ran " + x.id)
	}
	d.mu.Lock()
	d.arrivals = append(d.arrivals, deadlyArrival{x.id, time.Now()})
	d.mu.Unlock()
	d.r.record.add("server %s: begins to run %s, request %d on its connection, and crashes", s.id, x.id, x.onConn)
	s.stop()
	time.AfterFunc(downTime, func() {
		select {
		case <-d.end:
		default:
			if err := d.startServer(i); err != nil {
				d.r.record.add("server %d: not back: %v", i+1, err)
			}
		}
	})
	return false
}

// sendSound sends sound requests to a gateway until the end, five unsafe ones for each three safe ones.
func (d *deadlyCase) sendSound(g int) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for n := 1; ; n++ {
		select {
		case <-d.end:
			return
		case <-time.After(soundInterval):
		}
		wg.Go(func() {
			id := fmt.Sprintf("sound-%d-%d", g+1, n)
			method, path := http.MethodPost, "/unsafe/order"
			if n%8 >= 5 {
				method, path = http.MethodGet, "/safe/price"
			}
			res := do(d.r.callersAddress(g), method, path, id, 1200*time.Millisecond, "", "")
			if res.status == http.StatusOK && res.complete {
				return
			}
			d.r.record.add("caller: %s %s: %v", method, id, res)
			if strings.HasPrefix(path, "/unsafe/") && res.status != http.StatusServiceUnavailable {
				d.mu.Lock()
				defer d.mu.Unlock()
				d.lost++
			}
		})
	}
}

// judge counts the deadly requests of callers that reached a server later than contactTime after the third crash.
func (d *deadlyCase) judge() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	perRequest := map[string]int{}
	late := map[string]bool{}
	lateArrivals := 0
	for n, a := range d.arrivals {
		perRequest[a.id]++
		if n >= crashesBefore && a.at.Sub(d.arrivals[crashesBefore-1].at) > contactTime {
			late[a.id] = true
			lateArrivals++
		}
	}
	most := 0
	for _, n := range perRequest {
		most = max(most, n)
	}
	d.r.record.add("%d crashes in all, at most %d by one request; %d unsafe sound requests got neither their answer nor a refusal", len(d.arrivals), most, d.lost)
	d.r.record.add("%d requests reached a server later than %v after crash %d, with %d arrivals; %d are allowed", len(late), contactTime, crashesBefore, lateArrivals, allowedLater)
	return len(late) > allowedLater
}
