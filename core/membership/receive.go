package membership

import "time"

// Receive handles a request from another host. The Reply with the same request number is returned at once or, for
// KindPingRequest, by a later call within Settings.Timeout.
func (d *Detector) Receive(now time.Time, request uint64, msg Message) []Effect {
	if !msg.valid() || msg.Kind > KindSync || msg.From == d.self.Host {
		d.reply(request, Message{Kind: KindNack, From: d.self.Host})
		return d.takeEffects()
	}
	if d.self.State == Left {
		d.reply(request, d.compose(nil, KindNack))
		return d.takeEffects()
	}
	d.joined = true
	d.merge(now, &msg, false)
	from := d.table.byID[msg.From]
	if from != nil {
		from.lastRequest = now
		d.updatePath(from)
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
			return d.takeEffects()
		}
		out.Kind = KindNack
	case KindSync:
		out.Kind = KindSyncAck
		out.Updates = append(out.Updates, d.differingRecords(msg.Buckets, maxRecords-len(out.Updates))...)
	default:
		panic("membership: unknown kind of request")
	}
	d.reply(request, out)
	return d.takeEffects()
}

func (d *Detector) reply(request uint64, msg Message) {
	d.emit(Reply{Request: request, Message: msg})
}

// compose returns a message with the records that its receiver should get; to is nil when the receiver is unknown.
func (d *Detector) compose(to *member, kind Kind) Message {
	msg := Message{
		Kind: kind, From: d.self.Host, Version: d.self.Version, Digest: d.digest(), Leaving: d.self.State == Left,
	}
	if to != nil {
		if kind < KindAck {
			msg.Target = to.Host
		}
		// A host that is not considered alive has to know that in order to refute it.
		if to.State != Alive {
			u := to.update(false)
			u.ReportedBy = d.self.Host
			msg.Updates = append(msg.Updates, u)
		} else if to.deathReport != nil {
			msg.Updates = append(msg.Updates, *to.deathReport)
			to.deathReport = nil
		}
	}
	msg.Updates = append(msg.Updates, d.gossip.nextBatch(maxUpdates, sendLimit(d.groupSize()))...)
	return msg
}

// startRelay probes a host on behalf of another one. It returns false if it does not start the probe.
func (d *Detector) startRelay(now time.Time, request uint64, from *member, msg *Message) bool {
	target := d.table.byID[msg.Target]
	if target == nil || target.State.gone() || from == nil || len(d.relays) >= maxRelayedProbes {
		return false
	}
	// The negative answer must arrive before the requester evaluates its probe, so it is not delayed by this host's health.
	d.relays[request] = &relay{requester: from, target: target, nackAt: now.Add(d.cfg.Timeout)}
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
	msg := d.compose(r.requester, kind)
	msg.Target = r.target.Host
	// The target's record is included, since it may be a refutation.
	msg.Updates = append(msg.Updates, r.target.update(false))
	d.reply(request, msg)
}

func (d *Detector) checkRelays(now time.Time) {
	for _, request := range dueRelays(d.relays, now) {
		d.answerRelay(request, false)
	}
}
