package emulator

import (
	"container/list"
	"strconv"
	"time"

	"ringstream.example/ringstream/internal/backend"
	"ringstream.example/ringstream/internal/backend/wire"
)

// blockTokens is the length of one cached block in tokens.
const blockTokens = backend.PrefixBlockBytes / 4

// cacheEventLog bounds the cache events that can still be read.
const cacheEventLog = 4096

// prefixCache keeps the most recently used prompt blocks and logs the changes.
type prefixCache struct {
	capacity int // blocks
	recent   *list.List
	blocks   map[uint64]*list.Element
	sequence uint64
	events   []cacheChange
}

type cacheChange struct {
	wire.CacheEvent
	at time.Time
}

func newPrefixCache(capacity int) *prefixCache {
	return &prefixCache{capacity: capacity, recent: list.New(), blocks: map[uint64]*list.Element{}}
}

// prefixHashes names a sequence's whole prompt blocks.
func prefixHashes(s *sequence) []uint64 {
	request := s.request
	blocks := len(request.Prompt) / backend.PrefixBlockBytes
	return backend.AppendPrefixHashes(make([]uint64, 0, blocks), request.Model, request.Adapter, request.Prompt, blocks)
}

// match counts the leading blocks that are cached.
func (c *prefixCache) match(hashes []uint64) int {
	for i, hash := range hashes {
		if _, found := c.blocks[hash]; !found {
			return i
		}
	}
	return len(hashes)
}

// store caches a chain of blocks; its head is the most recently used, so that
// chains are evicted from their tails.
func (c *prefixCache) store(hashes []uint64, now time.Time) {
	for i := len(hashes) - 1; i >= 0; i-- {
		if element, found := c.blocks[hashes[i]]; found {
			c.recent.MoveToFront(element)
			continue
		}
		c.blocks[hashes[i]] = c.recent.PushFront(hashes[i])
		c.log(hashes[i], true, now)
	}
	for len(c.blocks) > c.capacity {
		oldest := c.recent.Back()
		hash, _ := c.recent.Remove(oldest).(uint64)
		delete(c.blocks, hash)
		c.log(hash, false, now)
	}
}

func (c *prefixCache) log(hash uint64, stored bool, now time.Time) {
	c.sequence++
	if len(c.events) >= cacheEventLog {
		c.events = append(c.events[:0], c.events[cacheEventLog/2:]...)
	}
	c.events = append(c.events, cacheChange{wire.CacheEvent{Sequence: c.sequence, Prefix: hash, Stored: stored}, now})
}

// cacheEvents gives what was published above a sequence number: late, and with
// a share lost. Whether an event is lost depends on its number alone, so that
// it stays lost.
func (e *Engine) cacheEvents(since uint64, now time.Time) []wire.CacheEvent {
	e.mu.Lock()
	defer e.mu.Unlock()
	visible := now.Add(-e.config.CacheLag)
	events := []wire.CacheEvent{}
	for _, change := range e.cache.events {
		if change.Sequence > since && !change.at.After(visible) && !e.lost(change.Sequence) {
			events = append(events, change.CacheEvent)
		}
	}
	return events
}

func (e *Engine) lost(sequence uint64) bool {
	const scale = 1 << 20
	draw := PromptHash(e.config.ID, strconv.FormatUint(sequence, 10)) % scale
	return float64(draw) < e.config.CacheLoss*scale
}
