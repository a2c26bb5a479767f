package soak

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"ringstream.example/ringstream/platform/platformtest"
)

// signedStream returns events of a stream; each is written as NUMBER/WRITER.
func signedStream(id string, events ...string) string {
	var body strings.Builder
	for _, event := range events {
		number, writer, _ := strings.Cut(event, "/")
		fmt.Fprintf(&body, "id: %s\ndata: %s:%s by %s\n\n", number, id, number, writer)
	}
	return body.String()
}

// signedText returns an item's text of such events.
func signedText(id string, events ...string) string {
	var lines []string
	for _, event := range events {
		number, writer, _ := strings.Cut(event, "/")
		lines = append(lines, fmt.Sprintf("%s:%s by %s", id, number, writer))
	}
	return strings.Join(lines, "\n")
}

func signedRun(id, writer, lastEvent string, began time.Time, wrote int) engineRun {
	return engineRun{engine: "e1", run: platformtest.Run{ID: id, Writer: writer, LastEvent: lastEvent, Began: began, Wrote: wrote}}
}

// TestJudgeSeesWhichRunsWroteAnAnswer guards against answers that are joined from several runs, out of order, or
// of another process' engine.
func TestJudgeSeesWhichRunsWroteAnAnswer(t *testing.T) {
	now := time.Now()
	reset := errors.New("reset")
	first, second := signedRun("r-1", "a", "", now, 2), signedRun("r-1", "b", "2", now.Add(1), 3)
	anew := signedRun("r-1", "c", "", now.Add(1), 3)
	for name, test := range map[string]struct {
		promise string
		after   int
		seal    string
		err     error
		events  []string
		runs    []engineRun
	}{
		"one run":                            {"", 0, "e1", nil, []string{"1/c", "2/c", "3/c"}, []engineRun{anew}},
		"its continuation":                   {"", 0, "e1", nil, []string{"1/a", "2/a", "3/b"}, []engineRun{first, second}},
		"a stream that is taken up":          {"", 2, "e1", nil, []string{"3/b"}, []engineRun{second}},
		"broken off in order":                {"", 0, "e1", reset, []string{"1/a", "2/a"}, []engineRun{first}},
		"joined with a run that began anew":  {"texts_are_of_one_run", 0, "e1", nil, []string{"1/a", "2/a", "3/c"}, []engineRun{first, anew}},
		"taken up with a run from the start": {"texts_are_of_one_run", 2, "e1", nil, []string{"3/c"}, []engineRun{anew}},
		"back to a former run":               {"texts_are_of_one_run", 0, "e1", reset, []string{"1/c", "2/a"}, []engineRun{first, anew}},
		"a gap in a broken stream":           {"events_come_in_order", 0, "e1", reset, []string{"1/a", "3/a"}, []engineRun{first}},
		"a repeat in a broken stream":        {"events_come_in_order", 0, "e1", reset, []string{"1/a", "1/a"}, []engineRun{first}},
		"a repeat over attempts":             {"events_come_in_order", 2, "e1", reset, []string{"2/b"}, []engineRun{second}},
		"events of another process":          {"answers_are_of_own_engines", 0, "e1", nil, []string{"1/x", "2/x", "3/x"}, []engineRun{first}},
		"the seal of another engine":         {"answers_are_of_own_engines", 0, "e9", nil, []string{"1/c", "2/c", "3/c"}, []engineRun{anew}},
	} {
		j := newJudge(testEvents)
		reply := platformtest.Reply{Status: 200, Sent: true, Seal: platformtest.Seal(test.seal), Body: signedStream("r-1", test.events...), Err: test.err}
		j.addAnswer(requestRecord{id: "r-1", route: routeResumable, reply: reply, after: test.after})
		j.concludeWriters(test.runs)
		j.conclude(test.runs)
		if (test.promise == "") != (len(j.violations) == 0) || (test.promise != "" && (len(j.violations) != 1 || j.violations[0].Promise != test.promise)) {
			t.Errorf("%s: violations %+v, want one of %q", name, j.violations, test.promise)
		}
	}
}

// TestJudgeSeesWhichRunsWroteAText guards against listed texts that are joined from several runs, and runs that
// go on after an event that no run has written.
func TestJudgeSeesWhichRunsWroteAText(t *testing.T) {
	now := time.Now()
	first, second := signedRun("i-1", "a", "", now, 2), signedRun("i-1", "b", "2", now.Add(1), 3)
	anew := signedRun("i-1", "c", "", now.Add(1), 3)
	for name, test := range map[string]struct {
		promises []string
		events   []string
		runs     []engineRun
	}{
		"one run":                     {nil, []string{"1/c", "2/c", "3/c"}, []engineRun{first, anew}},
		"its continuation":            {nil, []string{"1/a", "2/a", "3/b"}, []engineRun{first, second}},
		"joined":                      {[]string{"texts_are_of_one_run"}, []string{"1/a", "2/c", "3/c"}, []engineRun{first, anew}},
		"two owners' rows interleave": {[]string{"texts_are_of_one_run"}, []string{"1/c", "2/c", "3/b"}, []engineRun{anew, first, signedRun("i-1", "b", "1", now.Add(2), 3)}},
		"an event is missing":         {[]string{"whole_text", "events_come_in_order"}, []string{"1/c", "3/c"}, []engineRun{anew}},
		"another process":             {[]string{"answers_are_of_own_engines"}, []string{"1/x", "2/x", "3/x"}, []engineRun{anew}},
		"goes on after an event that was not written": {[]string{"items_go_on_after_what_was_written"}, []string{"1/c", "2/c", "3/c"}, []engineRun{signedRun("i-1", "d", "2", now, 0), anew}},
	} {
		j := newJudge(testEvents)
		job := &jobRecord{id: "j-1", items: []string{"i-1"}, accepted: true}
		j.addJob(job)
		j.addResults(job, 0, platformtest.Results{Total: 1, Results: []platformtest.Result{{ID: "i-1", State: platformtest.StateSucceeded, Text: signedText("i-1", test.events...)}}})
		j.concludeWriters(test.runs)
		j.conclude(test.runs)
		var seen []string
		for _, violation := range j.violations {
			seen = append(seen, violation.Promise)
		}
		if fmt.Sprint(seen) != fmt.Sprint(test.promises) {
			t.Errorf("%s: violations %+v, want %v", name, j.violations, test.promises)
		}
	}
}

// TestTextOfAnItemThatEndedEnginesIsJudged guards against an accusation of a text whose runs are judged apart from
// others, and against a judge that has no place for its reads.
func TestTextOfAnItemThatEndedEnginesIsJudged(t *testing.T) {
	j := newJudge(testEvents)
	job := &jobRecord{id: "j-1", items: []string{"d-1"}, accepted: true}
	job.begin()
	j.spare(deadlyBodyPrefix+"b-1", job)
	j.recordRead(job, resultRead{node: "n1", life: 1, status: 200, resultCount: 1})
	j.addResults(job, 0, platformtest.Results{Total: 1, Results: []platformtest.Result{{ID: "d-1", State: platformtest.StateSucceeded, Text: signedText("d-1", "1/a", "2/a", "3/a")}}})
	run := signedRun("d-1", "a", "", time.Now(), 3)
	run.run.Body = deadlyBodyPrefix + "b-1"
	j.concludeWriters([]engineRun{run})
	if len(j.violations) > 0 {
		t.Errorf("violations %+v", j.violations)
	}
}
