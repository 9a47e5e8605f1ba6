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
	// ErrListen means that an address of the settings cannot be listened on.
	ErrListen = Errors.NewType("listen")
)

// announceTimeout is shorter than the interval between two announcements.
const announceTimeout = 900 * time.Millisecond

// reports takes load reports and cache events for routing.
type reports interface {
	Report(now time.Time, r fleet.LoadReport)
	CacheEvents(now time.Time, events []fleet.CacheEvent)
}

// registry takes what backend servers say of themselves; it implements engines.Registry. Lock order: mu alone.
type registry struct {
	follower *follow.Follower
	reports  reports

	mu   sync.Mutex
	seen map[fleet.BackendID]fleet.Incarnation
}

// Announce registers a backend server that is new or changed, and notes its renewal for the next poll of the leader.
func (r *registry) Announce(a fleet.Announcement) error {
	r.mu.Lock()
	r.seen[a.ID] = a.Incarnation
	r.mu.Unlock()
	leaving, known := false, false
	r.follower.Read(func(s *control.State) {
		b, ok := s.Backend(a.ID)
		if !ok || b.Announcement.Incarnation != a.Incarnation {
			return
		}
		leaving = b.Leaving
		known = !b.Lost && reflect.DeepEqual(b.Announcement, a)
	})
	if known {
		return nil
	}
	return r.put(a, leaving)
}

// Leave takes a backend server out of service for new work.
func (r *registry) Leave(id fleet.BackendID, incarnation fleet.Incarnation) error {
	var b control.Backend
	ok := false
	r.follower.Read(func(s *control.State) { b, ok = s.Backend(id) })
	if !ok || b.Announcement.Incarnation != incarnation {
		return nil
	}
	return r.put(b.Announcement, true)
}

func (r *registry) put(a fleet.Announcement, leaving bool) error {
	ctx, cancel := context.WithTimeout(context.Background(), announceTimeout)
	defer cancel()
	res, err := r.follower.Propose(ctx, &control.PutBackend{Announcement: a, Leaving: leaving})
	if err != nil {
		return ErrUnavailable.Wrap(err, "the control group cannot be reached; announce again")
	}
	return res.Err()
}

// Report passes a load report on.
func (r *registry) Report(report fleet.LoadReport) { r.reports.Report(time.Now(), report) }

// Events passes cache events on.
func (r *registry) Events(events []fleet.CacheEvent) { r.reports.CacheEvents(time.Now(), events) }

// takeSeen returns the backend servers seen since the last call.
func (r *registry) takeSeen() []control.Life {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]control.Life, 0, len(r.seen))
	for id, n := range r.seen {
		out = append(out, control.Life{Backend: id, Incarnation: n})
	}
	clear(r.seen)
	return out
}
