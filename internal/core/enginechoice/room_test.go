package enginechoice

import "testing"

// Guards against batch requests that no engine ever accepts, and against those that take the memory of others.
func TestEngineAcceptsBatch(t *testing.T) {
	query := Query{Pool: "p", Batch: true, MaxBatchPercent: 50} // 2 of 4 slots
	for _, c := range []struct {
		name          string
		online, batch int
		used          int // memory of the requests there, in tokens
		memory        int
		prompt        int
		accepts       bool
	}{
		{name: "an idle engine", accepts: true},
		{name: "the last batch request", batch: 1, online: 1, accepts: true},
		{name: "over the limit of batch requests", batch: 2},
		{name: "a free slot beside online requests", online: 3, accepts: true},
		{name: "no free slot", online: 4},
		{name: "within the share of the memory", batch: 1, used: 4000, memory: 3000, accepts: true},
		{name: "over the share of the memory", batch: 1, used: 4000, memory: 3001},
		{name: "over the share of the memory, beside online requests", online: 1, used: 4000, memory: 3001},
		{name: "most of the memory of an idle engine", memory: 9000, accepts: true},
		{name: "most of the memory beside little else", online: 1, used: 1000, memory: 9000, accepts: true},
		{name: "more than is left beside little else", online: 1, used: 1000, memory: 9001},
		{name: "a forecast over the memory of an idle engine", memory: 10500, prompt: 10000, accepts: true},
		{name: "a forecast over the memory beside little else", online: 1, used: 1, memory: 10500, prompt: 10000},
		{name: "a prompt over the memory of an idle engine", memory: 10500, prompt: 10001},
	} {
		set := newSet(1)
		startAll(set, named("e0"), c.online, c.batch)
		set.Start(named("e0"), &Work{Batch: c.batch > 0, MemoryTokens: c.used})
		set.engines[named("e0")].own.Online, set.engines[named("e0")].own.Batch = c.online, c.batch
		query.MemoryTokens, query.OwnTokens = c.memory, c.prompt
		if _, found := set.Pick(query, start); found != c.accepts {
			t.Errorf("%s: engine accepts batch requests: %t", c.name, found)
		}
	}
}

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
	if room := set.BatchRoom(query, start); !room.Open || room.Tokens != 2000 || room.HoldingTokens != 2000 {
		t.Errorf("room %+v, want 2000 tokens at e0", room)
	}
	query.MemoryTokens = 9001
	if engine, found := set.FirstToDrain(query, start); !found || engine != named("e1") {
		t.Errorf("got %v, %t; want e1, which has no online request", engine, found)
	}
	query.OwnTokens = 10001
	if engine, found := set.FirstToDrain(query, start); found {
		t.Errorf("got %v for a prompt that no engine can hold", engine)
	}
}

// Guards against one request's rejection for its size that keeps the engine from all others.
func TestRejectionForSizeTellsNothingOfTheEngine(t *testing.T) {
	for length, wantFound := range map[int]bool{10000: false, 10001: true} { // of 10000 tokens of memory
		set := newSet(1)
		choice, _ := set.Pick(Query{Pool: "p"}, start)
		work := &Work{}
		set.Start(named("e0"), work)
		set.Finish(named("e0"), work, choice.Entry.RejectionResult(length), start)
		if _, found := set.Pick(Query{Pool: "p", Batch: true, MaxBatchPercent: 100}, start); found != wantFound {
			t.Errorf("after the rejection of %d tokens the engine accepts batch requests: %t, want %t", length, found, wantFound)
		}
	}
	if (Entry{}).MayExceed(1 << 30) {
		t.Error("a request exceeds unknown memory")
	}
}
