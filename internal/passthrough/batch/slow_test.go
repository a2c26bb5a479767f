package batch

import (
	"testing"
	"time"

	"go.uber.org/zap"

	"ringstream.example/ringstream/internal/core/enginechoice"
	"ringstream.example/ringstream/internal/passthrough/slots"
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

// TestRunsLeaveSlowEnginesOnce checks that a run whose events come too late is stopped only at an
// engine that is known to be slow, if another one accepts the item, and once for each item; and that
// the item's next run is elsewhere, unless it is late or no other engine accepts it. In a flood all
// runs are slower than usual, and items ran several times at the same engines.
func TestRunsLeaveSlowEnginesOnce(t *testing.T) {
	service := newTimedService()
	var config slots.Config
	config.Scheduling.EngineSpeeds = true
	service.Slots = slots.New(config, slots.Dependencies{Logger: zap.NewNop()})
	job := addJob(service, "a", 4*time.Second) // 16 s are left for an item that takes 10 s
	engine := enginechoice.Entry{ID: "e1", Pool: "p", Zone: "z1", Slots: 8}
	runAt := func(slowness float64) itemRun {
		return itemRun{job: job, decision: slots.Decision{Choice: enginechoice.Choice{Entry: engine, Slowness: slowness}}}
	}
	pace := runPace{started: true, events: 10, waited: 4 * time.Second}
	if service.runsTooSlowly(runAt(4), pace) {
		t.Error("left the only engine")
	}
	service.Engines.Use(func(set *enginechoice.Set, now time.Time) {
		set.Upsert(enginechoice.Entry{ID: "e2", Pool: "p", Zone: "z1", Slots: 8}, enginechoice.Ready, now)
	})
	if service.runsTooSlowly(runAt(1), pace) {
		t.Error("left an engine that is not known to be slow")
	}
	if !service.runsTooSlowly(runAt(4), pace) {
		t.Error("stays at a slow engine")
	}
	if service.runsTooSlowly(runAt(4), pace) {
		t.Error("left a slow engine again")
	}
	left := engine.Incarnation()
	avoids := func(late bool) bool {
		query := enginechoice.Query{Pool: "p", Batch: true, MaxBatchPercent: 100, PreviousEngine: left}
		service.avoidSlowEngine(&query, candidate{job: job, late: late})
		return query.Exclude[left] && query.PreviousEngine == (enginechoice.Incarnation{})
	}
	if !avoids(false) || avoids(true) {
		t.Errorf("avoids the engine: %t, when late: %t", avoids(false), avoids(true))
	}
	service.Engines.Use(func(set *enginechoice.Set, now time.Time) { set.Remove(enginechoice.Incarnation{ID: "e2"}, false, now) })
	if avoids(false) {
		t.Error("avoids the only engine")
	}
}
