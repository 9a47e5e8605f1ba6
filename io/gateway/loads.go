package gateway

import (
	"maps"
	"time"

	"toucanway/core/fleet"
	"toucanway/core/overload"
	"toucanway/io/controlapi"
)

// loadKey names a model of a service.
type loadKey struct {
	service fleet.ServiceID
	model   fleet.ModelID
}

// loadMargin is the share of the time to the expected end of a load by which it may end earlier.
const loadMargin = 0.1

// expectLoads records when loads that are under way are expected to end, and has the requests that wait for them decided on again if that
// is news; v.mu is held. Loads that should have ended are forgotten, so that there are never more than models.
func (v *View) expectLoads(now time.Time, list []controlapi.ExpectedLoad) {
	maps.DeleteFunc(v.loads, func(_ loadKey, at time.Time) bool { return !now.Before(at) })
	news := false
	for _, l := range list {
		k := loadKey{l.Service, l.Model}
		if _, known := v.loads[k]; !known && l.In > 0 {
			news = true
		}
		v.loads[k] = now.Add(l.In)
	}
	if news {
		v.notifyChanged()
	}
}

// loadsTooLong reports whether a request for a model that no server holds is certain to miss its deadline, since the load that is under way
// ends too late; v.mu is held.
func (v *View) loadsTooLong(now time.Time, w *waiter) bool {
	at, known := v.loads[loadKey{w.req.Service, w.req.Target.Model}]
	left := at.Sub(now)
	if !known || !now.Add(time.Duration((1-loadMargin)*float64(left))).After(w.req.Deadline) {
		return false
	}
	v.introduce(now, w)
	w.last = overload.Decision{Action: overload.Refuse, Reason: overload.Loading, RoomIn: left}
	return true
}
