package grant

import (
	"slices"
	"time"

	"ringstream.example/ringstream/internal/core/enginechoice"
)

// engineReservation keeps an engine from batch requests that joined the queue later than a request
// which needs more memory than any engine has left. Without it, small requests that keep coming would
// take the memory that the large one waits for. There is at most one in a lane, and it lasts no longer
// than the batch work that was at the engine.
type engineReservation struct {
	holder *queuedAsk // nil: there is no reservation
	engine enginechoice.Incarnation
}

// keptFrom returns the engine that a request must leave to the holder, or the zero value if none.
func (r engineReservation) keptFrom(entry *queuedAsk) enginechoice.Incarnation {
	if r.holder == nil || r.holder == entry || (entry.ask.Batch && !entry.Since.After(r.holder.Since)) {
		return enginechoice.Incarnation{}
	}
	return r.engine
}

// dropStaleReservation ends the reservation of a request that no longer waits.
func (d *Dispatcher) dropStaleReservation() {
	if d.reservation.holder != nil && !d.isQueued(d.reservation.holder) {
		d.reservation = engineReservation{}
	}
}

// reserveEngine reserves an engine for a batch request that none has room for. There is no reservation
// if no engine would have room without its other batch work.
func (d *Dispatcher) reserveEngine(entry *queuedAsk, now time.Time) {
	d.reservation = engineReservation{}
	if engine, found := d.engines.FirstToDrain(d.query(entry, d.nodes[entry.Node]), now); found {
		d.reservation = engineReservation{holder: entry, engine: engine}
	}
}

// tryReserved grants the holder of the reservation an engine if one has room now. It comes before the
// rest of the queue, which may have requests that would take the room again.
func (d *Dispatcher) tryReserved(pass *batchPass, now time.Time) {
	holder := d.reservation.holder
	if holder == nil {
		return
	}
	if d.tryGrant(holder, now) == isGranted {
		pass.slots--
		d.reservation = engineReservation{}
		d.batchStalls.granted(now)
		return
	}
	d.batchStalls.ungranted(BatchWaitsForEngine, pass.slots)
	d.reserveEngine(holder, now)
}

// largeRequestPercent is the percentage of an engine's memory above which a batch request counts as
// large. The memory that a few other requests free does not suffice for it.
const largeRequestPercent = 35

// IsLarge reports whether a batch request is large for an engine, both given by their memory in tokens. No
// request is large for an engine whose memory is unknown (0).
func IsLarge(request, engine int) bool {
	return engine > 0 && request > engine*largeRequestPercent/100
}

// reserveForBlocked reserves an engine for a request that lacks memory: the first one if others have
// been granted engines behind it, or else the large one that has waited longest.
func (d *Dispatcher) reserveForBlocked(pass *batchPass, now time.Time) {
	if d.reservation.holder != nil || len(pass.lackMemory) == 0 {
		return
	}
	candidates := pass.lackMemory
	if !pass.passedOver {
		largest := d.engines.LargestMemory(enginechoice.Query{Pool: d.lane.Pool})
		candidates = slices.DeleteFunc(candidates, func(entry *queuedAsk) bool { return !IsLarge(entry.MemoryTokens, largest) })
		slices.SortStableFunc(candidates, func(a, b *queuedAsk) int { return a.Since.Compare(b.Since) })
	}
	tooLarge := make(map[uint64]int) // by exclusionKey: the least memory for which no engine has room
	for _, entry := range candidates {
		key := exclusionKey(entry.ask.Exclude)
		if least, known := tooLarge[key]; known && entry.MemoryTokens >= least {
			continue
		}
		if d.reserveEngine(entry, now); d.reservation.holder != nil {
			return
		}
		tooLarge[key] = entry.MemoryTokens
	}
}
