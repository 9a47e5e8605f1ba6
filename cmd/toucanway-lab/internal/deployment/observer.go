package deployment

import (
	"context"
	"sync"
	"time"

	"toucanway/cmd/toucanway-lab/internal/history"
	"toucanway/core/control"
	"toucanway/core/fleet"
	"toucanway/io/follow"
	"toucanway/io/hosts"
)

// observer records in the history the decisions of the control log and the documents that hosts put in force.
type observer struct {
	history *history.History

	mu sync.Mutex
	// lastRecorded is the index of the newest recorded log entry.
	lastRecorded fleet.Index
}

// follow records the changes that one host sees until the context ends.
func (o *observer) follow(ctx context.Context, id fleet.HostID, f *follow.Follower) {
	var after fleet.Index
	var inForce fleet.DocumentVersion
	leased := false
	for ctx.Err() == nil {
		changed := f.Changed()
		entries, ok := f.RecentEntries(after)
		f.Read(func(s *control.State) {
			if ok {
				o.recordDecisions(s, entries)
			}
			after = s.Applied()
		})
		_, version := f.Document()
		lease := f.HasLease(time.Now())
		switch {
		case lease && (!leased || version != inForce):
			o.history.Add(history.DocumentInForce{Host: id, Version: version})
			inForce = version
		case leased && !lease:
			o.history.Add(history.HostSuspended{Host: id})
		}
		leased = lease
		o.waitForChange(ctx, changed, f, lease)
	}
}

// waitForChange returns at the next change, or when the lease or the context ends.
func (o *observer) waitForChange(ctx context.Context, changed <-chan struct{}, f *follow.Follower, lease bool) {
	var ends <-chan time.Time
	if lease {
		t := time.NewTimer(max(time.Until(f.LeaseEnd()), time.Millisecond))
		defer t.Stop()
		ends = t.C
	}
	select {
	case <-ctx.Done():
	case <-changed:
	case <-ends:
	}
}

// recordDecisions records the targets and loads of log entries that were not recorded before from any host. It skips a load that
// was rejected, which has no replica in the state.
func (o *observer) recordDecisions(s *control.State, entries []hosts.LogEntry) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, e := range entries {
		if e.Index <= o.lastRecorded {
			continue
		}
		o.lastRecorded = e.Index
		p, err := control.Decode(e.Data)
		if err != nil {
			continue
		}
		switch c := p.Command.(type) {
		case *control.SetReplicaTarget:
			o.history.Add(history.TargetDecided{Model: c.Model, Count: c.Count})
		case *control.DecideLoad:
			if r, ok := s.Replica(fleet.OrderID(e.Index)); ok && r.Model == c.Model {
				o.history.Add(history.LoadDecided{Order: r.Order, Model: c.Model, Backend: c.Backend})
			}
		}
	}
}
