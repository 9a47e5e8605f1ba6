package voters

import (
	"context"
	"sync"

	"golang.org/x/sync/errgroup"

	"toucanway/core/fleet"
	"toucanway/core/raft"
)

// senders holds one queue and goroutine for each other member; only the loop adds to it.
type senders struct {
	g      *Group
	ctx    context.Context
	eg     *errgroup.Group
	queues map[fleet.HostID]*queue
}

// queue holds the messages to be sent to one member.
type queue struct {
	mu   sync.Mutex
	msgs []raft.Message
	wake chan struct{}
}

// maxSendBytes is the size of the entries and chunks in one Send; once it is reached, no further message is added.
const maxSendBytes = 512 * fleet.KiB

func (s *senders) send(msgs []raft.Message) {
	for _, m := range msgs {
		q := s.queues[m.To]
		if q == nil {
			q = &queue{wake: make(chan struct{}, 1)}
			s.queues[m.To] = q
			s.eg.Go(func() error {
				s.run(m.To, q)
				return nil
			})
		}
		if q.add(m, s.g.cfg.MaxQueued) {
			s.g.counters.dropped.Add(1)
		}
	}
}

// add adds a message and reports whether the queue was full, so that the oldest one was dropped.
func (q *queue) add(m raft.Message, bound int) (dropped bool) {
	q.mu.Lock()
	if dropped = len(q.msgs) >= bound; dropped {
		q.msgs = append(q.msgs[:0:0], q.msgs[len(q.msgs)-bound+1:]...)
	}
	q.msgs = append(q.msgs, m)
	q.mu.Unlock()
	select {
	case q.wake <- struct{}{}:
	default:
	}
	return dropped
}

// nextBatch returns the next messages to send together.
func (q *queue) nextBatch() []raft.Message {
	q.mu.Lock()
	defer q.mu.Unlock()
	var size fleet.Bytes
	k := 0
	for k < len(q.msgs) && (k == 0 || size < maxSendBytes) {
		size += messageSize(&q.msgs[k])
		k++
	}
	out := q.msgs[:k:k]
	q.msgs = q.msgs[k:]
	return out
}

func messageSize(m *raft.Message) fleet.Bytes {
	var n fleet.Bytes
	for i := range m.Entries {
		n += m.Entries[i].Size()
	}
	if m.Chunk != nil {
		n += fleet.Bytes(len(m.Chunk.Data))
	}
	return n
}

func (s *senders) run(to fleet.HostID, q *queue) {
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-q.wake:
		}
		for msgs := q.nextBatch(); len(msgs) > 0; msgs = q.nextBatch() {
			ctx, cancel := context.WithTimeout(s.ctx, s.g.cfg.SendTimeout)
			// The error is only counted: raft sends lost messages again and detects a member that doesn't answer.
			if err := s.g.cfg.Transport.Send(ctx, to, s.g.cfg.Group, msgs); err != nil {
				s.g.counters.sendErrors.Add(1)
			}
			s.g.counters.sent.Add(uint64(len(msgs)))
			cancel()
			if s.ctx.Err() != nil {
				return
			}
		}
	}
}
