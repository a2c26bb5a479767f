package relay

import (
	"testing"
	"time"
)

// TestSuspensionWhileACallIsReadCountsOnce.
//
// Symptom: an engine was told 5,984 ms of a request's 6,000, of which the machine had been suspended
// for two seconds.
//
// Sequence: the request's head is received, the machine is suspended while the body is read, and only
// then is the call among those that are told of suspensions.
//
// Cause: a call was told of a suspension only if it was under way when that was noticed.
//
// What settled it: "machine was suspended" stands before "engine chosen" with the whole time left
// (TestSuspensionWhileABodyIsReadCounts of the whole node, before calls kept what they were received at).
func TestSuspensionWhileACallIsReadCountsOnce(t *testing.T) {
	const allowed = 6 * time.Second
	for _, test := range []struct {
		name  string
		woke  []time.Duration // totals, as told
		taken time.Duration
	}{
		{name: "none", woke: []time.Duration{time.Second}},
		{name: "before the call was under way", woke: []time.Duration{4 * time.Second}, taken: 3 * time.Second},
		{name: "told twice", woke: []time.Duration{4 * time.Second, 4 * time.Second}, taken: 3 * time.Second},
		{name: "two, told in any order", woke: []time.Duration{5 * time.Second, 4 * time.Second}, taken: 4 * time.Second},
	} {
		t.Run(test.name, func(t *testing.T) {
			begun := time.Now()
			clock := &callClock{cancel: func() {}, deadline: begun.Add(allowed), slept: time.Second}
			defer clock.stop()
			for _, total := range test.woke {
				clock.woke(total)
			}
			if got := clock.until().Sub(begun); got != allowed-test.taken {
				t.Errorf("%v are left, want %v", got, allowed-test.taken)
			}
		})
	}
}
