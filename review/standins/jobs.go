package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"ringstream.example/ringstream/platform/platformtest"
)

// The bounds of the rule about items that stay open.
const (
	finishTime = 18 * time.Second // finish_s
	calmTime   = 5 * time.Second  // in which no engine had an item of the job
	noneDone   = 3 * time.Second  // in which no item of any job was finished
	shortRun   = time.Second      // a run that its sender ends within it counts neither as had nor as failed
)

const (
	// settleTime is how long the platform's and the nodes' state rests between two steps of a case.
	settleTime = 3 * time.Second
	// expiry is when the items that are left are given up, with some time to read them.
	expiry      = 66 * time.Second
	itemsPerJob = 4
)

// job is a batch job and what was read of it.
type job struct {
	id     string
	items  []string
	listed map[string]time.Time // when an item was first read as listed
}

// submit hands a job in. It fails if the job is not accepted.
func (f *fleet) submit(ctx context.Context, entered *node, number, items int) (*job, error) {
	made := &job{id: fmt.Sprintf("job-%d", number), listed: make(map[string]time.Time)}
	for item := range items {
		made.items = append(made.items, fmt.Sprintf("item-%d-%d", number, item))
	}
	return made, f.send(ctx, made, entered, platformtest.SubmitJob(entered.address, made.id, made.items))
}

// send sends the call that hands a job in.
func (f *fleet) send(ctx context.Context, made *job, entered *node, call platformtest.Call) error {
	reply := platformtest.Send(ctx, call)
	f.log.note("client: %s with %d items to %s: %d", made.id, len(made.items), entered.name, reply.Status)
	if reply.Status != http.StatusAccepted {
		return fmt.Errorf("%s was not accepted: status %d, error %w", made.id, reply.Status, reply.Err)
	}
	return nil
}

// bodyOfOne returns the body of a job of one item with a prompt of a number of tokens.
func bodyOfOne(item string, tokens int) string {
	const output = 400
	body, err := json.Marshal(map[string]any{"items": []any{map[string]any{
		"id": item, "path": "/batch/x", "headers": map[string]string{"X-Token-Count": fmt.Sprintf("%d,%d", tokens, output)}, "body": []byte("prompt"), "tokens": tokens + output,
	}}})
	if err != nil {
		panic(err) // cannot happen: the document has only strings and numbers
	}
	return string(body)
}

// readUntil reads all jobs about twice a second, at each node in turn.
func (f *fleet) readUntil(ctx context.Context, jobs []*job, until time.Time) {
	for round := 0; time.Now().Before(until) && ctx.Err() == nil; round++ {
		for i, known := range jobs {
			f.read(ctx, known, f.nodes[(i+round)%len(f.nodes)])
		}
		time.Sleep(450 * time.Millisecond)
	}
}

func (f *fleet) read(ctx context.Context, known *job, from *node) {
	reply := platformtest.Send(ctx, platformtest.ReadResults(from.address, known.id, 0))
	var results platformtest.Results
	if reply.Status == http.StatusOK {
		if err := json.Unmarshal([]byte(reply.Body), &results); err != nil {
			f.log.note("reader: %s at %s: %v", known.id, from.name, err)
		}
	}
	for _, result := range results.Results {
		if known.listed[result.ID].IsZero() {
			known.listed[result.ID] = time.Now()
			f.log.note("reader: %s lists %s as %s", known.id, result.ID, result.State)
		}
	}
	f.log.note("reader: %s at %s: %d, %d of %d listed", known.id, from.name, reply.Status, len(results.Results), len(known.items))
}

// judge applies the rule about items that stay open when finish_s is over. The traffic ended at the given time.
func (f *fleet) judge(jobs []*job, end time.Time) error {
	over := end.Add(finishTime)
	open := make(map[string]string) // items that are not listed, with their job
	lastDone := time.Time{}
	for _, known := range jobs {
		for _, item := range known.items {
			if at := known.listed[item]; at.IsZero() {
				open[item] = known.id
			} else if at.After(lastDone) {
				lastDone = at
			}
		}
	}
	f.log.say("%d items are not listed %s after the end of the traffic", len(open), finishTime)
	if len(open) == 0 {
		return nil
	}
	if over.Sub(lastDone) < noneDone {
		f.log.say("excused: an item was listed in the last %s", noneDone)
		return nil
	}
	had, busiest := f.workInTheEnd(open, over)
	f.log.say("in the last %s the busiest engine had %d requests of %d", calmTime, busiest, slotsPerEngine)
	if 2*busiest >= slotsPerEngine {
		f.log.say("excused: an engine was half full")
		return nil
	}
	lost := 0
	for item, id := range open {
		if had[id] {
			f.log.say("excused: item %s, an engine had an item of %s", item, id)
			continue
		}
		lost++
		f.log.say("LOST: item %s of %s is open, and no engine had an open item of that job", item, id)
	}
	if lost > 0 {
		return fmt.Errorf("%w: LOST, %d items", errBroken, lost)
	}
	return nil
}

// workInTheEnd returns the jobs of which an engine had an open item in the last calmTime, and the most requests of one engine then.
func (f *fleet) workInTheEnd(open map[string]string, over time.Time) (had map[string]bool, busiest int) {
	had = make(map[string]bool)
	for _, known := range f.engines {
		working := 0
		for _, past := range known.all() {
			ended := past.ended
			if ended.IsZero() {
				ended = over
			}
			if ended.Before(over.Add(-calmTime)) {
				continue
			}
			working++
			if id, lacks := open[past.id]; lacks && ended.Sub(past.began) >= shortRun {
				had[id] = true
			}
		}
		busiest = max(busiest, working)
	}
	return had, busiest
}
