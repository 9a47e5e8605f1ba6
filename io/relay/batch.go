package relay

import (
	"context"
	"time"

	"toucanway/io/hosts"
)

// Run sends the waiting renewals to the leader in batches until the context ends.
func (r *Relay) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-r.wake:
		}
		if !r.collect(ctx) {
			continue
		}
		r.renew(ctx)
	}
}

// collect waits while more polls may join the batch, and reports whether there are any. News ends the wait early, since
// a submitted document is in force only once the leader knows that the hosts have it.
func (r *Relay) collect(ctx context.Context) bool {
	start := time.Now()
	for {
		r.mu.Lock()
		n, newsAt, news := len(r.pending), r.newsAt, r.news
		r.mu.Unlock()
		if n == 0 {
			return false
		}
		due := start.Add(renewInterval)
		if start.Sub(newsAt) < renewInterval {
			due = start.Add(newsPause)
		}
		if newsAt.After(start) && newsAt.Add(newsPause).Before(due) {
			due = newsAt.Add(newsPause)
		}
		t := time.NewTimer(time.Until(due))
		select {
		case <-t.C:
			return true
		case <-news:
			t.Stop()
		case <-ctx.Done():
			t.Stop()
			return false
		}
	}
}

// renew sends one batch. Polls that arrive after the requests were taken wait for the next one, since a grant holds only
// for requests sent before it.
func (r *Relay) renew(ctx context.Context) {
	r.mu.Lock()
	polls := r.pending
	r.pending = nil
	r.mu.Unlock()
	req := &hosts.RenewRequest{Renewals: make([]hosts.Renewal, 0, len(polls))}
	for _, p := range polls {
		req.Renewals = append(req.Renewals, hosts.Renewal{
			Host: p.req.Host, Incarnation: p.req.Incarnation, Applied: p.req.Applied, Seen: p.req.Seen,
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
