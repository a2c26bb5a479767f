package runner

import (
	"time"

	"github.com/oklog/ulid/v2"
	"go.uber.org/zap"

	"ringstream.example/ringstream/internal/backend"
	"ringstream.example/ringstream/internal/core/batch"
	"ringstream.example/ringstream/internal/events"
	"ringstream.example/ringstream/internal/jobs/record"
)

// maxWritesPerCommit is the number of writes from which no further job is added
// to a transaction. A job's part is never split, so the last one may exceed the
// limit by a few writes.
const maxWritesPerCommit = 96

// plan builds the next transaction from the written outcomes and waiting intents,
// or returns nil when there are none. Those of closed jobs are dropped. r.mu is
// held.
func (r *Runner) plan() *plan {
	next := &plan{transaction: backend.Transaction{ID: "items-" + ulid.Make().String()}}
	fenced := make(map[*shardWork]bool)
	for _, part := range r.collect() {
		if len(next.transaction.Writes) >= maxWritesPerCommit {
			r.written = append(r.written, part.uploads...)
			r.intents = append(r.intents, part.intents...)
			continue
		}
		r.addPart(next, part, fenced)
	}
	if len(next.parts) == 0 {
		return nil
	}
	return next
}

// collect groups the written outcomes and waiting intents by job, in order of
// arrival, and empties both lists.
func (r *Runner) collect() []*planPart {
	parts := make(map[*job]*planPart)
	var order []*planPart
	partOf := func(j *job) *planPart {
		if parts[j] == nil {
			parts[j] = &planPart{job: j}
			order = append(order, parts[j])
		}
		return parts[j]
	}
	for _, wait := range r.intents {
		switch {
		case wait.job.state.Closed():
			wait.done <- errJobEnded
		case !wait.abandoned:
			part := partOf(wait.job)
			part.intents = append(part.intents, wait)
		}
	}
	for _, group := range r.written {
		if group.job.state.Closed() {
			r.heldResultBytes -= group.bytes
			events.ResultsDropped.Log(r.logger, zap.String("job", string(group.job.header.ID)), zap.Int("items", len(group.items)))
			continue
		}
		part := partOf(group.job)
		part.uploads = append(part.uploads, group)
	}
	r.intents, r.written = nil, nil
	return order
}

// addPart adds a job's changes to a plan, with compares on the shard's lease, the
// job's header and each segment that is written.
func (r *Runner) addPart(next *plan, part *planPart, fenced map[*shardWork]bool) {
	j := part.job
	part.updates, part.completesJob = j.state.Prepare(part.changes()...)
	if len(part.updates) == 0 {
		return
	}
	transaction := &next.transaction
	if !fenced[j.shard] {
		fenced[j.shard] = true
		transaction.Compares = append(transaction.Compares, j.shard.fence.Compare)
	}
	transaction.Compares = append(transaction.Compares, j.fence)
	part.firstWrite = len(transaction.Writes)
	for _, update := range part.updates {
		key := record.SegmentKey(j.header.ID, update.Number)
		transaction.Compares = append(transaction.Compares, backend.Compare{Key: key, Version: j.versions[update.Number]})
		transaction.Writes = append(transaction.Writes, backend.Write{Key: key, Value: update.Segment.Encode()})
	}
	if part.completesJob {
		header := j.header
		header.State, header.EndedAt = record.StateCompleted, time.Now().UTC()
		transaction.Writes = append(transaction.Writes, EndWrites(&header, r.config.Retention)...)
	}
	next.parts = append(next.parts, part)
}

func (p *planPart) changes() []batch.Change {
	var changes []batch.Change
	for _, group := range p.uploads {
		change := batch.Change{Reference: group.reference}
		for _, item := range group.items {
			change.Outcomes = append(change.Outcomes, item.outcome)
		}
		changes = append(changes, change)
	}
	var intents batch.Change
	for _, wait := range p.intents {
		intents.Intents = append(intents.Intents, wait.intent)
	}
	return append(changes, intents)
}

// EndWrites returns the writes that end a job, whose header must have its final
// state and time. They remove the job from its shard's list of open jobs and add
// it to the list of jobs that expire.
func EndWrites(header *record.Job, retention time.Duration) []backend.Write {
	return []backend.Write{
		{Key: record.JobKey(header.ID), Value: record.Encode(header)},
		{Key: record.OpenKey(header.Shard, header.ID), Delete: true},
		{Key: record.ExpiryKey(header.Shard, header.EndedAt.Add(retention), header.ID)},
	}
}
