package enginechoice

import "testing"

// Guards against a reserved engine that others fill: no other batch request may pick it, and an online
// request does only if the other engines are full.
func TestReservedEngineIsLeftToItsRequest(t *testing.T) {
	set := newSet(2)
	startAll(set, named("e1"), 2, 0)
	query := Query{Pool: "p", Reserved: named("e0")}
	if choice, _ := set.Pick(query, start); choice.Entry.ID != "e1" {
		t.Errorf("an online request picked %s beside a free slot at e1", choice.Entry.ID)
	}
	startAll(set, named("e1"), 2, 0)
	if choice, _ := set.Pick(query, start); choice.Entry.ID != "e0" {
		t.Errorf("an online request picked %s, which is full", choice.Entry.ID)
	}
	query.Batch, query.MaxBatchPercent = true, 100
	if choice, found := set.Pick(query, start); found {
		t.Errorf("a batch request picked %s, which is full or reserved", choice.Entry.ID)
	}
}

// Guards against a request that waits for an engine whose online requests leave it no room, and for more
// batch work than needed.
func TestFirstToDrainHasTheLeastBatchWork(t *testing.T) {
	set := newSet(3)
	for engine, works := range map[string][]Work{
		"e0": {{MemoryTokens: 5000}},
		"e1": {{Batch: true, MemoryTokens: 6000}},
		"e2": {{Batch: true, MemoryTokens: 5000}, {MemoryTokens: 1000}},
	} {
		for i := range works {
			set.Start(named(engine), &works[i])
		}
	}
	query := Query{Pool: "p", Batch: true, MaxBatchPercent: 100, MemoryTokens: 6000}
	if engine, found := set.FirstToDrain(query, start); !found || engine != named("e2") {
		t.Errorf("got %v, %t; want e2", engine, found)
	}
	if room, found := set.BatchRoom(query, start); !found || room != 2000 {
		t.Errorf("room for %d tokens, %t; want 2000 at e0", room, found)
	}
	query.MemoryTokens = 7001
	if engine, found := set.FirstToDrain(query, start); found {
		t.Errorf("got %v for a request that no engine has room for", engine)
	}
}
