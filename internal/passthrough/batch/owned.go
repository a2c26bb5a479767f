package batch

import (
	"context"
	"errors"
	"fmt"
	"time"

	"go.uber.org/zap"

	"ringstream.example/ringstream/internal/core/enginechoice"
	"ringstream.example/ringstream/internal/core/passjob"
	"ringstream.example/ringstream/internal/events"
	"ringstream.example/ringstream/internal/passthrough"
	"ringstream.example/ringstream/internal/passthrough/slots"
	"ringstream.example/ringstream/internal/wait"
)

// itemWork is the owner's work on one item; guarded by Service.mu.
type itemWork struct {
	running   bool
	ask       uint64                   // that waits for a slot; 0: none
	engine    enginechoice.Incarnation // that runs it, or ran it last
	slot      *slots.Slot              // of the run
	yield     context.CancelFunc       // stops the run, to make room
	yieldedAt time.Time                // when its last run was stopped to make room
	notBefore time.Time                // of the next run
	unrun     int                      // engines that turned it away in a row
	text      progress
	saved     int  // events of the text that the store has
	held      bool // its content is blocked, and that was logged
	failed    bool // a failure waits to be written; no run before that
	// finished is the state to be listed under; Open while the item runs.
	finished passjob.ItemState
}

// ownedJob is a job that this node owns, under one epoch.
type ownedJob struct {
	// What does not change during the ownership is read without a lock.
	id      string
	host    string
	tenant  string // empty: it is of none
	epoch   int64
	itemIDs []string
	since   time.Time       // when this node took it
	ctx     context.Context // ends with the ownership
	cancel  context.CancelFunc
	// runs ends with the ownership, or earlier when the job is handed over.
	runs     context.Context
	stopRuns context.CancelFunc

	// The rest is guarded by Service.mu.
	record  passjob.Record
	version int64
	items   []passthrough.Item // nil until loaded
	work    []itemWork
	writing bool // one transaction at a time
}

// newOwnedJob makes the ownership of a job as its row tells it.
func newOwnedJob(record passjob.Record, version int64, items []passthrough.Item) *ownedJob {
	job := &ownedJob{
		id: record.ID, host: record.Host, tenant: record.Tenant, epoch: record.Epoch, itemIDs: make([]string, len(record.Items)), since: time.Now(),
		record: record, version: version, items: items, work: make([]itemWork, len(record.Items)),
	}
	for index, item := range record.Items {
		job.itemIDs[index] = item.ID
	}
	job.ctx, job.cancel = context.WithCancel(context.Background())
	job.runs, job.stopRuns = context.WithCancel(job.ctx)
	return job
}

// adopt makes this node run a job that it owns in the store.
func (s *Service) adopt(record passjob.Record, version int64, items []passthrough.Item) {
	if record.Owner != s.Self {
		return
	}
	job := newOwnedJob(record, version, items)
	s.mu.Lock()
	if s.leaving {
		s.mu.Unlock()
		job.cancel()
		s.releaseNow(record, version)
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
	s.signal()
}

// load reads a taken-over job's bodies, and what was kept of its items' texts.
func (s *Service) load(job *ownedJob, record passjob.Record) {
	items, err := s.loadItems(job.ctx, record)
	if err != nil {
		events.JobNotLoaded.Log(s.Logger, zap.String("job", record.ID), zap.Error(err))
		return
	}
	partials := s.loadProgress(job.ctx, record)
	s.mu.Lock()
	job.items = items
	for index, kept := range partials {
		job.work[index].text = kept
		job.work[index].saved = kept.events
	}
	s.mu.Unlock()
	s.signal()
}

// loadItems reads bodies until they come or the ownership ends.
func (s *Service) loadItems(ctx context.Context, record passjob.Record) ([]passthrough.Item, error) {
	for attempt := 0; ; attempt++ {
		body, err := s.readBody(ctx, record)
		if err == nil {
			return s.itemsIn(body, record)
		}
		if errors.Is(err, passthrough.ErrNotFound) && attempt >= objectMisses {
			return nil, err
		}
		if !wait.For(ctx, retryPause(attempt)) {
			return nil, err
		}
	}
}

// itemsIn reads a job's body, which has to hold the items that its record names.
func (s *Service) itemsIn(body []byte, record passjob.Record) ([]passthrough.Item, error) {
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

// objectMisses is how often an object may be missing before that is believed.
const objectMisses = 5

// readBody reads a job as it was handed in.
func (s *Service) readBody(ctx context.Context, record passjob.Record) ([]byte, error) {
	if record.Object != "" {
		return s.getObject(ctx, record.Object)
	}
	body := make([]byte, 0, record.BodyBytes)
	from, to := record.ID+"/", record.ID+"0"
	for {
		call, cancel := context.WithTimeout(ctx, callTime)
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

func (s *Service) getObject(ctx context.Context, name string) ([]byte, error) {
	call, cancel := context.WithTimeout(ctx, objectTime)
	defer cancel()
	started := time.Now()
	body, err := s.Objects.GetObject(call, name)
	s.metrics.store.WithLabelValues("get_object", outcomeOf(err)).Observe(time.Since(started).Seconds())
	return body, err
}

// drop ends this node's work on a job.
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
		events.JobLetGo.Log(s.Logger, zap.String("job", record.ID), zap.String("why", why), zap.Int64("epoch", record.Epoch), zap.Int("listed", record.Listed), zap.Int("items", len(record.Items)))
	}
}

// flush writes what has happened to a job's items; one transaction at a time.
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
		change, some := s.nextChange(job)
		if !some || s.owned[job.id] != job {
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

// change is one transaction's worth of news of a job.
type change struct {
	record passjob.Record
	texts  []passthrough.Row
	listed []int // items
	failed []int
	done   bool // nothing is left to run
}

// nextChange gathers what is to be written; the caller holds Service.mu.
func (s *Service) nextChange(job *ownedJob) (change, bool) {
	next := change{record: job.record.Clone()}
	bytes := 0
	for index := range job.work {
		work := &job.work[index]
		if work.failed {
			next.record.Fail(index)
			next.failed = append(next.failed, index)
		}
		if work.finished == passjob.Open || job.record.Items[index].State != passjob.Open || bytes > commitBytes || len(next.texts) > textRows {
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

// textRows is the most rows of texts in one transaction before another starts.
const textRows = 70

// textRows cuts a text into rows; an empty text is one empty row.
func (s *Service) textRows(job string, position int, text string) []passthrough.Row {
	shard := s.config.shard(job)
	var rows []passthrough.Row
	for piece := 0; piece == 0 || text != ""; piece++ {
		length := min(len(text), textChunk)
		rows = append(rows, passthrough.Row{Table: tableTexts, Part: shard, Key: textKey(job, position, piece), Value: []byte(text[:length])})
		text = text[length:]
	}
	return rows
}

// writeChange writes a change until its outcome is known; false when the job
// is no longer this node's.
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
		return s.takeCurrent(job, result.current)
	}
	s.applied(job, next, result.version)
	return true
}

// takeCurrent goes on from the record that a failed compare showed, when the
// job is still this node's.
func (s *Service) takeCurrent(job *ownedJob, current []passthrough.Row) bool {
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

func (s *Service) applied(job *ownedJob, next change, version int64) {
	s.mu.Lock()
	job.record, job.version = next.record, version
	for _, index := range next.failed {
		job.work[index].failed = false
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
	s.signal()
}

// KnownJobs counts the jobs of the store that this node has heard of.
func (s *Service) KnownJobs() int { return len(s.view.all()) }

// OwnedJobs counts the jobs that this node runs.
func (s *Service) OwnedJobs() int { return len(s.ownedJobs()) }

// EventsKept counts the events that this node keeps of a job's open items.
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
