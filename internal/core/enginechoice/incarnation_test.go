package enginechoice

import (
	"testing"
	"time"
)

// named returns the incarnation of an engine whose start time is unknown.
func named(id string) Incarnation { return Incarnation{ID: id} }

// first and second are two incarnations of one engine.
var (
	first  = Incarnation{ID: "e0", Born: 1000}
	second = Incarnation{ID: "e0", Born: 2000}
)

func entryOf(engine Incarnation) Entry {
	return Entry{ID: engine.ID, Born: engine.Born, Pool: "p", Zone: "z1", Address: "a", Slots: 4, MemoryTokens: 10000}
}

// newSetOf returns a set that holds one incarnation.
func newSetOf(engine Incarnation) *Set {
	set := NewSet("n1")
	set.Upsert(entryOf(engine), Ready, start)
	return set
}

// restart adds the second incarnation to a set that holds the first.
func restart(t *testing.T, set *Set) {
	t.Helper()
	if result := set.Upsert(entryOf(second), Ready, start); result != Restarted {
		t.Fatalf("Upsert returned %v, want restarted", result)
	}
}

func stateOf(t *testing.T, set *Set, engine Incarnation) State {
	t.Helper()
	listed, found := set.Find(engine)
	if !found {
		t.Fatalf("%v is not in the set", engine)
	}
	return listed.State
}

func TestNewIncarnationHasNoCachedParts(t *testing.T) {
	shared := []Part{{ID: "a", Tokens: 700}}
	set := newSetOf(first)
	set.Upsert(Entry{ID: "e1", Pool: "p", Address: "b", Slots: 4, MemoryTokens: 10000}, Ready, start)
	for _, engine := range []Incarnation{first, named("e1")} {
		set.RecordPrompt(engine, shared, start)
	}
	restart(t, set)
	query := Query{Pool: "p", Shared: shared, OwnTokens: 50, Exclude: map[Incarnation]bool{named("e1"): true}}
	if held := len(set.engines[second].resident); held != 0 {
		t.Errorf("new incarnation has %d cached parts, want none", held)
	}
	query.PreviousEngine = first
	if choice, found := set.Pick(query, start); !found || choice.Entry.Incarnation() != second || choice.PrefillTokens < 50 {
		t.Errorf("picked %+v, want the new incarnation with the whole prompt to compute", choice)
	}
	query.PreviousEngine = second
	if choice, _ := set.Pick(query, start); choice.PrefillTokens != 0 {
		t.Errorf("%d tokens to compute at the engine that ran the request, want none", choice.PrefillTokens)
	}
	set.RecordPrompt(first, shared, start) // a late report of its last request
	if held := len(set.engines[second].resident); held != 0 {
		t.Errorf("new incarnation has %d cached parts by a report of the former, want none", held)
	}
}

func TestNewIncarnationHasNothingUnderWay(t *testing.T) {
	set := newSetOf(first)
	work := []*Work{{PrefillTokens: 10, MemoryTokens: 20}, {Batch: true, MemoryTokens: 20}}
	for _, next := range work {
		set.Start(first, next)
	}
	set.RecordReport(first, 9, 9, start)
	restart(t, set)
	set.RecordReport(first, 9, 9, start) // a late response
	if choice, found := set.Pick(Query{Pool: "p"}, start); !found || choice.Entry.Incarnation() != second || choice.InFlight != 0 || choice.Preempts {
		t.Errorf("picked %+v, want the new incarnation with nothing in flight", choice)
	}
	if own := set.InFlight(); own[second] != (Counts{}) || own[first].Online != 1 || own[first].Batch != 1 {
		t.Errorf("in flight are %v, want one online and one batch request at the former", own)
	}
	for _, next := range work {
		set.FirstToken(first, next)
		set.Finish(first, next, Failed, start)
	}
	if own := set.InFlight(); len(own) != 0 {
		t.Errorf("in flight are %v after all requests have ended, want none", own)
	}
}

func TestNewIncarnationStartsHealthy(t *testing.T) {
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
	fail() // the ends of the former's requests are reported late
	next := set.engines[second]
	if next.consecutiveFailures != 0 || next.failureRate != 0 || !next.unhealthyUntil.IsZero() || !next.shedUntil.IsZero() {
		t.Errorf("new incarnation has failures of the former: %+v", next)
	}
	if capacity := set.BatchCapacity("p", 100, start); capacity != 4 {
		t.Errorf("capacity for %d batch requests at 4 free slots, want 4", capacity)
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
			if result := set.Upsert(next, Ready, start); result != Restarted {
				t.Errorf("Upsert returned %v, want restarted", result)
			}
			if listed, _ := set.Find(second); listed.Entry != next || listed.State != Ready {
				t.Errorf("got %+v, want the new entry and ready", listed)
			}
			if set.Serving("p") != 0 || set.Serving("q") != 1 || set.UnlistedCount("p") != 0 {
				t.Errorf("%d engines serve in the former's pool and %d in the new one, want 0 and 1", set.Serving("p"), set.Serving("q"))
			}
		})
	}
}

func TestEntriesOutOfOrder(t *testing.T) {
	set := newSetOf(second)
	if result := set.Upsert(entryOf(first), Ready, start); result != Outdated || len(set.Known()) != 1 {
		t.Errorf("Upsert of an earlier start returned %v, want outdated", result)
	}
	if result := set.Upsert(entryOf(named("e0")), Leaving, start); result != Outdated {
		t.Errorf("Upsert of an unknown start returned %v, want outdated", result)
	}
	set.Remove(first, false, start) // another engine responds at the former's address
	if state := stateOf(t, set, second); state != Ready {
		t.Errorf("state is %v after the removal of the former, want ready", state)
	}
}

func TestSameStartIsTheSameIncarnation(t *testing.T) {
	set := newSetOf(first)
	work := &Work{MemoryTokens: 20}
	set.Start(first, work)
	set.RecordPrompt(first, []Part{{ID: "a", Tokens: 700}}, start)
	set.Remove(first, false, start)
	if result := set.Upsert(entryOf(first), Ready, start); result != Changed {
		t.Errorf("Upsert returned %v, want changed", result)
	}
	if own := set.InFlight()[first]; own.Online != 1 || set.engines[first].residentTokens != 700 {
		t.Errorf("requests or cached parts were lost: %+v", own)
	}
}

// TestFirstReportedStartTimeIsARestart replaces an engine whose software does not report
// its start time by one whose software does.
func TestFirstReportedStartTimeIsARestart(t *testing.T) {
	set := newSetOf(named("e0"))
	if result := set.Upsert(entryOf(first), Ready, start); result != Restarted || stateOf(t, set, named("e0")) != Ended {
		t.Errorf("Upsert returned %v, want restarted and the former ended", result)
	}
}

// TestManyRestartsLeaveNothingBehind restarts an engine a thousand times, with more than
// engineRetention between two restarts.
func TestManyRestartsLeaveNothingBehind(t *testing.T) {
	set := NewSet("n1")
	for restart := range int64(1000) {
		set.Upsert(entryOf(Incarnation{ID: "e0", Born: restart + 1}), Ready, start.Add(time.Duration(restart)*2*engineRetention))
	}
	if known := len(set.Known()); known > 2 || len(set.incarnations) != 1 || len(set.pools["p"]) != known {
		t.Errorf("%d incarnations are kept, want at most 2", known)
	}
}

func TestHashOfAnIncarnation(t *testing.T) {
	if first.Hash() == second.Hash() || first.Hash() == named("e0").Hash() {
		t.Error("two incarnations have the same hash")
	}
	if first.String() != "e0@1000" || named("e0").String() != "e0" {
		t.Errorf("strings are %v and %v, want e0@1000 and e0", first, named("e0"))
	}
}

// TestNothingWaitsAtAnEndedIncarnation has a request wait at a full engine that restarts.
// After the restart a missing response no longer means that the request waits.
func TestNothingWaitsAtAnEndedIncarnation(t *testing.T) {
	set := newSetOf(first)
	startAll(set, first, 5, 0)
	choice, _ := set.Pick(Query{Pool: "p"}, start)
	if choice.HasSlot() || !set.MayBeQueued(choice, start) {
		t.Fatalf("a request at a full engine does not wait: %+v", choice)
	}
	restart(t, set)
	if set.MayBeQueued(choice, start) {
		t.Error("a request still counts as waiting at the former incarnation")
	}
}
