package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// heartbeatInterval is the interval of check-ins that the users' example of settings gives.
const heartbeatInterval = 1200 * time.Millisecond

// run is one run of a request at a server.
type run struct {
	id, server string
	from       string
	at         time.Time
	complete   bool
}

// runs collects the runs of all servers.
type runs struct {
	mu   sync.Mutex
	list []*run
}

func (r *runs) add(n *run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.list = append(r.list, n)
}

// server is one lifetime of a stand-in for a backend server of a plain service.
type server struct {
	d           *deployment
	runs        *runs
	id, service string
	address     string
	born        int64
	work        time.Duration
	events      int
	eventPause  time.Duration
	// engine is set for a model engine.
	engine *engine
	// crashesOn reports whether a request crashes the server when it begins to write the answer; crashed is called then.
	crashesOn func(*http.Request) bool
	crashed   func()
	// endless writes bytes without end as the answer.
	endless func(http.ResponseWriter, *http.Request)
	// untilClose makes answers end with their connections, without a length or chunks. A request that crashes the server does so after
	// the first event then.
	untilClose       bool
	srv              *http.Server
	cancelHeartbeats context.CancelFunc

	// exited is closed once the server has exited; connections that it has taken over end then.
	exited   chan struct{}
	exitOnce sync.Once

	mu      sync.Mutex
	seq     int
	leaving bool
}

// startServer starts a server that checks in until it leaves.
func startServer(d *deployment, rs *runs, n int, service string, configure func(*server)) (*server, error) {
	s := &server{exited: make(chan struct{}), d: d, runs: rs, id: fmt.Sprintf("i-%d", n), service: service, born: time.Now().UnixMilli(), address: fmt.Sprintf("%s:%d", d.ip(3, n), d.ports["callers"])}
	configure(s)
	l, err := net.Listen("tcp", s.address)
	if err != nil {
		return nil, err
	}
	s.srv = &http.Server{Handler: http.HandlerFunc(s.serve), IdleTimeout: 10 * time.Second}
	go func() { _ = s.srv.Serve(l) }()
	ctx, cancel := context.WithCancel(context.Background())
	s.cancelHeartbeats = cancel
	go s.sendHeartbeats(ctx)
	return s, nil
}

// heartbeat returns the body of the next check-in.
func (s *server) heartbeat(state string) ([]byte, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seq++
	body := obj{
		"service": s.service, "addr": s.address, "zone": "z1", "version": "v1", "slots": 64, "state": state, "cold_left_ms": 0,
		"seq": s.seq, "born": s.born,
	}
	if s.engine != nil {
		body["stage"], body["models"], body["at_hand"] = "both", s.engine.loaded(), obj{"in_memory": []string{}, "on_disk": s.engine.copies()}
	}
	data, _ := json.Marshal(body)
	return data, s.seq
}

func (s *server) sendHeartbeats(ctx context.Context) {
	for n := 0; ctx.Err() == nil; n++ {
		body, _ := s.heartbeat("ready")
		for range s.d.controllers {
			to := s.d.control()[n%len(s.d.controllers)]
			status, _, err := post(to, "/api/Instances.Heartbeat/"+s.id, body, time.Second)
			if err == nil && status == http.StatusOK || ctx.Err() != nil {
				break
			}
			n++
		}
		select {
		case <-time.After(heartbeatInterval):
		case <-ctx.Done():
		}
	}
}

// leave makes the server one that leaves without a check-in as draining: it says Leave until that is acknowledged, and from then on
// says in all answers that it leaves. It returns the controller that has acknowledged.
func (s *server) leave() (time.Time, string, error) {
	s.cancelHeartbeats()
	s.mu.Lock()
	s.leaving = true
	s.mu.Unlock()
	body, _ := json.Marshal(obj{"born": s.born})
	for n := range 20 {
		to := s.d.control()[n%len(s.d.controllers)]
		status, _, err := post(to, "/api/Instances.Leave/"+s.id, body, time.Second)
		if err == nil && status == http.StatusOK {
			at := time.Now()
			s.d.rec.logf("server %s: its Leave was acknowledged by %s", s.id, to)
			return at, to, nil
		}
	}
	return time.Time{}, "", fmt.Errorf("no controller acknowledged that %s leaves", s.id)
}

// exit ends the server at once.
func (s *server) exit() {
	s.cancelHeartbeats()
	s.exitOnce.Do(func() { close(s.exited) })
	_ = s.srv.Close()
}

func (s *server) serve(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	leaving := s.leaving
	s.mu.Unlock()
	if leaving {
		w.Header().Set("Server-Leaving", "1")
	}
	id := r.Header.Get("X-Request-Id")
	if t := r.Header.Get("X-Target-Instance"); t != "" && t != s.id {
		w.Header().Set("X-Request-Id", id)
		w.Header().Set("X-Not-Run", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch {
	case r.URL.Path == "/healthz":
		w.Header().Set("X-Instance-Id", s.id)
		return
	case s.engine != nil && r.URL.Path == "/api/report":
		s.serveReport(w)
		return
	case s.engine != nil && r.URL.Path == "/api/order":
		s.serveOrder(w, r)
		return
	case s.engine != nil && !s.engine.has(r.Header.Get("X-Model")):
		w.Header().Set("X-Request-Id", id)
		w.Header().Set("X-Not-Run", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	from, _, _ := net.SplitHostPort(r.RemoteAddr)
	n := &run{id: id, server: s.id, from: from, at: time.Now()}
	s.runs.add(n)
	s.d.rec.logf("server %s runs %s from %s", s.id, id, from)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	w.Header().Set("X-Request-Id", id)
	w.Header().Set("X-Response-Stamp", s.id+"."+id)
	select {
	case <-time.After(s.work):
	case <-r.Context().Done():
		s.d.rec.logf("server %s: the connection of %s was closed while it ran", s.id, id)
		return
	}
	if s.endless != nil {
		s.endless(w, r)
		return
	}
	if s.untilClose {
		s.streamUntilClose(w, r, n)
		return
	}
	if s.crashesOn != nil && s.crashesOn(r) {
		s.d.rec.logf("server %s crashes on %s", s.id, id)
		s.exit()
		s.crashed()
		return
	}
	if s.events == 0 {
		fmt.Fprintf(w, "%s %s %d", s.id, id, len(body))
		s.finish(n)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	for k := 1; k <= s.events; k++ {
		fmt.Fprintf(w, "id: %d\ndata: %s\n\n", k, id)
		if http.NewResponseController(w).Flush() != nil {
			return
		}
		select {
		case <-time.After(s.eventPause):
		case <-r.Context().Done():
			s.d.rec.logf("server %s: the connection of %s was closed while it ran", s.id, id)
			return
		}
	}
	s.finish(n)
}

// streamUntilClose streams an answer that ends with its connection.
func (s *server) streamUntilClose(w http.ResponseWriter, r *http.Request, n *run) {
	deadly := s.crashesOn != nil && s.crashesOn(r)
	c, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer c.Close()
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\nX-Request-Id: %s\r\nX-Response-Stamp: %s.%s\r\n\r\n", n.id, s.id, n.id)
	for k := 1; k <= s.events; k++ {
		if _, err := fmt.Fprintf(c, "id: %d\ndata: %s\n\n", k, n.id); err != nil {
			return
		}
		if deadly {
			s.d.rec.logf("server %s crashes on %s", s.id, n.id)
			s.exit()
			_ = c.Close()
			s.crashed()
			return
		}
		select {
		case <-time.After(s.eventPause):
		case <-s.exited:
			return
		}
	}
	s.finish(n)
}

func (s *server) finish(n *run) {
	s.runs.mu.Lock()
	n.complete = true
	s.runs.mu.Unlock()
	s.d.rec.logf("server %s has run %s to its end", s.id, n.id)
}
