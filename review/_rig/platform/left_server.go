package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["left-server-return"] = leftServerReturns }

// leftServerReturns lets a server leave whose last check-in is late on its way, and restarts all controllers before that check-in
// arrives.
func leftServerReturns(rec *record, trouble bool) ([]string, error) {
	const (
		// lateBy is how late the last check-in arrives.
		lateBy = 5500 * time.Millisecond
		// servesOn is how long the server serves after its Leave was acknowledged.
		servesOn = 8 * time.Second
		backIn   = 500 * time.Millisecond
	)
	d, err := newDeployment(rec, 3, 2)
	if err != nil {
		return nil, err
	}
	defer d.stop()
	if err := d.start(); err != nil {
		return nil, err
	}
	rs := &runs{}
	var servers []*server
	for n := 1; n <= 3; n++ {
		s, err := startServer(d, rs, n, "drafts", func(s *server) { s.work, s.events, s.eventPause = 40*time.Millisecond, 13, 230*time.Millisecond })
		if err != nil {
			return nil, err
		}
		defer s.exit()
		servers = append(servers, s)
	}
	if err := d.submit(configuration(1, "streaming", "drafts", "/draft/", 6000, nil)); err != nil {
		return nil, err
	}
	if err := d.awaitServed("/draft/warm", ""); err != nil {
		return nil, err
	}
	time.Sleep(contact + 500*time.Millisecond)
	var mu sync.Mutex
	var outcomes []outcome
	var wg sync.WaitGroup
	stopped := make(chan struct{})
	for n := range 8 {
		c := &client{d: d, gateway: d.gateways[n%2], name: fmt.Sprintf("c%d", n)}
		time.Sleep(150 * time.Millisecond)
		wg.Go(func() {
			defer c.close()
			for {
				o := c.send("/draft/x", 6*time.Second)
				mu.Lock()
				outcomes = append(outcomes, o)
				mu.Unlock()
				select {
				case <-stopped:
					return
				case <-time.After(300 * time.Millisecond):
				}
			}
		})
	}
	time.Sleep(2 * time.Second)

	leaver := servers[0]
	late, seq := leaver.heartbeat("ready")
	rec.logf("server %s sends check-in %d, which arrives %v later", leaver.id, seq, lateBy)
	lateDone := make(chan struct{})
	time.AfterFunc(lateBy, func() {
		defer close(lateDone)
		for _, to := range d.control() {
			status, _, err := post(to, "/api/Instances.Heartbeat/"+leaver.id, late, time.Second)
			rec.logf("late check-in %d of server %s arrives at %s: status %d, error %v", seq, leaver.id, to, status, err)
			if status == http.StatusOK {
				return
			}
		}
	})
	left, _, err := leaver.leave()
	if err != nil {
		return nil, err
	}
	time.Sleep(200 * time.Millisecond)
	stable := left
	if trouble {
		for _, p := range d.controllers {
			p.signal(syscall.SIGKILL)
		}
		time.Sleep(backIn)
		for _, p := range d.controllers {
			<-p.exited
			if err := p.start(); err != nil {
				return nil, err
			}
		}
		stable = time.Now().Add(contact)
	}
	time.Sleep(time.Until(left.Add(servesOn)))
	rec.logf("server %s exits, %v after its Leave was acknowledged", leaver.id, servesOn)
	exitedAt := time.Now()
	leaver.exit()
	<-lateDone
	time.Sleep(2 * time.Second)
	close(stopped)
	wg.Wait()
	return drainBreaks(rs, outcomes, leaver, left, stable, exitedAt), nil
}

// drainBreaks returns the requests that were sent by gateways in touch and reached a server later than drainTime after a controller in
// touch has acknowledged that it is gone.
func drainBreaks(rs *runs, outcomes []outcome, s *server, left, stable, exitedAt time.Time) []string {
	byID := map[string]outcome{}
	for _, o := range outcomes {
		byID[o.id] = o
	}
	var out []string
	rs.mu.Lock()
	defer rs.mu.Unlock()
	for _, r := range rs.list {
		o := byID[r.id]
		if r.server != s.id || r.at.Sub(left) <= drainTime || o.sentAt.Before(stable) {
			continue
		}
		text := fmt.Sprintf("DRAIN: %s reached %s %.1f s after its Leave was acknowledged, from %s", r.id, s.id, r.at.Sub(left).Seconds(), r.from)
		if !o.complete && !o.endedAt.Before(exitedAt) {
			text += "; the stream was cut when the server exited, and is lost"
		}
		out = append(out, text)
	}
	return out
}
