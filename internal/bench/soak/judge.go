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

// Violation is an observed breach of a promise.
type Violation struct {
	Promise string        `json:"promise"`
	Subject string        `json:"subject"` // id of a request, item or job, or name of a node
	Detail  string        `json:"detail"`
	After   time.Duration `json:"after_ns"` // time since the start of the soak
}

// maxEngineAttempts is the number of engines on which a repeatable request may run.
const maxEngineAttempts = 2

// jobEndBound is how long after the end of a job its items may still begin.
const jobEndBound = 3 * time.Second

// requestRecord is one online request and the reply that its caller saw.
type requestRecord struct {
	id    string
	route string
	reply platformtest.Reply
	after int // the last event that the caller had before it took the stream up; 0 for a new request
	// earlierBuild reports that the node ran an earlier build than the one under test.
	earlierBuild bool
}

// jobRecord is one job and what its callers saw.
type jobRecord struct {
	id        string
	items     []string
	refused   bool      // every try was refused with the promise that the job does not run
	accepted  bool      // some try was answered with status 202
	submitted time.Time // when it was first submitted
	ended     time.Time
	// results holds the last result read at each position.
	results map[int]platformtest.Result
	// firstReads holds when and where each position was first read.
	firstReads map[int]firstRead
	// listed holds the most results that each life of a node's process has shown.
	listed map[nodeLife]listedRead
}

// judge records what callers saw, and compares it with what engines ran.
type judge struct {
	started time.Time
	events  int // in each engine's answer
	// judgeItemVersions is false while nodes of an earlier build run items at any version.
	judgeItemVersions bool
	// judgeWriters is true if the engines sign their events.
	judgeWriters bool

	mu              sync.Mutex // guards the rest
	violations      []Violation
	violationCounts map[string]int // by promise, including the violations that are not kept
	requests        []requestRecord
	jobs            []*jobRecord
	statuses        map[string]int
	cutEarly        map[string]string // details of the requests that a planned stop cut early, by request id
	deadly          deadlyRecords
	rereads         RereadsReport
	keyedRequests   []keyedRequest
	tenants         TenantsReport
	restarts        []engineRestart
	// firstChosen holds when a node first chose an incarnation, by the incarnation's name in the
	// logs.
	firstChosen map[string]time.Time
	// restartsReport is filled in at the end.
	restartsReport RestartsReport
	streams        StreamsReport
	parts          map[string]*partRecord // by id
	partsReport    PartsReport
	concentration  ConcentrationReport
	framing        FramingReport
}

func newJudge(events int) *judge {
	return &judge{
		started: time.Now(), events: events, violationCounts: make(map[string]int), statuses: make(map[string]int), cutEarly: make(map[string]string), deadly: newDeadlyRecords(),
		tenants:     TenantsReport{Statuses: make(map[string]int), PressedStatuses: make(map[string]int)},
		firstChosen: make(map[string]time.Time),
		streams:     StreamsReport{TakenUp: make(map[string]int)},
		parts:       make(map[string]*partRecord),
	}
}

// maxViolationsKept bounds the violations kept of each promise, so that one promise broken many
// times does not fill the report.
const maxViolationsKept = 50

func (j *judge) recordViolation(promise, subject, detail string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.recordViolationLocked(promise, subject, detail)
}

func (j *judge) recordViolationLocked(promise, subject, detail string) {
	j.violationCounts[promise]++
	if j.violationCounts[promise] <= maxViolationsKept {
		j.violations = append(j.violations, Violation{Promise: promise, Subject: subject, Detail: detail, After: time.Since(j.started)})
	}
}

// promisesNotRun reports whether a status promises that the request has not run.
func promisesNotRun(status int) bool {
	return slices.Contains([]int{http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest}, status)
}

// addAnswer records and judges the reply to an online request.
func (j *judge) addAnswer(record requestRecord) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.requests = append(j.requests, record)
	j.statuses[statusName(record.reply)]++
	j.judgeAnswer(record)
}

// judgeAnswer judges a reply by itself. The caller holds mu.
func (j *judge) judgeAnswer(record requestRecord) {
	reply := record.reply
	body, versions := platformtest.SplitSoftware(platformtest.WithoutWriters(reply.Body))
	if len(versions) > 1 && !record.earlierBuild {
		j.recordViolationLocked("streams_keep_their_version", record.id, fmt.Sprintf("%s: events of %v in one answer", record.route, versions))
	}
	switch {
	case reply.Err != nil:
	case strings.Contains(reply.Body, blockedCode):
		j.recordViolationLocked("innocent_requests_are_not_blocked", record.id, fmt.Sprintf("%s: %.120q", record.route, reply.Body))
	case reply.Status == http.StatusOK && body != platformtest.StreamAfter(record.id, record.after, j.eventsOf(record.id)):
		j.recordViolationLocked("whole_answer", record.id, fmt.Sprintf("%s: a success with another body: %s", record.route, describeEvents(streamEvents(reply.Body), reply.Body)))
	case record.route == platformtest.RouteKeyed: // the expected status depends on the key
	case reply.Status >= http.StatusBadRequest && reply.Status < http.StatusInternalServerError && !promisesNotRun(reply.Status):
		j.recordViolationLocked("proper_requests_are_served", record.id, fmt.Sprintf("%s: status %d: %.120q", record.route, reply.Status, reply.Body))
	}
}

// addCut records that a planned stop cut a request. A request that was cut early counts only if an
// engine received it.
func (j *judge) addCut(id string, late bool, detail string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if late {
		j.recordViolationLocked("planned_stop_cuts_nothing", id, detail)
		return
	}
	j.cutEarly[id] = detail
}

func statusName(reply platformtest.Reply) string {
	if reply.Err != nil {
		return "broken"
	}
	return fmt.Sprint(reply.Status)
}

// addJob adds a job.
func (j *judge) addJob(job *jobRecord) {
	j.mu.Lock()
	defer j.mu.Unlock()
	job.submitted = time.Now()
	j.addJobLocked(job)
}

// addJobLocked adds a job whose time of submission is set. The caller holds mu.
func (j *judge) addJobLocked(job *jobRecord) {
	job.results = make(map[int]platformtest.Result)
	job.firstReads = make(map[int]firstRead)
	job.listed = make(map[nodeLife]listedRead)
	j.jobs = append(j.jobs, job)
}

// addResults judges the results that a reader of an accepted job received, starting at position
// from.
func (j *judge) addResults(job *jobRecord, from int, results platformtest.Results) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if results.Total != len(job.items) {
		j.recordViolationLocked("total_is_right", job.id, fmt.Sprintf("%d of %d", results.Total, len(job.items)))
	}
	for offset, result := range results.Results {
		j.addResult(job, from+offset, result)
	}
}

func (j *judge) addResult(job *jobRecord, position int, result platformtest.Result) {
	known, seen := job.results[position]
	if seen && known != result {
		j.recordViolationLocked("results_do_not_change", job.id, fmt.Sprintf("position %d: %+v, before %+v", position, result, known))
	}
	job.results[position] = result
	for other, earlier := range job.results {
		if other != position && earlier.ID == result.ID {
			j.recordViolationLocked("listed_once", result.ID, fmt.Sprintf("positions %d and %d", other, position))
		}
	}
	if !slices.Contains(job.items, result.ID) {
		j.recordViolationLocked("own_items_only", result.ID, job.id)
	}
	if seen && known == result {
		return // it was judged when it was first read
	}
	if result.Succeeded() && platformtest.WithoutWriters(result.Text) != j.expectedText(result.ID) {
		j.recordViolationLocked("whole_text", result.ID, describeEvents(textEvents(result.Text), result.Text))
	}
}

// eventsOf returns the number of events of the whole answer to a request or item.
func (j *judge) eventsOf(id string) int {
	if strings.HasPrefix(id, longItemPrefix) {
		return j.events * longItemFactor
	}
	return j.events
}

func (j *judge) expectedText(item string) string {
	var lines []string
	for event := 1; event <= j.eventsOf(item); event++ {
		lines = append(lines, fmt.Sprintf("%s:%d", item, event))
	}
	return strings.Join(lines, "\n")
}

// engineRun is one run and the engine that ran it.
type engineRun struct {
	engine   string
	software string
	run      platformtest.Run
}

// conclude compares what callers saw with the engines' runs, and checks that each job that was
// accepted and not ended is done.
func (j *judge) conclude(runs []engineRun) {
	byID := make(map[string][]engineRun)
	for _, run := range runs {
		byID[run.run.ID] = append(byID[run.run.ID], run)
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.judgeWriters {
		j.concludeWriters(byID)
	}
	for _, request := range j.requests {
		j.concludeRequest(request, byID[request.id])
		delete(byID, request.id)
	}
	for _, job := range j.jobs {
		j.concludeJob(job, byID)
	}
	for id := range byID {
		j.recordViolationLocked("nothing_runs_unasked", id, byID[id][0].engine)
	}
}

func (j *judge) concludeRequest(request requestRecord, runs []engineRun) {
	repeatable := slices.Contains([]string{routeSafe, routeResumable, routeHandover}, request.route)
	if !repeatable && len(runs) > 1 {
		j.recordViolationLocked("at_most_once", request.id, fmt.Sprintf("%s ran %d times", request.route, len(runs)))
	}
	if !repeatable && request.reply.Err == nil && promisesNotRun(request.reply.Status) && len(runs) > 0 {
		j.recordViolationLocked("not_run_is_true", request.id, fmt.Sprintf("%s answered %d and ran at %s", request.route, request.reply.Status, runs[0].engine))
	}
	if detail, early := j.cutEarly[request.id]; early && len(runs) > 0 {
		j.recordViolationLocked("planned_stop_cuts_nothing", request.id, detail)
	}
	engines := make(map[string]bool)
	for _, run := range runs {
		engines[run.engine] = true
	}
	if len(engines) > maxEngineAttempts {
		j.recordViolationLocked("attempts_are_bounded", request.id, fmt.Sprintf("%d engines", len(engines)))
	}
}

func (j *judge) concludeJob(job *jobRecord, byID map[string][]engineRun) {
	done := 0
	for _, result := range job.results {
		if result.Succeeded() {
			done++
		}
	}
	if job.accepted && job.ended.IsZero() && done < len(job.items) {
		j.recordViolationLocked("taken_jobs_are_done", job.id, fmt.Sprintf("%d of %d items", done, len(job.items)))
	}
	for _, item := range job.items {
		if j.judgeItemVersions {
			j.concludeItemVersions(item, byID[item])
		}
		for _, run := range byID[item] {
			switch {
			case job.refused:
				j.recordViolationLocked("not_run_is_true", item, "its job was refused at every try, and it ran at "+run.engine)
			case !job.ended.IsZero() && run.run.Began.Sub(job.ended) > jobEndBound:
				j.recordViolationLocked("ended_jobs_stop", item, fmt.Sprintf("ran %v after the end", run.run.Began.Sub(job.ended)))
			}
		}
		delete(byID, item)
	}
}

// unfinishedJobs returns the accepted jobs that are not done and must be readable.
func (j *judge) unfinishedJobs() []*jobRecord {
	j.mu.Lock()
	defer j.mu.Unlock()
	var list []*jobRecord
	for _, job := range j.jobs {
		if job.accepted && job.ended.IsZero() && len(job.results) < len(job.items) && time.Since(job.submitted) < jobRetention {
			list = append(list, job)
		}
	}
	return list
}

// jobRetention is how long after its submission a job must be readable, less a margin.
const jobRetention = 110 * time.Second

// pickJob returns an accepted job that must be readable, selected by number, or nil if there is
// none.
func (j *judge) pickJob(number int) *jobRecord {
	j.mu.Lock()
	defer j.mu.Unlock()
	var readable []*jobRecord
	for _, job := range j.jobs {
		if job.accepted && time.Since(job.submitted) < jobRetention {
			readable = append(readable, job)
		}
	}
	if len(readable) == 0 {
		return nil
	}
	return readable[number%len(readable)]
}
