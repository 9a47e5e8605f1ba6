package controller

import (
	"context"
	"time"

	"go.uber.org/zap"

	"toucanway/core/fleet"
	"toucanway/core/quota"
	"toucanway/core/routes"
	"toucanway/io/controlapi"
	"toucanway/io/metrics"
)

// logQuota is the message of the line about a client account that was denied credit.
const logQuota = "client account has used up its quota"

const (
	// quotaLogInterval is the interval of the lines on accounts that were denied credit, maxQuotaLines their number each time.
	quotaLogInterval = 10 * time.Second
	maxQuotaLines    = 64
	// quotaCountInterval is the interval at which the metrics of quotas are updated.
	quotaCountInterval = 2 * time.Second
)

// quotaCounters holds the metrics of a leader's quotas.
type quotaCounters struct {
	units, calls metrics.Counters
}

func newQuotaCounters(r *metrics.Registry) quotaCounters {
	return quotaCounters{
		units: r.Counter("quota-credit", "Units of credit that this host as leader has lent, and that came back unused, by client account.", "account", "kind"),
		calls: r.Counter("quota-statements", "Statements of entry hosts on a client account, those of them whose needs this host as leader did not grant, and requests that hosts refused.",
			"account", "kind"),
	}
}

// quotas is the state of the quotas of one leadership.
type quotas struct {
	ledger *quota.Ledger
	// table is the configuration that the ledger has.
	table *routes.Table
	// counted and logged hold the usage of accounts when the metrics and the log were last updated.
	counted, logged     map[fleet.AccountID]quota.Usage
	countedAt, loggedAt time.Time
	// rates measures the use of the last seconds for operators.
	rates quota.Rates
}

func newQuotas(now time.Time, e quota.Epoch, t quota.Tolerance) *quotas {
	return &quotas{
		ledger: quota.NewLedger(now, e, t), counted: map[fleet.AccountID]quota.Usage{}, logged: map[fleet.AccountID]quota.Usage{},
		countedAt: now, loggedAt: now,
	}
}

// configure passes a configuration to the ledger if it has another one.
func (q *quotas) configure(now time.Time, t *routes.Table) {
	if t != nil && q.table != t {
		q.table = t
		q.ledger.Configure(now, t.Configuration.Accounts)
	}
}

// handleQuota lends credit under the quotas of client accounts to an entry host.
func (c *Controller) handleQuota(_ context.Context, from fleet.HostID, req *controlapi.QuotaRequest) (*controlapi.QuotaResponse, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	// The time is read first, so that nothing is lent after the end of the leadership if this host is suspended in between.
	now := c.cfg.Now()
	r := c.validLeadership()
	if r == nil {
		return &controlapi.QuotaResponse{Reply: c.notLeader()}, nil
	}
	c.work.quotas++
	r.quotas.configure(now, c.table)
	return &controlapi.QuotaResponse{Answer: r.quotas.ledger.Call(now, from, &req.Call)}, nil
}

// tickQuotas updates the metrics and the log of quotas; c.mu is held.
func (c *Controller) tickQuotas(now time.Time, q *quotas) {
	q.configure(now, c.table)
	if now.Sub(q.countedAt) < quotaCountInterval {
		return
	}
	q.countedAt = now
	q.rates.Observe(now, q.ledger.Uses(now))
	logs := now.Sub(q.loggedAt) >= quotaLogInterval
	lines := 0
	for id, u := range q.ledger.Usage() {
		if u.Calls < q.counted[id].Calls {
			// The ledger has forgotten the account meanwhile.
			delete(q.counted, id)
			delete(q.logged, id)
		}
		d := u.Since(q.counted[id])
		q.counted[id] = u
		if d != (quota.Usage{}) {
			c.metrics.quotas.units.With(string(id), "lent").Inc(int64(d.Lent))
			c.metrics.quotas.units.With(string(id), "returned").Inc(int64(d.Returned))
			c.metrics.quotas.calls.With(string(id), "stated").Inc(int64(d.Calls))
			c.metrics.quotas.calls.With(string(id), "denied").Inc(int64(d.Denied))
			c.metrics.quotas.calls.With(string(id), "refused-requests").Inc(int64(d.Refused))
		}
		if !logs {
			continue
		}
		d = u.Since(q.logged[id])
		q.logged[id] = u
		if d.Denied > 0 && lines < maxQuotaLines {
			lines++
			out, claim := q.ledger.Outstanding(now, id)
			c.cfg.Log.Info(logQuota, zap.String("account", string(id)), zap.Duration("within-ms", now.Sub(q.loggedAt)),
				zap.Int64("lent", int64(d.Lent)), zap.Int64("returned", int64(d.Returned)), zap.Uint64("statements", d.Calls),
				zap.Uint64("denied", d.Denied), zap.Uint64("refused-requests", d.Refused), zap.Int64("outstanding", int64(out)), zap.Float64("claim", claim))
		}
	}
	if logs {
		q.loggedAt = now
		for id := range q.counted {
			if !q.ledger.Knows(id) {
				delete(q.counted, id)
				delete(q.logged, id)
			}
		}
	}
}
