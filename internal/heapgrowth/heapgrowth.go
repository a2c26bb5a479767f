// Package heapgrowth bounds how far the heap may grow beyond what is in use before it is collected.
// By default it may grow to twice that, which a large machine has room for and one of 184 MB
// that knows 10,000 engines has not to spare.
package heapgrowth

import (
	"context"
	"runtime/debug"
	"runtime/metrics"
	"time"

	"ringstream.example/ringstream/internal/wait"
)

const (
	// growth is how far the heap may grow. Less has it collected more often, at a cost by what
	// is in use; the default lets that of a node which knows 10,000 engines grow by 17 MB.
	growth = 8 << 20
	// The bounds of the garbage collector's percentage: the default, and what keeps collections
	// rare in a heap that is large for another reason.
	mostPercent  = 100
	leastPercent = 25

	lookEvery = 5 * time.Second
)

// live names the metric of the bytes that the last collection found in use.
const live = "/gc/heap/live:bytes"

// Percent gives the garbage collector's percentage for a heap with so many bytes in use.
func Percent(inUse uint64) int {
	if inUse == 0 {
		return mostPercent
	}
	return int(min(max(growth*100/inUse, leastPercent), mostPercent)) //nolint:gosec // at most 100
}

// Run keeps the percentage until ctx ends.
func Run(ctx context.Context) error {
	samples := []metrics.Sample{{Name: live}}
	for current := mostPercent; wait.For(ctx, lookEvery); {
		metrics.Read(samples)
		if next := Percent(samples[0].Value.Uint64()); next != current {
			debug.SetGCPercent(next)
			current = next
		}
	}
	return nil
}
