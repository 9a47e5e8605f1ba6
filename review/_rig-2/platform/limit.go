package main

import (
	"fmt"
	"net/http"
	"time"
)

// Models of the case with a retired model, with their weights in MB. The engine holds a and b at first. The second configuration declares two
// new models, and with trouble no longer declares b.
var (
	modelsBefore = map[string]float64{"a": 34300, "b": 65500}
	modelsAdded  = map[string]float64{"a": 34300, "b": 65500, "c": 34300, "d": 34300}
	modelsAfter  = map[string]float64{"a": 34300, "c": 34300, "d": 34300}
)

// Times of the case.
const (
	modelDeadline = 17 * time.Second
	modelTries    = 3
)

// playLimit checks rule LIMIT after a configuration that no longer declares a model which an engine holds.
func playLimit(r *run) (bool, error) {
	e := r.newEngine(1, modelsAdded, engineRoom, "a", "b")
	e.onDisk = []string{"a", "b"}
	if err := e.start(); err != nil {
		return false, err
	}
	defer e.stop()
	if err := r.awaitRoute("/stream/", modelHeaders("a")); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	models := modelsAdded
	if r.trouble {
		models = modelsAfter
	}
	r.record.add("operator: sends configuration 2 with the models %v", models)
	if err := r.submit(configuration(2, models), formTimeout); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	for _, m := range []string{"c", "d"} {
		for n := range modelTries {
			id := fmt.Sprintf("model-%s-%d", m, n+1)
			res := do(r.callersAddress(0), http.MethodPost, "/stream/memo", id, modelDeadline, modelHeaders(m), "b")
			r.record.add("caller: %s for model %s: %v", id, m, res)
			if res.status == http.StatusOK || e.wasOverfilled() {
				break
			}
		}
		time.Sleep(2 * time.Second)
	}
	return e.wasOverfilled(), nil
}

// modelHeaders are the headers of a request for a model.
func modelHeaders(model string) string {
	return "X-Model: " + model + "\r\nX-Token-Count: 100,80\r\nX-Prompt-Prefix: a1:50,b2:50\r\n"
}
