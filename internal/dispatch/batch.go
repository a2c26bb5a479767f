package dispatch

import (
	"context"
	"errors"
	"slices"
	"time"

	"go.uber.org/zap"

	"ringstream.example/ringstream/internal/core/outcome"
	"ringstream.example/ringstream/internal/core/routing"
	"ringstream.example/ringstream/internal/events"
	"ringstream.example/ringstream/internal/fleet"
)

// batchWaiter is a call of Acquire that waits for idle capacity.
type batchWaiter struct{ granted chan *fleet.Engine } // buffered, capacity 1

// batchRun is a batch item that can be preempted.
type batchRun struct {
	preempt context.CancelCauseFunc
	// preempting is true when the run was preempted and still counts on its engine.
	preempting bool
}

// Acquire implements Batch. Waiters for one pool and model are served in FIFO order.
func (s *Service) Acquire(ctx context.Context, pool, model string) (Slot, error) {
	key := queueKey{pool: pool, model: model}
	waiter := &batchWaiter{granted: make(chan *fleet.Engine, 1)}
	s.mutex.Lock()
	s.batchWaiters[key] = append(s.batchWaiters[key], waiter)
	s.grantBatch()
	s.mutex.Unlock()
	select {
	case engine := <-waiter.granted:
		return &slot{service: s, engine: engine}, nil
	case <-ctx.Done():
	}
	s.mutex.Lock()
	s.removeWaiter(key, waiter)
	s.mutex.Unlock()
	select {
	case engine := <-waiter.granted: // granted concurrently with the cancellation
		return &slot{service: s, engine: engine}, nil
	default:
		return nil, ctx.Err()
	}
}

func (s *Service) removeWaiter(key queueKey, waiter *batchWaiter) {
	s.batchWaiters[key] = slices.DeleteFunc(s.batchWaiters[key], func(other *batchWaiter) bool { return other == waiter })
}

// grantBatch grants idle capacity to waiting batch work, unless online work is queued
// for the pool. The caller holds the mutex.
func (s *Service) grantBatch() {
	for key, waiters := range s.batchWaiters {
		granted := 0
		for granted < len(waiters) && !s.onlineWaiting(key.pool) {
			engine := s.idleEngine(key)
			if engine == nil {
				break
			}
			engine.Begin(time.Now(), routing.Batch)
			waiters[granted].granted <- engine
			granted++
		}
		if granted == len(waiters) {
			delete(s.batchWaiters, key)
		} else {
			s.batchWaiters[key] = waiters[granted:]
		}
	}
}

func (s *Service) onlineWaiting(pool string) bool {
	for key, waiting := range s.queues {
		if key.pool == pool && waiting.order.Len() > 0 {
			return true
		}
	}
	return false
}

// idleEngine finds the engine with the most idle capacity, or nil.
func (s *Service) idleEngine(key queueKey) *fleet.Engine {
	now := time.Now()
	query := routing.Request{Class: routing.Batch, Model: key.model}
	engines := s.fleet.Snapshot().Pool(key.pool)
	s.candidates = s.candidates[:0]
	for _, engine := range engines {
		candidate := engine.Candidate()
		candidate.BatchAllowed = s.batchLimits.Allowed(candidate.MaxRunning, candidate.Online, engine.OnlineIdle(now))
		if engine.BatchShareSpent(candidate.BatchAllowed) {
			candidate.BatchAllowed = 0
		}
		s.candidates = append(s.candidates, candidate)
	}
	decision := s.batchPolicy.Route(&query, s.candidates, nil, globalRandom{}, &s.scratch)
	if decision.Reason != routing.Chosen {
		return nil
	}
	return engines[decision.Index]
}

// preemptBatch preempts batch runs on an engine whose capacity is needed for online
// work, youngest first because they lose the least progress. The caller holds the
// mutex.
func (s *Service) preemptBatch(engine *fleet.Engine) {
	candidate := engine.Candidate()
	idle := engine.OnlineIdle(time.Now())
	if candidate.Online == 0 && idle >= s.batchLimits.Hold {
		return // several nodes may have overfilled the engine; it queues the excess
	}
	excess := candidate.Batch - s.batchLimits.Allowed(candidate.MaxRunning, candidate.Online, idle) - s.preempting[engine.ID]
	runs := s.batchRuns[engine.ID]
	count := min(excess, len(runs))
	if count <= 0 {
		return
	}
	for _, victim := range runs[len(runs)-count:] {
		victim.preempting = true
		victim.preempt(errPreempted)
	}
	s.batchRuns[engine.ID] = runs[:len(runs)-count]
	s.preempting[engine.ID] += count
	s.metrics.preemptions.Add(float64(count))
	events.BatchPreempted.Log(s.logger, zap.String("engine", string(engine.ID)), zap.Int("count", count))
}

// registerBatch makes a run preemptible if it is repeatable.
func (s *Service) registerBatch(engine *fleet.Engine, item *batchRun, repeatable bool) {
	if !repeatable {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.batchRuns[engine.ID] = append(s.batchRuns[engine.ID], item)
	s.preemptBatch(engine) // online work may have arrived since the slot was granted
}

// unregisterBatch unregisters a run and releases its engine's capacity in one
// critical section, so that preemptBatch never sees one without the other.
func (s *Service) unregisterBatch(engine *fleet.Engine, item *batchRun) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.release(engine, routing.Batch)
	if item.preempting {
		s.preempting[engine.ID]--
	}
	runs := slices.DeleteFunc(s.batchRuns[engine.ID], func(other *batchRun) bool { return other == item })
	if len(runs) == 0 {
		delete(s.batchRuns, engine.ID)
		return
	}
	s.batchRuns[engine.ID] = runs
}

// slot is capacity on one engine reserved for one item.
type slot struct {
	service *Service
	engine  *fleet.Engine
}

// Release implements Slot.
func (s *slot) Release() { s.service.release(s.engine, routing.Batch) }

// Run implements Slot. An item is sent to the slot's engine only. When that
// engine fails, a repeatable item that may have run ends as Preempted with its tokens
// so that it can be run again. An item that is not repeatable is never preempted.
func (s *slot) Run(ctx context.Context, request Request, sink Sink) outcome.Outcome {
	run := s.service.newRun(request, sink, routing.Batch)
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	item := &batchRun{preempt: cancel}
	s.service.registerBatch(s.engine, item, request.Repeatable)
	defer s.service.unregisterBatch(s.engine, item)
	ended := s.service.attempt(ctx, run, s.engine)
	result := ended.outcome
	if completed, ok := run.completedByLength(); ok && !ended.final {
		result = completed
	} else if !ended.final {
		result = run.attemptsExhausted(ended.err, s.service.config.RetryAfter)
		if run.mayHaveRun && request.Repeatable {
			result = outcome.Outcome{Kind: outcome.Preempted, Code: codeLost, Reason: ended.err.Error(), Tokens: run.tokens}
		}
	}
	if errors.Is(context.Cause(ctx), errPreempted) && result.Kind == outcome.Refused {
		result = outcome.Outcome{Kind: outcome.Preempted, Code: codePreempted, Reason: errPreempted.Error(), Tokens: run.tokens}
	}
	s.service.metrics.requests.WithLabelValues("batch", result.Kind.String()).Inc()
	return result
}

// Resume implements Batch. The outcome's Tokens begin at offset.
func (s *Service) Resume(ctx context.Context, intent Intent, offset int, sink Sink) outcome.Outcome {
	client, known := s.fleet.Client(intent.Engine)
	run := s.newRun(Request{Repeatable: false}, sink, routing.Batch)
	run.mayHaveRun = true
	run.tokens = make([]string, offset)
	if !known {
		return run.unknownOutcome(errors.New("the engine is no longer in the machine list"))
	}
	earlier := &attempt{service: s, run: run, id: intent.Attempt, client: client, incarnation: intent.Incarnation}
	ended := earlier.resume(ctx, errors.New("the stream's node has gone"))
	result := ended.outcome
	if len(run.tokens) >= offset {
		result.Tokens = run.tokens[offset:]
	}
	return result
}

// Cancel implements Batch.
func (s *Service) Cancel(ctx context.Context, intent Intent) {
	if client, known := s.fleet.Client(intent.Engine); known {
		s.cancelUntilConfirmed(ctx, client, intent)
	}
}
