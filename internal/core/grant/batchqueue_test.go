package grant

import (
	"cmp"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"ringstream.example/ringstream/internal/core/enginechoice"
)

// batchLane is a dispatcher and one node whose batch requests end when the test says so.
type batchLane struct {
	dispatcher *Dispatcher
	now        time.Time
	state      State
	memory     map[uint64]int           // by request
	begun      map[uint64]time.Duration // since start
}

const laneStep = 20 * time.Millisecond

func newBatchLane(engines []enginechoice.Listed) *batchLane {
	d := NewDispatcher(DefaultDispatcherConfig(), lane, "n0", start)
	d.SetEngines(engines, start)
	b := &batchLane{dispatcher: d, now: start, state: State{Life: 1}, memory: make(map[uint64]int), begun: make(map[uint64]time.Duration)}
	b.run(DefaultDispatcherConfig().BatchStartDelay)
	return b
}

// ask adds a batch request.
func (b *batchLane) ask(added Ask) {
	added.Batch, added.OwnTokens = true, cmp.Or(added.OwnTokens, added.MemoryTokens)
	added.BatchPercent, added.RoomPercent = 100, cmp.Or(added.RoomPercent, 100)
	b.memory[added.ID] = added.MemoryTokens
	b.state.Waiting = append(b.state.Waiting, added)
}

// run reports the node's state to the dispatcher for a span of time, and starts what is granted.
func (b *batchLane) run(span time.Duration) {
	for end := b.now.Add(span); b.now.Before(end); b.now = b.now.Add(laneStep) {
		b.state.Sequence++
		b.dispatcher.ApplyState("n1", b.state, b.now)
		b.dispatcher.Tick(b.now)
		b.state.Ended = nil
		for _, granted := range b.dispatcher.Replies()["n1"].Grants {
			b.begin(granted)
		}
	}
}

func (b *batchLane) begin(granted Grant) {
	b.state.Waiting = slices.DeleteFunc(b.state.Waiting, func(ask Ask) bool { return ask.ID == granted.ID })
	b.state.Held = append(b.state.Held, Held{ID: granted.ID, Engine: granted.Engine, Batch: true, Started: true, MemoryTokens: b.memory[granted.ID]})
	b.begun[granted.ID] = b.now.Sub(start)
}

// end ends a run.
func (b *batchLane) end(id uint64) {
	for i, held := range b.state.Held {
		if held.ID == id {
			b.state.Held = slices.Delete(b.state.Held, i, i+1)
			b.state.Ended = append(b.state.Ended, Ended{ID: id, Engine: held.Engine})
			return
		}
	}
}

// hasBegun reports whether a request was granted an engine.
func (b *batchLane) hasBegun(id uint64) bool {
	_, begun := b.begun[id]
	return begun
}

// besideSmallOnes is how long runBesideSmallOnes lasts.
const besideSmallOnes = 50 * laneStep

// runBesideSmallOnes asks for a request while small ones that are due earlier keep coming, and one of those that run
// ends at each step.
func (b *batchLane) runBesideSmallOnes(large Ask) {
	next := uint64(1000)
	addSmall := func() {
		b.ask(Ask{ID: next, MemoryTokens: 200, DueIn: time.Second})
		next++
	}
	for range 10 {
		addSmall()
	}
	b.run(laneStep)
	b.ask(large)
	for range besideSmallOnes / laneStep {
		b.run(laneStep)
		addSmall()
		if running := b.state.Held; len(running) > 0 {
			b.end(running[0].ID)
		}
	}
}

const engineMemory = 1000 // tokens

// Guards against requests larger than every engine's memory that keep the engines from the requests behind
// them, wherever they stand in the queue.
func TestRequestsTooLargeForAnyEngineHoldUpNoOther(t *testing.T) {
	for name, due := range map[string]time.Duration{"first": time.Second, "in the middle": 6 * time.Second, "last": time.Minute} {
		for _, tooLarge := range []uint64{1, 20} {
			b := newBatchLane(sizedEntries(2, engineMemory))
			for id := range tooLarge {
				b.ask(Ask{ID: 100 + id, MemoryTokens: engineMemory + 1 + int(id), DueIn: due})
			}
			for id := range uint64(4) {
				b.ask(Ask{ID: id, MemoryTokens: 30, DueIn: time.Duration(4+id) * time.Second})
			}
			b.run(2 * laneStep)
			if len(b.begun) != 4 {
				t.Errorf("%d too large, %s: %d of 4 others have an engine", tooLarge, name, len(b.begun))
			}
		}
	}
}

// Guards against a blocked request that uses up the only slot left for batch requests.
func TestBlockedRequestUsesNoSlot(t *testing.T) {
	first, second := entries(2)[0].Entry.Incarnation(), entries(2)[1].Entry.Incarnation()
	b := newBatchLane(sizedEntries(2, engineMemory))
	for id := range uint64(slots) {
		b.ask(Ask{ID: id, MemoryTokens: 10, DueIn: time.Second, Exclude: []uint64{EngineHash(second)}})
	}
	b.run(laneStep)
	b.ask(Ask{ID: 100, MemoryTokens: 10, DueIn: time.Second, RoomPercent: 63, Exclude: []uint64{EngineHash(second)}}) // 5 of 8 slots
	b.ask(Ask{ID: 101, MemoryTokens: 10, DueIn: 2 * time.Second, RoomPercent: 63, Exclude: []uint64{EngineHash(first)}})
	b.run(laneStep)
	if b.hasBegun(100) || !b.hasBegun(101) {
		t.Errorf("begun: %v, want 101 and not 100, whose engine is full", slices.Sorted(maps.Keys(b.begun)))
	}
}

// Guards against small requests that keep coming and starve one that needs half of an engine's memory.
func TestLargeRequestIsNotStarvedBySmallOnes(t *testing.T) {
	for name, late := range map[string]bool{"in time": false, "late": true} {
		b := newBatchLane(sizedEntries(2, engineMemory))
		b.runBesideSmallOnes(Ask{ID: 1, MemoryTokens: 600, DueIn: time.Minute, Late: late})
		if !b.hasBegun(1) {
			t.Errorf("%s: the large request has no engine after %v", name, besideSmallOnes)
		}
		if small := len(b.begun) - 1; small < 25 {
			t.Errorf("%s: %d small requests have begun beside the large one, want 25 or more", name, small)
		}
	}
}

// Guards against requests that nearly fill an engine and never run, though an idle engine can hold them, and
// against small ones that wait behind them.
func TestRequestsForMostOfAnEngineRunBesideSmallOnes(t *testing.T) {
	for name, large := range map[string]Ask{
		"most of the memory":         {MemoryTokens: 800},
		"all of the memory":          {MemoryTokens: engineMemory},
		"a forecast over the memory": {MemoryTokens: engineMemory + 500, OwnTokens: 800},
	} {
		b := newBatchLane(sizedEntries(2, engineMemory))
		next := uint64(1000)
		large.DueIn = time.Minute
		for id := range uint64(3) {
			large.ID = id
			b.ask(large)
		}
		for range 100 {
			b.ask(Ask{ID: next, MemoryTokens: 50, DueIn: time.Second})
			next++
			b.run(laneStep)
			if running := b.state.Held; len(running) > 0 {
				b.end(running[0].ID)
			}
		}
		if !b.hasBegun(0) || !b.hasBegun(1) || !b.hasBegun(2) {
			t.Errorf("%s: of the large requests 0 to 2 there have begun: %t, %t, %t", name, b.hasBegun(0), b.hasBegun(1), b.hasBegun(2))
		}
		if small := len(b.begun) - 3; small < 80 {
			t.Errorf("%s: %d of 100 small requests have begun", name, small)
		}
	}
}

// Guards against a large request that takes a smaller engine's room for its own, and against one that is
// forgotten while the only engine that can hold it is away.
func TestRequestWaitsForTheOnlyEngineThatCanHoldIt(t *testing.T) {
	engines := sizedEntries(2, engineMemory)
	engines[1].Entry.MemoryTokens = 2 * engineMemory
	larger := engines[1].Entry.Incarnation()
	b := newBatchLane(engines)
	b.ask(Ask{ID: 1, MemoryTokens: 1300, DueIn: time.Second})
	b.run(laneStep)
	b.ask(Ask{ID: 2, MemoryTokens: 1500, DueIn: time.Second})
	b.ask(Ask{ID: 3, MemoryTokens: 300, DueIn: 2 * time.Second})
	b.run(laneStep)
	if b.hasBegun(2) || !b.hasBegun(3) {
		t.Fatalf("begun: %v, want 3 at the smaller engine, and 2 to wait", slices.Sorted(maps.Keys(b.begun)))
	}
	b.dispatcher.UpdateEngines(nil, []enginechoice.Incarnation{larger}, b.now)
	b.end(1)
	b.run(laneStep)
	b.ask(Ask{ID: 4, MemoryTokens: 50, DueIn: 3 * time.Second})
	b.run(laneStep)
	if b.hasBegun(2) || !b.hasBegun(4) {
		t.Fatalf("begun: %v while the larger engine is away, want 4 and not 2", slices.Sorted(maps.Keys(b.begun)))
	}
	b.dispatcher.UpdateEngines(engines[1:], nil, b.now)
	b.run(2 * laneStep)
	if !b.hasBegun(2) {
		t.Error("the larger engine has come back, and the request has not begun")
	}
}

// Guards against an engine that stays reserved for a request that no longer waits.
func TestReservationEndsWithItsRequest(t *testing.T) {
	b := newBatchLane(sizedEntries(1, engineMemory))
	b.ask(Ask{ID: 1, MemoryTokens: 400, DueIn: time.Second})
	b.run(laneStep)
	b.ask(Ask{ID: 2, MemoryTokens: 500, DueIn: time.Second})
	b.run(laneStep)
	b.ask(Ask{ID: 3, MemoryTokens: 100, DueIn: time.Second})
	b.run(laneStep)
	if b.hasBegun(2) || b.hasBegun(3) {
		t.Fatalf("begun: %v, want only 1: the memory is reserved", slices.Sorted(maps.Keys(b.begun)))
	}
	b.state.Waiting = slices.DeleteFunc(b.state.Waiting, func(ask Ask) bool { return ask.ID == 2 })
	b.run(2 * laneStep)
	if !b.hasBegun(3) {
		t.Error("no engine for 3 although the request with the reservation has left")
	}
}

// TestBatchRequestsAgainstTheNaiveVersion lets requests of random sizes come and end in any order, some of
// them too large for any engine. In the end all others have run, and at no time does an engine hold more
// than its memory allows.
func TestBatchRequestsAgainstTheNaiveVersion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		engines := rapid.IntRange(1, 3).Draw(t, "engines")
		b := newBatchLane(sizedEntries(engines, engineMemory))
		doable := make(map[uint64]bool)
		for id := range uint64(rapid.IntRange(1, 30).Draw(t, "requests")) {
			memory := rapid.SampledFrom([]int{10, 50, 200, 400, 700, 701, 900, engineMemory, engineMemory + 1, 5000}).Draw(t, "memory")
			b.ask(Ask{ID: id, MemoryTokens: memory, DueIn: time.Duration(rapid.IntRange(1, 20).Draw(t, "due")) * time.Second, Late: rapid.Bool().Draw(t, "late")})
			doable[id] = memory <= engineMemory
			b.run(laneStep)
			b.checkMemory(t)
			if len(b.state.Held) > 0 && rapid.Bool().Draw(t, "one ends") {
				b.end(b.state.Held[rapid.IntRange(0, len(b.state.Held)-1).Draw(t, "which")].ID)
			}
		}
		for range 2 * len(doable) {
			if len(b.state.Held) > 0 {
				b.end(b.state.Held[0].ID)
			}
			b.run(2 * laneStep)
			b.checkMemory(t)
		}
		for id, want := range doable {
			if b.hasBegun(id) != want {
				t.Fatalf("request %d of %d tokens has run: %t, want %t", id, b.memory[id], b.hasBegun(id), want)
			}
		}
	})
}

// checkMemory checks that no engine holds more than its memory.
func (b *batchLane) checkMemory(t *rapid.T) {
	used := make(map[uint64]int)
	for _, held := range b.state.Held {
		used[held.Engine] += held.MemoryTokens
	}
	for engine, tokens := range used {
		if tokens > engineMemory {
			t.Fatalf("engine %d holds %d tokens, more than its memory", engine, tokens)
		}
	}
}
