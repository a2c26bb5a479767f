package soak

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// lineOf makes a line of a node's log, so long after its start.
func lineOf(event int, after time.Duration, engine string) string {
	at := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC).Add(after).Format(time.RFC3339Nano)
	return fmt.Sprintf(`{"ts":%q,"node":"n0","request":"r-1","engine":%q,"event":%d}`, at, engine, event)
}

func TestJudgeOfChoicesOfIncarnations(t *testing.T) {
	const starting, entry, chosen = 8207, 8020, 8103
	for name, test := range map[string]struct {
		log            []string
		chosen, former int
	}{
		"the former after the next one's entry": {[]string{lineOf(entry, 0, "e1@10"), lineOf(entry, time.Second, "e1@20"), lineOf(chosen, 2*time.Second, "e1@10")}, 1, 1},
		"the next":                              {[]string{lineOf(entry, 0, "e1@10"), lineOf(entry, time.Second, "e1@20"), lineOf(chosen, 2*time.Second, "e1@20")}, 1, 0},
		"the former as the entry comes":         {[]string{lineOf(entry, 0, "e1@20"), lineOf(chosen, choiceSlack, "e1@10")}, 1, 0},
		"before any entry of the next":          {[]string{lineOf(entry, 0, "e1@10"), lineOf(chosen, time.Second, "e1@10")}, 1, 0},
		"another engine":                        {[]string{lineOf(entry, 0, "e1@20"), lineOf(chosen, time.Second, "e2@10")}, 1, 0},
		"an older entry that comes late":        {[]string{lineOf(entry, 0, "e1@20"), lineOf(entry, time.Second, "e1@10"), lineOf(chosen, 2*time.Second, "e1@10")}, 1, 1},
		"in the process's next life":            {[]string{lineOf(entry, 0, "e1@20"), lineOf(starting, time.Second, ""), lineOf(chosen, 2*time.Second, "e1@10")}, 1, 0},
		"a line that is none":                   {[]string{lineOf(entry, 0, "e1@20"), "panic", lineOf(chosen, time.Second, "e1@10")}, 1, 1},
		"a start that is not told":              {[]string{lineOf(entry, 0, "e1"), lineOf(chosen, time.Second, "e1")}, 1, 0},
	} {
		t.Run(name, func(t *testing.T) {
			judge := newJudge(testEvents)
			if err := judge.judgeChoices(strings.NewReader(strings.Join(test.log, "\n") + "\n" + `{"event":81`)); err != nil {
				t.Fatal(err)
			}
			report := judge.restartsReport
			if report.Chosen != test.chosen || report.Former != test.former || judge.broken["former_incarnations_get_nothing"] != test.former {
				t.Errorf("got %+v, broken %v", report, judge.broken)
			}
		})
	}
}

// The wait was taken from the first request that the new process ran, which may come by the former
// one's entry since both listen at one address: a median of 0 in each report.
func TestWaitsOfNewIncarnationsEndWithTheirChoice(t *testing.T) {
	const chosen = 8103
	judge := newJudge(testEvents)
	listed := time.Date(2026, 1, 1, 0, 0, 1, 0, time.UTC)
	for _, engine := range []string{"e1@20", "e2@20", "e3@20"} {
		judge.restarts = append(judge.restarts, restart{incarnation: engine, listed: listed})
	}
	log := []string{
		lineOf(chosen, 0, "e1@10"),
		lineOf(chosen, 1300*time.Millisecond, "e1@20"), lineOf(chosen, 1200*time.Millisecond, "e1@20"),
		lineOf(chosen, 1100*time.Millisecond, "e2@20"),
	}
	if err := judge.judgeChoices(strings.NewReader(strings.Join(log, "\n") + "\n")); err != nil {
		t.Fatal(err)
	}
	judge.sumWaits()
	if report := judge.restartsReport; report.Used != 2 || report.MedianWait != 200*time.Millisecond {
		t.Errorf("got %+v", report)
	}
}
