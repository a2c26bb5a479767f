package soak

import (
	"net/http"
	"slices"
	"testing"
	"time"

	"ringstream.example/ringstream/platform/platformtest"
)

// TestJudgeAsksThatWhatWasReadStays reads position 1 of a job at one node, and then reads the job
// at another node. A result that has disappeared must be reported.
func TestJudgeAsksThatWhatWasReadStays(t *testing.T) {
	first := time.Now()
	tooLate := first.Add(visibilityBound + time.Millisecond)
	cases := map[string]struct {
		read   resultRead
		denied bool
	}{
		"nothing there, later than the bound":        {resultRead{from: 1, sent: tooLate, status: http.StatusOK, undisturbed: true}, true},
		"no such job, later than the bound":          {resultRead{from: 1, sent: tooLate, status: http.StatusNotFound, undisturbed: true}, true},
		"the job is gone, later than the bound":      {resultRead{from: 1, sent: tooLate, status: http.StatusGone, undisturbed: true}, true},
		"nothing there, long after":                  {resultRead{from: 0, sent: first.Add(time.Minute), status: http.StatusOK, undisturbed: true}, true},
		"it is there":                                {resultRead{from: 1, sent: tooLate, status: http.StatusOK, resultCount: 1, undisturbed: true}, false},
		"sent at the bound, answered after it":       {resultRead{from: 1, sent: first.Add(visibilityBound), status: http.StatusOK, undisturbed: true}, false},
		"sent before the first read was answered":    {resultRead{from: 1, sent: first.Add(-time.Second), status: http.StatusOK, undisturbed: true}, false},
		"a node out of touch":                        {resultRead{from: 1, sent: tooLate, status: http.StatusOK}, false},
		"a node that is not sure":                    {resultRead{from: 1, sent: tooLate, status: http.StatusServiceUnavailable, undisturbed: true}, false},
		"no answer":                                  {resultRead{from: 1, sent: tooLate, undisturbed: true}, false},
		"a position that nobody read":                {resultRead{from: 2, sent: tooLate, status: http.StatusOK, undisturbed: true}, false},
		"fewer than there are, from one that was":    {resultRead{from: 0, sent: tooLate, status: http.StatusOK, resultCount: 1, undisturbed: true}, false},
		"nothing there, from one that was read late": {resultRead{from: 0, sent: tooLate, status: http.StatusOK, undisturbed: true}, true},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			judge := newJudge(testEvents)
			job := &jobRecord{id: "j-1", items: []string{"i-1", "i-2", "i-3"}, accepted: true}
			judge.addJob(job)
			if fresh := judge.recordRead(job, resultRead{from: 0, sent: first, answered: first, status: http.StatusOK, resultCount: 2}); !slices.Equal(fresh, []int{0, 1}) {
				t.Errorf("new positions are %v", fresh)
			}
			judge.recordRead(job, test.read)
			denied := len(judge.violations) == 1 && judge.violations[0].Promise == "what_was_read_stays" && judge.rereads.Denied == 1
			if denied != test.denied || len(judge.violations) > 1 {
				t.Errorf("violations %+v, report %+v", judge.violations, judge.rereads)
			}
		})
	}
}

// TestFirstReadIsTheEarliestAnswered reports the later answer first.
func TestFirstReadIsTheEarliestAnswered(t *testing.T) {
	now := time.Now()
	judge := newJudge(testEvents)
	job := &jobRecord{id: "j-1", items: []string{"i-1"}, accepted: true}
	judge.addJob(job)
	judge.recordRead(job, resultRead{node: "n1", answered: now.Add(time.Second), status: http.StatusOK, resultCount: 1})
	if fresh := judge.recordRead(job, resultRead{node: "n2", answered: now, status: http.StatusOK, resultCount: 1}); len(fresh) > 0 {
		t.Errorf("new positions are %v", fresh)
	}
	if want := (firstRead{node: "n2", answered: now}); job.firstReads[0] != want {
		t.Errorf("the first read is %+v, want %+v", job.firstReads[0], want)
	}
}

// TestFaultThatLastsStrikesUntilItIsOver checks the time of the last fault while a fault is active
// for longer than quietPeriod.
func TestFaultThatLastsStrikesUntilItIsOver(t *testing.T) {
	node := &nodeProcess{state: nodeRunning}
	node.beginFault()
	node.disturbed = time.Now().Add(-quietPeriod - time.Second) // the fault began at this time
	if since := time.Since(node.condition().disturbed); since > quietPeriod {
		t.Errorf("a node with an active fault counts as undisturbed for %v", since)
	}
	node.endFault()
	if since := time.Since(node.condition().disturbed); since > quietPeriod {
		t.Errorf("a node whose fault has just ended counts as undisturbed for %v", since)
	}

	s := &soak{}
	s.beginStoreFault()
	s.sharedFaultAt, s.storeFaultAt = time.Time{}, time.Time{}
	if since := min(time.Since(s.lastFault()), time.Since(s.lastStoreFault())); since > quietPeriod {
		t.Errorf("a store with an active fault counts as undisturbed for %v", since)
	}
	s.endStoreFault()
	s.storeFaultAt = time.Time{}
	if since := time.Since(s.lastStoreFault()); since < quietPeriod {
		t.Errorf("a store fault that has ended still counts as active: last fault %v ago", since)
	}
}

// TestNodeInTouchThroughout checks, for each kind of disturbance, that a node does not count as
// undisturbed.
func TestNodeInTouchThroughout(t *testing.T) {
	sent := time.Now()
	long := sent.Add(-quietPeriod - time.Second)
	cases := map[string]struct {
		strike func(s *soak, node *nodeProcess)
		want   bool
	}{
		"left alone":               {func(*soak, *nodeProcess) {}, true},
		"an engine's fault":        {func(s *soak, _ *nodeProcess) { s.recordFault() }, true},
		"a fault long ago":         {func(s *soak, node *nodeProcess) { node.disturbed, s.storeFaultAt = long, long }, true},
		"struck shortly before":    {func(_ *soak, node *nodeProcess) { node.disturbed = sent.Add(-quietPeriod + time.Millisecond) }, false},
		"struck meanwhile":         {func(_ *soak, node *nodeProcess) { node.disturbed = time.Now() }, false},
		"its link is harmed":       {func(_ *soak, node *nodeProcess) { node.beginFault() }, false},
		"paused":                   {func(_ *soak, node *nodeProcess) { node.state = nodePaused }, false},
		"stopping":                 {func(_ *soak, node *nodeProcess) { node.state = nodeStopping }, false},
		"another life":             {func(_ *soak, node *nodeProcess) { node.incarnation++ }, false},
		"a fault of the store":     {func(s *soak, _ *nodeProcess) { s.beginStoreFault(); s.endStoreFault() }, false},
		"the store's fault begins": {func(s *soak, _ *nodeProcess) { s.beginStoreFault() }, false},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			s, node := &soak{}, &nodeProcess{state: nodeRunning, incarnation: 1}
			before := node.condition()
			test.strike(s, node)
			if got := s.undisturbedThroughout(node, before, sent); got != test.want {
				t.Errorf("undisturbed is %v", got)
			}
		})
	}
}

// Ten of 1,034 jobs were reported as lost although the logs showed that all of their items were
// listed. They were the last jobs, and the final reads took turns between them and all finished
// jobs.
func TestJobsThatAreNotDoneAreNamed(t *testing.T) {
	judge := newJudge(testEvents)
	open := &jobRecord{id: "j-open", items: []string{"i-1"}, accepted: true}
	done := &jobRecord{id: "j-done", items: []string{"i-2"}, accepted: true}
	ended := &jobRecord{id: "j-ended", items: []string{"i-3"}, accepted: true, ended: time.Now()}
	refused := &jobRecord{id: "j-refused", items: []string{"i-4"}, refused: true}
	old := &jobRecord{id: "j-old", items: []string{"i-5"}, accepted: true}
	for _, job := range []*jobRecord{open, done, ended, refused, old} {
		judge.addJob(job)
	}
	old.submitted = time.Now().Add(-jobRetention)
	judge.addResults(done, 0, platformtest.Results{Total: 1, Results: []platformtest.Result{succeeded(judge, "i-2")}})
	if undone := judge.unfinishedJobs(); len(undone) != 1 || undone[0] != open {
		t.Errorf("%d unfinished jobs are listed, want only j-open", len(undone))
	}
}

// TestJudgeSeesResultsThatGoBack guards against a node that shows fewer results than it has shown before.
func TestJudgeSeesResultsThatGoBack(t *testing.T) {
	first := time.Now()
	later := first.Add(time.Millisecond)
	for name, test := range map[string]struct {
		read     resultRead
		wentBack bool
	}{
		"fewer":                           {resultRead{node: "n1", life: 1, sent: later, status: http.StatusOK, resultCount: 1}, true},
		"none from a position that was":   {resultRead{node: "n1", life: 1, from: 1, sent: later, status: http.StatusOK}, true},
		"as many":                         {resultRead{node: "n1", life: 1, sent: later, status: http.StatusOK, resultCount: 2}, false},
		"none behind them":                {resultRead{node: "n1", life: 1, from: 2, sent: later, status: http.StatusOK}, false},
		"at another node":                 {resultRead{node: "n2", life: 1, sent: later, status: http.StatusOK, resultCount: 1}, false},
		"in the process's next life":      {resultRead{node: "n1", life: 2, sent: later, status: http.StatusOK, resultCount: 1}, false},
		"over the end of a process":       {resultRead{node: "n1", sent: later, status: http.StatusOK, resultCount: 1}, false},
		"sent before the former's answer": {resultRead{node: "n1", life: 1, sent: first.Add(-time.Second), status: http.StatusOK, resultCount: 1}, false},
		"a node that is not sure":         {resultRead{node: "n1", life: 1, sent: later, status: http.StatusServiceUnavailable}, false},
	} {
		j := newJudge(testEvents)
		job := &jobRecord{id: "j-1", items: []string{"i-1", "i-2", "i-3"}, accepted: true}
		j.addJob(job)
		j.recordRead(job, resultRead{node: "n1", life: 1, sent: first, answered: first, status: http.StatusOK, resultCount: 2})
		j.recordRead(job, test.read)
		if wentBack := j.violationCounts["listed_results_do_not_go_back"] == 1; wentBack != test.wentBack || (!wentBack && len(j.violations) > 0) {
			t.Errorf("%s: violations %+v", name, j.violations)
		}
	}
}

// TestReadFromBehindTheResultsShowsNone guards against an accusation of a node that was asked for more than the
// job had.
func TestReadFromBehindTheResultsShowsNone(t *testing.T) {
	now := time.Now()
	j := newJudge(testEvents)
	job := &jobRecord{id: "j-1", items: []string{"i-1", "i-2", "i-3"}, accepted: true}
	j.addJob(job)
	j.recordRead(job, resultRead{node: "n1", life: 1, from: 3, sent: now, answered: now, status: http.StatusOK})
	j.recordRead(job, resultRead{node: "n1", life: 1, sent: now.Add(time.Second), status: http.StatusOK, resultCount: 1})
	if len(j.violations) > 0 {
		t.Errorf("violations %+v", j.violations)
	}
}

// TestJudgeSeesAWrongNextPosition guards against a reader that is led past results or back.
func TestJudgeSeesAWrongNextPosition(t *testing.T) {
	for next, wrong := range map[int]bool{2: true, 3: false, 4: true} {
		j := newJudge(testEvents)
		j.judgeNext(&jobRecord{id: "j-1"}, 2, platformtest.Results{Next: next, Results: make([]platformtest.Result, 1)})
		if seen := j.violationCounts["next_position_is_right"] == 1; seen != wrong {
			t.Errorf("next %d: violations %+v", next, j.violations)
		}
	}
}
