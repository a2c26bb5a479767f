package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"ringstream.example/ringstream/internal/wait"
	"ringstream.example/ringstream/platform/platformtest"
)

// An unlucky item is a sound item of a job that engines end under for a time, for reasons that it does not
// have. Its body begins with deadlyBodyPrefix.

// itemPauses are the least pauses between the runs of an item under which engines end. The last one is that
// of all further runs.
var itemPauses = []time.Duration{50 * time.Millisecond, 500 * time.Millisecond, time.Second, 2 * time.Second, 4 * time.Second}

// maxEarlyItemRuns is the number of runs of an item that may begin before its pause is over. A node that
// takes a job over may not have heard of the latest ends.
const maxEarlyItemRuns = 3

// itemRunsWithin returns how many runs of an item may begin within a span from its first one on, if an engine
// ends under each.
func itemRunsWithin(span time.Duration) int {
	runs := 1
	for at := itemPauses[0]; at <= span; at += itemPauses[min(runs, len(itemPauses))-1] {
		runs++
	}
	return runs
}

// ItemsReport summarizes the unlucky items.
type ItemsReport struct {
	Items         int           `json:"items"`
	MostRuns      int           `json:"most_runs"`  // of one item while engines ended under it
	MostEarlyRuns int           `json:"most_early"` // of one item, more than its pauses allow
	Spared        int           `json:"spared"`     // items under which engines stopped ending, and that ran then
	SlowestRun    time.Duration `json:"slowest_ns"` // longest time until such an item ran
}

// submitUnluckyJob submits a job of one unlucky item. After a while, engines no longer end under it or the job
// is ended.
func (s *soak) submitUnluckyJob(ctx context.Context, random *rand.Rand) {
	job := &jobRecord{id: s.ids.next("j"), items: []string{s.ids.next("d")}, submitted: time.Now()}
	body := deadlyBodyPrefix + s.ids.next("b")
	s.judge.addUnluckyItem(body)
	for range maxJobTries {
		node := s.nodes[random.IntN(len(s.nodes))]
		reply := platformtest.Send(ctx, platformtest.SubmitOneItem(node.callerLink.address(), job.id, job.items[0], body))
		job.accepted = reply.Err == nil && reply.Status == http.StatusAccepted
		if job.accepted || !wait.For(ctx, jobPause) {
			break
		}
	}
	wait.For(ctx, randomDuration(random, time.Second, 8*time.Second))
	if job.accepted && random.IntN(2) == 0 {
		s.judge.spare(body, job)
		return
	}
	s.cancelJob(ctx, random, job.id)
}

// cancelJob ends a job that is not judged.
func (s *soak) cancelJob(ctx context.Context, random *rand.Rand, job string) {
	for range maxJobTries {
		node := s.nodes[random.IntN(len(s.nodes))]
		reply := platformtest.Send(context.WithoutCancel(ctx), platformtest.CancelJob(node.callerLink.address(), job))
		if reply.Err == nil && reply.Status == http.StatusOK || !wait.For(ctx, jobPause) {
			return
		}
	}
}

func (j *judge) addUnluckyItem(body string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.deadly.items[body] = time.Time{}
}

// spare makes engines no longer end under an item, whose job must be done then.
func (j *judge) spare(body string, job *jobRecord) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.deadly.items[body] = time.Now()
	j.addJobLocked(job)
}

// isSpared reports whether engines no longer end under an item with a body.
func (j *judge) isSpared(body string) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return !j.deadly.items[body].IsZero()
}

// concludeItem judges the runs of an unlucky item, sorted by time. The caller holds mu.
func (j *judge) concludeItem(body string, spared time.Time, runs []engineRun) {
	report := &j.deadly.report.Items
	early, ended := 0, 0
	for _, run := range runs {
		if !spared.IsZero() && run.run.Began.After(spared) {
			report.Spared++
			report.SlowestRun = max(report.SlowestRun, run.run.Began.Sub(spared))
			break
		}
		ended++
		early = max(early, ended-itemRunsWithin(run.run.Began.Sub(runs[0].run.Began)))
	}
	report.MostRuns, report.MostEarlyRuns = max(report.MostRuns, ended), max(report.MostEarlyRuns, early)
	if early > maxEarlyItemRuns {
		j.recordViolationLocked("items_end_few_engines", body, fmt.Sprintf("%d runs, %d more than its pauses allow", ended, early))
	}
}
