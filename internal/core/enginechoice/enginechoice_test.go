package enginechoice

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"pgregory.net/rapid"

	_ "ringstream.example/ringstream/internal/seedtest" // the same values at every run
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newSet(engines int) *Set {
	set := NewSet("n1")
	for i := range engines {
		set.Upsert(Entry{ID: fmt.Sprintf("e%d", i), Pool: "p", Zone: "z1", Slots: 4, MemoryTokens: 10000}, Ready, start)
	}
	return set
}

// Whatever happens, the counts of work are those of a plain list of the
// requests under way.
func TestCountsAgainstAPlainList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		set := newSet(3)
		type running struct {
			engine Incarnation
			work   *Work
		}
		var list []running
		for range rapid.IntRange(0, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				work := &Work{Batch: rapid.Bool().Draw(t, "batch"), PrefillTokens: 10, MemoryTokens: 20}
				next := running{named(fmt.Sprintf("e%d", rapid.IntRange(0, 2).Draw(t, "engine"))), work}
				set.Start(next.engine, work)
				list = append(list, next)
			case 1:
				if len(list) > 0 {
					at := rapid.IntRange(0, len(list)-1).Draw(t, "first")
					set.FirstToken(list[at].engine, list[at].work)
				}
			default:
				if len(list) > 0 {
					at := rapid.IntRange(0, len(list)-1).Draw(t, "end")
					set.Finish(list[at].engine, list[at].work, Result(rapid.IntRange(0, 3).Draw(t, "result")), start)
					list = append(list[:at], list[at+1:]...)
				}
			}
			want := make(map[Incarnation]Counts)
			for _, next := range list {
				counts := want[next.engine]
				if next.work.Batch {
					counts.Batch++
				} else {
					counts.Online++
				}
				counts.MemoryTokens += 20
				if !next.work.started {
					counts.PrefillTokens += 10
				}
				want[next.engine] = counts
			}
			got := set.Own()
			if len(got) != len(want) {
				t.Fatalf("got %v, want %v", got, want)
			}
			for engine, counts := range want {
				if got[engine] != counts {
					t.Fatalf("%s: got %+v, want %+v", engine, got[engine], counts)
				}
			}
		}
	})
}

func TestPickSpreadsAndLeavesOut(t *testing.T) {
	set := newSet(3)
	counts := make(map[string]int)
	for range 9 {
		choice, found := set.Pick(Query{Pool: "p"}, start)
		if !found {
			t.Fatal("no engine")
		}
		set.Start(choice.Entry.Incarnation(), &Work{})
		counts[choice.Entry.ID]++
	}
	for id, count := range counts {
		if count != 3 {
			t.Errorf("%s got %d of 9", id, count)
		}
	}
	choice, _ := set.Pick(Query{Pool: "p", Exclude: map[Incarnation]bool{named("e0"): true, named("e1"): true}}, start)
	if choice.Entry.ID != "e2" {
		t.Errorf("picked %s", choice.Entry.ID)
	}
	if _, found := set.Pick(Query{Pool: "other"}, start); found {
		t.Error("an engine of another pool was picked")
	}
}

func TestPickGoesWhereThePromptIsKept(t *testing.T) {
	set := newSet(3)
	shared := []Part{{ID: "a", Tokens: 2000}, {ID: "b", Tokens: 3000}}
	first, _ := set.Pick(Query{Pool: "p", Shared: shared}, start)
	set.Remember(first.Entry.Incarnation(), shared, start)
	second, _ := set.Pick(Query{Pool: "p", Shared: shared, OwnTokens: 7}, start)
	if second.Entry.ID != first.Entry.ID || second.PrefillTokens != 7 {
		t.Errorf("got %s with %d tokens to read, want %s with 7", second.Entry.ID, second.PrefillTokens, first.Entry.ID)
	}
	for range 20 { // a queue there costs more than reading the prompt again
		set.Start(first.Entry.Incarnation(), &Work{PrefillTokens: 2000})
	}
	if third, _ := set.Pick(Query{Pool: "p", Shared: shared}, start); third.Entry.ID == first.Entry.ID {
		t.Error("picked an engine with a long queue")
	}
}

func TestSickAndSheddingEnginesComeLast(t *testing.T) {
	set := newSet(2)
	for range 3 {
		set.Finish(named("e0"), &Work{}, Failed, start)
	}
	if choice, _ := set.Pick(Query{Pool: "p"}, start); choice.Entry.ID != "e1" {
		t.Errorf("picked the sick %s", choice.Entry.ID)
	}
	if choice, found := set.Pick(Query{Pool: "p", Exclude: map[Incarnation]bool{named("e1"): true}}, start); !found || choice.Entry.ID != "e0" {
		t.Error("a sick engine is no longer tried when there is no other")
	}
	later := start.Add(time.Minute)
	for range 40 {
		set.Finish(named("e0"), &Work{}, Succeeded, later)
	}
	set.Finish(named("e1"), &Work{}, Shed, later)
	if choice, _ := set.Pick(Query{Pool: "p"}, later); choice.Entry.ID != "e0" {
		t.Errorf("picked %s, which has just turned a request away", choice.Entry.ID)
	}
}

func TestRemovalLeavingAndDoubt(t *testing.T) {
	set := newSet(3)
	set.Remove(named("e0"), false, start)
	set.Remove(named("e1"), true, start)
	set.Upsert(Entry{ID: "e2", Pool: "p", Zone: "z1", Slots: 4}, Leaving, start)
	if choice, found := set.Pick(Query{Pool: "p"}, start); !found || choice.Entry.ID != "e1" || choice.State != Unlisted {
		t.Errorf("got %+v", choice)
	}
	if expired := set.ExpireUnlisted(start, start); len(expired) != 0 {
		t.Errorf("expired %v too early", expired)
	}
	if expired := set.ExpireUnlisted(start.Add(time.Second), start.Add(2*time.Second)); len(expired) != 1 || expired[0] != named("e1") {
		t.Errorf("expired %v", expired)
	}
	if _, found := set.Pick(Query{Pool: "p"}, start); found {
		t.Error("a gone engine was picked")
	}
	set.Upsert(Entry{ID: "e1", Pool: "p", Zone: "z1", Slots: 4}, Ready, start)
	if set.Serving("p") != 1 {
		t.Error("an engine that is listed again does not serve")
	}
	set.Remove(named("e0"), false, start.Add(2*forgetAfter))
	if set.Remove(named("e0"), false, start.Add(4*forgetAfter)); len(set.Known()) != 2 {
		t.Errorf("known: %v", set.Known())
	}
}

func TestWithheldEngineTakesNoWorkAndKeepsWhatWasLearned(t *testing.T) {
	set := newSet(2)
	work := startAll(set, named("e0"), 2, 0)
	set.Remember(named("e0"), []Part{{ID: "a", Tokens: 50}}, start)
	if !set.Withhold(named("e0"), start) || set.Withhold(named("e0"), start) || set.Withhold(named("unknown"), start) {
		t.Error("a change of the belief is told wrongly")
	}
	for range 10 {
		if choice, found := set.Pick(Query{Pool: "p"}, start); !found || choice.Entry.ID != "e1" {
			t.Fatalf("picked %+v", choice)
		}
	}
	if listed, _ := set.Find(named("e0")); listed.State != Withheld || set.Serving("p") != 1 {
		t.Errorf("e0 is %s, %d serve", listed.State, set.Serving("p"))
	}
	if counts := set.Own()[named("e0")]; counts.Online != len(work) {
		t.Errorf("%+v are under way at the withheld engine, want %d", counts, len(work))
	}
	set.Upsert(Entry{ID: "e0", Pool: "p", Zone: "z1", Slots: 4}, Ready, start)
	if set.Serving("p") != 2 || set.engines[named("e0")].resident["a"].tokens != 50 {
		t.Error("an engine whose entry holds again serves as another")
	}
}

func TestWithheldEngineWhoseEntryGoesIsGone(t *testing.T) {
	set := newSet(1)
	set.Withhold(named("e0"), start)
	set.Remove(named("e0"), true, start)
	if listed, _ := set.Find(named("e0")); listed.State != Leaving {
		t.Errorf("after a doubtful removal the withheld engine is %s", listed.State)
	}
}

func TestLeavingEngineDoesNotComeBackByADoubtfulRemoval(t *testing.T) {
	set := newSet(1)
	set.Upsert(Entry{ID: "e0", Pool: "p", Zone: "z1", Slots: 4}, Leaving, start)
	if set.Withhold(named("e0"), start) {
		t.Error("a leaving engine was withheld, as if its end were not expected")
	}
	set.Remove(named("e0"), true, start)
	if listed, _ := set.Find(named("e0")); listed.State != Leaving {
		t.Errorf("a draining engine whose entry goes while the store is sick is %s", listed.State)
	}
}

func startAll(set *Set, engine Incarnation, online, batch int) []*Work {
	var all []*Work
	for i := range online + batch {
		work := &Work{Batch: i >= online}
		set.Start(engine, work)
		all = append(all, work)
	}
	return all
}

func TestBatchRoom(t *testing.T) {
	query := Query{Pool: "p", Batch: true, BatchPercent: 50} // 2 of 4 slots
	for _, c := range []struct {
		name          string
		online, batch int
		memory        int
		room          bool
	}{
		{name: "an idle engine", room: true},
		{name: "the last batch request", batch: 1, online: 1, room: true},
		{name: "over the limit of batch work", batch: 2},
		{name: "a free slot beside online requests", online: 3, room: true},
		{name: "no free slot", online: 4},
		{name: "over the share of the memory", memory: 9000},
	} {
		set := newSet(1)
		startAll(set, named("e0"), c.online, c.batch)
		query.MemoryTokens = c.memory
		if _, found := set.Pick(query, start); found != c.room {
			t.Errorf("%s: room %t", c.name, found)
		}
	}
}

func TestCrowdedEnginesAreYielded(t *testing.T) {
	set := newSet(1)
	startAll(set, named("e0"), 2, 6)
	crowds := set.Crowded(start) // 8 requests at 4 slots
	if len(crowds) != 1 || crowds[0].Yield != 4 {
		t.Errorf("got %+v", crowds)
	}
	if crowds := set.Crowded(start.Add(yieldPause / 2)); len(crowds) != 0 {
		t.Errorf("yields again before the engine can have told: %+v", crowds)
	}
	later := start.Add(yieldPause)
	if crowds := set.Crowded(later); len(crowds) != 1 || crowds[0].Yield != 4 {
		t.Errorf("after the pause: %+v", crowds)
	}
	onlyBatch := newSet(1)
	startAll(onlyBatch, named("e0"), 0, 6)
	if crowds := onlyBatch.Crowded(later); len(crowds) != 0 {
		t.Errorf("batch gives way to batch: %+v", crowds)
	}
	if !set.Full(named("e0"), start) {
		t.Error("8 requests at 4 slots are not full")
	}
}

// TestBatchLeavesRoomForOnlineWorkThatComesBack has three online requests end
// at an engine of four slots: batch work does not fill their slots at once, and
// does some time later.
func TestBatchLeavesRoomForOnlineWorkThatComesBack(t *testing.T) {
	set := newSet(1)
	work := []*Work{{}, {}, {}}
	for _, one := range work {
		set.Start(named("e0"), one)
	}
	set.TrackOnline(start)
	for _, one := range work {
		set.Finish(named("e0"), one, Succeeded, start)
	}
	set.TrackOnline(start.Add(10 * time.Millisecond))
	room := func(after time.Duration) int { return set.BatchRoom("p", 100, start.Add(after)) }
	if got := room(0); got != 1 {
		t.Errorf("room for %d, want that of the slot that online work did not use", got)
	}
	set.Start(named("e0"), &Work{Batch: true})
	if got := room(0); got != 0 {
		t.Errorf("room for %d in slots that online work has just left", got)
	}
	set.TrackOnline(start.Add(5 * peakHalfLife))
	if got := room(5 * peakHalfLife); got != 3 {
		t.Errorf("room for %d, want that of the slots that online work left long ago", got)
	}
}

// TestBatchRoomOfAPool counts over all engines of a pool that take work.
func TestBatchRoomOfAPool(t *testing.T) {
	set := newSet(5) // 20 slots
	startAll(set, named("e0"), 4, 0)
	startAll(set, named("e1"), 1, 2)
	startAll(set, named("e2"), 9, 0) // more than its slots
	set.Remove(named("e3"), false, start)
	if got := set.BatchRoom("p", 75, start); got != 1 { // 12 of 16, less 4, 3 and 4
		t.Errorf("room for %d", got)
	}
	if got := set.BatchRoom("p", 50, start); got != 0 {
		t.Errorf("room for %d where more is used", got)
	}
	if got := set.BatchRoom("other", 100, start); got != 0 {
		t.Errorf("room for %d in a pool without engines", got)
	}
}

func TestEnginesOwnCountIsTrustedForAMoment(t *testing.T) {
	set := newSet(1)
	set.Observe(named("e0"), 4, 2, start)
	if !set.Full(named("e0"), start.Add(reportTrust)) {
		t.Error("the engine's own count was not taken")
	}
	if set.Full(named("e0"), start.Add(2*reportTrust)) {
		t.Error("an old count is still trusted")
	}
}

// The engines taken to keep a shared part are the first of all by rank, those
// that are left out aside.
func TestPreferredAgainstASort(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		set := newSet(rapid.IntRange(0, 12).Draw(t, "engines"))
		for id := range set.engines {
			if rapid.IntRange(0, 3).Draw(t, id.ID) == 0 {
				set.Remove(id, false, start)
			}
		}
		part := rapid.StringN(1, 4, 8).Draw(t, "part")
		key := xxhash.Sum64String(part)
		var ids []Incarnation
		for id, known := range set.engines {
			if known.state == Ready {
				ids = append(ids, id)
			}
		}
		slices.SortFunc(ids, func(a, b Incarnation) int {
			return cmp.Or(cmp.Compare(affinity(key, set.engines[b].hash), affinity(key, set.engines[a].hash)), cmp.Compare(a.ID, b.ID))
		})
		var want [affinityRanks]Incarnation
		copy(want[:], ids)
		if got := set.preferred(Query{Pool: "p", Shared: []Part{{ID: part}}}, start); got != want {
			t.Fatalf("got %v, want %v", got, want)
		}
	})
}

// TestFullEngineWithBatchWorkMakesRoom has all slots in use, some of them by
// batch requests.
func TestFullEngineWithBatchWorkMakesRoom(t *testing.T) {
	set := newSet(2) // 4 slots each
	startAll(set, named("e0"), 4, 0)
	work := startAll(set, named("e1"), 3, 1)
	choice, _ := set.Pick(Query{Pool: "p"}, start)
	if choice.Entry.ID != "e1" || !choice.MakeRoom || !choice.HasSlot() {
		t.Errorf("got %s, make room %t", choice.Entry.ID, choice.MakeRoom)
	}
	if choice, _ := set.Pick(Query{Pool: "p", Batch: true, BatchPercent: 200}, start); choice.MakeRoom {
		t.Error("batch work gives way to batch work")
	}
	set.Finish(named("e1"), work[0], Succeeded, start)
	if choice, _ := set.Pick(Query{Pool: "p"}, start); choice.MakeRoom {
		t.Error("batch work gives way where a slot is free")
	}
	startAll(set, named("e1"), 1, 0)
	set.Finish(named("e1"), work[3], Abandoned, start)
	startAll(set, named("e1"), 1, 0)
	if choice, _ := set.Pick(Query{Pool: "p"}, start); choice.MakeRoom || choice.HasSlot() || choice.InFlight != 4 {
		t.Errorf("nothing is left to give way: %+v", choice)
	}
}

// TestStoppedWorkEndsOnce has a batch request that is counted as ended when it
// is told to stop, and whose end and first token are told again later.
func TestStoppedWorkEndsOnce(t *testing.T) {
	set := newSet(1)
	work := &Work{Batch: true, PrefillTokens: 10, MemoryTokens: 20}
	set.Start(named("e0"), work)
	set.Finish(named("e0"), work, Abandoned, start)
	set.FirstToken(named("e0"), work)
	set.Finish(named("e0"), work, Failed, start)
	if own := set.Own(); len(own) != 0 {
		t.Errorf("got %v", own)
	}
}

// TestFormerEngineIsPreferred has a request that ran at an engine before: its
// own part of the prompt need not be read there again.
func TestFormerEngineIsPreferred(t *testing.T) {
	set := newSet(3)
	query := Query{Pool: "p", OwnTokens: 1200, Batch: true, BatchPercent: 100, Former: named("e2")}
	if choice, _ := set.Pick(query, start); choice.Entry.ID != "e2" || choice.PrefillTokens != 0 {
		t.Errorf("got %s with %d tokens to read", choice.Entry.ID, choice.PrefillTokens)
	}
}
