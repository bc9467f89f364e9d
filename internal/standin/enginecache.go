package standin

import (
	"container/list"
	"time"

	"github.com/oriolefront/oriolefront/internal/engine"
)

// kvExport is KV cache that is kept for import by another engine.
type kvExport struct {
	handle  string
	attempt string
	tokens  int
	madeAt  time.Time
}

type timedCacheEvent struct {
	at    time.Time
	event engine.CacheEvent
}

// prefixCache is a least-recently-used cache of prompt blocks.
type prefixCache struct {
	maxBlocks int
	recency   *list.List // block hashes (uint64), most recently used first
	blocks    map[uint64]*list.Element
	sequence  uint64
	events    []timedCacheEvent
}

func newPrefixCache(maxTokens int) *prefixCache {
	return &prefixCache{
		maxBlocks: maxTokens / engine.PrefixBlockTokens,
		recency:   list.New(),
		blocks:    map[uint64]*list.Element{},
	}
}

// match returns the number of prompt tokens whose prefix is cached.
func (c *prefixCache) match(promptJSON []byte) int {
	tokens := 0
	for _, h := range engine.AppendPrefixHashes(nil, promptJSON, BytesPerToken) {
		element, ok := c.blocks[h]
		if !ok {
			break
		}
		c.recency.MoveToFront(element)
		tokens += engine.PrefixBlockTokens
	}
	return tokens
}

func (c *prefixCache) insert(promptJSON []byte) {
	for i, h := range engine.AppendPrefixHashes(nil, promptJSON, BytesPerToken) {
		if _, ok := c.blocks[h]; ok {
			continue
		}
		c.blocks[h] = c.recency.PushFront(h)
		c.recordEvent(h, (i+1)*engine.PrefixBlockTokens, false)
	}
	for len(c.blocks) > c.maxBlocks {
		oldest := c.recency.Back()
		h := oldest.Value.(uint64)
		c.recency.Remove(oldest)
		delete(c.blocks, h)
		c.recordEvent(h, 0, true)
	}
}

const maxCacheEvents = 4096

func (c *prefixCache) recordEvent(prefix uint64, tokens int, removed bool) {
	c.sequence++
	c.events = append(c.events, timedCacheEvent{
		at:    time.Now(),
		event: engine.CacheEvent{Sequence: c.sequence, Prefix: prefix, Tokens: tokens, Removed: removed},
	})
	if len(c.events) > maxCacheEvents {
		c.events = c.events[len(c.events)-maxCacheEvents:]
	}
}

// eventsAfter returns the events after a sequence number that are at least lag old.
// Every lossEvery-th event is dropped; 0 drops none.
func (c *prefixCache) eventsAfter(after uint64, lag time.Duration, lossEvery int) []engine.CacheEvent {
	var out []engine.CacheEvent
	now := time.Now()
	for _, e := range c.events {
		if e.event.Sequence <= after || now.Sub(e.at) < lag {
			continue
		}
		if lossEvery > 0 && e.event.Sequence%uint64(lossEvery) == 0 {
			continue
		}
		out = append(out, e.event)
	}
	return out
}
