package relay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"strings"
	"syscall"
	"time"

	"go.uber.org/zap"

	"ringstream.example/ringstream/internal/core/enginechoice"
	"ringstream.example/ringstream/internal/core/passroute"
	"ringstream.example/ringstream/internal/core/quarantine"
	"ringstream.example/ringstream/internal/events"
	"ringstream.example/ringstream/internal/passthrough"
	"ringstream.example/ringstream/internal/passthrough/answerend"
	"ringstream.example/ringstream/internal/passthrough/engineconn"
	"ringstream.example/ringstream/internal/passthrough/guard"
	"ringstream.example/ringstream/internal/passthrough/slots"
)

// maxBufferedBytes limits the body of an engine response that is buffered before it is sent.
const maxBufferedBytes = 16 << 20

// bufferedResponse is an engine's response with its whole body in memory. An error response is
// kept in this form and is sent to the client when no other attempt succeeds.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
}

// errClientTooFarBehind means that no more of an answer can be read ahead of its client.
var errClientTooFarBehind = errors.New("the client is too far behind its answer")

var errUnsigned = errors.New("the answer lacks the engine's signature")

// attempt sends the request to one engine and forwards the response to the client.
func (e *exchange) attempt(deadlineCtx context.Context, decision slots.Decision) Outcome {
	started := time.Now()
	engine := decision.Choice.Entry
	before := e.stream.Count()
	ctx, cancel := context.WithCancel(deadlineCtx)
	defer cancel()
	e.currentAttempt.set(cancel)
	defer e.currentAttempt.set(nil)
	key := engineconn.Key{Engine: engine.Incarnation(), Address: engine.Address}
	e.startPace(decision)
	e.endEvidence = answerend.None
	answer, err := e.pool.Do(ctx, key, e.request(decision.Choice, ctx, cancel))
	outcome, status, framing, interrupted := NotRun, 0, "", false
	switch {
	case err == nil:
		status, framing = answer.Response.StatusCode, answer.Framing().String()
		outcome, err = e.forward(ctx, answer, decision)
		interrupted = ctx.Err() != nil
		if outcome != Completed {
			cancel() // closes the connection, so that the engine drops the request
		}
		answer.Close()
	case !errors.Is(err, engineconn.ErrNotSent):
		outcome, interrupted = Failed, ctx.Err() != nil
	}
	engineEnded := false
	if outcome == Failed && !interrupted && engineconn.BrokenByEngine(err) {
		engineEnded = e.guard.CheckBrokenRun(deadlineCtx, guard.Run{Request: e.call.Demand.RequestID, Identity: e.identity, Engine: key, Wrote: e.pace.wrote()})
	}
	if outcome == Completed {
		e.guard.RecordSuccess(e.call.Demand.RequestID, e.completedIdentity(status))
	}
	if outcome == NotRun && err == nil && engine.MayExceed(e.call.Demand.MaxTokens()) {
		e.sizeRejections++
	}
	if outcome == Failed {
		e.attempts++
		e.mayHaveRun = true
	}
	e.spoiled = e.headSent && errors.Is(err, ErrUnsoundEvents)
	if outcome == Failed && e.leftSlowEngine(err, interrupted) {
		e.abandoned = append(e.abandoned, engine.Incarnation())
	}
	e.recordPace(outcome)
	e.releaseSlot(decision, outcome, err, deadlineCtx)
	e.slotTime += time.Since(started)
	fields := []zap.Field{
		zap.String("request", e.call.Demand.RequestID), zap.Stringer("engine", engine.Incarnation()), zap.Int("attempt", e.tries),
		zap.Duration("elapsed", time.Since(started)), zap.Error(err),
	}
	if outcome == NotRun && e.tries > maxLoggedTries {
		events.EngineNotReached.Log(e.logger, fields...)
		return outcome
	}
	if e.tries > maxLoggedTries {
		e.logChoice(decision)
	}
	events.AttemptEnded.Log(e.logger, append(fields, zap.Stringer("outcome", outcome), zap.Int("status", status),
		zap.Int("events", e.stream.Count()-before), zap.Stringer("content", e.identity.Content), zap.Bool("engine_ended", engineEnded),
		zap.String("delimited_by", framing), zap.Stringer("end_shown_by", e.endEvidence))...)
	return outcome
}

// completedIdentity returns what a complete answer shows to be harmless. An engine may have answered an
// error before it read the prompt.
func (e *exchange) completedIdentity(status int) quarantine.Identity {
	if status >= http.StatusMultipleChoices {
		return quarantine.Identity{Content: e.identity.Content}
	}
	return e.identity
}

// maxLoggedTries limits how many tries that no engine ran are logged for one call. With all engines of a pool
// down, the lines of further tries would fill the log.
const maxLoggedTries = 4

// request builds the request to the engine and starts the timer that calls cancel, which closes
// the connection, when the engine sends no response head within the silence timeout.
func (e *exchange) request(choice enginechoice.Choice, ctx context.Context, cancel context.CancelFunc) engineconn.Request {
	engine := choice.Entry
	header := make(http.Header, len(e.call.Request.Header)+2)
	copyEndToEndHeaders(header, e.call.Request.Header)
	lastEvent := ""
	if e.stream.Count() > 0 {
		lastEvent = e.stream.Last()
	}
	e.headers.SetForEngine(header, passthrough.EngineRequest{TimeLeft: e.clock.remaining(), Instance: engine.ID, LastEvent: lastEvent, Tenant: e.call.TenantName()})
	e.headTimer = nil
	if timeout := e.silenceTimeout(); timeout > 0 {
		e.headTimer = newSilenceTimer(timeout, cancel, func() bool { return e.engineLikelyFull(choice) })
		context.AfterFunc(ctx, e.headTimer.Stop)
	}
	return engineconn.Request{
		ID: e.call.Demand.RequestID, Method: e.call.Request.Method, Target: e.call.Request.RequestURI, Host: e.call.Request.Host,
		Header: header, Body: e.call.Body,
		IsOwnResponse: func(answered http.Header) bool {
			return e.headers.Answer(http.StatusOK, answered).RequestID == e.call.Demand.RequestID
		},
		OnSurplusResponse: func(answered http.Header) {
			events.SurplusAnswer.Log(e.logger, zap.String("request", e.call.Demand.RequestID), zap.Stringer("engine", engine.Incarnation()),
				zap.String("answered", e.headers.Answer(http.StatusOK, answered).RequestID))
		},
	}
}

// engineLikelyFull reports whether the engine is believed to have no free slot. Its silence then
// means that the request is queued there, and another engine would queue it as well.
func (e *exchange) engineLikelyFull(choice enginechoice.Choice) (full bool) {
	e.engines.Use(func(set *enginechoice.Set, now time.Time) { full = set.MayBeQueued(choice, now) })
	return full
}

// forward sends the engine's response to the client.
func (e *exchange) forward(ctx context.Context, answer *engineconn.Exchange, decision slots.Decision) (Outcome, error) {
	if e.headTimer != nil {
		e.headTimer.Stop()
	}
	response := answer.Response
	metadata := e.headers.Answer(response.StatusCode, response.Header)
	decision.Slot.RecordLoad(metadata)
	if metadata.NotRun {
		return e.discardRefusal(answer, decision.Choice)
	}
	success := isSuccess(response.StatusCode)
	if success && !metadata.Signed {
		return Failed, errUnsigned
	}
	if success && e.call.Route.Kind == passroute.KindStream {
		return e.forwardStream(ctx, answer, decision)
	}
	return e.forwardBuffered(ctx, answer, decision)
}

func isSuccess(status int) bool {
	return status >= http.StatusOK && status < http.StatusMultipleChoices
}

// contentOf is what an answer contains that was read to the end.
type contentOf struct {
	empty  bool // nothing has come
	within bool // the last event is not complete
}

// checkEnd returns an error unless the answer is known to have ended.
func (e *exchange) checkEnd(ctx context.Context, answer *engineconn.Exchange, decision slots.Decision, content contentOf) (err error) {
	engine := decision.Choice.Entry
	e.endEvidence, err = e.ends.Check(ctx, answerend.Answer{
		Exchange: answer, Engine: engineconn.Key{Engine: engine.Incarnation(), Address: engine.Address}, Pool: engine.Pool,
		Empty: content.empty, Within: content.within,
	})
	return err
}

// discardRefusal reads and discards the body of a response that says the engine did not run the
// request. After 421 Misdirected Request it removes the engine from the set, since another
// instance answers at the listed address.
func (e *exchange) discardRefusal(answer *engineconn.Exchange, choice enginechoice.Choice) (Outcome, error) {
	err := answer.Discard()
	if answer.Response.StatusCode == http.StatusMisdirectedRequest {
		e.engines.Use(func(set *enginechoice.Set, now time.Time) { set.Remove(choice.Entry.Incarnation(), false, now) })
	}
	return NotRun, err
}

// forwardBuffered reads the whole response. It is sent to the client after the attempt's slot has ended,
// so that a client that reads slowly holds no slot.
func (e *exchange) forwardBuffered(ctx context.Context, answer *engineconn.Exchange, decision slots.Decision) (Outcome, error) {
	success := isSuccess(answer.Response.StatusCode)
	body, err := e.readBody(answer, success)
	if err == nil {
		err = e.checkEnd(ctx, answer, decision, contentOf{empty: success && len(body) == 0})
	}
	if err != nil {
		return Failed, err
	}
	buffered := &bufferedResponse{status: answer.Response.StatusCode, header: answer.Response.Header, body: body}
	if !success && (e.headSent || e.moreAttempts()) {
		e.lastFailure = buffered
		return Failed, nil
	}
	e.buffered = buffered
	if !success {
		e.attempts++
	}
	return Completed, nil
}

func (e *exchange) moreAttempts() bool {
	return e.call.Route.Repeatable() && e.attempts+1 < e.call.Route.Attempts
}

// forwardStream sends each event to the client as soon as it is complete.
func (e *exchange) forwardStream(ctx context.Context, answer *engineconn.Exchange, decision slots.Decision) (Outcome, error) {
	e.stream.Restart()
	reader := newReadAhead(answer, e.held, e.clock.earlierOf, func() { e.limitWrites(time.Now()) })
	defer reader.close()
	buffer := make([]byte, readChunkBytes)
	heard := time.Now()       // of the last whole event
	var waited time.Duration  // for the events to come
	var written time.Duration // time that the last write to the client took
	heldUp := false           // the events to come may have waited for the client
	for {
		answer.SetReadDeadline(e.nextEventDeadline(heard))
		waitedFrom, before := time.Now(), e.stream.Count()
		count, err := reader.Read(buffer)
		waited += time.Since(waitedFrom)
		heldUp = heldUp || written > maxWriteTime || reader.readFromAhead
		whole, unusable := e.stream.Add(buffer[:count])
		if len(whole) > 0 {
			e.recordFirstEvent(decision)
			if !heldUp {
				e.recordEvents(e.stream.Count()-before, waited)
			}
			waited, heldUp = 0, false
			e.sendHead(answer.Response)
			writtenFrom := time.Now()
			if failed := e.writeEvents(whole, reader); failed != nil {
				return ClientGone, failed
			}
			heard = time.Now()
			written = heard.Sub(writtenFrom)
		}
		switch {
		case errors.Is(err, errClientTooFarBehind):
			return ClientGone, err
		case unusable != nil:
			return Failed, unusable
		case errors.Is(err, io.EOF):
			return e.endStream(ctx, answer, decision)
		case err != nil:
			return Failed, err
		case len(whole) > 0 && !reader.hasAhead() && e.missesObjective():
			return Failed, errSlowEngine
		}
	}
}

// endStream ends an attempt whose answer was read to an end of file.
func (e *exchange) endStream(ctx context.Context, answer *engineconn.Exchange, decision slots.Decision) (Outcome, error) {
	content := contentOf{empty: e.stream.RunEvents() == 0, within: e.stream.Pending()}
	if err := e.checkEnd(ctx, answer, decision, content); err != nil {
		return Failed, err
	}
	e.sendHead(answer.Response)
	e.attempts++
	return Completed, nil
}

// maxWriteTime is how long a write to the client takes at most if the events that come after it are
// to tell the engine's pace. They gather meanwhile.
const maxWriteTime = 5 * time.Millisecond

// recordFirstEvent records that an attempt has produced an event, the time of the call's first
// event, and the software version that wrote it. It is called before the event is sent, since a
// client that has the event may take the stream up at another node.
func (e *exchange) recordFirstEvent(decision slots.Decision) {
	if e.firstEvent == 0 {
		e.firstEvent = time.Since(e.call.Received)
	}
	if e.pace.firstEventAt.IsZero() {
		e.pace.firstEventAt = time.Now()
		e.currentAttempt.markBegun()
	}
	if e.software == "" {
		e.software = decision.Choice.Entry.Software
		e.recordOrigin()
	}
	decision.Slot.Started()
}

// sendHead sends the status and headers of the first engine that responds. A resumed stream
// keeps them.
func (e *exchange) sendHead(response *http.Response) {
	if e.headSent {
		return
	}
	e.headSent = true
	e.status = response.StatusCode
	copyEndToEndHeaders(e.to.Header(), response.Header)
	e.to.Header().Del("Content-Length") // the stream may be resumed at another engine
	e.to.WriteHeader(response.StatusCode)
}

// releaseSlot ends the attempt's slot and reports how the attempt ended.
func (e *exchange) releaseSlot(decision slots.Decision, outcome Outcome, err error, deadlineCtx context.Context) {
	result := enginechoice.Succeeded
	switch {
	case outcome == ClientGone || errors.Is(err, errSlowEngine) || errors.Is(err, errMemoryFull) || (outcome == Failed && deadlineCtx.Err() != nil):
		result = enginechoice.Abandoned
	case outcome == NotRun && err == nil:
		result = decision.Choice.Entry.RejectionResult(e.call.Demand.MaxTokens())
	case outcome != Completed:
		result = enginechoice.Failed
	}
	refused := errors.Is(err, engineconn.ErrNotSent) && (errors.Is(err, syscall.ECONNREFUSED) || isTimeout(err))
	decision.Slot.End(result, refused)
}

func isTimeout(err error) bool {
	var timeout interface{ Timeout() bool }
	return errors.As(err, &timeout) && timeout.Timeout()
}

// hopByHopHeaders are the headers that apply to a single connection.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length",
}

// copyEndToEndHeaders copies all headers except the hop-by-hop ones and those that the
// Connection header names.
func copyEndToEndHeaders(to, from http.Header) {
	connectionHeaders := make(map[string]bool)
	for _, value := range from["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			connectionHeaders[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	for name, values := range from {
		if !connectionHeaders[name] && !slices.Contains(hopByHopHeaders, name) {
			to[name] = values
		}
	}
}
