// Package heapgrowth limits how far the heap may grow beyond the bytes in use before it is
// collected. By default it may grow to twice the bytes in use. A large machine has that memory,
// but a machine with 184 MB whose node knows 10,000 engines does not.
package heapgrowth

import (
	"context"
	"runtime/debug"
	"runtime/metrics"
	"time"

	"ringstream.example/ringstream/internal/wait"
)

const (
	// maxGrowthBytes is how far the heap may grow. A smaller value means more frequent
	// collections, each of which costs time in proportion to the bytes in use. With Go's default,
	// the heap of a node that knows 10,000 engines grows by 17 MB.
	maxGrowthBytes = 8 << 20
	// The bounds of the garbage collector's percentage: maxPercent is Go's default, and minPercent
	// keeps collections rare in a heap that is large for another reason.
	maxPercent = 100
	minPercent = 25

	checkInterval = 5 * time.Second
)

// liveBytesMetric is the runtime metric of the bytes in use as of the last collection.
const liveBytesMetric = "/gc/heap/live:bytes"

// Percent returns the garbage collector's percentage for a heap with inUse bytes in use.
func Percent(inUse uint64) int {
	if inUse == 0 {
		return maxPercent
	}
	return int(min(max(maxGrowthBytes*100/inUse, minPercent), maxPercent)) //nolint:gosec // at most 100
}

// Run adjusts the garbage collector's percentage every checkInterval until ctx is done.
func Run(ctx context.Context) error {
	samples := []metrics.Sample{{Name: liveBytesMetric}}
	for current := maxPercent; wait.For(ctx, checkInterval); {
		metrics.Read(samples)
		if next := Percent(samples[0].Value.Uint64()); next != current {
			debug.SetGCPercent(next)
			current = next
		}
	}
	return nil
}
