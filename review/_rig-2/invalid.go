package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// Times of the case with invalid configurations.
const (
	// applyTime is the time after which a configuration must be in force, config_apply_ms of the pages.
	applyTime      = 2500 * time.Millisecond
	invalidTraffic = 100 * time.Millisecond
)

// edited returns a valid configuration after a change.
func edited(version int, models map[string]float64, change func(c map[string]any)) []byte {
	var c map[string]any
	if err := json.Unmarshal(configuration(version, models), &c); err != nil {
		panic(err)
	}
	change(c)
	return encode(c)
}

// playInvalid checks rule CONFIG for a configuration with a route that names an unknown service, and for one without its routes.
func playInvalid(r *run) (bool, error) {
	models := map[string]float64{"m": modelWeights}
	servers, err := r.startServers("ledger", 2, func(_ *server, x *request) bool {
		time.Sleep(workTime)
		return x.success("ran " + x.id)
	})
	defer func() {
		for _, s := range servers {
			s.stop()
		}
	}()
	if err != nil {
		return false, err
	}
	if err := r.awaitRoute("/safe/", ""); err != nil {
		return false, err
	}
	unknown, partial := configuration(2, models), configuration(3, models)
	if r.trouble {
		unknown = edited(2, models, func(c map[string]any) {
			route := c["routes"].([]any)[0].(map[string]any)
			route["service"], route["backends"] = "no-such-service", []any{map[string]any{"service": "ledger", "weight": 1}}
		})
		partial = edited(3, models, func(c map[string]any) { delete(c, "routes") })
	}
	end := make(chan struct{})
	var wg sync.WaitGroup
	var answers [gatewayCount]map[int]int
	for g := range gatewayCount {
		wg.Go(func() { answers[g] = r.countAnswers(g, end) })
	}
	broken := r.sendOnce("a route names an unknown service beside a known one", unknown)
	time.Sleep(applyTime)
	broken = r.sendOnce("the routes are missing", partial) || broken
	time.Sleep(2 * applyTime)
	close(end)
	wg.Wait()
	for g, a := range answers {
		r.record.add("callers: answers of gateway %d by status: %v", g+1, a)
	}
	return broken && r.trouble, nil
}

// sendOnce sends a configuration once and reports whether it was acknowledged.
func (r *run) sendOnce(what string, configuration []byte) bool {
	if !r.trouble {
		what = "a valid change"
	}
	to := r.control()[0]
	status, _, err := call(http.MethodPost, to, "/api/Config.Replace", configuration)
	r.record.add("operator: sends to %s a configuration in which %s (%d bytes): status %d, error %v", to, what, len(configuration), status, err)
	time.Sleep(applyTime)
	_, data, err := call(http.MethodGet, to, "/api/Config.Get", nil)
	r.record.add("operator: reads %.60q, error %v", data, err)
	return err == nil && status == http.StatusOK
}

// countAnswers sends sound requests to a gateway until the end and counts the answers by status.
func (r *run) countAnswers(g int, end <-chan struct{}) map[int]int {
	out := map[int]int{}
	for n := 1; ; n++ {
		select {
		case <-end:
			return out
		case <-time.After(invalidTraffic):
		}
		id := fmt.Sprintf("sound-%d-%d", g+1, n)
		res := do(r.callersAddress(g), http.MethodGet, "/safe/price", id, time.Second, "", "")
		if out[res.status]++; out[res.status] == 1 {
			r.record.add("caller: %s: %v, the first one with this status", id, res)
		}
	}
}
