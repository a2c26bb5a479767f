package catalog

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"ringstream.example/ringstream/internal/passthrough"
	"ringstream.example/ringstream/internal/suspension"
)

func TestPaceSlowsWithTheFleetWithinItsBound(t *testing.T) {
	config := DefaultFollowConfig()
	for _, test := range []struct {
		factor float64
		want   time.Duration
	}{{0, config.PollInterval}, {1, config.PollInterval}, {2, 2 * config.PollInterval}, {100, config.MaxPollInterval}} {
		follower := NewFollower(config, nil, "t", nil, nil, zap.NewNop())
		follower.SetPaceFactor(func() float64 { return test.factor })
		if got := follower.pace(); got != test.want {
			t.Errorf("factor %v: %s, want %s", test.factor, got, test.want)
		}
	}
}

func TestRetryPauseIsBoundedAndJittered(t *testing.T) {
	follower := NewFollower(DefaultFollowConfig(), nil, "t", nil, nil, zap.NewNop())
	for attempt := range 40 {
		if pause := follower.retryPause(attempt); pause < follower.config.RetryMin/2 || pause > follower.config.RetryMax {
			t.Errorf("attempt %d: pause of %s", attempt, pause)
		}
	}
}

// unchangedRows has no changes, and counts the calls for them.
type unchangedRows struct {
	passthrough.Rows
	feeds atomic.Int64
}

// List implements passthrough.Rows.
func (r *unchangedRows) List(context.Context, string, string, string, string, int) (passthrough.Snapshot, error) {
	return passthrough.Snapshot{Version: 1}, nil
}

// Feed implements passthrough.Rows.
func (r *unchangedRows) Feed(context.Context, string, int64, time.Duration) (passthrough.Snapshot, error) {
	r.feeds.Add(1)
	return passthrough.Snapshot{Version: 1}, nil
}

type noSink struct{}

func (noSink) Replace([]passthrough.Row, int64) {}
func (noSink) Change([]passthrough.Row)         {}

// Hurry must not wait for the pace. Job submissions that conflicted on the quota row took one pace
// longer for each conflict.
func TestHurryCallsTheStoreAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		config := DefaultFollowConfig()
		config.PollInterval = time.Minute
		rows := &unchangedRows{}
		follower := NewFollower(config, rows, "table", []string{""}, noSink{}, zap.NewNop())
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		go func() { _ = follower.Run(ctx) }()
		synctest.Wait()
		if got := rows.feeds.Load(); got != 1 {
			t.Fatalf("%d calls at the start, want 1", got)
		}
		follower.Hurry()
		synctest.Wait()
		if got := rows.feeds.Load(); got != 2 {
			t.Errorf("%d calls after Hurry, want 2", got)
		}
		time.Sleep(30 * time.Second)
		synctest.Wait()
		if got := rows.feeds.Load(); got != 2 {
			t.Errorf("%d calls without Hurry, want 2: the pace is not kept", got)
		}
	})
}

// suspendingRows answers each call for changes across a suspension of the machine.
type suspendingRows struct {
	unchangedRows
	suspended atomic.Int64
	gap       time.Duration // length of each suspension
}

func (r *suspendingRows) Suspended() time.Duration { return time.Duration(r.suspended.Load()) }

// Feed implements passthrough.Rows.
func (r *suspendingRows) Feed(ctx context.Context, table string, since int64, wait time.Duration) (passthrough.Snapshot, error) {
	r.suspended.Add(int64(r.gap))
	return r.unchangedRows.Feed(ctx, table, since, wait)
}

// An answer that spans a suspension may be as old as the suspension was long.
func TestAnswerFromBeforeASuspensionConfirmsNothing(t *testing.T) {
	for _, gap := range []time.Duration{0, 5 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			rows := &suspendingRows{gap: gap}
			follower := NewFollower(DefaultFollowConfig(), rows, "t", []string{""}, noSink{}, zap.NewNop())
			follower.SetSuspensionWatch(suspension.NewWatch(rows))
			ctx, cancel := context.WithCancel(t.Context())
			done := make(chan error, 1)
			go func() { done <- follower.Run(ctx) }()
			time.Sleep(time.Second)
			age := time.Since(follower.Health().AsOf)
			cancel()
			<-done
			if fresh := age < time.Second; fresh != (gap == 0) {
				t.Errorf("suspended for %v in each call: the last confirmation is %v old", gap, age)
			}
		})
	}
}
