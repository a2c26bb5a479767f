package fairshares_test

import (
	"testing"
	"time"

	"ringstream.example/ringstream/internal/core/fairshares"
	"ringstream.example/ringstream/internal/core/grant"
)

// TestBatchItemsOfTenantsShareTheSlots lets a tenant with many items of an early deadline and one
// with few of a later one ask at the same time. Each gets half of the slots.
func TestBatchItemsOfTenantsShareTheSlots(t *testing.T) {
	const engines, many, few = 2, 40, 4
	now := start
	dispatcher := newDispatcher(engines, nil, now)
	dispatcher.UsePolicies(grant.Policies{BatchOrder: fairshares.New()})
	state := grant.State{Life: 1, Zone: "z1"}
	for id := range uint64(many + few) {
		ask := grant.Ask{ID: id + 1, Batch: true, Owner: 1, DueIn: time.Minute, MemoryTokens: 300, BatchPercent: 100, RoomPercent: 100}
		if id >= many {
			ask.Owner, ask.DueIn = 2, time.Hour
		}
		state.Waiting = append(state.Waiting, ask)
	}
	granted := make(map[uint64]int)
	for range 200 { // batch requests are granted some ticks after the dispatcher has begun
		now = now.Add(tick)
		state.Sequence++
		dispatcher.ApplyState(node, state, now)
		dispatcher.Tick(now)
		state.Waiting, state.Held = keepWaiting(state, dispatcher.Replies(), granted)
		if len(state.Held) == engines*engineSlots {
			break
		}
	}
	if granted[1] != few || granted[2] != few {
		t.Fatalf("granted by tenant: %v", granted)
	}
}

// keepWaiting returns the asks that still wait and the requests that hold slots after replies.
func keepWaiting(state grant.State, replies map[string]grant.Reply, granted map[uint64]int) (waiting []grant.Ask, held []grant.Held) {
	engine := make(map[uint64]uint64)
	for _, given := range replies[node].Grants {
		engine[given.ID] = given.Engine
	}
	held = state.Held
	for _, ask := range state.Waiting {
		at, found := engine[ask.ID]
		if !found {
			waiting = append(waiting, ask)
			continue
		}
		granted[ask.Owner]++
		held = append(held, grant.Held{ID: ask.ID, Engine: at, Batch: true, Started: true})
	}
	return waiting, held
}

// TestOrderOfBatchItemsWithoutShares checks that without shares the items with the earliest
// deadlines get all slots.
func TestOrderOfBatchItemsWithoutShares(t *testing.T) {
	now := start
	dispatcher := newDispatcher(1, nil, now)
	state := grant.State{Life: 1, Zone: "z1"}
	for id := range uint64(2 * engineSlots) {
		state.Waiting = append(state.Waiting, grant.Ask{ID: id + 1, Batch: true, Owner: id % 2, DueIn: time.Hour - time.Duration(id)*time.Minute, BatchPercent: 100, RoomPercent: 100}) //nolint:gosec // small numbers
	}
	ids := make(map[uint64]bool)
	for range 200 {
		now = now.Add(tick)
		state.Sequence++
		dispatcher.ApplyState(node, state, now)
		dispatcher.Tick(now)
		replies := dispatcher.Replies()
		for _, given := range replies[node].Grants {
			ids[given.ID] = true
		}
		state.Waiting, state.Held = keepWaiting(state, replies, make(map[uint64]int))
	}
	for id := range ids {
		if id <= engineSlots {
			t.Errorf("item %d has a slot before items that are due earlier", id)
		}
	}
	if len(ids) != engineSlots {
		t.Errorf("%d items have slots", len(ids))
	}
}

var _ grant.QueueOrder = (*fairshares.Order)(nil)
