package batch

import (
	"sync"
	"time"
)

// How the time that the store takes is smoothed, and what is made of it.
const (
	paceWeight = 0.3                   // of the newest call
	paceCalm   = 60 * time.Millisecond // up to this the store is not slow
	slowMost   = 4.0                   // the most that work is spread out
	callShare  = 8                     // a call may take so many times the usual
	callMost   = 4 * time.Second       // and no longer than this
)

// storePace follows how long the store's writes take. A slow store takes the
// writes of a part one after another, so that calls which are given up and made
// again, or made more often than it can bear, only lengthen its queue.
type storePace struct {
	mu    sync.Mutex
	usual time.Duration
}

// observe takes the time of a write that was answered.
func (p *storePace) observe(elapsed time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.usual += time.Duration(paceWeight * float64(elapsed-p.usual))
}

// callTime is how long a write may take before it is given up.
func (p *storePace) callTime() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return min(max(callTime, callShare*p.usual), callMost)
}

// slowness is one for a store that answers as usual, and up to slowMost for a
// slow one: the factor by which work that can wait is spread out.
func (p *storePace) slowness() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return min(max(float64(p.usual)/float64(paceCalm), 1), slowMost)
}
