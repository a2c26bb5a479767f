package soak

import (
	"context"
	"fmt"
	"hash/fnv"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"ringstream.example/ringstream/internal/wait"
)

// staysAfter is how long after a position of a job's results was read anywhere each node in
// touch must give it.
const staysAfter = time.Second

// resultRead is one read of a job's results, from a position on, as its reader saw it.
type resultRead struct {
	node     string
	from     int
	sent     time.Time // before the call was begun
	answered time.Time // after the answer was whole
	status   int
	given    int // results, at from and the positions after it
	// inTouch: the process ran, and no fault struck it, its links or the store, from
	// quietBefore before the call was sent until the answer had come.
	inTouch bool
}

// denies says whether the answer tells that there is nothing at the position asked for.
func (r resultRead) denies() bool {
	switch r.status {
	case http.StatusOK:
		return r.given == 0
	case http.StatusNotFound, http.StatusGone:
		return true
	default: // no word about the position
		return false
	}
}

// firstRead is when and where a position was first read.
type firstRead struct {
	node     string
	answered time.Time
}

// StaysReport is what came of reads of positions that had been read before, each sent later
// than staysAfter after that.
type StaysReport struct {
	Reads            int `json:"reads"`               // that nodes in touch answered with a result or none
	Denied           int `json:"denied"`              // of these
	OutOfTouch       int `json:"out_of_touch"`        // such reads of nodes out of touch, which nothing binds
	OutOfTouchDenied int `json:"out_of_touch_denied"` // of those
	Unanswered       int `json:"unanswered"`          // another status, or no answer
}

// readAgain judges a read by what was read before it, and gives the positions that nobody
// had read before.
func (j *judge) readAgain(job *jobRecord, read resultRead) []int {
	j.mu.Lock()
	defer j.mu.Unlock()
	if first, seen := job.firstReads[read.from]; seen && read.sent.Sub(first.answered) > staysAfter {
		j.judgeStays(job, read, first)
	}
	var fresh []int
	for position := read.from; read.status == http.StatusOK && position < read.from+read.given; position++ {
		first, seen := job.firstReads[position]
		if !seen {
			fresh = append(fresh, position)
		}
		if !seen || read.answered.Before(first.answered) {
			job.firstReads[position] = firstRead{node: read.node, answered: read.answered}
		}
	}
	return fresh
}

// judgeStays counts a read of what was read before, and names a denial; the caller holds mu.
func (j *judge) judgeStays(job *jobRecord, read resultRead, first firstRead) {
	report := &j.stays
	told := read.status == http.StatusOK || read.denies()
	switch {
	case !told:
		report.Unanswered++
	case !read.inTouch:
		report.OutOfTouch++
		if read.denies() {
			report.OutOfTouchDenied++
		}
	default:
		report.Reads++
		if read.denies() {
			report.Denied++
			j.violateLocked("what_was_read_stays", job.id, fmt.Sprintf(
				"position %d: %s answered %d without a result to a read sent %v after the first read of it was answered, at %s (%s); the answer took %v",
				read.from, read.node, read.status, read.sent.Sub(first.answered), first.node, first.answered.UTC().Format(time.RFC3339Nano), read.answered.Sub(read.sent)))
		}
	}
}

// inTouchThroughout says whether a node was in touch from quietBefore before a call was sent
// until now; before is its condition when the call was sent.
func (s *soak) inTouchThroughout(node *nodeProcess, before condition, sent time.Time) bool {
	after := node.condition()
	quiet := sent.Add(-quietBefore)
	running := before.state == nodeRunning && after.state == nodeRunning && before.life == after.life
	return running && after.disturbed.Before(quiet) && s.lastStoreFault().Before(quiet)
}

// Reads of what has just been read, at other nodes.
const (
	jumpNodes = 3
	jumpLeast = staysAfter + time.Millisecond
	jumpMost  = 2500 * time.Millisecond
	jumpHold  = time.Second // what half of them allow the node to wait for a result
)

// jump reads the newest of the positions that were just read for the first time at other
// nodes, soon after the moment from which on they must give it.
func (s *soak) jump(ctx context.Context, job *jobRecord, from *nodeProcess, fresh []int) {
	if len(fresh) == 0 {
		return
	}
	position := fresh[len(fresh)-1]
	// Draws of its own, so that the readers' draws stay as they are.
	random := rand.New(rand.NewPCG(s.options.Seed, jumpStream(job.id, position)))
	for range jumpNodes {
		node := s.anyNode(random)
		after := between(random, jumpLeast, jumpMost)
		hold := time.Duration(random.IntN(2)) * jumpHold
		if node == from {
			continue
		}
		s.jumps.Go(func() {
			if wait.For(ctx, after) {
				s.readJob(ctx, job, node, position, hold)
			}
		})
	}
}

func jumpStream(job string, position int) uint64 {
	digest := fnv.New64a()
	_, _ = fmt.Fprintf(digest, "%s/%d", job, position) // a digest takes all
	return digest.Sum64()
}

// sweepNodes is at how many nodes each job is read at the end.
const sweepNodes = 8

// sweep reads the last known position of each job at some nodes, when no fault strikes any
// more: a node that missed a change for good is found by it.
func (s *soak) sweep(ctx context.Context) {
	random := rand.New(rand.NewPCG(s.options.Seed, sweepStream))
	known := s.judge.known()
	nodes := random.Perm(len(s.nodes))
	nodes = nodes[:min(sweepNodes, len(nodes))]
	atATime(asksAtATime, len(known)*len(nodes), func(number int) {
		// Each job is read at some nodes, and all nodes by some jobs.
		job, turn := number/len(nodes), number%len(nodes)
		node := s.nodes[(nodes[turn]+job)%len(s.nodes)]
		s.readJob(ctx, known[job].job, node, known[job].last, 0)
	})
}

// sweepStream tells the draws of the last reads from others.
const sweepStream = 1 << 42

// knownJob is a job that must be readable, and the last of its positions that was read.
type knownJob struct {
	job  *jobRecord
	last int
}

func (j *judge) known() []knownJob {
	j.mu.Lock()
	defer j.mu.Unlock()
	var list []knownJob
	for _, job := range j.jobs {
		if job.taken && len(job.firstReads) > 0 && time.Since(job.handed) < jobsKept {
			list = append(list, knownJob{job: job, last: slices.Max(slices.Collect(maps.Keys(job.firstReads)))})
		}
	}
	return list
}
