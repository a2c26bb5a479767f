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

// deadlyBodyPrefix begins the body of a deadly request, which ends each engine that runs it.
const deadlyBodyPrefix = "deadly "

// blockedCode is in the answer to a request that nodes block because it ends engines.
const blockedCode = "request_ends_engines"

// Bounds on the runs of a deadly request. Once deadlyBlockThreshold engines have ended under it and
// the nodes have had deadlyAgreementTime to agree, at most maxLateDeadlyRuns more may begin.
const (
	deadlyBlockThreshold = 3
	deadlyAgreementTime  = 3 * time.Second
	maxLateDeadlyRuns    = 3
)

// deadlyRecords holds what callers of deadly requests saw, and the unlucky items.
type deadlyRecords struct {
	replies map[string]deadlyReply // by request id
	items   map[string]time.Time   // by body: when engines stopped ending under the item; zero if they did not
	report  DeadlyReport
}

type deadlyReply struct {
	platformtest.Reply
	elapsed time.Duration
	// undisturbed is true if no fault affected the node or a shared resource for
	// deadlyAgreementTime before the request was sent.
	undisturbed bool
	// undisturbedUntilReply has the meaning of undisturbed in resultRead.
	undisturbedUntilReply bool
}

// DeadlyReport summarizes the deadly requests.
type DeadlyReport struct {
	Bodies             int           `json:"bodies"`
	Sent               int           `json:"sent"`
	Blocked            int           `json:"blocked"`             // refused without a run
	SlowestBlock       time.Duration `json:"slowest_ns"`          // longest time until such a refusal
	SlowestUndisturbed time.Duration `json:"slowest_in_touch_ns"` // longest such time at nodes undisturbed throughout
	Runs               int           `json:"runs"`                // each ended an engine, or reached one that had just ended
	MostRuns           int           `json:"most_runs"`           // of one body
	MostLateRuns       int           `json:"most_late"`           // of one body, after the nodes had time to agree
	Items              ItemsReport   `json:"items"`
}

func newDeadlyRecords() deadlyRecords {
	return deadlyRecords{replies: make(map[string]deadlyReply), items: make(map[string]time.Time)}
}

// setCrashes makes an engine end under deadly requests, under unlucky items until they are spared, and under
// deadly parts of prompts.
func (s *soak) setCrashes(engine *platformtest.Engine, link *engineLink) {
	engine.CrashOn(deadlyBodyPrefix, func() { s.engineEnded(link) })
	engine.Spare(s.judge.isSpared)
	engine.CrashOnPart(deadlyPartPrefix, func() { s.engineEnded(link) })
}

// engineEnded replaces an engine that a request ended.
func (s *soak) engineEnded(engine *engineLink) {
	s.recordFault()
	s.mu.Lock()
	engine.reserved = true
	s.mu.Unlock()
	engine.link.close()
	s.replacements.Go(func() {
		time.Sleep(engineReplacementDelay)
		_ = s.addEngine() // after an error, the next engine that ends adds one
		s.store.Unlist(engine.Engine)
		s.recordFault()
	})
}

// engineReplacementDelay is the time between the end of an engine under a request and the start of
// its replacement.
const engineReplacementDelay = 700 * time.Millisecond

// Bounds on the repetitions of one deadly request.
const (
	minDeadlyRepeats = 8
	maxDeadlyRepeats = 40
)

// sendDeadly sends one deadly request repeatedly, under new ids, to random nodes, partly
// concurrently.
func (s *soak) sendDeadly(ctx context.Context, random *rand.Rand) {
	body := deadlyBodyPrefix + s.ids.next("b")
	route := onlineRoutes[random.IntN(len(onlineRoutes))]
	var calls callGroup
	for range minDeadlyRepeats + random.IntN(maxDeadlyRepeats-minDeadlyRepeats) {
		node := s.nodes[random.IntN(len(s.nodes))]
		id := s.ids.next("d")
		calls.Go(func() {
			before := node.condition()
			begun := time.Now()
			undisturbed := s.undisturbed(node, begun)
			reply := platformtest.Send(context.WithoutCancel(ctx), platformtest.Call{
				Node: node.callerLink.address(), Method: http.MethodPost, Path: "/" + route + "/x", ID: id, Body: body, Deadline: onlineDeadline,
			})
			elapsed := time.Since(begun)
			undisturbedUntilReply := s.undisturbedThroughout(node, before, begun)
			s.judge.addDeadlyReply(id, deadlyReply{Reply: reply, elapsed: elapsed, undisturbed: undisturbed, undisturbedUntilReply: undisturbedUntilReply})
		})
		if !wait.For(ctx, randomDuration(random, 5*time.Millisecond, 600*time.Millisecond)) {
			break
		}
	}
	calls.Wait()
}

// undisturbed reports whether a node had time to learn what other nodes know. A node that has just
// started, was paused or cut off, or does not reach the store is not bound by what the others
// agreed.
func (s *soak) undisturbed(node *nodeProcess, now time.Time) bool {
	return now.Sub(node.condition().disturbed) > deadlyAgreementTime && now.Sub(s.lastFault()) > deadlyAgreementTime
}

// addDeadlyReply records the reply to a deadly request.
func (j *judge) addDeadlyReply(id string, reply deadlyReply) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.deadly.replies[id] = reply
	if reply.Err == nil && reply.Status < http.StatusMultipleChoices {
		j.recordViolationLocked("whole_answer", id, fmt.Sprintf("a request that ends engines got %d", reply.Status))
	}
}

// concludeDeadly judges the runs of deadly requests, and returns the other runs.
func (j *judge) concludeDeadly(runs []engineRun) []engineRun {
	others := make([]engineRun, 0, len(runs))
	byBody := make(map[string][]engineRun)
	ran := make(map[string]bool)
	for _, run := range runs {
		if strings.HasPrefix(run.run.Body, deadlyBodyPrefix) {
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
	report.Items.Items = len(j.deadly.items)
	for id, reply := range j.deadly.replies {
		claimedNotRun := reply.Err == nil && promisesNotRun(reply.Status)
		if claimedNotRun && ran[id] {
			j.recordViolationLocked("not_run_is_true", id, fmt.Sprintf("a deadly request answered %d and ran", reply.Status))
		}
		if reply.Err == nil && strings.Contains(reply.Body, blockedCode) && !ran[id] {
			report.Blocked++
			report.SlowestBlock = max(report.SlowestBlock, reply.elapsed)
			if reply.undisturbedUntilReply {
				report.SlowestUndisturbed = max(report.SlowestUndisturbed, reply.elapsed)
			}
		}
	}
	for body, bodyRuns := range byBody {
		slices.SortFunc(bodyRuns, func(a, b engineRun) int { return cmp.Compare(a.run.Began.UnixNano(), b.run.Began.UnixNano()) })
		if spared, isItem := j.deadly.items[body]; isItem {
			j.concludeItem(body, spared, bodyRuns)
			if !spared.IsZero() {
				others = append(others, bodyRuns...) // the item's job is judged as any other
			}
			continue
		}
		late := j.lateRuns(bodyRuns)
		report.Runs += len(bodyRuns)
		report.MostRuns, report.MostLateRuns = max(report.MostRuns, len(bodyRuns)), max(report.MostLateRuns, late)
		if late > maxLateDeadlyRuns {
			j.recordViolationLocked("ends_few_engines", body, fmt.Sprintf("%d runs, %d of them later than %v after the third", len(bodyRuns), late, deadlyAgreementTime))
		}
	}
	return others
}

// lateRuns counts the runs of one body, sorted by time, that undisturbed nodes began after the
// nodes had time to agree. The caller holds mu.
func (j *judge) lateRuns(runs []engineRun) int {
	late := 0
	for i, run := range runs {
		reply, known := j.deadly.replies[run.run.ID]
		if i >= deadlyBlockThreshold && (!known || reply.undisturbed) && run.run.Began.Sub(runs[deadlyBlockThreshold-1].run.Began) > deadlyAgreementTime {
			late++
		}
	}
	return late
}
