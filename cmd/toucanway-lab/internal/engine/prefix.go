package engine

import (
	"container/list"
	"time"

	"toucanway/cmd/toucanway-lab/internal/tokens"
	"toucanway/core/fleet"
)

// maxQueuedEvents bounds the events queued for one entry host. The oldest are dropped first, which leaves a gap in the
// sequence numbers.
const maxQueuedEvents = 8192

// maxEventsPerPost bounds the events in one post; the others are sent with the next announcement.
const maxEventsPerPost = 4096

// prefixCache is an LRU cache of prompt blocks. It also queues the cache events that are not yet published.
type prefixCache struct {
	limit  int
	blocks map[uint64]*list.Element
	order  *list.List
	seq    uint64
	// queues holds one queue of unpublished events for each entry host.
	queues [][]pendingEvent
}

type block struct {
	hash   uint64
	target fleet.Target
	length fleet.Tokens
}

type pendingEvent struct {
	at    time.Time
	event fleet.CacheEvent
}

func newPrefixCache(limit, queues int) prefixCache {
	return prefixCache{
		limit: limit, blocks: map[uint64]*list.Element{}, order: list.New(), queues: make([][]pendingEvent, queues),
	}
}

// lookupAndInsert returns how many leading tokens of a prompt are cached, and adds all complete blocks of the prompt to the
// cache.
func (c *prefixCache) lookupAndInsert(target fleet.Target, prompt string) fleet.Tokens {
	var found fleet.Tokens
	hit := true
	for i, hash := range tokens.Blocks(target, prompt) {
		length := fleet.Tokens((i + 1) * tokens.BlockLength)
		if el, ok := c.blocks[hash]; ok {
			c.order.MoveToFront(el)
			if hit {
				found = length
			}
			continue
		}
		hit = false
		b := block{hash: hash, target: target, length: length}
		c.blocks[hash] = c.order.PushFront(b)
		c.publish(b, false)
	}
	for c.order.Len() > c.limit {
		el := c.order.Back()
		b := c.order.Remove(el).(block)
		delete(c.blocks, b.hash)
		c.publish(b, true)
	}
	return found
}

// evictTarget evicts all blocks of a target, or of a model with all its adapters when the target is a base model.
func (c *prefixCache) evictTarget(target fleet.Target) {
	for el := c.order.Front(); el != nil; {
		next := el.Next()
		b := el.Value.(block)
		if b.target == target || target.Adapter == "" && b.target.Model == target.Model {
			c.order.Remove(el)
			delete(c.blocks, b.hash)
			c.publish(b, true)
		}
		el = next
	}
}

// publish appends an event to the queue of every entry host.
func (c *prefixCache) publish(b block, evicted bool) {
	c.seq++
	e := pendingEvent{at: time.Now(), event: fleet.CacheEvent{
		Seq: c.seq, Target: b.target, Prefix: b.hash, Length: b.length, Evicted: evicted,
	}}
	for i, queue := range c.queues {
		if len(queue) >= maxQueuedEvents {
			queue = queue[1:]
		}
		c.queues[i] = append(queue, e)
	}
}

// takeDue removes and returns the events in the queue of an entry host that are at least as old as the lag, at most
// maxEventsPerPost.
func (c *prefixCache) takeDue(queue int, lag time.Duration) []fleet.CacheEvent {
	limit := time.Now().Add(-lag)
	var out []fleet.CacheEvent
	pending := c.queues[queue]
	for len(pending) > 0 && len(out) < maxEventsPerPost && !pending[0].at.After(limit) {
		out = append(out, pending[0].event)
		pending = pending[1:]
	}
	c.queues[queue] = pending
	return out
}
