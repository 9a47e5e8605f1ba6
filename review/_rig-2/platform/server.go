package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const heartbeatInterval = 400 * time.Millisecond

// server is one lifetime of a backend server.
type server struct {
	id, service, address string
	slots                int
	born                 int64
	// loaded returns the loaded models of an engine, onDisk lists those whose weights it has on disk; loaded is nil for a plain service.
	loaded func() []map[string]any
	onDisk []string
	// serve answers one request and reports whether the connection stays open.
	serve   func(x *request) bool
	control func() []string
	record  *record

	mu      sync.Mutex
	seq     int
	state   string
	ended   bool
	conns   map[net.Conn]bool
	l       net.Listener
	stopped chan struct{}
}

// request is a request that has arrived at a server.
type request struct {
	*http.Request
	body []byte
	conn net.Conn
	// onConn is the number of requests on the connection so far, with this one.
	onConn int
	id     string
}

// start listens and sends heartbeats.
func (s *server) start() error {
	l, err := net.Listen("tcp", s.address)
	if err != nil {
		return err
	}
	s.l, s.conns, s.state, s.born, s.stopped = l, map[net.Conn]bool{}, "ready", time.Now().UnixMilli(), make(chan struct{})
	go s.accept()
	go s.sendHeartbeats()
	return nil
}

// stop ends the server like a crash.
func (s *server) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
		return
	}
	s.ended = true
	close(s.stopped)
	s.l.Close()
	for c := range s.conns {
		c.Close()
	}
}

func (s *server) accept() {
	for {
		c, err := s.l.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns[c] = true
		s.mu.Unlock()
		go func() {
			defer func() {
				c.Close()
				s.mu.Lock()
				delete(s.conns, c)
				s.mu.Unlock()
			}()
			s.serveConn(c)
		}()
	}
}

func (s *server) serveConn(c net.Conn) {
	r := bufio.NewReader(c)
	for n := 1; ; n++ {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		x := &request{req, body, c, n, req.Header.Get("X-Request-Id")}
		if t := req.Header.Get("X-Target-Instance"); t != "" && t != s.id {
			s.record.add("server %s: %s is for %s, answered 421", s.id, x.id, t)
			fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nX-Request-Id: %s\r\nX-Instance-Id: %s\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", x.id, s.id)
			continue
		}
		if !s.serve(x) {
			return
		}
	}
}

func (s *server) sendHeartbeats() {
	for n := 0; ; n++ {
		list := s.control()
		s.heartbeat(list[n%len(list)])
		select {
		case <-s.stopped:
			return
		case <-time.After(heartbeatInterval):
		}
	}
}

// heartbeat sends one heartbeat and returns the status of its answer, or 0.
func (s *server) heartbeat(to string) int {
	var models []map[string]any
	if s.loaded != nil {
		models = s.loaded()
	}
	s.mu.Lock()
	s.seq++
	b := map[string]any{
		"service": s.service, "addr": s.address, "zone": "z1", "version": "v1", "slots": s.slots, "state": s.state, "cold_left_ms": 0,
		"seq": s.seq, "born": s.born,
	}
	if s.loaded != nil {
		b["stage"], b["models"] = "both", models
		b["at_hand"] = map[string]any{"in_memory": []string{}, "on_disk": s.onDisk}
	}
	s.mu.Unlock()
	status, _, err := call(http.MethodPost, to, "/api/Instances.Heartbeat/"+s.id, encode(b))
	if err != nil {
		return 0
	}
	return status
}

// answer writes a complete answer with a length.
func (x *request) answer(status int, headers, body string) bool {
	_, err := fmt.Fprintf(x.conn, "HTTP/1.1 %d Status\r\nX-Request-Id: %s\r\n%sContent-Length: %d\r\n\r\n%s", status, x.id, headers, len(body), body)
	return err == nil
}

// success writes a complete answer of a request that has run.
func (x *request) success(body string) bool {
	return x.answer(200, "X-Response-Stamp: "+x.id+"\r\n", body)
}
