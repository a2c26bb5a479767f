// Package checker judges a finished run by the invariants of the project, from
// the records of callers and stand-ins alone. It never reads a node's counters
// or logs, so that a node that counts wrongly cannot hide a violation.
package checker

import (
	"fmt"
	"slices"
	"time"

	"ringstream.example/ringstream/internal/bench/ledger"
)

// Invariant names one rule that must always hold.
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

// Invariants lists them all.
var Invariants = []Invariant{
	ItemOnce, CancelStops, OnlineFirst, OwnAnswer, NotRunTrue, RunOnce,
	LeavingGetsNone, StopCutsNone, EditInForce,
}

// The bounds that the invariants allow.
const (
	CancelGrace  = 2 * time.Second
	LeavingGrace = 2 * time.Second
	EditBound    = 5 * time.Second
	// preemptGrace is how long an online sequence may queue on an engine that
	// is still running batch: one engine step and the clocks' difference.
	preemptGrace = 150 * time.Millisecond
)

// Violation is one breach, with enough to find it in the records.
type Violation struct {
	Invariant Invariant `json:"invariant"`
	Subject   string    `json:"subject"`
	Detail    string    `json:"detail"`
}

// Answer gives the text that an engine gives to a prompt when asked for at
// most so many tokens.
type Answer func(prompt string, maxTokens int) string

// Check gives every violation in the evidence.
func Check(evidence ledger.Evidence, answer Answer) []Violation {
	evidence.Index()
	check := &check{evidence: evidence, answer: answer, standstills: standstillsOf(evidence)}
	for _, job := range evidence.Jobs {
		check.itemOnce(job)
		check.cancelStops(job)
		check.runOnce(job)
	}
	check.onlineFirst()
	check.ownAnswer()
	check.notRunTrue()
	check.leavingGetsNone()
	check.stopCutsNone()
	check.editInForce()
	return check.found
}

// Count gives the number of violations of each invariant, zeros included.
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
	// standstills holds the times in which each engine made no step, whatever
	// the reason, in order.
	standstills map[string][]ledger.Standstill
}

func standstillsOf(evidence ledger.Evidence) map[string][]ledger.Standstill {
	byEngine := map[string][]ledger.Standstill{}
	for _, stood := range evidence.Standstills {
		byEngine[stood.Engine] = append(byEngine[stood.Engine], stood)
	}
	for _, disturbance := range evidence.Disturbances {
		stood := ledger.Standstill{Engine: disturbance.Engine, From: disturbance.At, Until: disturbance.Until}
		byEngine[stood.Engine] = append(byEngine[stood.Engine], stood)
	}
	for _, all := range byEngine {
		slices.SortFunc(all, func(a, b ledger.Standstill) int { return a.From.Compare(b.From) })
	}
	return byEngine
}

func (c *check) violated(invariant Invariant, subject, detail string, arguments ...any) {
	c.found = append(c.found, Violation{Invariant: invariant, Subject: subject, Detail: fmt.Sprintf(detail, arguments...)})
}

// onlineFirst: on no engine does an online sequence wait, or get refused for
// want of room, while batch sequences hold places there.
func (c *check) onlineFirst() {
	byEngine := map[string][]ledger.Run{}
	for _, run := range c.evidence.Runs {
		byEngine[run.Engine] = append(byEngine[run.Engine], run)
	}
	for _, runs := range byEngine {
		for _, online := range runs {
			if online.Online && !online.Accepted.IsZero() {
				c.onlineRun(online, runs)
			}
		}
	}
	for _, refusal := range c.evidence.Refusals {
		if refusal.Online && refusal.Code == "saturated" && refusal.RunningBatch > 0 {
			c.violated(OnlineFirst, refusal.Name, "refused by %s as saturated beside %d batch sequences", refusal.Engine, refusal.RunningBatch)
		}
	}
}

func (c *check) onlineRun(online ledger.Run, onEngine []ledger.Run) {
	until := online.Started
	if until.IsZero() {
		until = c.endOf(online)
	}
	deadline := c.waitDeadline(online.Engine, online.Accepted)
	for _, batch := range onEngine {
		if batch.Online || batch.Started.IsZero() || !batch.Started.Before(until) {
			continue
		}
		if batch.Started.After(online.Accepted) {
			c.violated(OnlineFirst, online.Name, "waited on %s while batch %s was started before it", online.Engine, batch.Name)
			return
		}
		if until.After(deadline) && c.endOf(batch).After(deadline) {
			c.violated(OnlineFirst, online.Name, "waited %s on %s while batch %s ran there",
				until.Sub(online.Accepted).Round(time.Millisecond), online.Engine, batch.Name)
			return
		}
	}
}

// waitDeadline gives the time at which a wait that began on an engine has used
// up the grace. The times in which a fault, or the machine that runs the
// stand-in, keeps the engine from its steps do not count: nothing runs there
// then, batch work no more than online.
func (c *check) waitDeadline(engine string, from time.Time) time.Time {
	deadline := from.Add(preemptGrace)
	for _, stood := range c.standstills[engine] {
		start := stood.From
		if start.Before(from) {
			start = from
		}
		if start.Before(deadline) && stood.Until.After(start) {
			deadline = deadline.Add(stood.Until.Sub(start))
		}
	}
	return deadline
}

// keyUnrecorded tells whether a request ended unknown under a key, in a time in
// which the store could not record the key's answer: the store's fault ended
// it so, not a stop, and the key gives the answer later.
func (c *check) keyUnrecorded(request ledger.Request) bool {
	if request.Key == "" || request.End != ledger.EndUnknown {
		return false
	}
	return slices.ContainsFunc(c.evidence.Disturbances, func(d ledger.Disturbance) bool {
		return d.Store && d.At.Before(request.Finished) && d.Until.After(request.Sent)
	})
}

// endOf is when a run ended; an open one has lasted to the end of the records.
func (c *check) endOf(run ledger.Run) time.Time {
	if run.Finished.IsZero() {
		return c.evidence.Ended
	}
	return run.Finished
}

// ownAnswer: a completed request has exactly the answer to its own prompt, and
// every send of one key has the same.
func (c *check) ownAnswer() {
	byKey := map[string]string{}
	for _, request := range c.evidence.Requests {
		if request.End != ledger.EndCompleted {
			continue
		}
		if expected := c.answer(request.Prompt, request.MaxTokens); request.Text != expected {
			c.violated(OwnAnswer, request.Name, "got %d bytes, its own answer has %d: %s",
				len(request.Text), len(expected), difference(request.Text, expected))
		}
		if request.Key == "" {
			continue
		}
		key := request.Tenant + "/" + request.Key
		if first, seen := byKey[key]; seen && first != request.Text {
			c.violated(OwnAnswer, request.Name, "two sends of key %s got differing answers", request.Key)
		}
		byKey[key] = request.Text
	}
}

// difference tells where two texts part.
func difference(got, expected string) string {
	at := 0
	for at < len(got) && at < len(expected) && got[at] == expected[at] {
		at++
	}
	return fmt.Sprintf("they part at byte %d", at)
}

// notRunTrue: what a caller was told did not run left no trace on any engine
// or on the other site. Sends of one name are judged together.
func (c *check) notRunTrue() {
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
			c.violated(NotRunTrue, name, "claimed not run, and %s took attempt %s", runs[0].Engine, runs[0].Attempt)
		}
		if slices.Contains(c.evidence.OtherSiteRuns, name) {
			c.violated(NotRunTrue, name, "claimed not run, and the other site took it")
		}
	}
}

// leavingGetsNone: an engine is sent no new attempt later than the grace after
// it was told to leave, whether it takes it or not.
func (c *check) leavingGetsNone() {
	for _, departure := range c.evidence.Departures {
		for _, run := range c.evidence.Runs {
			late := run.Accepted.Sub(departure.At)
			if run.Engine == departure.Engine && late > LeavingGrace {
				c.violated(LeavingGetsNone, departure.Engine, "took %s %s after the word", run.Name, late.Round(time.Millisecond))
			}
		}
		for _, refusal := range c.evidence.Refusals {
			late := refusal.At.Sub(departure.At)
			if refusal.Engine == departure.Engine && late > LeavingGrace {
				c.violated(LeavingGetsNone, departure.Engine, "was sent %s %s after the word", refusal.Name, late.Round(time.Millisecond))
			}
		}
	}
}

// stopCutsNone: a request in flight at a node when it is stopped in a planned
// way ends whole, or is refused as not run.
func (c *check) stopCutsNone() {
	for _, stop := range c.evidence.Stops {
		if !stop.Planned {
			continue
		}
		for _, request := range c.evidence.Requests {
			inFlight := request.Node == stop.Node && request.Sent.Before(stop.Ended) && request.Finished.After(stop.At)
			cut := (request.End == ledger.EndFailed || request.End == ledger.EndUnknown) && !request.Abandoned
			if inFlight && cut && !c.keyUnrecorded(request) {
				c.violated(StopCutsNone, request.Name, "ended %s while node %d was stopping: %s", request.End, stop.Node, request.Error)
			}
		}
	}
}
