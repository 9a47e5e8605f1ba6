package engine

import (
	"container/list"
	"time"

	"toucanway/cmd/toucanway-lab/internal/tokens"
	"toucanway/core/fleet"
)

// maxFeed bounds the events not yet published to one entry host; the oldest are dropped, which leaves a gap.
const maxFeed = 8192

// maxPost bounds the events of one post; the others follow with the next announcement.
const maxPost = 4096

// prefixCache holds blocks of prompts, the least recently used of which are evicted, and the events not yet published.
type prefixCache struct {
	limit  int
	blocks map[uint64]*list.Element
	order  *list.List
	seq    uint64
	// feeds hold the events not yet published, one for each entry host.
	feeds [][]pendingEvent
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

func newPrefixCache(limit, feeds int) prefixCache {
	return prefixCache{
		limit: limit, blocks: map[uint64]*list.Element{}, order: list.New(), feeds: make([][]pendingEvent, feeds),
	}
}

// use returns how many tokens of a prompt are cached, and caches all its whole blocks.
func (c *prefixCache) use(target fleet.Target, prompt string) fleet.Tokens {
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

// drop evicts all blocks of a target, or of a model with all its adapters when the target is a base model.
func (c *prefixCache) drop(target fleet.Target) {
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

// publish adds an event to every feed.
func (c *prefixCache) publish(b block, evicted bool) {
	c.seq++
	e := pendingEvent{at: time.Now(), event: fleet.CacheEvent{
		Seq: c.seq, Target: b.target, Prefix: b.hash, Length: b.length, Evicted: evicted,
	}}
	for i, feed := range c.feeds {
		if len(feed) >= maxFeed {
			feed = feed[1:]
		}
		c.feeds[i] = append(feed, e)
	}
}

// due removes and returns the events of a feed that are older than the lag.
func (c *prefixCache) due(feed int, lag time.Duration) []fleet.CacheEvent {
	limit := time.Now().Add(-lag)
	var out []fleet.CacheEvent
	pending := c.feeds[feed]
	for len(pending) > 0 && len(out) < maxPost && !pending[0].at.After(limit) {
		out = append(out, pending[0].event)
		pending = pending[1:]
	}
	c.feeds[feed] = pending
	return out
}
