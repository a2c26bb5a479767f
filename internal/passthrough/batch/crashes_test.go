package batch

import (
	"errors"
	"testing"
	"time"

	"ringstream.example/ringstream/internal/core/quarantine"
	"ringstream.example/ringstream/internal/passthrough"
)

// TestCrashesAreNotWrittenWithoutTheStoresClock: a node that had not heard the store's clock
// yet, since its listing of jobs was still refused, wrote crashes as of the clock's beginning.
// Nodes that started later took them for older than the half hour that a crash counts, and the
// row went with the next clean-up: the block was lost that it was written to keep.
func TestCrashesAreNotWrittenWithoutTheStoresClock(t *testing.T) {
	store := &takingStore{}
	service := newTestService(store)
	crashes := []quarantine.Crash{{Engine: 1, Age: time.Second}, {Engine: 2}}
	key := quarantine.Digest{}.Key() + "/n1"
	if err := service.KeepCrashes(t.Context(), key, crashes); !errors.Is(err, passthrough.ErrNothingDone) {
		t.Errorf("without the clock: %v", err)
	}
	if written := store.version.Load(); written != 0 {
		t.Errorf("%d rows were written", written)
	}
	service.tellTime(time.Hour, time.Now())
	if err := service.KeepCrashes(t.Context(), key, crashes); err != nil || store.version.Load() != 1 {
		t.Errorf("with the clock: %v, %d rows", err, store.version.Load())
	}
}
