package faults

import (
	"fmt"
	"slices"
	"time"

	"ringstream.example/ringstream/internal/backend"
	"ringstream.example/ringstream/internal/bench/checker"
	"ringstream.example/ringstream/internal/bench/client"
	"ringstream.example/ringstream/internal/bench/engineledger"
	"ringstream.example/ringstream/internal/bench/ledger"
	"ringstream.example/ringstream/internal/bench/workload"
	"ringstream.example/ringstream/internal/emulator"
	"ringstream.example/ringstream/internal/jobs"
)

// judge collects the records of the cell and checks them.
func (c *cell) judge() Result {
	evidence := c.records.Evidence()
	evidence.Nodes = c.fleet.Nodes()
	c.rereadResults(&evidence)
	addEngineRecords(&evidence, c.allPrompts(), c.fleet.platform)
	c.mutex.Lock()
	result := Result{
		Cell: c.Cell, Reached: len(c.pending) == 0, ReachedAt: c.reachedAt, Failures: c.failures,
		VirtualSeconds: time.Since(c.started).Seconds(),
	}
	c.mutex.Unlock()
	result.Violations = checker.Check(evidence, answer)
	result.Violations = append(result.Violations, checkOneJobPerKey(evidence)...)
	result.Violations = append(result.Violations, checkLastRevision(evidence)...)
	result.addTotals(evidence)
	return result
}

// rereadResults reads the results of every accepted job once more at the end. They must not have
// changed.
func (c *cell) rereadResults(evidence *ledger.Evidence) {
	callers := client.NewWithDial(c.fleet, model, &c.records, c.fleet.network.Host(callersHost).DialContext)
	defer callers.Close()
	for i := range evidence.Jobs {
		job := &evidence.Jobs[i]
		if job.ID == "" {
			continue
		}
		// A client may have no final reading if the job ended during an outage. This reading takes
		// place after all faults have ended.
		final := job.State == string(jobs.StateCompleted) || (len(job.Readings) > 0 && job.Readings[len(job.Readings)-1].Final)
		results, err := callers.Results(c.ctx, i%c.fleet.Nodes(), job.Tenant, job.ID)
		c.recordFailure("read results of "+job.Key, err)
		if err == nil {
			job.Readings = append(job.Readings, ledger.Reading{At: time.Now(), Final: final, Results: results})
		}
	}
}

func answer(prompt string, maxTokens int) string {
	return emulator.ExpectedText(model, prompt, maxTokens)
}

// checkOneJobPerKey checks that every submission with the same key was answered with the same job.
func checkOneJobPerKey(evidence ledger.Evidence) []checker.Violation {
	var found []checker.Violation
	byKey := map[string]string{}
	for _, job := range evidence.Jobs {
		if job.ID == "" {
			continue
		}
		if first, seen := byKey[job.Key]; seen && first != job.ID {
			found = append(found, checker.Violation{Invariant: checker.ItemOnce, Subject: job.Key, Detail: "became jobs " + first + " and " + job.ID})
		}
		byKey[job.Key] = job.ID
	}
	return found
}

// checkLastRevision checks that in the end all nodes show the newest revision of the row.
func checkLastRevision(evidence ledger.Evidence) []checker.Violation {
	newest, shown := uint64(0), map[int]uint64{}
	for _, sighting := range evidence.Sightings {
		if sighting.Row == rowBatch {
			newest = max(newest, sighting.Revision)
			shown[sighting.Node] = max(shown[sighting.Node], sighting.Revision)
		}
	}
	for _, edit := range evidence.Edits {
		newest = max(newest, edit.Revision)
	}
	var found []checker.Violation
	for node := range evidence.Nodes {
		if shown[node] != newest {
			found = append(found, checker.Violation{Invariant: checker.EditInForce, Subject: rowBatch, Detail: describeStale(node, shown[node], newest)})
		}
	}
	return found
}

// addTotals computes the totals.
func (r *Result) addTotals(evidence ledger.Evidence) {
	for _, request := range evidence.Requests {
		r.Requests++
		if request.End == ledger.EndCompleted {
			r.Completed++
		}
	}
	for _, job := range evidence.Jobs {
		if job.Accepted.IsZero() || !job.CancelSent.IsZero() {
			continue
		}
		r.Items += len(job.Items)
		if len(job.Readings) == 0 {
			continue
		}
		for _, result := range job.Readings[len(job.Readings)-1].Results {
			if result.Outcome == ledger.OutcomeCompleted {
				r.ItemsCompleted++
			}
		}
	}
}

// allPrompts returns the request or item name for the hash of each prompt.
func (c *cell) allPrompts() map[uint64]string {
	return engineledger.PromptNames(model, c.plan, leavingPlan(c.Seed))
}

// addEngineRecords adds the records of the engines.
func addEngineRecords(into *ledger.Evidence, names map[uint64]string, platform *emulator.Fleet) {
	for _, entry := range platform.Ledger() {
		online := entry.Priority == backend.PriorityOnline
		name := names[entry.PromptHash]
		if entry.Refused != "" {
			into.Refusals = append(into.Refusals, ledger.EngineRefusal{
				At: entry.OfferedAt, Engine: entry.Engine, Name: name, Online: online, Code: entry.Refused,
				RunningBatch: entry.BatchRunning, Queued: entry.Queued,
			})
			continue
		}
		into.Runs = append(into.Runs, ledger.Run{
			Engine: entry.Engine, Attempt: entry.Attempt, Name: name, Online: online, KeptTokens: entry.Kept,
			Accepted: entry.OfferedAt, Started: entry.StartedAt, Finished: entry.EndedAt, End: engineledger.RunEnd(entry.End), Tokens: entry.Tokens,
			NodeHost: entry.From,
		})
	}
	into.Ended = time.Now()
	into.Index()
}

func sortRequests(requests []workload.Request) {
	slices.SortStableFunc(requests, func(a, b workload.Request) int { return int(a.At - b.At) })
}

func describeStale(node int, shown, newest uint64) string {
	return fmt.Sprintf("node %d shows revision %d at the end, the newest is %d", node, shown, newest)
}
