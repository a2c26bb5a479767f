package soak

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// logLineAt returns a line of a node's log that was written at the given time after the start.
func logLineAt(event int, after time.Duration, engine string) string {
	at := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC).Add(after).Format(time.RFC3339Nano)
	return fmt.Sprintf(`{"ts":%q,"node":"n0","request":"r-1","engine":%q,"event":%d}`, at, engine, event)
}

func TestJudgeOfChoicesOfIncarnations(t *testing.T) {
	const starting, entry, chosen = 8207, 8020, 8103
	for name, test := range map[string]struct {
		log            []string
		chosen, former int
	}{
		"the former after the next one's entry": {[]string{logLineAt(entry, 0, "e1@10"), logLineAt(entry, time.Second, "e1@20"), logLineAt(chosen, 2*time.Second, "e1@10")}, 1, 1},
		"the next":                              {[]string{logLineAt(entry, 0, "e1@10"), logLineAt(entry, time.Second, "e1@20"), logLineAt(chosen, 2*time.Second, "e1@20")}, 1, 0},
		"the former as the entry comes":         {[]string{logLineAt(entry, 0, "e1@20"), logLineAt(chosen, choiceSlack, "e1@10")}, 1, 0},
		"before any entry of the next":          {[]string{logLineAt(entry, 0, "e1@10"), logLineAt(chosen, time.Second, "e1@10")}, 1, 0},
		"another engine":                        {[]string{logLineAt(entry, 0, "e1@20"), logLineAt(chosen, time.Second, "e2@10")}, 1, 0},
		"an older entry that comes late":        {[]string{logLineAt(entry, 0, "e1@20"), logLineAt(entry, time.Second, "e1@10"), logLineAt(chosen, 2*time.Second, "e1@10")}, 1, 1},
		"in the process's next life":            {[]string{logLineAt(entry, 0, "e1@20"), logLineAt(starting, time.Second, ""), logLineAt(chosen, 2*time.Second, "e1@10")}, 1, 0},
		"a line that is none":                   {[]string{logLineAt(entry, 0, "e1@20"), "panic", logLineAt(chosen, time.Second, "e1@10")}, 1, 1},
		"a start that is not told":              {[]string{logLineAt(entry, 0, "e1"), logLineAt(chosen, time.Second, "e1")}, 1, 0},
	} {
		t.Run(name, func(t *testing.T) {
			judge := newJudge(testEvents)
			if err := judge.judgeLog(strings.NewReader(strings.Join(test.log, "\n") + "\n" + `{"event":81`)); err != nil {
				t.Fatal(err)
			}
			report := judge.restartsReport
			if report.Chosen != test.chosen || report.FormerChosen != test.former || judge.violationCounts["former_incarnations_get_nothing"] != test.former {
				t.Errorf("report %+v, violation counts %v", report, judge.violationCounts)
			}
		})
	}
}

// The wait was measured until the first request that the new process ran. Such a request may come
// through the entry of the former incarnation, because both listen at the same address. Each report
// showed a median of 0.
func TestWaitsOfNewIncarnationsEndWithTheirChoice(t *testing.T) {
	const chosen = 8103
	judge := newJudge(testEvents)
	listed := time.Date(2026, 1, 1, 0, 0, 1, 0, time.UTC)
	for _, engine := range []string{"e1@20", "e2@20", "e3@20"} {
		judge.restarts = append(judge.restarts, engineRestart{incarnation: engine, listed: listed})
	}
	log := []string{
		logLineAt(chosen, 0, "e1@10"),
		logLineAt(chosen, 1300*time.Millisecond, "e1@20"), logLineAt(chosen, 1200*time.Millisecond, "e1@20"),
		logLineAt(chosen, 1100*time.Millisecond, "e2@20"),
	}
	if err := judge.judgeLog(strings.NewReader(strings.Join(log, "\n") + "\n")); err != nil {
		t.Fatal(err)
	}
	judge.reportWaits()
	if report := judge.restartsReport; report.Used != 2 || report.MedianWait != 200*time.Millisecond {
		t.Errorf("got %+v", report)
	}
}
