package relayload

import (
	"context"
	"sync"
	"time"

	"toucanway/core/control"
	"toucanway/core/fleet"
	"toucanway/core/raft"
	"toucanway/io/hosts"
	"toucanway/io/sessions"
	"toucanway/io/voters"
)

// leader simulates a control group of one voter that always leads; it implements sessions.Group.
type leader struct {
	self fleet.HostID

	mu       sync.Mutex
	machine  control.Machine
	entries  []raft.Entry
	appended chan struct{}
}

var _ sessions.Group = (*leader)(nil)

func newLeader(self fleet.HostID) *leader { return &leader{self: self, appended: make(chan struct{})} }

func (l *leader) Propose(_ context.Context, data []byte) (fleet.Index, []byte, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	index := fleet.Index(len(l.entries) + 1)
	l.entries = append(l.entries, raft.Entry{Index: index, Term: 1, Data: data})
	out := l.machine.Apply(index, data)
	close(l.appended)
	l.appended = make(chan struct{})
	return index, out, nil
}

func (l *leader) LeaseValid(time.Time) bool { return true }

func (l *leader) EntriesAfter(index fleet.Index, _ fleet.Bytes) ([]raft.Entry, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]raft.Entry(nil), l.entries[min(int(index), len(l.entries)):]...), true
}

func (l *leader) Snapshot() (fleet.Index, []byte, error) {
	panic("relayload: the log is never compacted")
}

func (l *leader) WaitApplied(ctx context.Context, after fleet.Index) error {
	for {
		l.mu.Lock()
		n, appended := len(l.entries), l.appended
		l.mu.Unlock()
		if fleet.Index(n) > after {
			return nil
		}
		select {
		case <-appended:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (l *leader) View(f func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f()
}

func (l *leader) Status() voters.Status {
	l.mu.Lock()
	defer l.mu.Unlock()
	return voters.Status{
		Status: raft.Status{Term: 1, Leader: l.self}, Applied: fleet.Index(len(l.entries)),
	}
}

// handlePropose applies a proposal of any host and answers it.
func (l *leader) handlePropose(ctx context.Context, _ fleet.HostID, req *hosts.ProposeRequest) (*hosts.ProposeResponse, error) {
	index, out, err := l.Propose(ctx, req.Data)
	return &hosts.ProposeResponse{Index: index, Result: out}, err
}
