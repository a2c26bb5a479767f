package batch

import (
	"sync"
	"time"
)

// Parameters of the moving average of the store's write latency, and of the limits derived from it.
const (
	latencyWeight  = 0.3                   // of the newest write
	normalLatency  = 60 * time.Millisecond // the store is not slow up to this average
	maxSlowness    = 4.0                   // upper limit of slowness
	timeoutFactor  = 8                     // a write may take this multiple of the average
	maxCallTimeout = 4 * time.Second       // upper limit of callTimeout
)

// writeLatency tracks the latency of the store's writes. A slow store handles the writes of a part
// one after another, so writes that are abandoned and retried, or sent faster than it can handle,
// only lengthen its queue.
type writeLatency struct {
	mu      sync.Mutex
	average time.Duration
}

// observe records the latency of a write that was answered.
func (p *writeLatency) observe(elapsed time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.average += time.Duration(latencyWeight * float64(elapsed-p.average))
}

// callTimeout returns the timeout of a write.
func (p *writeLatency) callTimeout() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return min(max(storeCallTimeout, timeoutFactor*p.average), maxCallTimeout)
}

// slowness returns the factor by which work that can wait is spread out: 1 for a store at its
// normal latency, up to maxSlowness for a slow one.
func (p *writeLatency) slowness() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return min(max(float64(p.average)/float64(normalLatency), 1), maxSlowness)
}
