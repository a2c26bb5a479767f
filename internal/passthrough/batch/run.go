package batch

import (
	"context"
	"errors"
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
	"ringstream.example/ringstream/internal/passthrough/engineconn"
	"ringstream.example/ringstream/internal/passthrough/guard"
	"ringstream.example/ringstream/internal/passthrough/relay"
	"ringstream.example/ringstream/internal/passthrough/slots"
)

// itemRun is one run of an item at an engine.
type itemRun struct {
	job      *ownedJob
	index    int
	item     passthrough.Item
	digest   quarantine.Digest // of the item's content
	route    *passroute.Route
	decision slots.Decision
}

// digestOf gives what all runs of an item, and of requests like it, have in common.
func (j *ownedJob) digestOf(item passthrough.Item) quarantine.Digest {
	return quarantine.Content{Host: j.host, Target: item.Path, Caller: j.tenant, Body: item.Body}.Digest()
}

func (r itemRun) engineKey() engineconn.Key {
	engine := r.decision.Choice.Entry
	return engineconn.Key{Engine: engine.Incarnation(), Address: engine.Address}
}

// runEnd says how a run ended.
type runEnd uint8

const (
	runWhole    runEnd = iota // the text is whole
	runNot                    // the engine did not run it
	runBroken                 // it broke off; what came is kept
	runFailed                 // the engine says that it failed
	runRejected               // the engine says that it can never be done
	runStopped                // this node stopped it
	runYielded                // this node stopped it to make room for online work
)

var runNames = [...]string{"whole", "not_run", "broken", "failed", "rejected", "stopped", "yielded"}

// String gives the name for logs and metrics.
func (r runEnd) String() string { return runNames[r] }

// Times of a run: an engine that says nothing for so long is left.
const (
	headSilence  = 6 * time.Second
	eventSilence = 2500 * time.Millisecond
)

// Pauses before an item runs again.
const (
	pauseNotRun = 60 * time.Millisecond
	pauseMost   = time.Second
	pauseBroken = 50 * time.Millisecond
	pauseFailed = 100 * time.Millisecond
	pauseYield  = 300 * time.Millisecond
)

// runItem runs an item until ctx ends, which stop does.
func (s *Service) runItem(ctx context.Context, stop context.CancelFunc, r itemRun) {
	defer s.running.Done()
	defer stop()
	started := time.Now()
	s.mu.Lock()
	work := &r.job.work[r.index]
	before := work.text.events
	s.mu.Unlock()
	end, status, err := s.sendItem(ctx, r)
	ended := false
	if end == runBroken && ctx.Err() == nil && engineconn.BrokenByEngine(err) {
		ended = s.Guard.Broke(ctx, guard.Run{Request: r.item.ID, Content: r.digest, Engine: r.engineKey()})
	}
	switch {
	case end == runWhole || end == runFailed || end == runRejected:
	case r.job.runs.Err() != nil:
		end = runStopped
	case ctx.Err() != nil:
		end = runYielded
	}
	s.metrics.runs.WithLabelValues(end.String()).Inc()
	s.settleEngine(r, end, err)
	s.mu.Lock()
	kept := work.text.events
	s.mu.Unlock()
	s.forecast.observeRun(kept-before, time.Since(started))
	if end == runWhole {
		s.Guard.Served(r.item.ID, r.digest)
		s.forecast.observeItem(kept)
	}
	events.ItemRunEnded.Log(s.Logger, zap.String("job", r.job.id), zap.String("request", r.item.ID), zap.Int64("epoch", r.job.epoch),
		zap.Stringer("engine", r.decision.Choice.Entry.Incarnation()), zap.Stringer("outcome", end), zap.Int("status", status), zap.Int("events_kept", kept),
		zap.Duration("elapsed", time.Since(started)), zap.Error(err), zap.Stringer("content", r.digest), zap.Bool("engine_ended", ended))
	s.settleItem(r, end)
	s.signal()
}

// settleItem notes what the run's end means for the item.
func (s *Service) settleItem(r itemRun, end runEnd) {
	s.mu.Lock()
	work := &r.job.work[r.index]
	work.running = false
	work.yield = nil
	now := time.Now()
	state := passjob.Open
	why := ""
	switch end {
	case runWhole:
		state, why = passjob.Succeeded, "whole"
	case runRejected:
		state, why = passjob.DeadLetter, "an engine says that it can never be done"
	case runFailed:
		work.failed = true
		work.notBefore = now.Add(pauseFailed)
		if r.job.record.Items[r.index].Failures+1 >= attemptsOf(r.route) {
			state, why = passjob.DeadLetter, "all attempts failed"
		}
	case runNot:
		work.notBefore = now.Add(min(pauseNotRun<<min(work.unrun, 5), pauseMost))
		work.unrun++
	case runBroken:
		work.notBefore = now.Add(pauseBroken)
	case runYielded:
		work.notBefore = now.Add(pauseYield)
	case runStopped:
	}
	if end != runNot {
		work.unrun = 0
	}
	if state != passjob.Open {
		work.finished = state // before anybody can see that the item does not run
	}
	s.mu.Unlock()
	if state != passjob.Open {
		s.finish(r.job, r.index, state, why)
	} else if end == runFailed {
		s.flush(r.job)
	}
}

func (s *Service) settleEngine(r itemRun, end runEnd, err error) {
	result := enginechoice.Succeeded
	switch end {
	case runNot:
		result = enginechoice.Shed
		if err != nil {
			result = enginechoice.Failed
		}
	case runBroken:
		result = enginechoice.Failed
	case runStopped, runYielded:
		result = enginechoice.Abandoned
	}
	refused := errors.Is(err, engineconn.ErrNotSent) && errors.Is(err, syscall.ECONNREFUSED)
	r.decision.Slot.End(result, refused)
}

// sendItem sends the item to the engine and keeps the events that come.
func (s *Service) sendItem(parent context.Context, r itemRun) (end runEnd, status int, err error) {
	ctx, cancel := context.WithCancel(parent)
	defer cancel()
	silence := time.AfterFunc(headSilence, cancel)
	defer silence.Stop()
	answer, err := s.Pool.Do(ctx, r.engineKey(), s.itemRequest(r))
	if errors.Is(err, engineconn.ErrNotSent) {
		return runNot, 0, err
	}
	if err != nil {
		return runBroken, 0, err
	}
	silence.Stop()
	end, err = s.readItem(r, answer)
	if end != runWhole {
		cancel() // has the engine drop the run
	}
	answer.Close()
	return end, answer.Response.StatusCode, err
}

func (s *Service) itemRequest(r itemRun) engineconn.Request {
	header := r.item.Header.Clone()
	s.mu.Lock()
	lastEvent := r.job.work[r.index].text.lastEvent
	s.mu.Unlock()
	s.Headers.SetForEngine(header, passthrough.EngineRequest{Instance: r.decision.Choice.Entry.ID, LastEvent: lastEvent, Tenant: r.job.tenant})
	return engineconn.Request{
		Method: http.MethodPost, Target: r.item.Path, Host: r.job.host, Header: header, Body: r.item.Body,
		Own: func(answered http.Header) bool {
			return s.Headers.Answer(http.StatusOK, answered).RequestID == r.item.ID
		},
		Surplus: func(answered http.Header) {
			events.SurplusAnswer.Log(s.Logger, zap.String("request", r.item.ID), zap.Stringer("engine", r.decision.Choice.Entry.Incarnation()),
				zap.String("answered", s.Headers.Answer(http.StatusOK, answered).RequestID))
		},
	}
}

func (s *Service) readItem(r itemRun, answer *engineconn.Exchange) (runEnd, error) {
	response := answer.Response
	said := s.Headers.Answer(response.StatusCode, response.Header)
	if said.LoadKnown {
		r.decision.Slot.Observe(said.Load.Running, said.Load.Waiting)
	}
	answer.SetReadDeadline(time.Now().Add(eventSilence))
	switch {
	case said.NotRun:
		_, _ = io.Copy(io.Discard, io.LimitReader(answer, bodyLimit)) // so that the connection can be kept
		if response.StatusCode == http.StatusMisdirectedRequest {
			s.Engines.Use(func(set *enginechoice.Set, now time.Time) {
				set.Remove(r.decision.Choice.Entry.Incarnation(), false, now)
			})
		}
		return runNot, nil
	case response.StatusCode == http.StatusUnprocessableEntity && said.Sealed:
		return runRejected, nil
	case response.StatusCode == http.StatusOK && said.Sealed:
		return s.readEvents(r, answer)
	case response.StatusCode >= http.StatusInternalServerError && said.Sealed:
		return runFailed, nil
	default:
		return runBroken, errUnexpected
	}
}

// bodyLimit bounds what is read of a refusal.
const bodyLimit = 1 << 20

var errUnexpected = errors.New("an answer that is neither a result nor a failure of the engine")

// readEvents keeps each whole event; an engine's answer that ends inside of
// one is broken.
func (s *Service) readEvents(r itemRun, answer *engineconn.Exchange) (runEnd, error) {
	s.mu.Lock()
	splitter := relay.NewSplitter(r.job.work[r.index].text.lastEvent)
	s.mu.Unlock()
	buffer := make([]byte, 16<<10)
	for {
		answer.SetReadDeadline(time.Now().Add(eventSilence))
		count, err := answer.Read(buffer)
		whole, tooLong := splitter.Add(buffer[:count])
		if len(whole) > 0 {
			s.keepEvents(r, whole)
		}
		switch {
		case tooLong != nil:
			return runBroken, tooLong
		case errors.Is(err, io.EOF) && !splitter.Pending():
			return runWhole, nil
		case errors.Is(err, io.EOF):
			return runBroken, io.ErrUnexpectedEOF
		case err != nil:
			return runBroken, err
		}
	}
}

func (s *Service) keepEvents(r itemRun, whole []byte) {
	r.decision.Slot.Started()
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.job.ctx.Err() != nil {
		return // the job is no longer this node's
	}
	for _, event := range relay.Events(whole) {
		id, _ := relay.EventID(event)
		r.job.work[r.index].text.add(id, relay.EventData(event))
	}
}
