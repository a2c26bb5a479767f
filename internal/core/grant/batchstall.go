package grant

import (
	"slices"
	"time"

	"ringstream.example/ringstream/internal/core/enginechoice"
)

// BatchWaitReason tells why no batch request of a lane has been granted an engine.
type BatchWaitReason uint8

// The reasons, in the order in which a pass over the queue checks them.
const (
	BatchWaitsForOnline   BatchWaitReason = iota // online requests wait
	BatchWaitsForOverload                        // the overload control refuses requests
	BatchWaitsForSlot                            // no slot is left for batch requests
	BatchWaitsForEngine                          // slots are left, but no engine accepted a request
)

var batchWaitReasonNames = [...]string{"online_requests_wait", "overload", "no_slot", "no_engine_accepts"}

// String returns the name for logs.
func (r BatchWaitReason) String() string { return batchWaitReasonNames[r] }

// BatchStall reports that batch requests of a lane wait although none has been granted an
// engine for some time.
type BatchStall struct {
	Reason BatchWaitReason // of the last pass over the queue
	For    time.Duration   // time since the last grant, or since the first request joined the queue
	Queued int             // batch requests that wait
	// Slots is how many of them the slots of the lane's engines allow; 0 if the pass did not
	// get that far.
	Slots int
	// Node, ID, MemoryTokens and Waited describe the request at the front of the queue.
	Node         string // address of its node
	ID           uint64 // Ask.ID
	MemoryTokens int
	Waited       time.Duration
	// LargestMemory is the largest memory of an engine that accepts work, in tokens; 0 if one
	// has unknown memory.
	LargestMemory int
}

// Intervals of the reports of stalled batch requests.
const (
	batchStallAfter    = time.Second      // without a grant
	batchStallInterval = 10 * time.Second // between two reports
)

// batchStalls observes whether the batch requests of a lane get engines.
type batchStalls struct {
	since      time.Time // of the last grant, or when the oldest of the waiting requests joined the queue
	reportedAt time.Time // zero if not since then
	reason     BatchWaitReason
	slots      int
	reports    []BatchStall // not yet taken
}

// granted records a grant, or that no batch request waits.
func (s *batchStalls) granted(now time.Time) { s.since, s.reportedAt = now, time.Time{} }

// ungranted records why a pass over the queue granted nothing.
func (s *batchStalls) ungranted(reason BatchWaitReason, slots int) { s.reason, s.slots = reason, slots }

// reviewDue reports whether the queue is to be looked at for a stall.
func (s *batchStalls) reviewDue(now time.Time) bool {
	return now.Sub(s.since) >= batchStallAfter && now.Sub(s.reportedAt) >= batchStallInterval
}

// reviewBatchStall reports a stall of the batch requests.
func (d *Dispatcher) reviewBatchStall(now time.Time) {
	stalls := &d.batchStalls
	if !stalls.reviewDue(now) {
		return
	}
	queue := d.arrangeBatch(now)
	if len(queue) == 0 {
		stalls.granted(now)
		return
	}
	oldest := slices.MinFunc(queue, func(a, b *Waiting) int { return a.Since.Compare(b.Since) })
	if oldest.Since.After(stalls.since) {
		stalls.granted(oldest.Since)
	}
	if !stalls.reviewDue(now) {
		return
	}
	stalls.reportedAt = now
	first := queue[0]
	stalls.reports = append(stalls.reports, BatchStall{
		Reason: stalls.reason, For: now.Sub(stalls.since), Queued: len(queue), Slots: stalls.slots,
		Node: first.Node, ID: first.ID, MemoryTokens: first.MemoryTokens, Waited: now.Sub(first.Since),
		LargestMemory: d.engines.LargestMemory(enginechoice.Query{Pool: d.lane.Pool}),
	})
}

// BatchStalls returns the stalls since the last call.
func (d *Dispatcher) BatchStalls() []BatchStall {
	reports := d.batchStalls.reports
	d.batchStalls.reports = nil
	return reports
}
