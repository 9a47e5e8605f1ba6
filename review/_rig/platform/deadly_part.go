package main

import (
	"cmp"
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

func init() {
	cases["deadly-part"] = func(rec *record, trouble bool) ([]string, error) { return deadlyPart(rec, trouble, false) }
	cases["deadly-part-until-close"] = func(rec *record, trouble bool) ([]string, error) { return deadlyPart(rec, trouble, true) }
}

// Parts of prompts that servers can take.
const (
	firstPart  = "5c1e07a2"
	soundPart  = "91bd3f06"
	commonPart = "e4402b7d"
)

// deadPart crashes each server that begins to write an answer on it. DEAD names another id, for comparison.
var deadPart = cmp.Or(os.Getenv("DEAD"), "dead0001")

// prefixOf returns the prompt of a request: parts that other requests share, and one of its own. The part behind the one that
// differs is left out with SHORT=1, for comparison.
func prefixOf(second, own string) string {
	parts := []string{firstPart + ":800", second + ":400"}
	if os.Getenv("SHORT") != "1" {
		parts = append(parts, commonPart+":600")
	}
	return strings.Join(append(parts, own+":100"), ",")
}

// crashingServers keeps one server at each address and starts it again some seconds after it has crashed.
type crashingServers struct {
	d       *deployment
	runs    *runs
	mu      sync.Mutex
	servers []*server
	next    int
	crashes []time.Time
	ended   bool
	// untilClose is set if answers end with their connections.
	untilClose bool
}

// backAfter is how long a crashed server is down.
const backAfter = 3 * time.Second

func (c *crashingServers) start(n int, models map[string]bool) error {
	c.mu.Lock()
	c.next++
	id := fmt.Sprintf("i-%d-%d", n, c.next)
	c.mu.Unlock()
	s, err := startServer(c.d, c.runs, n, "models", func(s *server) {
		s.id, s.engine, s.work, s.events, s.eventPause = id, &engine{models: models, onDisk: []string{"m1"}}, 100*time.Millisecond, 10, 100*time.Millisecond
		s.crashesOn = func(r *http.Request) bool { return strings.Contains(r.Header.Get("X-Prompt-Prefix"), deadPart) }
		s.untilClose = c.untilClose
		s.crashed = func() {
			c.mu.Lock()
			c.crashes = append(c.crashes, time.Now())
			ended := c.ended
			c.mu.Unlock()
			if ended {
				return
			}
			time.AfterFunc(backAfter, func() {
				if err := c.start(n, map[string]bool{}); err != nil {
					c.d.rec.logf("server at address %d can't be started: %v", n, err)
				}
			})
		}
	})
	if err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.servers = append(c.servers, s)
	return nil
}

func (c *crashingServers) exit() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended = true
	for _, s := range c.servers {
		s.exit()
	}
}

func (c *crashingServers) crashCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.crashes)
}

// deadlyPart sends requests with a part that crashes servers beside sound ones that share all other parts.
func deadlyPart(rec *record, trouble, untilClose bool) ([]string, error) {
	const (
		usual    = 10 * time.Second
		afterIt  = 30 * time.Second
		soundGap = 200 * time.Millisecond
		deadGap  = 600 * time.Millisecond
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
	servers := &crashingServers{d: d, runs: rs, untilClose: untilClose}
	defer servers.exit()
	for n := 1; n <= 3; n++ {
		if err := servers.start(n, map[string]bool{"m1": true}); err != nil {
			return nil, err
		}
	}
	c := configuration(1, "streaming", "models", "/ask/", 6000, nil)
	c["services"] = []obj{{
		"name": "models", "health_path": "/healthz", "max_conns": 370, "protocol": "h1", "tls": false, "engine": obj{
			"slots": 64, "kv_capacity": 232000, "weights_mb": 140000.0, "adapter_slots": 8, "loads_per_s": 4.2, "models": []obj{
				{"name": "m1", "weights_mb": 34300.0, "load_s": 6.0, "adapters": 0, "adapter_mb": 40.0, "warm_s": 0.28, "disk_s": 0.4},
			},
		},
	}}
	if err := d.submit(c); err != nil {
		return nil, err
	}
	if err := d.awaitServed("/ask/warm", "m1"); err != nil {
		return nil, err
	}
	time.Sleep(contact + 500*time.Millisecond)

	var mu sync.Mutex
	sent := map[string]time.Time{}
	var wg sync.WaitGroup
	send := func(kind, second string, k int) {
		wg.Go(func() {
			cl := &client{d: d, gateway: d.gateways[k%2], name: fmt.Sprintf("%s%d", kind, k), model: "m1"}
			defer cl.close()
			cl.prefix = prefixOf(second, fmt.Sprintf("%s%d", kind, k))
			mu.Lock()
			sent[fmt.Sprintf("%s-1", cl.name)] = time.Now()
			mu.Unlock()
			cl.send("/ask/x", 6*time.Second)
		})
	}
	began := time.Now()
	stopDead := make(chan struct{})
	if trouble {
		wg.Go(func() {
			time.Sleep(time.Until(began.Add(usual)))
			for k := 0; ; k++ {
				send("dead", deadPart, k)
				select {
				case <-stopDead:
					return
				case <-time.After(deadGap):
				}
			}
		})
	}
	for k := 0; time.Since(began) < usual+afterIt; k++ {
		send("sound", soundPart, k)
		time.Sleep(soundGap)
	}
	close(stopDead)
	wg.Wait()

	if !trouble {
		return soundShare(rs, sent, began, began.Add(usual), began.Add(usual+2*contact), time.Now(), rec), nil
	}
	servers.mu.Lock()
	crashes := servers.crashes
	servers.mu.Unlock()
	if len(crashes) == 0 {
		return nil, fmt.Errorf("no server crashed")
	}
	last := crashes[min(4, len(crashes)-1)]
	out := soundShare(rs, sent, began, began.Add(usual), last.Add(2*contact), time.Now(), rec)
	late := 0
	for _, r := range rs.list {
		if strings.HasPrefix(r.id, "dead") && len(crashes) >= 5 && r.at.After(crashes[4].Add(contact)) {
			late++
		}
	}
	rec.logf("%d crashes; %d requests with the deadly part reached servers later than %v after the fifth", len(crashes), late, contact)
	if late > 3 {
		out = append(out, fmt.Sprintf("BUDGET: %d requests with the deadly part reached servers later than %v after the fifth crash", late, contact))
	}
	return out, nil
}

// soundShare compares how often sound requests begin at the first attempt in a usual time and from a later time on.
func soundShare(rs *runs, sent map[string]time.Time, from, to, from2, to2 time.Time, rec *record) []string {
	run := map[string]bool{}
	rs.mu.Lock()
	for _, r := range rs.list {
		run[r.id] = true
	}
	rs.mu.Unlock()
	share := func(a, b time.Time) (n, begun int) {
		for id, at := range sent {
			if strings.HasPrefix(id, "sound") && !at.Before(a) && at.Before(b) {
				n++
				if run[id] {
					begun++
				}
			}
		}
		return n, begun
	}
	n1, b1 := share(from, to)
	n2, b2 := share(from2, to2)
	rec.logf("sound requests that began at the first attempt: %d of %d in the usual time, %d of %d from 2 x contact_ms after the fifth crash on", b1, n1, b2, n2)
	if n1 < 20 || n2 < 20 || 2*b2*n1 >= b1*n2 {
		return nil
	}
	return []string{fmt.Sprintf("LOST: from 2 x contact_ms after the fifth crash on, %d of %d sound requests with the same first part began at the first attempt, before %d of %d",
		b2, n2, b1, n1)}
}
