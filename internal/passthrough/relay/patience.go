package relay

import (
	"sync"
	"time"
)

// maxSilencePeriods limits the wait for a silent engine that is busy, in multiples of the timeout.
const maxSilencePeriods = 3

// silenceTimer ends an attempt whose engine stays silent. An engine that is busy with other
// requests gets up to maxSilencePeriods times the timeout. It is safe for concurrent use.
type silenceTimer struct {
	mu          sync.Mutex
	timer       *time.Timer
	stopped     bool
	expirations int
}

func newSilenceTimer(timeout time.Duration, end func(), busy func() bool) *silenceTimer {
	watcher := &silenceTimer{}
	watcher.mu.Lock()
	defer watcher.mu.Unlock()
	watcher.timer = time.AfterFunc(timeout, func() { watcher.expire(timeout, end, busy) })
	return watcher
}

func (t *silenceTimer) expire(timeout time.Duration, end func(), busy func() bool) {
	engineBusy := busy()
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.stopped {
		return
	}
	t.expirations++
	if engineBusy && t.expirations < maxSilencePeriods {
		t.timer.Reset(timeout)
		return
	}
	t.stopped = true
	end()
}

// Stop disarms the timer.
func (t *silenceTimer) Stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stopped = true
	t.timer.Stop()
}
