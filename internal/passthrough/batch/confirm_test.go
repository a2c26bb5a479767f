package batch

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// askedStore answers questions after some time, and tells when each was begun.
type askedStore struct {
	takes time.Duration
	err   error
	calls atomic.Int64
}

func (s *askedStore) ask(ctx context.Context, id string) recordAnswer {
	version := s.calls.Add(1)
	if s.err != nil {
		return recordAnswer{err: s.err}
	}
	select {
	case <-time.After(s.takes):
	case <-ctx.Done():
		return recordAnswer{err: ctx.Err()}
	}
	known := entry{version: version}
	known.record.ID = id
	return recordAnswer{entry: known, found: true}
}

// TestDenialRestsOnACallBegunAfterTheReaders has readers come at all moments of a call that is under
// way: none is given an answer whose call was begun before it came, and none waits much longer
// than two calls.
func TestDenialRestsOnACallBegunAfterTheReaders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &askedStore{takes: 40 * time.Millisecond}
		questions := newConfirmations(store.ask)
		const readers = 200
		for range readers {
			go func() {
				came := time.Now()
				got := questions.confirm(t.Context(), "job", came)
				if got.err != nil || !got.found || got.asked.Before(came) {
					t.Errorf("came at %v, got %+v", came, got)
				}
				if waited := time.Since(came); waited > store.takes+gatherFor {
					t.Errorf("waited %v", waited)
				}
			}()
			time.Sleep(time.Millisecond)
		}
		time.Sleep(time.Second)
		synctest.Wait()
		if calls := store.calls.Load(); calls > readers/10 {
			t.Errorf("%d calls for %d readers", calls, readers)
		}
		if len(questions.newest) != 0 || len(questions.waiting) != 0 {
			t.Errorf("%d questions are kept without a reader", len(questions.newest))
		}
	})
}

// TestQuestionThatFailedIsAskedAgain gives the failure to those who waited, and asks anew for the next.
func TestQuestionThatFailedIsAskedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		refused := errors.New("refused")
		store := &askedStore{err: refused}
		questions := newConfirmations(store.ask)
		if got := questions.confirm(t.Context(), "job", time.Now()); !errors.Is(got.err, refused) {
			t.Errorf("got %+v", got)
		}
		store.err = nil
		time.Sleep(time.Millisecond)
		if got := questions.confirm(t.Context(), "job", time.Now()); got.err != nil || !got.found {
			t.Errorf("got %+v", got)
		}
	})
}

// TestReaderThatLeavesEndsNoOthersQuestion has the reader that began a call leave.
func TestReaderThatLeavesEndsNoOthersQuestion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &askedStore{takes: 50 * time.Millisecond}
		questions := newConfirmations(store.ask)
		came := time.Now().Add(-time.Millisecond)
		first, leave := context.WithCancel(t.Context())
		go func() {
			if got := questions.confirm(first, "job", came); !errors.Is(got.err, context.Canceled) {
				t.Errorf("the one who left: %+v", got)
			}
		}()
		synctest.Wait()
		go func() {
			if got := questions.confirm(t.Context(), "job", came); got.err != nil || !got.found {
				t.Errorf("the one who stayed: %+v", got)
			}
		}()
		synctest.Wait()
		leave()
		time.Sleep(time.Second)
		if calls := store.calls.Load(); calls != 1 {
			t.Errorf("%d calls", calls)
		}
	})
}
