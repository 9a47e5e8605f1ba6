package main

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["endless-answers"] = endlessAnswers }

// memoryMiB is the memory of a gateway on the site, in the larger reading of its unit.
const memoryMiB = 284

// residentMiB returns the memory of a process in MiB.
func residentMiB(pid int) int {
	b, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for line := range strings.Lines(string(b)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kib, _ := strconv.Atoi(strings.Fields(rest)[0])
			return kib >> 10
		}
	}
	return 0
}

// endlessAnswers lets the servers of one service send bodies without end, beside a sound service on the same gateway.
func endlessAnswers(rec *record, trouble bool) ([]string, error) {
	const (
		soundClients = 10
		// bytesPerWrite are sent every 10 ms on each connection; all of them together stay below the gateway's link of 1,000 Mbit/s.
		bytesPerWrite = 30 << 10
		lasts         = 20 * time.Second
	)
	troubledClients := 36
	if n, err := strconv.Atoi(os.Getenv("CLIENTS")); err == nil {
		// For comparison.
		troubledClients = n
	}
	d, err := newDeployment(rec, 3, 2)
	if err != nil {
		return nil, err
	}
	defer d.stop()
	if err := d.start(); err != nil {
		return nil, err
	}
	rs := &runs{}
	begin := make(chan struct{})
	for n := 1; n <= 6; n++ {
		service := "ledger"
		if n > 3 {
			service = "papers"
		}
		s, err := startServer(d, rs, n, service, func(s *server) {
			s.work = time.Duration(250+20*n) * time.Millisecond
			if n > 3 || !trouble {
				return
			}
			s.endless = func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
				w.Header().Set("X-Response-Stamp", "x")
				select {
				case <-begin:
				default:
					fmt.Fprint(w, "ok")
					return
				}
				chunk := make([]byte, bytesPerWrite)
				for r.Context().Err() == nil {
					if _, err := w.Write(chunk); err != nil {
						return
					}
					time.Sleep(10 * time.Millisecond)
				}
			}
		})
		if err != nil {
			return nil, err
		}
		defer s.exit()
	}
	c := configuration(1, "unsafe", "ledger", "/record/", 4000, nil)
	c["routes"] = append(c["routes"].([]obj), configuration(1, "unsafe", "papers", "/read/", 4000, nil)["routes"].([]obj)[0])
	c["routes"].([]obj)[1]["name"] = "r2"
	c["services"] = append(c["services"].([]obj), configuration(1, "unsafe", "papers", "/read/", 4000, nil)["services"].([]obj)[0])
	if err := d.submit(c); err != nil {
		return nil, err
	}
	for _, path := range []string{"/record/warm", "/read/warm"} {
		if err := d.awaitServed(path, ""); err != nil {
			return nil, err
		}
	}
	time.Sleep(contact + 500*time.Millisecond)
	g := d.gateways[0]
	stop := make(chan struct{})
	var mu sync.Mutex
	var outcomes []outcome
	var wg sync.WaitGroup
	start := func(name, path string) {
		wg.Go(func() {
			cl := &client{d: d, gateway: g, name: name}
			defer cl.close()
			for {
				o := cl.send(path, 4*time.Second)
				mu.Lock()
				outcomes = append(outcomes, o)
				mu.Unlock()
				select {
				case <-stop:
					return
				case <-g.exited:
					return
				default:
				}
			}
		})
	}
	for n := range soundClients {
		start(fmt.Sprintf("sound%d", n), "/read/x")
		// Their requests don't come at the same moments.
		time.Sleep(23 * time.Millisecond)
	}
	time.Sleep(2 * time.Second)
	for n := range troubledClients {
		start(fmt.Sprintf("troubled%d", n), "/record/x")
	}
	time.Sleep(time.Second)
	close(begin)
	rec.logf("the servers of ledger begin to send without end")
	peak := 0
	killed := time.Time{}
	for end := time.Now().Add(lasts); time.Now().Before(end) && killed.IsZero(); time.Sleep(50 * time.Millisecond) {
		m := residentMiB(g.cmd.Process.Pid)
		if m > peak {
			peak = m
			rec.logf("memory of %s: %d MiB", g.name, m)
		}
		if m > memoryMiB {
			killed = time.Now()
			rec.logf("the platform kills %s: it uses %d MiB of %d", g.name, m, memoryMiB)
			g.signal(syscall.SIGKILL)
		}
	}
	time.Sleep(time.Second)
	close(stop)
	wg.Wait()
	rec.logf("largest memory of %s: %d MiB of %d", g.name, peak, memoryMiB)
	if killed.IsZero() {
		return nil, nil
	}
	passedOn := map[string]bool{}
	for _, r := range rs.list {
		passedOn[r.id] = true
	}
	lost := 0
	for _, o := range outcomes {
		if strings.HasPrefix(o.id, "sound") && passedOn[o.id] && !o.complete && o.endedAt.After(killed) {
			lost++
		}
	}
	if lost <= 3 {
		return nil, nil
	}
	return []string{fmt.Sprintf("LOST: %d requests to sound servers were passed on and lost their connections when %s ended over its memory limit, at %d MiB", lost, g.name, peak)}, nil
}
