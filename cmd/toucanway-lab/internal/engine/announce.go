package engine

import (
	"time"

	"toucanway/cmd/toucanway-lab/internal/backend"
	"toucanway/core/fleet"
)

// announce posts to one entry host until the engine leaves or its life ends.
func (p *process) announce(address string, feed int) {
	var reports []timedReport
	p.life.Announce(p.quietCtx, p.settings.Network, address, func(entry *backend.Entry) {
		now := time.Now()
		reports = append(reports, timedReport{at: now, report: p.loadReport()})
		// An announcement that fails is repeated by the next one.
		_ = entry.Announce(p.announcement())
		for len(reports) > 1 && now.Sub(reports[1].at) >= p.settings.ReportLag {
			reports = reports[1:]
		}
		if age := now.Sub(reports[0].at); age >= p.settings.ReportLag {
			r := reports[0].report
			r.Age = age
			_ = entry.Report(r)
		}
		if batch := p.dueEvents(feed); len(batch) > 0 {
			_ = entry.Events(batch)
		}
	})
}

type timedReport struct {
	at     time.Time
	report fleet.LoadReport
}

func (p *process) announcement() fleet.Announcement {
	return fleet.Announcement{
		ID: p.settings.ID, Incarnation: p.incarnation, Kind: fleet.KindEngine, Address: p.life.Address(),
		Place: p.settings.Place, Memory: p.settings.Memory, Slots: p.settings.Slots, ChecksFence: p.settings.ChecksFence,
	}
}

func (p *process) loadReport() fleet.LoadReport {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.seq++
	r := fleet.LoadReport{
		Backend: p.settings.ID, Incarnation: p.incarnation, Seq: p.seq, Running: p.running, Queued: len(p.waiting),
	}
	for run := range p.runs {
		if run.admitted {
			r.KVUsed += run.memory
		}
	}
	return r
}

// dueEvents returns the cache events to publish to an entry host now; some of them are lost.
func (p *process) dueEvents(feed int) []fleet.CacheEvent {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []fleet.CacheEvent
	for _, e := range p.prefix.due(feed, p.settings.EventLag) {
		if p.random.Float64() < p.settings.EventLoss {
			continue
		}
		e.Backend, e.Incarnation = p.settings.ID, p.incarnation
		out = append(out, e)
	}
	return out
}
