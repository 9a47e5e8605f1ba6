package relay

import (
	"context"
	"time"

	"toucanway/io/hosts"
)

// Run sends the pending renewals to the leader in batches until the context ends.
func (r *Relay) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-r.wakeup:
		}
		if !r.collectBatch(ctx) {
			continue
		}
		r.sendBatch(ctx)
	}
}

// collectBatch waits while more polls may join the batch, and reports whether there are any. New log entries shorten the
// wait, because the submission of a document is answered only once the leader knows that the hosts have applied it.
func (r *Relay) collectBatch(ctx context.Context) bool {
	start := time.Now()
	for {
		r.mu.Lock()
		n, updatedAt, updated := len(r.pending), r.updatedAt, r.updated
		r.mu.Unlock()
		if n == 0 {
			return false
		}
		due := start.Add(renewInterval)
		if start.Sub(updatedAt) < renewInterval {
			due = start.Add(updateBatchDelay)
		}
		if updatedAt.After(start) && updatedAt.Add(updateBatchDelay).Before(due) {
			due = updatedAt.Add(updateBatchDelay)
		}
		t := time.NewTimer(time.Until(due))
		select {
		case <-t.C:
			return true
		case <-updated:
			t.Stop()
		case <-ctx.Done():
			t.Stop()
			return false
		}
	}
}

// sendBatch sends one batch. Polls that arrive later wait for the next batch, since a grant is valid only for requests that
// were sent before it.
func (r *Relay) sendBatch(ctx context.Context) {
	r.mu.Lock()
	polls := r.pending
	r.pending = nil
	r.mu.Unlock()
	req := &hosts.RenewRequest{Renewals: make([]hosts.Renewal, 0, len(polls))}
	for _, p := range polls {
		req.Renewals = append(req.Renewals, hosts.Renewal{
			Host: p.req.Host, Incarnation: p.req.Incarnation, Applied: p.req.Applied, Announced: p.req.Announced,
		})
	}
	ctx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	res, err := hosts.CallLeader[hosts.RenewRequest, hosts.RenewResponse](ctx, r.control, hosts.ProcedureRenew, renewTimeout, req)
	if err != nil || len(res.Grants) != len(polls) {
		for _, p := range polls {
			close(p.answer)
		}
		return
	}
	for i, p := range polls {
		p.answer <- grant{Grant: res.Grants[i], applied: res.Applied}
	}
}
