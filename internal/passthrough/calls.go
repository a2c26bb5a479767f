package passthrough

import "net/http"

// JobCallKind is what a call about batch jobs asks for.
type JobCallKind uint8

// The calls about jobs that do not stand under a route's prefix.
const (
	NoJobCall JobCallKind = iota
	ReadResults
	ReadItem
	EndJob
)

// JobCall is a call about a job.
type JobCall struct {
	Kind JobCallKind
	Job  string
	Item string // ReadItem only
	From int    // ReadResults only: first position wanted
	// Tenant is the caller's, by its key; empty: none. The front door sets it.
	Tenant string
}

// Item is one request of a batch job.
type Item struct {
	ID     string
	Path   string
	Header http.Header
	Body   []byte
	Tokens int64
}

// ItemResult is one listed result of a job.
type ItemResult struct {
	ID        string
	Succeeded bool // else it was given up
	Text      string
}

// JobFormat reads and writes the bodies of the calls about jobs.
type JobFormat interface {
	// JobCall tells a call about jobs by method and path.
	JobCall(request *http.Request) JobCall
	// Items reads the body of a job that is handed in; an error names what is
	// wrong and where.
	Items(body []byte) ([]Item, error)
	// Results writes the answer to ReadResults.
	Results(total, next int, results []ItemResult) []byte
}
