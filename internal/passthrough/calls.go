package passthrough

import "net/http"

// JobCallKind is the kind of a call about batch jobs.
type JobCallKind uint8

// The kinds of job calls outside the route prefixes.
const (
	NoJobCall JobCallKind = iota
	ReadResults
	ReadItem
	CancelJob
)

// JobCall is a call about a batch job.
type JobCall struct {
	Kind JobCallKind
	Job  string
	Item string // ReadItem only
	From int    // ReadResults only: the first position wanted
	// Tenant is the caller's tenant, found by its key; empty if there is none. The gateway's
	// ingress sets it.
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
	Succeeded bool // false if the item was given up
	Text      string
}

// JobFormat reads and writes the bodies of the calls about jobs.
type JobFormat interface {
	// JobCall recognizes a call about jobs by its method and path.
	JobCall(request *http.Request) JobCall
	// Items reads the body of a submitted job. An error names what is wrong and where.
	Items(body []byte) ([]Item, error)
	// Results writes the answer to ReadResults.
	Results(total, next int, results []ItemResult) []byte
}
