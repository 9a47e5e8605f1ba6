package entry

import (
	"context"
	"time"

	"go.uber.org/zap"

	"toucanway/core/control"
	"toucanway/core/fleet"
	"toucanway/io/operators"
)

const (
	defaultAddressLifetime = 5 * time.Second
	leaveTimeout           = 2 * time.Second
)

// Log messages about start and stop of the host.
const (
	logStarted      = "host started"
	logStopped      = "host stopped"
	logDrainStarted = "drain started"
	logDrainBound   = "drain bound reached"
)

// waitDrain waits until ctx ends or an operator drains this host, and then returns true. It returns false if partsCtx
// ends first.
func (h *Host) waitDrain(partsCtx, ctx context.Context) bool {
	for {
		changed := h.follower.Changed()
		own, drained := h.follower.Incarnation(), false
		h.follower.Read(func(s *control.State) {
			v, ok := s.Session(h.cfg.ID)
			drained = ok && v.Draining && v.Incarnation == own
		})
		if drained {
			return true
		}
		select {
		case <-partsCtx.Done():
			return false
		case <-ctx.Done():
			return true
		case <-changed:
		}
	}
}

// drain stops giving this host's address to callers and waits until the addresses given earlier have expired. Then it refuses
// new requests and waits for those in flight. All of this ends at the drain bound.
func (h *Host) drain(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, h.drainBound())
	defer cancel()
	h.draining.Store(true)
	h.log.Info(logDrainStarted, zap.Int("requests", h.dispatch.RequestsInFlight()))
	// If the control group does not answer, the session ends when its lease expires.
	_, _ = h.follower.Propose(ctx, &control.DrainSession{Host: h.cfg.ID, Incarnation: h.follower.Incarnation()})
	t := time.NewTimer(h.addressLifetime())
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
	h.dispatch.Drain()
	if err := h.dispatch.WaitIdle(ctx); err != nil {
		h.log.Warn(logDrainBound, zap.Int("requests", h.dispatch.RequestsInFlight()))
	}
}

// leave closes the session, so that the backend servers of this host get new owners at once. It also leaves the
// membership and, on the control leader, transfers the leadership.
func (h *Host) leave(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	_, _ = h.follower.Propose(ctx, &control.CloseSession{Host: h.cfg.ID, Incarnation: h.follower.Incarnation()})
	h.members.Leave(ctx)
	if h.voter == nil {
		return
	}
	group, _ := h.voter.groups.ControlGroup()
	for _, v := range group.Status().Voters {
		if v != h.cfg.ID && group.LeaseValid(time.Now()) {
			_ = group.TransferLeadership(ctx, v)
		}
	}
}

func (h *Host) drainBound() time.Duration {
	doc, _ := h.follower.Document()
	if b := doc.Limits.DrainBound; b > 0 && b < h.cfg.DrainBound {
		return b
	}
	return h.cfg.DrainBound
}

func (h *Host) addressLifetime() time.Duration {
	doc, _ := h.follower.Document()
	if l := doc.Limits.CallerAddressExpiry; l > 0 {
		return l
	}
	return defaultAddressLifetime
}

// drainHost marks a host as draining on an operator's request.
func (h *Host) drainHost(ctx context.Context, id fleet.HostID) error {
	var v control.Session
	ok := false
	h.follower.Read(func(s *control.State) { v, ok = s.Session(id) })
	if !ok {
		return &operators.Unknown{Message: "no host " + string(id) + " has a session; toucanway status lists all"}
	}
	res, err := h.follower.Propose(ctx, &control.DrainSession{Host: id, Incarnation: v.Incarnation})
	if err != nil {
		return err
	}
	return res.Err()
}
