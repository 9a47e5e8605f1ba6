package engine

import (
	"time"

	"toucanway/cmd/toucanway-lab/internal/backend"
	"toucanway/core/fleet"
)

// announce posts announcements, load reports and cache events to one entry host until the engine stops announcing or its
// process ends. A load report is sent with an age of at least ReportLag.
func (p *process) announce(address string, queue int) {
	var reports []timedReport
	p.instance.Announce(p.announceCtx, p.settings.Network, address, func(entry *backend.Entry) {
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
		if batch := p.takeDueEvents(queue); len(batch) > 0 {
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
		ID: p.settings.ID, Incarnation: p.incarnation, Kind: fleet.KindEngine, Address: p.instance.Address(),
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

// takeDueEvents returns the cache events to publish to an entry host now. It leaves out a random share of EventLoss.
func (p *process) takeDueEvents(queue int) []fleet.CacheEvent {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []fleet.CacheEvent
	for _, e := range p.prefix.takeDue(queue, p.settings.EventLag) {
		if p.random.Float64() < p.settings.EventLoss {
			continue
		}
		e.Backend, e.Incarnation = p.settings.ID, p.incarnation
		out = append(out, e)
	}
	return out
}
