package relay

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"ringstream.example/ringstream/internal/core/enginechoice"
	"ringstream.example/ringstream/internal/events"
	"ringstream.example/ringstream/internal/wait"
)

// Engines serve in the order of arrival. Under overload a queue at the engines
// longer than the objective makes every request late, those too that come after
// the overload. So a request that would be late at every engine is held here
// until an engine has a free slot, and requests that can be in time are sent
// before it. Held requests go in the order in which they came.

// heldEvery is the pause between two looks of the first held request: the age
// of other nodes' reports, some milliseconds.
const heldEvery = 3 * time.Millisecond

// heldQueues are the held requests of each pool. A channel of one place admits
// the first of them; Go serves those that wait for a channel in their order.
type heldQueues struct {
	mu    *sync.Mutex // guards pools
	pools map[string]chan struct{}
}

func newHeldQueues() heldQueues {
	return heldQueues{mu: &sync.Mutex{}, pools: make(map[string]chan struct{})}
}

func (h heldQueues) of(pool string) chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.pools[pool] == nil {
		h.pools[pool] = make(chan struct{}, 1)
	}
	return h.pools[pool]
}

// mayBeHeld says whether the request has an objective and none of its answer
// has come: a stream that is to go on would only be later.
func (e *exchange) mayBeHeld() bool {
	return e.call.Route.Objective > 0 && e.heldFor == 0 && e.stream.Count() == 0
}

// pick picks an engine and, if accept takes it, counts the request there. The
// choice is refused when accept does not.
func (e *exchange) pick(accept func(set *enginechoice.Set, choice enginechoice.Choice, now time.Time) bool) (choice enginechoice.Choice, work *enginechoice.Work, found, refused bool) {
	query := Query(e.call.Pool, e.call.Demand)
	query.Exclude, query.Connected = e.excluded, e.pool.Connected()
	e.engines.Use(func(set *enginechoice.Set, now time.Time) {
		choice, found = set.Pick(query, now)
		refused = found && !accept(set, choice, now)
		if found && !refused {
			work = &enginechoice.Work{PrefillTokens: choice.PrefillTokens, MemoryTokens: query.MemoryTokens}
			set.Start(choice.Entry.ID, work)
		}
	})
	return choice, work, found, refused
}

// inTime says whether the request's first token can come within its objective.
// A request that may not be held is always sent.
func (e *exchange) inTime(set *enginechoice.Set, choice enginechoice.Choice, now time.Time) bool {
	if !e.mayBeHeld() || choice.HasSlot() {
		return true
	}
	expected := set.ExpectedFirstToken(choice, e.call.Route.Objective)
	return !now.Add(expected).After(e.call.Received.Add(e.call.Route.Objective))
}

// hold waits until an engine has a slot, or until patience ends: then the
// request takes its place at an engine, however many are before it.
func (e *exchange) hold(bounded context.Context) (enginechoice.Choice, *enginechoice.Work, bool) {
	started := time.Now()
	patience, cancel := context.WithDeadline(bounded, e.call.Received.Add(patienceOf(e.call)))
	defer cancel()
	queue := e.held.of(e.call.Pool)
	select {
	case queue <- struct{}{}:
		defer func() { <-queue }()
	case <-patience.Done():
	}
	for bounded.Err() == nil {
		last := patience.Err() != nil
		choice, work, found, refused := e.pick(func(_ *enginechoice.Set, choice enginechoice.Choice, _ time.Time) bool {
			return last || choice.HasSlot()
		})
		if !refused {
			e.heldFor = max(time.Since(started), 1)
			events.RequestHeld.Log(e.logger, zap.String("request", e.call.Demand.RequestID), zap.Duration("held", e.heldFor), zap.Bool("slot", found && choice.HasSlot()))
			return choice, work, found
		}
		wait.For(patience, heldEvery)
	}
	return enginechoice.Choice{}, nil, false
}
