package relay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"go.uber.org/zap"

	"ringstream.example/ringstream/internal/core/enginechoice"
	"ringstream.example/ringstream/internal/core/passroute"
	"ringstream.example/ringstream/internal/events"
	"ringstream.example/ringstream/internal/passthrough"
	"ringstream.example/ringstream/internal/passthrough/engineconn"
	"ringstream.example/ringstream/internal/passthrough/guard"
	"ringstream.example/ringstream/internal/passthrough/slots"
)

// maxBuffered is the longest answer that is held to be sent whole.
const maxBuffered = 16 << 20

// engineFailure is an engine's own answer that is a failure, kept to be handed
// on when no other attempt succeeds.
type engineFailure struct {
	status int
	header http.Header
	body   []byte
}

func (f *engineFailure) write(to http.ResponseWriter) {
	copyHeader(to.Header(), f.header)
	to.Header().Set("Content-Length", strconv.Itoa(len(f.body)))
	to.WriteHeader(f.status)
	_, _ = to.Write(f.body) // the client may have left
}

var errForeign = errors.New("the answer lacks the engine's signature")

// attempt sends the request to one engine and hands its answer on.
func (e *exchange) attempt(bounded context.Context, decision slots.Decision) Outcome {
	started := time.Now()
	engine := decision.Choice.Entry
	before := e.stream.Count()
	ctx, cancel := context.WithCancel(bounded)
	defer cancel()
	e.stoppable.set(cancel)
	defer e.stoppable.set(nil)
	key := engineconn.Key{Engine: engine.Incarnation(), Address: engine.Address}
	answer, err := e.pool.Do(ctx, key, e.request(decision.Choice, ctx, cancel))
	outcome, status, left := NotRun, 0, false
	switch {
	case err == nil:
		status = answer.Response.StatusCode
		outcome, err = e.handOn(answer, decision)
		left = ctx.Err() != nil
		if outcome != Completed {
			cancel() // an answer that is not taken to its end has the engine drop the request
		}
		answer.Close()
	case !errors.Is(err, engineconn.ErrNotSent):
		outcome, left = Failed, ctx.Err() != nil
	}
	ended := false
	if outcome == Failed && !left && engineconn.BrokenByEngine(err) {
		ended = e.guard.Broke(bounded, guard.Run{Request: e.call.Demand.RequestID, Content: e.content, Engine: key})
	}
	if outcome == Completed {
		e.guard.Served(e.call.Demand.RequestID, e.content)
	}
	if outcome == Failed {
		e.attempts++
		e.mayHaveRun = true
	}
	e.settle(decision.Slot, outcome, err, bounded)
	fields := []zap.Field{
		zap.String("request", e.call.Demand.RequestID), zap.Stringer("engine", engine.Incarnation()), zap.Int("attempt", e.tries),
		zap.Duration("elapsed", time.Since(started)), zap.Error(err),
	}
	if outcome == NotRun && e.tries > triesLogged {
		events.EngineNotReached.Log(e.logger, fields...)
		return outcome
	}
	if e.tries > triesLogged {
		e.logChoice(decision)
	}
	events.AttemptEnded.Log(e.logger, append(fields, zap.Stringer("outcome", outcome), zap.Int("status", status),
		zap.Int("events", e.stream.Count()-before), zap.Stringer("content", e.content), zap.Bool("engine_ended", ended))...)
	return outcome
}

// triesLogged is how many tries of one call are logged that no engine ran: while all
// engines of a pool were down, calls made up to 53 tries, and their lines were nine
// tenths of a node's log.
const triesLogged = 4

// request makes the request to the engine; an engine that stays silent longer
// than its answer is waited for has its connection closed by cancel.
func (e *exchange) request(choice enginechoice.Choice, ctx context.Context, cancel context.CancelFunc) engineconn.Request {
	engine := choice.Entry
	header := make(http.Header, len(e.call.Request.Header)+2)
	copyHeader(header, e.call.Request.Header)
	lastEvent := ""
	if e.stream.Count() > 0 {
		lastEvent = e.stream.Last()
	}
	e.headers.SetForEngine(header, passthrough.EngineRequest{TimeLeft: e.clock.left(), Instance: engine.ID, LastEvent: lastEvent, Tenant: e.call.TenantName()})
	e.headTimer = nil
	if silence := e.silence(); silence > 0 {
		e.headTimer = newPatience(silence, cancel, func() bool { return e.waitsItsTurn(choice) })
		context.AfterFunc(ctx, e.headTimer.Stop)
	}
	return engineconn.Request{
		Method: e.call.Request.Method, Target: e.call.Request.RequestURI, Host: e.call.Request.Host,
		Header: header, Body: e.call.Body,
		Own: func(answered http.Header) bool {
			return e.headers.Answer(http.StatusOK, answered).RequestID == e.call.Demand.RequestID
		},
		Surplus: func(answered http.Header) {
			events.SurplusAnswer.Log(e.logger, zap.String("request", e.call.Demand.RequestID), zap.Stringer("engine", engine.Incarnation()),
				zap.String("answered", e.headers.Answer(http.StatusOK, answered).RequestID))
		},
	}
}

// Silence: a repeatable stream whose engine says nothing for this long goes on
// elsewhere, while attempts are left. Others wait for their engine.
const (
	silenceLeast     = 700 * time.Millisecond
	silenceObjective = 4 // times the objective, before the first event
	silencePauses    = 3 // times the longest pause, between events
)

// silence gives how long an engine may say nothing; 0: until the deadline.
func (e *exchange) silence() time.Duration {
	if !e.call.Route.Repeatable() || e.attempts+1 >= e.call.Route.Attempts {
		return 0
	}
	if e.stream.Count() == 0 {
		return max(silenceLeast, silenceObjective*e.call.Route.Objective)
	}
	return max(silenceLeast, silencePauses*e.call.Route.PauseObjective)
}

// waitsItsTurn says whether an engine is believed to be full, so that its
// silence means a queue; leaving it would only queue elsewhere.
func (e *exchange) waitsItsTurn(choice enginechoice.Choice) (waits bool) {
	e.engines.Use(func(set *enginechoice.Set, now time.Time) { waits = set.Queues(choice, now) })
	return waits
}

// handOn gives the engine's answer to the client.
func (e *exchange) handOn(answer *engineconn.Exchange, decision slots.Decision) (Outcome, error) {
	if e.headTimer != nil {
		e.headTimer.Stop()
	}
	response := answer.Response
	said := e.headers.Answer(response.StatusCode, response.Header)
	if said.LoadKnown {
		decision.Slot.Observe(said.Load.Running, said.Load.Waiting)
	}
	if said.NotRun {
		return e.notRun(answer, decision.Choice)
	}
	success := response.StatusCode >= http.StatusOK && response.StatusCode < http.StatusMultipleChoices
	if success && !said.Sealed {
		return Failed, errForeign
	}
	if success && e.call.Route.Kind == passroute.KindStream {
		return e.handOnStream(answer, decision.Slot)
	}
	return e.handOnWhole(answer, success)
}

// notRun reads over an engine's refusal. An engine that says it is another one
// is not the one listed at its address.
func (e *exchange) notRun(answer *engineconn.Exchange, choice enginechoice.Choice) (Outcome, error) {
	_, err := io.Copy(io.Discard, io.LimitReader(answer, maxBuffered))
	if answer.Response.StatusCode == http.StatusMisdirectedRequest {
		e.engines.Use(func(set *enginechoice.Set, now time.Time) { set.Remove(choice.Entry.Incarnation(), false, now) })
	}
	return NotRun, err
}

// handOnWhole reads an answer to its end before the client gets any of it.
func (e *exchange) handOnWhole(answer *engineconn.Exchange, success bool) (Outcome, error) {
	answer.SetReadDeadline(e.clock.until())
	body, err := io.ReadAll(io.LimitReader(answer, maxBuffered))
	if err != nil {
		return Failed, err
	}
	whole := &engineFailure{status: answer.Response.StatusCode, header: answer.Response.Header, body: body}
	if !success && (e.headSent || e.moreAttempts()) {
		e.failure = whole
		return Failed, nil
	}
	e.status = whole.status
	whole.write(e.to)
	if !success {
		e.attempts++
	}
	return Completed, nil
}

func (e *exchange) moreAttempts() bool {
	return e.call.Route.Repeatable() && e.attempts+1 < e.call.Route.Attempts
}

// handOnStream passes events on as they come.
func (e *exchange) handOnStream(answer *engineconn.Exchange, slot *slots.Slot) (Outcome, error) {
	e.stream.Restart()
	flusher := http.NewResponseController(e.to)
	buffer := make([]byte, 16<<10)
	for {
		answer.SetReadDeadline(e.readUntil())
		count, err := answer.Read(buffer)
		whole, tooLong := e.stream.Add(buffer[:count])
		if len(whole) > 0 {
			e.began(slot)
			e.sendHead(answer.Response)
			if _, failed := e.to.Write(whole); failed != nil {
				return ClientGone, failed
			}
			if failed := flusher.Flush(); failed != nil {
				return ClientGone, failed
			}
		}
		switch {
		case tooLong != nil:
			return Failed, tooLong
		case errors.Is(err, io.EOF) && !e.stream.Pending():
			e.sendHead(answer.Response)
			e.attempts++
			return Completed, nil
		case errors.Is(err, io.EOF):
			return Failed, io.ErrUnexpectedEOF
		case err != nil:
			return Failed, err
		}
	}
}

func (e *exchange) readUntil() time.Time {
	if silence := e.silence(); silence > 0 {
		if until := time.Now().Add(silence); until.Before(e.clock.until()) {
			return until
		}
	}
	return e.clock.until()
}

// began notes the first event of an attempt.
func (e *exchange) began(slot *slots.Slot) {
	if e.firstEvent == 0 {
		e.firstEvent = time.Since(e.call.Received)
	}
	slot.Started()
}

// sendHead sends the head of the first engine that answers; a resumed stream
// keeps it.
func (e *exchange) sendHead(response *http.Response) {
	if e.headSent {
		return
	}
	e.headSent = true
	e.status = response.StatusCode
	copyHeader(e.to.Header(), response.Header)
	e.to.Header().Del("Content-Length") // the stream may go on at another engine
	e.to.WriteHeader(response.StatusCode)
}

// settle counts the attempt's end.
func (e *exchange) settle(slot *slots.Slot, outcome Outcome, err error, bounded context.Context) {
	result := enginechoice.Succeeded
	switch {
	case outcome == ClientGone || (outcome == Failed && bounded.Err() != nil):
		result = enginechoice.Abandoned
	case outcome == NotRun && err == nil:
		result = enginechoice.Shed
	case outcome != Completed:
		result = enginechoice.Failed
	}
	refused := errors.Is(err, engineconn.ErrNotSent) && (errors.Is(err, syscall.ECONNREFUSED) || isTimeout(err))
	slot.End(result, refused)
}

func isTimeout(err error) bool {
	var timeout interface{ Timeout() bool }
	return errors.As(err, &timeout) && timeout.Timeout()
}

// oneConnection are the headers that concern only one connection.
var oneConnection = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length",
}

// copyHeader copies the headers that travel with a message.
func copyHeader(to, from http.Header) {
	named := make(map[string]bool)
	for _, value := range from["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			named[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	for name, values := range from {
		if !named[name] && !slices.Contains(oneConnection, name) {
			to[name] = values
		}
	}
}
