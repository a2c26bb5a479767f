package runner

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"ringstream.example/ringstream/internal/bench/ledger"
	"ringstream.example/ringstream/internal/bench/scenario"
)

func finished(results ...ledger.Result) ledger.Job {
	return ledger.Job{
		Items:    []ledger.Item{{Name: "a"}, {Name: "b"}},
		Accepted: time.Unix(1, 0),
		Readings: []ledger.Reading{{Final: true, Results: results}},
	}
}

func TestDemoCountsLostAndDuplicateItems(t *testing.T) {
	a := ledger.Result{Index: 0, Name: "a", Outcome: ledger.OutcomeCompleted}
	b := ledger.Result{Index: 1, Name: "b", Outcome: ledger.OutcomeCompleted}
	unknown := ledger.Result{Index: 1, Name: "b", Outcome: "unknown"}
	evidence := ledger.Evidence{Runs: []ledger.Run{{Name: "a", Attempt: "1"}, {Name: "a", Attempt: "1"}, {Name: "b", Attempt: "2"}}}
	for _, one := range []struct {
		job              ledger.Job
		lost, duplicates int
	}{
		{finished(a, b), 0, 0}, {finished(a), 1, 0}, {finished(a, unknown), 1, 0}, {finished(a, b, b), 0, 1}, {ledger.Job{Items: finished().Items}, 2, 0},
	} {
		evidence.Index()
		if got := lost(one.job); got != one.lost {
			t.Errorf("%d lost of %v, want %d", got, one.job.Readings, one.lost)
		}
		if got := duplicates(one.job, evidence); got != one.duplicates {
			t.Errorf("%d duplicates of %v, want %d", got, one.job.Readings, one.duplicates)
		}
	}
	evidence.Runs[1].Attempt = "3"
	evidence.Index()
	if got := duplicates(finished(a, b), evidence); got != 1 {
		t.Errorf("%d duplicates of an item that may run once and ran twice, want 1", got)
	}
}

func TestForDurationMovesTheActions(t *testing.T) {
	from := scenario.Scenario{Duration: 16 * time.Second, Actions: []scenario.Action{{At: 8 * time.Second}}}
	short := ForDuration(from, 4*time.Second)
	if short.Actions[0].At != 2*time.Second || from.Actions[0].At != 8*time.Second {
		t.Errorf("action at %s (was %s), want 2s (8s)", short.Actions[0].At, from.Actions[0].At)
	}
}

func TestBarrierOpensWhenAllHaveComeAndAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const parties, rounds = 3, 2
		gate := newBarrier(parties)
		var passed [rounds]atomic.Int32
		for party := range parties {
			go func() {
				for round := range rounds {
					time.Sleep(time.Duration(party) * time.Second)
					gate.wait(t.Context())
					passed[round].Add(1)
					time.Sleep(time.Duration(party+1) * time.Millisecond)
				}
			}()
		}
		time.Sleep(1500 * time.Millisecond)
		synctest.Wait()
		if passed[0].Load() != 0 {
			t.Errorf("%d parties passed before the last arrived", passed[0].Load())
		}
		time.Sleep(10 * time.Second)
		synctest.Wait()
		if passed[0].Load() != parties || passed[1].Load() != parties {
			t.Errorf("%d and %d parties passed, want %d in each round", passed[0].Load(), passed[1].Load(), parties)
		}
	})
}
