package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"
)

// Times of the case of a late order. The order is held up by a cut of cutTime; TCP sends it again retransmitAfter later, since its pauses between
// two tries double from 224 ms, with 24 ms for the round trip between regions (0.22, 0.67 and 1.57 s after the first try).
const (
	cutTime         = 700 * time.Millisecond
	retransmitAfter = 870 * time.Millisecond
	leaderDownTime  = 100 * time.Millisecond
	// thawTime is the platform's thaw_ms.
	thawTime = 300 * time.Millisecond
	// askFrom is the time of the first requests, about a second before a check-in of the engine, without which the next leader knows of no engine.
	askFrom        = trafficFrom + 500*time.Millisecond
	lateOrderUntil = 24 * time.Second
)

const modelService = "modelos-auditoria"

func modelNames() []string {
	return []string{"daka510000", "baje902d12", "kade1464c7", "gohu274f81", "tira90eaba", "seny3226f", "boda295a24"}
}

// lateOrder cuts the link to an engine as an order is on its way, and kills the process that has sent it, which is restarted. It reports whether
// the engine gets an order with a lower fence after one with a higher fence, other than in the thaw time after the cut.
func lateOrder(ctx context.Context, w *world, trouble bool) (bool, error) {
	machines, err := w.startAll(gateways[1])
	if err != nil {
		return false, err
	}
	const number, linkNumber = 8, 9
	k, err := newLink(w.network.address(linkNumber, portServer), w.network.address(number, portServer))
	if err != nil {
		return false, err
	}
	e, err := w.newEngine(ctx, number, "i-modelos-1", w.network.address(linkNumber, portServer), modelNames()[0], controllers)
	if err != nil {
		return false, err
	}
	if w.submit(ctx, modelManifest(), controllers) == 0 {
		return false, fmt.Errorf("the manifest was not acknowledged")
	}
	w.sleepUntil(askFrom)
	var healed time.Time
	events := make(chan order, 1)
	if trouble {
		k.onOrder = func(b []byte) {
			k.cut()
			_, body, _ := bytes.Cut(b, []byte("\r\n\r\n"))
			var o order
			// An order whose body comes later has no holder, which ends the case below.
			_ = json.Unmarshal(body, &o)
			events <- o
		}
	}
	go w.askFor(ctx, controllers)
	if trouble {
		select {
		case o := <-events:
			w.record.line("the link to %s is cut; an order of %s with fence %d is on its way", e.id, o.Holder, o.Fence)
			began := time.Now()
			leader := w.machineAt(machines, o.Holder)
			if leader == nil {
				return false, fmt.Errorf("the order names no holder: %+v", o)
			}
			leader.kill()
			time.Sleep(leaderDownTime)
			if err := leader.start(false); err != nil {
				return false, err
			}
			time.Sleep(time.Until(began.Add(cutTime)))
			k.heal()
			healed = time.Now()
			w.record.line("the link is healed")
		case <-time.After(lateOrderUntil):
			return false, fmt.Errorf("no order was sent")
		}
	}
	w.sleepUntil(lateOrderUntil)
	e.mu.Lock()
	defer e.mu.Unlock()
	highest, broken := order{}, 0
	for _, o := range e.orders {
		isExcused := !healed.IsZero() && o.at.After(healed) && o.at.Before(healed.Add(thawTime))
		if o.Fence < highest.Fence && !isExcused {
			broken++
			w.record.result("an order with fence %d arrives %.0f ms after one with fence %d, and %.0f ms after the end of the cut",
				o.Fence, float64(o.at.Sub(highest.at).Milliseconds()), highest.Fence, float64(o.at.Sub(healed).Milliseconds()))
		}
		if o.Fence >= highest.Fence {
			highest = o
		}
	}
	w.record.result("%d orders reached the engine, %d with a lower fence after a higher one", len(e.orders), broken)
	if len(e.orders) == 0 {
		return false, fmt.Errorf("no order was sent")
	}
	return broken > 0, nil
}

// modelManifest returns a manifest with one service of engines.
func modelManifest() manifest {
	m := newManifest()
	spec := &engineSpec{Slots: 64, KVCapacity: 232000, WeightsMB: 140000, AdapterSlots: 8, LoadsPerS: 4.2}
	for _, name := range modelNames() {
		spec.Models = append(spec.Models, model{Name: name, WeightsMB: 34300, LoadS: 6, AdapterMB: 40, WarmS: 0.28, DiskS: 0.4})
	}
	m.Services = []service{{Name: modelService, HealthPath: "/healthz", MaxConns: 370, Protocol: "h1", Engine: spec}}
	m.Routes = []route{{
		Name: "r-" + modelService, Host: callerHost, Prefix: "/" + modelService + "/", Kind: "streaming", Timeout: 15000, Objective: 2500, Priority: 1,
		Service: modelService, MaxAttempts: 1, Sticky: true, GapTarget: 400,
	}}
	return m
}

// machineAt returns the machine with an address, or nil.
func (w *world) machineAt(machines map[int]*machine, ip string) *machine {
	for i, m := range machines {
		if w.network.ip(i) == ip {
			return m
		}
	}
	return nil
}

// askFor sends requests for models that are not loaded, until the context ends.
func (w *world) askFor(ctx context.Context, directories []int) {
	client := &http.Client{Timeout: 15 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for i := 0; ctx.Err() == nil; i++ {
		name := modelNames()[1+i%6]
		address := w.resolve(client, directories)
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/"+modelService+"/a", strings.NewReader("prompt"))
		if err == nil && address != "" {
			req.Host = callerHost
			req.Header.Set("X-Request-Id", fmt.Sprintf("m-%d", i))
			req.Header.Set("X-Deadline-Ms", "15000")
			req.Header.Set("X-Model", name)
			req.Header.Set("X-Token-Count", "800,80")
			req.Header.Set("X-Prompt-Prefix", fmt.Sprintf("5c1e07a2:400,%08x:400", i))
			go w.ask(client, req, name)
		}
		time.Sleep(requestInterval)
	}
}

func (w *world) ask(client *http.Client, req *http.Request, name string) {
	id := req.Header.Get("X-Request-Id")
	res, err := client.Do(req)
	if err != nil {
		w.record.line("request %s for %s ends without an answer", id, name)
		return
	}
	defer res.Body.Close()
	w.record.line("request %s for %s is answered %d", id, name, res.StatusCode)
}
