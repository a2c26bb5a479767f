package enginechoice

import (
	"fmt"
	"math"
	"testing"

	"pgregory.net/rapid"

	_ "ringstream.example/ringstream/internal/seedtest" // fixed seed for rapid
)

// drawSet returns a set of engines with drawn work, health and speeds.
func drawSet(t *rapid.T, speeds bool) *Set {
	set := newSet(rapid.IntRange(1, 6).Draw(t, "engines"))
	for i, listed := range set.List("p") {
		id := listed.Entry.Incarnation()
		for range rapid.IntRange(0, listed.Entry.Slots+1).Draw(t, fmt.Sprint("work ", i)) {
			set.Start(id, &Work{Batch: rapid.Bool().Draw(t, "batch"), PrefillTokens: rapid.IntRange(0, 900).Draw(t, "prefill")})
		}
		if rapid.IntRange(0, 5).Draw(t, "failed") == 0 {
			set.ConnectionRefused(id, start)
		}
		if speeds && rapid.Bool().Draw(t, "slow") {
			set.SetSpeed(id, Speed{Slowness: rapid.Float64Range(1.5, 8).Draw(t, "slowness"), Grants: rapid.IntRange(0, 1).Draw(t, "grants")})
		}
	}
	return set
}

func drawQuery(t *rapid.T) Query {
	return Query{Pool: "p", OwnTokens: rapid.IntRange(0, 900).Draw(t, "own"), Batch: rapid.Bool().Draw(t, "batch request"), MaxBatchPercent: 60}
}

// naiveChoices returns every engine that can accept a request.
func naiveChoices(s *Set, query Query) []Choice {
	var choices []Choice
	preferred := s.preferred(query, start)
	for _, known := range s.pools[query.Pool] {
		inFlight := known.inFlight(start)
		if !known.usable() || (query.Batch && !known.acceptsBatch(query, inFlight, start)) {
			continue
		}
		prefill := known.uncachedTokens(query, preferred)
		preempts := !query.Batch && known.canPreempt(inFlight)
		choices = append(choices, Choice{
			Entry: known.entry, Score: known.score(query, prefill, inFlight, preempts, start) + msConnect, PrefillTokens: prefill, InFlight: inFlight,
			State: known.state, Preempts: preempts, Slowness: max(known.speed.Slowness, 1),
		})
	}
	return choices
}

// TestPickWithoutSpeeds compares Pick, while no engine is slow, with the engine of the lowest
// score.
func TestPickWithoutSpeeds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		set, query := drawSet(t, false), drawQuery(t)
		lowest := math.Inf(1)
		for _, choice := range naiveChoices(set, query) {
			lowest = min(lowest, choice.Score)
		}
		choice, found := set.Pick(query, start)
		if found != !math.IsInf(lowest, 1) || (found && (choice.Score != lowest || choice.Slowness != 1)) {
			t.Fatalf("picked %+v, %t; the lowest score is %g", choice, found, lowest)
		}
	})
}

// TestPickWithSpeeds checks the properties of a choice among slow engines: no slow engine beside
// a free slot of the usual speed where the work takes less time, no preemption beside a slow free
// slot at which the request is in time, no wait beside any, and an engine wherever there was one
// without speeds.
func TestPickWithSpeeds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		set, query := drawSet(t, true), drawQuery(t)
		query.MaxSlowness = rapid.SampledFrom([]float64{0, 2, 4}).Draw(t, "largest slowness")
		choices := naiveChoices(set, query)
		choice, found := set.Pick(query, start)
		if found != (len(choices) > 0) {
			t.Fatalf("found %t among %+v", found, choices)
		}
		if !found {
			return
		}
		for _, other := range choices {
			healthy := other.Score < msShed
			free := other.HasSlot() && !other.Preempts
			if other.Slowness <= 1 && free && choice.Slowness > 1 && other.Score <= slowScore(choice.Score, choice.Slowness) {
				t.Errorf("picked %+v beside %+v", choice, other)
			}
			inTime := query.InTimeAt(Speed{Slowness: other.Slowness})
			if free && healthy && (!choice.HasSlot() || (inTime && choice.Preempts)) {
				t.Errorf("picked %+v without a free slot beside %+v", choice, other)
			}
		}
	})
}

// TestSlowEngineIsProbed checks that a slow engine gets the requests that may show its speed, and
// none that would be late there.
func TestSlowEngineIsProbed(t *testing.T) {
	set := newSet(1)
	id := set.List("p")[0].Entry.Incarnation()
	set.SetSpeed(id, Speed{Slowness: 4, Grants: 1})
	for limit, want := range map[float64]float64{0: 1, 5: 1, 2: 4} {
		choice, found := set.Pick(Query{Pool: "p", MaxSlowness: limit}, start)
		if !found || choice.Slowness != want {
			t.Errorf("up to %g: %+v, want slowness %g", limit, choice, want)
		}
	}
}

// TestCanPickFree checks that a free slot counts only at an engine that is not excluded, does not
// fail and does not shed work.
func TestCanPickFree(t *testing.T) {
	list := newSet(2).List("p") // in no particular order
	first, second := list[0].Entry, list[1].Entry
	for name, test := range map[string]struct {
		change func(*Set)
		want   bool
	}{
		"free":    {func(*Set) {}, true},
		"leaving": {func(s *Set) { s.Upsert(second, Leaving, start) }, false},
		"refused": {func(s *Set) { s.ConnectionRefused(second.Incarnation(), start) }, false},
		"full": {func(s *Set) {
			for range second.Slots {
				s.Start(second.Incarnation(), &Work{})
			}
		}, false},
		"gone": {func(s *Set) { s.Remove(second.Incarnation(), false, start) }, false},
	} {
		set := newSet(2)
		test.change(set)
		query := Query{Pool: "p", Exclude: map[Incarnation]bool{first.Incarnation(): true}}
		if got := set.CanPickFree(query, start); got != test.want {
			t.Errorf("%s: %t", name, got)
		}
	}
}
