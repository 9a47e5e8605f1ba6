package entry

import (
	"context"
	"reflect"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	"toucanway/core/control"
	"toucanway/core/fleet"
	"toucanway/io/follow"
)

// Errors is the namespace of this package's errors.
var Errors = errorx.NewNamespace("entry")

var (
	// ErrUnavailable means that the control group cannot be reached now.
	ErrUnavailable = Errors.NewType("unavailable")
	// ErrListen means that the host cannot listen on an address in the settings.
	ErrListen = Errors.NewType("listen")
)

// announceTimeout is shorter than the interval between two announcements.
const announceTimeout = 900 * time.Millisecond

// reportReceiver receives load reports and cache events for routing.
type reportReceiver interface {
	Report(now time.Time, r fleet.LoadReport)
	CacheEvents(now time.Time, events []fleet.CacheEvent)
}

// registry receives announcements and reports of backend servers; it implements engines.Registry. No other lock is taken
// while mu is held.
type registry struct {
	follower *follow.Follower
	reports  reportReceiver

	mu        sync.Mutex
	announced map[fleet.BackendID]fleet.Incarnation
}

// Announce registers a backend server if it is new or has changed, and records it for the next poll of the leader.
func (r *registry) Announce(a fleet.Announcement) error {
	r.mu.Lock()
	r.announced[a.ID] = a.Incarnation
	r.mu.Unlock()
	leaving, unchanged := false, false
	r.follower.Read(func(s *control.State) {
		b, ok := s.Backend(a.ID)
		if !ok || b.Announcement.Incarnation != a.Incarnation {
			return
		}
		leaving = b.Leaving
		unchanged = !b.Lost && reflect.DeepEqual(b.Announcement, a)
	})
	if unchanged {
		return nil
	}
	return r.propose(a, leaving)
}

// Leave marks a backend server as leaving, so that it gets no new work.
func (r *registry) Leave(id fleet.BackendID, incarnation fleet.Incarnation) error {
	var b control.Backend
	ok := false
	r.follower.Read(func(s *control.State) { b, ok = s.Backend(id) })
	if !ok || b.Announcement.Incarnation != incarnation {
		return nil
	}
	return r.propose(b.Announcement, true)
}

func (r *registry) propose(a fleet.Announcement, leaving bool) error {
	ctx, cancel := context.WithTimeout(context.Background(), announceTimeout)
	defer cancel()
	res, err := r.follower.Propose(ctx, &control.PutBackend{Announcement: a, Leaving: leaving})
	if err != nil {
		return ErrUnavailable.Wrap(err, "the control group cannot be reached; retry the announcement")
	}
	return res.Err()
}

// Report forwards a load report to the router.
func (r *registry) Report(report fleet.LoadReport) { r.reports.Report(time.Now(), report) }

// Events forwards cache events to the router.
func (r *registry) Events(events []fleet.CacheEvent) { r.reports.CacheEvents(time.Now(), events) }

// takeAnnounced returns the backend servers that announced themselves since the last call, and clears the list.
func (r *registry) takeAnnounced() []fleet.BackendIncarnation {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]fleet.BackendIncarnation, 0, len(r.announced))
	for id, n := range r.announced {
		out = append(out, fleet.BackendIncarnation{Backend: id, Incarnation: n})
	}
	clear(r.announced)
	return out
}
