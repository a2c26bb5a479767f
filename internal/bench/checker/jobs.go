package checker

import (
	"slices"
	"strings"
	"time"

	"ringstream.example/ringstream/internal/bench/ledger"
)

// checkItemOnce checks that each item of an accepted job that was not cancelled has exactly one
// final outcome, that the outcome is correct, and that every later reading shows the same outcome.
func (c *check) checkItemOnce(job ledger.Job) {
	if job.Accepted.IsZero() {
		return
	}
	for _, id := range job.ResentIDs {
		if id != job.ID {
			c.addViolation(ItemOnce, job.Key, "sent again, it became job %s beside %s", id, job.ID)
		}
	}
	c.checkReadings(job)
	if !job.CancelSent.IsZero() {
		return
	}
	finished := len(job.Readings) > 0 && job.Readings[len(job.Readings)-1].Final
	if !finished && c.evidence.Interrupted {
		return // the job was not followed to its end
	}
	if !finished {
		c.addViolation(ItemOnce, job.Key, "accepted %s, state %q, and not finished at the end", job.Accepted.Format(time.TimeOnly), job.State)
		return
	}
	seen := make([]int, len(job.Items))
	for _, result := range job.Readings[len(job.Readings)-1].Results {
		if result.Index < 0 || result.Index >= len(job.Items) || result.Name != job.Items[result.Index].Name {
			c.addViolation(ItemOnce, job.Key, "result %d %q is of no item", result.Index, result.Name)
			continue
		}
		seen[result.Index]++
		c.checkResult(job, job.Items[result.Index], result)
	}
	for index, count := range seen {
		if count != 1 {
			c.addViolation(ItemOnce, job.Items[index].Name, "has %d results", count)
		}
	}
}

// checkResult judges one final result.
func (c *check) checkResult(job ledger.Job, item ledger.Item, result ledger.Result) {
	if result.Outcome == ledger.OutcomeCompleted {
		if expected := c.answer(item.Prompt, item.MaxTokens); result.Text != expected {
			c.addViolation(OwnAnswer, item.Name, "its result is not the answer to its prompt: %s", firstDifference(result.Text, expected))
		}
		return
	}
	if job.Repeatable || (!c.answerLost(item.Name) && !c.lostBeforeAccepted(job, item, result)) {
		c.addViolation(ItemOnce, item.Name, "ended %s (%s), and its engine was not lost", result.Outcome, result.Reason)
	}
}

// answerLost reports whether an engine was lost with the only run of an item, or was lost with the
// answer while the requesting node was also lost or cut off. In these cases an item that may not be
// repeated cannot complete.
func (c *check) answerLost(name string) bool {
	return slices.ContainsFunc(c.evidence.RunsOf(name), func(run ledger.Run) bool {
		return run.End == ledger.RunLost || (c.engineLostAfter(run) && c.nodeDisturbed(run))
	})
}

func (c *check) engineLostAfter(run ledger.Run) bool {
	return slices.ContainsFunc(c.evidence.Disturbances, func(d ledger.Disturbance) bool {
		return d.Lost && d.Engine == run.Engine && d.At.After(run.Accepted)
	})
}

func (c *check) nodeDisturbed(run ledger.Run) bool {
	return slices.ContainsFunc(c.evidence.Disturbances, func(d ledger.Disturbance) bool {
		return run.NodeHost != "" && d.Node == run.NodeHost && d.Until.After(run.Accepted)
	})
}

// lostBeforeAccepted reports whether no engine ever accepted the item, and the engine named in its
// result was lost during the job. The attempt may have arrived at the engine and been lost with it,
// so that nobody can tell that the item did not run.
func (c *check) lostBeforeAccepted(job ledger.Job, item ledger.Item, result ledger.Result) bool {
	if len(c.evidence.RunsOf(item.Name)) > 0 {
		return false
	}
	return slices.ContainsFunc(c.evidence.Disturbances, func(d ledger.Disturbance) bool {
		return d.Lost && d.Engine != "" && strings.Contains(result.Reason, d.Engine) && d.Until.After(job.Submitted)
	})
}

// checkReadings checks that a result, once read, is in every later reading and does not change.
func (c *check) checkReadings(job ledger.Job) {
	earlier := map[int]ledger.Result{}
	for _, reading := range job.Readings {
		now := map[int]ledger.Result{}
		for _, result := range reading.Results {
			if _, twice := now[result.Index]; twice {
				c.addViolation(ItemOnce, job.Key, "item %d has two results in one reading", result.Index)
			}
			now[result.Index] = result
		}
		for index, before := range earlier {
			after, kept := now[index]
			if !kept {
				c.addViolation(ItemOnce, job.Key, "the result of item %d was readable and is gone", index)
			} else if after.Outcome != before.Outcome || after.Text != before.Text {
				c.addViolation(ItemOnce, job.Key, "the result of item %d changed from %s to %s", index, before.Outcome, after.Outcome)
			}
		}
		earlier = now
	}
}

// checkCancelStops checks that no item completes after the answer to the cancel, and that no engine
// works on the job for longer than CancelGrace.
func (c *check) checkCancelStops(job ledger.Job) {
	if job.CancelAnswered.IsZero() {
		return
	}
	completed := -1
	for _, reading := range job.Readings {
		if reading.At.Before(job.CancelAnswered) {
			continue
		}
		count := 0
		for _, result := range reading.Results {
			if result.Outcome == ledger.OutcomeCompleted {
				count++
			}
		}
		if completed >= 0 && count > completed {
			c.addViolation(CancelStops, job.Key, "%d items completed after the cancel was answered", count-completed)
		}
		completed = max(completed, count)
	}
	for _, item := range job.Items {
		for _, run := range c.evidence.RunsOf(item.Name) {
			deadline, bounded := c.cancelDeadline(job, run)
			if bounded && c.endOfRun(run).After(deadline) {
				c.addViolation(CancelStops, item.Name, "%s worked on it until %s after the cancel",
					run.Engine, c.endOfRun(run).Sub(job.CancelAnswered).Round(time.Millisecond))
			}
		}
	}
}

// cancelDeadline returns when a run of a cancelled job must have stopped: CancelGrace after the
// answer to the cancel, or after the end of a fault that kept the run's node or engine from
// learning of the cancel. If the node was lost before that, no other node knows of the run. Such a
// run ends by itself, and the function returns false because only its start is bounded.
func (c *check) cancelDeadline(job ledger.Job, run ledger.Run) (deadline time.Time, bounded bool) {
	deadline = job.CancelAnswered.Add(CancelGrace)
	for _, disturbance := range c.evidence.Disturbances {
		affectsRun := disturbance.Engine == run.Engine || (run.NodeHost != "" && disturbance.Node == run.NodeHost)
		if !affectsRun || disturbance.At.After(deadline) || disturbance.Until.Before(run.Accepted) {
			continue
		}
		if disturbance.Lost && disturbance.Node != "" && !run.Accepted.After(disturbance.Until) {
			return time.Time{}, false
		}
		if end := disturbance.Until.Add(CancelGrace); end.After(deadline) {
			deadline = end
		}
	}
	return deadline, true
}

// checkRunOnce checks that engines accepted an item that may not be repeated under one attempt at
// most.
func (c *check) checkRunOnce(job ledger.Job) {
	if job.Repeatable {
		return
	}
	for _, item := range job.Items {
		attempts := map[string]bool{}
		for _, run := range c.evidence.RunsOf(item.Name) {
			attempts[run.Engine+"/"+run.Attempt] = true
		}
		if len(attempts) > 1 {
			c.addViolation(RunOnce, item.Name, "was taken %d times", len(attempts))
		}
	}
}

// checkEditInForce checks that every node shows an accepted edit within EditBound, and that no node
// shows an older revision of a row after a newer one.
func (c *check) checkEditInForce() {
	type nodeRow struct {
		node int
		row  string
	}
	sightings := map[nodeRow][]ledger.Sighting{}
	for _, sighting := range c.evidence.Sightings {
		at := nodeRow{sighting.Node, sighting.Row}
		sightings[at] = append(sightings[at], sighting)
	}
	for at, seen := range sightings {
		slices.SortStableFunc(seen, func(a, b ledger.Sighting) int { return a.At.Compare(b.At) })
		highest := uint64(0)
		for _, sighting := range seen {
			if sighting.Revision < highest {
				c.addViolation(EditInForce, at.row, "node %d went back from revision %d to %d", at.node, highest, sighting.Revision)
			}
			highest = max(highest, sighting.Revision)
		}
	}
	for _, edit := range c.evidence.Edits {
		for node := range c.evidence.Nodes {
			if c.downAt(node, edit.Accepted) {
				continue
			}
			delay, seen := InForce(edit, node, c.evidence.Sightings)
			if !seen || delay > EditBound {
				c.addViolation(EditInForce, edit.Row, "revision %d not in force on node %d within %s (seen: %v, after %s)",
					edit.Revision, node, EditBound, seen, delay.Round(time.Millisecond))
			}
		}
	}
}

// downAt reports whether a node was stopped at a time, or within EditBound after it.
func (c *check) downAt(node int, at time.Time) bool {
	return slices.ContainsFunc(c.evidence.Stops, func(stop ledger.NodeStop) bool {
		return stop.Node == node && stop.At.Before(at.Add(EditBound)) && (stop.Ready.IsZero() || stop.Ready.After(at))
	})
}

// InForce returns the time from the acceptance of an edit until a node showed it. It returns false
// if the node never showed it.
func InForce(edit ledger.Edit, node int, sightings []ledger.Sighting) (time.Duration, bool) {
	first, seen := time.Duration(0), false
	for _, sighting := range sightings {
		if sighting.Node != node || sighting.Row != edit.Row || sighting.Revision < edit.Revision {
			continue
		}
		if delay := max(0, sighting.At.Sub(edit.Accepted)); !seen || delay < first {
			first, seen = delay, true
		}
	}
	return first, seen
}
