package runner

import (
	"context"
	"time"

	"go.uber.org/zap"

	"ringstream.example/ringstream/internal/backend"
	"ringstream.example/ringstream/internal/core/batch"
	"ringstream.example/ringstream/internal/events"
	"ringstream.example/ringstream/internal/jobs/record"
)

// job is an open job of a held shard. Runner.mu guards it.
type job struct {
	header   record.Job
	fence    backend.Compare // on the header
	versions []uint64        // of the segments' records
	state    *batch.Job
	shard    *shardWork
	// context ends when the runner removes the job: it was cancelled, has ended,
	// or its shard was lost.
	context context.Context
	cancel  context.CancelFunc
	// nonRepeatable is the context of items that must not be repeated. It ends
	// only when the job has ended or was cancelled, or when Run ends. After a
	// shard is lost, another node may resume such an item from its intent, and
	// stopping it would lose its outcome.
	nonRepeatable       context.Context
	cancelNonRepeatable context.CancelFunc

	inputs           map[int]*input  // loaded or loading segments, by number
	requeued         map[int]itemRun // items to run again, by index
	notBefore        time.Time       // earliest start of the next item
	deadlineWarned   bool            // deadline risk has been logged
	missingRowLogged bool            // no row governs the job, which has been logged

	repeatableRunning int
	finished          []finishedItem // waiting for their upload
	uploading         bool
	uncommitted       int // outcomes whose object is being written or committed
}

// input holds one segment's items; items is nil while the segment is loaded.
type input struct {
	items []record.Item
	bytes int64
}

// itemRun is one item that is running or waits to run again.
type itemRun struct {
	job                *job
	index              int
	item               record.Item
	keptTokens         []string // tokens of earlier attempts
	unansweredAttempts int      // attempts whose engine did not answer
}

// finishedItem is an outcome that is not durable yet.
type finishedItem struct {
	outcome batch.ItemOutcome
	result  record.Result
}

func (f finishedItem) bytes() int64 {
	return int64(len(f.result.ID) + len(f.result.Text) + len(f.result.Reason) + resultOverheadBytes)
}

// resultOverheadBytes approximates the memory of a result besides its texts.
const resultOverheadBytes = 96

func (run *itemRun) repeatable() bool {
	if run.item.Repeatable != nil {
		return *run.item.Repeatable
	}
	return run.job.header.Repeatable
}

// removeJob removes a job. Its running items are cancelled and later outcomes are
// dropped. Non-repeatable items continue unless the job has ended. r.mu is held.
func (r *Runner) removeJob(j *job, ended bool) {
	if r.jobs[j.header.ID] != j {
		return
	}
	delete(r.jobs, j.header.ID)
	r.scheduler.Remove(j.header.ID)
	j.state.Close()
	j.cancel()
	if ended {
		j.cancelNonRepeatable()
	}
	for _, item := range j.finished {
		r.heldResultBytes -= item.bytes()
	}
	if len(j.finished) > 0 {
		events.ResultsDropped.Log(r.logger, zap.String("job", string(j.header.ID)), zap.Int("items", len(j.finished)))
	}
	j.finished = nil
	for number := range j.inputs {
		r.unloadInput(j, number)
	}
}

// unloadInput drops a segment's items. r.mu is held.
func (r *Runner) unloadInput(j *job, number int) {
	r.cachedInputBytes -= j.inputs[number].bytes
	delete(j.inputs, number)
}

// takeNext removes the job's next item from its queue. It returns false when there
// is none or the item is not loaded. r.mu is held.
func (r *Runner) takeNext(j *job) (itemRun, bool) {
	index, found := j.state.Next()
	if !found {
		return itemRun{}, false
	}
	next, ran := j.requeued[index]
	if !ran {
		number, offset := j.state.Locate(index)
		loaded := j.inputs[number]
		if loaded == nil || loaded.items == nil {
			return itemRun{}, false
		}
		next = itemRun{job: j, index: index, item: loaded.items[offset]}
	}
	j.state.Take()
	delete(j.requeued, index)
	r.unloadConsumed(j)
	return next, true
}

// unloadConsumed drops the segments without waiting fresh items. r.mu is held.
func (r *Runner) unloadConsumed(j *job) {
	index, found := j.state.NextFresh()
	current := j.state.Segments()
	if found {
		current, _ = j.state.Locate(index)
	}
	for number := range j.inputs {
		if number < current {
			r.unloadInput(j, number)
		}
	}
}

// requeueItem makes an item wait to run again and delays the job's next item
// start by pause. r.mu is held.
func (r *Runner) requeueItem(run itemRun, pause time.Duration) {
	j := run.job
	if !j.state.Requeue(run.index) {
		return
	}
	j.requeued[run.index] = run
	if until := time.Now().Add(pause); until.After(j.notBefore) {
		j.notBefore = until
	}
	r.wakeLocked()
}

// queueOutcome queues an item's outcome for upload. r.mu is held.
func (r *Runner) queueOutcome(run itemRun, code batch.Code, result record.Result) {
	j := run.job
	if !j.state.Finish(run.index) {
		return
	}
	result.Index, result.ID = run.index, run.item.ID
	item := finishedItem{outcome: batch.ItemOutcome{Index: run.index, Code: code}, result: result}
	j.finished = append(j.finished, item)
	r.heldResultBytes += item.bytes()
	if len(j.finished) >= r.config.CommitItems {
		signal(r.wakeUpload)
	}
}

// remaining returns the number of items that have no outcome yet.
func (j *job) remaining() int {
	counts := j.state.Counts()
	return counts.Total - counts.Final() - len(j.finished) - j.uncommitted
}
