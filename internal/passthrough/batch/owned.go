package batch

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"go.uber.org/zap"

	"ringstream.example/ringstream/internal/core/enginechoice"
	"ringstream.example/ringstream/internal/core/passjob"
	"ringstream.example/ringstream/internal/events"
	"ringstream.example/ringstream/internal/passthrough"
	"ringstream.example/ringstream/internal/passthrough/slots"
	"ringstream.example/ringstream/internal/wait"
)

// itemWork is the state of one item at the job's owner. It is guarded by Service.mu.
type itemWork struct {
	running        bool
	slotRequestID  uint64                   // of the pending slot request; 0: none
	slotPool       string                   // pool of the pending slot request; empty: none
	engine         enginechoice.Incarnation // runs the item, or ran it last
	slot           *slots.Slot              // of the current run
	cancelRun      context.CancelFunc       // preempts the current run; nil: none can be preempted
	preemptedAt    time.Time                // when the last run was preempted
	firstEventAt   time.Time                // of the current run; zero before it
	notBefore      time.Time                // earliest start of the next run
	leftSlow       enginechoice.Incarnation // engine whose run was stopped since it is slow; zero: none
	refusals       int                      // consecutive runs that no engine started
	text           progress
	savedEvents    int  // number of events of text that the store has
	held           bool // an operator has blocked its content, and this was logged
	pausedFor      int  // number of crashes for which the last logged pause was
	exceedsMemory  bool // its prompt is larger than the memory of each engine, and this was logged
	failurePending bool // a failure is not written yet; the item does not run before it is
	// finished is the final state of the item, not necessarily written yet; Open until then.
	finished passjob.ItemState
}

// ownedJob is a job that this node owns under one epoch.
type ownedJob struct {
	// The following fields do not change during the ownership, and are read without a lock.
	id         string
	host       string
	tenant     string // empty: none
	epoch      int64
	itemIDs    []string
	acquiredAt time.Time       // when this node became the owner
	ctx        context.Context // done when the ownership ends
	cancel     context.CancelFunc
	// runContext is done when the ownership ends, or earlier when the job is handed over.
	runContext context.Context
	cancelRuns context.CancelFunc

	// The remaining fields are guarded by Service.mu.
	record  passjob.Record
	version int64
	items   []passthrough.Item // nil until loaded
	work    []itemWork
	writing bool // a transaction is in flight; there is one at a time
}

// newOwnedJob returns the ownership of a job with the given record.
func newOwnedJob(record passjob.Record, version int64, items []passthrough.Item) *ownedJob {
	job := &ownedJob{
		id: record.ID, host: record.Host, tenant: record.Tenant, epoch: record.Epoch, itemIDs: make([]string, len(record.Items)), acquiredAt: time.Now(),
		record: record, version: version, items: items, work: make([]itemWork, len(record.Items)),
	}
	for index, item := range record.Items {
		job.itemIDs[index] = item.ID
	}
	job.ctx, job.cancel = context.WithCancel(context.Background())
	job.runContext, job.cancelRuns = context.WithCancel(job.ctx)
	return job
}

// adopt makes this node run a job that it owns in the store. A node that is leaving releases the
// job instead.
func (s *Service) adopt(record passjob.Record, version int64, items []passthrough.Item) {
	if record.Owner != s.Self {
		return
	}
	job := newOwnedJob(record, version, items)
	s.mu.Lock()
	if s.leaving {
		s.mu.Unlock()
		job.cancel()
		s.releaseWhileLeaving(record, version)
		return
	}
	if earlier := s.owned[record.ID]; earlier != nil {
		earlier.cancel()
	}
	s.owned[record.ID] = job
	s.metrics.owned.Set(float64(len(s.owned)))
	s.mu.Unlock()
	if items == nil {
		go s.load(job, record)
	}
	s.wakeScheduler()
}

// load reads the body of a job that was taken over, and the saved progress of its items.
func (s *Service) load(job *ownedJob, record passjob.Record) {
	items, err := s.loadItems(job.ctx, record)
	if err != nil {
		s.logNotLoaded(record, err)
		return
	}
	partials := s.loadProgress(job.ctx, record)
	s.mu.Lock()
	job.items = items
	for index, kept := range partials {
		job.work[index].text = kept
		job.work[index].savedEvents = kept.loadedEvents()
	}
	s.mu.Unlock()
	s.wakeScheduler()
}

func (s *Service) logNotLoaded(record passjob.Record, err error) {
	events.JobNotLoaded.Log(s.Logger, zap.String("job", record.ID), zap.Error(err))
}

// loadItems reads a job's items. It retries until the body is there or ctx ends.
func (s *Service) loadItems(ctx context.Context, record passjob.Record) ([]passthrough.Item, error) {
	for attempt := 0; ; attempt++ {
		body, err := s.readBody(ctx, record)
		if err == nil {
			return s.parseItems(body, record)
		}
		if errors.Is(err, passthrough.ErrNotFound) && attempt == maxObjectMisses {
			s.logNotLoaded(record, err)
		}
		if !wait.For(ctx, retryPause(attempt)) {
			return nil, err
		}
	}
}

// parseItems parses a job's body, which must hold the items that the record names.
func (s *Service) parseItems(body []byte, record passjob.Record) ([]passthrough.Item, error) {
	items, err := s.Format.Items(body)
	if err != nil {
		return nil, err
	}
	if len(items) != len(record.Items) {
		return nil, fmt.Errorf("the body of job %s holds %d items, its record %d", record.ID, len(items), len(record.Items))
	}
	for index, item := range items {
		if item.ID != record.Items[index].ID {
			return nil, fmt.Errorf("the body of job %s has %q where its record has %q", record.ID, item.ID, record.Items[index].ID)
		}
	}
	return items, nil
}

// maxObjectMisses is the number of failed attempts to read a body after which a missing body is logged.
const maxObjectMisses = 5

// readBody reads a job's body as it was submitted.
func (s *Service) readBody(ctx context.Context, record passjob.Record) ([]byte, error) {
	if record.Object != "" {
		return s.readObject(ctx, record)
	}
	body := make([]byte, 0, record.BodyBytes)
	from, to := record.ID+"/", record.ID+"0"
	for {
		call, cancel := context.WithTimeout(ctx, storeCallTimeout)
		snapshot, err := s.store.List(call, tableBodies, s.config.shard(record.ID), from, to, 0)
		cancel()
		if err != nil {
			return nil, err
		}
		for _, row := range snapshot.Rows {
			body = append(body, row.Value...)
		}
		if !snapshot.More || len(snapshot.Rows) == 0 {
			break
		}
		from = snapshot.Rows[len(snapshot.Rows)-1].Key + "\x00"
	}
	if len(body) != record.BodyBytes {
		return nil, fmt.Errorf("%w: %d of %d bytes of the job's body", passthrough.ErrNotFound, len(body), record.BodyBytes)
	}
	return body, nil
}

// readObject reads a job's body that is stored as an object. The answer with an object may end with its connection,
// so that only the record tells its length.
func (s *Service) readObject(ctx context.Context, record passjob.Record) ([]byte, error) {
	body, err := s.getObject(ctx, record.Object)
	if err != nil {
		return nil, err
	}
	if record.BodyBytes > 0 && len(body) != record.BodyBytes {
		return nil, fmt.Errorf("%w: %d of %d bytes of the job's body", io.ErrUnexpectedEOF, len(body), record.BodyBytes)
	}
	return body, nil
}

func (s *Service) getObject(ctx context.Context, name string) ([]byte, error) {
	call, cancel := context.WithTimeout(ctx, objectCallTimeout)
	defer cancel()
	started := time.Now()
	body, err := s.Objects.GetObject(call, name)
	s.metrics.store.WithLabelValues("get_object", outcomeOf(err)).Observe(time.Since(started).Seconds())
	return body, err
}

// drop ends this node's ownership of a job.
func (s *Service) drop(job *ownedJob, why string) {
	s.mu.Lock()
	current := s.owned[job.id] == job
	if current {
		delete(s.owned, job.id)
		s.metrics.owned.Set(float64(len(s.owned)))
	}
	record := job.record
	s.mu.Unlock()
	job.cancel()
	if current {
		events.JobDropped.Log(s.Logger, zap.String("job", record.ID), zap.String("why", why), zap.Int64("epoch", record.Epoch), zap.Int("listed", record.Listed), zap.Int("items", len(record.Items)))
	}
}

// flush writes the changes of a job's items to the store, one transaction at a time.
func (s *Service) flush(job *ownedJob) {
	s.mu.Lock()
	if job.writing {
		s.mu.Unlock()
		return
	}
	job.writing = true
	s.mu.Unlock()
	go s.flushLoop(job)
}

func (s *Service) flushLoop(job *ownedJob) {
	for {
		s.mu.Lock()
		change, found := s.nextChange(job)
		if !found || s.owned[job.id] != job {
			job.writing = false
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		if !s.writeChange(job, change) {
			s.mu.Lock()
			job.writing = false
			s.mu.Unlock()
			return
		}
	}
}

// change holds the changes of a job that go into one transaction.
type change struct {
	record passjob.Record
	texts  []passthrough.Row
	listed []int // indexes of items that are listed
	failed []int // indexes of items with a further failure
	done   bool  // no item is left to run
}

// nextChange collects the changes to write next. The caller holds Service.mu.
func (s *Service) nextChange(job *ownedJob) (change, bool) {
	next := change{record: job.record.Clone()}
	bytes := 0
	for index := range job.work {
		work := &job.work[index]
		if work.failurePending {
			next.record.Fail(index)
			next.failed = append(next.failed, index)
		}
		if work.finished == passjob.Open || job.record.Items[index].State != passjob.Open || bytes > maxCommitBytes || len(next.texts) > maxTextRows {
			continue
		}
		position, ok := next.record.List(index, work.finished)
		if !ok {
			continue
		}
		next.listed = append(next.listed, index)
		text := work.text.join()
		if work.finished == passjob.DeadLetter {
			text = ""
		}
		bytes += len(text)
		next.texts = append(next.texts, s.textRows(job.id, position, text)...)
	}
	next.done = !next.record.Active()
	if next.done {
		next.record.Release()
	}
	return next, len(next.listed)+len(next.failed) > 0
}

// maxTextRows is the number of text rows in one transaction above which no further text is added.
const maxTextRows = 70

// textRows splits a text into rows. An empty text is one empty row.
func (s *Service) textRows(job string, position int, text string) []passthrough.Row {
	shard := s.config.shard(job)
	var rows []passthrough.Row
	for piece := 0; piece == 0 || text != ""; piece++ {
		length := min(len(text), textChunkBytes)
		rows = append(rows, passthrough.Row{Table: tableTexts, Part: shard, Key: textKey(job, position, piece), Value: []byte(text[:length])})
		text = text[length:]
	}
	return rows
}

// writeChange writes a change and waits until its outcome is known. It returns false if the outcome
// stays unknown or the job is no longer owned by this node.
func (s *Service) writeChange(job *ownedJob, next change) bool {
	started := time.Now()
	result, err := s.writeRecord(job.ctx, passthrough.Transaction{Put: next.texts}, next.record, job.version)
	if err != nil {
		return false
	}
	events.JobWritten.Log(s.Logger, zap.String("job", next.record.ID), zap.Bool("applied", result.applied), zap.Int64("epoch", next.record.Epoch),
		zap.Int64("expected_version", job.version), zap.Int("results", len(next.listed)), zap.Int("failures", len(next.failed)),
		zap.Int("listed", next.record.Listed), zap.Duration("elapsed", time.Since(started)))
	if !result.applied {
		return s.resumeFromCurrent(job, result.current)
	}
	s.applyChange(job, next, result.version)
	return true
}

// resumeFromCurrent adopts the record that a failed compare returned, if this node still owns the
// job under the same epoch. Otherwise it drops the job and returns false.
func (s *Service) resumeFromCurrent(job *ownedJob, current []passthrough.Row) bool {
	record, row, found := currentRecord(current, job.id)
	if found {
		s.learn(row)
	}
	if !found || record.Owner != s.Self || record.Epoch != job.epoch {
		s.drop(job, "another write came first")
		return false
	}
	s.mu.Lock()
	job.record, job.version = record, row.Version
	s.mu.Unlock()
	return true
}

// applyChange updates a job in memory after a change was written.
func (s *Service) applyChange(job *ownedJob, next change, version int64) {
	s.mu.Lock()
	job.record, job.version = next.record, version
	for _, index := range next.failed {
		job.work[index].failurePending = false
	}
	for _, index := range next.listed {
		text := ""
		if job.work[index].finished == passjob.Succeeded {
			text = job.work[index].text.join()
		}
		s.texts.put(next.record.ID, next.record.Items[index].Position, text)
		job.work[index].text = progress{}
	}
	s.mu.Unlock()
	if next.done {
		s.drop(job, "all items are listed")
	}
	s.wakeScheduler()
}

// KnownJobs returns the number of jobs in this node's copy of the store.
func (s *Service) KnownJobs() int { return len(s.view.all()) }

// OwnedJobs returns the number of jobs that this node owns.
func (s *Service) OwnedJobs() int { return len(s.ownedJobs()) }

// EventsKept returns the number of events that this node holds for the open items of a job.
func (s *Service) EventsKept(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	kept := 0
	if job := s.owned[id]; job != nil {
		for index := range job.work {
			kept += job.work[index].text.events
		}
	}
	return kept
}
