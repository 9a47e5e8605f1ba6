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
	"toucanway/core/fleet"
	"toucanway/core/pause"
	"toucanway/core/routes"
	"toucanway/io/controlapi"
)

// Bounds of the origins of streams.
const (
	// recordInterval is the time for which origins are collected before they are sent to their holders.
	recordInterval = 20 * time.Millisecond
	// maxUnrecorded bounds the origins that no holder has taken yet; further streams are only known to this host.
	maxUnrecorded = 4096
	// findTimeout bounds the search for a stream's origin, findInterval is the time between two rounds of questions.
	findTimeout  = time.Second
	findInterval = 200 * time.Millisecond
	// holderPatience is the time for which holders alone are asked, since the leader's answers are few.
	holderPatience = 100 * time.Millisecond
)

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

// askHolders asks the holders of a stream where it has begun, and the leader for the versions of the route's service once a holder doesn't
// know or a while has passed. It returns the first answer that tells, errUnknownOrigin if none does, and errTooFewAnswers if a host that
// has not answered may.
func (v *View) askHolders(ctx context.Context, id fleet.RequestID, r *routes.Route) (affinity.Origin, error) {
	holders := affinity.Holders(id, v.cfg.Client.Members())
	answers := make(chan *controlapi.FindStreamResponse, len(holders))
	versions := make(chan []fleet.SoftwareVersion, 1)
	var calls sync.WaitGroup
	defer calls.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	for _, h := range holders {
		calls.Go(func() {
			// An error means no answer from this holder.
			res, _ := controlapi.CallMember[controlapi.FindStreamRequest, controlapi.FindStreamResponse](ctx, v.cfg.Client, h,
				controlapi.ProcedureFindStream, 0, &controlapi.FindStreamRequest{ID: id})
			answers <- res
		})
	}
	askLeader := sync.OnceFunc(func() { calls.Go(func() { versions <- v.softwareOf(ctx, r.Services[0].Service) }) })
	patience := time.NewTimer(holderPatience)
	defer patience.Stop()
	unknown, others := 0, 0
	for answered, told := 0, false; answered < len(holders) || !told; {
		select {
		case <-ctx.Done():
			return affinity.Origin{}, errTooFewAnswers
		case <-patience.C:
			askLeader()
		case res := <-answers:
			answered++
			switch {
			case res == nil:
			case res.Origin != nil:
				return *res.Origin, nil
			default:
				unknown++
			}
			askLeader()
		case list := <-versions:
			told = true
			if len(list) == 1 && len(r.Services) == 1 {
				return affinity.Origin{Service: r.Services[0].Service, Software: list[0]}, nil
			}
			others = len(list)
		}
	}
	if len(holders) > 0 && unknown == len(holders) && others > 0 {
		return affinity.Origin{}, errUnknownOrigin
	}
	return affinity.Origin{}, errTooFewAnswers
}

// softwareOf asks the leader for the software versions of a service; it returns none if no leader answers.
func (v *View) softwareOf(ctx context.Context, s fleet.ServiceID) []fleet.SoftwareVersion {
	res, err := controlapi.Call[controlapi.SoftwareRequest, controlapi.SoftwareResponse](ctx, v.cfg.Client, controlapi.ProcedureSoftware, 0,
		&controlapi.SoftwareRequest{Service: s})
	if err != nil {
		// findOrigin asks again, and logs that the origin is not known in the end.
		return nil
	}
	return res.Versions
}
