package grant

import (
	"cmp"
	"slices"
	"time"
)

// grantBatch grants batch requests the capacity that online requests leave. A request that no engine
// accepts does not hold up the requests behind it, however many there are.
func (d *Dispatcher) grantBatch(now time.Time) {
	if d.anyEngineAwaited {
		d.batchStalls.ungranted(BatchWaitsForOnline, 0)
		return
	}
	if d.policies.Overload.Overloaded(now) {
		d.batchStalls.ungranted(BatchWaitsForOverload, 0)
		return
	}
	d.retryBatch = false
	d.dropStaleReservation()
	queue := d.arrangeBatch(now)
	if len(queue) == 0 {
		d.batchStalls.granted(now)
		return
	}
	pass := batchPass{slots: d.engines.BatchCapacity(d.lane.Pool, queue[0].entry.ask.RoomPercent, now), blocked: make(map[uint64]int)}
	if pass.slots == 0 {
		d.batchStalls.ungranted(BatchWaitsForSlot, 0)
		return
	}
	d.tryReserved(&pass, now)
	for _, waiting := range queue {
		if pass.slots == 0 || !d.tryGrantBatch(&pass, waiting.entry, now) {
			break
		}
	}
	d.reserveForBlocked(&pass, now)
}

// batchPass is what one pass over the batch requests has found out.
type batchPass struct {
	slots int // that batch requests may still use
	// blocked holds, by exclusionKey, the least memory of a request that no engine accepts; 0 if the
	// engines have no slot for one.
	blocked map[uint64]int
	// lackMemory holds the requests, in the order of the queue, for which no engine has the memory now.
	lackMemory []*queuedAsk
	passedOver bool // a request behind the first of lackMemory has been granted an engine
}

// skips reports whether no engine accepts a request, since none accepted one that needs least tokens of
// memory, which is no more.
func (p *batchPass) skips(entry *queuedAsk) (least int, skipped bool) {
	least, known := p.blocked[exclusionKey(entry.ask.Exclude)]
	return least, known && entry.MemoryTokens >= least && entry.ask.Suspect.Content == 0
}

// tryGrantBatch grants a batch request an engine if one accepts it. It returns false if no engine
// accepts any further batch request.
func (d *Dispatcher) tryGrantBatch(pass *batchPass, entry *queuedAsk, now time.Time) bool {
	if !d.isQueued(entry) || d.reservation.holder == entry {
		return true // tryReserved has tried it
	}
	if least, skipped := pass.skips(entry); skipped {
		if least > 0 {
			pass.lackMemory = append(pass.lackMemory, entry)
		}
		return true
	}
	if d.tryGrant(entry, now) == isGranted {
		pass.slots--
		pass.passedOver = len(pass.lackMemory) > 0
		d.batchStalls.granted(now)
		return true
	}
	d.batchStalls.ungranted(BatchWaitsForEngine, pass.slots)
	if entry.ask.Suspect.Content != 0 {
		d.recordBlockedSuspect(pass, entry, now)
		return true
	}
	return d.recordBlocked(pass, entry, now)
}

// recordBlockedSuspect records a suspect that no engine accepts. Other requests may be accepted, since
// whether a suspect may run depends on the other suspects.
func (d *Dispatcher) recordBlockedSuspect(pass *batchPass, entry *queuedAsk, now time.Time) {
	room := d.engines.BatchRoom(d.query(entry, d.nodes[entry.Node]), now)
	if room.Open && entry.MemoryTokens > room.HoldingTokens && !d.isInFlight(entry.ask.Suspect.Content) {
		pass.lackMemory = append(pass.lackMemory, entry)
	}
}

// recordBlocked records a request that no engine accepts. It returns false if no engine accepts any
// further batch request.
func (d *Dispatcher) recordBlocked(pass *batchPass, entry *queuedAsk, now time.Time) bool {
	key := exclusionKey(entry.ask.Exclude)
	room := d.engines.BatchRoom(d.query(entry, d.nodes[entry.Node]), now)
	if !room.Open {
		pass.blocked[key] = 0
		return len(entry.ask.Exclude) > 0 // other engines may accept the requests that follow
	}
	if entry.MemoryTokens > room.Tokens {
		pass.blocked[key] = max(room.Tokens+1, 1)
	}
	if entry.MemoryTokens > room.HoldingTokens {
		pass.lackMemory = append(pass.lackMemory, entry)
	}
	return true
}

// exclusionKey returns a key that is the same for all orders of the excluded engines. It is 0 if there
// are none.
func exclusionKey(exclude []uint64) uint64 {
	key := uint64(0)
	for _, engine := range exclude {
		key ^= engine
	}
	return key
}

// arrangeBatch returns the batch requests in the order in which slots are granted. Requests that
// are not late come first.
func (d *Dispatcher) arrangeBatch(now time.Time) []*Waiting {
	var queue []*Waiting
	for _, known := range d.nodes {
		for _, entry := range known.queued {
			if entry.ask.Batch {
				entry.InTime = !entry.ask.Late
				queue = append(queue, &entry.Waiting)
			}
		}
	}
	slices.SortFunc(queue, func(a, b *Waiting) int { return cmp.Or(cmp.Compare(a.ID, b.ID), cmp.Compare(a.Node, b.Node)) })
	d.policies.BatchOrder.Arrange(queue, now)
	return queue
}
