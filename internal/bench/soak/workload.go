package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"ringstream.example/ringstream/internal/wait"
	"ringstream.example/ringstream/platform/platformtest"
)

// The routes that callers use besides the job route.
const (
	routeSafe      = "safe"
	routeUnsafe    = "unsafe"
	routeResumable = "resumable"
	routeOnce      = "once"
)

var onlineRoutes = []string{routeSafe, routeUnsafe, routeResumable, routeOnce, routeHandover}

const (
	onlineDeadline = 6 * time.Second
	callerPause    = 15 * time.Millisecond
	jobPause       = 250 * time.Millisecond
	readPause      = 40 * time.Millisecond
	probePause     = 120 * time.Millisecond
	maxJobTries    = 6
	maxJobItems    = 4
	jobEndInterval = 5 // one job in this many is ended
	// One item in longItemInterval has longItemFactor times the events, so that its text is saved several times
	// while it runs. Its id has longItemPrefix.
	longItemInterval = 16
	longItemFactor   = 60
	longItemPrefix   = "l-"
)

// idGenerator generates unique ids.
type idGenerator struct{ last atomic.Int64 }

func (n *idGenerator) next(prefix string) string { return fmt.Sprintf("%s-%d", prefix, n.last.Add(1)) }

// callKeepAlive sends online requests as call does, and keeps its connections open until the
// process at the other end is gone.
func (s *soak) callKeepAlive(ctx context.Context, random *rand.Rand) {
	transport := &http.Transport{DisableCompression: true}
	defer transport.CloseIdleConnections()
	s.callOver(ctx, random, transport)
}

// call sends online requests, one after another, each on a new connection.
func (s *soak) call(ctx context.Context, random *rand.Rand) { s.callOver(ctx, random, nil) }

func (s *soak) callOver(ctx context.Context, random *rand.Rand, transport *http.Transport) {
	for wait.For(ctx, callerPause) {
		node := s.pickNode(random, transport == nil)
		route := onlineRoutes[random.IntN(len(onlineRoutes))]
		id := s.ids.next("r")
		before, sent, current := node.condition(), time.Now(), node.runsCurrentBuild()
		var record requestRecord
		s.judgePlannedStop(node, id, func() platformtest.Reply {
			// The call continues after the end of the soak, so that its outcome is judged too.
			reply := platformtest.Send(context.WithoutCancel(ctx), platformtest.Call{
				Node: node.callerLink.address(), Method: http.MethodPost, Path: "/" + route + "/x", ID: id, Body: "prompt of " + id, Deadline: onlineDeadline, Transport: transport,
			})
			record = requestRecord{id: id, route: route, reply: reply, earlierBuild: !current}
			s.judge.addAnswer(record)
			s.judgeConcentration(node, record, before, sent)
			if route == routeHandover {
				s.judge.addFresh(reply, s.undisturbedThroughout(node, before, sent))
			}
			return reply
		})
		if brokeOff(record.reply) && (route == routeResumable || route == routeHandover) {
			s.takeUp(ctx, random, record)
		}
	}
}

// quietPeriod is how long before a request no fault may have happened for the request to be judged
// against a planned stop or a node's promises.
const quietPeriod = 4 * time.Second

// unreadSlack is how long after a request was sent its connection may still end without an answer
// if no engine received the request, because the process may not have read it yet.
const unreadSlack = 200 * time.Millisecond

// judgePlannedStop makes a call, and records a cut if a planned stop ended the call without an
// answer and no fault was near.
func (s *soak) judgePlannedStop(node *nodeProcess, id string, send func() platformtest.Reply) {
	before := node.condition()
	begun := time.Now()
	reply := send()
	after := node.condition()
	if reply.Err == nil || !reply.Sent || before.state == nodeDead {
		return
	}
	quiet := begun.Add(-quietPeriod)
	// The end of the process is itself recorded as a disturbance.
	calm := before.disturbed.Before(quiet) && s.lastFault().Before(quiet) && after.incarnation == before.incarnation
	planned := after.stopSentAt.After(begun.Add(-stopTimeout))
	if calm && planned {
		elapsed := time.Since(begun)
		s.judge.addCut(id, elapsed > unreadSlack, fmt.Sprintf("%s: %v after %v", node.name, reply.Err, elapsed))
	}
}

// submitJobs submits jobs, each until a node accepts it or the tries are used up.
func (s *soak) submitJobs(ctx context.Context, random *rand.Rand) {
	for wait.For(ctx, jobPause) {
		job := &jobRecord{id: s.ids.next("j"), refused: true}
		for range 1 + random.IntN(maxJobItems) {
			prefix := "i"
			if random.IntN(longItemInterval) == 0 {
				prefix = "l"
			}
			job.items = append(job.items, s.ids.next(prefix))
		}
		s.judge.addJob(job)
		s.submitJob(ctx, job, random)
		if random.IntN(jobEndInterval) == 0 {
			s.endJob(ctx, job, random)
		}
	}
}

func (s *soak) submitJob(ctx context.Context, job *jobRecord, random *rand.Rand) {
	for range maxJobTries {
		node := s.nodes[random.IntN(len(s.nodes))]
		reply := platformtest.Send(ctx, platformtest.SubmitItems(node.callerLink.address(), job.id, s.itemsOf(job)))
		s.judge.mu.Lock()
		job.accepted = job.accepted || (reply.Err == nil && reply.Status == http.StatusAccepted)
		job.refused = job.refused && (reply.Err == nil && promisesNotRun(reply.Status) || reply.Err != nil && !reply.Sent)
		accepted := job.accepted
		s.judge.mu.Unlock()
		if accepted || !wait.For(ctx, jobPause) {
			return
		}
	}
}

// itemsOf returns a job's items as they are submitted.
func (s *soak) itemsOf(job *jobRecord) []platformtest.Item {
	var items []platformtest.Item
	for _, id := range job.items {
		items = append(items, platformtest.Item{ID: id, Body: "prompt of " + id, Events: s.judge.eventsOf(id)})
	}
	return items
}

func (s *soak) endJob(ctx context.Context, job *jobRecord, random *rand.Rand) {
	wait.For(ctx, time.Duration(random.IntN(400))*time.Millisecond)
	for range maxJobTries {
		node := s.nodes[random.IntN(len(s.nodes))]
		reply := platformtest.Send(ctx, platformtest.CancelJob(node.callerLink.address(), job.id))
		if reply.Err == nil && reply.Status == http.StatusOK {
			s.judge.mu.Lock()
			job.ended = time.Now()
			s.judge.mu.Unlock()
			return
		}
		s.judge.mu.Lock()
		job.ended = time.Now().Add(time.Hour) // it may have ended: it need not be done, and its items may still run
		s.judge.mu.Unlock()
	}
}

// settleTime is how long after a job was accepted all nodes must know it.
const settleTime = time.Second

// readJobs continually reads jobs at random nodes, from the start or from a random position.
func (s *soak) readJobs(ctx context.Context, random *rand.Rand) {
	for wait.For(ctx, readPause) {
		if job := s.judge.pickJob(random.IntN(1 << 30)); job != nil {
			s.readJob(ctx, job, s.nodes[random.IntN(len(s.nodes))], random.IntN(maxJobItems+1)*random.IntN(2), 0)
		}
	}
}

// readJob reads a job at a node from a position on, and schedules reads at other nodes of what it
// returns for the first time. The node may hold the answer for the given time until there is a
// result.
func (s *soak) readJob(ctx context.Context, job *jobRecord, node *nodeProcess, from int, hold time.Duration) {
	before := node.condition()
	sent := time.Now()
	call := platformtest.ReadResults(node.callerLink.address(), job.id, from)
	call.Wait = hold
	reply := platformtest.Send(ctx, call)
	read := resultRead{node: node.name, from: from, sent: sent, answered: time.Now(), undisturbed: s.undisturbedThroughout(node, before, sent)}
	if node.condition().incarnation == before.incarnation {
		read.life = before.incarnation
	}
	var results platformtest.Results
	if reply.Err == nil {
		read.status = reply.Status
	}
	switch read.status {
	case http.StatusOK:
		if err := json.Unmarshal([]byte(reply.Body), &results); err != nil {
			s.judge.recordViolation("whole_answer", job.id, fmt.Sprintf("results are no document: %v", err))
			return
		}
		read.resultCount = len(results.Results)
		s.judge.judgeNext(job, from, results)
		s.judge.addResults(job, from, results)
	case http.StatusNotFound, http.StatusGone:
		s.judge.recordViolation("taken_jobs_are_found", job.id, fmt.Sprintf("%s answered %d", node.name, reply.Status))
	}
	s.rereadElsewhere(ctx, job, node, s.judge.recordRead(job, read))
}

// probeConfiguration calls the route that the newest version added. Once the route was seen, it
// must stay for the incarnation of the process. It must also be in force in time if no fault
// happened.
func (s *soak) probeConfiguration(ctx context.Context, node *nodeProcess) {
	seen := make(map[int]int) // newest version seen, by incarnation
	for wait.For(ctx, probePause) {
		version, written := s.newestVersion()
		before := node.condition()
		begun := time.Now()
		reply := platformtest.Send(ctx, platformtest.Call{
			Node: node.callerAddress, Method: http.MethodPost, Path: "/" + platformtest.ProbeRoute(version) + "/x", ID: s.ids.next("p"), Body: "probe", Deadline: time.Second,
		})
		after := node.condition()
		newest, _ := s.newestVersion()
		if reply.Err != nil || before.incarnation != after.incarnation || newest != version {
			continue
		}
		life := before.incarnation
		if reply.Status != http.StatusNotFound {
			if reply.Status == http.StatusOK {
				seen[life] = version
			}
			continue
		}
		if seen[life] >= version {
			s.judge.recordViolation("configuration_does_not_go_back", node.name, fmt.Sprintf("life %d: version %d", life, version))
		}
		quiet := begun.Add(-quietPeriod)
		if begun.Sub(written) > configurationBound && before.disturbed.Before(quiet) && s.lastFault().Before(quiet) {
			s.judge.recordViolation("configuration_in_force", node.name, fmt.Sprintf("version %d after %v", version, begun.Sub(written)))
		}
	}
}

// configurationBound is how long a version may take to be in force on undisturbed nodes.
const configurationBound = 2 * time.Second
