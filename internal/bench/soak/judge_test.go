package soak

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"ringstream.example/ringstream/platform/platformtest"
)

const testEvents = 3

func wholeAnswer(id string) platformtest.Reply {
	return platformtest.Reply{Status: 200, Body: platformtest.Stream(id, testEvents), Sent: true}
}

func run(engine, id string, began time.Time) engineRun {
	return engineRun{engine: engine, run: platformtest.Run{ID: id, Began: began}}
}

func succeeded(j *judge, id string) platformtest.Result {
	return platformtest.Result{ID: id, State: platformtest.StateSucceeded, Text: j.expectedText(id)}
}

// TestJudgeSeesEachPlantedBreach plants one violation per case, and checks that the judge reports
// only the promise concerned. Cases without a violation must report none.
func TestJudgeSeesEachPlantedBreach(t *testing.T) {
	now := time.Now()
	later := now.Add(10 * time.Second)
	cases := map[string]struct {
		promise string
		plant   func(j *judge) []engineRun
	}{
		"clean": {"", func(j *judge) []engineRun {
			j.addAnswer(requestRecord{id: "r-1", route: routeUnsafe, reply: wholeAnswer("r-1")})
			j.addAnswer(requestRecord{id: "r-2", route: routeOnce, reply: platformtest.Reply{Status: 503, Sent: true}})
			j.addAnswer(requestRecord{id: "r-3", route: routeSafe, reply: wholeAnswer("r-3")})
			job := &jobRecord{id: "j-1", items: []string{"i-1"}, accepted: true}
			j.addJob(job)
			j.addResults(job, 0, platformtest.Results{Total: 1, Results: []platformtest.Result{succeeded(j, "i-1")}})
			return []engineRun{run("e1", "r-1", now), run("e1", "r-3", now), run("e2", "r-3", now), run("e1", "i-1", now), run("e2", "i-1", now)}
		}},
		"half an answer": {"whole_answer", func(j *judge) []engineRun {
			j.addAnswer(requestRecord{id: "r-1", route: routeSafe, reply: platformtest.Reply{Status: 200, Body: "id: 1\n", Sent: true}})
			return nil
		}},
		"an answer that breaks off is none": {"", func(j *judge) []engineRun {
			j.addAnswer(requestRecord{id: "r-1", route: routeSafe, reply: platformtest.Reply{Status: 200, Body: "id: 1\n", Sent: true, Err: errors.New("reset")}})
			return nil
		}},
		"another's answer": {"whole_answer", func(j *judge) []engineRun {
			j.addAnswer(requestRecord{id: "r-1", route: routeSafe, reply: wholeAnswer("r-2")})
			return nil
		}},
		"a proper request is denied": {"proper_requests_are_served", func(j *judge) []engineRun {
			j.addAnswer(requestRecord{id: "r-1", route: routeSafe, reply: platformtest.Reply{Status: 404, Sent: true}})
			return nil
		}},
		"twice": {"at_most_once", func(j *judge) []engineRun {
			j.addAnswer(requestRecord{id: "r-1", route: routeUnsafe, reply: wholeAnswer("r-1")})
			return []engineRun{run("e1", "r-1", now), run("e2", "r-1", now)}
		}},
		"refused and run": {"not_run_is_true", func(j *judge) []engineRun {
			j.addAnswer(requestRecord{id: "r-1", route: routeOnce, reply: platformtest.Reply{Status: 503, Sent: true}})
			return []engineRun{run("e1", "r-1", now)}
		}},
		"too many engines": {"attempts_are_bounded", func(j *judge) []engineRun {
			j.addAnswer(requestRecord{id: "r-1", route: routeSafe, reply: wholeAnswer("r-1")})
			return []engineRun{run("e1", "r-1", now), run("e2", "r-1", now), run("e3", "r-1", now)}
		}},
		"nobody asked": {"nothing_runs_unasked", func(*judge) []engineRun { return []engineRun{run("e1", "r-9", now)} }},
		"a stop cut what an engine had": {"planned_stop_cuts_nothing", func(j *judge) []engineRun {
			j.addAnswer(requestRecord{id: "r-1", route: routeUnsafe, reply: platformtest.Reply{Sent: true, Err: errors.New("reset")}})
			j.addCut("r-1", false, "")
			return []engineRun{run("e1", "r-1", now)}
		}},
		"a stop cut what nobody had read": {"", func(j *judge) []engineRun {
			j.addAnswer(requestRecord{id: "r-1", route: routeUnsafe, reply: platformtest.Reply{Sent: true, Err: errors.New("reset")}})
			j.addCut("r-1", false, "")
			return nil
		}},
		"a stop cut late": {"planned_stop_cuts_nothing", func(j *judge) []engineRun { j.addCut("r-1", true, ""); return nil }},
		"a refused job runs": {"not_run_is_true", func(j *judge) []engineRun {
			j.addJob(&jobRecord{id: "j-1", items: []string{"i-1"}, refused: true})
			return []engineRun{run("e1", "i-1", now)}
		}},
		"an ended job runs on": {"ended_jobs_stop", func(j *judge) []engineRun {
			j.addJob(&jobRecord{id: "j-1", items: []string{"i-1"}, accepted: true, ended: now})
			return []engineRun{run("e1", "i-1", later)}
		}},
		"a taken job is forgotten": {"taken_jobs_are_done", func(j *judge) []engineRun {
			j.addJob(&jobRecord{id: "j-1", items: []string{"i-1"}, accepted: true})
			return nil
		}},
		"a result changes": {"results_do_not_change", func(j *judge) []engineRun {
			job := &jobRecord{id: "j-1", items: []string{"i-1"}, accepted: true}
			j.addJob(job)
			j.addResults(job, 0, platformtest.Results{Total: 1, Results: []platformtest.Result{{ID: "i-1", State: platformtest.StateDeadLetter}}})
			j.addResults(job, 0, platformtest.Results{Total: 1, Results: []platformtest.Result{succeeded(j, "i-1")}})
			return nil
		}},
		"listed twice": {"listed_once", func(j *judge) []engineRun {
			job := &jobRecord{id: "j-1", items: []string{"i-1", "i-2"}, accepted: true, ended: now}
			j.addJob(job)
			j.addResults(job, 0, platformtest.Results{Total: 2, Results: []platformtest.Result{succeeded(j, "i-1"), succeeded(j, "i-1")}})
			return nil
		}},
		"another job's item": {"own_items_only", func(j *judge) []engineRun {
			job := &jobRecord{id: "j-1", items: []string{"i-1"}, accepted: true, ended: now}
			j.addJob(job)
			j.addResults(job, 0, platformtest.Results{Total: 1, Results: []platformtest.Result{succeeded(j, "i-7")}})
			return nil
		}},
		"half a text": {"whole_text", func(j *judge) []engineRun {
			job := &jobRecord{id: "j-1", items: []string{"i-1"}, accepted: true}
			j.addJob(job)
			j.addResults(job, 0, platformtest.Results{Total: 1, Results: []platformtest.Result{{ID: "i-1", State: platformtest.StateSucceeded, Text: "i-1:1"}}})
			return nil
		}},
		"a wrong total": {"total_is_right", func(j *judge) []engineRun {
			job := &jobRecord{id: "j-1", items: []string{"i-1"}, accepted: true}
			j.addJob(job)
			j.addResults(job, 0, platformtest.Results{Total: 2, Results: []platformtest.Result{succeeded(j, "i-1")}})
			return nil
		}},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			judge := newJudge(testEvents)
			judge.conclude(test.plant(judge))
			if test.promise == "" && len(judge.violations) > 0 {
				t.Errorf("violations %+v, want none", judge.violations)
			}
			if test.promise != "" && (len(judge.violations) != 1 || judge.violations[0].Promise != test.promise) {
				t.Errorf("violations %+v, want only one of %s", judge.violations, test.promise)
			}
		})
	}
}

// One promise with 199 violations left no space in the report for three of four other promises.
func TestEachPromiseSeenBrokenIsKept(t *testing.T) {
	judge := newJudge(testEvents)
	for range 5 * maxViolationsKept {
		judge.recordViolation("often", "n1", "")
	}
	judge.recordViolation("once", "n1", "")
	if last := judge.violations[len(judge.violations)-1]; last.Promise != "once" || len(judge.violations) != maxViolationsKept+1 {
		t.Errorf("%d violations kept, the last one is %+v", len(judge.violations), last)
	}
	if judge.violationCounts["often"] != 5*maxViolationsKept || judge.violationCounts["once"] != 1 {
		t.Errorf("violation counts are %v", judge.violationCounts)
	}
}

func versionedStream(id string, after int, versions ...string) string {
	var body strings.Builder
	for i, version := range versions {
		fmt.Fprintf(&body, ":software %s\nid: %d\ndata: %s:%d\n\n", version, after+i+1, id, after+i+1)
	}
	return body.String()
}

// TestJudgeSeesStreamsOverSeveralVersions plants streams in one answer, over a caller's attempts, and in
// the runs of an item.
func TestJudgeSeesStreamsOverSeveralVersions(t *testing.T) {
	now := time.Now()
	itemRun := func(software, lastEvent string, after time.Duration) engineRun {
		return engineRun{engine: "e", software: software, run: platformtest.Run{ID: "i-1", LastEvent: lastEvent, Began: now.Add(after)}}
	}
	takenUp := func(j *judge, current bool, first, second string) {
		stream := resumableStream{id: "r-1", route: routeHandover, current: current}
		stream.takes(platformtest.Reply{Status: 200, Body: versionedStream("r-1", 0, first), Err: errors.New("reset")})
		stream.takes(platformtest.Reply{Status: 200, Body: versionedStream("r-2", 1, second, second)})
		j.addStream(stream, true)
	}
	for name, test := range map[string]struct {
		broken bool
		plant  func(j *judge)
	}{
		"one answer": {false, func(j *judge) {
			j.addAnswer(requestRecord{id: "r-1", route: routeSafe, reply: platformtest.Reply{Status: 200, Body: versionedStream("r-1", 0, "v1", "v1", "v1")}})
		}},
		"two in an answer": {true, func(j *judge) {
			j.addAnswer(requestRecord{id: "r-1", route: routeSafe, reply: platformtest.Reply{Status: 200, Body: versionedStream("r-1", 0, "v1", "v2", "v2")}})
		}},
		"the rest of a stream": {false, func(j *judge) {
			j.addAnswer(requestRecord{id: "r-1", route: routeHandover, after: 1, reply: platformtest.Reply{Status: 200, Body: versionedStream("r-1", 1, "v2", "v2")}})
		}},
		"attempts":            {false, func(j *judge) { takenUp(j, true, "v2", "v2") }},
		"two over attempts":   {true, func(j *judge) { takenUp(j, true, "v1", "v2") }},
		"at an earlier build": {false, func(j *judge) { takenUp(j, false, "v1", "v2") }},
		"an item": {false, func(j *judge) {
			j.concludeItemVersions("i-1", []engineRun{itemRun("v1", "2", 2), itemRun("v1", "", 1)})
		}},
		"an item starts anew": {false, func(j *judge) { j.concludeItemVersions("i-1", []engineRun{itemRun("v1", "", 1), itemRun("v2", "", 2)}) }},
		"an item over two": {true, func(j *judge) {
			j.concludeItemVersions("i-1", []engineRun{itemRun("v1", "", 1), itemRun("v2", "3", 2)})
		}},
	} {
		j := newJudge(testEvents)
		test.plant(j)
		if found := j.violationCounts["streams_keep_their_version"] > 0; found != test.broken || len(j.violationCounts) > 1 {
			t.Errorf("%s: violations %v", name, j.violationCounts)
		}
	}
}

// TestJudgeSeesThatTooFewStreamsGoOn plants shares of streams that go on and of new ones that begin.
func TestJudgeSeesThatTooFewStreamsGoOn(t *testing.T) {
	for name, test := range map[string]struct {
		takenUp, goneOn, fresh, begun int
		broken                        bool
	}{
		"half of the new ones": {20, 9, 20, 18, false},
		"under half":           {20, 8, 20, 18, true},
		"few, as new ones":     {20, 3, 20, 5, false},
		"too few to be judged": {11, 0, 20, 20, false},
		"none was taken up":    {0, 0, 20, 20, false},
	} {
		j := newJudge(testEvents)
		j.streams.InTouch, j.streams.InTouchGoneOn, j.streams.FreshInTouch, j.streams.FreshBegun = test.takenUp, test.goneOn, test.fresh, test.begun
		j.concludeStreams()
		if found := j.violationCounts["streams_go_on"] > 0; found != test.broken {
			t.Errorf("%s: violations %v", name, j.violationCounts)
		}
	}
}

// TestJudgeSeesRequestsWithADeadlyPart plants runs of requests with a part that ends engines, and replies
// to requests beside them.
func TestJudgeSeesRequestsWithADeadlyPart(t *testing.T) {
	now := time.Now()
	const bound = deadlyAgreementTime
	for name, test := range map[string]struct {
		late        int // requests later than the bound after the fifth engine
		undisturbed bool
		served      int // of 20 sound requests
		want        string
	}{
		"within the bounds":          {3, true, 10, ""},
		"too many late":              {4, true, 10, "parts_end_few_engines"},
		"late at nodes out of touch": {4, false, 10, ""},
		"too few sound ones served":  {0, true, 9, "sound_requests_are_served"},
	} {
		j := newJudge(testEvents)
		j.streams.FreshInTouch, j.streams.FreshBegun = 10, 10
		j.addPart("p")
		var runs []engineRun
		for i := range deadlyPartThreshold + test.late {
			id, at := fmt.Sprint("g", i), now
			if i >= deadlyPartThreshold {
				at = now.Add(bound + time.Second)
			}
			j.addPartReply("p", id, platformtest.Reply{Status: 502}, test.undisturbed)
			runs = append(runs, run(fmt.Sprint("e", i), id, at))
		}
		j.parts["p"].endedAt = now.Add(time.Minute)
		for i := range minJudgedSound {
			j.addSound("p", soundReply{sent: now.Add(2 * bound), served: i < test.served, undisturbed: true})
		}
		j.addSound("p", soundReply{sent: now, undisturbed: true}) // too early to count
		if left := j.concludeParts(append(runs, run("e", "r-1", now))); len(left) != 1 {
			t.Errorf("%s: %d other runs", name, len(left))
		}
		if total := len(j.violationCounts); (test.want == "") != (total == 0) || (test.want != "" && j.violationCounts[test.want] != 1) {
			t.Errorf("%s: violations %v, want %q", name, j.violationCounts, test.want)
		}
	}
}

// TestJudgeSeesThatOneNodeServesTooFew plants shares of requests served with and without concentration.
func TestJudgeSeesThatOneNodeServesTooFew(t *testing.T) {
	for name, test := range map[string]struct {
		during, served int
		broken         bool
	}{
		"three quarters":       {40, 30, false},
		"under three quarters": {40, 29, true},
		"too few to be judged": {39, 0, false},
	} {
		j := newJudge(testEvents)
		j.concentration = ConcentrationReport{Before: 100, BeforeServed: 100, During: test.during, DuringServed: test.served}
		j.concludeConcentration()
		if found := j.violationCounts["one_node_takes_most_connections"] > 0; found != test.broken {
			t.Errorf("%s: violations %v", name, j.violationCounts)
		}
	}
}
