package membership

import (
	"cmp"
	"math"
	"slices"

	"toucanway/core/fleet"
)

// broadcast is a record that still has to be sent to other hosts.
type broadcast struct {
	update Update
	sent   int
	seq    uint64
}

// gossip is the queue of records to send to other hosts. It has at most one record per member, so its size is bounded
// by that of the table.
type gossip struct {
	queue []*broadcast
	seq   uint64
}

// enqueue adds a record and removes an older one of the same host.
func (g *gossip) enqueue(u Update) {
	g.remove(u.Host)
	g.seq++
	g.queue = append(g.queue, &broadcast{update: u, seq: g.seq})
}

func (g *gossip) remove(host fleet.HostID) {
	g.queue = slices.DeleteFunc(g.queue, func(r *broadcast) bool { return r.update.Host == host })
}

// nextBatch returns up to n records: those sent the fewest times first, and of these the newest first. It removes records that
// have been sent limit times.
func (g *gossip) nextBatch(n, limit int) []Update {
	if len(g.queue) == 0 {
		return nil
	}
	slices.SortFunc(g.queue, func(a, b *broadcast) int {
		return cmp.Or(cmp.Compare(a.sent, b.sent), cmp.Compare(b.seq, a.seq))
	})
	n = min(n, len(g.queue))
	out := make([]Update, 0, n+1)
	for _, r := range g.queue[:n] {
		out = append(out, r.update)
		r.sent++
	}
	g.queue = slices.DeleteFunc(g.queue, func(r *broadcast) bool { return r.sent >= limit })
	return out
}

// logSize returns the base-10 logarithm of the number of hosts, at least 1.
func logSize(hosts int) float64 { return max(1, math.Log10(float64(hosts))) }

// sendLimit returns how many times each host sends a record.
func sendLimit(hosts int) int { return int(math.Ceil(sendFactor * logSize(hosts+1))) }
