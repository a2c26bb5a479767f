// Package ledger records a run as seen from outside the nodes: what callers sent and received, what
// operators edited and saw, and what the platform stand-ins did. No record comes from a node's
// counters.
package ledger

import (
	"sync"
	"time"
)

// End is the end of an online request as the caller saw it.
type End string

// Ends of a request.
const (
	EndCompleted End = "completed" // the stream reached its end mark
	EndRefused   End = "not_run"   // the answer claims that the request did not run
	EndFailed    End = "failed"    // the answer says that the request failed
	EndUnknown   End = "unknown"   // the answer says so, or there was no complete answer
)

// Request is one send of an online request.
type Request struct {
	Name      string
	Class     string
	Tenant    string
	Key       string
	Resend    bool
	Prompt    string
	MaxTokens int
	Node      int

	Scheduled  time.Time // time in the plan, from which latencies count
	Sent       time.Time
	FirstToken time.Time // zero: no token arrived
	Finished   time.Time
	TokenTimes []time.Time

	Status    int    // HTTP status; zero: no answer
	Code      string // of a refusal
	End       End
	Text      string
	Error     string
	RequestID string // request id in the response header
	Abandoned bool   // the caller left before the end
}

// Result is one line of a job's results as read by its client.
type Result struct {
	Index   int
	Name    string
	Outcome string
	Text    string
	Reason  string
}

// Reading is one complete read of a job's results.
type Reading struct {
	At      time.Time
	Final   bool // the job reported that every item has its outcome
	Results []Result
}

// Item is one line of a submission.
type Item struct {
	Name      string
	Prompt    string
	MaxTokens int
}

// Job is one batch job as seen by its client.
type Job struct {
	Key        string
	Class      string
	Tenant     string
	Repeatable bool
	Items      []Item
	Deadline   time.Time

	Submitted time.Time
	Accepted  time.Time // zero: not acknowledged
	Refused   bool      // the answer claims that the job does not run
	ID        string
	ResentIDs []string // ids in the answers to later submissions with the same key

	CancelSent     time.Time
	CancelAnswered time.Time // zero: never cancelled, or the cancel was not answered
	State          string    // last seen
	Finished       time.Time // when its client saw that it was final
	Readings       []Reading
	Errors         []string
}

// Edit is an accepted change of a row.
type Edit struct {
	Row      string
	Revision uint64
	Sent     time.Time
	Accepted time.Time
}

// Sighting is the revision of a row that a node showed to an operator.
type Sighting struct {
	At       time.Time
	Node     int
	Row      string
	Revision uint64
}

// RunEnd is the end of an engine's work on an attempt.
type RunEnd string

// Ends of a run.
const (
	RunFinished  RunEnd = "finished"
	RunCancelled RunEnd = "cancelled"
	RunLost      RunEnd = "lost" // the engine was killed
	RunOpen      RunEnd = "open" // still running at the end of the records
)

// Run is an attempt as recorded by the engine that accepted it.
type Run struct {
	Engine     string
	Attempt    string
	Name       string // found in the prompt
	Online     bool
	KeptTokens int // tokens that the attempt started with
	Accepted   time.Time
	Started    time.Time // when it entered the running batch; zero: never
	// FirstToken is when this engine produced its first token; zero: none.
	FirstToken  time.Time
	Finished    time.Time // zero while open
	End         RunEnd
	Tokens      int // produced by this engine
	Preemptions int // by the engine itself
	// NodeHost is the host of the node that sent the attempt. It is empty if nodes are not
	// distinguished.
	NodeHost string
}

// Standstill is a period in which the machine that runs the bench prevented an engine stand-in from
// completing its step. The engine still receives calls.
type Standstill struct {
	Engine      string
	From, Until time.Time
}

// Disturbance is a period in which a fault prevented a machine from working.
type Disturbance struct {
	At, Until time.Time
	// Node is the host of a node, as in Run.NodeHost. Engine is the name of an engine. Either one
	// of them is set, or Store for the table service or object store.
	Node, Engine string
	Store        bool
	// Lost is true if the state of the machine was lost. Another machine may have replaced it.
	Lost bool
}

// OutcomeCompleted is the outcome of an item that has its answer.
const OutcomeCompleted = "completed"

// EngineRefusal is a request that an engine refused.
type EngineRefusal struct {
	At           time.Time
	Engine       string
	Name         string
	Online       bool
	Code         string
	RunningBatch int // batch sequences running at that time
	Queued       int
}

// Departure is an engine that was told to accept no new work.
type Departure struct {
	Engine string
	At     time.Time
}

// NodeStop is a stop of a node.
type NodeStop struct {
	Node    int
	At      time.Time
	Ended   time.Time
	Ready   time.Time // when it was ready again
	Planned bool
}

// Ledger collects the records of a run. It is safe for concurrent use.
type Ledger struct {
	mutex     sync.Mutex
	requests  []Request
	jobs      []Job
	edits     []Edit
	sightings []Sighting
	departed  []Departure
	stops     []NodeStop
	disturbed []Disturbance
}

// AddRequest records a request that has ended.
func (l *Ledger) AddRequest(request Request) {
	record(l, &l.requests, request)
}

// AddJob records a job that its client no longer follows.
func (l *Ledger) AddJob(job Job) {
	record(l, &l.jobs, job)
}

// AddEdit records an accepted edit.
func (l *Ledger) AddEdit(edit Edit) {
	record(l, &l.edits, edit)
}

// AddSighting records the revision of a row that a node showed.
func (l *Ledger) AddSighting(sighting Sighting) {
	record(l, &l.sightings, sighting)
}

// AddDeparture records that an engine was told to leave.
func (l *Ledger) AddDeparture(departure Departure) {
	record(l, &l.departed, departure)
}

// AddStop records that a node was stopped.
func (l *Ledger) AddStop(stop NodeStop) {
	record(l, &l.stops, stop)
}

// AddDisturbance records a fault that has ended.
func (l *Ledger) AddDisturbance(disturbance Disturbance) {
	record(l, &l.disturbed, disturbance)
}

// record appends an entry to one of the ledger's lists while holding its lock.
func record[Entry any](l *Ledger, list *[]Entry, entry Entry) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	*list = append(*list, entry)
}

// Evidence is all that is known about a run after its end.
type Evidence struct {
	Requests      []Request
	Jobs          []Job
	Edits         []Edit
	Sightings     []Sighting
	Departures    []Departure
	Stops         []NodeStop
	Runs          []Run
	Refusals      []EngineRefusal
	OtherSiteRuns []string // names of work that ran on the other site
	Nodes         int
	Ended         time.Time
	// Interrupted is true if the run was interrupted, so that jobs were not followed to their end.
	Interrupted bool
	// Disturbances limit what the checker can require of the machines that they name.
	Disturbances []Disturbance
	Standstills  []Standstill

	byName map[string][]Run
}

// RunsOf returns the runs of one name. Index must have been called.
func (e Evidence) RunsOf(name string) []Run { return e.byName[name] }

// Index builds the index for RunsOf. It must be called once the runs are complete.
func (e *Evidence) Index() {
	e.byName = make(map[string][]Run, len(e.Runs))
	for _, run := range e.Runs {
		e.byName[run.Name] = append(e.byName[run.Name], run)
	}
}

// Evidence returns a copy of the records of callers and operators. The fleet adds the records of
// the stand-ins.
func (l *Ledger) Evidence() Evidence {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return Evidence{
		Requests:   append([]Request(nil), l.requests...),
		Jobs:       append([]Job(nil), l.jobs...),
		Edits:      append([]Edit(nil), l.edits...),
		Sightings:  append([]Sighting(nil), l.sightings...),
		Departures: append([]Departure(nil), l.departed...),
		Stops:      append([]NodeStop(nil), l.stops...),

		Disturbances: append([]Disturbance(nil), l.disturbed...),
	}
}

// Counts is the number of records so far.
type Counts struct{ Requests, Jobs int }

// Counts returns the number of recorded requests and jobs.
func (l *Ledger) Counts() Counts {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return Counts{Requests: len(l.requests), Jobs: len(l.jobs)}
}
