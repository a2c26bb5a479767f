package batch

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// countingStore answers calls after a fixed latency, and counts them.
type countingStore struct {
	latency time.Duration
	err     error
	calls   atomic.Int64
}

func (s *countingStore) read(ctx context.Context, id string) recordAnswer {
	version := s.calls.Add(1)
	if s.err != nil {
		return recordAnswer{err: s.err}
	}
	select {
	case <-time.After(s.latency):
	case <-ctx.Done():
		return recordAnswer{err: ctx.Err()}
	}
	known := jobEntry{version: version}
	known.record.ID = id
	return recordAnswer{entry: known, found: true}
}

// TestConfirmUsesCallStartedAfterReader lets readers arrive throughout a call in flight. No reader
// may get the answer of a call that was started before it arrived, and none may wait much longer
// than two calls.
func TestConfirmUsesCallStartedAfterReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &countingStore{latency: 40 * time.Millisecond}
		confirmer := newConfirmer(store.read)
		const readers = 200
		for range readers {
			go func() {
				arrived := time.Now()
				got := confirmer.confirm(t.Context(), "job", arrived)
				if got.err != nil || !got.found || got.requestedAt.Before(arrived) {
					t.Errorf("reader that arrived at %v: got %+v", arrived, got)
				}
				if waited := time.Since(arrived); waited > store.latency+gatherPause {
					t.Errorf("reader waited %v", waited)
				}
			}()
			time.Sleep(time.Millisecond)
		}
		time.Sleep(time.Second)
		synctest.Wait()
		if calls := store.calls.Load(); calls > readers/10 {
			t.Errorf("%d calls for %d readers", calls, readers)
		}
		if len(confirmer.newest) != 0 || len(confirmer.waiting) != 0 {
			t.Errorf("%d calls are kept without a reader", len(confirmer.newest))
		}
	})
}

// TestFailedConfirmCallIsRetried checks that the readers of a failed call get its error, and that
// the next reader starts a new call.
func TestFailedConfirmCallIsRetried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		refused := errors.New("refused")
		store := &countingStore{err: refused}
		confirmer := newConfirmer(store.read)
		if got := confirmer.confirm(t.Context(), "job", time.Now()); !errors.Is(got.err, refused) {
			t.Errorf("got %+v", got)
		}
		store.err = nil
		time.Sleep(time.Millisecond)
		if got := confirmer.confirm(t.Context(), "job", time.Now()); got.err != nil || !got.found {
			t.Errorf("got %+v", got)
		}
	})
}

// TestConfirmCallOutlivesCanceledReader cancels the reader that started a call. The other readers
// of the call must still get its answer.
func TestConfirmCallOutlivesCanceledReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &countingStore{latency: 50 * time.Millisecond}
		confirmer := newConfirmer(store.read)
		arrived := time.Now().Add(-time.Millisecond)
		firstCtx, cancelFirst := context.WithCancel(t.Context())
		go func() {
			if got := confirmer.confirm(firstCtx, "job", arrived); !errors.Is(got.err, context.Canceled) {
				t.Errorf("the canceled reader: %+v", got)
			}
		}()
		synctest.Wait()
		go func() {
			if got := confirmer.confirm(t.Context(), "job", arrived); got.err != nil || !got.found {
				t.Errorf("the remaining reader: %+v", got)
			}
		}()
		synctest.Wait()
		cancelFirst()
		time.Sleep(time.Second)
		if calls := store.calls.Load(); calls != 1 {
			t.Errorf("%d calls", calls)
		}
	})
}
