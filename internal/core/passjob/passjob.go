// Package passjob implements the record of a batch job on a pass-through route as
// a state machine: a job is accepted and claimed by an owner, its items are listed
// one by one, and it ends. A record is one row of the store. Each change is written
// with a compare of the row's version, so that a node that no longer owns the job
// cannot change it. The package does no I/O.
package passjob

import (
	"encoding/json"
	"fmt"
	"time"
)

// ItemState is the state of an item.
type ItemState uint8

// The states of an item.
const (
	Open       ItemState = iota // not in the results yet
	Succeeded                   // in the results with its complete text
	DeadLetter                  // in the results as given up
)

// Item is the state of one item in the record.
type Item struct {
	ID       string    `json:"id"`
	Tokens   int64     `json:"tokens"`             // prompt and output tokens
	State    ItemState `json:"state,omitempty"`    // Open until listed
	Position int       `json:"position,omitempty"` // index in the results, once listed
	Failures int       `json:"failures,omitempty"` // number of runs that an engine ended with an error
}

// RecordFormat is the newest record format that this program supports. Records
// without a format were written before jobs had tenants.
const RecordFormat = 1

// Record is the durable state of a job.
type Record struct {
	// Format is the RecordFormat of the program that wrote the record.
	Format     int           `json:"format,omitempty"`
	ID         string        `json:"id"`
	Tenant     string        `json:"tenant,omitempty"` // name of the tenant; empty: none, or the writer did not support tenants
	Route      string        `json:"route"`            // name of the route at acceptance, for the quota and logs
	Host       string        `json:"host"`
	AcceptedAt time.Duration `json:"accepted_at"` // on the store's clock
	Due        time.Duration `json:"due"`         // after AcceptedAt; 0: none
	Expiry     time.Duration `json:"expiry"`      // after AcceptedAt; 0: never
	Items      []Item        `json:"items"`
	Listed     int           `json:"listed"` // number of results so far
	Ended      bool          `json:"ended,omitempty"`
	Owner      string        `json:"owner,omitempty"`  // incarnation of the owning node; empty: no owner
	Epoch      int64         `json:"epoch"`            // increases with each new owner
	Object     string        `json:"object,omitempty"` // object with the submitted job; empty: the job is stored in rows
	BodyBytes  int           `json:"body_bytes"`       // size of the submitted job
	Commit     string        `json:"commit"`           // id of the transaction that wrote this record
}

// Encode returns the record as the value of a row.
func (r Record) Encode() []byte {
	value, err := json.Marshal(r)
	if err != nil {
		panic(fmt.Sprintf("job record cannot be written: %v", err)) // strings, numbers and booleans always encode
	}
	return value
}

// Decode decodes the value of a row. It returns an error for a value that is
// malformed, inconsistent, or of a format that this program does not support.
func Decode(value []byte) (Record, error) {
	var record Record
	if err := json.Unmarshal(value, &record); err != nil {
		return Record{}, fmt.Errorf("job record: %w", err)
	}
	if record.Format > RecordFormat {
		return Record{}, fmt.Errorf("job record %s: format %d, this program knows formats up to %d", record.ID, record.Format, RecordFormat)
	}
	if err := record.check(); err != nil {
		return Record{}, fmt.Errorf("job record %s: %w", record.ID, err)
	}
	return record, nil
}

// check returns an error for a record that this program never writes. Readers of a
// record rely on each listed item having a unique position below Listed.
func (r Record) check() error {
	if r.ID == "" || r.Epoch < 0 || r.BodyBytes < 0 {
		return fmt.Errorf("id %q, epoch %d, body_bytes %d", r.ID, r.Epoch, r.BodyBytes)
	}
	usedPositions := make(map[int]bool, len(r.Items))
	for index, item := range r.Items {
		if item.ID == "" || item.Failures < 0 || item.State > DeadLetter {
			return fmt.Errorf("items[%d]: id %q, failures %d, state %d", index, item.ID, item.Failures, item.State)
		}
		if item.State == Open {
			continue
		}
		if item.Position < 0 || item.Position >= r.Listed || usedPositions[item.Position] {
			return fmt.Errorf("items[%d]: position %d of %d listed, or twice", index, item.Position, r.Listed)
		}
		usedPositions[item.Position] = true
	}
	if len(usedPositions) != r.Listed {
		return fmt.Errorf("listed %d, and %d items have positions", r.Listed, len(usedPositions))
	}
	return nil
}

// OpenTo reports whether the tenant with the given name may read and end the job.
// The job's own tenant may do so, and any tenant if the record has none.
func (r Record) OpenTo(tenant string) bool { return r.Tenant == "" || r.Tenant == tenant }

// Clone returns a deep copy.
func (r Record) Clone() Record {
	r.Items = append([]Item(nil), r.Items...)
	return r
}

// Active reports whether the job still has items to run.
func (r Record) Active() bool { return !r.Ended && r.Listed < len(r.Items) }

// Waiting returns the tokens of the open items of an active job. They count against
// the route's limit.
func (r Record) Waiting() int64 {
	if !r.Active() {
		return 0
	}
	var tokens int64
	for _, item := range r.Items {
		if item.State == Open {
			tokens += item.Tokens
		}
	}
	return tokens
}

// ItemsByPosition returns the index of the item listed at each position.
func (r Record) ItemsByPosition() []int {
	order := make([]int, r.Listed)
	for i, item := range r.Items {
		if item.State != Open {
			order[item.Position] = i
		}
	}
	return order
}

// Index returns the index of the item with the given id, and whether there is one.
func (r Record) Index(id string) (int, bool) {
	for i, item := range r.Items {
		if item.ID == id {
			return i, true
		}
	}
	return 0, false
}

// List sets an item's state and assigns it the next position in the results. It
// returns false if the item is already listed, the job has ended, or the state is
// Open.
func (r *Record) List(index int, state ItemState) (position int, ok bool) {
	item := &r.Items[index]
	if r.Ended || item.State != Open || state == Open {
		return 0, false
	}
	item.State = state
	item.Position = r.Listed
	r.Listed++
	return item.Position, true
}

// Fail counts a run of an item that an engine ended with an error, and returns the
// number of such runs.
func (r *Record) Fail(index int) int {
	r.Items[index].Failures++
	return r.Items[index].Failures
}

// Claim makes a node the owner, under a new epoch.
func (r *Record) Claim(owner string) {
	r.Owner = owner
	r.Epoch++
}

// Release removes the owner, so that another node can claim the job.
func (r *Record) Release() { r.Owner = "" }

// End ends the job. No more items are run, and listed results stay.
func (r *Record) End() {
	r.Ended = true
	r.Owner = ""
}

// Overdue reports whether items may be given up at the given time on the store's
// clock.
func (r Record) Overdue(now time.Duration) bool {
	return r.Expiry > 0 && now > r.AcceptedAt+r.Expiry
}
