package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	heartbeatInterval = 1200 * time.Millisecond
	serverWork        = 30 * time.Millisecond
)

// server is a runner of a plain service, which serves and reports itself as the pages say.
type server struct {
	world   *world
	id      string
	service string
	number  int
	control []int
	born    int64

	mu sync.Mutex
	// ran holds the requests that the server has run, with the path of each.
	ran map[string]string
}

// newServer starts a runner on a machine of its own.
func (w *world) newServer(ctx context.Context, number int, id, service string, control []int) (*server, error) {
	s := &server{world: w, id: id, service: service, number: number, control: control, born: time.Now().UnixMilli(), ran: map[string]string{}}
	l, err := net.Listen("tcp", s.address())
	if err != nil {
		return nil, err
	}
	srv := &http.Server{Handler: s, IdleTimeout: time.Minute}
	go func() {
		// It ends with the process.
		_ = srv.Serve(l)
	}()
	go s.report(ctx)
	return s, nil
}

func (s *server) address() string { return s.world.network.address(s.number, portServer) }

func (s *server) zone() string { return zones[s.number%len(zones)] + "-a" }

// ServeHTTP answers a request.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/healthz" {
		w.Header().Set("X-Instance-Id", s.id)
		return
	}
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	// The body belongs to the request, also if that isn't run.
	_, err := io.Copy(io.Discard, r.Body)
	target := r.Header.Get("X-Target-Instance")
	switch {
	case err != nil:
		return
	case id == "":
		w.Header().Set("X-Not-Run", "1")
		w.WriteHeader(http.StatusBadRequest)
	case target != "" && target != s.id:
		w.Header().Set("X-Not-Run", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		s.world.record.line("request %s %s reaches %s of %s, which is not %s and rejects it", id, r.URL.Path, s.id, s.service, target)
	default:
		s.mu.Lock()
		s.ran[id] = r.URL.Path
		s.mu.Unlock()
		s.world.record.line("request %s %s is run by %s of %s", id, r.URL.Path, s.id, s.service)
		time.Sleep(serverWork)
		w.Header().Set("X-Response-Stamp", "stamp."+s.id+"."+id)
		fmt.Fprintf(w, "%s has run %s\n", s.service, id)
	}
}

// report sends check-ins until the context ends; one that is not acknowledged goes to the next machine.
func (s *server) report(ctx context.Context) {
	client := &http.Client{Timeout: time.Second}
	next := s.number
	for seq := 1; ctx.Err() == nil; seq++ {
		body, err := json.Marshal(map[string]any{
			"service": s.service, "addr": s.address(), "zone": s.zone(), "version": "v1", "slots": 6, "state": "ready", "cold_left_ms": 0, "seq": seq,
			"born": s.born,
		})
		if err != nil {
			panic(err)
		}
		for range s.control {
			if s.checkIn(client, s.control[next%len(s.control)], body) {
				break
			}
			next++
		}
		time.Sleep(heartbeatInterval)
	}
}

func (s *server) checkIn(client *http.Client, control int, body []byte) bool {
	status, _ := s.world.post(client, control, "/api/Instances.Heartbeat/"+s.id, body)
	return status == http.StatusOK
}

// post sends a call to a control machine and returns the status and the body of its answer; the status is 0 without one.
func (w *world) post(client *http.Client, control int, path string, body []byte) (int, string) {
	return answerOf(client.Post("http://"+w.network.address(control, portControl)+path, "application/json", bytes.NewReader(body)))
}

// get is post without a body.
func (w *world) get(client *http.Client, control int, path string) (int, string) {
	return answerOf(client.Get("http://" + w.network.address(control, portControl) + path))
}

// answerOf returns the status and the body of an answer.
func answerOf(res *http.Response, err error) (int, string) {
	if err != nil {
		return 0, err.Error()
	}
	defer res.Body.Close()
	text, err := io.ReadAll(io.LimitReader(res.Body, 4096))
	if err != nil {
		return 0, err.Error()
	}
	return res.StatusCode, string(text)
}
