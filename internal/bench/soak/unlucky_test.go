package soak

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"ringstream.example/ringstream/platform/platformtest"
)

func TestItemRunsWithinASpan(t *testing.T) {
	for span, want := range map[time.Duration]int{
		0: 1, 49 * time.Millisecond: 1, 50 * time.Millisecond: 2, 549 * time.Millisecond: 2, 550 * time.Millisecond: 3, 1550 * time.Millisecond: 4,
		3550 * time.Millisecond: 5, 7549 * time.Millisecond: 5, 7550 * time.Millisecond: 6, 23550 * time.Millisecond: 10,
	} {
		if got := itemRunsWithin(span); got != want {
			t.Errorf("within %v: %d runs, want %d", span, got, want)
		}
	}
}

// TestJudgeSeesItemsThatTakeEngines plants runs of items that end engines, and of items that engines no longer
// end under.
func TestJudgeSeesItemsThatTakeEngines(t *testing.T) {
	now := time.Now()
	for name, test := range map[string]struct {
		pause  time.Duration // between two of 8 runs
		spared int           // the first run under which no engine ended; 0: none
		broken bool
	}{
		"paused":                 {4 * time.Second, 0, false},
		"too soon":               {500 * time.Millisecond, 0, true},
		"too soon, then spared":  {200 * time.Millisecond, 7, true},
		"spared after a few":     {500 * time.Millisecond, 4, false},
		"without a pause at all": {time.Millisecond, 0, true},
	} {
		j := newJudge(testEvents)
		body := deadlyBodyPrefix + "b"
		j.addUnluckyItem(body)
		var runs []engineRun
		for i := range 8 {
			began := now.Add(time.Duration(i) * test.pause)
			if test.spared == i && i > 0 {
				j.deadly.items[body] = began.Add(-test.pause / 2)
			}
			planted := run(fmt.Sprint("e", i), "d1", began)
			planted.run.Body = body
			runs = append(runs, planted)
		}
		if others := j.concludeDeadly(runs); len(others) != 0 && test.spared == 0 {
			t.Errorf("%s: %d runs are judged as others", name, len(others))
		}
		if found := j.violationCounts["items_end_few_engines"] > 0; found != test.broken || len(j.violationCounts) > 1 {
			t.Errorf("%s: violations %v", name, j.violationCounts)
		}
		if spared := j.deadly.report.Items.Spared > 0; spared != (test.spared > 0) {
			t.Errorf("%s: report %+v", name, j.deadly.report.Items)
		}
	}
}

// TestJudgeSeesAnUnluckyItemThatIsNotDone plants an item that no engine ends under any more.
func TestJudgeSeesAnUnluckyItemThatIsNotDone(t *testing.T) {
	for _, done := range []bool{false, true} {
		j := newJudge(testEvents)
		job := &jobRecord{id: "j1", items: []string{"d1"}, accepted: true}
		job.begin()
		j.spare(deadlyBodyPrefix+"b", job)
		j.recordRead(job, resultRead{node: "n1", life: 1, status: http.StatusOK, resultCount: 1})
		if done {
			job.results[0] = platformtest.Result{ID: "d1", State: "succeeded", Text: j.expectedText("d1")}
		}
		j.conclude(nil)
		if found := j.violationCounts["taken_jobs_are_done"] > 0; found == done {
			t.Errorf("done: %t, violations %v", done, j.violationCounts)
		}
	}
}
