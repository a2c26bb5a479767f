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
	}{{0, config.Pace}, {1, config.Pace}, {2, 2 * config.Pace}, {100, config.PaceMost}} {
		follower := NewFollower(config, nil, "t", nil, nil, zap.NewNop())
		follower.SlowBy(func() float64 { return test.factor })
		if got := follower.pace(); got != test.want {
			t.Errorf("factor %v: %s, want %s", test.factor, got, test.want)
		}
	}
}

func TestRetryPauseIsBoundedAndJittered(t *testing.T) {
	follower := NewFollower(DefaultFollowConfig(), nil, "t", nil, nil, zap.NewNop())
	for attempt := range 40 {
		if pause := follower.pause(attempt); pause < follower.config.RetryMin/2 || pause > follower.config.RetryMax {
			t.Errorf("attempt %d: %s", attempt, pause)
		}
	}
}

// quietRows has no changes, and counts the calls for them.
type quietRows struct {
	passthrough.Rows
	feeds atomic.Int64
}

// List implements passthrough.Rows.
func (r *quietRows) List(context.Context, string, string, string, string, int) (passthrough.Snapshot, error) {
	return passthrough.Snapshot{Version: 1}, nil
}

// Feed implements passthrough.Rows.
func (r *quietRows) Feed(context.Context, string, int64, time.Duration) (passthrough.Snapshot, error) {
	r.feeds.Add(1)
	return passthrough.Snapshot{Version: 1}, nil
}

type noSink struct{}

func (noSink) Replace([]passthrough.Row, int64) {}
func (noSink) Change([]passthrough.Row)         {}

// TestHurryAsksAtOnce has one who waits for a change not wait for the pace:
// hand-ins that met another's on the quota row took a pace more for each.
func TestHurryAsksAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		config := DefaultFollowConfig()
		config.Pace = time.Minute
		rows := &quietRows{}
		follower := NewFollower(config, rows, "table", []string{""}, noSink{}, zap.NewNop())
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		go func() { _ = follower.Run(ctx) }()
		synctest.Wait()
		if got := rows.feeds.Load(); got != 1 {
			t.Fatalf("%d calls at the start", got)
		}
		follower.Hurry()
		synctest.Wait()
		if got := rows.feeds.Load(); got != 2 {
			t.Errorf("%d calls after Hurry", got)
		}
		time.Sleep(30 * time.Second)
		synctest.Wait()
		if got := rows.feeds.Load(); got != 2 {
			t.Errorf("%d calls, the pace is not kept", got)
		}
	})
}

// sleepyRows answers calls for changes across a suspension of the machine.
type sleepyRows struct {
	quietRows
	suspended atomic.Int64
	gap       time.Duration // of each such call
}

func (r *sleepyRows) Suspended() time.Duration { return time.Duration(r.suspended.Load()) }

// Feed implements passthrough.Rows.
func (r *sleepyRows) Feed(ctx context.Context, table string, since int64, wait time.Duration) (passthrough.Snapshot, error) {
	r.suspended.Add(int64(r.gap))
	return r.quietRows.Feed(ctx, table, since, wait)
}

// TestAnswerFromBeforeASuspensionConfirmsNothing: it may be as old as that was long.
func TestAnswerFromBeforeASuspensionConfirmsNothing(t *testing.T) {
	for _, gap := range []time.Duration{0, 5 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			rows := &sleepyRows{gap: gap}
			follower := NewFollower(DefaultFollowConfig(), rows, "t", []string{""}, noSink{}, zap.NewNop())
			follower.WatchBy(suspension.NewWatch(rows))
			ctx, cancel := context.WithCancel(t.Context())
			done := make(chan error, 1)
			go func() { done <- follower.Run(ctx) }()
			time.Sleep(time.Second)
			age := time.Since(follower.Health().AsOf)
			cancel()
			<-done
			if fresh := age < time.Second; fresh != (gap == 0) {
				t.Errorf("suspended for %v in each call: the last word is %v old", gap, age)
			}
		})
	}
}
