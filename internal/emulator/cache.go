package emulator

import (
	"container/list"
	"strconv"
	"time"

	"ringstream.example/ringstream/internal/backend"
	"ringstream.example/ringstream/internal/backend/wire"
)

// blockTokens is the length of one cached block in tokens, at 4 bytes a token.
const blockTokens = backend.PrefixBlockBytes / 4

// maxCacheEvents bounds the number of cache events kept for readers.
const maxCacheEvents = 4096

// prefixCache is an LRU cache of prompt blocks with a log of its changes.
type prefixCache struct {
	capacity     int // blocks
	lru          *list.List
	blocks       map[uint64]*list.Element
	lastSequence uint64
	events       []cacheChange
}

type cacheChange struct {
	wire.CacheEvent
	at time.Time
}

func newPrefixCache(capacity int) *prefixCache {
	return &prefixCache{capacity: capacity, lru: list.New(), blocks: map[uint64]*list.Element{}}
}

// prefixHashes returns the hashes of a sequence's complete prompt blocks.
func prefixHashes(s *sequence) []uint64 {
	request := s.request
	blocks := len(request.Prompt) / backend.PrefixBlockBytes
	return backend.AppendPrefixHashes(make([]uint64, 0, blocks), request.Model, request.Adapter, request.Prompt, blocks)
}

// match returns the number of leading blocks that are cached.
func (c *prefixCache) match(hashes []uint64) int {
	for i, hash := range hashes {
		if _, found := c.blocks[hash]; !found {
			return i
		}
	}
	return len(hashes)
}

// store caches a chain of blocks. Its head becomes the most recently used block,
// so that chains are evicted from their tails.
func (c *prefixCache) store(hashes []uint64, now time.Time) {
	for i := len(hashes) - 1; i >= 0; i-- {
		if element, found := c.blocks[hashes[i]]; found {
			c.lru.MoveToFront(element)
			continue
		}
		c.blocks[hashes[i]] = c.lru.PushFront(hashes[i])
		c.record(hashes[i], true, now)
	}
	for len(c.blocks) > c.capacity {
		oldest := c.lru.Back()
		hash, _ := c.lru.Remove(oldest).(uint64)
		delete(c.blocks, hash)
		c.record(hash, false, now)
	}
}

func (c *prefixCache) record(hash uint64, stored bool, now time.Time) {
	c.lastSequence++
	if len(c.events) >= maxCacheEvents {
		c.events = append(c.events[:0], c.events[maxCacheEvents/2:]...)
	}
	c.events = append(c.events, cacheChange{wire.CacheEvent{Sequence: c.lastSequence, Prefix: hash, Stored: stored}, now})
}

// cacheEvents returns the visible events after a sequence number. Events become
// visible after CacheLag, and a fraction of them is lost. Whether an event is
// lost depends only on the engine and the event's number, so that a lost event
// stays lost.
func (e *Engine) cacheEvents(since uint64, now time.Time) []wire.CacheEvent {
	e.mu.Lock()
	defer e.mu.Unlock()
	visible := now.Add(-e.config.CacheLag)
	events := []wire.CacheEvent{}
	for _, change := range e.cache.events {
		if change.Sequence > since && !change.at.After(visible) && !e.eventLost(change.Sequence) {
			events = append(events, change.CacheEvent)
		}
	}
	return events
}

func (e *Engine) eventLost(sequence uint64) bool {
	const scale = 1 << 20
	draw := PromptHash(e.config.ID, strconv.FormatUint(sequence, 10)) % scale
	return float64(draw) < e.config.CacheLossRate*scale
}
