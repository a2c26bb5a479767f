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

// The routes that callers use beside the job route.
const (
	routeSafe      = "safe"
	routeUnsafe    = "unsafe"
	routeResumable = "resumable"
	routeOnce      = "once"
)

var onlineRoutes = []string{routeSafe, routeUnsafe, routeResumable, routeOnce}

const (
	onlineDeadline = 6 * time.Second
	callerPause    = 15 * time.Millisecond
	jobPause       = 250 * time.Millisecond
	readPause      = 40 * time.Millisecond
	probePause     = 120 * time.Millisecond
	jobTries       = 6
	jobItems       = 4
	endShare       = 5 // one job of so many is ended
)

// numbers gives unlike ids.
type numbers struct{ last atomic.Int64 }

func (n *numbers) next(prefix string) string { return fmt.Sprintf("%s-%d", prefix, n.last.Add(1)) }

// callOnKept sends online requests as call does, and keeps its connections open until the
// process at their end is gone.
func (s *soak) callOnKept(ctx context.Context, random *rand.Rand) {
	kept := &http.Transport{DisableCompression: true}
	defer kept.CloseIdleConnections()
	s.callBy(ctx, random, kept)
}

// call sends online requests, one after another.
func (s *soak) call(ctx context.Context, random *rand.Rand) { s.callBy(ctx, random, nil) }

func (s *soak) callBy(ctx context.Context, random *rand.Rand, kept *http.Transport) {
	for wait.For(ctx, callerPause) {
		node := s.nodes[random.IntN(len(s.nodes))]
		route := onlineRoutes[random.IntN(len(onlineRoutes))]
		id := s.ids.next("r")
		s.judgePlannedStop(node, id, func() platformtest.Reply {
			// A caller outlives the soak's end: what it asked is judged too.
			reply := platformtest.Send(context.WithoutCancel(ctx), platformtest.Call{
				Node: node.link.address(), Method: http.MethodPost, Path: "/" + route + "/x", ID: id, Body: "prompt of " + id, Deadline: onlineDeadline, Keep: kept,
			})
			s.judge.answered(requestRecord{id: id, route: route, reply: reply})
			return reply
		})
	}
}

// quietBefore is how long before a request no fault may have struck for a
// planned stop to be judged by it.
const quietBefore = 4 * time.Second

// lossSlack is how long after a request was sent its connection may still end
// without an answer, when no engine has got it: the process need not have read
// it yet.
const lossSlack = 200 * time.Millisecond

// judgePlannedStop makes a call; one that a planned stop cut, with no fault
// near it, breaks a promise.
func (s *soak) judgePlannedStop(node *nodeProcess, id string, send func() platformtest.Reply) {
	before := node.condition()
	begun := time.Now()
	reply := send()
	after := node.condition()
	if reply.Err == nil || !reply.Sent || before.state == nodeDead {
		return
	}
	quiet := begun.Add(-quietBefore)
	// The process's own end notes itself as a disturbance.
	calm := before.disturbed.Before(quiet) && s.lastFault().Before(quiet) && after.life == before.life
	planned := after.stopping.After(begun.Add(-stopGrace))
	if calm && planned {
		elapsed := time.Since(begun)
		s.judge.cut(id, elapsed > lossSlack, fmt.Sprintf("%s: %v after %v", node.name, reply.Err, elapsed))
	}
}

// handIn sends jobs, each until a node takes it or the tries are used.
func (s *soak) handIn(ctx context.Context, random *rand.Rand) {
	for wait.For(ctx, jobPause) {
		job := &jobRecord{id: s.ids.next("j"), refused: true}
		for range 1 + random.IntN(jobItems) {
			job.items = append(job.items, s.ids.next("i"))
		}
		s.judge.add(job)
		s.tryJob(ctx, job, random)
		if random.IntN(endShare) == 0 {
			s.endJob(ctx, job, random)
		}
	}
}

func (s *soak) tryJob(ctx context.Context, job *jobRecord, random *rand.Rand) {
	for range jobTries {
		node := s.nodes[random.IntN(len(s.nodes))]
		reply := platformtest.Send(ctx, platformtest.HandIn(node.link.address(), job.id, job.items))
		s.judge.mu.Lock()
		job.taken = job.taken || (reply.Err == nil && reply.Status == http.StatusAccepted)
		job.refused = job.refused && (reply.Err == nil && isPromise(reply.Status) || reply.Err != nil && !reply.Sent)
		taken := job.taken
		s.judge.mu.Unlock()
		if taken || !wait.For(ctx, jobPause) {
			return
		}
	}
}

func (s *soak) endJob(ctx context.Context, job *jobRecord, random *rand.Rand) {
	wait.For(ctx, time.Duration(random.IntN(400))*time.Millisecond)
	for range jobTries {
		node := s.nodes[random.IntN(len(s.nodes))]
		reply := platformtest.Send(ctx, platformtest.End(node.link.address(), job.id))
		if reply.Err == nil && reply.Status == http.StatusOK {
			s.judge.mu.Lock()
			job.ended = time.Now()
			s.judge.mu.Unlock()
			return
		}
		s.judge.mu.Lock()
		job.ended = time.Now().Add(time.Hour) // it may have ended: nothing is owed, and nothing is over
		s.judge.mu.Unlock()
	}
}

// settled is how long after a job was taken all nodes must know it.
const settled = time.Second

// read looks at jobs all the time, at any node and from any position.
func (s *soak) read(ctx context.Context, random *rand.Rand) {
	for wait.For(ctx, readPause) {
		if job := s.judge.pick(random.IntN(1 << 30)); job != nil {
			s.readJob(ctx, job, s.nodes[random.IntN(len(s.nodes))], random.IntN(jobItems+1)*random.IntN(2), 0)
		}
	}
}

// readJob reads a job at a node from a position on, and has what it gives for the first time
// read at other nodes. The node may hold the answer until there is a result.
func (s *soak) readJob(ctx context.Context, job *jobRecord, node *nodeProcess, from int, hold time.Duration) {
	before := node.condition()
	sent := time.Now()
	call := platformtest.Read(node.link.address(), job.id, from)
	call.Wait = hold
	reply := platformtest.Send(ctx, call)
	read := resultRead{node: node.name, from: from, sent: sent, answered: time.Now(), inTouch: s.inTouchThroughout(node, before, sent)}
	var results platformtest.Results
	if reply.Err == nil {
		read.status = reply.Status
	}
	switch read.status {
	case http.StatusOK:
		if err := json.Unmarshal([]byte(reply.Body), &results); err != nil {
			s.judge.violate("whole_answer", job.id, fmt.Sprintf("results are no document: %v", err))
			return
		}
		read.given = len(results.Results)
		s.judge.read(job, from, results)
	case http.StatusNotFound, http.StatusGone:
		s.judge.violate("taken_jobs_are_found", job.id, fmt.Sprintf("%s answered %d", node.name, reply.Status))
	}
	s.jump(ctx, job, node, s.judge.readAgain(job, read))
}

// probe asks a node for the route that the newest version added: once it has
// been seen there, it stays for the life of the process, and it is there in
// time where no fault struck.
func (s *soak) probe(ctx context.Context, node *nodeProcess) {
	seen := make(map[int]int) // newest version seen, by life
	for wait.For(ctx, probePause) {
		version, written := s.newest()
		before := node.condition()
		begun := time.Now()
		reply := platformtest.Send(ctx, platformtest.Call{
			Node: node.front, Method: http.MethodPost, Path: "/" + platformtest.ProbeRoute(version) + "/x", ID: s.ids.next("p"), Body: "probe", Deadline: time.Second,
		})
		after := node.condition()
		newest, _ := s.newest()
		if reply.Err != nil || before.life != after.life || newest != version {
			continue
		}
		life := before.life
		if reply.Status != http.StatusNotFound {
			if reply.Status == http.StatusOK {
				seen[life] = version
			}
			continue
		}
		if seen[life] >= version {
			s.judge.violate("configuration_does_not_go_back", node.name, fmt.Sprintf("life %d: version %d", life, version))
		}
		quiet := begun.Add(-quietBefore)
		if begun.Sub(written) > inForce && before.disturbed.Before(quiet) && s.lastFault().Before(quiet) {
			s.judge.violate("configuration_in_force", node.name, fmt.Sprintf("version %d after %v", version, begun.Sub(written)))
		}
	}
}

// inForce is how long a version may take to be in force.
const inForce = 2 * time.Second
