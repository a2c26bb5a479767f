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
	"ringstream.example/ringstream/platform/platformtest"
)

// visibilityBound is how long after the first read of a position of a job's results every
// undisturbed node must return that position.
const visibilityBound = time.Second

// resultRead is one read of a job's results, starting at a position, as the reader saw it.
type resultRead struct {
	node        string
	life        int // of the node's process throughout; 0 if it ended meanwhile
	from        int
	sent        time.Time // before the call started
	answered    time.Time // after the whole answer was received
	status      int
	resultCount int // number of results, at from and the following positions
	// undisturbed is true if the process was running and no fault affected it, its links or the
	// store, from quietPeriod before the call was sent until the answer was received.
	undisturbed bool
}

// reportsNoResult reports whether the answer says that there is no result at the requested
// position.
func (r resultRead) reportsNoResult() bool {
	switch r.status {
	case http.StatusOK:
		return r.resultCount == 0
	case http.StatusNotFound, http.StatusGone:
		return true
	default: // the answer says nothing about the position
		return false
	}
}

// firstRead is when and where a position was first read.
type firstRead struct {
	node     string
	answered time.Time
}

// RereadsReport counts the reads of positions that had been read before. It includes only reads
// sent more than visibilityBound after the first read was answered.
type RereadsReport struct {
	Reads            int `json:"reads"`               // conclusive answers of undisturbed nodes
	Denied           int `json:"denied"`              // those of Reads without a result
	OutOfTouch       int `json:"out_of_touch"`        // conclusive answers of disturbed nodes, to which the promise does not apply
	OutOfTouchDenied int `json:"out_of_touch_denied"` // those of OutOfTouch without a result
	Unanswered       int `json:"unanswered"`          // another status, or no answer
}

// recordRead judges a read by the earlier reads of the job, and returns the positions that nobody
// had read before.
func (j *judge) recordRead(job *jobRecord, read resultRead) []int {
	j.mu.Lock()
	defer j.mu.Unlock()
	if first, seen := job.firstReads[read.from]; seen && read.sent.Sub(first.answered) > visibilityBound {
		j.judgeReread(job, read, first)
	}
	j.judgeRepeatedRead(job, read)
	var newPositions []int
	for position := read.from; read.status == http.StatusOK && position < read.from+read.resultCount; position++ {
		first, seen := job.firstReads[position]
		if !seen {
			newPositions = append(newPositions, position)
		}
		if !seen || read.answered.Before(first.answered) {
			job.firstReads[position] = firstRead{node: read.node, answered: read.answered}
		}
	}
	return newPositions
}

// judgeNext judges the position at which an answer to a read from a position on says to go on.
func (j *judge) judgeNext(job *jobRecord, from int, results platformtest.Results) {
	if results.Next != from+len(results.Results) {
		j.recordViolation("next_position_is_right", job.id, fmt.Sprintf("%d after %d results from %d on", results.Next, len(results.Results), from))
	}
}

// nodeLife is one life of a node's process.
type nodeLife struct {
	node string
	life int
}

// listedRead is the number of a job's results that a read has shown, and when it was answered.
type listedRead struct {
	count    int
	answered time.Time
}

// judgeRepeatedRead judges a read by the former ones of the same job at the same life of a node's process, which
// must not show more. The caller holds mu.
func (j *judge) judgeRepeatedRead(job *jobRecord, read resultRead) {
	if read.status != http.StatusOK || read.life == 0 {
		return
	}
	at, shown := nodeLife{read.node, read.life}, read.from+read.resultCount
	former := job.listed[at]
	if shown < former.count && read.from < former.count && read.sent.After(former.answered) {
		j.recordViolationLocked("listed_results_do_not_go_back", job.id, fmt.Sprintf("%s, life %d: %d results in a read sent %v after one with %d was answered", read.node, read.life, shown, read.sent.Sub(former.answered), former.count))
	}
	if read.resultCount > 0 && shown > former.count { // a read from behind the last result shows none of them
		job.listed[at] = listedRead{count: shown, answered: read.answered}
	}
}

// judgeReread counts a read of a position that had been read before, and records a violation if its
// result is missing. The caller holds mu.
func (j *judge) judgeReread(job *jobRecord, read resultRead, first firstRead) {
	report := &j.rereads
	conclusive := read.status == http.StatusOK || read.reportsNoResult()
	switch {
	case !conclusive:
		report.Unanswered++
	case !read.undisturbed:
		report.OutOfTouch++
		if read.reportsNoResult() {
			report.OutOfTouchDenied++
		}
	default:
		report.Reads++
		if read.reportsNoResult() {
			report.Denied++
			j.recordViolationLocked("what_was_read_stays", job.id, fmt.Sprintf(
				"position %d: %s answered %d without a result to a read sent %v after the first read of it was answered, at %s (%s); the answer took %v",
				read.from, read.node, read.status, read.sent.Sub(first.answered), first.node, first.answered.UTC().Format(time.RFC3339Nano), read.answered.Sub(read.sent)))
		}
	}
}

// undisturbedThroughout reports whether a node was undisturbed from quietPeriod before a call was
// sent until now. The argument before is the node's condition when the call was sent.
func (s *soak) undisturbedThroughout(node *nodeProcess, before condition, sent time.Time) bool {
	after := node.condition()
	quiet := sent.Add(-quietPeriod)
	running := before.state == nodeRunning && after.state == nodeRunning && before.incarnation == after.incarnation
	return running && after.disturbed.Before(quiet) && s.lastStoreFault().Before(quiet)
}

// Parameters of the additional reads, at other nodes, of results that were just read.
const (
	rereadNodes    = 3
	rereadMinDelay = visibilityBound + time.Millisecond
	rereadMaxDelay = 2500 * time.Millisecond
	rereadHold     = time.Second // how long half of the reads allow the node to wait for a result
)

// rereadElsewhere schedules reads of the newest position that was just read for the first time. The
// reads go to other nodes, soon after visibilityBound has passed.
func (s *soak) rereadElsewhere(ctx context.Context, job *jobRecord, from *nodeProcess, newPositions []int) {
	if len(newPositions) == 0 {
		return
	}
	position := newPositions[len(newPositions)-1]
	// A separate generator keeps the draws of the readers unchanged.
	random := rand.New(rand.NewPCG(s.options.Seed, rereadStream(job.id, position)))
	for range rereadNodes {
		node := s.anyNode(random)
		after := randomDuration(random, rereadMinDelay, rereadMaxDelay)
		hold := time.Duration(random.IntN(2)) * rereadHold
		if node == from {
			continue
		}
		s.rereads.Go(func() {
			if wait.For(ctx, after) {
				s.readJob(ctx, job, node, position, hold)
			}
		})
	}
}

func rereadStream(job string, position int) uint64 {
	digest := fnv.New64a()
	_, _ = fmt.Fprintf(digest, "%s/%d", job, position) // writing to a hash never fails
	return digest.Sum64()
}

// sweepNodes is the number of nodes at which each job is read at the end.
const sweepNodes = 8

// sweep reads the last known position of each job at some nodes, after the last fault. It finds
// nodes that missed a change for good.
func (s *soak) sweep(ctx context.Context) {
	random := rand.New(rand.NewPCG(s.options.Seed, sweepStream))
	known := s.judge.readableJobs()
	nodes := random.Perm(len(s.nodes))
	nodes = nodes[:min(sweepNodes, len(nodes))]
	runConcurrently(maxConcurrentProbes, len(known)*len(nodes), func(number int) {
		// Each job is read at some of the nodes, and each node reads some of the jobs.
		job, turn := number/len(nodes), number%len(nodes)
		node := s.nodes[(nodes[turn]+job)%len(s.nodes)]
		s.readJob(ctx, known[job].job, node, known[job].lastPosition, 0)
	})
}

// sweepStream is the random stream of the final reads.
const sweepStream = 1 << 42

// readableJob is a job that must be readable, and the last of its positions that was read.
type readableJob struct {
	job          *jobRecord
	lastPosition int
}

func (j *judge) readableJobs() []readableJob {
	j.mu.Lock()
	defer j.mu.Unlock()
	var list []readableJob
	for _, job := range j.jobs {
		if job.accepted && len(job.firstReads) > 0 && time.Since(job.submitted) < jobRetention {
			list = append(list, readableJob{job: job, lastPosition: slices.Max(slices.Collect(maps.Keys(job.firstReads)))})
		}
	}
	return list
}
