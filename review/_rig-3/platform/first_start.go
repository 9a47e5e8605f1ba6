package main

import (
	"context"
	"slices"
	"time"
)

// Times of the cases of a first start, after the start of the first machine.
const (
	// killAt is the time at which all processes of the core are killed, returnAt the one at which they are started again.
	killAt   = 300 * time.Millisecond
	returnAt = 900 * time.Millisecond
	// replaceAt is the time at which an empty machine comes in place of the one that is lost.
	replaceAt = 2 * time.Second
	// trafficFrom and trafficUntil bound the time in which clients send requests.
	trafficFrom  = 10 * time.Second
	trafficUntil = 60 * time.Second
)

const ledgerService = "papeles-trabajo"

// killedAtFirstStart kills all processes of the core at the same moment while the system starts for the first time. They are back within a
// second, with their disks.
func killedAtFirstStart(ctx context.Context, w *world, trouble bool) (bool, error) {
	machines, err := w.startAll(gateways[1])
	if err != nil {
		return false, err
	}
	if trouble {
		w.sleepUntil(killAt)
		for _, i := range controllers {
			machines[i].kill()
		}
		w.sleepUntil(returnAt)
		for _, i := range controllers {
			if err := machines[i].start(false); err != nil {
				return false, err
			}
		}
	}
	return w.isNeverServed(ctx, controllers)
}

// seedLostAtStart loses one machine of the core for good as it starts for the first time. An empty machine comes in its place, at another
// address.
func seedLostAtStart(ctx context.Context, w *world, trouble bool) (bool, error) {
	control := controllers
	lost := seeds[len(seeds)-1]
	machines, err := w.startAll(lost)
	if err != nil {
		return false, err
	}
	if trouble {
		machines[lost].kill()
		w.sleepUntil(replaceAt)
		const successor = 8
		if err := w.addMachine(successor, roleController).start(false); err != nil {
			return false, err
		}
		control = append(slices.DeleteFunc(slices.Clone(controllers), func(i int) bool { return i == lost }), successor)
	}
	return w.isNeverServed(ctx, control)
}

// isNeverServed has runners report themselves, the operator send its first manifest and clients send requests. It reports whether no request
// is served.
func (w *world) isNeverServed(ctx context.Context, control []int) (bool, error) {
	for number, id := range map[int]string{9: "i-papeles-1", 10: "i-papeles-2", 11: "i-papeles-3"} {
		if _, err := w.newServer(ctx, number, id, ledgerService, control); err != nil {
			return false, err
		}
	}
	operator, cancel := context.WithCancel(ctx)
	defer cancel()
	acknowledged := make(chan time.Duration, 1)
	go func() { acknowledged <- w.submit(operator, newManifest(ledgerService), control) }()
	w.sleepUntil(trafficFrom)
	t := w.send(trafficUntil, control, ledgerService)
	cancel()
	if at := <-acknowledged; at > 0 {
		w.record.result("the manifest was acknowledged after %.1f s", at.Seconds())
	} else {
		w.record.result("the manifest was not acknowledged in %.0f s", trafficUntil.Seconds())
	}
	w.record.result("%d of %d requests served; by answer: %v", t.served, t.sent, t.answersByKind)
	return t.served == 0, nil
}
