package batch

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"

	"ringstream.example/ringstream/internal/core/passjob"
	"ringstream.example/ringstream/internal/events"
	"ringstream.example/ringstream/internal/passthrough"
	"ringstream.example/ringstream/internal/passthrough/relay"
	"ringstream.example/ringstream/internal/wait"
)

// Bounds of calls about jobs.
const (
	readTime      = 2 * time.Second
	longestWait   = time.Second
	resultBytes   = 900_000 // of texts in one answer
	resultsMost   = 400     // texts in one answer
	itemCacheSize = 16
)

// Call answers a call about a job.
func (s *Service) Call(to http.ResponseWriter, request *http.Request, call passthrough.JobCall, demand passthrough.Demand) {
	started := time.Now()
	ctx, cancel := context.WithTimeout(request.Context(), readTime+min(demand.Wait, longestWait))
	defer cancel()
	answered := callOutcome{evidence: fromCopy, asked: s.follower.Health().AsOf}
	switch call.Kind {
	case passthrough.ReadResults:
		answered.status = s.answerResults(ctx, to, call, min(demand.Wait, longestWait), &answered)
	case passthrough.ReadItem:
		answered.status = s.answerItem(ctx, to, call)
	default:
		answered.status = s.answerEnd(ctx, to, call)
	}
	known, _ := s.view.job(call.Job)
	events.JobCallAnswered.Log(s.Logger, zap.String("job", call.Job), zap.String("tenant", call.Tenant), zap.Uint8("call", uint8(call.Kind)), zap.Int("status", answered.status), zap.Int("from", call.From),
		zap.Int("listed", answered.listed), zap.Int64("row_version", known.version), zap.Duration("view_age", time.Since(s.follower.Health().AsOf)),
		zap.String("evidence", string(answered.evidence)), zap.Duration("evidence_age", time.Since(answered.asked)), zap.Duration("elapsed", time.Since(started)))
}

// evidence says what an answer about a job rests on.
type evidence string

// What an answer may rest on.
const (
	fromCopy  evidence = "copy"
	fromStore evidence = "store"
)

// callOutcome is how a call about a job was answered, for the log.
type callOutcome struct {
	status   int
	listed   int // results of the job, as the answer has it
	evidence evidence
	asked    time.Time // when the evidence was asked for; of the copy: when it was last confirmed
}

// find gives a job from the view, or from the store when the view lacks it; found is false only when the store says so.
func (s *Service) find(ctx context.Context, id string) (known entry, found bool, err error) {
	if known, found = s.view.job(id); found {
		return known, true, nil
	}
	for attempt := 0; ; attempt++ {
		record, version, found, err := s.readRecord(ctx, id)
		if err == nil {
			return entry{record: record, version: version}, found, nil
		}
		if !wait.For(ctx, retryPause(attempt)) {
			return entry{}, false, err
		}
	}
}

// findFor gives a call's job as its caller may see it: another tenant's is not
// there.
func (s *Service) findFor(ctx context.Context, call passthrough.JobCall) (known entry, found bool, err error) {
	known, found, err = s.find(ctx, call.Job)
	return known, found && known.record.OpenTo(call.Tenant), err
}

func (s *Service) refuseCall(to http.ResponseWriter, found bool, err error) int {
	if err == nil && !found {
		s.metrics.denials.WithLabelValues(deniedJob).Inc()
		relay.WriteRefusal(to, http.StatusNotFound, relay.Refusal{Code: "no_such_job", Message: "there is no such job", Run: relay.RunNot})
		return http.StatusNotFound
	}
	relay.RefuseNotRun(to, s.Headers, refuseAfter, "store_unavailable", "the store cannot be asked about the job")
	return http.StatusServiceUnavailable
}

// answerResults gives the results from a position on; with a wait it is held
// until there is one. That there is none, and that the job may have more, is said on the store's
// word alone; a job that has ended or has all its results listed gets no more of them.
func (s *Service) answerResults(ctx context.Context, to http.ResponseWriter, call passthrough.JobCall, hold time.Duration, answered *callOutcome) int {
	received := time.Now()
	known, found, err := s.findFor(ctx, call)
	if err != nil || !found {
		return s.refuseCall(to, found, err)
	}
	known = s.awaitResult(ctx, known, call.From, received.Add(hold))
	if call.From >= known.record.Listed && known.record.Active() {
		confirmed := s.confirmations.confirm(ctx, call.Job, received)
		answered.evidence, answered.asked = fromStore, confirmed.asked
		if confirmed.err != nil || !confirmed.found {
			return s.refuseCall(to, confirmed.found, confirmed.err)
		}
		known = confirmed.entry
		if call.From >= known.record.Listed {
			s.metrics.denials.WithLabelValues(deniedResult).Inc()
		}
	}
	answered.listed = known.record.Listed
	from := max(call.From, 0)
	texts, err := s.textsFrom(ctx, known.record, from)
	if err != nil {
		return s.refuseCall(to, true, err)
	}
	order := known.record.ItemAt()
	results := make([]passthrough.ItemResult, 0, len(texts))
	for i, text := range texts {
		item := known.record.Items[order[from+i]]
		results = append(results, passthrough.ItemResult{ID: item.ID, Succeeded: item.State == passjob.Succeeded, Text: text})
	}
	to.Header().Set("Content-Type", "application/json")
	_, _ = to.Write(s.Format.Results(len(known.record.Items), from+len(results), results)) // the client may have left
	return http.StatusOK
}

// awaitResult waits until a job has a result at a position, can have none, or time is up.
func (s *Service) awaitResult(ctx context.Context, known entry, position int, until time.Time) entry {
	for position >= known.record.Listed && known.record.Active() && time.Now().Before(until) && ctx.Err() == nil {
		known = s.awaitChange(ctx, known, until)
	}
	return known
}

func (s *Service) awaitChange(ctx context.Context, known entry, until time.Time) entry {
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	changed := known.changed
	if changed == nil {
		return s.pollView(ctx, known)
	}
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-changed:
	}
	if newer, found := s.view.job(known.record.ID); found {
		return newer
	}
	return known
}

// pollView waits a moment for a job that was read from the store.
func (s *Service) pollView(ctx context.Context, known entry) entry {
	wait.For(ctx, catchUpPause)
	if newer, found := s.view.job(known.record.ID); found && newer.version >= known.version {
		return newer
	}
	return known
}

// textsFrom gives the texts at a position and on, as many as fit.
func (s *Service) textsFrom(ctx context.Context, record passjob.Record, from int) ([]string, error) {
	var texts []string
	size := 0
	for position := from; position < record.Listed && size < resultBytes && len(texts) < resultsMost; position++ {
		text, found := s.texts.get(record.ID, position)
		if !found {
			if err := s.fetchTexts(ctx, record, position); err != nil {
				return texts, lessIsEnough(texts, err)
			}
			if text, found = s.texts.get(record.ID, position); !found {
				return texts, lessIsEnough(texts, errTextMissing)
			}
		}
		if len(texts) > 0 && size+len(text) > resultBytes {
			break
		}
		size += len(text)
		texts = append(texts, text)
	}
	return texts, nil
}

var errTextMissing = errors.New("the store lacks a text that is listed")

// lessIsEnough drops an error when there is something to answer with.
func lessIsEnough(texts []string, err error) error {
	if len(texts) > 0 {
		return nil
	}
	return err
}

// fetchTexts reads texts from a position on into the cache, until the next
// one that is there already.
func (s *Service) fetchTexts(ctx context.Context, record passjob.Record, position int) error {
	from := textBound(record.ID, position)
	to := textBound(record.ID, record.Listed)
	for next := position + 1; next < record.Listed; next++ {
		if _, found := s.texts.get(record.ID, next); found {
			to = textBound(record.ID, next)
			break
		}
	}
	var pending string
	at := position
	for attempt := 0; ; {
		call, cancel := context.WithTimeout(ctx, callTime)
		snapshot, err := s.store.List(call, tableTexts, s.config.shard(record.ID), from, to, 0)
		cancel()
		if err != nil {
			attempt++
			if !wait.For(ctx, retryPause(attempt)) {
				return err
			}
			continue
		}
		for _, row := range snapshot.Rows {
			place, ok := positionOf(row.Key)
			if !ok {
				continue
			}
			if place != at {
				s.texts.put(record.ID, at, pending)
				at, pending = place, ""
			}
			pending += string(row.Value)
		}
		if !snapshot.More || len(snapshot.Rows) == 0 {
			if len(snapshot.Rows) > 0 || pending != "" {
				s.texts.put(record.ID, at, pending)
			}
			return nil
		}
		from = snapshot.Rows[len(snapshot.Rows)-1].Key + "\x00"
	}
}

// answerItem gives the body of an item.
func (s *Service) answerItem(ctx context.Context, to http.ResponseWriter, call passthrough.JobCall) int {
	known, found, err := s.findFor(ctx, call)
	if err != nil || !found {
		return s.refuseCall(to, found, err)
	}
	index, found := known.record.Index(call.Item)
	if !found || known.record.Ended {
		relay.WriteRefusal(to, http.StatusNotFound, relay.Refusal{Code: "no_such_item", Message: "the job has no such item, or has ended", Run: relay.RunNot})
		return http.StatusNotFound
	}
	items, err := s.itemsOf(ctx, known.record)
	if err != nil {
		return s.refuseCall(to, true, err)
	}
	to.Header().Set("Content-Type", "application/octet-stream")
	_, _ = to.Write(items[index].Body) // the client may have left
	return http.StatusOK
}

// itemsOf gives a job's items, from memory when this node runs it.
func (s *Service) itemsOf(ctx context.Context, record passjob.Record) ([]passthrough.Item, error) {
	s.mu.Lock()
	if job := s.owned[record.ID]; job != nil && job.items != nil {
		items := job.items
		s.mu.Unlock()
		return items, nil
	}
	s.mu.Unlock()
	return s.loadItems(ctx, record)
}

// answerEnd ends a job; a job that has ended stays so.
func (s *Service) answerEnd(ctx context.Context, to http.ResponseWriter, call passthrough.JobCall) int {
	known, found, err := s.findFor(ctx, call)
	if err != nil || !found {
		return s.refuseCall(to, found, err)
	}
	for ctx.Err() == nil && !known.record.Ended {
		record := known.record.Clone()
		record.End()
		result, err := s.writeRecord(ctx, passthrough.Transaction{}, record, known.version)
		if err != nil {
			return s.refuseCall(to, true, err)
		}
		if result.applied {
			s.ended(call.Job)
			known.record = record
			break
		}
		current, row, found := currentRecord(result.current, call.Job)
		if !found {
			return s.refuseCall(to, false, unreadableRecord(result.current, call.Job))
		}
		s.learn(row)
		known = entry{record: current, version: row.Version}
	}
	if !known.record.Ended {
		return s.refuseCall(to, true, ctx.Err())
	}
	to.WriteHeader(http.StatusOK)
	return http.StatusOK
}

// ended stops this node's own work on a job.
func (s *Service) ended(id string) {
	s.mu.Lock()
	job := s.owned[id]
	s.mu.Unlock()
	if job != nil {
		s.drop(job, "ended at this node")
	}
}

// textCache keeps results for readers, the newest ones.
type textCache struct {
	mu    sync.Mutex
	most  int
	size  int
	texts map[textPlace]string
	order []textPlace
}

type textPlace struct {
	job      string
	position int
}

func newTextCache(most int) *textCache {
	return &textCache{most: most, texts: make(map[textPlace]string)}
}

func (c *textCache) get(job string, position int) (string, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	text, found := c.texts[textPlace{job, position}]
	return text, found
}

func (c *textCache) put(job string, position int, text string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	place := textPlace{job, position}
	if _, found := c.texts[place]; found {
		return
	}
	c.texts[place] = text
	c.order = append(c.order, place)
	c.size += len(text)
	for c.size > c.most && len(c.order) > 1 {
		oldest := c.order[0]
		c.order = c.order[1:]
		c.size -= len(c.texts[oldest])
		delete(c.texts, oldest)
	}
}
