package gateway

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"toucanway/core/affinity"
	"toucanway/core/balance"
	"toucanway/core/fleet"
	"toucanway/core/pause"
	"toucanway/core/routes"
	"toucanway/io/controlapi"
)

// Log messages of streams that callers take up again.
const (
	logOrigin      = "stream is taken up again"
	logOriginsLost = "origins of streams cannot be recorded; they cannot be taken up again at other hosts"
)

// errUnknownOrigin means that a stream can't go on, since a server of another software version may have begun it.
var errUnknownOrigin = Errors.NewType("unknown-origin").New("the stream can't go on: it is not known which software version of the service began it")

// errNoSoftware means that no server of the software version is left that has begun a stream.
var errNoSoftware = Errors.NewType("no-software").New("the stream can't go on: no server of the software version that began it takes requests")

// Bounds of the origins of streams.
const (
	// recordInterval is the time for which origins are collected before they are sent to their holders.
	recordInterval = 20 * time.Millisecond
	// maxUnrecorded bounds the origins that no holder has taken yet; further streams are only known to this host.
	maxUnrecorded = 4096
	// findTimeout bounds the search for a stream's origin, findInterval is the time between two rounds of questions.
	findTimeout  = time.Second
	findInterval = 200 * time.Millisecond
)

// constraint limits the servers that can take a request; the zero value allows all.
type constraint struct {
	// excluded holds the servers that the request must not be sent to again.
	excluded map[fleet.BackendID]bool
	// software is the software version of the servers that can go on with the request's stream; nil for any.
	software *fleet.SoftwareVersion
	// unlimited is set if servers with a rate limit don't count, since none may be granted.
	unlimited bool
}

// allowsSoftware reports whether a server of a software version can take the request.
func (c constraint) allowsSoftware(v fleet.SoftwareVersion) bool {
	return c.software == nil || *c.software == v
}

// constraint returns what limits the servers that can take the request, with the servers that it must not be sent to again.
func (x *exchange) constraint(excluded map[fleet.BackendID]bool) constraint {
	return constraint{excluded: excluded, software: x.software.Load()}
}

// isTakenUp reports whether the request takes up a stream of an earlier try of its caller.
func (x *exchange) isTakenUp() bool { return x.route.Resumable && x.info.LastEvent != "" }

// bindToOrigin finds out where the stream has begun that the request takes up, and binds the request to that service and version.
func (x *exchange) bindToOrigin() error {
	o, known := x.proxy.view.findOrigin(x.ctx, x.info.Resumes, x.route)
	x.proxy.cfg.Log.Info(logOrigin, zap.String("request", string(x.info.ID)), zap.String("resumes", string(x.info.Resumes)),
		zap.String("last-event", x.info.LastEvent), zap.Bool("known", known), zap.String("service", string(o.Service)),
		zap.String("software", string(o.Software)), zap.Duration("took-ms", time.Since(x.began)))
	if !known {
		return errUnknownOrigin
	}
	x.service = o.Service
	x.software.Store(&o.Software)
	if !x.proxy.view.canServe(o.Service, x.constraint(nil)) {
		return errNoSoftware
	}
	return nil
}

// bindToServer binds the request's stream to the software version of the server that sends its first event. The first events are recorded
// for other hosts, where the caller may take the stream up again.
func (x *exchange) bindToServer() {
	if x.software.Load() != nil {
		return
	}
	v := x.server.Software
	x.software.Store(&v)
	if x.route.Resumable {
		x.proxy.view.recordOrigin(x.info.ID, affinity.Origin{Service: x.service, Software: v})
	}
}

// recordOrigin records the origin of a stream on this host, and soon at its holders.
func (v *View) recordOrigin(id fleet.RequestID, o affinity.Origin) {
	v.mu.Lock()
	v.origins.Add(time.Now(), id, o)
	if len(v.unrecorded) < maxUnrecorded {
		v.unrecorded = append(v.unrecorded, controlapi.Stream{ID: id, Origin: o})
	}
	v.mu.Unlock()
	select {
	case v.recordNow <- struct{}{}:
	default:
	}
}

// recordLoop sends the origins of new streams to their holders until the context ends.
func (v *View) recordLoop(ctx context.Context) error {
	lost := false
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-v.recordNow:
		}
		if pause.For(ctx, recordInterval) != nil {
			return nil
		}
		v.mu.Lock()
		streams := v.unrecorded
		v.unrecorded = nil
		v.mu.Unlock()
		left := v.sendOrigins(ctx, streams)
		if (len(left) > 0) != lost {
			if lost = !lost; lost {
				v.cfg.Log.Warn(logOriginsLost, zap.Int("streams", len(left)))
			}
		}
		if len(left) == 0 {
			continue
		}
		if pause.For(ctx, reportRetryDelay) != nil {
			return nil
		}
		v.mu.Lock()
		v.unrecorded = append(left[:min(len(left), maxUnrecorded)], v.unrecorded...)
		v.mu.Unlock()
		select {
		case v.recordNow <- struct{}{}:
		default:
		}
	}
}

// sendOrigins sends origins to their holders, and returns those that no holder has taken.
func (v *View) sendOrigins(ctx context.Context, streams []controlapi.Stream) []controlapi.Stream {
	members := v.cfg.Client.Members()
	byHolder := map[fleet.HostID][]controlapi.Stream{}
	for _, s := range streams {
		for _, h := range affinity.Holders(s.ID, members) {
			byHolder[h] = append(byHolder[h], s)
		}
	}
	taken := make(chan []controlapi.Stream, len(byHolder))
	var eg errgroup.Group
	for h, list := range byHolder {
		eg.Go(func() error {
			_, err := controlapi.CallMember[controlapi.RecordStreamsRequest, controlapi.RecordStreamsResponse](ctx, v.cfg.Client, h,
				controlapi.ProcedureRecordStreams, 0, &controlapi.RecordStreamsRequest{Streams: list})
			if err == nil {
				taken <- list
			}
			return nil
		})
	}
	_ = eg.Wait()
	close(taken)
	held := map[fleet.RequestID]bool{}
	for list := range taken {
		for _, s := range list {
			held[s.ID] = true
		}
	}
	return slices.DeleteFunc(streams, func(s controlapi.Stream) bool { return held[s.ID] })
}

// findOrigin returns where a stream of a route has begun, and whether that is known: from this host, from a holder, or since the route's
// service has one software version only. It asks again for a time while too few members answer.
func (v *View) findOrigin(ctx context.Context, id fleet.RequestID, r *routes.Route) (affinity.Origin, bool) {
	v.mu.Lock()
	o, known := v.origins.Find(time.Now(), id)
	v.mu.Unlock()
	if known {
		return o, r.HasService(o.Service)
	}
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	for {
		o, err := v.askHolders(ctx, id, r)
		switch {
		case err == nil:
			return o, r.HasService(o.Service)
		case errors.Is(err, errUnknownOrigin):
			return affinity.Origin{}, false
		}
		if pause.For(ctx, findInterval) != nil {
			return affinity.Origin{}, false
		}
	}
}

// errTooFewAnswers means that a holder that has not answered may know the origin of a stream.
var errTooFewAnswers = Errors.NewType("too-few-answers").New("too few members of the control group tell what they know of the stream")

// askHolders asks the holders of a stream where it has begun, and returns the first answer that tells. It returns errUnknownOrigin if all
// of them know that nobody can tell, and errTooFewAnswers if one of them may not know yet.
func (v *View) askHolders(ctx context.Context, id fleet.RequestID, r *routes.Route) (affinity.Origin, error) {
	service := r.Services[0].Service
	holders := affinity.Holders(id, v.cfg.Client.Members())
	answers := make(chan *controlapi.FindStreamResponse, len(holders))
	var calls sync.WaitGroup
	defer calls.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	for _, h := range holders {
		calls.Go(func() {
			// An error means no answer from this holder.
			res, _ := controlapi.CallMember[controlapi.FindStreamRequest, controlapi.FindStreamResponse](ctx, v.cfg.Client, h,
				controlapi.ProcedureFindStream, 0, &controlapi.FindStreamRequest{ID: id, Service: service})
			answers <- res
		})
	}
	unknown := 0
	for range holders {
		select {
		case <-ctx.Done():
			return affinity.Origin{}, errTooFewAnswers
		case res := <-answers:
			switch {
			case res == nil || res.Origin == nil && len(res.Software) == 0:
			case res.Origin != nil:
				return *res.Origin, nil
			case len(res.Software) == 1 && len(r.Services) == 1:
				return affinity.Origin{Service: service, Software: res.Software[0]}, nil
			default:
				unknown++
			}
		}
	}
	if len(holders) > 0 && unknown == len(holders) {
		return affinity.Origin{}, errUnknownOrigin
	}
	return affinity.Origin{}, errTooFewAnswers
}

// canServe reports whether a service has a server that can take requests within a constraint, now or once a model is loaded there.
func (v *View) canServe(service fleet.ServiceID, k constraint) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return len(v.eligible(time.Now(), service, &balance.Request{Plain: true}, k)) > 0
}
