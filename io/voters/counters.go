package voters

import "sync/atomic"

// Counters are totals since Open.
type Counters struct {
	// Saves counts synced writes to the storage, SavedEntries the entries in them.
	Saves, SavedEntries uint64
	// Applied counts applied entries, Snapshots the snapshots taken.
	Applied, Snapshots uint64
	// Sent counts messages passed to the transport, SendErrors the sends that failed, Dropped the messages that were
	// discarded because a queue or the inbox was full.
	Sent, SendErrors, Dropped uint64
	// Rejected counts invalid received messages.
	Rejected uint64
	// Elections counts the elections that this host started.
	Elections uint64
}

// counters holds the running totals behind Counters.
type counters struct {
	saves, savedEntries, applied, snapshots, sent, sendErrors, dropped, rejected, elections atomic.Uint64
}

// Counters returns the totals since Open.
func (g *Group) Counters() Counters {
	c := &g.counters
	return Counters{
		Saves: c.saves.Load(), SavedEntries: c.savedEntries.Load(), Applied: c.applied.Load(), Snapshots: c.snapshots.Load(),
		Sent: c.sent.Load(), SendErrors: c.sendErrors.Load(), Dropped: c.dropped.Load(),
		Rejected: c.rejected.Load(), Elections: c.elections.Load(),
	}
}
