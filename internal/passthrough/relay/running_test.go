package relay

import (
	"testing"
	"time"
)

// TestSuspensionWhileACallIsReadCountsOnce guards against a deadline that ignores a suspension of
// the machine between the request's head and its body. Suspensions were applied only to calls that
// were in flight when the suspension was noticed, and a call is not in flight until its body is
// read. An engine was told that 5,984 ms of a request's 6,000 were left after a suspension of two
// seconds. TestSuspensionWhileABodyIsReadCounts checks the same on a whole node.
func TestSuspensionWhileACallIsReadCountsOnce(t *testing.T) {
	const allowed = 6 * time.Second
	for _, test := range []struct {
		name   string
		totals []time.Duration // totals of suspension, in the order in which they are applied
		taken  time.Duration
	}{
		{name: "none", totals: []time.Duration{time.Second}},
		{name: "before the call was in flight", totals: []time.Duration{4 * time.Second}, taken: 3 * time.Second},
		{name: "applied twice", totals: []time.Duration{4 * time.Second, 4 * time.Second}, taken: 3 * time.Second},
		{name: "two, applied out of order", totals: []time.Duration{5 * time.Second, 4 * time.Second}, taken: 4 * time.Second},
	} {
		t.Run(test.name, func(t *testing.T) {
			received := time.Now()
			clock := &callClock{cancel: func() {}, deadline: received.Add(allowed), suspended: time.Second}
			defer clock.stop()
			for _, total := range test.totals {
				clock.applySuspension(total)
			}
			if got := clock.currentDeadline().Sub(received); got != allowed-test.taken {
				t.Errorf("remaining time is %v, want %v", got, allowed-test.taken)
			}
		})
	}
}
