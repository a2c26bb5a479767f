package batch

import (
	"testing"
	"time"
)

// TestForecastOfSlowEngines checks that runs at slow engines do not lengthen the forecast.
func TestForecastOfSlowEngines(t *testing.T) {
	var known forecast
	for range minForecastItems {
		known.observeItem(100)
		known.observeRun(100, 5*time.Second, 1)
		known.observeRun(100, 20*time.Second, 4)
	}
	if got := known.remaining(0).Round(time.Millisecond); got != 5*time.Second {
		t.Errorf("remaining %v", got)
	}
}

// TestShouldMove checks when a running item continues at another engine. Items have 100 events,
// which usually take 50 ms each.
func TestShouldMove(t *testing.T) {
	var unknown, known forecast
	for range minForecastItems {
		known.observeItem(100)
		known.observeRun(100, 5*time.Second, 1)
	}
	for name, test := range map[string]struct {
		forecast       *forecast
		kept           int
		perEvent, left time.Duration
		want           bool
	}{
		"in time here":            {&known, 20, 200 * time.Millisecond, 17 * time.Second, false},
		"late here, not there":    {&known, 20, 200 * time.Millisecond, 10 * time.Second, true},
		"late there as well":      {&known, 20, 200 * time.Millisecond, 5 * time.Second, false},
		"not much slower":         {&known, 0, 90 * time.Millisecond, 8 * time.Second, false},
		"nearly at its end":       {&known, 95, 200 * time.Millisecond, 3 * time.Second, false},
		"usual times not known":   {&unknown, 20, 200 * time.Millisecond, 10 * time.Second, false},
		"past its deadline there": {&known, 20, 200 * time.Millisecond, -time.Second, false},
	} {
		if got := test.forecast.shouldMove(test.kept, test.perEvent, test.left); got != test.want {
			t.Errorf("%s: %t", name, got)
		}
	}
}
