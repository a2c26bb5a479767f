package relay

import (
	"testing"
	"time"

	"ringstream.example/ringstream/internal/core/passroute"
)

func TestResultOfACall(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	for _, test := range []struct {
		name       string
		outcome    Outcome
		objective  time.Duration
		firstEvent time.Duration
		elapsed    time.Duration
		want       string
	}{
		{"stream in time", Completed, time.Second, 900 * time.Millisecond, 5 * time.Second, "in_time"},
		{"stream late", Completed, time.Second, 1100 * time.Millisecond, 5 * time.Second, "late"},
		{"answer without events late", Completed, time.Second, 0, 2 * time.Second, "late"},
		{"no objective", Completed, 0, 2 * time.Second, 5 * time.Second, "in_time"},
		{"refused", NotRun, time.Second, 0, time.Millisecond, "refused"},
		{"failed", Failed, time.Second, 0, time.Second, "failed"},
		{"cut", Cut, time.Second, 100 * time.Millisecond, time.Second, "failed"},
		{"client gone", ClientGone, time.Second, 0, time.Second, "failed"},
	} {
		call := &exchange{call: &Call{Route: &passroute.Route{Objective: test.objective}, Received: now.Add(-test.elapsed)}, firstEvent: test.firstEvent}
		if got := call.resultName(test.outcome, now); got != test.want {
			t.Errorf("%s: %s, want %s", test.name, got, test.want)
		}
	}
}
