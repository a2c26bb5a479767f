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

// Guards against online requests that wait for certain engines, which are full, and keep batch requests from
// all others.
func TestOnlineRequestsForFullEnginesHoldUpNoBatchRequest(t *testing.T) {
	engines := sizedEntries(2, engineMemory)
	engines[1].Entry.MemoryTokens = 2 * engineMemory
	full, free := EngineHash(engines[1].Entry.Incarnation()), EngineHash(engines[0].Entry.Incarnation())
	var held []Held
	for id := range uint64(slots) {
		held = append(held, Held{ID: 1000 + id, Engine: full})
	}
	for name, online := range map[string]Ask{
		"excludes the others":          {ID: 1, OwnTokens: 10, DueIn: time.Second, Exclude: []uint64{free}},
		"only these can hold it":       {ID: 1, OwnTokens: engineMemory + 1, DueIn: time.Second},
		"these have its prompt cached": {ID: 1, OwnTokens: engineMemory, DueIn: time.Second, Former: full},
	} {
		d := NewDispatcher(DefaultDispatcherConfig(), lane, "n0", start)
		d.SetEngines(engines, start)
		batch := Ask{ID: 2, Batch: true, OwnTokens: 10, MemoryTokens: 10, BatchPercent: 100, RoomPercent: 100, DueIn: time.Minute}
		begun := false
		for at := time.Duration(0); at < 3*DefaultDispatcherConfig().BatchStartDelay; at += 10 * time.Millisecond {
			d.ApplyState("n1", State{Life: 1, Sequence: uint64(at) + 1, Held: held, Waiting: []Ask{online, batch}}, start.Add(at))
			d.Tick(start.Add(at))
			for _, granted := range d.Replies()["n1"].Grants {
				begun = begun || granted.ID == batch.ID
				if granted.ID == online.ID && granted.Engine != free {
					t.Errorf("%s: the online request was granted a full engine", name)
				}
			}
		}
		if !begun {
			t.Errorf("%s: the batch request has no engine, though one has all of its slots free", name)
		}
	}
}
