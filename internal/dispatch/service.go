package dispatch

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"ringstream.example/ringstream/internal/backend"
	"ringstream.example/ringstream/internal/core/fairqueue"
	"ringstream.example/ringstream/internal/core/headroom"
	"ringstream.example/ringstream/internal/core/identity"
	"ringstream.example/ringstream/internal/core/outcome"
	"ringstream.example/ringstream/internal/core/routing"
	"ringstream.example/ringstream/internal/fleet"
	"ringstream.example/ringstream/internal/peer"
	"ringstream.example/ringstream/internal/rows"
)

// Fleet is the part of package fleet that dispatch uses.
type Fleet interface {
	Snapshot() *fleet.Snapshot
	// Changed signals that capacity may have changed. Notify triggers the signal.
	Changed() <-chan struct{}
	Notify()
	Client(id identity.EngineID) (backend.Engine, bool)
	// RandomOtherDispatcher returns a node that dispatches to other engines of the pool.
	RandomOtherDispatcher(pool string, random routing.Random) (identity.NodeID, bool)
	WithPrefixes(decide func(*routing.PrefixIndex))
	// The following methods record what streams reveal about an engine's health.
	RecordPrompt(engine *fleet.Engine, prefix []uint64)
	RecordToken(engine *fleet.Engine)
	RecordTimeout(engine *fleet.Engine, cause string)
	Unreachable(engine *fleet.Engine, cause string)
	RecordLeaving(engine *fleet.Engine)
	// OnlineArrived records that another node has sent online work to the engine.
	OnlineArrived(engine *fleet.Engine)
}

var (
	_ Fleet  = (*fleet.Service)(nil)
	_ Online = (*Service)(nil)
	_ Batch  = (*Service)(nil)
)

// Service implements Online and Batch.
//
// Its mutex guards the queues and the registry of batch runs. It is held for short
// computations only, and engine mutexes are acquired while it is held.
type Service struct {
	config  Config
	fleet   Fleet
	bus     peer.Bus
	rows    rows.Source
	logger  *zap.Logger
	metrics *metrics
	policy  *routing.Policy
	// batchPolicy routes batch items.
	batchPolicy *routing.Policy
	budget      *retryBudget
	batchLimits headroom.Limits

	// background counts the cancels and stream watchers in flight. Serve waits
	// for them.
	background tasks
	stopping   chan struct{} // closed when Serve ends

	mutex        sync.Mutex
	queues       map[queueKey]*queue
	batchRuns    map[identity.EngineID][]*batchRun // preemptible runs, oldest first
	batchWaiters map[queueKey][]*batchWaiter
	// preempting counts the batch runs that were preempted and still occupy their
	// engine.
	preempting map[identity.EngineID]int
	// candidates and scratch are buffers reused by routing decisions.
	candidates []routing.Candidate
	scratch    routing.Scratch
}

// queueKey identifies requests that compete for the same engines.
type queueKey struct{ pool, model, adapter string }

// queue holds the online requests that wait for engines of one queueKey.
type queue struct {
	order   *fairqueue.Queue
	waiters map[*fairqueue.Ticket]*waiter
}

// waiter is a request waiting for an engine.
type waiter struct {
	run    *run
	placed chan *fleet.Engine // buffered, capacity 1
}

// New returns a service. Queued requests and waiting batch work are placed on
// freed capacity only while Serve runs.
func New(config Config, engines Fleet, bus peer.Bus, table rows.Source, logger *zap.Logger, registerer prometheus.Registerer) *Service {
	service := &Service{
		config: config, fleet: engines, bus: bus, rows: table, logger: logger,
		metrics: newMetrics(registerer),
		policy:  routing.DefaultPolicy(config.PackTarget, config.PackPrefill), batchPolicy: routing.BatchPolicy(),
		budget:       newRetryBudget(config.RetryRatio, config.RetryBurst),
		stopping:     make(chan struct{}),
		queues:       make(map[queueKey]*queue),
		batchRuns:    make(map[identity.EngineID][]*batchRun),
		batchWaiters: make(map[queueKey][]*batchWaiter),
		preempting:   make(map[identity.EngineID]int),
		batchLimits:  headroom.Limits{Full: config.BatchLimit, Density: config.BatchDensity, Hold: config.BatchHold},
	}
	bus.Handle(onlineArrived{}, service.handleOnlineArrived)
	bus.HandleStream(forwardRequest{}, service.serveForwarded)
	return service
}

// Serve places waiting work whenever capacity changes, until the context ends. It is
// not named Run because Online has a method of that name.
func (s *Service) Serve(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			close(s.stopping)
			s.background.Wait()
			return nil
		case <-s.fleet.Changed():
			s.placeWaiting()
		}
	}
}

// Run implements Online.
func (s *Service) Run(ctx context.Context, request Request, sink Sink) outcome.Outcome {
	run := s.newRun(request, sink, routing.Online)
	return s.runWithin(ctx, run)
}

// runWithin runs an online request under its deadline, if it has one.
func (s *Service) runWithin(ctx context.Context, run *run) outcome.Outcome {
	s.budget.creditRequest()
	if !run.request.Deadline.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, run.request.Deadline)
		defer cancel()
	}
	ended := s.runOnline(ctx, run)
	s.metrics.requests.WithLabelValues("online", ended.Kind.String()).Inc()
	return ended
}

// runOnline sends attempts until one gives a final result, the attempts are
// exhausted or the retry budget is spent.
func (s *Service) runOnline(ctx context.Context, run *run) outcome.Outcome {
	for {
		result := s.tryOnce(ctx, run)
		if result.final {
			return result.outcome
		}
		if completed, ok := run.completedByLength(); ok {
			return completed
		}
		if run.attempts >= s.config.MaxAttempts || !s.budget.takeRetry() {
			return run.attemptsExhausted(result.err, s.config.RetryAfter)
		}
	}
}

// tryOnce makes one attempt. It uses an engine of this node that has free capacity,
// else forwards to another node, else queues the run for an engine of this node.
func (s *Service) tryOnce(ctx context.Context, run *run) attemptResult {
	engine := s.placeNow(run)
	if engine == nil {
		if result := s.forward(ctx, run); result.final || result.err != nil {
			return result
		}
		if run.forwarded {
			return finalResult(run.refuse(codeNoCapacity, "no engine of this node has room", s.config.RetryAfter))
		}
		var refusal outcome.Outcome
		if engine, refusal = s.placeOrQueue(ctx, run); engine == nil {
			return finalResult(refusal)
		}
	}
	result := s.attempt(ctx, run, engine)
	run.releasePrefill()
	s.release(engine, routing.Online)
	run.triedEngines = append(run.triedEngines, engine.ID)
	return result
}

// placeNow chooses an engine with free capacity and counts the request on it. It
// returns nil when other requests are already queued.
func (s *Service) placeNow(run *run) *fleet.Engine {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.queueFor(run).order.Len() > 0 {
		return nil
	}
	engine, _ := s.chooseEngine(run)
	return engine
}

// placeOrQueue chooses an engine and counts the request on it, waiting in the fair
// queue when none has free capacity. Without an engine it returns the final outcome.
func (s *Service) placeOrQueue(ctx context.Context, run *run) (*fleet.Engine, outcome.Outcome) {
	s.mutex.Lock()
	waiting := s.queueFor(run)
	if waiting.order.Len() == 0 {
		engine, reason := s.chooseEngine(run)
		if engine != nil {
			s.mutex.Unlock()
			return engine, outcome.Outcome{}
		}
		if reason == routing.NoEngine || reason == routing.NotLoaded {
			s.mutex.Unlock()
			return nil, run.refuse(codeNotLoaded, "no engine of the pool has the model loaded", s.config.RetryAfter)
		}
	}
	ticket := run.newTicket(s.config.QueueWait)
	queued := &waiter{run: run, placed: make(chan *fleet.Engine, 1)}
	if !waiting.order.Push(ticket) {
		s.mutex.Unlock()
		return nil, run.refuse(codeNoCapacity, "the queue for this model is full", s.config.RetryAfter)
	}
	waiting.waiters[ticket] = queued
	s.metrics.waiting.Inc()
	s.mutex.Unlock()
	defer s.metrics.waiting.Dec()
	return s.awaitPlacement(ctx, waiting, ticket, queued)
}

// awaitPlacement waits until a queued request is placed, its context ends or its
// ticket expires.
func (s *Service) awaitPlacement(ctx context.Context, waiting *queue, ticket *fairqueue.Ticket, queued *waiter) (*fleet.Engine, outcome.Outcome) {
	timer := time.NewTimer(time.Until(ticket.Deadline))
	defer timer.Stop()
	select {
	case engine := <-queued.placed:
		return engine, outcome.Outcome{}
	case <-timer.C:
	case <-ctx.Done():
	}
	s.mutex.Lock()
	waiting.order.Remove(ticket)
	delete(waiting.waiters, ticket)
	s.mutex.Unlock()
	select {
	case engine := <-queued.placed: // placed concurrently with the timeout or cancellation
		queued.run.releasePrefill()
		s.release(engine, routing.Online)
	default:
	}
	if ctx.Err() != nil {
		return nil, queued.run.contextEnded(ctx)
	}
	return nil, queued.run.refuse(codeNoCapacity, "no engine had room in time", s.config.RetryAfter)
}

// release removes one sequence from an engine's count and signals the freed
// capacity.
func (s *Service) release(engine *fleet.Engine, class routing.Class) {
	engine.End(time.Now(), class)
	s.fleet.Notify()
}

func (s *Service) queueFor(run *run) *queue {
	key := queueKey{run.request.Row.Pool, run.request.Model, run.request.Adapter}
	waiting, ok := s.queues[key]
	if !ok {
		waiting = &queue{order: fairqueue.NewQueue(s.config.QueueLength), waiters: make(map[*fairqueue.Ticket]*waiter)}
		s.queues[key] = waiting
	}
	return waiting
}

// placeWaiting assigns freed capacity to queued online requests in fair-queue order
// and the remainder to batch work.
func (s *Service) placeWaiting() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, waiting := range s.queues {
		s.placeQueued(waiting)
	}
	for id := range s.batchRuns {
		if engine, known := s.fleet.Snapshot().Engines()[id]; known {
			s.preemptBatch(engine)
		}
	}
	s.grantBatch()
}

func (s *Service) placeQueued(waiting *queue) {
	for {
		ticket := waiting.order.Peek()
		if ticket == nil {
			return
		}
		next := waiting.waiters[ticket]
		engine, reason := s.chooseEngine(next.run)
		if engine == nil {
			if reason == routing.NotUsable {
				next.run.triedEngines = nil // all were tried; they may be tried again on the next change
			}
			return
		}
		waiting.order.Serve(ticket)
		delete(waiting.waiters, ticket)
		next.placed <- engine
	}
}

// chooseEngine routes one request to one of this node's engines, counts it there and
// preempts batch work as needed. The caller holds the mutex.
func (s *Service) chooseEngine(run *run) (*fleet.Engine, routing.Reason) {
	engines := s.fleet.Snapshot().Pool(run.request.Row.Pool)
	s.candidates = s.candidates[:0]
	for _, engine := range engines {
		s.candidates = append(s.candidates, engine.Candidate())
	}
	query := routing.Request{
		Class: run.class, Model: run.request.Model, Adapter: run.request.Adapter,
		Prefix: run.prefix, Tried: run.triedEngines,
	}
	var decision routing.Decision
	s.fleet.WithPrefixes(func(index *routing.PrefixIndex) {
		decision = s.policy.Route(&query, s.candidates, index, globalRandom{}, &s.scratch)
	})
	if decision.Reason != routing.Chosen {
		return nil, decision.Reason
	}
	engine := engines[decision.Index]
	now := time.Now()
	wasIdle := engine.OnlineIdle(now) >= s.config.BatchHold
	engine.Begin(now, run.class)
	run.addPrefill(engine, decision.Blocks)
	s.preemptBatch(engine)
	if wasIdle {
		s.notifyDispatchers(engine)
	}
	return engine, routing.Chosen
}

// globalRandom is the global generator of math/rand/v2, which is safe for concurrent
// use.
type globalRandom struct{}

// Uint64 implements routing.Random.
func (globalRandom) Uint64() uint64 { return rand.Uint64() } //nolint:gosec // load spreading, not a secret
