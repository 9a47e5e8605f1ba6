package main

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

// order is one order as it reached an engine.
type order struct {
	at     time.Time
	holder string
	fence  uint64
	op     string
	model  string
	status int
}

// engine is the part of a stand-in for a model engine that takes orders.
type engine struct {
	mu        sync.Mutex
	models    map[string]bool
	accepted  int64
	busyUntil time.Time
	orders    []order
	// onDisk lists the models whose weights are on the engine's disk.
	onDisk []string
}

func (e *engine) copies() []string {
	if e.onDisk == nil {
		return []string{}
	}
	return e.onDisk
}

const engineLoadTime = 500 * time.Millisecond

// loaded returns the loaded models in the form of check-ins and reports.
func (e *engine) loaded() []obj {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := []obj{}
	for m := range e.models {
		out = append(out, obj{"name": m, "version": 1, "adapters": []string{}})
	}
	return out
}

func (e *engine) has(model string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.models[model]
}

func (s *server) serveReport(w http.ResponseWriter) {
	e := s.engine
	models := e.loaded()
	e.mu.Lock()
	defer e.mu.Unlock()
	data, _ := json.Marshal(obj{
		"stage": "both", "models": models, "busy": time.Now().Before(e.busyUntil), "seq": e.accepted, "queued": 0, "active": 0, "kv_used": 0,
		"kv_total": 232000, "handles": 0, "born": s.born, "at_hand": obj{"in_memory": []string{}, "on_disk": e.copies()},
	})
	_, _ = w.Write(data)
}

// serveOrder takes an order: 409 while another one is under way or if the number of orders accepted before differs.
func (s *server) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o struct {
		Op, Model, Holder string
		Expected          int64
		Fence             uint64
	}
	if json.NewDecoder(r.Body).Decode(&o) != nil || o.Holder == "" || o.Fence == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e := s.engine
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	status := http.StatusAccepted
	switch {
	case now.Before(e.busyUntil) || o.Expected != e.accepted:
		status = http.StatusConflict
	case e.models[o.Model] == (o.Op == "load"):
		status = http.StatusOK
	default:
		e.accepted++
		e.busyUntil = now.Add(engineLoadTime)
		time.AfterFunc(engineLoadTime, func() {
			e.mu.Lock()
			defer e.mu.Unlock()
			if o.Op == "load" {
				e.models[o.Model] = true
			} else {
				delete(e.models, o.Model)
			}
		})
	}
	e.orders = append(e.orders, order{now, o.Holder, o.Fence, o.Op, o.Model, status})
	s.d.rec.logf("server %s gets an order: %s %s, expected %d, holder %s, fence %d: answers %d", s.id, o.Op, o.Model, o.Expected, o.Holder, o.Fence, status)
	w.WriteHeader(status)
}
