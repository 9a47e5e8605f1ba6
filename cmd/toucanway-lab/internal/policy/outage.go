package policy

import (
	"time"

	"toucanway/core/control"
	"toucanway/core/fleet"
	"toucanway/core/queue"
)

// publishReplicas sets in the routers of all hosts which servers have a ready replica.
func (s *simulation) publishReplicas() {
	var ids []fleet.BackendID
	for _, v := range s.readyServers {
		ids = append(ids, v.id)
	}
	for _, h := range s.hosts {
		h.router.SetReplicas(target.Model, ids)
	}
}

// addServer adds a server whose replica is ready and starts attempts of the requests that were queued while no server was up.
func (s *simulation) addServer(v *server) {
	s.readyServers = append(s.readyServers, v)
	s.publishReplicas()
	for _, h := range s.hosts {
		requests := h.fifo
		h.fifo = nil
		for {
			e, ok := h.waiting.Pop(s.now, func(*queue.Entry) queue.Verdict { return queue.Serve })
			if !ok {
				break
			}
			requests = append(requests, h.queued[e.Ticket])
			delete(h.queued, e.Ticket)
		}
		for _, r := range requests {
			s.startAttempt(r, nil)
		}
	}
}

// queueRequest queues a request while no server is up. Except for the baseline, the request is refused when its deadline
// passes or the queue is full.
func (s *simulation) queueRequest(h *host, r *request) {
	if s.settings.fifo {
		h.fifo = append(h.fifo, r)
		return
	}
	t, ok := h.waiting.Push(s.now, queue.Entry{
		Class: r.class, Tenant: r.tenant, Tokens: r.prediction.Mean + fleet.Tokens(r.prompt), Long: s.settings.long(r), Deadline: r.deadline,
	})
	if !ok {
		s.repeat(r)
		return
	}
	h.queued[t] = r
	s.at(r.deadline, func() {
		for _, e := range h.waiting.Expired(s.now) {
			s.repeat(h.queued[e.Ticket])
			delete(h.queued, e.Ticket)
		}
	})
}

// recordCrash records a crash in the control state and the requests that ran as suspects at their hosts. The crash records
// of the control state reach the hosts after 300 ms.
func (s *simulation) recordCrash(v *server, lost []*attempt) {
	c := &control.RecordCrash{Backend: v.id, Incarnation: fleet.Incarnation(v.incarnation)}
	for _, a := range lost {
		c.Fingerprints = append(c.Fingerprints, a.request.origin)
		c.Alone = a.alone
		a.host.poison.Suspect(s.now, a.request.origin)
	}
	data, err := control.Encode(control.Proposal{Command: c})
	if err != nil {
		panic(err)
	}
	s.index++
	s.control.Apply(s.index, data)
	s.after(300*time.Millisecond, func() {
		for _, h := range s.hosts {
			h.poison.SetCrashRecords(s.now, s.control.CrashRecords())
		}
	})
}
