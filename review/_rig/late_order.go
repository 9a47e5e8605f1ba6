package main

import (
	"fmt"
	"net"
	"os"
	"syscall"
	"time"
)

func init() { cases["late-order"] = lateOrder }

// lateOrder holds up an order on its way to an engine, kills the leader that has sent it, and starts it again.
func lateOrder(rec *record, trouble bool) ([]string, error) {
	const (
		// lossTime is how late a segment arrives that is lost three times in a row: TCP sends it again after 0.2, 0.4 and 0.8 s and a few
		// round trips more.
		lossTime = 1600 * time.Millisecond
		backIn   = 200 * time.Millisecond
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
	e := &engine{models: map[string]bool{"m1": true}}
	proxy := &orderProxy{}
	var l net.Listener
	s, err := startServer(d, rs, 1, "models", func(s *server) {
		s.engine, s.work = e, 20*time.Millisecond
		s.events, s.eventPause = 5, 30*time.Millisecond
		proxy.to = s.address
		s.announced = fmt.Sprintf("%s:%d", d.ip(3, 101), d.ports["callers"])
		l, err = net.Listen("tcp", s.announced)
	})
	if err != nil {
		return nil, err
	}
	defer s.exit()
	defer l.Close()
	go proxy.run(l)
	c := configuration(1, "streaming", "models", "/ask/", 15000, nil)
	c["services"] = []obj{{
		"name": "models", "health_path": "/healthz", "max_conns": 370, "protocol": "h1", "tls": false, "engine": obj{
			"slots": 64, "kv_capacity": 232000, "weights_mb": 140000.0, "adapter_slots": 8, "loads_per_s": 4.2, "models": []obj{
				{"name": "m1", "weights_mb": 34300.0, "load_s": 0.5, "adapters": 0, "adapter_mb": 40.0, "warm_s": 0.28, "disk_s": 0.4},
				{"name": "m2", "weights_mb": 34300.0, "load_s": 0.5, "adapters": 0, "adapter_mb": 40.0, "warm_s": 0.28, "disk_s": 0.4},
			},
		},
	}}
	if err := d.submit(c); err != nil {
		return nil, err
	}
	if err := d.awaitServed("/ask/m1", "m1"); err != nil {
		return nil, err
	}
	time.Sleep(contact + 500*time.Millisecond)

	proxy.mu.Lock()
	if trouble {
		proxy.holdUp = lossTime
	}
	proxy.held = func(caller string) {
		rec.logf("an order from %s is held up for %v", caller, lossTime)
		if os.Getenv("KILL") == "0" {
			return
		}
		for _, p := range d.controllers {
			if p.ip == caller {
				p.signal(syscall.SIGKILL)
				<-p.exited
				time.Sleep(backIn)
				if err := p.start(); err != nil {
					rec.logf("%s can't be started: %v", p.name, err)
				}
			}
		}
	}
	proxy.mu.Unlock()
	cl := &client{d: d, gateway: d.gateways[0], name: "c0", model: "m2"}
	defer cl.close()
	cl.send("/ask/m2", 10*time.Second)
	time.Sleep(3 * time.Second)
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.orders) == 0 {
		return nil, fmt.Errorf("no order was sent")
	}
	var out []string
	var highest order
	for _, o := range e.orders {
		if o.fence < highest.fence {
			out = append(out, fmt.Sprintf("ONE: the order %s %s of %s with fence %d reached %s %.2f s after one with fence %d of %s", o.op, o.model, o.holder,
				o.fence, s.id, o.at.Sub(highest.at).Seconds(), highest.fence, highest.holder))
		}
		if o.fence > highest.fence {
			highest = o
		}
	}
	return out, nil
}
