package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"ringstream.example/ringstream/internal/wait"
	"ringstream.example/ringstream/platform/platformtest"
)

// deadlyPartPrefix begins the id of a part of prompts that ends each engine which runs a request with it.
const deadlyPartPrefix = "deadly"

// deadlyPartsStream is the random stream of parts of prompts that end engines.
const deadlyPartsStream = 1 << 46

// Bounds on the requests with one deadly part. Once deadlyPartThreshold engines have ended under it and
// the nodes have had deadlyAgreementTime to agree, at most maxLateDeadlyRuns more requests may be sent.
const (
	deadlyPartThreshold = 5
	deadlyPartTime      = 9 * time.Second // for which requests with one part come
	soundPartPause      = 15 * time.Millisecond
	middleParts         = 4 // parts that requests with the deadly one share with others
	// minJudgedSound is the number of sound requests from which on their share is judged, and
	// soundShareOfUsual the least share of them that is served, of that of other requests.
	minJudgedSound    = 20
	soundShareOfUsual = 0.5
)

// partRecord is what callers of requests with one deadly part, and of those beside them, saw.
type partRecord struct {
	sent    map[string]bool // whether a node in touch sent it, by request id
	sound   []soundReply
	endedAt time.Time // when the last request with the part was sent
}

// soundReply is the reply to a request beside those with a deadly part.
type soundReply struct {
	sent        time.Time
	served      bool
	undisturbed bool
}

// PartsReport summarizes the deadly parts.
type PartsReport struct {
	Parts       int `json:"parts"`
	Sent        int `json:"sent"`
	Engines     int `json:"engines_ended"`
	MostLate    int `json:"most_late"` // requests of one part, after the nodes had time to agree
	Sound       int `json:"sound"`     // requests beside them at nodes in touch, after that time
	SoundServed int `json:"sound_served"`
}

// injectDeadlyParts sends requests with deadly parts until the time is up.
func (s *soak) injectDeadlyParts(ctx context.Context) {
	kinds := []fault{{"deadly_part", 1, (*soak).sendDeadlyPart}}
	s.injectKinds(ctx, deadlyPartsStream, kinds, deadlyPartTime, deadlyPartTime+4*time.Second)
}

// sendDeadlyPart sends requests with one deadly part, and requests that share all of their other parts.
func (s *soak) sendDeadlyPart(ctx context.Context, random *rand.Rand) {
	part := s.ids.next(deadlyPartPrefix)
	ctx, cancel := context.WithTimeout(ctx, deadlyPartTime)
	defer cancel()
	pause := randomDuration(random, 40*time.Millisecond, 500*time.Millisecond)
	s.judge.addPart(part)
	var calls callGroup
	var sending sync.WaitGroup
	beside := rand.New(rand.NewPCG(s.options.Seed, random.Uint64()))
	sending.Go(func() {
		for wait.For(ctx, soundPartPause) {
			s.sendBesidePart(ctx, &calls, beside, part)
		}
	})
	for wait.For(ctx, pause) {
		s.sendWithPart(ctx, &calls, random, part)
	}
	sending.Wait()
	calls.Wait()
}

// prompt returns the parts of a request's prompt. The first is that of all requests.
func prompt(random *rand.Rand, id string, more ...string) string {
	parts := []string{"first:10", fmt.Sprintf("middle%d:4", random.IntN(middleParts))}
	return strings.Join(append(append(parts, more...), "own-"+id+":2"), ",")
}

func (s *soak) sendWithPart(ctx context.Context, calls *callGroup, random *rand.Rand, part string) {
	node, id := s.anyNode(random), s.ids.next("g")
	call := s.partCall(node, id, prompt(random, id, part+":4"))
	calls.Go(func() {
		before, sent, current := node.condition(), time.Now(), node.runsCurrentBuild()
		reply := platformtest.Send(context.WithoutCancel(ctx), call)
		s.judge.addPartReply(part, id, reply, current && s.undisturbedThroughout(node, before, sent))
	})
}

func (s *soak) sendBesidePart(ctx context.Context, calls *callGroup, random *rand.Rand, part string) {
	node, id := s.anyNode(random), s.ids.next("r")
	call := s.partCall(node, id, prompt(random, id))
	calls.Go(func() {
		before, sent, current := node.condition(), time.Now(), node.runsCurrentBuild()
		reply := platformtest.Send(context.WithoutCancel(ctx), call)
		s.judge.addAnswer(requestRecord{id: id, route: routeResumable, reply: reply, earlierBuild: !current})
		s.judge.addSound(part, soundReply{sent: sent, served: reply.Status == http.StatusOK, undisturbed: current && s.undisturbedThroughout(node, before, sent)})
	})
}

func (s *soak) partCall(node *nodeProcess, id, prompt string) platformtest.Call {
	return platformtest.Call{Node: node.callerLink.address(), Method: http.MethodPost, Path: "/" + routeResumable + "/x", ID: id, Body: "prompt of " + id, Prompt: prompt, Deadline: onlineDeadline}
}

func (j *judge) addPart(part string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.parts[part] = &partRecord{sent: make(map[string]bool)}
}

func (j *judge) addPartReply(part, id string, reply platformtest.Reply, undisturbed bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.parts[part].sent[id] = undisturbed
	j.parts[part].endedAt = time.Now()
	if reply.Err == nil && reply.Status < http.StatusMultipleChoices {
		j.recordViolationLocked("whole_answer", id, fmt.Sprintf("a request whose part ends engines got %d", reply.Status))
	}
}

func (j *judge) addSound(part string, reply soundReply) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.parts[part].sound = append(j.parts[part].sound, reply)
}

// concludeParts judges the runs of requests with deadly parts, and returns the other runs.
func (j *judge) concludeParts(runs []engineRun) []engineRun {
	j.mu.Lock()
	defer j.mu.Unlock()
	var others []engineRun
	byPart := make(map[string][]engineRun)
	partOf := make(map[string]string)
	for part, record := range j.parts {
		j.partsReport.Sent += len(record.sent)
		for id := range record.sent {
			partOf[id] = part
		}
	}
	for _, run := range runs {
		if part, found := partOf[run.run.ID]; found {
			byPart[part] = append(byPart[part], run)
		} else {
			others = append(others, run)
		}
	}
	j.partsReport.Parts = len(j.parts)
	for part, record := range j.parts {
		j.concludePart(part, record, byPart[part])
	}
	return others
}

// concludePart judges the runs of requests with one deadly part. The caller holds mu.
func (j *judge) concludePart(part string, record *partRecord, runs []engineRun) {
	slices.SortFunc(runs, func(a, b engineRun) int { return a.run.Began.Compare(b.run.Began) })
	ended, began := make(map[string]time.Time), make(map[string]time.Time)
	var ends []time.Time
	for _, run := range runs {
		if _, known := ended[run.engine]; !known {
			ended[run.engine] = run.run.Began
			ends = append(ends, run.run.Began)
		}
		if _, known := began[run.run.ID]; !known {
			began[run.run.ID] = run.run.Began
		}
	}
	j.partsReport.Engines += len(ends)
	if len(ends) == 0 {
		return
	}
	fifth := ends[min(deadlyPartThreshold, len(ends))-1]
	late := 0
	for id, at := range began {
		if len(ends) >= deadlyPartThreshold && record.sent[id] && at.Sub(fifth) > deadlyAgreementTime {
			late++
		}
	}
	j.partsReport.MostLate = max(j.partsReport.MostLate, late)
	if late > maxLateDeadlyRuns {
		j.recordViolationLocked("parts_end_few_engines", part, fmt.Sprintf("%d requests later than %v after the fifth engine, %d engines ended", late, deadlyAgreementTime, len(ends)))
	}
	j.concludeSound(part, record, fifth)
}

// concludeSound judges the share of the requests beside those with a deadly part that were served. The
// caller holds mu.
func (j *judge) concludeSound(part string, record *partRecord, fifth time.Time) {
	sound, served := 0, 0
	for _, reply := range record.sound {
		if !reply.undisturbed || reply.sent.Sub(fifth) < 2*deadlyAgreementTime || reply.sent.After(record.endedAt) {
			continue
		}
		sound++
		if reply.served {
			served++
		}
	}
	j.partsReport.Sound += sound
	j.partsReport.SoundServed += served
	if sound < minJudgedSound || j.streams.FreshInTouch == 0 {
		return
	}
	usual := float64(j.streams.FreshBegun) / float64(j.streams.FreshInTouch)
	if float64(served) < soundShareOfUsual*usual*float64(sound) {
		j.recordViolationLocked("sound_requests_are_served", part, fmt.Sprintf("%d of %d beside a part that ends engines, %.2f of others", served, sound, usual))
	}
}
