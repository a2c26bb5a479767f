package batch

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"ringstream.example/ringstream/internal/passthrough"
)

// unavailableStore refuses every transaction after a fixed time.
type unavailableStore struct {
	passthrough.Rows
	after time.Duration
	calls int
}

// Commit implements passthrough.Rows.
func (s *unavailableStore) Commit(ctx context.Context, _ passthrough.Transaction) (passthrough.CommitResult, error) {
	s.calls++
	select {
	case <-ctx.Done():
		return passthrough.CommitResult{}, passthrough.ErrOutcomeUnknown
	case <-time.After(s.after):
		return passthrough.CommitResult{}, passthrough.ErrNothingDone
	}
}

// TestWriteIsNotRetriedTooCloseToDeadline guards against unknown outcomes for jobs that were
// certainly refused. In one of seven runs of the test in which the store refuses all writes, a
// client was told after 2.5 s that the store may have taken the job. All attempts but the last had
// been refused, and the last one began some milliseconds before the deadline, so that its answer
// came too late. Of 1,000 jobs submitted to a store that refuses after 20 ms, 69 had an unknown
// outcome, and 581 at 200 ms.
func TestWriteIsNotRetriedTooCloseToDeadline(t *testing.T) {
	for _, after := range []time.Duration{0, time.Millisecond, 20 * time.Millisecond, 200 * time.Millisecond} {
		t.Run(after.String(), func(t *testing.T) { synctest.Test(t, func(t *testing.T) { submitToUnavailable(t, after) }) })
	}
}

// submitToUnavailable submits jobs to a store that refuses each write after a fixed time.
func submitToUnavailable(t *testing.T, after time.Duration) {
	const jobs = 1000
	store := &unavailableStore{after: after}
	service := newTestService(store)
	unknown := 0
	for range jobs {
		ctx, cancel := context.WithTimeout(t.Context(), maxSubmitTime)
		_, err := service.writeRecord(ctx, passthrough.Transaction{}, testRecord(1), 0)
		cancel()
		if errors.Is(err, passthrough.ErrOutcomeUnknown) {
			unknown++
		}
	}
	if unknown > 0 {
		t.Errorf("%d of %d jobs have an unknown outcome", unknown, jobs)
	}
	if least := jobs * int((maxSubmitTime-time.Second)/(maxRetryPause+after)); store.calls < least {
		t.Errorf("the store was asked %d times, at least %d wanted", store.calls, least)
	}
}
