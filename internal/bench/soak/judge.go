package soak

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"ringstream.example/ringstream/platform/platformtest"
)

// Violation is a promise that was seen broken.
type Violation struct {
	Promise string        `json:"promise"`
	Subject string        `json:"subject"` // a request's, an item's or a job's id, or a node
	Detail  string        `json:"detail"`
	After   time.Duration `json:"after_ns"` // since the soak's start
}

// engineAttempts is how many engines a repeatable request may run on.
const engineAttempts = 2

// endedWithin is how long items of an ended job may still begin.
const endedWithin = 3 * time.Second

// requestRecord is one online request and what its caller saw.
type requestRecord struct {
	id    string
	route string
	reply platformtest.Reply
}

// jobRecord is one job and what its callers saw.
type jobRecord struct {
	id      string
	items   []string
	refused bool      // at every try, with a promise that it does not run
	taken   bool      // some try was answered 202
	handed  time.Time // when it was first handed in
	ended   time.Time
	// listed holds the results as they were first read, by position.
	listed map[int]platformtest.Result
	// firstReads holds when and where each position was first read.
	firstReads map[int]firstRead
}

// judge keeps what callers saw, and compares it with what engines ran.
type judge struct {
	started time.Time
	events  int // of each engine's answer

	mu         sync.Mutex // guards the rest
	violations []Violation
	broken     map[string]int // violations by promise, also those that are not kept
	requests   []requestRecord
	jobs       []*jobRecord
	statuses   map[string]int
	early      map[string]string // requests cut early at a planned stop
	deadly     deadlyRecords
	stays      StaysReport
	keyed      []keyedRequest
	tenants    TenantsReport
	restarts   []restart
	// firstChosen is when a node first chose an incarnation, by its name in the logs.
	firstChosen map[string]time.Time
	// restartsReport is made at the end.
	restartsReport RestartsReport
}

func newJudge(events int) *judge {
	return &judge{
		started: time.Now(), events: events, broken: make(map[string]int), statuses: make(map[string]int), early: make(map[string]string), deadly: newDeadlyRecords(),
		tenants:     TenantsReport{Statuses: make(map[string]int), Pressed: make(map[string]int)},
		firstChosen: make(map[string]time.Time),
	}
}

// mostViolations bounds what is kept of one promise in a soak that is broken through.
const mostViolations = 50

func (j *judge) violate(promise, subject, detail string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.violateLocked(promise, subject, detail)
}

func (j *judge) violateLocked(promise, subject, detail string) {
	j.broken[promise]++
	if j.broken[promise] <= mostViolations {
		j.violations = append(j.violations, Violation{Promise: promise, Subject: subject, Detail: detail, After: time.Since(j.started)})
	}
}

// isPromise says whether a status promises that the request has not run.
func isPromise(status int) bool {
	return slices.Contains([]int{http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest}, status)
}

// answered takes what the caller of an online request saw.
func (j *judge) answered(record requestRecord) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.requests = append(j.requests, record)
	j.statuses[statusName(record.reply)]++
	j.judgeAnswer(record)
}

// judgeAnswer judges an answer by itself; the caller holds mu.
func (j *judge) judgeAnswer(record requestRecord) {
	reply := record.reply
	switch {
	case reply.Err != nil:
	case strings.Contains(reply.Body, blockedCode):
		j.violateLocked("innocent_requests_are_not_blocked", record.id, fmt.Sprintf("%s: %.120q", record.route, reply.Body))
	case reply.Status == http.StatusOK && reply.Body != platformtest.Stream(record.id, j.events):
		j.violateLocked("whole_answer", record.id, fmt.Sprintf("%s: a success with another body: %.120q", record.route, reply.Body))
	case record.route == platformtest.RouteKeyed: // its status depends on the key
	case reply.Status >= http.StatusBadRequest && reply.Status < http.StatusInternalServerError && !isPromise(reply.Status):
		j.violateLocked("proper_requests_are_served", record.id, fmt.Sprintf("%s: status %d: %.120q", record.route, reply.Status, reply.Body))
	}
}

// cut takes that a planned stop cut a request; one that was cut early counts
// only if an engine got it.
func (j *judge) cut(id string, late bool, detail string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if late {
		j.violateLocked("planned_stop_cuts_nothing", id, detail)
		return
	}
	j.early[id] = detail
}

func statusName(reply platformtest.Reply) string {
	if reply.Err != nil {
		return "broken"
	}
	return fmt.Sprint(reply.Status)
}

// add keeps a job.
func (j *judge) add(job *jobRecord) {
	j.mu.Lock()
	defer j.mu.Unlock()
	job.listed = make(map[int]platformtest.Result)
	job.firstReads = make(map[int]firstRead)
	job.handed = time.Now()
	j.jobs = append(j.jobs, job)
}

// read takes what a reader of a taken job saw, from a position on.
func (j *judge) read(job *jobRecord, from int, results platformtest.Results) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if results.Total != len(job.items) {
		j.violateLocked("total_is_right", job.id, fmt.Sprintf("%d of %d", results.Total, len(job.items)))
	}
	for offset, result := range results.Results {
		j.readOne(job, from+offset, result)
	}
}

func (j *judge) readOne(job *jobRecord, position int, result platformtest.Result) {
	known, seen := job.listed[position]
	if seen && known != result {
		j.violateLocked("results_do_not_change", job.id, fmt.Sprintf("position %d: %+v, before %+v", position, result, known))
	}
	job.listed[position] = result
	for other, earlier := range job.listed {
		if other != position && earlier.ID == result.ID {
			j.violateLocked("listed_once", result.ID, fmt.Sprintf("positions %d and %d", other, position))
		}
	}
	if !slices.Contains(job.items, result.ID) {
		j.violateLocked("own_items_only", result.ID, job.id)
	}
	if result.Succeeded() && result.Text != j.text(result.ID) {
		j.violateLocked("whole_text", result.ID, fmt.Sprintf("%.120q", result.Text))
	}
}

func (j *judge) text(item string) string {
	var lines []string
	for event := 1; event <= j.events; event++ {
		lines = append(lines, fmt.Sprintf("%s:%d", item, event))
	}
	return strings.Join(lines, "\n")
}

// engineRun is one run, and where.
type engineRun struct {
	engine string
	run    platformtest.Run
}

// conclude compares what callers saw with the engines' runs, and asks that
// each job that was taken and not ended is done.
func (j *judge) conclude(runs []engineRun) {
	byID := make(map[string][]engineRun)
	for _, run := range runs {
		byID[run.run.ID] = append(byID[run.run.ID], run)
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, request := range j.requests {
		j.concludeRequest(request, byID[request.id])
		delete(byID, request.id)
	}
	for _, job := range j.jobs {
		j.concludeJob(job, byID)
	}
	for id := range byID {
		j.violateLocked("nothing_runs_unasked", id, byID[id][0].engine)
	}
}

func (j *judge) concludeRequest(request requestRecord, runs []engineRun) {
	repeatable := request.route == routeSafe || request.route == routeResumable
	if !repeatable && len(runs) > 1 {
		j.violateLocked("at_most_once", request.id, fmt.Sprintf("%s ran %d times", request.route, len(runs)))
	}
	if !repeatable && request.reply.Err == nil && isPromise(request.reply.Status) && len(runs) > 0 {
		j.violateLocked("not_run_is_true", request.id, fmt.Sprintf("%s answered %d and ran at %s", request.route, request.reply.Status, runs[0].engine))
	}
	if detail, early := j.early[request.id]; early && len(runs) > 0 {
		j.violateLocked("planned_stop_cuts_nothing", request.id, detail)
	}
	engines := make(map[string]bool)
	for _, run := range runs {
		engines[run.engine] = true
	}
	if len(engines) > engineAttempts {
		j.violateLocked("attempts_are_bounded", request.id, fmt.Sprintf("%d engines", len(engines)))
	}
}

func (j *judge) concludeJob(job *jobRecord, byID map[string][]engineRun) {
	done := 0
	for _, result := range job.listed {
		if result.Succeeded() {
			done++
		}
	}
	if job.taken && job.ended.IsZero() && done < len(job.items) {
		j.violateLocked("taken_jobs_are_done", job.id, fmt.Sprintf("%d of %d items", done, len(job.items)))
	}
	for _, item := range job.items {
		for _, run := range byID[item] {
			switch {
			case job.refused:
				j.violateLocked("not_run_is_true", item, "its job was refused at every try, and it ran at "+run.engine)
			case !job.ended.IsZero() && run.run.Began.Sub(job.ended) > endedWithin:
				j.violateLocked("ended_jobs_stop", item, fmt.Sprintf("ran %v after the end", run.run.Began.Sub(job.ended)))
			}
		}
		delete(byID, item)
	}
}

// undone gives the taken jobs that are not done and must be readable.
func (j *judge) undone() []*jobRecord {
	j.mu.Lock()
	defer j.mu.Unlock()
	var list []*jobRecord
	for _, job := range j.jobs {
		if job.taken && job.ended.IsZero() && len(job.listed) < len(job.items) && time.Since(job.handed) < jobsKept {
			list = append(list, job)
		}
	}
	return list
}

// jobsKept is how long after it was handed in a job must be readable, less a
// margin.
const jobsKept = 110 * time.Second

// pick gives a taken job that must be readable, by a number; nil when there is
// none.
func (j *judge) pick(number int) *jobRecord {
	j.mu.Lock()
	defer j.mu.Unlock()
	var taken []*jobRecord
	for _, job := range j.jobs {
		if job.taken && time.Since(job.handed) < jobsKept {
			taken = append(taken, job)
		}
	}
	if len(taken) == 0 {
		return nil
	}
	return taken[number%len(taken)]
}
