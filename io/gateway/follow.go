package gateway

import (
	"context"
	"time"

	"go.uber.org/zap"

	"toucanway/core/accounts"
	"toucanway/core/pause"
	"toucanway/core/registry"
	"toucanway/core/routes"
	"toucanway/io/controlapi"
	"toucanway/io/hosts"
)

// followGroup updates the view with changes from the control group until the context ends.
func (v *View) followGroup(ctx context.Context) error {
	contact := false
	for ctx.Err() == nil {
		v.mu.Lock()
		at, known := v.position, v.evidence.Followed()
		v.mu.Unlock()
		// The time is taken before the call is sent, so that a call that takes long confirms less.
		asked := v.cfg.Now()
		res, err := v.follow(ctx, &controlapi.FollowRequest{Position: at, Hold: v.holdTime(asked), Crashes: known})
		if ctx.Err() != nil {
			return nil
		}
		if (err == nil) != contact {
			contact = err == nil
			if contact {
				v.cfg.Log.Info(logContact, zap.String("leader", string(v.cfg.Client.Leader())), zap.Uint64("term", res.Position.Term))
			} else {
				v.cfg.Log.Warn(logNoContact, zap.Error(err))
			}
		}
		if err == nil {
			if v.applyChanges(at, res) {
				v.confirm(asked.Add(res.AsOf))
			} else if pause.For(ctx, reportRetryDelay) != nil {
				return nil
			}
		}
	}
	return nil
}

// holdTime returns the time for which the control group may delay its answer while nothing changes. A host that may not serve client
// accounts for lack of a confirmation gets one soon.
func (v *View) holdTime(now time.Time) time.Duration {
	rule := accounts.Freshness{Bound: v.cfg.KeyRevocation}
	if rule.Bound <= 0 {
		return followHold
	}
	if _, confirmedAt, _ := v.inForce(); !rule.Allows(now, confirmedAt) {
		return confirmHold
	}
	return min(followHold, rule.Bound/holdShare)
}

// follow asks a mirror for changes, or the leader if no mirror answers. The leader names the mirrors, and tells a host of changes only if
// none of those answers either.
func (v *View) follow(ctx context.Context, req *controlapi.FollowRequest) (*controlapi.FollowResponse, error) {
	for {
		if res := v.followMirror(ctx, req); res != nil || ctx.Err() != nil {
			return res, ctx.Err()
		}
		call, cancel := context.WithTimeout(ctx, req.Hold+callTimeout)
		res, err := controlapi.Call[controlapi.FollowRequest, controlapi.FollowResponse](call, v.cfg.Client, controlapi.ProcedureFollow, req.Hold, req)
		cancel()
		if err != nil || !res.MirrorsOnly {
			return res, err
		}
		v.mu.Lock()
		v.mirrors.SetMirrors(res.Mirrors)
		v.mu.Unlock()
		req.Direct = true
	}
}

// followMirror asks one mirror after the other for changes; it returns nil if none answers.
func (v *View) followMirror(ctx context.Context, req *controlapi.FollowRequest) *controlapi.FollowResponse {
	for ctx.Err() == nil {
		v.mu.Lock()
		h := v.mirrors.Choose(time.Now(), v.cfg.Self, v.cfg.Place.Region)
		v.mu.Unlock()
		if h == "" {
			return nil
		}
		res, err := controlapi.CallMember[controlapi.FollowRequest, controlapi.FollowResponse](ctx, v.cfg.Client, h,
			controlapi.ProcedureFollow, req.Hold, req)
		if err == nil && res.Reply.Status == hosts.StatusOK && !res.MirrorsOnly {
			v.mu.Lock()
			v.mirrors.Answered()
			v.mu.Unlock()
			return res
		}
		v.mu.Lock()
		v.mirrors.Fail(time.Now(), h)
		v.mu.Unlock()
		if v.cfg.KeyRevocation > 0 {
			// Several mirrors may have failed. Each takes less time to find out if it need not hold the call, so that accounts are served
			// meanwhile.
			req.Hold = min(req.Hold, confirmHold)
		}
	}
	return nil
}

// confirm records the time up to which this host knows all changes.
func (v *View) confirm(at time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if at.After(v.confirmedAt) {
		v.confirmedAt = at
		close(v.confirmed)
		v.confirmed = make(chan struct{})
	}
}

// applyChanges applies an answer of the control group to the view, and reports whether all of it could be read.
func (v *View) applyChanges(at controlapi.Position, res *controlapi.FollowResponse) bool {
	if res.Members != nil {
		v.cfg.Client.SetMembers(res.Members)
	}
	v.cfg.Client.SetLeader(res.Leader)
	var table *table
	if len(res.Configuration) > 0 {
		table = v.decodeConfiguration(res)
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if table == nil {
		res.Position.Configuration, res.Position.HasConfiguration = at.Configuration, at.HasConfiguration
	} else {
		v.table = table
		v.quotas.configure(v.cfg.Now(), table.Configuration.Accounts)
	}
	if res.Mirrors != nil {
		v.mirrors.SetMirrors(res.Mirrors)
	}
	if res.Position.Term != at.Term {
		v.keepLimits()
	}
	if res.Complete {
		clear(v.instances)
	}
	for i := range res.Instances {
		v.updateInstance(&res.Instances[i])
	}
	v.position = res.Position
	if res.Crashes != nil && v.evidence.Apply(time.Now(), time.Now(), nil, res.Crashes) {
		v.triggerReport()
	}
	if table != nil || len(res.Instances) > 0 {
		v.balancer.Retain(v.instances)
		v.notifyChanged()
	}
	return table != nil || len(res.Configuration) == 0
}

// notifyChanged wakes the requests that wait for a server or a configuration; v.mu is held.
func (v *View) notifyChanged() {
	close(v.changed)
	v.changed = make(chan struct{})
}

// updateInstance updates one instance; v.mu is held. An update with an older incarnation or an earlier state is ignored.
func (v *View) updateInstance(in *registry.Instance) {
	previous := v.instances[in.ID]
	if previous != nil && (previous.Incarnation > in.Incarnation || previous.Incarnation == in.Incarnation && previous.State > in.State) {
		return
	}
	if previous == nil || previous.Incarnation != in.Incarnation || previous.State != in.State || previous.Address != in.Address {
		v.cfg.Log.Info(logInstance, zap.String("instance", string(in.ID)), zap.Uint64("incarnation", uint64(in.Incarnation)),
			zap.String("address", in.Address), zap.Stringer("state", in.State), zap.Uint64("revision", in.Revision))
		if previous != nil {
			v.cfg.Pool.Drop(previous.Address)
		}
	}
	v.silences.note(time.Now(), in)
	if in.State == registry.Gone {
		delete(v.instances, in.ID)
		return
	}
	v.instances[in.ID] = in
	v.limitNotices.Told(incarnationOf(in), in.Limit)
}

// decodeConfiguration decodes a configuration; it returns nil if that fails.
func (v *View) decodeConfiguration(res *controlapi.FollowResponse) *table {
	data, err := controlapi.Decompress(res.Configuration)
	var cfg *routes.Configuration
	if err == nil {
		cfg, err = v.cfg.Dialect.Configuration(data)
	}
	var t *table
	if err == nil {
		t, err = newTable(cfg)
	}
	if err != nil {
		v.cfg.Log.Error(logUnreadable, zap.Uint64("version", uint64(res.Position.Configuration)), zap.Error(err))
		return nil
	}
	v.cfg.Log.Info(logConfiguration, zap.Uint64("version", uint64(cfg.Version)), zap.Int("routes", len(cfg.Routes)),
		zap.Int("accounts", len(cfg.Accounts)))
	return t
}
