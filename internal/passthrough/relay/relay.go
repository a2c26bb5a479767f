// Package relay forwards a request to an engine and the response to the client. It acquires slots
// at engines, sends attempts, resumes broken streams and gives up at the deadline. It records what
// is known about each attempt and claims no more than that: a refusal says "not run" only if it is
// certain that no engine ran the request.
package relay

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"

	"ringstream.example/ringstream/internal/core/enginechoice"
	"ringstream.example/ringstream/internal/core/passroute"
	"ringstream.example/ringstream/internal/core/quarantine"
	"ringstream.example/ringstream/internal/core/tenant"
	"ringstream.example/ringstream/internal/events"
	"ringstream.example/ringstream/internal/passthrough"
	"ringstream.example/ringstream/internal/passthrough/answerend"
	"ringstream.example/ringstream/internal/passthrough/catalog"
	"ringstream.example/ringstream/internal/passthrough/engineconn"
	"ringstream.example/ringstream/internal/passthrough/guard"
	"ringstream.example/ringstream/internal/passthrough/memorybudget"
	"ringstream.example/ringstream/internal/passthrough/origins"
	"ringstream.example/ringstream/internal/passthrough/slots"
	"ringstream.example/ringstream/internal/suspension"
	"ringstream.example/ringstream/internal/wait"
)

// Call is one request of a client, with its whole body.
type Call struct {
	Request   *http.Request
	Body      []byte
	Route     *passroute.Route
	Pool      string
	Version   int64     // of the routes that Route belongs to
	Learned   time.Time // when this node learned of that version
	Confirmed bool      // that version was known to be the newest when the call came
	Demand    passthrough.Demand
	Received  time.Time
	Suspended time.Duration  // total time that the machine had been suspended at Received
	Tenant    *tenant.Tenant // nil if the request belongs to no tenant
}

// TenantName returns the name of the call's tenant, or "" if it has none.
func (c *Call) TenantName() string {
	if c.Tenant == nil {
		return ""
	}
	return c.Tenant.Name
}

// tenantRank returns the priority of the call's tenant; 0, the highest, if it has none.
func (c *Call) tenantRank() int {
	if c.Tenant == nil {
		return 0
	}
	return c.Tenant.Priority
}

// identity returns what identifies the call in the quarantine. It is the same in a repeat of the call.
func (c *Call) identity() quarantine.Identity {
	content := quarantine.Content{Host: c.Request.Host, Target: c.Request.RequestURI, Caller: c.TenantName(), Body: c.Body}
	return quarantine.Identity{Content: content.Digest(), Parts: SharedParts(c.Request.Host, c.Demand.Parts)}
}

// SharedParts returns the digests of the parts of a prompt that other requests share, which are all but
// the last.
func SharedParts(host string, parts []passthrough.PromptPart) []quarantine.Digest {
	var digests []quarantine.Digest
	for i := range len(parts) - 1 {
		digests = append(digests, quarantine.Part{Host: host, ID: parts[i].ID}.Digest())
	}
	return digests
}

// Relay serves calls. It is safe for concurrent use.
type Relay struct {
	headers passthrough.Headers
	engines *catalog.Engines
	slots   *slots.Service
	pool    *engineconn.Pool
	ends    *answerend.Checker
	guard   *guard.Service
	logger  *zap.Logger
	metrics *Metrics
	active  *activeCalls
	usual   *usualTimes
	// starts ends when requests are passed on no longer.
	starts     context.Context //nolint:containedctx // of the relay, not of a call
	stopStarts context.CancelFunc
	moves      *recentMoves
	watch      *suspension.Watch
	held       *memorybudget.Budget // counts what is read ahead of slow clients
	origins    Origins
}

// SetMemoryBudget sets the budget of what is read ahead of slow clients. It must be called before the first
// Serve; without it there is no bound on the sum.
func (r *Relay) SetMemoryBudget(held *memorybudget.Budget) { r.held = held }

// Origins knows which software version began a stream.
type Origins interface {
	// Began records the version whose engine wrote a stream's first event.
	Began(pool, requestID, software string)
	// BeginsAmong returns the versions at which a stream that clients can take up should begin; nil
	// if any will do.
	BeginsAmong(query enginechoice.Query) []string
	// Find returns the version at which a stream may be resumed, or origins.ErrNotFound.
	Find(ctx context.Context, stream origins.Stream) (software string, err error)
}

// SetOrigins sets what knows the streams that other nodes began. It must be called before the first Serve.
func (r *Relay) SetOrigins(origins Origins) { r.origins = origins }

// SetSuspensionWatch sets the watch that the relay checks for suspensions of the machine before
// each attempt. It must be called before the first Serve.
func (r *Relay) SetSuspensionWatch(watch *suspension.Watch) {
	r.watch = watch
	watch.OnResume(r.AdjustForSuspension)
}

// New returns a relay.
func New(headers passthrough.Headers, engines *catalog.Engines, slots *slots.Service, pool *engineconn.Pool, ends *answerend.Checker, guard *guard.Service, logger *zap.Logger, metrics *Metrics) *Relay {
	starts, stopStarts := context.WithCancel(context.Background())
	return &Relay{starts: starts, stopStarts: stopStarts, headers: headers, engines: engines, slots: slots, pool: pool, ends: ends, guard: guard, logger: logger, metrics: metrics, active: newActiveCalls(), usual: newUsualTimes(), moves: &recentMoves{}, held: memorybudget.New(0)}
}

// StopStarts makes the relay refuse the requests that no engine has run yet, those that wait for a slot
// included. The node stops before they would end, and other nodes serve them.
func (r *Relay) StopStarts() { r.stopStarts() }

// Stopping reports whether StopStarts was called.
func (r *Relay) Stopping() bool { return r.starts.Err() != nil }

// exchange is the state of one call across its attempts.
type exchange struct {
	*Relay
	call           *Call
	to             http.ResponseWriter
	control        *http.ResponseController // of to
	currentAttempt attemptCanceler
	clock          callClock // runs until the deadline of the client or the route, whichever is earlier
	excluded       map[enginechoice.Incarnation]bool
	abandoned      []enginechoice.Incarnation // excluded for being slow or silent

	identity     quarantine.Identity
	attempts     int  // attempts in which an engine ran the request or may have
	tries        int  // requests sent, including those that no engine ran
	mayHaveRun   bool // an engine ran the request or may have
	limitCounted bool // the tenant's limit has counted the request
	headSent     bool
	lastUnserved error // why the last acquisition of a slot failed; nil if it succeeded
	stream       *Splitter
	software     string // version that wrote the stream's first event; empty before it is known
	spoiled      bool   // the client has events that are not sound
	readmitted   bool   // excluded engines were allowed again for want of others of this version
	firstEvent   time.Duration
	slotTime     time.Duration     // for which the call held slots at engines
	lastFailure  *bufferedResponse // the last error response of an engine
	buffered     *bufferedResponse // the response to send, unless it is a stream
	bodies       []*countedBody    // of lastFailure and buffered
	status       int               // sent to the client
	pace         attemptPace
	endEvidence  answerend.Evidence // of the attempt in flight
	headTimer    *silenceTimer      // ends an attempt whose engine sends no response head

	sizeRejections int // rejections by engines whose memory the request may exceed

	writeLimits      sync.Mutex // guards finalAnswerUntil and the order of limits
	finalAnswerUntil time.Time  // end of finalAnswerTime; zero before a final answer
}

// Serve answers a call. For a stream that cannot be finished it panics with http.ErrAbortHandler,
// which makes net/http close the connection, so that the stream does not look complete.
func (r *Relay) Serve(ctx context.Context, to http.ResponseWriter, call *Call) {
	state := &exchange{
		Relay: r, call: call, to: to, control: http.NewResponseController(to),
		excluded: make(map[enginechoice.Incarnation]bool), stream: NewSplitter(call.Demand.LastEvent), identity: call.identity(),
	}
	state.stream.LimitRun(call.Demand.OutputTokens)
	state.stream.CountIn(r.held)
	defer state.stream.Release()
	deadlineCtx, cancel := context.WithDeadline(ctx, deadlineOf(call))
	defer cancel()
	state.clock = callClock{cancel: cancel, deadline: deadlineOf(call), suspended: call.Suspended}
	defer state.clock.stop()
	defer state.releaseBodies()
	r.active.add(state)
	defer r.active.remove(state)
	state.clock.applySuspension(r.watch.Total()) // suspensions while the call was read
	state.limitWritesToCall()
	outcome := state.run(ctx, deadlineCtx)
	r.metrics.record(call.Route.Name, outcome, time.Since(call.Received), state.firstEvent)
	r.metrics.recordTenant(state, outcome, time.Now())
	events.RequestDone.Log(r.logger,
		zap.String("request", call.Demand.RequestID), zap.String("route", call.Route.Name),
		zap.Int64("routes_version", call.Version), zap.Duration("routes_age", time.Since(call.Learned)),
		zap.Stringer("outcome", outcome), zap.Int("status", state.status), zap.Int("attempts", state.attempts), zap.Int("tries", state.tries),
		zap.Int("events", state.stream.Count()), zap.Duration("first_event", state.firstEvent), zap.Duration("objective", call.Route.Objective),
		zap.Duration("elapsed", time.Since(call.Received)), zap.Stringer("content", state.identity.Content), zap.String("tenant", call.TenantName()), zap.Int("tenant_rank", call.tenantRank()), zap.String("resumes", call.Demand.Resumes))
	if outcome == Cut || (outcome == ClientGone && state.headSent) {
		panic(http.ErrAbortHandler)
	}
}

// defaultTimeout applies to a request whose client and route set no time limit.
const defaultTimeout = time.Minute

func deadlineOf(call *Call) time.Time {
	left := defaultTimeout
	if call.Demand.TimeLeft > 0 {
		left = call.Demand.TimeLeft
	}
	if call.Route.Timeout > 0 {
		left = min(left, call.Route.Timeout)
	}
	return call.Received.Add(left)
}

// run makes attempts until one succeeds or no further attempt is allowed.
func (e *exchange) run(clientCtx, deadlineCtx context.Context) Outcome {
	slotDeadline := e.call.Received.Add(slotWaitOf(e.call))
	startCtx, cancelStart := context.WithCancel(deadlineCtx)
	defer cancelStart()
	defer context.AfterFunc(e.starts, cancelStart)()
	if outcome, resumable := e.findOrigin(deadlineCtx); !resumable {
		return outcome
	}
	for {
		if clientCtx.Err() != nil {
			return ClientGone
		}
		e.watch.Check()
		if deadlineCtx.Err() != nil || e.clock.remaining() <= 0 {
			return e.giveUp(timedOut)
		}
		if verdict, on := e.guard.Verdict(e.identity); verdict.Blocked {
			return e.refuseBlocked(verdict, on)
		}
		waitCtx := startCtx
		if e.mayHaveRun {
			waitCtx = deadlineCtx
		}
		decision, err := e.acquireSlot(waitCtx, slotDeadline)
		if e.Stopping() && !e.mayHaveRun {
			if err == nil {
				decision.Slot.End(enginechoice.Abandoned, false)
			}
			return e.giveUp(nodeStopping)
		}
		if overLimit := (*slots.OverLimitError)(nil); errors.As(err, &overLimit) {
			return e.refuseOverLimit(overLimit)
		}
		if overloaded := (*slots.OverloadedError)(nil); errors.As(err, &overloaded) {
			return e.refuseOverloaded(overloaded)
		}
		if tooLarge := (*slots.PromptTooLargeError)(nil); errors.As(err, &tooLarge) {
			return e.refuseTooLarge(tooLarge)
		}
		if errors.Is(err, slots.ErrLimitNotKnown) {
			return e.giveUp(limitNotKnown)
		}
		if e.readmitAbandoned(err) || e.readmitForSoftware(deadlineCtx, err) {
			continue
		}
		if err != nil {
			if len(e.excluded) == 0 && time.Now().After(slotDeadline) || !e.waitForRetry(deadlineCtx, slotDeadline) {
				return e.concludeUnserved(clientCtx, deadlineCtx)
			}
			continue
		}
		if verdict, on := e.guard.Verdict(e.identity); verdict.Blocked { // it may have been blocked during the wait
			decision.Slot.End(enginechoice.Abandoned, false)
			return e.refuseBlocked(verdict, on)
		}
		if e.watch.Check(); e.clock.remaining() <= 0 {
			decision.Slot.End(enginechoice.Abandoned, false)
			continue
		}
		outcome := e.attempt(deadlineCtx, decision)
		switch outcome {
		case Completed:
			return e.deliver()
		case ClientGone:
			return outcome
		case NotRun:
			if e.sizeRejections >= maxSizeRejections && !e.mayHaveRun {
				return e.giveUp(noEngine)
			}
			e.excluded[decision.Choice.Entry.Incarnation()] = true
			continue
		}
		if clientCtx.Err() != nil {
			return ClientGone
		}
		e.excluded[decision.Choice.Entry.Incarnation()] = true
		if !e.call.Route.Repeatable() || e.attempts >= e.call.Route.Attempts || e.spoiled {
			return e.giveUp(attemptsUsed)
		}
	}
}

// maxSizeRejections is the number of rejections after which a request that may be larger than an engine's memory
// is given up. Whether its size is the reason is not certain, since engines reject it as if they were full.
const maxSizeRejections = 3

// Bounds of the wait for a free slot while the engines are full. A refusal that comes later than
// this share of the remaining time is of no use to the client.
const (
	slotWaitShare           = 0.4
	slotWaitObjectiveFactor = 4 // multiple of the first-event objective
	slotRetryDelay          = 25 * time.Millisecond
)

// slotWaitOf returns how long a call may wait for a free slot.
func slotWaitOf(call *Call) time.Duration {
	left := time.Duration(float64(time.Until(deadlineOf(call))) * slotWaitShare)
	if call.Route.Objective > 0 {
		left = min(left, slotWaitObjectiveFactor*call.Route.Objective)
	}
	return left
}

// waitForRetry clears the excluded engines and waits slotRetryDelay for one of them to have
// capacity. It returns false after slotDeadline or when the call's time is up.
func (e *exchange) waitForRetry(deadlineCtx context.Context, slotDeadline time.Time) bool {
	if time.Now().After(slotDeadline) {
		return false
	}
	clear(e.excluded)
	return wait.For(deadlineCtx, slotRetryDelay)
}

func (e *exchange) concludeUnserved(clientCtx, deadlineCtx context.Context) Outcome {
	if clientCtx.Err() != nil {
		return ClientGone
	}
	if deadlineCtx.Err() != nil {
		return e.giveUp(timedOut)
	}
	return e.giveUp(noEngine)
}

// acquireSlot acquires a slot at an engine. It waits for a free slot until slotDeadline. After
// that the request is placed at an engine, however many requests are queued there.
func (e *exchange) acquireSlot(deadlineCtx context.Context, slotDeadline time.Time) (slots.Decision, error) {
	query := e.query()
	request := slots.Request{
		ID: e.call.Demand.RequestID, Query: query, Rank: e.call.Route.Priority, PlacementDeadline: slotDeadline, EndsAt: e.clock.currentDeadline(),
		TenantRank: e.call.tenantRank(), Owner: e.call.TenantName(), Content: e.identity.Content.Hash(), MayHaveRun: e.mayHaveRun, Suspect: e.guard.Suspect(e.identity),
		PauseObjective: e.call.Route.PauseObjective,
	}
	if e.call.Route.Objective > 0 {
		request.FirstTokenDeadline = e.call.Received.Add(e.call.Route.Objective)
	}
	if e.stream.Count() > 0 {
		request.PlacementDeadline = e.call.Received // a resumed stream does not wait for a free slot
	}
	if e.call.Tenant != nil && !e.limitCounted {
		request.Tenant = e.call.Tenant.Name
	}
	decision, err := e.slots.Acquire(deadlineCtx, request)
	if err != nil {
		e.logUnserved(err)
		return decision, err
	}
	e.lastUnserved = nil
	e.limitCounted = true
	e.tries++
	if e.tries <= maxLoggedTries {
		e.logChoice(decision)
	}
	return decision, nil
}

// logUnserved logs why no engine accepts the request, once as long as the reason stays the same. It
// is called every slotRetryDelay.
func (e *exchange) logUnserved(why error) {
	if e.lastUnserved != nil && e.lastUnserved.Error() == why.Error() {
		return
	}
	e.lastUnserved = why
	events.NoEngine.Log(e.logger, zap.String("request", e.call.Demand.RequestID), zap.String("pool", e.call.Pool), zap.Int("excluded", len(e.excluded)), zap.Error(why))
}

// logChoice logs which engine a try is sent to, and why.
func (e *exchange) logChoice(decision slots.Decision) {
	choice := decision.Choice
	events.EngineChosen.Log(e.logger,
		zap.String("request", e.call.Demand.RequestID), zap.Stringer("engine", choice.Entry.Incarnation()), zap.String("software", choice.Entry.Software), zap.Int("attempt", e.tries),
		zap.Stringer("chosen_by", decision.Source), zap.String("dispatcher", decision.From), zap.Duration("waited", decision.Waited),
		zap.Float64("score_ms", choice.Score), zap.Int("in_flight", choice.InFlight), zap.Int("slots", choice.Entry.Slots), zap.Int("prefill_tokens", choice.PrefillTokens),
		zap.Bool("makes_room", choice.Preempts), zap.Stringer("state", choice.State), zap.Duration("left", e.clock.remaining()), zap.String("last_event", e.stream.Last()), zap.String("resumed_at", e.software))
}

// Query translates a request's demand into a query for an engine. The last part of the prompt
// belongs to this request alone and is not shared.
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
		output = min(output, demand.LengthHint*lengthHintPercent/100)
	}
	query.MemoryTokens = demand.PromptTokens + output
	return query
}

// lengthHintPercent is the share of a client's output length hint that is planned for, in percent.
const lengthHintPercent = 150
