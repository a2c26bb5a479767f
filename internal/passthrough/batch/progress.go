package batch

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"

	"ringstream.example/ringstream/internal/core/passjob"
	"ringstream.example/ringstream/internal/events"
	"ringstream.example/ringstream/internal/passthrough"
	"ringstream.example/ringstream/internal/wait"
)

// tablePartial is the table of partial texts. They let another owner resume an item after its last
// event.
const tablePartial = "partials"

// progress is the text that an item's runs have produced so far.
type progress struct {
	pieces    []string // the data of each event
	events    int
	lastEvent string
	software  string // version of the engines that wrote it; empty if an earlier build saved it
	restarts  int    // how often the item has started anew
	epoch     int64  // of the owner that saved its last loaded row; 0 if an earlier build saved it
}

// loadedEvents returns how many events of a loaded text need not be saved again. Rows of an earlier build, which do
// not name their owner, are replaced, since later ones are not joined to them.
func (p *progress) loadedEvents() int {
	if p.epoch == 0 {
		return 0
	}
	return p.events
}

func (p *progress) add(lastEvent, data string) {
	p.pieces = append(p.pieces, data)
	p.events++
	p.lastEvent = lastEvent
}

// join returns the text: the data of all events, separated by line feeds.
func (p *progress) join() string { return strings.Join(p.pieces, "\n") }

// partial is one row of tablePartial.
type partial struct {
	LastEvent string   `json:"last_event"`
	Pieces    []string `json:"pieces"` // consecutive, starting with number First
	First     int      `json:"first"`  // number of the first piece
	Software  string   `json:"software,omitempty"`
	Restarts  int      `json:"restarts,omitempty"`
	Epoch     int64    `json:"epoch,omitempty"` // of the owner that saved it
}

// maxPartialBytes is the size of text at which a row is full.
const maxPartialBytes = 36_000

// partialKey returns the key of a row. The rows of an item sort by the number of their first piece.
func partialKey(job string, index, first int) string {
	return fmt.Sprintf("%s/%06d/%06d", job, index, first)
}

// unsavedRows returns rows with the events that the store lacks. The caller holds Service.mu.
func (s *Service) unsavedRows(job *ownedJob, index int) []passthrough.Row {
	work := &job.work[index]
	var rows []passthrough.Row
	for first := work.savedEvents; first < work.text.events; {
		last, size := first, 0
		for last < work.text.events && size < maxPartialBytes {
			size += len(work.text.pieces[last]) + 1
			last++
		}
		piece := partial{Pieces: slices.Clone(work.text.pieces[first:last]), First: first, Software: work.text.software, Restarts: work.text.restarts, Epoch: job.epoch}
		if last == work.text.events {
			piece.LastEvent = work.text.lastEvent
		}
		value, err := json.Marshal(piece)
		if err != nil {
			return nil // events that are not valid text are not saved
		}
		rows = append(rows, passthrough.Row{Table: tablePartial, Part: s.config.shard(job.id), Key: partialKey(job.id, index, first), Value: value})
		first = last
	}
	return rows
}

// loadProgress reads the progress that earlier owners saved. It retries until it succeeds: if an
// item started again while rows of an earlier run exist, pieces of both runs could be joined.
func (s *Service) loadProgress(ctx context.Context, record passjob.Record) map[int]progress {
	kept := make(map[int]progress)
	if record.Epoch <= 1 {
		return kept
	}
	from, to := record.ID+"/", record.ID+"0"
	for attempt := 0; ctx.Err() == nil; {
		call, cancel := context.WithTimeout(ctx, storeCallTimeout)
		snapshot, err := s.store.List(call, tablePartial, s.config.shard(record.ID), from, to, 0)
		cancel()
		if err != nil {
			attempt++
			wait.For(ctx, retryPause(attempt))
			continue
		}
		for _, row := range snapshot.Rows {
			addPartial(kept, row, len(record.Items))
		}
		if !snapshot.More || len(snapshot.Rows) == 0 {
			break
		}
		from = snapshot.Rows[len(snapshot.Rows)-1].Key + "\x00"
	}
	for index, text := range kept {
		if text.lastEvent == "" {
			delete(kept, index) // the event to resume from is not known
		}
	}
	events.ProgressLoaded.Log(s.Logger, zap.String("job", record.ID), zap.Int64("epoch", record.Epoch), zap.Int("items", len(kept)))
	return kept
}

func addPartial(kept map[int]progress, row passthrough.Row, items int) {
	_, rest, _ := strings.Cut(row.Key, "/")
	index := 0
	if _, err := fmt.Sscanf(rest, "%06d/", &index); err != nil || index < 0 || index >= items {
		return
	}
	piece, err := decodePartial(row.Value)
	if err != nil {
		return // the item resumes from the rows before it, or starts again
	}
	text := kept[index]
	if text.events == 0 {
		text.software, text.restarts = piece.Software, piece.Restarts
	}
	unordered := text.events > 0 && text.epoch == 0 && piece.Epoch > 0 // the row before may be of a later owner
	if piece.First != text.events || piece.Software != text.software || piece.Restarts != text.restarts || piece.Epoch < text.epoch || unordered {
		return // from a run whose rows a later owner has replaced, or from before the item started anew
	}
	text.epoch = piece.Epoch
	text.pieces = append(text.pieces, piece.Pieces...)
	text.events += len(piece.Pieces)
	text.lastEvent = piece.LastEvent
	kept[index] = text
}

// Progress is saved at intervals, so that the loss of a machine costs little work. Items that have
// just started are cheaper to run again.
const (
	saveInterval     = 1500 * time.Millisecond
	minUnsavedEvents = 60 // events that the store lacks
	maxSaveRows      = 90
	maxSaveBytes     = 600_000 // in one transaction
)

// saveProgress saves the progress of running items until ctx ends.
func (s *Service) saveProgress(ctx context.Context) error {
	for wait.For(ctx, time.Duration(float64(saveInterval)*s.writeLatency.slowness())) {
		if s.stale() {
			continue
		}
		for _, job := range s.ownedJobs() {
			s.saveJob(ctx, job, minUnsavedEvents)
		}
	}
	return nil
}

func (s *Service) ownedJobs() []*ownedJob {
	s.mu.Lock()
	defer s.mu.Unlock()
	jobs := make([]*ownedJob, 0, len(s.owned))
	for _, job := range s.owned {
		jobs = append(jobs, job)
	}
	return jobs
}

// saveJob saves the progress of a job under a compare of its record, so that a former owner cannot
// overwrite rows of a later owner.
func (s *Service) saveJob(ctx context.Context, job *ownedJob, minEvents int) {
	s.mu.Lock()
	if job.writing {
		s.mu.Unlock()
		return
	}
	rows, saved := s.gatherProgress(job, minEvents)
	if len(rows) == 0 {
		s.mu.Unlock()
		return
	}
	job.writing = true
	expected := passthrough.Expectation{Table: tableJobs, Part: s.config.shard(job.id), Key: job.id, Version: job.version}
	s.mu.Unlock()
	result, err := s.commit(ctx, passthrough.Transaction{Expected: []passthrough.Expectation{expected}, Put: rows})
	if err == nil && !result.Applied {
		s.resumeFromCurrent(job, result.Current)
	}
	s.mu.Lock()
	job.writing = false
	if err == nil && result.Applied {
		for index, text := range saved {
			job.work[index].recordSaved(text)
		}
	}
	s.mu.Unlock()
	s.flush(job)
}

// savedText is how much of an item's text a transaction saves.
type savedText struct{ events, restarts int }

// recordSaved records that a transaction has saved text, unless the item has started anew since. The
// caller holds Service.mu.
func (w *itemWork) recordSaved(text savedText) {
	if text.restarts == w.text.restarts {
		w.savedEvents = max(w.savedEvents, text.events)
	}
}

// gatherProgress collects unsaved rows. The caller holds Service.mu.
func (s *Service) gatherProgress(job *ownedJob, minEvents int) (rows []passthrough.Row, saved map[int]savedText) {
	saved = make(map[int]savedText)
	size := 0
	for index := range job.work {
		work := &job.work[index]
		if work.finished != passjob.Open || job.record.Items[index].State != passjob.Open || work.text.events-work.savedEvents < minEvents {
			continue
		}
		unsaved := s.unsavedRows(job, index)
		added := 0
		for _, row := range unsaved {
			added += len(row.Value)
		}
		if len(rows)+len(unsaved) > maxSaveRows || size+added > maxSaveBytes {
			continue // those behind it may fit
		}
		size += added
		rows = append(rows, unsaved...)
		saved[index] = savedText{events: work.text.events, restarts: work.text.restarts}
	}
	return rows, saved
}
