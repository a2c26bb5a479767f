package storeclock

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestMomentIsNeverLaterThanTheTruth draws calls of all durations, answers made at any moment
// within them, and suspensions. The returned moment must not be after the true one nor before
// the call. It may be early by no more than the shortest recent time from the start of a call
// to its answer.
func TestMomentIsNeverLaterThanTheTruth(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var clock Clock
		start := time.Unix(1_700_000_000, 0)
		ahead := time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(t, "store's clock ahead"))
		now, store := start, ahead // this node's clock, and the store's offset from it
		quickest := time.Duration(1<<62 - 1)
		var quickAt time.Time
		for range rapid.IntRange(1, 40).Draw(t, "calls") {
			now = now.Add(time.Duration(rapid.Int64Range(0, int64(10*time.Second)).Draw(t, "pause")))
			if rapid.IntRange(0, 9).Draw(t, "suspended") == 0 {
				gap := time.Duration(rapid.Int64Range(0, int64(30*time.Second)).Draw(t, "gap"))
				store += gap
				clock.AdjustForSuspension(gap)
			}
			storeNow := now.Sub(start) + store
			before := time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "until made"))
			after := time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "until answered"))
			sent, made, answered := now, now.Add(before), now.Add(before+after)
			storeAt := (storeNow + before).Truncate(time.Millisecond)
			clock.Observe(sent, storeAt)
			got := clock.EarliestAnswerTime(sent, answered, storeAt)
			if got.After(made) || got.Before(sent) {
				t.Fatalf("sent %v, made %v, got %v", sent, made, got)
			}
			if sent.Sub(quickAt) < window && made.Sub(got) > quickest+2*resolution {
				t.Fatalf("an answer was made within %v of its call, but the moment is %v early", quickest, made.Sub(got))
			}
			if before < quickest || sent.Sub(quickAt) >= window {
				quickest, quickAt = before, sent
			}
			now = answered
		}
	})
}

// TestStoreWhoseClockStepsBackIsNotBelieved has another store answer, whose clock differs from
// that of the first.
func TestStoreWhoseClockStepsBackIsNotBelieved(t *testing.T) {
	start := time.Unix(1_700_000_000, 0)
	var clock Clock
	clock.Observe(start, time.Second)
	for _, test := range []struct {
		name    string
		storeAt time.Duration
		want    time.Time
	}{
		{"a clock ahead", time.Hour, start.Add(time.Minute)},
		{"a clock behind", 0, start.Add(time.Minute)},
	} {
		sent := start.Add(time.Minute)
		if got := clock.EarliestAnswerTime(sent, sent.Add(time.Second), test.storeAt); !got.Equal(test.want) {
			t.Errorf("%s: got %v, want the call's start %v", test.name, got, test.want)
		}
	}
}

// BenchmarkEarliestAnswerTime measures the overhead for each answer of the store.
func BenchmarkEarliestAnswerTime(b *testing.B) {
	var clock Clock
	now := time.Now()
	for i := range b.N {
		storeAt := time.Duration(i) * time.Millisecond
		clock.Observe(now, storeAt)
		_ = clock.EarliestAnswerTime(now, now, storeAt)
	}
}
