package routing

import "math/bits"

// MaxSlots is the maximum number of engines in a PrefixIndex.
const MaxSlots = 64 * slotWords

const slotWords = 3

// slotSet is a set of engine slots.
type slotSet [slotWords]uint64

func (s *slotSet) add(slot int)      { s[slot/64] |= 1 << (slot % 64) }
func (s *slotSet) remove(slot int)   { s[slot/64] &^= 1 << (slot % 64) }
func (s *slotSet) has(slot int) bool { return s[slot/64]&(1<<(slot%64)) != 0 }
func (s *slotSet) empty() bool       { return *s == slotSet{} }
func (s *slotSet) subtract(other *slotSet) {
	for i := range s {
		s[i] &^= other[i]
	}
}

// each calls visit for each slot of the set in ascending order.
func (s *slotSet) each(visit func(slot int)) {
	for word, set := range s {
		for ; set != 0; set &= set - 1 {
			visit(word*64 + bits.TrailingZeros64(set))
		}
	}
}

func (s *slotSet) intersect(other *slotSet) {
	for i := range s {
		s[i] &= other[i]
	}
}

// PrefixIndex estimates the contents of the engines' prefix caches: it maps each
// block-chain hash to the engines that are expected to have it cached. Its size is
// bounded; when it is full, the hash inserted first is evicted. Events may be
// late, lost or repeated. A wrong entry slows down one request and is then
// corrected by Observe.
type PrefixIndex struct {
	capacity      int
	holders       map[uint64]slotSet
	insertionRing []uint64 // ring of hashes in insertion order
	next          int
	lastSequence  [MaxSlots]uint64 // highest event sequence of each slot
}

// maxEventGap is the largest advance of an engine's event sequence for which the
// engine's entries are kept. After a larger gap they are all removed.
const maxEventGap = 64

// NewPrefixIndex returns an index with a capacity in hashes.
func NewPrefixIndex(capacity int) *PrefixIndex {
	return &PrefixIndex{
		capacity:      capacity,
		holders:       make(map[uint64]slotSet),
		insertionRing: make([]uint64, 0, capacity),
	}
}

// Len returns the number of hashes in the index.
func (p *PrefixIndex) Len() int { return len(p.holders) }

// Event applies one cache event of an engine. An event whose sequence number is
// not above the last one is ignored.
func (p *PrefixIndex) Event(slot int, sequence, hash uint64, stored bool) {
	if slot < 0 || slot >= MaxSlots || sequence <= p.lastSequence[slot] {
		return
	}
	if p.lastSequence[slot] != 0 && sequence-p.lastSequence[slot] > maxEventGap {
		p.removeSlot(slot)
	}
	p.lastSequence[slot] = sequence
	if stored {
		p.store(slot, hash)
		return
	}
	p.evict(slot, hash)
}

// LastSequence returns the highest event sequence number applied for the slot.
func (p *PrefixIndex) LastSequence(slot int) uint64 { return p.lastSequence[slot] }

// Expect records that a prompt was sent to an engine. The engine's cache will have
// the prompt's blocks before the cache events arrive.
func (p *PrefixIndex) Expect(slot int, prefix []uint64) {
	if slot < 0 || slot >= MaxSlots {
		return
	}
	for _, hash := range prefix {
		p.store(slot, hash)
	}
}

// Observe corrects the index by a cache hit length that the engine reported: only
// the first blocks of the prefix were cached when the request started.
func (p *PrefixIndex) Observe(slot int, prefix []uint64, blocks int) {
	if slot < 0 || slot >= MaxSlots {
		return
	}
	for _, hash := range prefix[min(blocks, len(prefix)):] {
		p.evict(slot, hash)
	}
}

// Reset clears a slot so that another engine can use it.
func (p *PrefixIndex) Reset(slot int) {
	p.removeSlot(slot)
	p.lastSequence[slot] = 0
}

// match sets the Blocks of each entry to the number of leading prefix blocks that
// its engine is expected to have cached.
func (p *PrefixIndex) match(prefix []uint64, candidates []Candidate, scratch *Scratch) {
	var holding slotSet
	for i := range scratch.entries {
		slot := candidates[scratch.entries[i].Index].Slot
		if slot >= 0 && slot < MaxSlots {
			holding.add(slot)
			scratch.bySlot[slot] = int32(i) //nolint:gosec // bounded by the candidates
		}
	}
	for depth, hash := range prefix {
		before := holding
		holders := p.holders[hash]
		holding.intersect(&holders)
		before.subtract(&holding)
		before.each(func(slot int) { scratch.entries[scratch.bySlot[slot]].Blocks = depth })
		if holding.empty() {
			return
		}
	}
	holding.each(func(slot int) { scratch.entries[scratch.bySlot[slot]].Blocks = len(prefix) })
}

func (p *PrefixIndex) store(slot int, hash uint64) {
	holders, known := p.holders[hash]
	holders.add(slot)
	if !known {
		p.insertHash(hash)
	}
	p.holders[hash] = holders
}

// insertHash inserts a new hash into the ring. If the ring is full, it evicts the
// oldest hash. A hash without holders stays in the ring until it is evicted.
func (p *PrefixIndex) insertHash(hash uint64) {
	if len(p.insertionRing) < p.capacity {
		p.insertionRing = append(p.insertionRing, hash)
		return
	}
	delete(p.holders, p.insertionRing[p.next])
	p.insertionRing[p.next] = hash
	p.next = (p.next + 1) % p.capacity
}

func (p *PrefixIndex) evict(slot int, hash uint64) {
	holders, known := p.holders[hash]
	if !known {
		return
	}
	holders.remove(slot)
	// An entry without holders stays until the ring evicts it, so that no hash is
	// in the ring twice.
	p.holders[hash] = holders
}

func (p *PrefixIndex) removeSlot(slot int) {
	for hash, holders := range p.holders {
		if holders.has(slot) {
			holders.remove(slot)
			p.holders[hash] = holders
		}
	}
}
