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
		q.put(m, s.g.set.Queue)
	}
}

func (q *queue) put(m raft.Message, bound int) {
	q.mu.Lock()
	if len(q.msgs) >= bound {
		q.msgs = append(q.msgs[:0:0], q.msgs[len(q.msgs)-bound+1:]...)
	}
	q.msgs = append(q.msgs, m)
	q.mu.Unlock()
	select {
	case q.wake <- struct{}{}:
	default:
	}
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
		n += fleet.Bytes(len(m.Entries[i].Data))
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
			_ = s.g.set.Transport.Send(ctx, to, s.g.set.Group, msgs)
			cancel()
			if s.ctx.Err() != nil {
				return
			}
		}
	}
}
