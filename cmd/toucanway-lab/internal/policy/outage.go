package policy

import (
	"time"

	"toucanway/core/control"
	"toucanway/core/fleet"
	"toucanway/core/queue"
)

// replicas tells the hosts which servers are up.
func (s *simulation) replicas() {
	var on []fleet.BackendID
	for _, v := range s.up {
		on = append(on, v.id)
	}
	for _, h := range s.hosts {
		h.router.SetReplicas(target.Model, on)
	}
}

// join adds a server whose replica is ready and sends the requests that waited for one.
func (s *simulation) join(v *server) {
	s.up = append(s.up, v)
	s.replicas()
	for _, h := range s.hosts {
		held := h.held
		h.held = nil
		for {
			e, ok := h.waiting.Pop(s.now, func(*queue.Entry) queue.Verdict { return queue.Take })
			if !ok {
				break
			}
			held = append(held, h.tickets[e.Ticket])
			delete(h.tickets, e.Ticket)
		}
		for _, r := range held {
			s.try(r, nil)
		}
	}
}

// hold keeps a request while no server is up.
func (s *simulation) hold(h *host, r *request) {
	if s.p.fifo {
		h.held = append(h.held, r)
		return
	}
	t, ok := h.waiting.Push(s.now, queue.Entry{
		Class: r.class, Tenant: r.tenant, Tokens: r.predicted.Mean + fleet.Tokens(r.prompt), Long: s.p.long(r), Deadline: r.deadline,
	})
	if !ok {
		s.again(r)
		return
	}
	h.tickets[t] = r
	s.at(r.deadline, func() {
		for _, e := range h.waiting.Expired(s.now) {
			s.again(h.tickets[e.Ticket])
			delete(h.tickets, e.Ticket)
		}
	})
}

// recordCrash tells the control state of a crash; its marks reach the hosts after a while.
func (s *simulation) recordCrash(v *server, lost []*attempt) {
	c := &control.RecordCrash{Backend: v.id, Incarnation: fleet.Incarnation(v.life)}
	for _, a := range lost {
		c.Fingerprints = append(c.Fingerprints, a.r.origin)
		c.Alone = a.alone
		a.host.poison.Suspect(s.now, a.r.origin)
	}
	data, err := control.Encode(control.Proposal{Command: c})
	if err != nil {
		panic(err)
	}
	s.index++
	s.control.Apply(s.index, data)
	s.after(300*time.Millisecond, func() {
		for _, h := range s.hosts {
			h.poison.SetMarks(s.now, s.control.Marks())
		}
	})
}
