package gateway

import (
	"context"
	"maps"
	"math"
	"sync"
	"time"

	"toucanway/core/fleet"
)

// stallWatch looks for another server that goes on with a stream whose server makes no event. The present server is given up only once another
// one has accepted the request: it may be sound and only slow, and another server that is known may be full or gone. A stream that cannot go
// on elsewhere is left alone until its caller leaves or its deadline passes.
type stallWatch struct {
	x *exchange
	// timeout is the time without an event after which another server is tried.
	timeout time.Duration
	// giveUp ends the attempt at the present server with a cause.
	giveUp context.CancelCauseFunc
	timer  *time.Timer
	// tries counts the attempts at other servers that are under way, of which there is one at most.
	tries sync.WaitGroup

	mu sync.Mutex
	// tried holds the servers that may have run the request.
	tried map[fleet.BackendID]bool
	// lastEvent is the id of the last forwarded event.
	lastEvent string
	// endTry ends the attempt at another server that is under way; nil if there is none.
	endTry context.CancelFunc
	// ended holds the attempts at other servers that were not accepted.
	ended []*successor
	// accepted is the server that goes on with the stream, nil if there is none yet.
	accepted *successor
	// suspended is set while no server can go on with the stream, stopped once no further server is to be tried.
	suspended, stopped bool
}

const (
	// successorRetryShare divides the timeout of a stallWatch to get the time from one attempt at another server to the next.
	successorRetryShare = 4
	// maxSuccessors bounds the attempts of one watch that were not accepted. Callers that leave a silent stream have left before.
	maxSuccessors = 8
)

// watchStall begins a watch of an attempt at a server, which giveUp ends. The returned function ends the watch; it must be called with whether the
// attempt has failed.
func (x *exchange) watchStall(id fleet.BackendID, giveUp context.CancelCauseFunc) (stop func(failed bool)) {
	tried := maps.Clone(x.triedServers)
	tried[id] = true
	x.stall = nil
	if !x.route.Resumable || x.isTrial || len(tried) >= x.route.MaxAttempts {
		return func(bool) {}
	}
	w := &stallWatch{x: x, timeout: streamPatience(x.route) / stallShare, giveUp: giveUp, tried: tried, lastEvent: x.stream.lastEventID}
	// Started only once timer is assigned, since the function uses it.
	w.timer = time.AfterFunc(math.MaxInt64, w.tryOther)
	w.timer.Reset(w.timeout)
	x.stall = w
	return w.stop
}

// tryOther tries another server once, and gives the present one up if the other one accepts the request.
func (w *stallWatch) tryOther() {
	w.mu.Lock()
	if w.stopped || w.suspended || w.endTry != nil || len(w.ended) >= maxSuccessors || len(w.tried) >= w.x.route.MaxAttempts {
		w.mu.Unlock()
		return
	}
	ctx, end := context.WithCancelCause(w.x.ctx)
	w.endTry = func() { end(nil) }
	tried, lastEvent := maps.Clone(w.tried), w.lastEvent
	w.tries.Add(1)
	w.mu.Unlock()
	defer w.tries.Done()
	s := w.x.trySuccessor(ctx, end, tried, lastEvent)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.endTry = nil
	if s != nil && s.upstream != nil && ctx.Err() == nil {
		w.accepted = s
		w.giveUp(errStalled)
		return
	}
	if s != nil {
		s.abandon()
		w.ended = append(w.ended, s)
		if s.mayHaveRun {
			w.tried[s.c.instance.ID] = true
		}
	}
	end(nil)
	if !w.stopped {
		w.timer.Reset(w.timeout / successorRetryShare)
	}
}

// progress records an event of the present server, with the id behind which another one would go on. It returns false if another server has
// accepted the request already; the event must then not be forwarded.
func (w *stallWatch) progress(lastEvent string) bool {
	if w == nil {
		return true
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.accepted != nil {
		return false
	}
	w.lastEvent, w.suspended = lastEvent, false
	w.cancelTry()
	w.timer.Reset(w.timeout)
	return true
}

// suspend ends the watch until the next progress, since no other server can go on with the stream. It returns false if another server has
// accepted the request already.
func (w *stallWatch) suspend() bool {
	if w == nil {
		return true
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.accepted != nil {
		return false
	}
	w.suspended = true
	w.cancelTry()
	return true
}

// cancelTry ends the attempt at another server that is under way, if there is one; w.mu is held.
func (w *stallWatch) cancelTry() {
	if w.endTry != nil {
		w.endTry()
	}
}

// stop ends the watch, and passes on what has become of the attempts at other servers. If the present server has failed, it waits for the one
// that is under way.
func (w *stallWatch) stop(failed bool) {
	w.mu.Lock()
	w.stopped = true
	w.timer.Stop()
	if failed {
		defer time.AfterFunc(w.timeout, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.cancelTry()
		}).Stop()
	} else {
		w.cancelTry()
	}
	w.mu.Unlock()
	w.tries.Wait()
	for _, s := range w.ended {
		w.x.recordSuccessor(s)
	}
	w.x.successor = w.accepted
}
