package main

import (
	"context"
	"net/http"
	"os"
	"sync"
	"time"
)

// grownLosses is the number of machines of the core that a grown deployment has to bear at once, grownControllers the size of its core.
const (
	grownLosses      = 2
	grownControllers = 9
)

// Times of the case. The operator sends from submitFrom on, so that its calls wait at the seeds as the first leader is elected. The machines are back
// lossTime after the loss, and the operator reads back until readTime.
const (
	submitFrom = 500 * time.Millisecond
	lossTime   = time.Second
	readTime   = 40 * time.Second
)

// disksLostAfterFirstManifest has two seeds lose their disks immediately after the first manifest was acknowledged, which is as many as the
// deployment has to bear at once. They are back a second later. It reports whether the manifest can't be read back any more.
func disksLostAfterFirstManifest(ctx context.Context, w *world, trouble bool) (bool, error) {
	w.losses = grownLosses
	machines := map[int]*machine{}
	var control []int
	for i := 1; i <= grownControllers; i++ {
		control = append(control, i)
		machines[i] = w.addMachine(i, roleController)
		if err := machines[i].start(true); err != nil {
			return false, err
		}
	}
	w.sleepUntil(submitFrom)
	w.submitAtOnce(ctx, newManifest(ledgerService))
	if trouble {
		lost := seeds[:grownLosses]
		var kills sync.WaitGroup
		for _, i := range lost {
			kills.Go(machines[i].kill)
		}
		kills.Wait()
		for _, i := range lost {
			if err := os.RemoveAll(machines[i].disk()); err != nil {
				return false, err
			}
			w.record.line("controller %d has lost its disk", i)
		}
		time.Sleep(lossTime)
		for _, i := range lost {
			if err := machines[i].start(false); err != nil {
				return false, err
			}
		}
	}
	return !w.readBack(control), nil
}

// submitAtOnce has the operator send a manifest to all seeds at the same time, again and again, and returns once it is acknowledged.
func (w *world) submitAtOnce(ctx context.Context, m manifest) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	acknowledged := make(chan time.Duration, len(seeds))
	for _, i := range seeds {
		go func() { acknowledged <- w.submit(ctx, m, []int{i}) }()
	}
	<-acknowledged
}

// readBack reads the manifest at all machines until one answers with it, and reports whether one did within readTime.
func (w *world) readBack(control []int) bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	began := time.Now()
	for time.Since(began) < readTime {
		var mu sync.Mutex
		var reads sync.WaitGroup
		found, last := false, ""
		for _, i := range control {
			reads.Go(func() {
				status, text := w.get(client, i, "/api/Config.Get")
				mu.Lock()
				defer mu.Unlock()
				found, last = found || status == http.StatusOK, text
			})
		}
		reads.Wait()
		if found {
			w.record.result("the manifest is read back %.1f s after the machines are back", time.Since(began).Seconds())
			return true
		}
		w.record.line("no machine answers a read of the manifest; one of them: %.200s", last)
		time.Sleep(time.Second)
	}
	w.record.result("the acknowledged manifest is not read back at any of %d machines in %.0f s", len(control), readTime.Seconds())
	return false
}
