package disk

import (
	"sync"

	"toucanway/core/fleet"
	"toucanway/core/raft"
)

// Memory stores a group's log and snapshot in memory, for hosts in tests; a host that is restarted with the same Memory
// finds what it saved before.
type Memory struct {
	mu    sync.Mutex
	saved raft.PersistedState
	err   error
}

// NewMemory returns an empty Memory with a storage id.
func NewMemory(id raft.StorageID) *Memory { return &Memory{saved: raft.PersistedState{Storage: id}} }

// Load returns what was saved.
func (m *Memory) Load() (raft.PersistedState, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := m.saved
	out.Entries = append([]raft.Entry(nil), out.Entries...)
	return out, m.err
}

// Save stores a hard state, if not nil, and entries, which replace those from the index of the first one on.
func (m *Memory) Save(state *raft.HardState, entries []raft.Entry) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.err != nil {
		return m.err
	}
	if state != nil {
		m.saved.State = *state
	}
	if len(entries) > 0 {
		if old := m.saved.Entries; len(old) > 0 {
			k := int(entries[0].Index) - int(old[0].Index)
			m.saved.Entries = old[:max(0, min(k, len(old)))]
		}
		m.saved.Entries = append(m.saved.Entries, entries...)
	}
	return nil
}

// Install stores a received snapshot and drops the log.
func (m *Memory) Install(snap raft.Snapshot) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.err == nil {
		m.saved.Snapshot, m.saved.Entries = snap, nil
	}
	return m.err
}

// Compact stores a snapshot of the host's own state and drops the entries up to keepAfter.
func (m *Memory) Compact(snap raft.Snapshot, keepAfter fleet.Index) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.err == nil {
		m.saved.Snapshot = snap
		k := 0
		for k < len(m.saved.Entries) && m.saved.Entries[k].Index <= min(keepAfter, snap.Index) {
			k++
		}
		m.saved.Entries = append([]raft.Entry(nil), m.saved.Entries[k:]...)
	}
	return m.err
}

// Fail makes all later calls return err, like those of a full disk; nil ends that.
func (m *Memory) Fail(err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.err = err
}

// Close does nothing; the Memory can be used again.
func (m *Memory) Close() error { return nil }
