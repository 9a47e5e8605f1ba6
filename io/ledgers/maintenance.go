package ledgers

import (
	"context"
	"time"

	"toucanway/core/control"
	"toucanway/core/fleet"
	"toucanway/core/ledger"
	"toucanway/core/pause"
	"toucanway/io/voters"
)

const (
	// sweepInterval bounds how long a request of a failed host stays without an outcome after the host's session was closed.
	sweepInterval = time.Second
	// advanceInterval is the interval at which the elapsed time is committed.
	advanceInterval = 10 * time.Second
)

// Maintainer maintains a ledger group while this host leads it: it commits the elapsed time, by which old records are
// deleted, and the end of hosts' sessions.
type Maintainer struct {
	Group   *voters.Group
	Machine *ledger.Machine
	// Session returns the session of a host and whether it is open. fresh reports whether this host's copy of the control
	// state is recent enough to conclude that a session that isn't open has ended.
	Session func(fleet.HostID) (s control.Session, open, fresh bool)
	// Limits returns how long records are kept and the maximum number of records.
	Limits func() (retention time.Duration, records int)
}

// Run maintains the group until the context ends.
func (k *Maintainer) Run(ctx context.Context) error {
	lastAdvance := time.Now()
	wasLeader := false
	pause.Every(ctx, sweepInterval, func() {
		now := time.Now()
		if !k.Group.LeaseValid(now) {
			wasLeader = false
			return
		}
		if !wasLeader {
			// Time that the previous leader did not commit is not counted, so records may be kept longer than the retention.
			wasLeader, lastAdvance = true, now
		}
		k.closeHosts(ctx)
		if elapsed := now.Sub(lastAdvance); elapsed >= advanceInterval {
			retention, records := k.Limits()
			if k.commit(ctx, &ledger.Advance{Elapsed: elapsed, Retention: retention, MaxRecords: records}) {
				lastAdvance = now
			}
		}
	})
	return nil
}

// closeHosts commits a CloseHost for each incarnation of a host whose session has ended and whose dispatched requests don't
// all have an outcome.
func (k *Maintainer) closeHosts(ctx context.Context) {
	var incarnations []ledger.Attempt
	k.Group.View(func() { incarnations = k.Machine.DispatchingIncarnations() })
	for _, l := range incarnations {
		s, open, fresh := k.Session(l.Host)
		if !fresh || open && s.Incarnation <= l.Incarnation {
			continue
		}
		k.commit(ctx, &ledger.CloseHost{Host: l.Host, Incarnation: l.Incarnation})
	}
}

func (k *Maintainer) commit(ctx context.Context, c ledger.Command) bool {
	data, err := ledger.Encode(c)
	if err != nil {
		panic("ledgers: command cannot be encoded: " + err.Error())
	}
	ctx, cancel := context.WithTimeout(ctx, sweepInterval)
	defer cancel()
	_, _, err = k.Group.Propose(ctx, data)
	return err == nil
}
