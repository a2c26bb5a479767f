package grant

import (
	"testing"
	"time"

	"ringstream.example/ringstream/internal/core/enginechoice"
)

// sizedEntries returns engines with memory for a number of tokens.
func sizedEntries(engines, memory int) []enginechoice.Listed {
	list := entries(engines)
	for i := range list {
		list[i].Entry.MemoryTokens = memory
	}
	return list
}

// Guards against batch requests that wait while the log does not tell why.
func TestStalledBatchRequestsAreReportedWithTheReason(t *testing.T) {
	full := Held{ID: 100, Engine: EngineHash(entries(1)[0].Entry.Incarnation()), Batch: true}
	for name, test := range map[string]struct {
		held   []Held
		asks   []Ask
		reason BatchWaitReason
		slots  int
	}{
		"no slot":              {[]Held{full}, []Ask{{ID: 1, Batch: true, BatchPercent: 100, RoomPercent: 25, MemoryTokens: 100}}, BatchWaitsForSlot, 0},
		"no engine accepts it": {nil, []Ask{{ID: 1, Batch: true, BatchPercent: 100, RoomPercent: 100, OwnTokens: 2000, MemoryTokens: 2000}}, BatchWaitsForEngine, slots},
	} {
		d := NewDispatcher(DefaultDispatcherConfig(), lane, "n0", start)
		d.SetEngines(sizedEntries(1, 1000), start)
		var reports []BatchStall
		for at := time.Duration(0); at < 15*time.Second; at += 100 * time.Millisecond {
			d.ApplyState("n1", State{Life: 1, Sequence: uint64(at) + 1, Held: test.held, Waiting: test.asks}, start.Add(at))
			d.Tick(start.Add(at))
			reports = append(reports, d.BatchStalls()...)
		}
		if len(reports) != 2 { // after a second, and ten seconds later
			t.Fatalf("%s: %d reports, want 2: %+v", name, len(reports), reports)
		}
		want := BatchStall{
			Reason: test.reason, For: batchStallAfter, Queued: 1, Slots: test.slots, Node: "n1", ID: 1,
			MemoryTokens: test.asks[0].MemoryTokens, Waited: batchStallAfter, LargestMemory: 1000,
		}
		if reports[0] != want {
			t.Errorf("%s: first report %+v, want %+v", name, reports[0], want)
		}
	}
}
