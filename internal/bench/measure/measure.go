// Package measure computes the figures of a run from the records of callers and stand-ins. Package
// report judges the rules, and package checker the invariants.
package measure

import (
	"slices"
	"time"

	"ringstream.example/ringstream/internal/bench/checker"
	"ringstream.example/ringstream/internal/bench/ledger"
	"ringstream.example/ringstream/internal/bench/report"
)

// OnlineFigures computes the figures that online callers saw. directOverhead is the time of a
// direct call to an engine in addition to the engine's own time. It is subtracted from the time of
// each request to obtain what a node adds.
func OnlineFigures(evidence ledger.Evidence, directOverhead time.Duration) report.Online {
	var figures report.Online
	first, between, added := report.NewDurationHistogram(), report.NewDurationHistogram(), report.NewDurationHistogram()
	engineTime := engineTimesToFirstToken(evidence)
	for _, request := range evidence.Requests {
		figures.Requests++
		switch request.End {
		case ledger.EndCompleted:
			figures.Completed++
		case ledger.EndRefused:
			figures.RefusedNotRun++
		case ledger.EndFailed:
			figures.Failed++
		default:
			figures.Unknown++
		}
		if request.End != ledger.EndCompleted || request.Resend || request.FirstToken.IsZero() {
			continue
		}
		first.Add(request.FirstToken.Sub(request.Scheduled))
		if gap, ok := meanTokenInterval(request); ok {
			between.Add(gap)
		}
		if inside, ok := engineTime[request.Name]; ok && request.Key == "" {
			added.Add(request.FirstToken.Sub(request.Sent) - inside - directOverhead)
		}
	}
	figures.TTFT, figures.TPOT, figures.Added = first.Quantiles(), between.Quantiles(), added.Quantiles()
	return figures
}

// meanTokenInterval returns the mean time between the tokens of a request. It returns false if the
// request has fewer than two tokens.
func meanTokenInterval(request ledger.Request) (time.Duration, bool) {
	gaps := len(request.TokenTimes) - 1
	if gaps < 1 {
		return 0, false
	}
	return request.TokenTimes[gaps].Sub(request.TokenTimes[0]) / time.Duration(gaps), true
}

// engineTimesToFirstToken returns the time from the arrival of a request at an engine to its first
// token, for each name that reached engines exactly once.
func engineTimesToFirstToken(evidence ledger.Evidence) map[string]time.Duration {
	times := map[string]time.Duration{}
	taken := map[string]int{}
	for _, run := range evidence.Runs {
		taken[run.Name]++
		if run.Online && !run.FirstToken.IsZero() {
			times[run.Name] = run.FirstToken.Sub(run.Accepted)
		}
	}
	for _, refusal := range evidence.Refusals {
		taken[refusal.Name]++ // a refused try adds to the node's time, but the request needed more than one call
	}
	for name, count := range taken {
		if count > 1 {
			delete(times, name)
		}
	}
	return times
}

// BatchFigures computes the figures that batch callers saw. The rate refers to the time in which
// accepted work was waiting or running. The idle bound refers to the time that the ideal schedule
// needs for the same work.
func BatchFigures(evidence ledger.Evidence, engines EngineModel) (report.Batch, Ideal) {
	var figures report.Batch
	var busy spans
	for _, job := range evidence.Jobs {
		if job.Accepted.IsZero() {
			continue
		}
		figures.ItemsAccepted += len(job.Items)
		figures.ItemsCompleted += countCompleted(job)
		if end, ok := lastWorkTime(job, evidence); ok {
			busy = append(busy, span{job.Accepted, end})
			if job.CancelSent.IsZero() && end.After(job.Deadline) {
				figures.DeadlineMisses++
			}
		}
	}
	for _, run := range evidence.Runs {
		if !run.Online {
			figures.Preemptions += run.Preemptions
		}
	}
	figures.Preemptions += countPreemptedByNodes(evidence)
	ideal := Schedule(evidence, engines)
	figures.ItemsPerSecond = report.Ratio(float64(figures.ItemsCompleted), busy.total().Seconds())
	figures.IdleBound = report.Ratio(float64(figures.ItemsCompleted), ideal.Busy.Seconds())
	figures.Yield = preemptionDelays(evidence, engines).Quantiles()
	return figures, ideal
}

func countCompleted(job ledger.Job) int {
	count := 0
	if len(job.Readings) > 0 {
		for _, result := range job.Readings[len(job.Readings)-1].Results {
			if result.Outcome == ledger.OutcomeCompleted {
				count++
			}
		}
	}
	return count
}

// lastWorkTime returns when engines last worked on a job. It returns false if they did not.
func lastWorkTime(job ledger.Job, evidence ledger.Evidence) (time.Time, bool) {
	var last time.Time
	for _, item := range job.Items {
		for _, run := range evidence.RunsOf(item.Name) {
			if run.Finished.After(last) {
				last = run.Finished
			}
		}
	}
	return last, !last.IsZero()
}

// countPreemptedByNodes counts the batch runs that a node preempted, that is, cancelled on the
// engine although their job was not cancelled.
func countPreemptedByNodes(evidence ledger.Evidence) int {
	cancelled := map[string]bool{}
	for _, job := range evidence.Jobs {
		if !job.CancelSent.IsZero() {
			for _, item := range job.Items {
				cancelled[item.Name] = true
			}
		}
	}
	count := 0
	for _, run := range evidence.Runs {
		if !run.Online && run.End == ledger.RunCancelled && !cancelled[run.Name] {
			count++
		}
	}
	return count
}

// preemptionDelays collects the preemption delay of online requests that arrived at an engine with
// all slots taken and at least one by batch work. The delay is the time from the caller's send
// until the request started on the engine.
func preemptionDelays(evidence ledger.Evidence, engines EngineModel) report.DurationHistogram {
	sent := map[string]time.Time{}
	for _, request := range evidence.Requests {
		if !request.Resend {
			sent[request.Name] = request.Sent
		}
	}
	byEngine := map[string][]ledger.Run{}
	for _, run := range evidence.Runs {
		byEngine[run.Engine] = append(byEngine[run.Engine], run)
	}
	all := report.NewDurationHistogram()
	for engine, runs := range byEngine {
		for _, online := range runs {
			if !online.Online || online.Started.IsZero() {
				continue
			}
			running, batch := countRunningAt(runs, online.Accepted)
			if running >= engines.Slots[engine] && batch > 0 {
				all.Add(online.Started.Sub(sent[online.Name]))
			}
		}
	}
	return all
}

func countRunningAt(runs []ledger.Run, at time.Time) (running, batch int) {
	for _, run := range runs {
		if run.Started.IsZero() || !run.Started.Before(at) || (!run.Finished.IsZero() && !run.Finished.After(at)) {
			continue
		}
		running++
		if !run.Online {
			batch++
		}
	}
	return running, batch
}

// ConfigFigures computes how long accepted edits took until they were in force on the nodes.
func ConfigFigures(evidence ledger.Evidence) report.Config {
	figures := report.Config{Edits: len(evidence.Edits)}
	all := report.NewDurationHistogram()
	for _, edit := range evidence.Edits {
		slowest, everywhere := time.Duration(0), false
		for node := range evidence.Nodes {
			if delay, seen := checker.InForce(edit, node, evidence.Sightings); seen {
				slowest, everywhere = max(slowest, delay), true
			}
		}
		if everywhere {
			all.Add(slowest)
			figures.InForce.Max = max(figures.InForce.Max, slowest.Seconds()*1000)
		}
	}
	figures.InForce.P99 = min(all.Quantiles().P99, figures.InForce.Max)
	return figures
}

type span struct{ from, to time.Time }

type spans []span

// total returns the length of the union of the spans.
func (s spans) total() time.Duration {
	slices.SortFunc(s, func(a, b span) int { return a.from.Compare(b.from) })
	var sum time.Duration
	var end time.Time
	for _, next := range s {
		from := next.from
		if from.Before(end) {
			from = end
		}
		if next.to.After(from) {
			sum += next.to.Sub(from)
			end = next.to
		}
	}
	return sum
}
