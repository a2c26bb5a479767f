package explain

import (
	"fmt"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// eventLog returns a log with one line per event, each 1 ms later than the one before.
func eventLog(events ...string) string {
	var log strings.Builder
	for i, event := range events {
		fmt.Fprintf(&log, `{"ts":"2026-01-01T00:00:%02d.%03dZ","node":"n1",%s}`+"\n", i/1000, i%1000, event)
	}
	return log.String()
}

func chosen(id string, inFlight int, more string) string {
	return fmt.Sprintf(`"event":8103,"msg":"engine chosen","request":%q,"slots":8,"in_flight":%d,"state":"ready"%s`, id, inFlight, more)
}

func ended(id, outcome, first string) string {
	return fmt.Sprintf(`"event":8102,"msg":"request ended","request":%q,"route":"r","outcome":%q,"objective":"300ms","first_event":%q`, id, outcome, first)
}

// TestSummaryNamesTheCauses checks the counts of a log that has a request for each cause
// of lateness or failure, and one that completes in time.
func TestSummaryNamesTheCauses(t *testing.T) {
	log := eventLog(
		chosen("in-time", 2, ""), ended("in-time", "completed", "80ms"),
		chosen("stale", 7, ""), ended("stale", "completed", "400ms"),
		chosen("full", 8, ""), ended("full", "completed", "400ms"),
		chosen("waited", 7, `,"waited":"250ms"`), ended("waited", "completed", "350ms"),
		chosen("placed", 8, `,"waited":"250ms"`), ended("placed", "completed", "350ms"),
		chosen("alone", 8, `,"chosen_by":"alone","waited":"48ms"`), ended("alone", "completed", "350ms"),
		chosen("long", 1, `,"prefill_tokens":9000`), ended("long", "completed", "350ms"),
		chosen("room", 8, `,"makes_room":true`), ended("room", "completed", "1.2s"),
		chosen("twice", 2, ""), `"event":8104,"request":"twice","outcome":"failed","error":"engine connection: broken: EOF"`, chosen("twice", 1, ""),
		ended("twice", "completed", "900ms"),
		`"event":8110,"request":"refused","reason":"no_engine_has_room"`, ended("refused", "not_run", "0s"),
		chosen("cut", 1, ""), `"event":8104,"request":"cut","outcome":"failed","error":"read tcp 1.2.3.4:5: connection reset by peer"`, ended("cut", "cut", "80ms"),
		ended("unknown", "failed", "0s"),
		chosen("without-end", 1, ""),
		`"event":8302,"job":"j","route":"b","outcome":"accepted"`, `"event":8302,"job":"k","route":"b","outcome":"accepted"`,
		`"event":8321,"job":"j","request":"i","outcome":"whole"`, `"event":8323,"job":"j","request":"i","why":"online work needs its slot","events_kept":57`,
		`"event":8113,"request":"k1","key":"key-01","verdict":"unknown"`, `"event":8113,"request":"k2","key":"key-01","verdict":"unknown"`, `"event":8113,"request":"k3","key":"key-02","verdict":"unsure"`,
		`"event":8114,"request":"over","tenant":"one","per_second":8,"share":1`, ended("over", "not_run", "0s"),
		`"event":8114,"request":"apart","tenant":"one","per_second":8,"share":0.2`, ended("apart", "not_run", "0s"),
	)
	lines, err := Read(strings.NewReader(log))
	if err != nil {
		t.Fatal(err)
	}
	summary := Summarize(lines)
	want := Summary{
		Requests: 14,
		Late: []Row{
			{"r", "chosen alone, no dispatcher answered: queued at a full engine", 1},
			{"r", "granted: engine full, a batch run was stopped", 1},
			{"r", "granted: engine with a slot", 1},
			{"r", "granted: engine with a slot, a long prompt of its own", 1},
			{"r", "granted: queued at a full engine", 1},
			{"r", "granted: waited for a slot", 1},
			{"r", "granted: waited for a slot, then queued at a full engine", 1},
			{"r", "several attempts, the first ended failed", 1},
		},
		LateBy:      []Row{{"", "up to 100ms", 6}, {"", "up to 1s", 2}},
		LateSeconds: []Row{{"", "second 0", 8}},
		Failed: []Row{
			{"r", "not_run, refused: tenant_over_limit", 2},
			{"", "no end in these logs: the node ended, or lines were shed", 1},
			{"r", "cut, last attempt failed: connection reset by peer", 1},
			{"r", "failed, no attempt", 1},
			{"r", "not_run, refused: no_engine_has_room", 1},
		},
		Submissions: []Row{{"b", "accepted", 2}},
		Runs:        []Row{{"", "whole", 1}},
		Preemptions: []Row{{"", "online work needs its slot, with up to 100 events kept", 1}},
		Keys:        []Row{{"", "unknown", 2}, {"", "unsure", 1}},
		Limits:      []Row{{"", "one, 8 a second", 1}, {"", "one, 8 a second, counted by a dispatcher that had a part of the nodes", 1}},
	}
	if diff := cmp.Diff(want, summary); diff != "" {
		t.Error(diff)
	}
	if text := summary.Text(); !strings.Contains(text, "late: 8\n") || !strings.Contains(text, "       2  b            accepted\n") {
		t.Error(text)
	}
}

// TestSummaryOfNothing checks the summary of an empty log.
func TestSummaryOfNothing(t *testing.T) {
	if got := Summarize(nil); got.Requests != 0 || !strings.Contains(got.Text(), "0 requests ended") {
		t.Errorf("got %+v", got)
	}
}
