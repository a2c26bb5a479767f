package batch

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"syscall"
	"time"

	"go.uber.org/zap"

	"ringstream.example/ringstream/internal/core/enginechoice"
	"ringstream.example/ringstream/internal/core/passjob"
	"ringstream.example/ringstream/internal/core/passroute"
	"ringstream.example/ringstream/internal/core/quarantine"
	"ringstream.example/ringstream/internal/events"
	"ringstream.example/ringstream/internal/passthrough"
	"ringstream.example/ringstream/internal/passthrough/answerend"
	"ringstream.example/ringstream/internal/passthrough/engineconn"
	"ringstream.example/ringstream/internal/passthrough/guard"
	"ringstream.example/ringstream/internal/passthrough/relay"
	"ringstream.example/ringstream/internal/passthrough/slots"
)

// itemRun is one run of an item on an engine.
type itemRun struct {
	job      *ownedJob
	index    int
	item     passthrough.Item
	identity quarantine.Identity
	route    *passroute.Route
	decision slots.Decision
	// lastEvent is the event after which the run goes on; empty: from the start.
	lastEvent string
}

// identityOf returns what identifies an item in the quarantine. It is the same for a request with the
// same content.
func (s *Service) identityOf(job *ownedJob, item passthrough.Item) quarantine.Identity {
	content := quarantine.Content{Host: job.host, Target: item.Path, Caller: job.tenant, Body: item.Body}
	return quarantine.Identity{Content: content.Digest(), Parts: relay.SharedParts(job.host, s.Headers.Demand(item.Header).Parts)}
}

func (r itemRun) engineKey() engineconn.Key {
	engine := r.decision.Choice.Entry
	return engineconn.Key{Engine: engine.Incarnation(), Address: engine.Address}
}

// runOutcome is the outcome of a run.
type runOutcome uint8

const (
	runCompleted   runOutcome = iota // the text is complete
	runNotStarted                    // the engine did not run the item
	runInterrupted                   // the run broke off; the events received are kept
	runFailed                        // the engine reported a failure
	runRejected                      // the engine reported that the item can never succeed
	runStopped                       // this node stopped the run, since the job was dropped or handed over
	runPreempted                     // this node stopped the run to free its slot for online work
)

var runOutcomeNames = [...]string{"whole", "not_run", "broken", "failed", "rejected", "stopped", "yielded"}

// String returns the outcome's name for logs and metrics.
func (r runOutcome) String() string { return runOutcomeNames[r] }

// Limits on the time that an engine may send nothing: headerTimeout before the response headers,
// eventTimeout between two reads of the body.
const (
	headerTimeout = 6 * time.Second
	eventTimeout  = 2500 * time.Millisecond
)

// Pauses before an item runs again, by the outcome of the last run.
const (
	notStartedPause    = 60 * time.Millisecond
	maxNotStartedPause = time.Second
	// maxSizeRejectedPause applies to items that may be larger than the engine's memory. Each try needs an
	// engine with nothing else.
	maxSizeRejectedPause = 10 * time.Second
	maxPauseDoublings    = 8
	interruptedPause     = 50 * time.Millisecond
	failedPause          = 100 * time.Millisecond
	preemptedPause       = 300 * time.Millisecond
)

// runItem runs an item until the run or ctx ends. The stop function ends ctx.
func (s *Service) runItem(ctx context.Context, stop context.CancelFunc, r itemRun) {
	defer s.running.Done()
	defer stop()
	started := time.Now()
	s.mu.Lock()
	work := &r.job.work[r.index]
	before := work.text.events
	s.mu.Unlock()
	end, received, err := s.sendItem(ctx, r)
	wrote := s.writingTime(r)
	ended := false
	if end == runInterrupted && ctx.Err() == nil && engineconn.BrokenByEngine(err) {
		ended = s.Guard.CheckBrokenRun(ctx, guard.Run{Request: r.item.ID, Identity: r.identity, Item: true, Engine: r.engineKey(), Wrote: wrote})
	}
	switch {
	case end == runCompleted || end == runFailed || end == runRejected:
	case r.job.runContext.Err() != nil:
		end = runStopped
	case ctx.Err() != nil:
		end = runPreempted
	}
	s.metrics.runs.WithLabelValues(end.String()).Inc()
	s.endSlot(r, end, err)
	s.mu.Lock()
	kept := work.text.events
	s.mu.Unlock()
	s.forecast.observeRun(kept-before, time.Since(started), r.decision.Choice.Slowness)
	if end == runCompleted {
		s.Guard.RecordItemSuccess(r.item.ID, r.identity)
		s.forecast.observeItem(kept)
	}
	events.ItemRunEnded.Log(s.Logger, zap.String("job", r.job.id), zap.String("request", r.item.ID), zap.Int64("epoch", r.job.epoch),
		zap.Stringer("engine", r.decision.Choice.Entry.Incarnation()), zap.Stringer("outcome", end), zap.Int("status", received.status), zap.Int("events_kept", kept),
		zap.Duration("elapsed", time.Since(started)), zap.Error(err), zap.Stringer("content", r.identity.Content), zap.Bool("engine_ended", ended),
		zap.String("delimited_by", received.framing), zap.Stringer("end_shown_by", received.endShownBy))
	if errors.Is(err, relay.ErrUnsoundEvents) {
		s.discardUnsoundText(r)
	}
	s.updateItem(r, end)
	s.wakeScheduler()
}

// writingTime returns the time since the first event of an item's run; 0 if there is none.
func (s *Service) writingTime(r itemRun) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	first := r.job.work[r.index].firstEventAt
	if first.IsZero() {
		return 0
	}
	return time.Since(first)
}

// updateItem updates the item after a run with the given outcome.
func (s *Service) updateItem(r itemRun, end runOutcome) {
	s.mu.Lock()
	work := &r.job.work[r.index]
	work.running = false
	work.cancelRun = nil
	now := time.Now()
	state := passjob.Open
	why := ""
	switch end {
	case runCompleted:
		state, why = passjob.Succeeded, "whole"
	case runRejected:
		state, why = passjob.DeadLetter, "an engine says that it can never be done"
	case runFailed:
		work.failurePending = true
		work.notBefore = now.Add(failedPause)
		if r.job.record.Items[r.index].Failures+1 >= maxAttempts(r.route) {
			state, why = passjob.DeadLetter, "all attempts failed"
		}
	case runNotStarted:
		work.notBefore = now.Add(s.notStartedPause(r, work.refusals))
		work.refusals++
	case runInterrupted:
		work.notBefore = now.Add(interruptedPause)
	case runPreempted:
		work.notBefore = now.Add(preemptedPause)
	case runStopped:
	}
	if end != runNotStarted {
		work.refusals = 0
	}
	if state != passjob.Open {
		work.finished = state // before any other goroutine sees that the item does not run
	}
	s.mu.Unlock()
	if state != passjob.Open {
		s.finish(r.job, r.index, state, why)
	} else if end == runFailed {
		s.flush(r.job)
	}
}

// notStartedPause returns the pause after an engine did not start an item, by the number of times before.
func (s *Service) notStartedPause(r itemRun, refusals int) time.Duration {
	longest := maxNotStartedPause
	if r.decision.Choice.Entry.MayExceed(s.maxTokens(r)) {
		longest = maxSizeRejectedPause
	}
	return min(notStartedPause<<min(refusals, maxPauseDoublings), longest)
}

// maxTokens returns the length of an item's prompt and of its longest output.
func (s *Service) maxTokens(r itemRun) int { return s.Headers.Demand(r.item.Header).MaxTokens() }

func (s *Service) endSlot(r itemRun, end runOutcome, err error) {
	result := enginechoice.Succeeded
	switch end {
	case runNotStarted:
		result = r.decision.Choice.Entry.RejectionResult(s.maxTokens(r))
		if err != nil {
			result = enginechoice.Failed
		}
	case runInterrupted:
		result = enginechoice.Failed
	case runStopped, runPreempted:
		result = enginechoice.Abandoned
	}
	if errors.Is(err, errSlowEngine) {
		result = enginechoice.Abandoned
	}
	refused := errors.Is(err, engineconn.ErrNotSent) && errors.Is(err, syscall.ECONNREFUSED)
	r.decision.Slot.End(result, refused)
}

// receivedAnswer is what the log tells of the answer to a run. It is zero without an answer.
type receivedAnswer struct {
	status  int
	framing string
	// endShownBy is what shows that the answer has ended.
	endShownBy answerend.Evidence
}

// sendItem sends the item to the engine and keeps the events that it receives.
func (s *Service) sendItem(parent context.Context, r itemRun) (end runOutcome, received receivedAnswer, err error) {
	ctx, cancel := context.WithCancel(parent)
	defer cancel()
	silence := time.AfterFunc(headerTimeout, cancel)
	defer silence.Stop()
	answer, err := s.Pool.Do(ctx, r.engineKey(), s.itemRequest(r))
	if errors.Is(err, engineconn.ErrNotSent) {
		return runNotStarted, received, err
	}
	if err != nil {
		return runInterrupted, received, err
	}
	silence.Stop()
	received = receivedAnswer{status: answer.Response.StatusCode, framing: answer.Framing().String()}
	end, received.endShownBy, err = s.readItem(ctx, r, answer)
	if end != runCompleted {
		cancel() // makes the engine drop the run
	}
	answer.Close()
	return end, received, err
}

func (s *Service) itemRequest(r itemRun) engineconn.Request {
	header := r.item.Header.Clone()
	s.Headers.SetForEngine(header, passthrough.EngineRequest{Instance: r.decision.Choice.Entry.ID, LastEvent: r.lastEvent, Tenant: r.job.tenant})
	return engineconn.Request{
		ID: r.item.ID, Method: http.MethodPost, Target: r.item.Path, Host: r.job.host, Header: header, Body: r.item.Body,
		IsOwnResponse: func(answered http.Header) bool {
			return s.Headers.Answer(http.StatusOK, answered).RequestID == r.item.ID
		},
		OnSurplusResponse: func(answered http.Header) {
			events.SurplusAnswer.Log(s.Logger, zap.String("request", r.item.ID), zap.Stringer("engine", r.decision.Choice.Entry.Incarnation()),
				zap.String("answered", s.Headers.Answer(http.StatusOK, answered).RequestID))
		},
	}
}

func (s *Service) readItem(ctx context.Context, r itemRun, answer *engineconn.Exchange) (runOutcome, answerend.Evidence, error) {
	response := answer.Response
	headers := s.Headers.Answer(response.StatusCode, response.Header)
	r.decision.Slot.RecordLoad(headers)
	answer.SetReadDeadline(time.Now().Add(eventTimeout))
	switch {
	case headers.NotRun:
		err := answer.Discard()
		if response.StatusCode == http.StatusMisdirectedRequest {
			s.Engines.Use(func(set *enginechoice.Set, now time.Time) {
				set.Remove(r.decision.Choice.Entry.Incarnation(), false, now)
			})
		}
		return runNotStarted, answerend.None, err
	case response.StatusCode == http.StatusUnprocessableEntity && headers.Signed:
		return runRejected, answerend.None, answer.Discard() // the status tells the outcome
	case response.StatusCode == http.StatusOK && headers.Signed:
		return s.readEvents(ctx, r, answer)
	case response.StatusCode >= http.StatusInternalServerError && headers.Signed:
		return runFailed, answerend.None, answer.Discard()
	default:
		return runInterrupted, answerend.None, fmt.Errorf("%w: status %d, signed: %t", errUnexpectedResponse, response.StatusCode, headers.Signed)
	}
}

var errUnexpectedResponse = errors.New("the response is neither a result nor a failure reported by the engine")

// readEvents keeps each complete event. A response that ends within an event interrupts the run.
func (s *Service) readEvents(ctx context.Context, r itemRun, response *engineconn.Exchange) (runOutcome, answerend.Evidence, error) {
	splitter := relay.NewSplitter(r.lastEvent)
	splitter.RequireConsecutive()
	splitter.CountIn(s.Held)
	defer splitter.Release()
	splitter.LimitRun(s.Headers.Demand(r.item.Header).OutputTokens)
	buffer := make([]byte, 16<<10)
	heard := time.Now()      // of the last whole event
	var waited time.Duration // for the events to come
	var pace runPace
	for {
		response.SetReadDeadline(heard.Add(eventTimeout))
		waitedFrom, before := time.Now(), splitter.Count()
		count, err := response.Read(buffer)
		waited += time.Since(waitedFrom)
		whole, unusable := splitter.Add(buffer[:count])
		if len(whole) > 0 {
			r.decision.Slot.RecordEvents(splitter.Count()-before, waited)
			pace.add(splitter.Count()-before, waited)
			waited = 0
			s.keepEvents(r, whole)
			heard = time.Now()
		}
		switch {
		case unusable != nil:
			return runInterrupted, answerend.None, unusable
		case errors.Is(err, io.EOF):
			return s.endEvents(ctx, r, response, splitter)
		case err != nil:
			return runInterrupted, answerend.None, err
		case len(whole) > 0 && s.runsTooSlowly(r, pace):
			return runInterrupted, answerend.None, errSlowEngine
		}
	}
}

// endEvents ends a run whose answer was read to an end of file.
func (s *Service) endEvents(ctx context.Context, r itemRun, response *engineconn.Exchange, splitter *relay.Splitter) (runOutcome, answerend.Evidence, error) {
	shownBy, err := s.Ends.Check(ctx, answerend.Answer{
		Exchange: response, Engine: r.engineKey(), Pool: r.decision.Choice.Entry.Pool,
		Empty: splitter.RunEvents() == 0, Within: splitter.Pending(),
	})
	if err != nil {
		return runInterrupted, answerend.None, err
	}
	return runCompleted, shownBy, nil
}

func (s *Service) keepEvents(r itemRun, whole []byte) {
	r.decision.Slot.Started()
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.job.ctx.Err() != nil {
		return // the job was dropped
	}
	text := &r.job.work[r.index].text
	text.software = r.decision.Choice.Entry.Software
	if work := &r.job.work[r.index]; work.firstEventAt.IsZero() {
		work.firstEventAt = time.Now()
	}
	for _, event := range relay.Events(whole) {
		id, _ := relay.EventID(event)
		text.add(id, relay.EventData(event))
	}
}
