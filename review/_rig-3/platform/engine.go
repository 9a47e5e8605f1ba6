package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// engineSpec is the engine of a service in the manifest.
type engineSpec struct {
	Slots        int     `json:"slots"`
	KVCapacity   int     `json:"kv_capacity"`
	WeightsMB    float64 `json:"weights_mb"`
	AdapterSlots int     `json:"adapter_slots"`
	LoadsPerS    float64 `json:"loads_per_s"`
	Models       []model `json:"models"`
}

type model struct {
	Name      string  `json:"name"`
	WeightsMB float64 `json:"weights_mb"`
	LoadS     float64 `json:"load_s"`
	Adapters  int     `json:"adapters"`
	AdapterMB float64 `json:"adapter_mb"`
	WarmS     float64 `json:"warm_s"`
	DiskS     float64 `json:"disk_s"`
}

// Times of a model runner: those of a load from its disk, and the age of its reports.
const (
	diskLoadTime = 400 * time.Millisecond
	reportAge    = 200 * time.Millisecond
)

// order is an order as it has reached an engine.
type order struct {
	Op       string `json:"op"`
	Model    string `json:"model"`
	Expected int64  `json:"expected"`
	Holder   string `json:"holder"`
	Fence    uint64 `json:"fence"`

	at time.Time
}

// engine is a model runner with copies of all models on its disk. It ignores fences.
type engine struct {
	world   *world
	id      string
	number  int
	address string
	born    int64

	mu      sync.Mutex
	loaded  []string
	loading bool
	seq     int64
	orders  []order
	// reports holds what the engine says of itself, the latest last.
	reports []timedReport
}

type timedReport struct {
	at   time.Time
	body []byte
}

// newEngine starts a model runner that has loaded one model. Other machines reach it at an address that may be that of a link.
func (w *world) newEngine(ctx context.Context, number int, id, address, loaded string, control []int) (*engine, error) {
	e := &engine{world: w, id: id, number: number, address: address, born: time.Now().UnixMilli(), loaded: []string{loaded}}
	e.record()
	l, err := net.Listen("tcp", w.network.address(number, portServer))
	if err != nil {
		return nil, err
	}
	go func() {
		// It ends with the process.
		_ = (&http.Server{Handler: e}).Serve(l)
	}()
	go e.checkIn(ctx, control)
	return e, nil
}

// state returns what the engine says of itself; e.mu is held.
func (e *engine) state() map[string]any {
	models := []map[string]any{}
	for _, name := range e.loaded {
		models = append(models, map[string]any{"name": name, "version": 1, "adapters": []string{}})
	}
	return map[string]any{
		"stage": "both", "models": models, "busy": e.loading, "seq": e.seq, "queued": 0, "active": 0, "kv_used": 0, "kv_total": 232000, "handles": 0,
		"born": e.born, "at_hand": map[string]any{"in_memory": []string{}, "on_disk": modelNames()},
	}
}

// record keeps a report of the present state; e.mu is held, or the engine is not in use yet.
func (e *engine) record() {
	body, err := json.Marshal(e.state())
	if err != nil {
		panic(err)
	}
	e.reports = append(e.reports, timedReport{time.Now(), body})
}

// report returns a report of the state as of some time ago.
func (e *engine) report() []byte {
	e.mu.Lock()
	defer e.mu.Unlock()
	body := e.reports[0].body
	for _, r := range e.reports {
		if time.Since(r.at) >= reportAge {
			body = r.body
		}
	}
	return body
}

// ServeHTTP answers calls and requests.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	id := r.Header.Get("X-Request-Id")
	if id != "" {
		w.Header().Set("X-Request-Id", id)
	}
	switch target := r.Header.Get("X-Target-Instance"); {
	case err != nil:
	case target != "" && target != e.id:
		w.Header().Set("X-Not-Run", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
	case r.URL.Path == "/api/report":
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write(e.report())
	case r.URL.Path == "/api/order":
		w.WriteHeader(e.accept(body))
	default:
		e.run(w, r, id)
	}
}

// accept takes an order and returns the status of its answer.
func (e *engine) accept(body []byte) int {
	var o order
	if json.Unmarshal(body, &o) != nil || o.Holder == "" || o.Fence == 0 {
		return http.StatusBadRequest
	}
	o.at = time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.orders = append(e.orders, o)
	status := http.StatusAccepted
	switch has := slices.Contains(e.loaded, o.Model); {
	case e.loading, o.Expected != e.seq:
		status = http.StatusConflict
	case has == (o.Op == "load"):
		status = http.StatusOK
	case o.Op == "unload":
		e.seq++
		e.loaded = slices.DeleteFunc(e.loaded, func(m string) bool { return m == o.Model })
	default:
		e.seq++
		e.loading = true
		time.AfterFunc(diskLoadTime, func() {
			e.mu.Lock()
			defer e.mu.Unlock()
			e.loading, e.loaded = false, append(e.loaded, o.Model)
			e.record()
		})
	}
	e.record()
	e.world.record.line("order to %s: %s %s, holder %s, fence %d, expected %d; answered %d", e.id, o.Op, o.Model, o.Holder, o.Fence, o.Expected, status)
	return status
}

// run streams the answer to a request for a model that is loaded.
func (e *engine) run(w http.ResponseWriter, r *http.Request, id string) {
	name, _, _ := strings.Cut(r.Header.Get("X-Model"), "/")
	e.mu.Lock()
	has := slices.Contains(e.loaded, name)
	e.mu.Unlock()
	if !has {
		w.Header().Set("X-Not-Run", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.Header().Set("X-Response-Stamp", "stamp."+e.id+"."+id)
	w.Header().Set("Content-Type", "text/event-stream")
	for i := 1; i <= 5; i++ {
		fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, id)
		// The library's writer always flushes.
		w.(http.Flusher).Flush()
		time.Sleep(serverWork)
	}
}

// checkIn sends check-ins until the context ends; one that is not acknowledged goes to the next machine.
func (e *engine) checkIn(ctx context.Context, control []int) {
	client := &http.Client{Timeout: time.Second}
	next := e.number
	for seq := 1; ctx.Err() == nil; seq++ {
		e.mu.Lock()
		m := e.state()
		e.mu.Unlock()
		for k, v := range map[string]any{
			"service": modelService, "addr": e.address, "zone": zones[e.number%len(zones)] + "-a", "version": "v1", "slots": 64, "state": "ready",
			"cold_left_ms": 0, "seq": seq,
		} {
			m[k] = v
		}
		body, err := json.Marshal(m)
		if err != nil {
			panic(err)
		}
		for range control {
			if status, _ := e.world.post(client, control[next%len(control)], "/api/Instances.Heartbeat/"+e.id, body); status == http.StatusOK {
				break
			}
			next++
		}
		time.Sleep(heartbeatInterval)
	}
}
