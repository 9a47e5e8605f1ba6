package voters

import (
	"context"
	"sync"

	"golang.org/x/sync/errgroup"

	"toucanway/core/fleet"
	"toucanway/core/raft"
)

// senders hold one queue and goroutine for each other member; the loop alone adds to them.
type senders struct {
	g      *Group
	ctx    context.Context
	eg     *errgroup.Group
	queues map[fleet.HostID]*queue
}

// queue holds the messages that wait for one member.
type queue struct {
	mu   sync.Mutex
	msgs []raft.Message
	wake chan struct{}
}

// maxSend bounds the entries and chunks of one Send.
const maxSend = 512 * fleet.KiB

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
		if q.put(m, s.g.set.Queue) {
			s.g.counters.dropped.Add(1)
		}
	}
}

// put adds a message and says whether it had to drop the oldest one.
func (q *queue) put(m raft.Message, bound int) (dropped bool) {
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

// take returns the next messages to send together.
func (q *queue) take() []raft.Message {
	q.mu.Lock()
	defer q.mu.Unlock()
	var size fleet.Bytes
	k := 0
	for k < len(q.msgs) && (k == 0 || size < maxSend) {
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
		for msgs := q.take(); len(msgs) > 0; msgs = q.take() {
			ctx, cancel := context.WithTimeout(s.ctx, s.g.set.SendTimeout)
			// Lost messages are sent again by raft, which also notices a member that doesn't answer.
			if err := s.g.set.Transport.Send(ctx, to, s.g.set.Group, msgs); err != nil {
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
