package membership

import "time"

// Receive takes a request of another host. The Reply under the same number comes at once or, for KindPingRequest, within
// the timeout of a probe.
func (d *Detector) Receive(now time.Time, request uint64, msg Message) []Effect {
	if !msg.valid() || msg.Kind > KindSync || msg.From == d.self.Host {
		d.reply(request, Message{Kind: KindNack, From: d.self.Host})
		return d.drain()
	}
	if d.self.State == Left {
		d.reply(request, d.compose(nil, KindNack))
		return d.drain()
	}
	d.joined = true
	d.merge(now, &msg, false)
	from := d.t.byID[msg.From]
	if from != nil {
		from.heard = now
		d.judgePath(from)
	}
	out := d.compose(from, KindAck)
	out.Unknown = from == nil || msg.Version.Compare(from.Version) > 0
	switch msg.Kind {
	case KindPing:
		if msg.Target != "" && msg.Target != d.self.Host {
			out.Kind = KindNack
		}
	case KindPingRequest:
		if d.startRelay(now, request, from, &msg) {
			return d.drain()
		}
		out.Kind = KindNack
	case KindSync:
		out.Kind = KindSyncAck
		out.Updates = append(out.Updates, d.records(msg.Buckets, maxRecords-len(out.Updates))...)
	default:
		panic("membership: unknown kind of request")
	}
	d.reply(request, out)
	return d.drain()
}

func (d *Detector) reply(request uint64, msg Message) {
	d.emit(Reply{Request: request, Message: msg})
}

// compose returns a message with the records due to its receiver; to is nil when the receiver is not known.
func (d *Detector) compose(to *member, kind Kind) Message {
	msg := Message{
		Kind: kind, From: d.self.Host, Version: d.self.Version, Digest: d.digest(), Leaving: d.self.State == Left,
	}
	if to != nil {
		if kind < KindAck {
			msg.Target = to.Host
		}
		// A host that others hold for gone has to know it to refute.
		if to.State != Alive {
			u := to.update(false)
			u.By = d.self.Host
			msg.Updates = append(msg.Updates, u)
		} else if to.told != nil {
			msg.Updates = append(msg.Updates, *to.told)
			to.told = nil
		}
	}
	msg.Updates = append(msg.Updates, d.gossip.take(maxUpdates, sendLimit(d.hosts()))...)
	return msg
}

// startRelay probes a host for another one, and reports false when it does not.
func (d *Detector) startRelay(now time.Time, request uint64, from *member, msg *Message) bool {
	target := d.t.byID[msg.Target]
	if target == nil || target.State.gone() || from == nil || len(d.relays) >= maxRelayed {
		return false
	}
	// The refusal must reach the asking host before its own verdict, so this host's health does not delay it.
	d.relays[request] = &relay{asker: from, target: target, refuseAt: now.Add(d.cfg.Timeout)}
	d.send(target, callRelay, request, d.compose(target, KindPing), d.cfg.Interval)
	return true
}

func (d *Detector) answerRelay(request uint64, reached bool) {
	r, ok := d.relays[request]
	if !ok {
		return
	}
	delete(d.relays, request)
	kind := KindNack
	if reached {
		kind = KindAck
	}
	msg := d.compose(r.asker, kind)
	msg.Target = r.target.Host
	// The target's record comes along, since it may hold a refutation.
	msg.Updates = append(msg.Updates, r.target.update(false))
	d.reply(request, msg)
}

func (d *Detector) checkRelays(now time.Time) {
	for _, request := range dueRelays(d.relays, now) {
		d.answerRelay(request, false)
	}
}
