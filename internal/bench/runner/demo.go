package runner

import (
	"context"
	"time"

	"ringstream.example/ringstream/internal/bench/checker"
	"ringstream.example/ringstream/internal/bench/ledger"
	"ringstream.example/ringstream/internal/bench/measure"
	"ringstream.example/ringstream/internal/bench/scenario"
	"ringstream.example/ringstream/internal/bench/workload"
)

// DemoResult is the line of JSON that a demo prints at its end.
type DemoResult struct {
	OnlineCompleted     int     `json:"online_completed"`
	OnlineTTFTP95       float64 `json:"online_ttft_ms_p95"`
	BatchItemsAccepted  int     `json:"batch_items_accepted"`
	BatchItemsCompleted int     `json:"batch_items_completed"`
	Duplicates          int     `json:"duplicates"`
	Lost                int     `json:"lost"`
	InvariantViolations int     `json:"invariant_violations"`
	// RowChange is the time from the acceptance of an edit until every node showed it. It is
	// negative if some node never showed it.
	RowChange float64 `json:"row_change_ms"`
}

// DemoOutcome is the result of a demo with additional information for people.
type DemoOutcome struct {
	Result         DemoResult
	OnlineSent     int
	JobsAccepted   int
	ItemsPerSecond float64
	Violations     []checker.Violation
	Failures       []string
	Interrupted    bool
}

// Passed reports whether the demo met all of its conditions.
func (o DemoOutcome) Passed() bool {
	r := o.Result
	return r.InvariantViolations == 0 && r.Lost == 0 && r.Duplicates == 0 && r.RowChange >= 0 &&
		r.OnlineCompleted > 0 && r.BatchItemsAccepted > 0 && len(o.Failures) == 0 && !o.Interrupted
}

// ForDuration shortens or lengthens the arrivals of a scenario. The times of the actions are scaled
// accordingly.
func ForDuration(from scenario.Scenario, duration time.Duration) scenario.Scenario {
	scale := duration.Seconds() / from.Duration.Seconds()
	actions := make([]scenario.Action, len(from.Actions))
	for i, action := range from.Actions {
		action.At = time.Duration(float64(action.At) * scale)
		actions[i] = action
	}
	from.Actions, from.Duration = actions, duration
	return from
}

// Demo runs a scenario once on a fleet and judges the run.
func Demo(ctx context.Context, settings Settings) (DemoOutcome, error) {
	plan := workload.Make(settings.Scenario, settings.Seed)
	phase, err := Ringstream(ctx, "demo", settings, plan, true)
	if err != nil {
		return DemoOutcome{}, err
	}
	online := measure.OnlineFigures(phase.Evidence, 0)
	batch, _ := measure.BatchFigures(phase.Evidence, phase.Model)
	violations := checker.Check(phase.Evidence, Answer(settings.Scenario.Model))
	outcome := DemoOutcome{
		OnlineSent: online.Requests, ItemsPerSecond: batch.ItemsPerSecond,
		Violations: violations, Failures: phase.Failures, Interrupted: ctx.Err() != nil,
	}
	outcome.Result = DemoResult{
		OnlineCompleted: online.Completed, OnlineTTFTP95: online.TTFT.P95,
		BatchItemsAccepted: batch.ItemsAccepted, BatchItemsCompleted: batch.ItemsCompleted,
		InvariantViolations: len(violations), RowChange: rowChange(phase.Evidence),
	}
	for _, job := range phase.Evidence.Jobs {
		if !job.Accepted.IsZero() {
			outcome.JobsAccepted++
			outcome.Result.Lost += lost(job)
			outcome.Result.Duplicates += duplicates(job, phase.Evidence)
		}
	}
	return outcome, nil
}

// rowChange returns the longest time in milliseconds until an edit was shown by every node, or -1
// if some node never showed an edit or there were no edits.
func rowChange(evidence ledger.Evidence) float64 {
	const never = -1
	if len(evidence.Edits) == 0 {
		return never
	}
	slowest := 0.0
	for _, edit := range evidence.Edits {
		for node := range evidence.Nodes {
			delay, seen := checker.InForce(edit, node, evidence.Sightings)
			if !seen {
				return never
			}
			slowest = max(slowest, delay.Seconds()*1000)
		}
	}
	return slowest
}

// lost counts the items of an accepted job for which the client has no completed result at the end.
func lost(job ledger.Job) int {
	if !job.CancelSent.IsZero() {
		return 0
	}
	completed := map[int]bool{}
	if len(job.Readings) > 0 {
		for _, result := range job.Readings[len(job.Readings)-1].Results {
			if result.Outcome == ledger.OutcomeCompleted {
				completed[result.Index] = true
			}
		}
	}
	return len(job.Items) - len(completed)
}

// duplicates counts the items that have more than one result, and the items that may run only once
// but were accepted by engines under more than one attempt.
func duplicates(job ledger.Job, evidence ledger.Evidence) int {
	count := 0
	if len(job.Readings) > 0 {
		seen := map[int]bool{}
		for _, result := range job.Readings[len(job.Readings)-1].Results {
			if seen[result.Index] {
				count++
			}
			seen[result.Index] = true
		}
	}
	if job.Repeatable {
		return count
	}
	for _, item := range job.Items {
		attempts := map[string]bool{}
		for _, run := range evidence.RunsOf(item.Name) {
			attempts[run.Attempt] = true
		}
		if len(attempts) > 1 {
			count++
		}
	}
	return count
}
