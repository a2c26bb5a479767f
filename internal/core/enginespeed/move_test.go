package enginespeed

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// stream is an attempt whose silence limit depends on its objectives.
var stream = Attempt{
	MayMove: true, SpareAttempt: true, FreeElsewhere: true, EngineSlow: true, Objective: 300 * time.Millisecond, PauseObjective: 300 * time.Millisecond, Slowness: 1,
	FirstEvent: 30 * time.Millisecond, Pace: 20 * time.Millisecond,
}

func TestSilenceLimit(t *testing.T) {
	started := stream
	started.Started = true
	with := func(from Attempt, change func(*Attempt)) Attempt {
		change(&from)
		return from
	}
	for name, test := range map[string]struct {
		attempt Attempt
		want    time.Duration
	}{
		"first event in time elsewhere":       {stream, 240 * time.Millisecond},
		"after a wait":                        {with(stream, func(a *Attempt) { a.Waited = 100 * time.Millisecond }), 140 * time.Millisecond},
		"late elsewhere as well":              {with(stream, func(a *Attempt) { a.Waited = 200 * time.Millisecond }), 1200 * time.Millisecond},
		"silence is usual for a slow engine":  {with(stream, func(a *Attempt) { a.Slowness = 4 }), 1200 * time.Millisecond},
		"no free slots elsewhere":             {with(stream, func(a *Attempt) { a.FreeElsewhere = false }), 1200 * time.Millisecond},
		"usual times unknown":                 {with(stream, func(a *Attempt) { a.FirstEvent, a.Pace = 0, 0 }), 1200 * time.Millisecond},
		"no further attempt":                  {with(stream, func(a *Attempt) { a.MayMove = false }), 0},
		"no attempt left for failures":        {with(stream, func(a *Attempt) { a.SpareAttempt = false }), 1200 * time.Millisecond},
		"pause in time elsewhere":             {started, 240 * time.Millisecond},
		"pause at a slow engine":              {with(started, func(a *Attempt) { a.Slowness = 4 }), 240 * time.Millisecond},
		"pause is usual for a slower engine":  {with(started, func(a *Attempt) { a.Slowness = 5 }), 900 * time.Millisecond},
		"pause without free slots elsewhere":  {with(started, func(a *Attempt) { a.FreeElsewhere = false }), 900 * time.Millisecond},
		"pause of a route without objectives": {with(started, func(a *Attempt) { a.PauseObjective = 0 }), 700 * time.Millisecond},
	} {
		if got := test.attempt.SilenceLimit(); got != test.want {
			t.Errorf("%s: %v, want %v", name, got, test.want)
		}
	}
}

// TestSilenceLimitBounds checks that no request moves later than without knowledge of the engines,
// that it moves early only when the silence is unusual, and never when it may not.
func TestSilenceLimitBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		duration := func(name string) time.Duration {
			return time.Duration(rapid.IntRange(0, 2000).Draw(t, name)) * time.Millisecond
		}
		attempt := Attempt{
			MayMove: rapid.Bool().Draw(t, "may move"), SpareAttempt: true, FreeElsewhere: true, Started: rapid.Bool().Draw(t, "started"), Waited: duration("waited"),
			Objective: duration("objective"), PauseObjective: duration("pause objective"), Slowness: rapid.Float64Range(0, 16).Draw(t, "slowness"),
			FirstEvent: duration("first event"), Pace: duration("pace"),
		}
		unknown := attempt
		unknown.FreeElsewhere = false
		limit, latest := attempt.SilenceLimit(), unknown.SilenceLimit()
		if limit > latest || (limit == 0) != !attempt.MayMove {
			t.Fatalf("%+v: %v, at the latest %v", attempt, limit, latest)
		}
		expected := attempt.FirstEvent
		if attempt.Started {
			expected = attempt.Pace
		}
		if limit < latest && limit < time.Duration(unusualFactor*max(attempt.Slowness, 1)*float64(expected)) {
			t.Errorf("%+v: moves after %v", attempt, limit)
		}
	})
}

func TestMissesObjective(t *testing.T) {
	none, full, last, usual, missed := stream, stream, stream, stream, stream
	none.MayMove, full.FreeElsewhere, last.SpareAttempt, usual.EngineSlow, missed.PauseMissed = false, false, false, false, true
	for name, test := range map[string]struct {
		attempt    Attempt
		events     int
		pace, left time.Duration
		want       bool
	}{
		"in time here":               {stream, 10, 120 * time.Millisecond, 2 * time.Second, false},
		"ends late here":             {stream, 10, 230 * time.Millisecond, 2 * time.Second, true},
		"ends late there as well":    {stream, 100, 230 * time.Millisecond, 2 * time.Second, false},
		"length unknown":             {stream, 0, 230 * time.Millisecond, 2 * time.Second, false},
		"pauses exceed objective":    {stream, 5, 250 * time.Millisecond, 2 * time.Second, true},
		"at its end as far as known": {stream, 0, 250 * time.Millisecond, 2 * time.Second, false},
		"a pause was too long":       {missed, 5, 250 * time.Millisecond, 2 * time.Second, false},
		"engine not known as slow":   {usual, 10, 250 * time.Millisecond, 2 * time.Second, false},
		"last attempt, pauses":       {last, 5, 250 * time.Millisecond, 2 * time.Second, false},
		"last attempt, perhaps late": {last, 10, 230 * time.Millisecond, 2 * time.Second, false},
		"last attempt, surely late":  {last, 20, 230 * time.Millisecond, 2 * time.Second, true},
		"no further attempt allowed": {none, 10, 250 * time.Millisecond, 2 * time.Second, false},
		"no free slot elsewhere":     {full, 10, 250 * time.Millisecond, 2 * time.Second, false},
		"not faster elsewhere":       {stream, 100, 39 * time.Millisecond, 2 * time.Second, false},
	} {
		if got := test.attempt.MissesObjective(test.events, test.pace, test.left); got != test.want {
			t.Errorf("%s: %t", name, got)
		}
	}
}

func TestUsualTimes(t *testing.T) {
	var usual UsualTimes
	for range minUsualSamples - 1 {
		usual.ObserveFirstEvent(30 * time.Millisecond)
		usual.ObservePace(5, 100*time.Millisecond)
	}
	if usual.FirstEvent() != 0 || usual.Pace() != 0 {
		t.Errorf("known after too few observations: %v, %v", usual.FirstEvent(), usual.Pace())
	}
	usual.ObserveFirstEvent(30 * time.Millisecond)
	usual.ObservePace(5, 100*time.Millisecond)
	near := func(got, want time.Duration) bool { return (got - want).Abs() < time.Microsecond }
	if !near(usual.FirstEvent(), 30*time.Millisecond) || !near(usual.Pace(), 20*time.Millisecond) {
		t.Errorf("%v, %v", usual.FirstEvent(), usual.Pace())
	}
}
