// Package ledger is the record of a run as seen from outside the nodes: what
// callers sent and were answered, what operators edited and saw, and what the
// stand-ins of the platform did. Nothing in it comes from a node's counters.
package ledger

import (
	"sync"
	"time"
)

// End is how a caller's online request ended, as the caller saw it.
type End string

// The ends of a request.
const (
	EndCompleted End = "completed" // the stream came to its end mark
	EndRefused   End = "not_run"   // the answer claims that it did not run
	EndFailed    End = "failed"    // the answer says that it failed
	EndUnknown   End = "unknown"   // the answer says so, or no whole answer came
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

	Scheduled  time.Time // by the plan; latencies count from here
	Sent       time.Time
	FirstToken time.Time // zero: none came
	Finished   time.Time
	TokenTimes []time.Time

	Status    int    // HTTP; zero: no answer
	Code      string // of a refusal
	End       End
	Text      string
	Error     string
	RequestID string // the request id that the node answered with
	Abandoned bool   // the caller went away before the end
}

// Result is one line of a job's results as its client read it.
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
	Final   bool // the job said that every item had its outcome
	Results []Result
}

// Item is one line of a submission.
type Item struct {
	Name      string
	Prompt    string
	MaxTokens int
}

// Job is one batch job as its client saw it.
type Job struct {
	Key        string
	Class      string
	Tenant     string
	Repeatable bool
	Items      []Item
	Deadline   time.Time

	Submitted time.Time
	Accepted  time.Time // zero: not acknowledged
	Refused   bool      // the answer claims not run
	ID        string
	ResentIDs []string // what later submissions of the same key were answered

	CancelSent     time.Time
	CancelAnswered time.Time // zero: never cancelled, or the cancel was not answered
	State          string    // last seen
	Finished       time.Time // when its client saw it final
	Readings       []Reading
	Errors         []string
}

// Edit is one accepted change of a row.
type Edit struct {
	Row      string
	Revision uint64
	Sent     time.Time
	Accepted time.Time
}

// Sighting is a row's revision as a node showed it to an operator.
type Sighting struct {
	At       time.Time
	Node     int
	Row      string
	Revision uint64
}

// RunEnd is how an engine's work on an attempt ended.
type RunEnd string

// The ends of engine work.
const (
	RunFinished  RunEnd = "finished"
	RunCancelled RunEnd = "cancelled"
	RunLost      RunEnd = "lost" // the engine was killed
	RunOpen      RunEnd = "open" // still there at the end
)

// Run is an attempt as the engine that took it recorded it.
type Run struct {
	Engine     string
	Attempt    string
	Name       string // found in the prompt
	Online     bool
	KeptTokens int // tokens that the attempt started with
	Accepted   time.Time
	Started    time.Time // when it entered the running batch; zero: never
	// FirstToken is when the engine made its first token here; zero: none.
	FirstToken  time.Time
	Finished    time.Time // zero while open
	End         RunEnd
	Tokens      int // produced here
	Preemptions int // by the engine itself
	// NodeHost is the host of the node that sent it; empty: not told apart.
	NodeHost string
}

// Standstill is a time in which the machine that runs the bench did not let an
// engine stand-in end its step. The engine hears calls all the same.
type Standstill struct {
	Engine      string
	From, Until time.Time
}

// Disturbance is a time in which a fault kept a machine from its work.
type Disturbance struct {
	At, Until time.Time
	// Node is the host of a node, as in Run.From; Engine is an engine's name.
	// One of the two is set, or Store for the table service or object store.
	Node, Engine string
	Store        bool
	// Lost: what the machine knew is gone; another took its place, or none.
	Lost bool
}

// OutcomeCompleted is the outcome of an item's result that has its answer.
const OutcomeCompleted = "completed"

// EngineRefusal is a request that an engine did not take.
type EngineRefusal struct {
	At           time.Time
	Engine       string
	Name         string
	Online       bool
	Code         string
	RunningBatch int // batch sequences that it was running then
	Queued       int
}

// Departure is an engine that was told to take no new work.
type Departure struct {
	Engine string
	At     time.Time
}

// NodeStop is a node that was stopped.
type NodeStop struct {
	Node    int
	At      time.Time
	Ended   time.Time
	Ready   time.Time // ready again
	Planned bool
}

// Ledger collects records from many callers. It is safe for concurrent use.
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

// AddJob records a job at the end of its client.
func (l *Ledger) AddJob(job Job) {
	record(l, &l.jobs, job)
}

// AddEdit records an accepted edit.
func (l *Ledger) AddEdit(edit Edit) {
	record(l, &l.edits, edit)
}

// AddSighting records a row as a node showed it.
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

// record adds one entry to one of the ledger's lists, under its lock.
func record[Entry any](l *Ledger, list *[]Entry, entry Entry) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	*list = append(*list, entry)
}

// Evidence is everything known of a run once it has ended.
type Evidence struct {
	Requests      []Request
	Jobs          []Job
	Edits         []Edit
	Sightings     []Sighting
	Departures    []Departure
	Stops         []NodeStop
	Runs          []Run
	Refusals      []EngineRefusal
	OtherSiteRuns []string // names that the other site ran
	Nodes         int
	Ended         time.Time
	// Interrupted: the run was broken off, and jobs were not followed to their end.
	Interrupted bool
	// Disturbances bound what can be asked of the machines that they name.
	Disturbances []Disturbance
	Standstills  []Standstill

	byName map[string][]Run
}

// RunsOf gives the runs of one name, after Index.
func (e Evidence) RunsOf(name string) []Run { return e.byName[name] }

// Index prepares RunsOf once the runs are complete.
func (e *Evidence) Index() {
	e.byName = make(map[string][]Run, len(e.Runs))
	for _, run := range e.Runs {
		e.byName[run.Name] = append(e.byName[run.Name], run)
	}
}

// Evidence gives a copy of what the callers and operators recorded; the
// stand-ins' part is filled in by the fleet.
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

// Counts is the progress so far.
type Counts struct{ Requests, Jobs int }

// Counts tells how much has been recorded.
func (l *Ledger) Counts() Counts {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return Counts{Requests: len(l.requests), Jobs: len(l.jobs)}
}
