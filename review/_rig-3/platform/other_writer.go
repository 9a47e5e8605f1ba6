package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// Times of the case of another writer, after the start of the first machine.
const (
	writerAt    = 13 * time.Second
	writerUntil = 25 * time.Second
)

const archiveService = "archivo-papeles"

// otherWriter has another writer send one check-in that lacks fields, under the id of a runner and with another service. No request may be run
// by a service to which no manifest allows it to go.
func otherWriter(ctx context.Context, w *world, trouble bool) (bool, error) {
	if _, err := w.startAll(gateways[1]); err != nil {
		return false, err
	}
	var servers []*server
	// The first one is in the zone of the clients' gateway, and so is likely to get requests.
	for i, number := range []int{9, 8, 10, 11} {
		s := []string{ledgerService, ledgerService, archiveService, archiveService}[i]
		srv, err := w.newServer(ctx, number, fmt.Sprintf("i-%s-%d", s, number), s, controllers)
		if err != nil {
			return false, err
		}
		servers = append(servers, srv)
	}
	if w.submit(ctx, newManifest(ledgerService, archiveService), controllers) == 0 {
		return false, fmt.Errorf("the manifest was not acknowledged")
	}
	w.sleepUntil(trafficFrom)
	if trouble {
		go w.writeCheckIn(servers[0])
	}
	t := w.send(writerUntil, controllers, ledgerService, archiveService)
	wrong := 0
	for _, s := range servers {
		s.mu.Lock()
		for id := range s.ran {
			if t.services[id] != s.service {
				wrong++
			}
		}
		s.mu.Unlock()
	}
	w.record.result("%d of %d requests served; by answer: %v", t.served, t.sent, t.answersByKind)
	w.record.result("%d requests were run by a service to which no manifest allows them to go", wrong)
	if t.served == 0 {
		return false, fmt.Errorf("no request was served")
	}
	return wrong > 0, nil
}

// writeCheckIn sends one check-in that is not from a runner: it lacks version, slots and cold_left_ms.
func (w *world) writeCheckIn(s *server) {
	w.sleepUntil(writerAt)
	body, err := json.Marshal(map[string]any{
		"service": archiveService, "addr": s.address(), "zone": s.zone(), "state": "ready", "seq": 1, "born": time.Now().UnixMilli(),
	})
	if err != nil {
		panic(err)
	}
	status, text := w.post(&http.Client{Timeout: time.Second}, controllers[0], "/api/Instances.Heartbeat/"+s.id, body)
	w.record.line("another writer's check-in for %s of %s: %s is answered %d %s", s.id, s.service, body, status, text)
}
