package membership

import (
	"bytes"
	"slices"
	"time"
)

// wantsSync reports whether this host's table may lack something.
func (d *Detector) wantsSync() bool {
	return d.differs != "" || !d.joined && len(d.foreignSeeds()) > 0
}

// foreignSeeds returns the seeds that are addresses of no live host and not this host's own.
func (d *Detector) foreignSeeds() []string {
	known := map[string]bool{d.self.Address: true}
	for _, m := range d.t.all {
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

// startSync asks a host for the records that this one lacks.
func (d *Detector) startSync(now time.Time) {
	if !d.joined {
		d.nextSync = now.Add(d.cfg.Interval)
		d.syncWithSeed(d.foreignSeeds())
		return
	}
	d.nextSync = now.Add(d.cfg.Interval)
	if now.Sub(d.started) >= startTime {
		d.nextSync = now.Add(d.cfg.SyncInterval/2 + d.spread(d.cfg.SyncInterval))
	}
	m := d.t.byID[d.differs]
	d.differs = ""
	if m == nil || m.State.gone() {
		return
	}
	msg := d.syncMessage(m)
	d.send(m, callSync, 0, msg, d.cfg.Interval)
}

func (d *Detector) syncMessage(to *member) Message {
	msg := d.compose(to, KindSync)
	msg.Buckets = d.t.buckets(&d.self, bucketCount(d.t.live))
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

// synced goes on at once while whole answers bring news.
func (d *Detector) synced(now time.Time, msg *Message, news int) {
	if news > 0 && len(msg.Updates) >= maxRecords {
		d.nextSync = now.Add(d.cfg.Interval)
	}
}

// records returns at most n records of the buckets that differ from another host's, beginning at a random one so that
// repeated answers cover all of them.
func (d *Detector) records(theirs []byte, n int) []Update {
	count := len(theirs) / 4
	if count == 0 || count&(count-1) != 0 {
		return nil
	}
	own := d.t.buckets(&d.self, count)
	byBucket := make([][]*member, count)
	for _, m := range d.t.all {
		b := bucketOf(m.Host, count)
		byBucket[b] = append(byBucket[b], m)
	}
	var out []Update
	start := d.rand.IntN(count)
	for i := range count {
		b := (start + i) % count
		if bytes.Equal(own[4*b:4*b+4], theirs[4*b:4*b+4]) {
			continue
		}
		if b == bucketOf(d.self.Host, count) {
			out = append(out, d.self.update(true))
		}
		for _, m := range byBucket[b] {
			u := m.update(true)
			if m.suspicion != nil && len(m.suspicion.by) > 0 {
				u.By = m.suspicion.by[0]
			}
			out = append(out, u)
		}
		if len(out) >= n {
			return out[:n]
		}
	}
	return out
}

// reconnect tries to reach a host that is held for dead, or a seed that is no member: only this ends a partition in
// which each side holds the other one for dead.
func (d *Detector) reconnect(now time.Time) {
	d.nextReconnect = now.Add(d.cfg.ReconnectInterval/2 + d.spread(d.cfg.ReconnectInterval))
	var dead []*member
	for _, m := range d.t.all {
		if m.State == Dead {
			dead = append(dead, m)
		}
	}
	seeds := d.foreignSeeds()
	if n := len(dead) + len(seeds); n == 0 || d.rand.IntN(n) >= len(dead) {
		d.syncWithSeed(seeds)
		return
	}
	m := dead[d.rand.IntN(len(dead))]
	d.send(m, callOther, 0, d.compose(m, KindPing), d.cfg.Interval)
}

// dueRelays returns the requests whose refusal is due, in order.
func dueRelays(relays map[uint64]*relay, now time.Time) []uint64 {
	var out []uint64
	for request, r := range relays {
		if !now.Before(r.refuseAt) {
			out = append(out, request)
		}
	}
	slices.Sort(out)
	return out
}
