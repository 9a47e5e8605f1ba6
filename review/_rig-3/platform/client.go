package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Time limit and number of clients' requests.
const (
	clientDeadline  = 1200 * time.Millisecond
	requestInterval = 100 * time.Millisecond
)

// traffic holds what clients have sent and got.
type traffic struct {
	world *world

	mu            sync.Mutex
	sent, served  int
	services      map[string]string
	answersByKind map[string]int
}

// send sends requests to the routes of services in turn until a time after the start of the case, and returns once all have ended.
func (w *world) send(until time.Duration, directories []int, services ...string) *traffic {
	t := &traffic{world: w, services: map[string]string{}, answersByKind: map[string]int{}}
	var requests sync.WaitGroup
	for i := 0; time.Since(w.record.began) < until; i++ {
		service := services[i%len(services)]
		id := fmt.Sprintf("%s-%04d", service, i)
		t.mu.Lock()
		t.sent++
		t.services[id] = service
		t.mu.Unlock()
		requests.Go(func() { t.request(id, service, directories) })
		time.Sleep(requestInterval)
	}
	requests.Wait()
	return t
}

// request sends one request, on a new connection to a front machine that a directory names.
func (t *traffic) request(id, service string, directories []int) {
	w := t.world
	client := &http.Client{Timeout: clientDeadline, Transport: &http.Transport{DisableKeepAlives: true}}
	address := w.resolve(client, directories)
	if address == "" {
		t.ended(id, "no directory names a front machine", false)
		return
	}
	body := "muestra " + id
	req, err := http.NewRequest(http.MethodPost, "http://"+address+"/"+service+"/a", strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	req.Host = callerHost
	req.Header.Set("X-Request-Id", id)
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(clientDeadline.Milliseconds()))
	w.record.line("request %s sent to %s", id, address)
	res, err := client.Do(req)
	if err != nil {
		t.ended(id, "no answer", false)
		return
	}
	defer res.Body.Close()
	text, err := io.ReadAll(res.Body)
	answer := fmt.Sprintf("%d %s", res.StatusCode, strings.TrimSpace(string(text)))
	t.ended(id, answer, err == nil && res.StatusCode == http.StatusOK && res.Header.Get("X-Response-Stamp") != "")
}

func (t *traffic) ended(id, answer string, served bool) {
	t.world.record.line("request %s ends: %s", id, answer)
	t.mu.Lock()
	defer t.mu.Unlock()
	if served {
		t.served++
		answer = "served"
	}
	t.answersByKind[answer]++
}

// resolve asks up to three directories for a front machine; it returns none if none names any.
func (w *world) resolve(client *http.Client, directories []int) string {
	for _, i := range rand.Perm(len(directories))[:min(3, len(directories))] {
		url := "http://" + w.network.address(directories[i], portDirectory) + "/api/resolve?name=" + callerHost + "&region=centro&zone=centro-a"
		res, err := client.Get(url)
		if err != nil {
			continue
		}
		var m struct {
			Addresses []string `json:"addrs"`
		}
		err = json.NewDecoder(res.Body).Decode(&m)
		res.Body.Close()
		if err == nil && res.StatusCode == http.StatusOK && len(m.Addresses) > 0 {
			return m.Addresses[rand.IntN(len(m.Addresses))]
		}
	}
	return ""
}
