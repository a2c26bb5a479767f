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

// pick picks an engine and counts the request there, unless it would be late
// there and may be held.
func (e *exchange) pick(mayBeHeld bool) (choice enginechoice.Choice, work *enginechoice.Work, found, late bool) {
	query := Query(e.call.Pool, e.call.Demand)
	query.Exclude, query.Connected = e.excluded, e.pool.Connected()
	e.engines.Use(func(set *enginechoice.Set, now time.Time) {
		choice, found = set.Pick(query, now)
		if !found {
			return
		}
		if mayBeHeld && !choice.HasSlot() {
			expected := set.ExpectedFirstToken(choice, e.call.Route.Objective)
			late = now.Add(expected).After(e.call.Received.Add(e.call.Route.Objective))
		}
		if !late {
			work = &enginechoice.Work{PrefillTokens: choice.PrefillTokens, MemoryTokens: query.MemoryTokens}
			set.Start(choice.Entry.ID, work)
		}
	})
	return choice, work, found, late
}

// hold waits until an engine has a slot, or until patience ends: then the
// request takes its place at the engines as before.
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
	for {
		last := patience.Err() != nil
		choice, work, found, late := e.pickHeld(last)
		if !late || bounded.Err() != nil {
			e.heldFor = max(time.Since(started), 1)
			events.RequestHeld.Log(e.logger, zap.String("request", e.call.Demand.RequestID), zap.Duration("held", e.heldFor), zap.Bool("slot", !last))
			return choice, work, found && !late
		}
		wait.For(patience, heldEvery)
	}
}

// pickHeld picks an engine that has a slot, or any once the wait is over.
func (e *exchange) pickHeld(last bool) (choice enginechoice.Choice, work *enginechoice.Work, found, late bool) {
	query := Query(e.call.Pool, e.call.Demand)
	query.Exclude, query.Connected = e.excluded, e.pool.Connected()
	e.engines.Use(func(set *enginechoice.Set, now time.Time) {
		choice, found = set.Pick(query, now)
		late = found && !choice.HasSlot() && !last
		if found && !late {
			work = &enginechoice.Work{PrefillTokens: choice.PrefillTokens, MemoryTokens: query.MemoryTokens}
			set.Start(choice.Entry.ID, work)
		}
	})
	return choice, work, found, late
}
