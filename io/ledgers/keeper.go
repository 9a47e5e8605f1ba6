package ledgers

import (
	"context"
	"time"

	"toucanway/core/control"
	"toucanway/core/fleet"
	"toucanway/core/ledger"
	"toucanway/io/voters"
)

const (
	// sweepInterval bounds how long a request of a dead host stays without outcome after its session was closed.
	sweepInterval = time.Second
	advanceEvery  = 10 * time.Second
)

// Keeper commits, in the ledger groups that this host leads, the passing of time and the end of hosts' sessions.
type Keeper struct {
	Group   *voters.Group
	Machine *ledger.Machine
	// Session returns the standing session of a host, and whether the host's copy of the control state is fresh enough
	// to tell that there is none.
	Session func(fleet.HostID) (s control.Session, open, fresh bool)
	// Limits returns how long records are kept and how many.
	Limits func() (retention time.Duration, records int)
}

// Run keeps the group until the context ends.
func (k *Keeper) Run(ctx context.Context) error {
	t := time.NewTicker(sweepInterval)
	defer t.Stop()
	last := time.Now()
	led := false
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
		now := time.Now()
		if !k.Group.LeaseValid(now) {
			led = false
			continue
		}
		if !led {
			// Time before this leadership was counted by the leader before, or is lost; records then live longer.
			led, last = true, now
		}
		k.closeHosts(ctx)
		if elapsed := now.Sub(last); elapsed >= advanceEvery {
			retention, records := k.Limits()
			if k.commit(ctx, &ledger.Advance{Elapsed: elapsed, Retention: retention, MaxRecords: records}) {
				last = now
			}
		}
	}
}

// closeHosts ends the records of hosts whose session is over.
func (k *Keeper) closeHosts(ctx context.Context) {
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

func (k *Keeper) commit(ctx context.Context, c ledger.Command) bool {
	data, err := ledger.Encode(c)
	if err != nil {
		panic("ledgers: command cannot be encoded: " + err.Error())
	}
	ctx, cancel := context.WithTimeout(ctx, sweepInterval)
	defer cancel()
	_, _, err = k.Group.Propose(ctx, data)
	return err == nil
}
