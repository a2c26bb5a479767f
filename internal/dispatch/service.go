package dispatch

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"ringstream.example/ringstream/internal/backend"
	"ringstream.example/ringstream/internal/core/admission"
	"ringstream.example/ringstream/internal/core/headroom"
	"ringstream.example/ringstream/internal/core/identity"
	"ringstream.example/ringstream/internal/core/outcome"
	"ringstream.example/ringstream/internal/core/routing"
	"ringstream.example/ringstream/internal/fleet"
	"ringstream.example/ringstream/internal/peer"
	"ringstream.example/ringstream/internal/rows"
)

// Fleet is what dispatch needs of package fleet.
type Fleet interface {
	Snapshot() *fleet.Snapshot
	// Changed signals that capacity may have changed; Notify raises it.
	Changed() <-chan struct{}
	Notify()
	Client(id identity.EngineID) (backend.Engine, bool)
	// Elsewhere gives a node that dispatches to other engines of the pool.
	Elsewhere(pool string, random routing.Random) (identity.NodeID, bool)
	WithPrefixes(decide func(*routing.PrefixIndex))
	// What streams show of engines.
	Sent(engine *fleet.Engine, prefix []uint64)
	Worked(engine *fleet.Engine)
	Hung(engine *fleet.Engine, cause string)
	Unreachable(engine *fleet.Engine, cause string)
	Left(engine *fleet.Engine)
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
// Its mutex guards the queues and the registry of batch work. It is held for short
// computations only, and engines' own mutexes are taken under it.
type Service struct {
	config  Config
	fleet   Fleet
	bus     peer.Bus
	rows    rows.Source
	logger  *zap.Logger
	metrics *metrics
	policy  *routing.Policy
	// batchPolicy places batch items.
	batchPolicy *routing.Policy
	budget      *retryBudget
	limits      headroom.Limits

	// background counts cancels under way; Run waits for them.
	background tasks
	stopping   chan struct{} // closed when Serve ends

	mutex   sync.Mutex
	queues  map[queueKey]*queue
	batch   map[identity.EngineID][]*batchRun // preemptible, oldest first
	waiting map[queueKey][]*batchWaiter
	// yielding counts batch work told to give way and still on its engine.
	yielding map[identity.EngineID]int
	// Working memory of decisions.
	candidates []routing.Candidate
	scratch    routing.Scratch
}

// queueKey names what competes for the same engines.
type queueKey struct{ pool, model, adapter string }

// queue is the online requests that wait for one kind of engine.
type queue struct {
	order   *admission.Queue
	waiters map[*admission.Ticket]*waiter
}

// waiter is a request waiting for an engine.
type waiter struct {
	run    *run
	placed chan *fleet.Engine // holds one
}

// New makes a service; batch work and waiting requests move only while Run runs.
func New(config Config, engines Fleet, bus peer.Bus, table rows.Source, logger *zap.Logger, registerer prometheus.Registerer) *Service {
	service := &Service{
		config: config, fleet: engines, bus: bus, rows: table, logger: logger,
		metrics: newMetrics(registerer),
		policy:  routing.DefaultPolicy(config.PackTarget, config.PackPrefill), batchPolicy: routing.BatchPolicy(),
		budget:   newRetryBudget(config.RetryRatio, config.RetryBurst),
		stopping: make(chan struct{}),
		queues:   make(map[queueKey]*queue),
		batch:    make(map[identity.EngineID][]*batchRun),
		waiting:  make(map[queueKey][]*batchWaiter),
		yielding: make(map[identity.EngineID]int),
		limits:   headroom.Limits{Full: config.BatchLimit, Density: config.BatchDensity, Hold: config.BatchHold},
	}
	bus.Handle(onlineArrived{}, service.onlineArrived)
	bus.HandleStream(forwardRequest{}, service.serveForwarded)
	return service
}

// Serve is the service's Run (the name is taken by Online): it places waiting work whenever capacity changes, until the context ends.
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

// runWithin runs an online request within its deadline.
func (s *Service) runWithin(ctx context.Context, run *run) outcome.Outcome {
	s.budget.request()
	if !run.request.Deadline.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, run.request.Deadline)
		defer cancel()
	}
	end := s.runOnline(ctx, run)
	s.metrics.requests.WithLabelValues("online", end.Kind.String()).Inc()
	return end
}

// runOnline sends attempts until one completes or the request ends otherwise.
func (s *Service) runOnline(ctx context.Context, run *run) outcome.Outcome {
	for {
		end := s.tryOnce(ctx, run)
		if end.final {
			return end.outcome
		}
		if whole, ok := run.whole(); ok {
			return whole
		}
		if run.attempts >= s.config.MaxAttempts || !s.budget.retry() {
			return run.giveUp(end.err, s.config.RetryAfter)
		}
	}
}

// tryOnce makes one attempt: on an engine of this node that has room, else
// through another node, else on the engine for which the run waits its turn.
func (s *Service) tryOnce(ctx context.Context, run *run) ending {
	engine := s.placeNow(run)
	if engine == nil {
		if end := s.forward(ctx, run); end.final || end.err != nil {
			return end
		}
		if run.forwarded {
			return final(run.refuse(codeNoCapacity, "no engine of this node has room", s.config.RetryAfter))
		}
		var refusal outcome.Outcome
		if engine, refusal = s.place(ctx, run); engine == nil {
			return final(refusal)
		}
	}
	end := s.attempt(ctx, run, engine)
	run.started()
	s.release(engine, routing.Online)
	run.tried = append(run.tried, engine.ID)
	return end
}

// placeNow finds an engine with room, unless others wait for one, and counts the request on it.
func (s *Service) placeNow(run *run) *fleet.Engine {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.queueFor(run).order.Len() > 0 {
		return nil
	}
	engine, _ := s.choose(run)
	return engine
}

// place finds an engine and counts the request on it, waiting in the fair
// queue when none has room. Without an engine it gives the final outcome.
func (s *Service) place(ctx context.Context, run *run) (*fleet.Engine, outcome.Outcome) {
	s.mutex.Lock()
	waiting := s.queueFor(run)
	if waiting.order.Len() == 0 {
		engine, reason := s.choose(run)
		if engine != nil {
			s.mutex.Unlock()
			return engine, outcome.Outcome{}
		}
		if reason == routing.NoEngine || reason == routing.NotLoaded {
			s.mutex.Unlock()
			return nil, run.refuse(codeNotLoaded, "no engine of the pool has the model loaded", s.config.RetryAfter)
		}
	}
	ticket := run.ticket(s.config.QueueWait)
	own := &waiter{run: run, placed: make(chan *fleet.Engine, 1)}
	if !waiting.order.Push(ticket) {
		s.mutex.Unlock()
		return nil, run.refuse(codeNoCapacity, "the queue for this model is full", s.config.RetryAfter)
	}
	waiting.waiters[ticket] = own
	s.metrics.waiting.Inc()
	s.mutex.Unlock()
	defer s.metrics.waiting.Dec()
	return s.await(ctx, waiting, ticket, own)
}

// await waits for a queued request's turn, its caller or its limit.
func (s *Service) await(ctx context.Context, waiting *queue, ticket *admission.Ticket, own *waiter) (*fleet.Engine, outcome.Outcome) {
	timer := time.NewTimer(time.Until(ticket.Deadline))
	defer timer.Stop()
	select {
	case engine := <-own.placed:
		return engine, outcome.Outcome{}
	case <-timer.C:
	case <-ctx.Done():
	}
	s.mutex.Lock()
	waiting.order.Remove(ticket)
	delete(waiting.waiters, ticket)
	s.mutex.Unlock()
	select {
	case engine := <-own.placed: // placed while it gave up
		own.run.started()
		s.release(engine, routing.Online)
	default:
	}
	if ctx.Err() != nil {
		return nil, own.run.stopped(ctx)
	}
	return nil, own.run.refuse(codeNoCapacity, "no engine had room in time", s.config.RetryAfter)
}

// release counts one sequence off an engine.
func (s *Service) release(engine *fleet.Engine, class routing.Class) {
	engine.End(time.Now(), class)
	s.fleet.Notify()
}

func (s *Service) queueFor(run *run) *queue {
	key := queueKey{run.request.Row.Pool, run.request.Model, run.request.Adapter}
	waiting, ok := s.queues[key]
	if !ok {
		waiting = &queue{order: admission.NewQueue(s.config.QueueLength), waiters: make(map[*admission.Ticket]*waiter)}
		s.queues[key] = waiting
	}
	return waiting
}

// placeWaiting gives freed capacity to waiting online requests, in their fair
// order, and what is left to batch work.
func (s *Service) placeWaiting() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, waiting := range s.queues {
		s.drainQueue(waiting)
	}
	for id := range s.batch {
		if engine, known := s.fleet.Snapshot().Engines()[id]; known {
			s.yield(engine)
		}
	}
	s.grantBatch()
}

func (s *Service) drainQueue(waiting *queue) {
	for {
		ticket := waiting.order.Peek()
		if ticket == nil {
			return
		}
		next := waiting.waiters[ticket]
		engine, reason := s.choose(next.run)
		if engine == nil {
			if reason == routing.NotUsable {
				next.run.tried = nil // all were tried: the next change may try them again
			}
			return
		}
		waiting.order.Serve(ticket)
		delete(waiting.waiters, ticket)
		next.placed <- engine
	}
}

// choose routes one request among this node's engines and counts it on the one
// chosen. Batch work on it gives way. The mutex is held.
func (s *Service) choose(run *run) (*fleet.Engine, routing.Reason) {
	engines := s.fleet.Snapshot().Pool(run.request.Row.Pool)
	s.candidates = s.candidates[:0]
	for _, engine := range engines {
		s.candidates = append(s.candidates, engine.Candidate())
	}
	query := routing.Request{
		Class: run.class, Model: run.request.Model, Adapter: run.request.Adapter,
		Prefix: run.prefix, Tried: run.tried,
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
	fresh := engine.OnlineIdle(now) >= s.config.BatchHold
	engine.Begin(now, run.class)
	run.expect(engine, decision.Blocks)
	s.yield(engine)
	if fresh {
		s.tellDispatchers(engine)
	}
	return engine, routing.Chosen
}

// globalRandom is the runtime's generator, which is safe for concurrent use.
type globalRandom struct{}

// Uint64 implements routing.Random.
func (globalRandom) Uint64() uint64 { return rand.Uint64() } //nolint:gosec // load spreading, not a secret
