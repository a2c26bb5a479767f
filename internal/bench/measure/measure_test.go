package measure_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"ringstream.example/ringstream/internal/bench/ledger"
	"ringstream.example/ringstream/internal/bench/measure"
)

var start = time.Date(2026, 3, 2, 8, 0, 0, 0, time.UTC)

func at(milliseconds int) time.Time { return start.Add(time.Duration(milliseconds) * time.Millisecond) }

// engines is one engine with four slots that makes one token of each sequence in 20 ms, regardless
// of its load.
var engines = measure.EngineModel{Slots: map[string]int{"e": 4}, StepBase: 20 * time.Millisecond}

func jobOf(items, tokens int) ledger.Job {
	job := ledger.Job{Key: "j", ID: "j", Accepted: at(0), Deadline: at(60000), Repeatable: true}
	reading := ledger.Reading{At: at(50000), Final: true}
	for i := range items {
		name := fmt.Sprintf("j-%d", i)
		job.Items = append(job.Items, ledger.Item{Name: name, Prompt: "p", MaxTokens: tokens})
		reading.Results = append(reading.Results, ledger.Result{Index: i, Name: name, Outcome: ledger.OutcomeCompleted})
	}
	job.Readings = []ledger.Reading{reading}
	return job
}

func TestIdealScheduleFillsThePlacesThatOnlineLeaves(t *testing.T) {
	// Eight items of 50 tokens (1 s each) take 2 s in four slots.
	evidence := ledger.Evidence{Jobs: []ledger.Job{jobOf(8, 50)}, Ended: at(60000)}
	evidence.Index()
	if busy := measure.Schedule(evidence, engines).Busy; busy != 2*time.Second {
		t.Errorf("with all slots free: %s, want 2s", busy)
	}
	// With two slots taken by online sequences all the time, they take 4 s.
	for range 2 {
		evidence.Runs = append(evidence.Runs, ledger.Run{Engine: "e", Online: true, Started: at(-1000), Finished: at(30000)})
	}
	evidence.Index()
	if busy := measure.Schedule(evidence, engines).Busy; busy != 4*time.Second {
		t.Errorf("with half of the slots free: %s, want 4s", busy)
	}
}

func TestBatchFiguresAreOfTheTimeWithWork(t *testing.T) {
	evidence := ledger.Evidence{Jobs: []ledger.Job{jobOf(8, 50)}, Ended: at(60000)}
	for i := range 8 {
		// The engine needs 4 s, and the ideal schedule needs 2 s.
		evidence.Runs = append(evidence.Runs, ledger.Run{
			Engine: "e", Name: fmt.Sprintf("j-%d", i), Started: at(500 * i), Finished: at(500 * (i + 1)), End: ledger.RunFinished, Tokens: 50,
		})
	}
	evidence.Runs = append(evidence.Runs, ledger.Run{Engine: "e", Name: "j-0", Started: at(0), Finished: at(100), End: ledger.RunCancelled})
	evidence.Index()
	figures, _ := measure.BatchFigures(evidence, engines)
	if math.Abs(figures.ItemsPerSecond-2) > 0.01 || math.Abs(figures.IdleBound-4) > 0.01 {
		t.Errorf("%v items/s and a bound of %v, want 2 and 4", figures.ItemsPerSecond, figures.IdleBound)
	}
	if figures.Preemptions != 1 || figures.ItemsCompleted != 8 || figures.DeadlineMisses != 0 {
		t.Errorf("figures %+v, want 1 preemption, 8 completed, no miss", figures)
	}
}

func TestYieldIsFromTheCallersSendToTheStart(t *testing.T) {
	evidence := ledger.Evidence{Ended: at(5000)}
	for i := range 4 {
		run := ledger.Run{Engine: "e", Name: fmt.Sprintf("b%d", i), Started: at(0), Finished: at(4000), End: ledger.RunFinished}
		if i == 3 {
			run.Finished, run.End = at(1015), ledger.RunCancelled
		}
		evidence.Runs = append(evidence.Runs, run)
	}
	evidence.Runs = append(evidence.Runs, ledger.Run{
		Engine: "e", Name: "o", Online: true, Accepted: at(1005), Started: at(1020), FirstToken: at(1060), Finished: at(2000), End: ledger.RunFinished,
	})
	evidence.Requests = []ledger.Request{{
		Name: "o", Scheduled: at(995), Sent: at(1000), FirstToken: at(1062), End: ledger.EndCompleted,
		TokenTimes: []time.Time{at(1062), at(1082), at(1102)},
	}}
	evidence.Index()
	batch, _ := measure.BatchFigures(evidence, engines)
	if batch.Yield.Count != 1 || math.Abs(batch.Yield.P99-20) > 0.1 {
		t.Errorf("yield %+v, want one of 20 ms", batch.Yield)
	}
	online := measure.OnlineFigures(evidence, time.Millisecond)
	// TTFT is 67 ms from the scheduled time. The engine had the request for 55 of the 62 ms since
	// the send, and a direct call costs 1 ms.
	if math.Abs(online.TTFT.P50-67) > 0.1 || math.Abs(online.TPOT.P50-20) > 0.1 || math.Abs(online.Added.P50-6) > 0.1 {
		t.Errorf("online %+v, want 67, 20 and 6 ms", online)
	}
}
