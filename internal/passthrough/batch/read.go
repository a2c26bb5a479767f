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

// Limits of calls about jobs.
const (
	// readTimeout bounds a call, in addition to the time that it may wait for a result. Clients
	// give up 1.5 s after that time.
	readTimeout      = 1400 * time.Millisecond
	maxResultWait    = time.Second
	maxAnswerBytes   = 900_000 // of text in one answer
	maxAnswerResults = 400     // results in one answer
	itemCacheSize    = 16
	// listedConfirmTimeout bounds the store read before results that this node's copy lists are
	// returned from the copy alone.
	listedConfirmTimeout = 400 * time.Millisecond
	// answerTime is how long an answer may be written, beyond the time of the call. A client that states
	// how long it waits has that time instead.
	answerTime = 5 * time.Second
)

// HandleJobCall handles a call about a job.
func (s *Service) HandleJobCall(to http.ResponseWriter, request *http.Request, call passthrough.JobCall, demand passthrough.Demand) {
	started := time.Now()
	ctx, cancel := context.WithTimeout(request.Context(), readTimeout+min(demand.Wait, maxResultWait))
	defer cancel()
	if demand.TimeLeft <= 0 {
		limit := started.Add(readTimeout + min(demand.Wait, maxResultWait) + answerTime)
		_ = http.NewResponseController(to).SetWriteDeadline(limit) // a writer without deadlines is a test's recorder
	}
	outcome := callOutcome{evidence: fromCopy, evidenceAt: s.follower.Health().AsOf}
	switch call.Kind {
	case passthrough.ReadResults:
		outcome.status = s.answerResults(ctx, to, call, min(demand.Wait, maxResultWait), &outcome)
	case passthrough.ReadItem:
		outcome.status = s.answerItem(ctx, to, call)
	default:
		outcome.status = s.answerEnd(ctx, to, call)
	}
	known, _ := s.view.job(call.Job)
	events.JobCallAnswered.Log(s.Logger, zap.String("job", call.Job), zap.String("tenant", call.Tenant), zap.Uint8("call", uint8(call.Kind)), zap.Int("status", outcome.status), zap.Int("from", call.From),
		zap.Int("listed", outcome.listed), zap.Int64("row_version", known.version), zap.Duration("view_age", time.Since(s.follower.Health().AsOf)),
		zap.String("evidence", string(outcome.evidence)), zap.Duration("evidence_age", time.Since(outcome.evidenceAt)), zap.Duration("elapsed", time.Since(started)))
}

// evidence is the source of an answer about a job.
type evidence string

// The values of evidence: this node's copy of the store, or the store itself.
const (
	fromCopy  evidence = "copy"
	fromStore evidence = "store"
)

// callOutcome describes the answer to a call about a job, for the log.
type callOutcome struct {
	status     int
	listed     int // number of the job's listed results, according to the answer
	evidence   evidence
	evidenceAt time.Time // when the store was asked, or when the copy was last confirmed
}

// find returns a job from the view, or from the store if the view lacks it. It returns found as
// false without an error only if the store has no such job.
func (s *Service) find(ctx context.Context, id string) (known jobEntry, found bool, err error) {
	if known, found = s.view.job(id); found {
		return known, true, nil
	}
	confirmed := s.confirmer.confirm(ctx, id, time.Now())
	return confirmed.entry, confirmed.found, confirmed.err
}

// findFor returns a call's job if its caller may see it. The job of another tenant is reported as
// not found.
func (s *Service) findFor(ctx context.Context, call passthrough.JobCall) (known jobEntry, found bool, err error) {
	known, found, err = s.find(ctx, call.Job)
	return known, found && known.record.OpenTo(call.Tenant), err
}

func (s *Service) refuseCall(to http.ResponseWriter, found bool, err error) int {
	if err == nil && !found {
		s.metrics.denials.WithLabelValues(deniedJob).Inc()
		relay.WriteRefusal(to, http.StatusNotFound, relay.Refusal{Code: "no_such_job", Message: "there is no such job", Run: relay.RunNot})
		return http.StatusNotFound
	}
	relay.RefuseNotRun(to, s.Headers, refusedRetryAfter, "store_unavailable", "the store cannot be asked about the job")
	return http.StatusServiceUnavailable
}

// answerResults answers with the results from a position on. If there are none yet, it waits for
// one up to the given time. The results of an active job are listed as the store has them, since
// another node may have returned results that this node's copy lacks. A job that has ended or has
// all its results listed gets no more of them, so the copy is enough.
func (s *Service) answerResults(ctx context.Context, to http.ResponseWriter, call passthrough.JobCall, hold time.Duration, outcome *callOutcome) int {
	received := time.Now()
	known, found, err := s.findFor(ctx, call)
	if err != nil || !found {
		return s.refuseCall(to, found, err)
	}
	known = s.awaitResult(ctx, known, call.From, received.Add(hold))
	if known.record.Active() {
		known, found, err = s.confirmListed(ctx, known, call.From, outcome)
		if err != nil || !found {
			return s.refuseCall(to, found, err)
		}
	}
	outcome.listed = known.record.Listed
	from := max(call.From, 0)
	texts, err := s.textsFrom(ctx, known.record, from)
	if err != nil {
		return s.refuseCall(to, true, err)
	}
	order := known.record.ItemsByPosition()
	results := make([]passthrough.ItemResult, 0, len(texts))
	for i, text := range texts {
		item := known.record.Items[order[from+i]]
		results = append(results, passthrough.ItemResult{ID: item.ID, Succeeded: item.State == passjob.Succeeded, Text: text})
	}
	to.Header().Set("Content-Type", "application/json")
	_, _ = to.Write(s.Format.Results(len(known.record.Items), from+len(results), results)) // the client may have disconnected
	return http.StatusOK
}

// confirmListed returns an active job as the store has it. The copy lags behind the store, and even
// the owner's copy lists a result only once the store has answered its write. If the store does not
// answer in time, the job is returned as the copy has it, provided that this lists the position.
func (s *Service) confirmListed(ctx context.Context, known jobEntry, position int, outcome *callOutcome) (confirmed jobEntry, found bool, err error) {
	listed := position < known.record.Listed
	if listed {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, listedConfirmTimeout)
		defer cancel()
	}
	answer := s.confirmer.confirm(ctx, known.record.ID, time.Now())
	if answer.err != nil && listed {
		return known, true, nil
	}
	outcome.evidence, outcome.evidenceAt = fromStore, answer.requestedAt
	if answer.err != nil || !answer.found {
		return jobEntry{}, answer.found, answer.err
	}
	if position >= answer.entry.record.Listed {
		s.metrics.denials.WithLabelValues(deniedResult).Inc()
	}
	if answer.entry.version < known.version {
		return known, true, nil
	}
	return answer.entry, true, nil
}

// awaitResult waits until a job has a result at a position, can have none, or the time is up.
func (s *Service) awaitResult(ctx context.Context, known jobEntry, position int, until time.Time) jobEntry {
	for position >= known.record.Listed && known.record.Active() && time.Now().Before(until) && ctx.Err() == nil {
		known = s.awaitChange(ctx, known, until)
	}
	return known
}

func (s *Service) awaitChange(ctx context.Context, known jobEntry, until time.Time) jobEntry {
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

// pollView waits one catchUpInterval for a newer entry in the view, for a job that was read from
// the store.
func (s *Service) pollView(ctx context.Context, known jobEntry) jobEntry {
	wait.For(ctx, catchUpInterval)
	if newer, found := s.view.job(known.record.ID); found && newer.version >= known.version {
		return newer
	}
	return known
}

// textsFrom returns the texts from a position on, as many as fit into one answer.
func (s *Service) textsFrom(ctx context.Context, record passjob.Record, from int) ([]string, error) {
	var texts []string
	size := 0
	for position := from; position < record.Listed && size < maxAnswerBytes && len(texts) < maxAnswerResults; position++ {
		text, found := s.texts.get(record.ID, position)
		if !found {
			if err := s.fetchTexts(ctx, record, position); err != nil {
				return texts, errorIfEmpty(texts, err)
			}
			if text, found = s.texts.get(record.ID, position); !found {
				return texts, errorIfEmpty(texts, errTextMissing)
			}
		}
		if len(texts) > 0 && size+len(text) > maxAnswerBytes {
			break
		}
		size += len(text)
		texts = append(texts, text)
	}
	return texts, nil
}

var errTextMissing = errors.New("the store lacks a text that is listed")

// errorIfEmpty returns the error only if there are no texts to answer with.
func errorIfEmpty(texts []string, err error) error {
	if len(texts) > 0 {
		return nil
	}
	return err
}

// fetchTexts reads texts from a position on into the cache, up to the next one that is cached
// already.
func (s *Service) fetchTexts(ctx context.Context, record passjob.Record, position int) error {
	from := textLowerBound(record.ID, position)
	to := textLowerBound(record.ID, record.Listed)
	for next := position + 1; next < record.Listed; next++ {
		if _, found := s.texts.get(record.ID, next); found {
			to = textLowerBound(record.ID, next)
			break
		}
	}
	var pending string
	at := position
	for attempt := 0; ; {
		call, cancel := context.WithTimeout(ctx, storeCallTimeout)
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
			rowPosition, ok := parseTextPosition(row.Key)
			if !ok {
				continue
			}
			if rowPosition != at {
				s.texts.put(record.ID, at, pending)
				at, pending = rowPosition, ""
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

// answerItem answers with the body of an item.
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
	_, _ = to.Write(items[index].Body) // the client may have disconnected
	return http.StatusOK
}

// itemsOf returns a job's items, from memory if this node owns the job.
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

// answerEnd ends a job. Ending a job that has ended is not an error.
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
			s.dropOwned(call.Job)
			known.record = record
			break
		}
		current, row, found := currentRecord(result.current, call.Job)
		if !found {
			return s.refuseCall(to, false, unreadableRecord(result.current, call.Job))
		}
		s.learn(row)
		known = jobEntry{record: current, version: row.Version}
	}
	if !known.record.Ended {
		return s.refuseCall(to, true, ctx.Err())
	}
	to.WriteHeader(http.StatusOK)
	return http.StatusOK
}

// dropOwned drops a job that was ended at this node, if this node owns it.
func (s *Service) dropOwned(id string) {
	s.mu.Lock()
	job := s.owned[id]
	s.mu.Unlock()
	if job != nil {
		s.drop(job, "ended at this node")
	}
}

// textCache keeps the most recently read or written results for readers.
type textCache struct {
	mu       sync.Mutex
	maxBytes int
	size     int
	texts    map[textPosition]string
	order    []textPosition
}

type textPosition struct {
	job      string
	position int
}

func newTextCache(maxBytes int) *textCache {
	return &textCache{maxBytes: maxBytes, texts: make(map[textPosition]string)}
}

func (c *textCache) get(job string, position int) (string, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	text, found := c.texts[textPosition{job, position}]
	return text, found
}

func (c *textCache) put(job string, position int, text string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	place := textPosition{job, position}
	if _, found := c.texts[place]; found {
		return
	}
	c.texts[place] = text
	c.order = append(c.order, place)
	c.size += len(text)
	for c.size > c.maxBytes && len(c.order) > 1 {
		oldest := c.order[0]
		c.order = c.order[1:]
		c.size -= len(c.texts[oldest])
		delete(c.texts, oldest)
	}
}
