// Package relay hands one request to an engine and its answer to the client:
// it picks engines, sends attempts, resumes broken streams, and gives up in
// time. It owns what is known of each attempt, and never claims more: a
// refusal says "not run" only when that is sure.
package relay

import (
	"context"
	"errors"
	"net/http"
	"time"

	"go.uber.org/zap"

	"ringstream.example/ringstream/internal/core/enginechoice"
	"ringstream.example/ringstream/internal/core/passroute"
	"ringstream.example/ringstream/internal/core/quarantine"
	"ringstream.example/ringstream/internal/core/tenant"
	"ringstream.example/ringstream/internal/events"
	"ringstream.example/ringstream/internal/passthrough"
	"ringstream.example/ringstream/internal/passthrough/catalog"
	"ringstream.example/ringstream/internal/passthrough/engineconn"
	"ringstream.example/ringstream/internal/passthrough/guard"
	"ringstream.example/ringstream/internal/passthrough/slots"
	"ringstream.example/ringstream/internal/suspension"
	"ringstream.example/ringstream/internal/wait"
)

// Call is one request of a client, read whole.
type Call struct {
	Request  *http.Request
	Body     []byte
	Route    *passroute.Route
	Pool     string
	Version  int64     // of the routes that Route is of
	Learned  time.Time // when that version was learned
	Demand   passthrough.Demand
	Received time.Time
	Slept    time.Duration  // how long the machine was suspended in all, when it was received
	Tenant   *tenant.Tenant // nil: the request is of none
}

// TenantName gives the name of the call's tenant; empty: it has none.
func (c *Call) TenantName() string {
	if c.Tenant == nil {
		return ""
	}
	return c.Tenant.Name
}

// content gives what a repeat of the call has in common with it.
func (c *Call) content() quarantine.Content {
	return quarantine.Content{Host: c.Request.Host, Target: c.Request.RequestURI, Caller: c.TenantName(), Body: c.Body}
}

// Relay serves calls. It is safe for concurrent use.
type Relay struct {
	headers passthrough.Headers
	engines *catalog.Engines
	slots   *slots.Service
	pool    *engineconn.Pool
	guard   *guard.Service
	logger  *zap.Logger
	metrics *Metrics
	running *running
	watch   *suspension.Watch
}

// WatchBy has the relay look for suspensions before it sends; called before Run.
func (r *Relay) WatchBy(watch *suspension.Watch) {
	r.watch = watch
	watch.OnWake(r.Suspended)
}

// New makes a relay.
func New(headers passthrough.Headers, engines *catalog.Engines, slots *slots.Service, pool *engineconn.Pool, guard *guard.Service, logger *zap.Logger, metrics *Metrics) *Relay {
	return &Relay{headers: headers, engines: engines, slots: slots, pool: pool, guard: guard, logger: logger, metrics: metrics, running: newRunning()}
}

// exchange is the state of one call over its attempts.
type exchange struct {
	*Relay
	call      *Call
	to        http.ResponseWriter
	stoppable attemptStop
	clock     callClock // of the client's deadline or the route's, whichever is earlier
	excluded  map[enginechoice.Incarnation]bool

	content    quarantine.Digest
	attempts   int  // engines that ran the request, or may have
	tries      int  // requests sent, those that were not run too
	mayHaveRun bool // some engine ran it, or may have
	counted    bool // by the limit of its tenant
	headSent   bool
	unserved   error // why no engine took it when it was last asked; nil: one did
	stream     *Splitter
	firstEvent time.Duration
	failure    *engineFailure // the last answer of an engine that is a failure
	status     int            // that the client got
	headTimer  *patience      // ends an attempt whose engine stays silent
}

// Serve answers a call. A stream that cannot be finished ends the connection,
// so that it cannot look complete: Serve then panics with
// http.ErrAbortHandler, as net/http asks.
func (r *Relay) Serve(ctx context.Context, to http.ResponseWriter, call *Call) {
	state := &exchange{
		Relay: r, call: call, to: to,
		excluded: make(map[enginechoice.Incarnation]bool), stream: NewSplitter(call.Demand.LastEvent), content: call.content().Digest(),
	}
	bounded, cancel := context.WithDeadline(ctx, deadlineOf(call))
	defer cancel()
	state.clock = callClock{cancel: cancel, deadline: deadlineOf(call), slept: call.Slept}
	defer state.clock.stop()
	r.running.begin(state)
	defer r.running.end(state)
	state.clock.woke(r.watch.Total()) // while the call was read
	outcome := state.run(ctx, bounded)
	r.metrics.ended(call.Route.Name, outcome, time.Since(call.Received), state.firstEvent)
	events.RequestDone.Log(r.logger,
		zap.String("request", call.Demand.RequestID), zap.String("route", call.Route.Name),
		zap.Int64("routes_version", call.Version), zap.Duration("routes_age", time.Since(call.Learned)),
		zap.Stringer("outcome", outcome), zap.Int("status", state.status), zap.Int("attempts", state.attempts), zap.Int("tries", state.tries),
		zap.Int("events", state.stream.Count()), zap.Duration("first_event", state.firstEvent), zap.Duration("objective", call.Route.Objective),
		zap.Duration("elapsed", time.Since(call.Received)), zap.Stringer("content", state.content))
	if outcome == Cut || (outcome == ClientGone && state.headSent) {
		panic(http.ErrAbortHandler)
	}
}

// defaultTime bounds a request whose client and route say nothing.
const defaultTime = time.Minute

func deadlineOf(call *Call) time.Time {
	left := defaultTime
	if call.Demand.TimeLeft > 0 {
		left = call.Demand.TimeLeft
	}
	if call.Route.Timeout > 0 {
		left = min(left, call.Route.Timeout)
	}
	return call.Received.Add(left)
}

// run sends attempts until one answers or nothing more may be tried.
func (e *exchange) run(client, bounded context.Context) Outcome {
	patience := e.call.Received.Add(patienceOf(e.call))
	for {
		if client.Err() != nil {
			return ClientGone
		}
		e.watch.Look()
		if bounded.Err() != nil || e.clock.left() <= 0 {
			return e.giveUp(timedOut)
		}
		if verdict := e.guard.Verdict(e.content); verdict.Blocked {
			return e.refuseBlocked(verdict)
		}
		decision, err := e.choose(bounded, patience)
		if overLimit := (*slots.OverLimitError)(nil); errors.As(err, &overLimit) {
			return e.refuseOverLimit(overLimit)
		}
		if errors.Is(err, slots.ErrLimitNotKnown) {
			return e.giveUp(limitNotKnown)
		}
		if err != nil {
			if len(e.excluded) == 0 && time.Now().After(patience) || !e.rest(bounded, patience) {
				return e.concludeUnserved(client, bounded)
			}
			continue
		}
		if verdict := e.guard.Verdict(e.content); verdict.Blocked { // since it began to wait
			decision.Slot.End(enginechoice.Abandoned, false)
			return e.refuseBlocked(verdict)
		}
		if e.watch.Look(); e.clock.left() <= 0 {
			decision.Slot.End(enginechoice.Abandoned, false)
			continue
		}
		ended := e.attempt(bounded, decision)
		switch ended {
		case Completed, ClientGone:
			return ended
		case NotRun:
			e.excluded[decision.Choice.Entry.Incarnation()] = true
			continue
		}
		if client.Err() != nil {
			return ClientGone
		}
		e.excluded[decision.Choice.Entry.Incarnation()] = true
		if !e.call.Route.Repeatable() || e.attempts >= e.call.Route.Attempts {
			return e.giveUp(attemptsUsed)
		}
	}
}

// Patience with full engines: a refusal that comes later than this share of
// the time left serves nobody.
const (
	patienceShare   = 0.4
	patienceFactor  = 4 // times the objective
	restBetweenFull = 25 * time.Millisecond
)

func patienceOf(call *Call) time.Duration {
	left := time.Duration(float64(time.Until(deadlineOf(call))) * patienceShare)
	if call.Route.Objective > 0 {
		left = min(left, patienceFactor*call.Route.Objective)
	}
	return left
}

// rest waits a moment for an engine to have room; false when patience ended.
func (e *exchange) rest(bounded context.Context, patience time.Time) bool {
	if time.Now().After(patience) {
		return false
	}
	clear(e.excluded)
	return wait.For(bounded, restBetweenFull)
}

func (e *exchange) concludeUnserved(client, bounded context.Context) Outcome {
	if client.Err() != nil {
		return ClientGone
	}
	if bounded.Err() != nil {
		return e.giveUp(timedOut)
	}
	return e.giveUp(noEngine)
}

// choose gets a slot at an engine. It waits for one until patience ends; then the
// request takes its place at an engine, however many are before it.
func (e *exchange) choose(bounded context.Context, patience time.Time) (slots.Decision, error) {
	query := Query(e.call.Pool, e.call.Demand)
	query.Exclude = e.excluded
	request := slots.Request{ID: e.call.Demand.RequestID, Query: query, Rank: e.call.Route.Priority, PlaceAt: patience, Suspect: e.guard.Suspect(e.content)}
	if e.call.Route.Objective > 0 {
		request.Due = e.call.Received.Add(e.call.Route.Objective)
	}
	if e.stream.Count() > 0 {
		request.PlaceAt = e.call.Received // a stream that is to go on would only be later
	}
	if e.call.Tenant != nil {
		request.TenantRank = e.call.Tenant.Priority
	}
	if e.call.Tenant != nil && !e.counted {
		request.Tenant = e.call.Tenant.Name
	}
	decision, err := e.slots.Acquire(bounded, request)
	if err != nil {
		e.logUnserved(err)
		return decision, err
	}
	e.unserved = nil
	e.counted = true
	e.tries++
	if e.tries <= triesLogged {
		e.logChoice(decision)
	}
	return decision, nil
}

// logUnserved logs why no engine takes the request, once as long as the reason stays. It is asked for
// every restBetweenFull: while a fleet's nodes did not know their engines, 167,714 lines were
// written in 6.1 s, 29 a request on average and 49 at most.
func (e *exchange) logUnserved(why error) {
	if e.unserved != nil && e.unserved.Error() == why.Error() {
		return
	}
	e.unserved = why
	events.NoEngine.Log(e.logger, zap.String("request", e.call.Demand.RequestID), zap.String("pool", e.call.Pool), zap.Int("excluded", len(e.excluded)), zap.Error(why))
}

// logChoice logs which engine a try goes to, and why.
func (e *exchange) logChoice(decision slots.Decision) {
	choice := decision.Choice
	events.EngineChosen.Log(e.logger,
		zap.String("request", e.call.Demand.RequestID), zap.Stringer("engine", choice.Entry.Incarnation()), zap.Int("attempt", e.tries),
		zap.Stringer("chosen_by", decision.Source), zap.String("dispatcher", decision.From), zap.Duration("waited", decision.Waited),
		zap.Float64("score_ms", choice.Score), zap.Int("in_flight", choice.InFlight), zap.Int("slots", choice.Entry.Slots), zap.Int("prefill_tokens", choice.PrefillTokens),
		zap.Bool("makes_room", choice.MakeRoom), zap.Stringer("state", choice.State), zap.Duration("left", e.clock.left()), zap.String("last_event", e.stream.Last()))
}

// Query translates a request's demand for the choice of an engine. The last
// part of a prompt belongs to the request itself.
func Query(pool string, demand passthrough.Demand) enginechoice.Query {
	query := enginechoice.Query{Pool: pool, OwnTokens: demand.PromptTokens}
	for i, part := range demand.Parts {
		if i < len(demand.Parts)-1 {
			query.Shared = append(query.Shared, enginechoice.Part{ID: part.ID, Tokens: part.Tokens})
			query.OwnTokens -= part.Tokens
		}
	}
	query.OwnTokens = max(query.OwnTokens, 0)
	output := demand.OutputTokens
	if demand.LengthHint > 0 {
		output = min(output, demand.LengthHint*hintMargin/100)
	}
	query.MemoryTokens = demand.PromptTokens + output
	return query
}

// hintMargin is the part of a client's guess, in per cent, that is planned for.
const hintMargin = 150
