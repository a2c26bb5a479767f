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
	// context ends when the job is removed here: cancelled, ended or lost.
	context context.Context
	cancel  context.CancelFunc
	// once is the context of items that must not be repeated. It ends only
	// when the job was cancelled, or Run ends: elsewhere such an item may be
	// joined by its intent, and stopping it would lose its outcome.
	once       context.Context
	cancelOnce context.CancelFunc

	inputs    map[int]*input // loaded segments, by number
	kept      map[int]unit   // items that ran and wait again
	notBefore time.Time      // no item is started before
	warned    bool           // of its deadline
	noRow     bool           // has been reported

	repeatableRunning int
	finished          []finishedItem // waiting to be written
	uploading         bool
	uncommitted       int // outcomes in objects that are being written or committed
}

// input is one segment's items; items is nil while it is being loaded.
type input struct {
	items []record.Item
	bytes int64
}

// unit is one item on its way.
type unit struct {
	job   *job
	index int
	item  record.Item
	kept  []string // tokens of earlier attempts
	tries int      // attempts that ended without word
}

// finishedItem is an outcome that is not durable yet.
type finishedItem struct {
	outcome batch.ItemOutcome
	result  record.Result
}

func (f finishedItem) bytes() int64 {
	return int64(len(f.result.ID) + len(f.result.Text) + len(f.result.Reason) + perResult)
}

// perResult is about what a result takes besides its texts.
const perResult = 96

func (u *unit) repeatable() bool {
	if u.item.Repeatable != nil {
		return *u.item.Repeatable
	}
	return u.job.header.Repeatable
}

// remove takes a job out: its running items are cancelled, and outcomes that
// come later are dropped. Items that must not be repeated run on unless the
// job has ended. r.mu is held.
func (r *Runner) remove(j *job, ended bool) {
	if r.jobs[j.header.ID] != j {
		return
	}
	delete(r.jobs, j.header.ID)
	r.scheduler.Left(j.header.ID)
	j.state.Close()
	j.cancel()
	if ended {
		j.cancelOnce()
	}
	for _, item := range j.finished {
		r.heldBytes -= item.bytes()
	}
	if len(j.finished) > 0 {
		events.ResultsDropped.Log(r.logger, zap.String("job", string(j.header.ID)), zap.Int("items", len(j.finished)))
	}
	j.finished = nil
	for number := range j.inputs {
		r.unload(j, number)
	}
}

// unload drops a segment's items. r.mu is held.
func (r *Runner) unload(j *job, number int) {
	r.cached -= j.inputs[number].bytes
	delete(j.inputs, number)
}

// take takes the job's next item; false when it is not loaded. r.mu is held.
func (r *Runner) take(j *job) (unit, bool) {
	index, found := j.state.Next()
	if !found {
		return unit{}, false
	}
	next, ran := j.kept[index]
	if !ran {
		number, offset := j.state.Locate(index)
		loaded := j.inputs[number]
		if loaded == nil || loaded.items == nil {
			return unit{}, false
		}
		next = unit{job: j, index: index, item: loaded.items[offset]}
	}
	j.state.Take()
	delete(j.kept, index)
	r.trim(j)
	return next, true
}

// trim drops the segments that no item waits in. r.mu is held.
func (r *Runner) trim(j *job) {
	index, found := j.state.NextFresh()
	current := j.state.Segments()
	if found {
		current, _ = j.state.Locate(index)
	}
	for number := range j.inputs {
		if number < current {
			r.unload(j, number)
		}
	}
}

// giveBack returns an item to wait. r.mu is held.
func (r *Runner) giveBack(u unit, pause time.Duration) {
	j := u.job
	if !j.state.Return(u.index) {
		return
	}
	j.kept[u.index] = u
	if until := time.Now().Add(pause); until.After(j.notBefore) {
		j.notBefore = until
	}
	r.wakeLocked()
}

// finish takes an item's outcome. r.mu is held.
func (r *Runner) finish(u unit, code batch.Code, result record.Result) {
	j := u.job
	if !j.state.Finish(u.index) {
		return
	}
	result.Index, result.ID = u.index, u.item.ID
	item := finishedItem{outcome: batch.ItemOutcome{Index: u.index, Code: code}, result: result}
	j.finished = append(j.finished, item)
	r.heldBytes += item.bytes()
	if len(j.finished) >= r.config.CommitItems {
		signal(r.kickUpload)
	}
}

// left is the number of items that have no outcome yet.
func (j *job) left() int {
	counts := j.state.Counts()
	return counts.Total - counts.Final() - len(j.finished) - j.uncommitted
}
