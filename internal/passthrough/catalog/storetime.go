package catalog

import (
	"sync"
	"time"

	"ringstream.example/ringstream/internal/core/storeclock"
	"ringstream.example/ringstream/internal/suspension"
)

// StoreTime is what a node knows of the store's clock, shared by all that call the store: a quick call
// of one shows how old a held answer of another is. It is safe for concurrent use.
type StoreTime struct {
	mu    sync.Mutex
	clock storeclock.Clock
}

// NewStoreTime makes one that knows nothing yet.
func NewStoreTime() *StoreTime { return &StoreTime{} }

// WatchBy corrects it after suspensions; called before Run.
func (t *StoreTime) WatchBy(watch *suspension.Watch) {
	watch.OnWake(func(gap time.Duration) {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.clock.Suspended(gap)
	})
}

// MadeAt takes an answer that names the store's time, by the moment its call was sent, and gives
// the moment before which it was certainly not made.
func (t *StoreTime) MadeAt(sent time.Time, storeAt time.Duration) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.clock.Observe(sent, storeAt)
	return t.clock.MadeAt(sent, time.Now(), storeAt)
}
