package catalog

import (
	"sync"
	"time"

	"ringstream.example/ringstream/internal/core/storeclock"
	"ringstream.example/ringstream/internal/suspension"
)

// StoreTime estimates the store's clock from its answers. All callers of the store on a node share
// it, so that a fast answer to one of them helps to date a delayed answer to another. It is safe
// for concurrent use.
type StoreTime struct {
	mu    sync.Mutex
	clock storeclock.Clock
}

// NewStoreTime returns a StoreTime without any observation.
func NewStoreTime() *StoreTime { return &StoreTime{} }

// SetSuspensionWatch corrects the estimate after suspensions of the machine. It must be called before Run.
func (t *StoreTime) SetSuspensionWatch(watch *suspension.Watch) {
	watch.OnResume(func(gap time.Duration) {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.clock.AdjustForSuspension(gap)
	})
}

// EarliestAnswerTime records an answer that carries the store's time, and returns a lower bound of
// the time at which the answer was made. sent is when its call was sent.
func (t *StoreTime) EarliestAnswerTime(sent time.Time, storeAt time.Duration) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.clock.Observe(sent, storeAt)
	return t.clock.EarliestAnswerTime(sent, time.Now(), storeAt)
}
