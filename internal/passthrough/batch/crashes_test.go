package batch

import (
	"errors"
	"testing"
	"time"

	"ringstream.example/ringstream/internal/core/quarantine"
	"ringstream.example/ringstream/internal/passthrough"
)

// TestCrashesAreNotWrittenWithoutTheStoresClock guards against losing a block at a restart. A node
// that did not know the store's clock yet, because its listing of jobs was still refused, wrote
// crashes dated to the beginning of the clock. Nodes that started later considered them older than
// the half hour for which a crash counts, and the row was removed in the next clean-up.
func TestCrashesAreNotWrittenWithoutTheStoresClock(t *testing.T) {
	store := &acceptingStore{}
	service := newTestService(store)
	crashes := []quarantine.Crash{{Engine: 1, Age: time.Second}, {Engine: 2}}
	key := quarantine.Digest{}.Key() + "/n1"
	if err := service.KeepCrashes(t.Context(), key, crashes); !errors.Is(err, passthrough.ErrNothingDone) {
		t.Errorf("without the clock: %v", err)
	}
	if written := store.version.Load(); written != 0 {
		t.Errorf("%d rows were written", written)
	}
	service.setStoreClock(time.Hour, time.Now())
	if err := service.KeepCrashes(t.Context(), key, crashes); err != nil || store.version.Load() != 1 {
		t.Errorf("with the clock: %v, %d rows", err, store.version.Load())
	}
}
