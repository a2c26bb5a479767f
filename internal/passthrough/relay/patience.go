package relay

import (
	"sync"
	"time"
)

// longestTurns bounds how often a silence is forgiven, in multiples of it.
const longestTurns = 3

// patience ends an attempt whose engine stays silent, unless the engine is
// known to be busy with others: then it is given more time, up to a bound.
type patience struct {
	mu      sync.Mutex
	timer   *time.Timer
	stopped bool
	turns   int
}

func newPatience(silence time.Duration, end func(), busy func() bool) *patience {
	waiting := &patience{}
	waiting.mu.Lock()
	defer waiting.mu.Unlock()
	waiting.timer = time.AfterFunc(silence, func() { waiting.expire(silence, end, busy) })
	return waiting
}

func (p *patience) expire(silence time.Duration, end func(), busy func() bool) {
	crowded := busy()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stopped {
		return
	}
	p.turns++
	if crowded && p.turns < longestTurns {
		p.timer.Reset(silence)
		return
	}
	p.stopped = true
	end()
}

// Stop ends the watch.
func (p *patience) Stop() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stopped = true
	p.timer.Stop()
}
