package membership

import (
	"cmp"
	"math"
	"slices"

	"toucanway/core/fleet"
)

// rumour is a record on its way to the other hosts.
type rumour struct {
	update Update
	sent   int
	seq    uint64
}

// gossip holds the records to pass on: at most one for each member, so that it is bounded by the table.
type gossip struct {
	rumours []*rumour
	seq     uint64
}

// put adds a record in place of an older one of the same host.
func (g *gossip) put(u Update) {
	g.remove(u.Host)
	g.seq++
	g.rumours = append(g.rumours, &rumour{update: u, seq: g.seq})
}

func (g *gossip) remove(host fleet.HostID) {
	g.rumours = slices.DeleteFunc(g.rumours, func(r *rumour) bool { return r.update.Host == host })
}

// take returns at most n records, those sent least first and the newest among them, and drops those sent often enough.
func (g *gossip) take(n, limit int) []Update {
	if len(g.rumours) == 0 {
		return nil
	}
	slices.SortFunc(g.rumours, func(a, b *rumour) int {
		return cmp.Or(cmp.Compare(a.sent, b.sent), cmp.Compare(b.seq, a.seq))
	})
	n = min(n, len(g.rumours))
	out := make([]Update, 0, n+1)
	for _, r := range g.rumours[:n] {
		out = append(out, r.update)
		r.sent++
	}
	g.rumours = slices.DeleteFunc(g.rumours, func(r *rumour) bool { return r.sent >= limit })
	return out
}

// logSize returns the logarithm of a group's size to base ten, at least 1.
func logSize(hosts int) float64 { return max(1, math.Log10(float64(hosts))) }

// sendLimit returns how often a record is passed on by each host.
func sendLimit(hosts int) int { return int(math.Ceil(sendFactor * logSize(hosts+1))) }
