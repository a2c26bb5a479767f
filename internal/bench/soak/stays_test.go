package soak

import (
	"net/http"
	"slices"
	"testing"
	"time"

	"ringstream.example/ringstream/platform/platformtest"
)

// TestJudgeAsksThatWhatWasReadStays has position 1 of a job read at one node, and then a
// read at another one.
func TestJudgeAsksThatWhatWasReadStays(t *testing.T) {
	first := time.Now()
	tooLate := first.Add(staysAfter + time.Millisecond)
	cases := map[string]struct {
		read   resultRead
		denied bool
	}{
		"nothing there, later than the bound":        {resultRead{from: 1, sent: tooLate, status: http.StatusOK, inTouch: true}, true},
		"no such job, later than the bound":          {resultRead{from: 1, sent: tooLate, status: http.StatusNotFound, inTouch: true}, true},
		"the job is gone, later than the bound":      {resultRead{from: 1, sent: tooLate, status: http.StatusGone, inTouch: true}, true},
		"nothing there, long after":                  {resultRead{from: 0, sent: first.Add(time.Minute), status: http.StatusOK, inTouch: true}, true},
		"it is there":                                {resultRead{from: 1, sent: tooLate, status: http.StatusOK, given: 1, inTouch: true}, false},
		"sent at the bound, answered after it":       {resultRead{from: 1, sent: first.Add(staysAfter), status: http.StatusOK, inTouch: true}, false},
		"sent before the first read was answered":    {resultRead{from: 1, sent: first.Add(-time.Second), status: http.StatusOK, inTouch: true}, false},
		"a node out of touch":                        {resultRead{from: 1, sent: tooLate, status: http.StatusOK}, false},
		"a node that is not sure":                    {resultRead{from: 1, sent: tooLate, status: http.StatusServiceUnavailable, inTouch: true}, false},
		"no answer":                                  {resultRead{from: 1, sent: tooLate, inTouch: true}, false},
		"a position that nobody read":                {resultRead{from: 2, sent: tooLate, status: http.StatusOK, inTouch: true}, false},
		"fewer than there are, from one that was":    {resultRead{from: 0, sent: tooLate, status: http.StatusOK, given: 1, inTouch: true}, false},
		"nothing there, from one that was read late": {resultRead{from: 0, sent: tooLate, status: http.StatusOK, inTouch: true}, true},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			judge := newJudge(testEvents)
			job := &jobRecord{id: "j-1", items: []string{"i-1", "i-2", "i-3"}, taken: true}
			judge.add(job)
			if fresh := judge.readAgain(job, resultRead{from: 0, sent: first, answered: first, status: http.StatusOK, given: 2}); !slices.Equal(fresh, []int{0, 1}) {
				t.Errorf("new are %v", fresh)
			}
			judge.readAgain(job, test.read)
			denied := len(judge.violations) == 1 && judge.violations[0].Promise == "what_was_read_stays" && judge.stays.Denied == 1
			if denied != test.denied || len(judge.violations) > 1 {
				t.Errorf("names %+v, counts %+v", judge.violations, judge.stays)
			}
		})
	}
}

// TestFirstReadIsTheEarliestAnswered has the later answer told first.
func TestFirstReadIsTheEarliestAnswered(t *testing.T) {
	now := time.Now()
	judge := newJudge(testEvents)
	job := &jobRecord{id: "j-1", items: []string{"i-1"}, taken: true}
	judge.add(job)
	judge.readAgain(job, resultRead{node: "n1", answered: now.Add(time.Second), status: http.StatusOK, given: 1})
	if fresh := judge.readAgain(job, resultRead{node: "n2", answered: now, status: http.StatusOK, given: 1}); len(fresh) > 0 {
		t.Errorf("new are %v", fresh)
	}
	if want := (firstRead{node: "n2", answered: now}); job.firstReads[0] != want {
		t.Errorf("the first read is %+v, want %+v", job.firstReads[0], want)
	}
}

// TestFaultThatLastsStrikesUntilItIsOver asks for the moment of the last fault while one
// lasts, which outlives the time for which a node must have been left alone.
func TestFaultThatLastsStrikesUntilItIsOver(t *testing.T) {
	node := &nodeProcess{state: nodeRunning}
	node.beginFault()
	node.disturbed = time.Now().Add(-quietBefore - time.Second) // it began then
	if since := time.Since(node.condition().disturbed); since > quietBefore {
		t.Errorf("a node whose fault lasts counts as left alone for %v", since)
	}
	node.endFault()
	if since := time.Since(node.condition().disturbed); since > quietBefore {
		t.Errorf("a node whose fault has just ended counts as left alone for %v", since)
	}

	s := &soak{}
	s.beginStoreFault()
	s.struck, s.storeStruck = time.Time{}, time.Time{}
	if since := min(time.Since(s.lastFault()), time.Since(s.lastStoreFault())); since > quietBefore {
		t.Errorf("a store whose fault lasts counts as left alone for %v", since)
	}
	s.endStoreFault()
	s.storeStruck = time.Time{}
	if since := time.Since(s.lastStoreFault()); since < quietBefore {
		t.Errorf("a fault that is over lasts on: %v", since)
	}
}

// TestNodeInTouchThroughout asks, for each thing that takes a node out of touch, that a read
// of it is not judged.
func TestNodeInTouchThroughout(t *testing.T) {
	sent := time.Now()
	long := sent.Add(-quietBefore - time.Second)
	cases := map[string]struct {
		strike func(s *soak, node *nodeProcess)
		want   bool
	}{
		"left alone":               {func(*soak, *nodeProcess) {}, true},
		"an engine's fault":        {func(s *soak, _ *nodeProcess) { s.strike() }, true},
		"a fault long ago":         {func(s *soak, node *nodeProcess) { node.disturbed, s.storeStruck = long, long }, true},
		"struck shortly before":    {func(_ *soak, node *nodeProcess) { node.disturbed = sent.Add(-quietBefore + time.Millisecond) }, false},
		"struck meanwhile":         {func(_ *soak, node *nodeProcess) { node.disturbed = time.Now() }, false},
		"its link is harmed":       {func(_ *soak, node *nodeProcess) { node.beginFault() }, false},
		"paused":                   {func(_ *soak, node *nodeProcess) { node.state = nodePaused }, false},
		"stopping":                 {func(_ *soak, node *nodeProcess) { node.state = nodeStopping }, false},
		"another life":             {func(_ *soak, node *nodeProcess) { node.life++ }, false},
		"a fault of the store":     {func(s *soak, _ *nodeProcess) { s.beginStoreFault(); s.endStoreFault() }, false},
		"the store's fault begins": {func(s *soak, _ *nodeProcess) { s.beginStoreFault() }, false},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			s, node := &soak{}, &nodeProcess{state: nodeRunning, life: 1}
			before := node.condition()
			test.strike(s, node)
			if got := s.inTouchThroughout(node, before, sent); got != test.want {
				t.Errorf("got %v", got)
			}
		})
	}
}

// Ten jobs of 1,034 counted as lost, though their logs told that all of their items were
// listed: they were the last ones, and were read by turns with all that were done.
func TestJobsThatAreNotDoneAreNamed(t *testing.T) {
	judge := newJudge(testEvents)
	open := &jobRecord{id: "j-open", items: []string{"i-1"}, taken: true}
	done := &jobRecord{id: "j-done", items: []string{"i-2"}, taken: true}
	ended := &jobRecord{id: "j-ended", items: []string{"i-3"}, taken: true, ended: time.Now()}
	refused := &jobRecord{id: "j-refused", items: []string{"i-4"}, refused: true}
	old := &jobRecord{id: "j-old", items: []string{"i-5"}, taken: true}
	for _, job := range []*jobRecord{open, done, ended, refused, old} {
		judge.add(job)
	}
	old.handed = time.Now().Add(-jobsKept)
	judge.read(done, 0, platformtest.Results{Total: 1, Results: []platformtest.Result{succeeded(judge, "i-2")}})
	if undone := judge.undone(); len(undone) != 1 || undone[0] != open {
		t.Errorf("%d jobs are not done", len(undone))
	}
}
