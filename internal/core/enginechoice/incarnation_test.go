package enginechoice

import (
	"testing"
	"time"
)

// named gives the incarnation of an engine that does not tell its start.
func named(id string) Incarnation { return Incarnation{ID: id} }

// first and second are two incarnations of one engine.
var (
	first  = Incarnation{ID: "e0", Born: 1000}
	second = Incarnation{ID: "e0", Born: 2000}
)

func entryOf(engine Incarnation) Entry {
	return Entry{ID: engine.ID, Born: engine.Born, Pool: "p", Zone: "z1", Address: "a", Slots: 4, MemoryTokens: 10000}
}

// newSetOf gives a set that knows one incarnation.
func newSetOf(engine Incarnation) *Set {
	set := NewSet("n1")
	set.Upsert(entryOf(engine), Ready, start)
	return set
}

// restart has the set know the second incarnation after the first.
func restart(t *testing.T, set *Set) {
	t.Helper()
	if news := set.Upsert(entryOf(second), Ready, start); news != Restarted {
		t.Fatalf("the entry is %v", news)
	}
}

func stateOf(t *testing.T, set *Set, engine Incarnation) State {
	t.Helper()
	listed, found := set.Find(engine)
	if !found {
		t.Fatalf("%v is not known", engine)
	}
	return listed.State
}

func TestNewIncarnationHoldsNothing(t *testing.T) {
	shared := []Part{{ID: "a", Tokens: 700}}
	set := newSetOf(first)
	set.Upsert(Entry{ID: "e1", Pool: "p", Address: "b", Slots: 4, MemoryTokens: 10000}, Ready, start)
	for _, engine := range []Incarnation{first, named("e1")} {
		set.Remember(engine, shared, start)
	}
	restart(t, set)
	query := Query{Pool: "p", Shared: shared, OwnTokens: 50, Exclude: map[Incarnation]bool{named("e1"): true}}
	if held := len(set.engines[second].resident); held != 0 {
		t.Errorf("%d parts are held to be kept", held)
	}
	query.Former = first
	if choice, found := set.Pick(query, start); !found || choice.Entry.Incarnation() != second || choice.PrefillTokens < 50 {
		t.Errorf("got %+v; the prompt of a run at the former is not there", choice)
	}
	query.Former = second
	if choice, _ := set.Pick(query, start); choice.PrefillTokens != 0 {
		t.Errorf("%d tokens to read at the engine that ran it", choice.PrefillTokens)
	}
	set.Remember(first, shared, start) // the word of its last request comes late
	if held := len(set.engines[second].resident); held != 0 {
		t.Errorf("%d parts are held to be kept on the word of the former", held)
	}
}

func TestNewIncarnationHasNothingUnderWay(t *testing.T) {
	set := newSetOf(first)
	work := []*Work{{PrefillTokens: 10, MemoryTokens: 20}, {Batch: true, MemoryTokens: 20}}
	for _, next := range work {
		set.Start(first, next)
	}
	set.Observe(first, 9, 9, start)
	restart(t, set)
	set.Observe(first, 9, 9, start) // an answer that comes late
	if choice, found := set.Pick(Query{Pool: "p"}, start); !found || choice.Entry.Incarnation() != second || choice.InFlight != 0 || choice.MakeRoom {
		t.Errorf("got %+v", choice)
	}
	if own := set.Own(); own[second] != (Counts{}) || own[first].Online != 1 || own[first].Batch != 1 {
		t.Errorf("counted: %v", own)
	}
	for _, next := range work {
		set.FirstToken(first, next)
		set.Finish(first, next, Failed, start)
	}
	if own := set.Own(); len(own) != 0 {
		t.Errorf("counted after all has ended: %v", own)
	}
}

func TestNewIncarnationIsSound(t *testing.T) {
	set := newSetOf(first)
	fail := func() {
		for range 4 {
			work := &Work{}
			set.Start(first, work)
			set.Finish(first, work, Failed, start)
		}
		set.ConnectionRefused(first, start)
		work := &Work{}
		set.Start(first, work)
		set.Finish(first, work, Shed, start)
	}
	fail()
	restart(t, set)
	fail() // the ends of the former's requests come late
	next := set.engines[second]
	if next.failures != 0 || next.failureRate != 0 || !next.sickUntil.IsZero() || !next.shedUntil.IsZero() {
		t.Errorf("held against it: %+v", next)
	}
	if room := set.BatchRoom("p", 100, start); room != 4 {
		t.Errorf("room for %d batch requests at 4 free slots", room)
	}
}

func TestNewIncarnationIsAsItsEntrySays(t *testing.T) {
	for name, before := range map[string]func(set *Set){
		"leaving":  func(set *Set) { set.Upsert(entryOf(first), Leaving, start) },
		"gone":     func(set *Set) { set.Remove(first, false, start) },
		"unlisted": func(set *Set) { set.Remove(first, true, start) },
		"cold": func(set *Set) {
			cold := entryOf(first)
			cold.ColdUntil = start.Add(time.Hour)
			set.Upsert(cold, Ready, start)
		},
	} {
		t.Run(name, func(t *testing.T) {
			set := newSetOf(first)
			before(set)
			next := entryOf(second)
			next.Pool, next.Address, next.Slots, next.Zone = "q", "b", 9, "z2"
			if news := set.Upsert(next, Ready, start); news != Restarted {
				t.Errorf("the entry is %v", news)
			}
			if listed, _ := set.Find(second); listed.Entry != next || listed.State != Ready {
				t.Errorf("got %+v", listed)
			}
			if set.Serving("p") != 0 || set.Serving("q") != 1 || set.Doubtful("p") != 0 {
				t.Errorf("serving %d in the former's pool and %d in its own", set.Serving("p"), set.Serving("q"))
			}
		})
	}
}

func TestEntriesOutOfOrder(t *testing.T) {
	set := newSetOf(second)
	if news := set.Upsert(entryOf(first), Ready, start); news != Outdated || len(set.Known()) != 1 {
		t.Errorf("an earlier start is %v", news)
	}
	if news := set.Upsert(entryOf(named("e0")), Leaving, start); news != Outdated {
		t.Errorf("one that did not tell its start is %v", news)
	}
	set.Remove(first, false, start) // another engine answers in place of the former
	if state := stateOf(t, set, second); state != Ready {
		t.Errorf("%v on the word about the former", state)
	}
}

func TestSameStartIsTheSameIncarnation(t *testing.T) {
	set := newSetOf(first)
	work := &Work{MemoryTokens: 20}
	set.Start(first, work)
	set.Remember(first, []Part{{ID: "a", Tokens: 700}}, start)
	set.Remove(first, false, start)
	if news := set.Upsert(entryOf(first), Ready, start); news != Changed {
		t.Errorf("the entry is %v", news)
	}
	if own := set.Own()[first]; own.Online != 1 || set.engines[first].residentTokens != 700 {
		t.Errorf("forgotten: %+v", own)
	}
}

// TestFirstWordOfAStartIsARestart has an engine whose software did not tell its start be
// replaced by one whose software does.
func TestFirstWordOfAStartIsARestart(t *testing.T) {
	set := newSetOf(named("e0"))
	if news := set.Upsert(entryOf(first), Ready, start); news != Restarted || stateOf(t, set, named("e0")) != Ended {
		t.Errorf("the entry is %v", news)
	}
}

// TestManyRestartsLeaveNothingBehind has an engine start again a thousand times, a minute
// and more between.
func TestManyRestartsLeaveNothingBehind(t *testing.T) {
	set := NewSet("n1")
	for restart := range int64(1000) {
		set.Upsert(entryOf(Incarnation{ID: "e0", Born: restart + 1}), Ready, start.Add(time.Duration(restart)*2*forgetAfter))
	}
	if known := len(set.Known()); known > 2 || len(set.lives) != 1 || len(set.pools["p"]) != known {
		t.Errorf("%d incarnations are kept", known)
	}
}

func TestHashOfAnIncarnation(t *testing.T) {
	if first.Hash() == second.Hash() || first.Hash() == named("e0").Hash() {
		t.Error("two incarnations have one hash")
	}
	if first.String() != "e0@1000" || named("e0").String() != "e0" {
		t.Errorf("named %v and %v", first, named("e0"))
	}
}

// TestNothingWaitsAtAnEndedIncarnation has a request queue at a full engine that starts
// again: its silence means no queue any more.
func TestNothingWaitsAtAnEndedIncarnation(t *testing.T) {
	set := newSetOf(first)
	startAll(set, first, 5, 0)
	choice, _ := set.Pick(Query{Pool: "p"}, start)
	if choice.HasSlot() || !set.Queues(choice, start) {
		t.Fatalf("a request at a full engine waits: %+v", choice)
	}
	restart(t, set)
	if set.Queues(choice, start) {
		t.Error("a request is held to wait at the former incarnation")
	}
}
