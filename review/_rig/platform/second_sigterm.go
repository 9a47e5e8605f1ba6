package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

func init() { cases["second-sigterm"] = secondSigterm }

// secondSigterm stops a gateway while requests are under way, and sends the signal to stop a second time within the grace period.
func secondSigterm(rec *record, trouble bool) ([]string, error) {
	d, err := newDeployment(rec, 3, 2)
	if err != nil {
		return nil, err
	}
	defer d.stop()
	if err := d.start(); err != nil {
		return nil, err
	}
	rs := &runs{}
	for n := 1; n <= 2; n++ {
		s, err := startServer(d, rs, n, "ledger", func(s *server) { s.work = 600 * time.Millisecond })
		if err != nil {
			return nil, err
		}
		defer s.exit()
	}
	if err := d.submit(configuration(1, "unsafe", "ledger", "/record/", 4000, nil)); err != nil {
		return nil, err
	}
	if err := d.awaitServed("/record/warm", ""); err != nil {
		return nil, err
	}
	time.Sleep(contact + 500*time.Millisecond)
	const clients = 6
	var mu sync.Mutex
	var outcomes []outcome
	var wg sync.WaitGroup
	stopped := make(chan struct{})
	for n := range clients {
		c := &client{d: d, gateway: d.gateways[0], name: fmt.Sprintf("c%d", n)}
		time.Sleep(70 * time.Millisecond)
		wg.Go(func() {
			defer c.close()
			for {
				o := c.send("/record/x", 3*time.Second)
				mu.Lock()
				outcomes = append(outcomes, o)
				mu.Unlock()
				select {
				case <-stopped:
					return
				default:
				}
				if c.conn == nil {
					// The gateway has ended the connection: callers go to another one.
					c.gateway = d.gateways[1]
				}
			}
		})
	}
	time.Sleep(1500 * time.Millisecond)
	g := d.gateways[0]
	term := time.Now()
	g.signal(syscall.SIGTERM)
	if trouble {
		time.Sleep(250 * time.Millisecond)
		g.signal(syscall.SIGTERM)
	}
	g.wait(grace)
	time.Sleep(time.Second)
	close(stopped)
	wg.Wait()
	return lostRequests(rs, outcomes, g, term), nil
}

// lostRequests returns the requests that a gateway passed on and whose connection ended without a complete answer, from a SIGTERM
// until 1 s after the grace period.
func lostRequests(rs *runs, outcomes []outcome, g *process, term time.Time) []string {
	passedOn := map[string]*run{}
	for _, r := range rs.list {
		if r.from == g.ip {
			passedOn[r.id] = r
		}
	}
	var out []string
	for _, o := range outcomes {
		r := passedOn[o.id]
		if r == nil || o.complete || o.endedAt.Before(term) || o.endedAt.After(term.Add(grace+time.Second)) {
			continue
		}
		out = append(out, fmt.Sprintf("LOST: %s was passed on to %s by %s, and its connection ended %.0f ms after the first SIGTERM without a complete answer (%v)",
			o.id, r.server, g.name, float64(o.endedAt.Sub(term).Microseconds())/1000, o))
	}
	return out
}
