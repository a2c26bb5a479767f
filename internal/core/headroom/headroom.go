// Package headroom computes how much batch work an engine may hold, so that batch work
// uses the capacity that online work leaves idle and its effect on the tail latency of
// online work stays bounded.
//
// An engine without online work may be filled. An engine with online work may be
// filled up to a density that online work alone reaches on the engines on which it is
// concentrated, so that no stream there is slower than on those. An engine that online
// work has just left keeps that limit for a hold time, so that batch work is not
// started only to be preempted.
package headroom

import "time"

// Limits holds the bounds that apply at one moment.
type Limits struct {
	// Full is the part of maxRunning that batch work may fill on an engine without
	// online work.
	Full float64
	// Density is the part of maxRunning up to which batch work may fill an engine
	// with online work, online sequences included.
	Density float64
	// MinBatch is the number of batch sequences that may run beside online work even
	// above Density, as long as the engine has free slots.
	MinBatch int
	// Hold is how long an engine counts as having online work after its last online
	// sequence.
	Hold time.Duration
}

// Allowed returns the number of batch sequences that an engine may hold. The engine
// runs at most maxRunning sequences; online is the number of its online sequences, and
// idle is the time since the last one.
func (l Limits) Allowed(maxRunning, online int, idle time.Duration) int {
	if online == 0 && idle >= l.Hold {
		return int(l.Full * float64(maxRunning))
	}
	beside := max(l.MinBatch, int(l.Density*float64(maxRunning))-online)
	return max(0, min(beside, maxRunning-online))
}
