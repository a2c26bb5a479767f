package soak

import (
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

// routeHandover is the route whose streams break off at their callers as soon as an engine breaks off.
const routeHandover = "handover"

// softwareVersion returns the version of the engine with a number. Two versions are listed at the
// start, and engines that replace others are of later ones.
func (s *soak) softwareVersion(engine int) string {
	return fmt.Sprintf("v%d", 1+engine/max(s.options.Engines*2/3, 1))
}

// streamsStream is the random stream of engines that break off streams.
const streamsStream = 1 << 45

// injectBrokenStreams has engines break off streams until the time is up.
func (s *soak) injectBrokenStreams(ctx context.Context) {
	kinds := []fault{{"streams_break_off", 1, (*soak).breakStreams}}
	s.injectKinds(ctx, streamsStream, kinds, 300*time.Millisecond, time.Second)
}

// maxBrokenStreams bounds the next streams that one engine breaks off.
const maxBrokenStreams = 4

// breakStreams has about half of the engines break off the next streams that begin there.
func (s *soak) breakStreams(_ context.Context, random *rand.Rand) {
	s.recordFault()
	for _, engine := range s.engineList() {
		for range random.IntN(2) * random.IntN(maxBrokenStreams+1) {
			engine.Do(platformtest.CutFromStart)
		}
	}
}

const (
	maxTakeUps  = 3 // attempts to go on with one stream
	takeUpPause = 40 * time.Millisecond
)

// StreamsReport summarizes the streams that callers took up after they had broken off.
type StreamsReport struct {
	Broken  int            `json:"broken"`   // streams taken up
	TakenUp map[string]int `json:"taken_up"` // attempts by status
	Whole   int            `json:"whole"`    // streams that were whole in the end
	// InTouch and InTouchGoneOn count the attempts at undisturbed nodes, and those that went on. FreshInTouch
	// and FreshBegun are the same of new streams.
	InTouch       int `json:"in_touch"`
	InTouchGoneOn int `json:"in_touch_gone_on"`
	FreshInTouch  int `json:"fresh_in_touch"`
	FreshBegun    int `json:"fresh_begun"`
}

// resumableStream is a stream as its caller knows it.
type resumableStream struct {
	id, route string
	events    int
	versions  []string
	current   bool // all nodes that served it ran the build under test
}

// takes adds what an attempt has brought.
func (r *resumableStream) takes(reply platformtest.Reply) {
	_, versions := platformtest.SplitSoftware(reply.Body)
	r.events += strings.Count(reply.Body, "\n\n")
	for _, version := range versions {
		if !slices.Contains(r.versions, version) {
			r.versions = append(r.versions, version)
		}
	}
}

// brokeOff reports whether an answer is a stream that has broken off after its first event.
func brokeOff(reply platformtest.Reply) bool {
	return reply.Status == http.StatusOK && reply.Err != nil && strings.Contains(reply.Body, "\n\n")
}

// takeUp takes up a stream that has broken off, at other nodes, until it is whole or the attempts are
// used up.
func (s *soak) takeUp(ctx context.Context, random *rand.Rand, first requestRecord) {
	stream := resumableStream{id: first.id, route: first.route, current: !first.earlierBuild}
	stream.takes(first.reply)
	whole := false
	for range maxTakeUps {
		if !wait.For(context.WithoutCancel(ctx), takeUpPause) {
			return
		}
		if whole = s.takeUpOnce(ctx, random, &stream); whole {
			break
		}
	}
	s.judge.addStream(stream, whole)
}

func (s *soak) takeUpOnce(ctx context.Context, random *rand.Rand, stream *resumableStream) (whole bool) {
	node := s.nodes[random.IntN(len(s.nodes))]
	id := s.ids.next("r")
	before, sent := node.condition(), time.Now()
	stream.current = stream.current && node.runsCurrentBuild()
	reply := platformtest.Send(context.WithoutCancel(ctx), platformtest.Call{
		Node: node.callerLink.address(), Method: http.MethodPost, Path: "/" + stream.route + "/x", ID: id, Body: "prompt of " + stream.id, Deadline: onlineDeadline,
		LastEvent: fmt.Sprint(stream.events), Resumes: stream.id,
	})
	s.judge.addAnswer(requestRecord{id: id, route: stream.route, reply: reply, after: stream.events})
	s.judge.addTakeUp(reply, s.undisturbedThroughout(node, before, sent))
	if reply.Status != http.StatusOK {
		return false
	}
	stream.takes(reply)
	return reply.Err == nil
}

// addFresh records how a new stream began.
func (j *judge) addFresh(reply platformtest.Reply, undisturbed bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if undisturbed {
		j.streams.FreshInTouch++
		if reply.Status == http.StatusOK {
			j.streams.FreshBegun++
		}
	}
}

// addTakeUp records how an attempt to go on with a stream ended.
func (j *judge) addTakeUp(reply platformtest.Reply, undisturbed bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.streams.TakenUp[statusName(reply)]++
	if undisturbed {
		j.streams.InTouch++
		if reply.Status == http.StatusOK {
			j.streams.InTouchGoneOn++
		}
	}
}

// addStream judges a stream that was taken up. Nodes of earlier builds resume at any version.
func (j *judge) addStream(stream resumableStream, whole bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.streams.Broken++
	if whole {
		j.streams.Whole++
	}
	if stream.current && len(stream.versions) > 1 {
		j.recordViolationLocked("streams_keep_their_version", stream.id, fmt.Sprintf("events of %v over the caller's attempts", stream.versions))
	}
}

// Bounds on the streams that go on at nodes in touch, as a share of the new streams that begin.
const (
	minJudgedTakeUps = 12
	goneOnShareOfNew = 0.5
)

// concludeStreams judges the share of the streams that went on.
func (j *judge) concludeStreams() {
	j.mu.Lock()
	defer j.mu.Unlock()
	report := j.streams
	if report.InTouch < minJudgedTakeUps || report.FreshInTouch == 0 {
		return
	}
	goneOn, begun := float64(report.InTouchGoneOn)/float64(report.InTouch), float64(report.FreshBegun)/float64(report.FreshInTouch)
	if goneOn < goneOnShareOfNew*begun {
		j.recordViolationLocked("streams_go_on", "fleet", fmt.Sprintf("%.2f of %d that were taken up, %.2f of %d new ones", goneOn, report.InTouch, begun, report.FreshInTouch))
	}
}

// concludeItemVersions judges the runs of an item: one that resumes continues the text of an earlier run at
// an engine of the same version. The caller holds mu.
func (j *judge) concludeItemVersions(item string, runs []engineRun) {
	slices.SortFunc(runs, func(a, b engineRun) int { return a.run.Began.Compare(b.run.Began) })
	versions := make(map[string]bool)
	for _, run := range runs {
		if run.run.LastEvent != "" && !versions[run.software] {
			j.recordViolationLocked("streams_keep_their_version", item, fmt.Sprintf("an item went on after event %s at %s, %s, where none of its runs was", run.run.LastEvent, run.engine, run.software))
		}
		versions[run.software] = true
	}
}
