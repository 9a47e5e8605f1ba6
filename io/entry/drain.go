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

// Log messages of the host's life.
const (
	logStarted      = "host started"
	logStopped      = "host stopped"
	logDrainStarted = "drain started"
	logDrainBound   = "drain bound reached"
)

// waitDrain returns true when ctx ends or an operator drains this host, and false when parts ends before.
func (h *Host) waitDrain(parts, ctx context.Context) bool {
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
		case <-parts.Done():
			return false
		case <-ctx.Done():
			return true
		case <-changed:
		}
	}
}

// drain stops naming the host to callers, waits until earlier answers that name it have ended, and lets every request
// finish within the drain bound.
func (h *Host) drain(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, h.drainBound())
	defer cancel()
	h.draining.Store(true)
	h.log.Info(logDrainStarted, zap.Int("requests", h.dispatch.Requests()))
	// Without an answer from the control group the session ends by its lease.
	_, _ = h.follower.Propose(ctx, &control.DrainSession{Host: h.cfg.ID, Incarnation: h.follower.Incarnation()})
	t := time.NewTimer(h.addressLifetime())
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
	h.dispatch.Drain()
	if err := h.dispatch.WaitIdle(ctx); err != nil {
		h.log.Warn(logDrainBound, zap.Int("requests", h.dispatch.Requests()))
	}
}

// leave closes the session, so that what the host owned is assigned anew at once.
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

// drainOther marks another host as shutting down, for operators.
func (h *Host) drainOther(ctx context.Context, id fleet.HostID) error {
	var v control.Session
	ok := false
	h.follower.Read(func(s *control.State) { v, ok = s.Session(id) })
	if !ok {
		return &operators.Unknown{Message: "no host " + string(id) + " has a session; list them with status"}
	}
	res, err := h.follower.Propose(ctx, &control.DrainSession{Host: id, Incarnation: v.Incarnation})
	if err != nil {
		return err
	}
	return res.Err()
}
