package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// serveTimeout is the longest time until the gateways serve requests.
const serveTimeout = 15 * time.Second

// Weights of a model and room of an engine, in MB.
const (
	modelWeights = 65500.0
	engineRoom   = 140000.0
)

// streamHeaders are the headers of a request to an engine.
const streamHeaders = "X-Model: m\r\nX-Token-Count: 100,80\r\nX-Prompt-Prefix: a1:50,b2:50\r\n"

// startServers starts n servers of a service.
func (r *run) startServers(service string, n int, serve func(s *server, x *request) bool) ([]*server, error) {
	var out []*server
	for i := range n {
		if service == "engines" {
			e := r.newEngine(i+1, map[string]float64{"m": modelWeights}, engineRoom, "m")
			orders := e.server.serve
			e.server.serve = func(x *request) bool {
				if strings.HasPrefix(x.URL.Path, "/api/") {
					return orders(x)
				}
				return serve(e.server, x)
			}
			if err := e.start(); err != nil {
				return out, err
			}
			out = append(out, e.server)
			continue
		}
		s := &server{
			id: fmt.Sprintf("i-%s-%d", service, i+1), service: service, address: r.at(r.ip(3, i+1), portCallers), slots: 6,
			control: r.control, record: r.record,
		}
		s.serve = func(x *request) bool { return serve(s, x) }
		if err := s.start(); err != nil {
			return out, err
		}
		out = append(out, s)
	}
	return out, nil
}

// awaitRoute waits until all gateways answer requests for a path.
func (r *run) awaitRoute(path, headers string) error {
	n := 0
	return r.awaitServing(func(address string) bool {
		n++
		res := do(address, http.MethodGet, path+"warm-up", fmt.Sprintf("warm-up-%d", n), time.Second, headers, "")
		return res.status == http.StatusOK && res.complete
	}, serveTimeout)
}
