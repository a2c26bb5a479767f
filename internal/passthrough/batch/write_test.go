package batch

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"ringstream.example/ringstream/internal/passthrough"
)

// unavailableStore refuses every transaction some time after it was asked.
type unavailableStore struct {
	passthrough.Rows
	after time.Duration
	asked int
}

// Commit implements passthrough.Rows.
func (s *unavailableStore) Commit(ctx context.Context, _ passthrough.Transaction) (passthrough.CommitResult, error) {
	s.asked++
	select {
	case <-ctx.Done():
		return passthrough.CommitResult{}, passthrough.ErrOutcomeUnknown
	case <-time.After(s.after):
		return passthrough.CommitResult{}, passthrough.ErrNothingDone
	}
}

// A job was handed in while the store refused all writes, and its client was told after 2.5 s that
// the store may have taken it, in one of seven runs of the test that refuses them. All tries
// but the last had been refused. That one began some milliseconds before the time was up, so that its
// answer came too late. Of 1,000 jobs handed in to a store that refuses a write after 20 ms 69
// were told so, and 581 where it refuses after 200 ms.
func TestTryThatCannotBeAnsweredInTimeIsNotBegun(t *testing.T) {
	for _, after := range []time.Duration{0, time.Millisecond, 20 * time.Millisecond, 200 * time.Millisecond} {
		t.Run(after.String(), func(t *testing.T) { synctest.Test(t, func(t *testing.T) { handInToUnavailable(t, after) }) })
	}
}

// handInToUnavailable hands jobs in to a store that refuses each write some time after it was asked.
func handInToUnavailable(t *testing.T, after time.Duration) {
	const jobs = 1000
	store := &unavailableStore{after: after}
	service := newTestService(store)
	unknown := 0
	for range jobs {
		ctx, cancel := context.WithTimeout(t.Context(), intakeMost)
		_, err := service.writeRecord(ctx, passthrough.Transaction{}, testRecord(1), 0)
		cancel()
		if errors.Is(err, passthrough.ErrOutcomeUnknown) {
			unknown++
		}
	}
	if unknown > 0 {
		t.Errorf("%d of %d are told that the outcome is unknown", unknown, jobs)
	}
	if least := jobs * int((intakeMost-time.Second)/(retryMax+after)); store.asked < least {
		t.Errorf("the store was asked %d times, at least %d wanted", store.asked, least)
	}
}
