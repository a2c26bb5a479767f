// Package passjob is the record of a batch job that is run through
// pass-through routes, as a state machine: accepted, claimed by an owner,
// items listed one by one, ended. A record is one row of the store, and each
// change is written under a compare of the row's version, so that a change
// made by a node that no longer owns the job cannot land. It does no I/O.
package passjob

import (
	"encoding/json"
	"fmt"
	"time"
)

// ItemState says what became of an item.
type ItemState uint8

// The states of an item.
const (
	Open       ItemState = iota // not listed yet
	Succeeded                   // listed with its whole text
	DeadLetter                  // listed as given up
)

// Item is one item's part of the record.
type Item struct {
	ID       string    `json:"id"`
	Tokens   int64     `json:"tokens"`             // prompt and output, summed
	State    ItemState `json:"state,omitempty"`    // Open until listed
	Position int       `json:"position,omitempty"` // in the results, once listed
	Failures int       `json:"failures,omitempty"` // runs that an engine ended with an error
}

// RecordFormat is the newest format of a record that this program knows. Records
// without a format were written before jobs had tenants.
const RecordFormat = 1

// Record is the durable state of a job.
type Record struct {
	// Format is that of the record's writer, see RecordFormat.
	Format     int           `json:"format,omitempty"`
	ID         string        `json:"id"`
	Tenant     string        `json:"tenant,omitempty"` // its name; empty: none, or its writer knew of none
	Route      string        `json:"route"`            // its name at acceptance, for the quota and logs
	Host       string        `json:"host"`
	AcceptedAt time.Duration `json:"accepted_at"` // on the store's clock
	Due        time.Duration `json:"due"`         // after AcceptedAt; 0: none
	Expiry     time.Duration `json:"expiry"`      // after AcceptedAt; 0: never
	Items      []Item        `json:"items"`
	Listed     int           `json:"listed"` // results so far
	Ended      bool          `json:"ended,omitempty"`
	Owner      string        `json:"owner,omitempty"`  // incarnation of a node; empty: nobody
	Epoch      int64         `json:"epoch"`            // rises with each new owner
	Object     string        `json:"object,omitempty"` // that holds the job as it came; empty: it lies in rows
	BodyBytes  int           `json:"body_bytes"`       // of the job as it came
	Commit     string        `json:"commit"`           // id of the transaction that wrote this
}

// Encode gives the record as a row's value.
func (r Record) Encode() []byte {
	value, err := json.Marshal(r)
	if err != nil {
		panic(fmt.Sprintf("job record cannot be written: %v", err)) // strings and numbers always can
	}
	return value
}

// Decode reads a row's value.
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

// check refuses what no writer of this program leaves: whoever reads a record relies on
// each listed item having its own position below Listed.
func (r Record) check() error {
	if r.ID == "" || r.Epoch < 0 || r.BodyBytes < 0 {
		return fmt.Errorf("id %q, epoch %d, body_bytes %d", r.ID, r.Epoch, r.BodyBytes)
	}
	taken := make(map[int]bool, len(r.Items))
	for index, item := range r.Items {
		if item.ID == "" || item.Failures < 0 || item.State > DeadLetter {
			return fmt.Errorf("items[%d]: id %q, failures %d, state %d", index, item.ID, item.Failures, item.State)
		}
		if item.State == Open {
			continue
		}
		if item.Position < 0 || item.Position >= r.Listed || taken[item.Position] {
			return fmt.Errorf("items[%d]: position %d of %d listed, or twice", index, item.Position, r.Listed)
		}
		taken[item.Position] = true
	}
	if len(taken) != r.Listed {
		return fmt.Errorf("listed %d, and %d items have positions", r.Listed, len(taken))
	}
	return nil
}

// OpenTo says whether a tenant, given by its name, may read and end the job: its
// own may, and anybody may where the record names none.
func (r Record) OpenTo(tenant string) bool { return r.Tenant == "" || r.Tenant == tenant }

// Clone gives a copy that shares nothing.
func (r Record) Clone() Record {
	r.Items = append([]Item(nil), r.Items...)
	return r
}

// Active says whether items are still to be run.
func (r Record) Active() bool { return !r.Ended && r.Listed < len(r.Items) }

// Waiting gives the tokens that count against the route's limit.
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

// ItemAt gives the index of the item listed at each position.
func (r Record) ItemAt() []int {
	order := make([]int, r.Listed)
	for i, item := range r.Items {
		if item.State != Open {
			order[item.Position] = i
		}
	}
	return order
}

// Index gives the index of an item by its id.
func (r Record) Index(id string) (int, bool) {
	for i, item := range r.Items {
		if item.ID == id {
			return i, true
		}
	}
	return 0, false
}

// List gives an item the next position; false when it is listed already or
// the job has ended.
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

// Fail counts a run that an engine ended with an error.
func (r *Record) Fail(index int) int {
	r.Items[index].Failures++
	return r.Items[index].Failures
}

// Claim makes a node the owner, under a new epoch.
func (r *Record) Claim(owner string) {
	r.Owner = owner
	r.Epoch++
}

// Release leaves the job to whoever claims it.
func (r *Record) Release() { r.Owner = "" }

// End ends the job: nothing more is run, what is listed stays.
func (r *Record) End() {
	r.Ended = true
	r.Owner = ""
}

// Overdue says whether items may be given up at a time of the store's clock.
func (r Record) Overdue(now time.Duration) bool {
	return r.Expiry > 0 && now > r.AcceptedAt+r.Expiry
}
