package grant

import (
	"testing"
	"time"
)

// Guards against a batch item that holds up all others while the only engines that it may use are full.
func TestItemForFullEnginesHoldsUpNoOther(t *testing.T) {
	n := newNetwork(1, 2, 0, 1)
	n.run(DefaultDispatcherConfig().BatchStartDelay)
	node := n.nodes[0]
	first, second := entries(2)[0].Entry.Incarnation(), entries(2)[1].Entry.Incarnation()
	ask := func(id uint64, due time.Duration, exclude uint64) {
		node.nextID, node.batch[id], node.askedAt[id] = id, true, n.now
		node.requester.Wait(Ask{ID: id, Batch: true, BatchPercent: 100, RoomPercent: 100, Exclude: []uint64{exclude}}, Deadlines{Objective: n.now.Add(due)}, n.now)
	}
	for id := range uint64(slots) {
		ask(id+1, time.Second, EngineHash(second))
	}
	n.run(50 * time.Millisecond)
	if inUse := n.inFlightByEngine()[EngineHash(first)]; inUse != slots {
		t.Fatalf("%d slots of the first engine are in use, want %d", inUse, slots)
	}
	ask(slots+1, time.Second, EngineHash(second))
	ask(slots+2, 2*time.Second, EngineHash(first))
	n.run(50 * time.Millisecond)
	if _, held := node.held[slots+2]; !held {
		t.Error("an item for the other engine, which is free, got no slot")
	}
	if _, held := node.held[slots+1]; held {
		t.Error("an item got a slot at a full engine")
	}
}
