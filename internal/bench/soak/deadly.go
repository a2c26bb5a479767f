package soak

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"

	"ringstream.example/ringstream/internal/wait"
	"ringstream.example/ringstream/platform/platformtest"
)

// deadlyBody is what the body of a request begins with that ends each engine which runs it.
const deadlyBody = "deadly "

// blockedCode stands in the answer to a request that reaches no engine since it ends them.
const blockedCode = "request_ends_engines"

// Bounds of a deadly request's runs: after the third engine ended under it and the time that
// nodes take to agree, so many may still begin.
const (
	deadlyShown  = 3
	deadlyAgreed = 3 * time.Second
	deadlyLate   = 3
)

// deadlyRecords is what callers of deadly requests saw.
type deadlyRecords struct {
	replies map[string]deadlyReply // by id
	report  DeadlyReport
}

type deadlyReply struct {
	platformtest.Reply
	elapsed time.Duration
	// inTouch: neither the node nor what all share was struck for the time of agreement
	// before the request was sent.
	inTouch bool
	// leftAlone: it was in touch throughout, as of a resultRead.
	leftAlone bool
}

// DeadlyReport is what came of requests that end engines.
type DeadlyReport struct {
	Bodies       int           `json:"bodies"`
	Sent         int           `json:"sent"`
	Blocked      int           `json:"blocked"`             // refused, without a run
	SlowestBlock time.Duration `json:"slowest_ns"`          // of those refusals
	SlowestAlone time.Duration `json:"slowest_in_touch_ns"` // of those by nodes in touch throughout
	Runs         int           `json:"runs"`                // each ended an engine, or met one that had just ended
	MostRuns     int           `json:"most_runs"`           // of one body
	MostLateRuns int           `json:"most_late"`           // of one body, later than the bound
}

func newDeadlyRecords() deadlyRecords { return deadlyRecords{replies: make(map[string]deadlyReply)} }

// engineEnded has another engine come for one that a request ended.
func (s *soak) engineEnded(engine *engineLink) {
	s.strike()
	s.mu.Lock()
	engine.taken = true
	s.mu.Unlock()
	engine.link.close()
	s.replacing.Go(func() {
		time.Sleep(engineBackAfter)
		_ = s.addEngine() // the next that ends brings one
		s.store.Unlist(engine.Engine)
		s.strike()
	})
}

// engineBackAfter is how long an engine that a request ended is missing.
const engineBackAfter = 700 * time.Millisecond

// Repeats of one deadly request.
const (
	deadlyLeast = 8
	deadlyMost  = 40
)

// sendDeadly sends one deadly request again and again, under new ids, to any nodes, some of
// them at the same time.
func (s *soak) sendDeadly(ctx context.Context, random *rand.Rand) {
	body := deadlyBody + s.ids.next("b")
	route := onlineRoutes[random.IntN(len(onlineRoutes))]
	var calls concurrent
	for range deadlyLeast + random.IntN(deadlyMost-deadlyLeast) {
		node := s.nodes[random.IntN(len(s.nodes))]
		id := s.ids.next("d")
		calls.Go(func() {
			before := node.condition()
			begun := time.Now()
			inTouch := s.inTouch(node, begun)
			reply := platformtest.Send(context.WithoutCancel(ctx), platformtest.Call{
				Node: node.link.address(), Method: http.MethodPost, Path: "/" + route + "/x", ID: id, Body: body, Deadline: onlineDeadline,
			})
			elapsed := time.Since(begun)
			leftAlone := s.inTouchThroughout(node, before, begun)
			s.judge.answeredDeadly(id, deadlyReply{Reply: reply, elapsed: elapsed, inTouch: inTouch, leftAlone: leftAlone})
		})
		if !wait.For(ctx, between(random, 5*time.Millisecond, 600*time.Millisecond)) {
			break
		}
	}
	calls.Wait()
}

// inTouch says whether a node had the time to hear of what others know: a node that has just
// started, was paused or cut off, or does not reach the store, is not bound by what they agreed.
func (s *soak) inTouch(node *nodeProcess, now time.Time) bool {
	return now.Sub(node.condition().disturbed) > deadlyAgreed && now.Sub(s.lastFault()) > deadlyAgreed
}

// handInDeadly hands in a job of one deadly item, and ends it after a while.
func (s *soak) handInDeadly(ctx context.Context, random *rand.Rand) {
	job, item := s.ids.next("j"), s.ids.next("d")
	body := deadlyBody + s.ids.next("b")
	for range jobTries {
		reply := platformtest.Send(ctx, platformtest.HandInOne(s.nodes[random.IntN(len(s.nodes))].link.address(), job, item, body))
		if reply.Err == nil && reply.Status == http.StatusAccepted || !wait.For(ctx, jobPause) {
			break
		}
	}
	wait.For(ctx, between(random, time.Second, 8*time.Second))
	for range jobTries {
		reply := platformtest.Send(context.WithoutCancel(ctx), platformtest.End(s.nodes[random.IntN(len(s.nodes))].link.address(), job))
		if reply.Err == nil && reply.Status == http.StatusOK || !wait.For(ctx, jobPause) {
			return
		}
	}
}

// answeredDeadly takes what the caller of a deadly request saw.
func (j *judge) answeredDeadly(id string, reply deadlyReply) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.deadly.replies[id] = reply
	if reply.Err == nil && reply.Status < http.StatusMultipleChoices {
		j.violateLocked("whole_answer", id, fmt.Sprintf("a request that ends engines got %d", reply.Status))
	}
}

// concludeDeadly judges the runs of deadly requests, and gives the others.
func (j *judge) concludeDeadly(runs []engineRun) []engineRun {
	others := make([]engineRun, 0, len(runs))
	byBody := make(map[string][]engineRun)
	ran := make(map[string]bool)
	for _, run := range runs {
		if strings.HasPrefix(run.run.Body, deadlyBody) {
			byBody[run.run.Body] = append(byBody[run.run.Body], run)
			ran[run.run.ID] = true
		} else {
			others = append(others, run)
		}
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	report := &j.deadly.report
	report.Sent, report.Bodies = len(j.deadly.replies), len(byBody)
	for id, reply := range j.deadly.replies {
		promised := reply.Err == nil && isPromise(reply.Status)
		if promised && ran[id] {
			j.violateLocked("not_run_is_true", id, fmt.Sprintf("a deadly request answered %d and ran", reply.Status))
		}
		if reply.Err == nil && strings.Contains(reply.Body, blockedCode) && !ran[id] {
			report.Blocked++
			report.SlowestBlock = max(report.SlowestBlock, reply.elapsed)
			if reply.leftAlone {
				report.SlowestAlone = max(report.SlowestAlone, reply.elapsed)
			}
		}
	}
	for body, bodyRuns := range byBody {
		slices.SortFunc(bodyRuns, func(a, b engineRun) int { return cmp.Compare(a.run.Began.UnixNano(), b.run.Began.UnixNano()) })
		late := j.lateRuns(bodyRuns)
		report.Runs += len(bodyRuns)
		report.MostRuns, report.MostLateRuns = max(report.MostRuns, len(bodyRuns)), max(report.MostLateRuns, late)
		if late > deadlyLate {
			j.violateLocked("ends_few_engines", body, fmt.Sprintf("%d runs, %d of them later than %v after the third", len(bodyRuns), late, deadlyAgreed))
		}
	}
	return others
}

// lateRuns counts the runs that nodes in touch begin after agreement, in order of time. A run of
// an item counts, whoever sent it; the caller holds mu.
func (j *judge) lateRuns(runs []engineRun) int {
	late := 0
	for i, run := range runs {
		reply, online := j.deadly.replies[run.run.ID]
		if i >= deadlyShown && (!online || reply.inTouch) && run.run.Began.Sub(runs[deadlyShown-1].run.Began) > deadlyAgreed {
			late++
		}
	}
	return late
}
