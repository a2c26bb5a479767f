package checker_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"ringstream.example/ringstream/internal/bench/checker"
	"ringstream.example/ringstream/internal/bench/ledger"
)

var start = time.Date(2026, 3, 2, 8, 0, 0, 0, time.UTC)

func at(milliseconds int) time.Time { return start.Add(time.Duration(milliseconds) * time.Millisecond) }

func answer(prompt string, maxTokens int) string { return fmt.Sprintf("%s*%d", prompt, maxTokens) }

// cleanEvidence is the evidence of a short run that keeps every invariant. It has a keyed request
// that is sent twice, a refused request, a job that may run once, a cancelled job, a departed
// engine, a planned stop and an edit.
func cleanEvidence() ledger.Evidence {
	return ledger.Evidence{
		Nodes: 2,
		Ended: at(20000),
		Requests: []ledger.Request{
			{Name: "a", Tenant: "t", Key: "k", Prompt: "pa", MaxTokens: 3, Node: 1, Sent: at(0), Finished: at(900), End: ledger.EndCompleted, Text: "pa*3"},
			{Name: "a", Tenant: "t", Key: "k", Resend: true, Prompt: "pa", MaxTokens: 3, Sent: at(1000), Finished: at(1100), End: ledger.EndCompleted, Text: "pa*3"},
			{Name: "r", Tenant: "t", Prompt: "pr", MaxTokens: 3, Sent: at(0), Finished: at(10), End: ledger.EndRefused},
		},
		Jobs: []ledger.Job{
			{
				Key: "once", ID: "j1", Items: []ledger.Item{{Name: "once-0", Prompt: "p0", MaxTokens: 2}, {Name: "once-1", Prompt: "p1", MaxTokens: 2}},
				Accepted: at(100), ResentIDs: []string{"j1"}, State: "completed",
				Readings: []ledger.Reading{
					{At: at(2000), Results: []ledger.Result{{Index: 0, Name: "once-0", Outcome: "completed", Text: "p0*2"}}},
					{At: at(3000), Final: true, Results: []ledger.Result{
						{Index: 0, Name: "once-0", Outcome: "completed", Text: "p0*2"},
						{Index: 1, Name: "once-1", Outcome: "unknown"},
					}},
				},
			},
			{
				Key: "stopped", ID: "j2", Repeatable: true, Items: []ledger.Item{{Name: "stopped-0", Prompt: "p2", MaxTokens: 2}},
				Accepted: at(100), CancelSent: at(1000), CancelAnswered: at(1100), State: "cancelled",
				Readings: []ledger.Reading{{At: at(1200)}, {At: at(5000), Final: true}},
			},
		},
		Runs: []ledger.Run{
			{Engine: "e1", Attempt: "1", Name: "a", Online: true, Accepted: at(200), Started: at(210), Finished: at(890), End: ledger.RunFinished},
			{Engine: "e1", Attempt: "2", Name: "once-0", Accepted: at(150), Started: at(160), Finished: at(1500), End: ledger.RunFinished},
			{Engine: "e2", Attempt: "3", Name: "once-1", Accepted: at(150), Started: at(160), Finished: at(1500), End: ledger.RunLost},
			{Engine: "e1", Attempt: "4", Name: "stopped-0", Accepted: at(150), Started: at(160), Finished: at(1300), End: ledger.RunCancelled},
		},
		Departures: []ledger.Departure{{Engine: "e1", At: at(500)}},
		Stops:      []ledger.NodeStop{{Node: 1, At: at(500), Ended: at(950), Ready: at(1500), Planned: true}},
		Edits:      []ledger.Edit{{Row: "row", Revision: 7, Accepted: at(8000)}},
		Sightings: []ledger.Sighting{
			{At: at(7000), Node: 0, Row: "row", Revision: 5},
			{At: at(7000), Node: 1, Row: "row", Revision: 5},
			{At: at(8100), Node: 0, Row: "row", Revision: 7},
			{At: at(8200), Node: 1, Row: "row", Revision: 7},
		},
	}
}

func TestSoundRunHasNoViolation(t *testing.T) {
	if found := checker.Check(cleanEvidence(), answer); len(found) > 0 {
		t.Fatalf("violations in clean evidence: %v", found)
	}
}

// allowedChanges holds changes of the clean evidence that look like violations but can result from
// a fault.
var allowedChanges = []struct {
	name  string
	plant func(*ledger.Evidence)
}{
	{"work that a hung engine could not be told to stop", func(e *ledger.Evidence) {
		e.Disturbances = []ledger.Disturbance{{At: at(900), Until: at(6000), Engine: "e1"}}
		e.Runs[3].Finished = at(7900)
	}},
	{"work that a paused node could not stop", func(e *ledger.Evidence) {
		e.Disturbances = []ledger.Disturbance{{At: at(900), Until: at(6000), Node: "n1"}}
		e.Runs[3].NodeHost, e.Runs[3].Finished = "n1", at(7900)
	}},
	{"work that a lost node left on an engine", func(e *ledger.Evidence) {
		e.Disturbances = []ledger.Disturbance{{At: at(900), Until: at(1000), Node: "n1", Lost: true}}
		e.Runs[3].NodeHost, e.Runs[3].Finished = "n1", at(9000)
	}},
	{"online on an engine that stands still", func(e *ledger.Evidence) {
		e.Disturbances = []ledger.Disturbance{{At: at(5), Until: at(550), Engine: "e1"}}
		e.Runs[0].Started = at(600)
	}},
	{"an item whose answer was lost with its engine and its node", func(e *ledger.Evidence) {
		e.Runs[2].End, e.Runs[2].NodeHost = ledger.RunFinished, "n1"
		e.Disturbances = []ledger.Disturbance{
			{At: at(1600), Until: at(1700), Engine: "e2", Lost: true}, {At: at(1400), Until: at(1700), Node: "n1", Lost: true},
		}
	}},
	{"an item that was on its way to an engine that was lost", func(e *ledger.Evidence) {
		e.Runs = append(e.Runs[:2:2], e.Runs[3])
		e.Jobs[0].Readings[1].Results[1].Reason = "engine e2 resume: not_found"
		e.Disturbances = []ledger.Disturbance{{At: at(140), Until: at(900), Engine: "e2", Lost: true}}
	}},
	{"a keyed request whose answer the store could not record", func(e *ledger.Evidence) {
		e.Requests[0].End = ledger.EndUnknown
		e.Disturbances = []ledger.Disturbance{{At: at(400), Until: at(5000), Store: true}}
	}},
	{"a job that was not followed to its end, in a run that was broken off", func(e *ledger.Evidence) {
		e.Interrupted, e.Jobs[0].Readings[1].Final = true, false
	}},
	{"online on an engine that its machine holds up again and again", func(e *ledger.Evidence) {
		e.Standstills = []ledger.Standstill{{From: at(250), Until: at(290), Engine: "e1"}, {From: at(220), Until: at(250), Engine: "e1"}}
		e.Runs[0].Started = at(415)
	}},
	{"a caller that went away from a stopping node", func(e *ledger.Evidence) {
		e.Requests[0].End, e.Requests[0].Abandoned = ledger.EndUnknown, true
	}},
}

func TestWhatAFaultLeavesPossibleIsNoViolation(t *testing.T) {
	for _, excuse := range allowedChanges {
		t.Run(excuse.name, func(t *testing.T) {
			evidence := cleanEvidence()
			excuse.plant(&evidence)
			if found := checker.Check(evidence, answer); len(found) > 0 {
				t.Errorf("violations: %v", found)
			}
		})
	}
}

// plantedViolations holds, for each invariant, changes of the clean evidence that violate this
// invariant and no other.
var plantedViolations = []struct {
	name   string
	breaks checker.Invariant
	plant  func(*ledger.Evidence)
}{
	{"an item without a result", checker.ItemOnce, func(e *ledger.Evidence) {
		e.Jobs[0].Readings[1].Results = e.Jobs[0].Readings[1].Results[:1]
	}},
	{"an item with two results", checker.ItemOnce, func(e *ledger.Evidence) {
		final := &e.Jobs[0].Readings[1]
		final.Results[1] = final.Results[0]
	}},
	{"a result that is gone later", checker.ItemOnce, func(e *ledger.Evidence) {
		e.Jobs[0].Readings = append(e.Jobs[0].Readings, e.Jobs[0].Readings[1], ledger.Reading{At: at(4000), Final: true})
	}},
	{"a result that changes", checker.ItemOnce, func(e *ledger.Evidence) {
		e.Jobs[0].Readings[0].Results[0].Text = "p0*1"
	}},
	{"a job that never ends", checker.ItemOnce, func(e *ledger.Evidence) { e.Jobs[0].Readings[1].Final = false }},
	{"an item without a result, in a run that was broken off later", checker.ItemOnce, func(e *ledger.Evidence) {
		e.Interrupted = true
		e.Jobs[0].Readings[1].Results = e.Jobs[0].Readings[1].Results[:1]
	}},
	{"a job that became two", checker.ItemOnce, func(e *ledger.Evidence) { e.Jobs[0].ResentIDs[0] = "j9" }},
	{"unknown without a lost engine", checker.ItemOnce, func(e *ledger.Evidence) { e.Runs[2].End = ledger.RunFinished }},
	{"unknown though its node had the answer", checker.ItemOnce, func(e *ledger.Evidence) {
		e.Runs[2].End, e.Runs[2].NodeHost = ledger.RunFinished, "n1"
		e.Disturbances = []ledger.Disturbance{{At: at(1600), Until: at(1700), Engine: "e2", Lost: true}}
	}},
	{"unknown though its engine had the answer", checker.ItemOnce, func(e *ledger.Evidence) {
		e.Runs[2].End, e.Runs[2].NodeHost = ledger.RunFinished, "n1"
		e.Disturbances = []ledger.Disturbance{{At: at(1400), Until: at(1700), Node: "n1", Lost: true}}
	}},
	{"unknown on an engine that hung and was not lost", checker.ItemOnce, func(e *ledger.Evidence) {
		e.Runs = append(e.Runs[:2:2], e.Runs[3])
		e.Jobs[0].Readings[1].Results[1].Reason = "engine e2 resume: not_found"
		e.Disturbances = []ledger.Disturbance{{At: at(140), Until: at(900), Engine: "e2"}}
	}},
	{"unknown while another engine was lost", checker.ItemOnce, func(e *ledger.Evidence) {
		e.Runs = append(e.Runs[:2:2], e.Runs[3])
		e.Jobs[0].Readings[1].Results[1].Reason = "engine e2 resume: not_found"
		e.Disturbances = []ledger.Disturbance{{At: at(140), Until: at(900), Engine: "e3", Lost: true}}
	}},
	{"work after a cancel", checker.CancelStops, func(e *ledger.Evidence) { e.Runs[3].Finished = at(3200) }},
	{"open work after a cancel", checker.CancelStops, func(e *ledger.Evidence) { e.Runs[3].Finished = time.Time{} }},
	{"a completion after a cancel", checker.CancelStops, func(e *ledger.Evidence) {
		e.Jobs[1].Readings[1].Results = []ledger.Result{{Index: 0, Name: "stopped-0", Outcome: "completed", Text: "p2*2"}}
	}},
	{"online waits behind batch", checker.OnlineFirst, func(e *ledger.Evidence) { e.Runs[0].Started = at(600) }},
	{"batch is started before online that waits", checker.OnlineFirst, func(e *ledger.Evidence) {
		e.Runs[1].Accepted, e.Runs[1].Started = at(203), at(205)
	}},
	{"online waits behind batch besides short standstills", checker.OnlineFirst, func(e *ledger.Evidence) {
		e.Standstills = []ledger.Standstill{{From: at(300), Until: at(340), Engine: "e1"}, {From: at(30), Until: at(60), Engine: "e1"}}
		e.Runs[0].Started = at(420)
	}},
	{"online refused beside batch", checker.OnlineFirst, func(e *ledger.Evidence) {
		e.Refusals = []ledger.EngineRefusal{{At: at(300), Engine: "e1", Name: "a", Online: true, Code: "saturated", RunningBatch: 2}}
	}},
	{"another request's answer", checker.OwnAnswer, func(e *ledger.Evidence) {
		e.Requests[0].Text, e.Requests[1].Text = "pr*3", "pr*3"
	}},
	{"a cut answer", checker.OwnAnswer, func(e *ledger.Evidence) {
		e.Requests[0].Text, e.Requests[1].Text = "pa", "pa"
	}},
	{"a wrong result", checker.OwnAnswer, func(e *ledger.Evidence) {
		for i := range e.Jobs[0].Readings {
			e.Jobs[0].Readings[i].Results[0].Text = "p1*2"
		}
	}},
	{"refused and run", checker.NotRunTrue, func(e *ledger.Evidence) {
		e.Runs = append(e.Runs, ledger.Run{Engine: "e2", Name: "r", Online: true, Accepted: at(5), Started: at(6), Finished: at(7)})
	}},
	{"refused and run at the other site", checker.NotRunTrue, func(e *ledger.Evidence) { e.OtherSiteRuns = []string{"r"} }},
	{"an item run twice", checker.RunOnce, func(e *ledger.Evidence) {
		again := e.Runs[1]
		again.Engine, again.Attempt = "e2", "9"
		e.Runs = append(e.Runs, again)
	}},
	{"new work on a leaving engine", checker.LeavingGetsNone, func(e *ledger.Evidence) {
		late := e.Runs[0]
		late.Accepted, late.Started, late.Finished = at(2600), at(2601), at(2700)
		e.Runs = append(e.Runs, late)
	}},
	{"new work sent to a leaving engine that refuses it", checker.LeavingGetsNone, func(e *ledger.Evidence) {
		e.Refusals = []ledger.EngineRefusal{{At: at(2600), Engine: "e1", Name: "once-0", Code: "leaving"}}
	}},
	{"work after a cancel that a hung engine heard late", checker.CancelStops, func(e *ledger.Evidence) {
		e.Disturbances = []ledger.Disturbance{{At: at(900), Until: at(6000), Engine: "e1"}}
		e.Runs[3].Finished = at(8100)
	}},
	{"work after a cancel on an engine whose steps were held up", checker.CancelStops, func(e *ledger.Evidence) {
		e.Standstills = []ledger.Standstill{{From: at(1900), Until: at(3150), Engine: "e1"}}
		e.Runs[3].Finished = at(3200)
	}},
	{"work after a cancel that a paused node heard late", checker.CancelStops, func(e *ledger.Evidence) {
		e.Disturbances = []ledger.Disturbance{{At: at(900), Until: at(6000), Node: "n1"}}
		e.Runs[3].NodeHost, e.Runs[3].Finished = "n1", at(8100)
	}},
	{"work after a cancel while another node was paused", checker.CancelStops, func(e *ledger.Evidence) {
		e.Disturbances = []ledger.Disturbance{{At: at(900), Until: at(6000), Node: "n1"}}
		e.Runs[3].NodeHost, e.Runs[3].Finished = "n2", at(3200)
	}},
	{"work that began on a new node after a cancel", checker.CancelStops, func(e *ledger.Evidence) {
		e.Disturbances = []ledger.Disturbance{{At: at(900), Until: at(1000), Node: "n1", Lost: true}}
		e.Runs[3].NodeHost, e.Runs[3].Accepted, e.Runs[3].Finished = "n1", at(2000), at(3200)
	}},
	{"online waits behind batch after a standstill", checker.OnlineFirst, func(e *ledger.Evidence) {
		e.Disturbances = []ledger.Disturbance{{At: at(5), Until: at(200), Engine: "e1"}}
		e.Runs[0].Started = at(600)
	}},
	{"a stop that cuts a stream without a key in a store's outage", checker.StopCutsNone, func(e *ledger.Evidence) {
		e.Requests[0].End, e.Requests[0].Key = ledger.EndUnknown, ""
		e.Disturbances = []ledger.Disturbance{{At: at(400), Until: at(5000), Store: true}}
	}},
	{"a stop that cuts a keyed stream after a store's outage", checker.StopCutsNone, func(e *ledger.Evidence) {
		e.Requests[0].End, e.Requests[0].Sent = ledger.EndUnknown, at(300)
		e.Disturbances = []ledger.Disturbance{{At: at(100), Until: at(200), Store: true}}
	}},
	{"a stop that cuts a stream", checker.StopCutsNone, func(e *ledger.Evidence) { e.Requests[0].End = ledger.EndUnknown }},
	{"an edit that one node never shows", checker.EditInForce, func(e *ledger.Evidence) { e.Sightings = e.Sightings[:3] }},
	{"an edit that is late", checker.EditInForce, func(e *ledger.Evidence) { e.Sightings[3].At = at(13100) }},
	{"an edit that reverts", checker.EditInForce, func(e *ledger.Evidence) {
		e.Sightings = append(e.Sightings, ledger.Sighting{At: at(9000), Node: 0, Row: "row", Revision: 5})
	}},
}

func TestPlantedViolationsAreFound(t *testing.T) {
	covered := map[checker.Invariant]bool{}
	for _, plant := range plantedViolations {
		covered[plant.breaks] = true
		t.Run(plant.name, func(t *testing.T) {
			evidence := cleanEvidence()
			plant.plant(&evidence)
			broken := map[checker.Invariant]bool{}
			for _, violation := range checker.Check(evidence, answer) {
				broken[violation.Invariant] = true
			}
			if diff := cmp.Diff(map[checker.Invariant]bool{plant.breaks: true}, broken); diff != "" {
				t.Errorf("invariants broken (-planted +found):\n%s", diff)
			}
		})
	}
	for _, invariant := range checker.Invariants {
		if !covered[invariant] {
			t.Errorf("no planted violation of %s", invariant)
		}
	}
}
