// Package checker checks a finished run against the invariants of the project, using only the
// records of callers and platform stand-ins. It never reads a node's counters or logs, so that a
// node that counts wrongly cannot hide a violation.
package checker

import (
	"fmt"
	"slices"
	"time"

	"ringstream.example/ringstream/internal/bench/ledger"
)

// Invariant is the name of a rule that must always hold.
type Invariant string

// The nine invariants.
const (
	ItemOnce        Invariant = "item_completes_once"
	CancelStops     Invariant = "cancelled_job_stops"
	OnlineFirst     Invariant = "online_before_batch"
	OwnAnswer       Invariant = "own_whole_answer"
	NotRunTrue      Invariant = "not_run_is_true"
	RunOnce         Invariant = "nonrepeatable_at_most_once"
	LeavingGetsNone Invariant = "leaving_gets_no_new_work"
	StopCutsNone    Invariant = "planned_stop_cuts_nothing"
	EditInForce     Invariant = "edit_in_force"
)

// Invariants lists all invariants.
var Invariants = []Invariant{
	ItemOnce, CancelStops, OnlineFirst, OwnAnswer, NotRunTrue, RunOnce,
	LeavingGetsNone, StopCutsNone, EditInForce,
}

// Bounds that the invariants allow.
const (
	CancelGrace  = 2 * time.Second
	LeavingGrace = 2 * time.Second
	EditBound    = 5 * time.Second
	// preemptGrace is how long an online sequence may queue on an engine that is still running
	// batch work: one engine step plus the difference between the clocks.
	preemptGrace = 150 * time.Millisecond
)

// Violation is one violation of an invariant, with enough detail to find it in the records.
type Violation struct {
	Invariant Invariant `json:"invariant"`
	Subject   string    `json:"subject"`
	Detail    string    `json:"detail"`
}

// Answer returns the text that an engine generates for a prompt, limited to maxTokens tokens.
type Answer func(prompt string, maxTokens int) string

// Check returns every violation in the evidence.
func Check(evidence ledger.Evidence, answer Answer) []Violation {
	evidence.Index()
	check := &check{evidence: evidence, answer: answer, standstills: standstillsByEngine(evidence)}
	for _, job := range evidence.Jobs {
		check.checkItemOnce(job)
		check.checkCancelStops(job)
		check.checkRunOnce(job)
	}
	check.checkOnlineFirst()
	check.checkOwnAnswer()
	check.checkNotRunTrue()
	check.checkLeavingGetsNone()
	check.checkStopCutsNone()
	check.checkEditInForce()
	return check.found
}

// Count returns the number of violations of each invariant, including zeros.
func Count(violations []Violation) map[Invariant]int {
	counts := make(map[Invariant]int, len(Invariants))
	for _, invariant := range Invariants {
		counts[invariant] = 0
	}
	for _, violation := range violations {
		counts[violation.Invariant]++
	}
	return counts
}

type check struct {
	evidence ledger.Evidence
	answer   Answer
	found    []Violation
	// standstills holds, for each engine, the periods in which it completed no step for any reason,
	// sorted by start.
	standstills map[string][]ledger.Standstill
}

func standstillsByEngine(evidence ledger.Evidence) map[string][]ledger.Standstill {
	byEngine := map[string][]ledger.Standstill{}
	for _, standstill := range evidence.Standstills {
		byEngine[standstill.Engine] = append(byEngine[standstill.Engine], standstill)
	}
	for _, disturbance := range evidence.Disturbances {
		standstill := ledger.Standstill{Engine: disturbance.Engine, From: disturbance.At, Until: disturbance.Until}
		byEngine[standstill.Engine] = append(byEngine[standstill.Engine], standstill)
	}
	for _, all := range byEngine {
		slices.SortFunc(all, func(a, b ledger.Standstill) int { return a.From.Compare(b.From) })
	}
	return byEngine
}

func (c *check) addViolation(invariant Invariant, subject, detail string, arguments ...any) {
	c.found = append(c.found, Violation{Invariant: invariant, Subject: subject, Detail: fmt.Sprintf(detail, arguments...)})
}

// checkOnlineFirst checks that no online sequence waits on an engine, or is refused for lack of
// capacity, while batch sequences hold slots there.
func (c *check) checkOnlineFirst() {
	byEngine := map[string][]ledger.Run{}
	for _, run := range c.evidence.Runs {
		byEngine[run.Engine] = append(byEngine[run.Engine], run)
	}
	for _, runs := range byEngine {
		for _, online := range runs {
			if online.Online && !online.Accepted.IsZero() {
				c.checkOnlineRun(online, runs)
			}
		}
	}
	for _, refusal := range c.evidence.Refusals {
		if refusal.Online && refusal.Code == "saturated" && refusal.RunningBatch > 0 {
			c.addViolation(OnlineFirst, refusal.Name, "refused by %s as saturated beside %d batch sequences", refusal.Engine, refusal.RunningBatch)
		}
	}
}

func (c *check) checkOnlineRun(online ledger.Run, onEngine []ledger.Run) {
	until := online.Started
	if until.IsZero() {
		until = c.endOfRun(online)
	}
	deadline := c.waitDeadline(online.Engine, online.Accepted)
	for _, batch := range onEngine {
		if batch.Online || batch.Started.IsZero() || !batch.Started.Before(until) {
			continue
		}
		if batch.Started.After(online.Accepted) {
			c.addViolation(OnlineFirst, online.Name, "waited on %s while batch %s was started before it", online.Engine, batch.Name)
			return
		}
		if until.After(deadline) && c.endOfRun(batch).After(deadline) {
			c.addViolation(OnlineFirst, online.Name, "waited %s on %s while batch %s ran there",
				until.Sub(online.Accepted).Round(time.Millisecond), online.Engine, batch.Name)
			return
		}
	}
}

// waitDeadline returns when a wait that began on an engine exceeds preemptGrace. Standstills of the
// engine, caused by a fault or by the machine that runs the stand-in, do not count, because neither
// batch nor online work runs during them.
func (c *check) waitDeadline(engine string, from time.Time) time.Time {
	deadline := from.Add(preemptGrace)
	for _, standstill := range c.standstills[engine] {
		start := standstill.From
		if start.Before(from) {
			start = from
		}
		if start.Before(deadline) && standstill.Until.After(start) {
			deadline = deadline.Add(standstill.Until.Sub(start))
		}
	}
	return deadline
}

// endedByStoreFault reports whether a keyed request ended unknown while the store could not record
// the answer for its key. Such an end is caused by the fault of the store and not by a stop, and
// the key returns the answer later.
func (c *check) endedByStoreFault(request ledger.Request) bool {
	if request.Key == "" || request.End != ledger.EndUnknown {
		return false
	}
	return slices.ContainsFunc(c.evidence.Disturbances, func(d ledger.Disturbance) bool {
		return d.Store && d.At.Before(request.Finished) && d.Until.After(request.Sent)
	})
}

// endOfRun returns when a run ended. An open run lasts until the end of the records.
func (c *check) endOfRun(run ledger.Run) time.Time {
	if run.Finished.IsZero() {
		return c.evidence.Ended
	}
	return run.Finished
}

// checkOwnAnswer checks that a completed request has exactly the answer to its own prompt, and that
// all sends with one key have the same answer.
func (c *check) checkOwnAnswer() {
	byKey := map[string]string{}
	for _, request := range c.evidence.Requests {
		if request.End != ledger.EndCompleted {
			continue
		}
		if expected := c.answer(request.Prompt, request.MaxTokens); request.Text != expected {
			c.addViolation(OwnAnswer, request.Name, "got %d bytes, its own answer has %d: %s",
				len(request.Text), len(expected), firstDifference(request.Text, expected))
		}
		if request.Key == "" {
			continue
		}
		key := request.Tenant + "/" + request.Key
		if first, seen := byKey[key]; seen && first != request.Text {
			c.addViolation(OwnAnswer, request.Name, "two sends of key %s got differing answers", request.Key)
		}
		byKey[key] = request.Text
	}
}

// firstDifference describes where two texts begin to differ.
func firstDifference(got, expected string) string {
	at := 0
	for at < len(got) && at < len(expected) && got[at] == expected[at] {
		at++
	}
	return fmt.Sprintf("they part at byte %d", at)
}

// checkNotRunTrue checks that work reported to a caller as not run left no trace on any engine or
// on the other site. All sends with one name are judged together.
func (c *check) checkNotRunTrue() {
	claimed, ran := map[string]bool{}, map[string]bool{}
	for _, request := range c.evidence.Requests {
		if request.End == ledger.EndRefused {
			claimed[request.Name] = true
		} else {
			ran[request.Name] = true
		}
	}
	for _, job := range c.evidence.Jobs {
		if job.Refused && job.ID == "" {
			for _, item := range job.Items {
				claimed[item.Name] = true
			}
		}
	}
	for name := range claimed {
		if ran[name] {
			continue
		}
		if runs := c.evidence.RunsOf(name); len(runs) > 0 {
			c.addViolation(NotRunTrue, name, "claimed not run, and %s took attempt %s", runs[0].Engine, runs[0].Attempt)
		}
		if slices.Contains(c.evidence.OtherSiteRuns, name) {
			c.addViolation(NotRunTrue, name, "claimed not run, and the other site took it")
		}
	}
}

// checkLeavingGetsNone checks that no new attempt is sent to an engine more than LeavingGrace after
// it was told to leave, whether or not the engine accepts it.
func (c *check) checkLeavingGetsNone() {
	for _, departure := range c.evidence.Departures {
		for _, run := range c.evidence.Runs {
			late := run.Accepted.Sub(departure.At)
			if run.Engine == departure.Engine && late > LeavingGrace {
				c.addViolation(LeavingGetsNone, departure.Engine, "took %s %s after the word", run.Name, late.Round(time.Millisecond))
			}
		}
		for _, refusal := range c.evidence.Refusals {
			late := refusal.At.Sub(departure.At)
			if refusal.Engine == departure.Engine && late > LeavingGrace {
				c.addViolation(LeavingGetsNone, departure.Engine, "was sent %s %s after the word", refusal.Name, late.Round(time.Millisecond))
			}
		}
	}
}

// checkStopCutsNone checks that a request in flight at a node during a planned stop completes or is
// refused as not run.
func (c *check) checkStopCutsNone() {
	for _, stop := range c.evidence.Stops {
		if !stop.Planned {
			continue
		}
		for _, request := range c.evidence.Requests {
			inFlight := request.Node == stop.Node && request.Sent.Before(stop.Ended) && request.Finished.After(stop.At)
			cut := (request.End == ledger.EndFailed || request.End == ledger.EndUnknown) && !request.Abandoned
			if inFlight && cut && !c.endedByStoreFault(request) {
				c.addViolation(StopCutsNone, request.Name, "ended %s while node %d was stopping: %s", request.End, stop.Node, request.Error)
			}
		}
	}
}
