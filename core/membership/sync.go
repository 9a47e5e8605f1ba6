package membership

import (
	"bytes"
	"slices"
	"time"
)

// wantsSync reports whether this host's table may be incomplete.
func (d *Detector) wantsSync() bool {
	return d.mismatched != "" || !d.joined && len(d.unjoinedSeeds()) > 0
}

// unjoinedSeeds returns the seeds that are not the address of this host or of a live member.
func (d *Detector) unjoinedSeeds() []string {
	known := map[string]bool{d.self.Address: true}
	for _, m := range d.table.all {
		if !m.State.gone() {
			known[m.Address] = true
		}
	}
	var out []string
	for _, s := range d.cfg.Seeds {
		if !known[s] {
			out = append(out, s)
		}
	}
	return out
}

// startSync asks another host for the records in which the two tables differ.
func (d *Detector) startSync(now time.Time) {
	if !d.joined {
		d.nextSync = now.Add(d.cfg.Interval)
		d.syncWithSeed(d.unjoinedSeeds())
		return
	}
	d.nextSync = now.Add(d.cfg.Interval)
	if now.Sub(d.started) >= startupSyncTime {
		d.nextSync = now.Add(d.cfg.SyncInterval/2 + d.randomDuration(d.cfg.SyncInterval))
	}
	m := d.table.byID[d.mismatched]
	d.mismatched = ""
	if m == nil || m.State.gone() {
		return
	}
	msg := d.syncMessage(m)
	d.send(m, callSync, 0, msg, d.cfg.Interval)
}

func (d *Detector) syncMessage(to *member) Message {
	msg := d.compose(to, KindSync)
	msg.Buckets = d.table.buckets(&d.self, bucketCount(d.table.live))
	return msg
}

func (d *Detector) syncWithSeed(seeds []string) {
	if len(seeds) == 0 {
		return
	}
	address := seeds[d.rand.IntN(len(seeds))]
	msg := d.syncMessage(nil)
	d.sendTo("", address, call{kind: callSync}, msg, d.cfg.Interval)
}

// endSync schedules another sync after one interval if the answer was full and changed the table.
func (d *Detector) endSync(now time.Time, msg *Message, changed int) {
	if changed > 0 && len(msg.Updates) >= maxRecords {
		d.nextSync = now.Add(d.cfg.Interval)
	}
}

// differingRecords returns up to n records from the buckets that differ from another host's. It starts at a random
// bucket, so that repeated answers cover all buckets.
func (d *Detector) differingRecords(remoteBuckets []byte, n int) []Update {
	count := len(remoteBuckets) / 4
	if count == 0 || count&(count-1) != 0 {
		return nil
	}
	localBuckets := d.table.buckets(&d.self, count)
	byBucket := make([][]*member, count)
	for _, m := range d.table.all {
		b := bucketOf(m.Host, count)
		byBucket[b] = append(byBucket[b], m)
	}
	var out []Update
	start := d.rand.IntN(count)
	for i := range count {
		b := (start + i) % count
		if bytes.Equal(localBuckets[4*b:4*b+4], remoteBuckets[4*b:4*b+4]) {
			continue
		}
		if b == bucketOf(d.self.Host, count) {
			out = append(out, d.self.update(true))
		}
		for _, m := range byBucket[b] {
			u := m.update(true)
			if m.suspicion != nil && len(m.suspicion.reporters) > 0 {
				u.ReportedBy = m.suspicion.reporters[0]
			}
			out = append(out, u)
		}
		if len(out) >= n {
			return out[:n]
		}
	}
	return out
}

// reconnect tries to reach a dead host or a seed that is not a live member. After a partition in which each side considered
// the other dead, nothing else brings the two sides together.
func (d *Detector) reconnect(now time.Time) {
	d.nextReconnect = now.Add(d.cfg.ReconnectInterval/2 + d.randomDuration(d.cfg.ReconnectInterval))
	var dead []*member
	for _, m := range d.table.all {
		if m.State == Dead {
			dead = append(dead, m)
		}
	}
	seeds := d.unjoinedSeeds()
	if n := len(dead) + len(seeds); n == 0 || d.rand.IntN(n) >= len(dead) {
		d.syncWithSeed(seeds)
		return
	}
	m := dead[d.rand.IntN(len(dead))]
	d.send(m, callOther, 0, d.compose(m, KindPing), d.cfg.Interval)
}

// dueRelays returns the requests whose negative answer is due, in ascending order.
func dueRelays(relays map[uint64]*relay, now time.Time) []uint64 {
	var out []uint64
	for request, r := range relays {
		if !now.Before(r.nackAt) {
			out = append(out, request)
		}
	}
	slices.Sort(out)
	return out
}
