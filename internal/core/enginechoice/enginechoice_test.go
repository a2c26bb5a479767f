package enginechoice

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"pgregory.net/rapid"

	_ "ringstream.example/ringstream/internal/seedtest" // fixed seed for rapid
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newSet(engines int) *Set {
	set := NewSet("n1")
	for i := range engines {
		set.Upsert(Entry{ID: fmt.Sprintf("e%d", i), Pool: "p", Zone: "z1", Slots: 4, MemoryTokens: 10000}, Ready, start)
	}
	return set
}

// TestCountsAgainstAPlainList compares the counts of work with a list of the requests in
// flight, for random sequences of starts, first tokens and ends.
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
				if next.work.Batch {
					counts.BatchMemoryTokens += 20
				}
				if !next.work.started {
					counts.PrefillTokens += 10
				}
				want[next.engine] = counts
			}
			got := set.InFlight()
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

func TestPickBalancesLoadAndHonorsExclude(t *testing.T) {
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
			t.Errorf("%s got %d of 9 requests, want 3", id, count)
		}
	}
	choice, _ := set.Pick(Query{Pool: "p", Exclude: map[Incarnation]bool{named("e0"): true, named("e1"): true}}, start)
	if choice.Entry.ID != "e2" {
		t.Errorf("picked %s, want e2", choice.Entry.ID)
	}
	if _, found := set.Pick(Query{Pool: "other"}, start); found {
		t.Error("an engine of another pool was picked")
	}
}

// A query that names a software version gets engines of that version only, however full they are.
func TestPickKeepsToTheSoftwareVersion(t *testing.T) {
	set := NewSet("n1")
	for i, software := range []string{"v1", "v1.1", "v1.1"} {
		set.Upsert(Entry{ID: fmt.Sprintf("e%d", i), Pool: "p", Zone: "z1", Slots: 1, Software: software}, Ready, start)
	}
	query := Query{Pool: "p", Software: "v1"}
	for range 5 {
		choice, found := set.Pick(query, start)
		if !found || choice.Entry.Software != "v1" {
			t.Fatalf("picked %+v", choice)
		}
		set.Start(choice.Entry.Incarnation(), &Work{})
	}
	if set.CanPickFree(query, start) || !set.CanPickFree(Query{Pool: "p"}, start) {
		t.Error("a free slot of another version counts for the query")
	}
	set.Remove(Incarnation{ID: "e0"}, false, start)
	if set.CanPick(query, start) || !set.CanPick(Query{Pool: "p", Software: "v1.1"}, start) {
		t.Error("an engine that leaves, or of another version, can be picked")
	}
	if versions := set.SoftwareVersions("p"); !slices.Equal(versions, []string{"v1", "v1.1"}) {
		t.Errorf("versions while an engine leaves: %v", versions)
	}
}

func TestPickGoesWhereThePromptIsKept(t *testing.T) {
	set := newSet(3)
	shared := []Part{{ID: "a", Tokens: 2000}, {ID: "b", Tokens: 3000}}
	first, _ := set.Pick(Query{Pool: "p", Shared: shared}, start)
	set.RecordPrompt(first.Entry.Incarnation(), shared, start)
	second, _ := set.Pick(Query{Pool: "p", Shared: shared, OwnTokens: 7}, start)
	if second.Entry.ID != first.Entry.ID || second.PrefillTokens != 7 {
		t.Errorf("picked %s with %d tokens to compute, want %s with 7", second.Entry.ID, second.PrefillTokens, first.Entry.ID)
	}
	for range 20 { // a queue there costs more than computing the prompt again
		set.Start(first.Entry.Incarnation(), &Work{PrefillTokens: 2000})
	}
	if third, _ := set.Pick(Query{Pool: "p", Shared: shared}, start); third.Entry.ID == first.Entry.ID {
		t.Error("picked an engine with a long queue")
	}
}

func TestUnhealthyAndSheddingEnginesComeLast(t *testing.T) {
	set := newSet(2)
	for range 3 {
		set.Finish(named("e0"), &Work{}, Failed, start)
	}
	if choice, _ := set.Pick(Query{Pool: "p"}, start); choice.Entry.ID != "e1" {
		t.Errorf("picked the unhealthy engine %s", choice.Entry.ID)
	}
	if choice, found := set.Pick(Query{Pool: "p", Exclude: map[Incarnation]bool{named("e1"): true}}, start); !found || choice.Entry.ID != "e0" {
		t.Error("an unhealthy engine was not picked although there is no other")
	}
	later := start.Add(time.Minute)
	for range 40 {
		set.Finish(named("e0"), &Work{}, Succeeded, later)
	}
	set.Finish(named("e1"), &Work{}, Shed, later)
	if choice, _ := set.Pick(Query{Pool: "p"}, later); choice.Entry.ID != "e0" {
		t.Errorf("picked %s, which has just shed a request", choice.Entry.ID)
	}
}

func TestRemovedLeavingAndUnlistedEngines(t *testing.T) {
	set := newSet(3)
	set.Remove(named("e0"), false, start)
	set.Remove(named("e1"), true, start)
	set.Upsert(Entry{ID: "e2", Pool: "p", Zone: "z1", Slots: 4}, Leaving, start)
	if choice, found := set.Pick(Query{Pool: "p"}, start); !found || choice.Entry.ID != "e1" || choice.State != Unlisted {
		t.Errorf("picked %+v, want e1 in the state unlisted", choice)
	}
	if expired := set.ExpireUnlisted(start, start); len(expired) != 0 {
		t.Errorf("expired %v too early", expired)
	}
	if expired := set.ExpireUnlisted(start.Add(time.Second), start.Add(2*time.Second)); len(expired) != 1 || expired[0] != named("e1") {
		t.Errorf("expired %v, want e1", expired)
	}
	if _, found := set.Pick(Query{Pool: "p"}, start); found {
		t.Error("an expired engine was picked")
	}
	set.Upsert(Entry{ID: "e1", Pool: "p", Zone: "z1", Slots: 4}, Ready, start)
	if set.Serving("p") != 1 {
		t.Error("an engine that is listed again does not accept new work")
	}
	set.Remove(named("e0"), false, start.Add(2*engineRetention))
	if set.Remove(named("e0"), false, start.Add(4*engineRetention)); len(set.Known()) != 2 {
		t.Errorf("known engines are %v, want 2", set.Known())
	}
}

func TestWithheldEngineTakesNoWorkAndKeepsWhatWasLearned(t *testing.T) {
	set := newSet(2)
	work := startAll(set, named("e0"), 2, 0)
	set.RecordPrompt(named("e0"), []Part{{ID: "a", Tokens: 50}}, start)
	if !set.Withhold(named("e0"), start) || set.Withhold(named("e0"), start) || set.Withhold(named("unknown"), start) {
		t.Error("Withhold does not report the change of the state correctly")
	}
	for range 10 {
		if choice, found := set.Pick(Query{Pool: "p"}, start); !found || choice.Entry.ID != "e1" {
			t.Fatalf("picked %+v, want e1", choice)
		}
	}
	if listed, _ := set.Find(named("e0")); listed.State != Withheld || set.Serving("p") != 1 {
		t.Errorf("e0 is %s and %d engines accept new work, want withheld and 1", listed.State, set.Serving("p"))
	}
	if counts := set.InFlight()[named("e0")]; counts.Online != len(work) {
		t.Errorf("%+v in flight at the withheld engine, want %d", counts, len(work))
	}
	set.Upsert(Entry{ID: "e0", Pool: "p", Zone: "z1", Slots: 4}, Ready, start)
	if set.Serving("p") != 2 || set.engines[named("e0")].resident["a"].tokens != 50 {
		t.Error("an engine whose entry is valid again does not accept work or has lost its observations")
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
		t.Error("a leaving engine was withheld, although its end is expected")
	}
	set.Remove(named("e0"), true, start)
	if listed, _ := set.Find(named("e0")); listed.State != Leaving {
		t.Errorf("a leaving engine whose entry is removed while the list is not trusted is %s", listed.State)
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

func TestOvercommittedEnginesPreemptBatch(t *testing.T) {
	set := newSet(1)
	startAll(set, named("e0"), 2, 6)
	overcommits := set.Overcommitted(start) // 8 requests at 4 slots
	if len(overcommits) != 1 || overcommits[0].Preempt != 4 {
		t.Errorf("got %+v, want 4 batch requests preempted at one engine", overcommits)
	}
	if overcommits := set.Overcommitted(start.Add(preemptionPause / 2)); len(overcommits) != 0 {
		t.Errorf("preempted again within the pause: %+v", overcommits)
	}
	later := start.Add(preemptionPause)
	if overcommits := set.Overcommitted(later); len(overcommits) != 1 || overcommits[0].Preempt != 4 {
		t.Errorf("got %+v after the pause, want 4 batch requests preempted", overcommits)
	}
	onlyBatch := newSet(1)
	startAll(onlyBatch, named("e0"), 0, 6)
	if overcommits := onlyBatch.Overcommitted(later); len(overcommits) != 0 {
		t.Errorf("batch requests were preempted for batch requests: %+v", overcommits)
	}
	if !set.IsFull(named("e0"), start) {
		t.Error("an engine with 8 requests at 4 slots is not full")
	}
}

// TestBatchCapacityKeepsRecentOnlineSlotsFree has three online requests end at an engine of
// four slots. Batch requests must not fill their slots at once, but only some time later.
func TestBatchCapacityKeepsRecentOnlineSlotsFree(t *testing.T) {
	set := newSet(1)
	work := []*Work{{}, {}, {}}
	for _, one := range work {
		set.Start(named("e0"), one)
	}
	set.UpdateOnlinePeaks(start)
	for _, one := range work {
		set.Finish(named("e0"), one, Succeeded, start)
	}
	set.UpdateOnlinePeaks(start.Add(10 * time.Millisecond))
	capacity := func(after time.Duration) int { return set.BatchCapacity("p", 100, start.Add(after)) }
	if got := capacity(0); got != 1 {
		t.Errorf("capacity is %d, want 1 for the slot that online requests did not use", got)
	}
	set.Start(named("e0"), &Work{Batch: true})
	if got := capacity(0); got != 0 {
		t.Errorf("capacity is %d in slots that online requests have just left, want 0", got)
	}
	set.UpdateOnlinePeaks(start.Add(5 * peakHalfLife))
	if got := capacity(5 * peakHalfLife); got != 3 {
		t.Errorf("capacity is %d, want 3 for the slots that online requests left long ago", got)
	}
}

// TestBatchCapacityCountsWholePool counts over all engines of a pool that accept work.
func TestBatchCapacityCountsWholePool(t *testing.T) {
	set := newSet(5) // 20 slots
	startAll(set, named("e0"), 4, 0)
	startAll(set, named("e1"), 1, 2)
	startAll(set, named("e2"), 9, 0) // more than its slots
	set.Remove(named("e3"), false, start)
	if got := set.BatchCapacity("p", 75, start); got != 1 { // 12 of 16, less 4, 3 and 4
		t.Errorf("capacity is %d, want 1", got)
	}
	if got := set.BatchCapacity("p", 50, start); got != 0 {
		t.Errorf("capacity is %d with more slots in use than allowed, want 0", got)
	}
	if got := set.BatchCapacity("other", 100, start); got != 0 {
		t.Errorf("capacity is %d in a pool without engines, want 0", got)
	}
}

func TestEngineReportExpires(t *testing.T) {
	set := newSet(1)
	set.RecordReport(named("e0"), 4, 2, start)
	if !set.IsFull(named("e0"), start.Add(maxReportAge)) {
		t.Error("the engine's own count was not used")
	}
	if set.IsFull(named("e0"), start.Add(2*maxReportAge)) {
		t.Error("an expired count is still used")
	}
}

// TestPreferredAgainstASort compares the preferred engines of a shared part with the first
// engines of a list of all ready engines that is sorted by affinity.
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
		var want [affinityEngines]Incarnation
		copy(want[:], ids)
		if got := set.preferred(Query{Pool: "p", Shared: []Part{{ID: part}}}, start); got != want {
			t.Fatalf("got %v, want %v", got, want)
		}
	})
}

// TestFullEngineWithBatchWorkPreempts has all slots in use, some of them by batch requests.
func TestFullEngineWithBatchWorkPreempts(t *testing.T) {
	set := newSet(2) // 4 slots each
	startAll(set, named("e0"), 4, 0)
	work := startAll(set, named("e1"), 3, 1)
	choice, _ := set.Pick(Query{Pool: "p"}, start)
	if choice.Entry.ID != "e1" || !choice.Preempts || !choice.HasSlot() {
		t.Errorf("picked %s with preemption %t, want e1 with preemption", choice.Entry.ID, choice.Preempts)
	}
	if choice, _ := set.Pick(Query{Pool: "p", Batch: true, MaxBatchPercent: 200}, start); choice.Preempts {
		t.Error("a batch request preempts a batch request")
	}
	set.Finish(named("e1"), work[0], Succeeded, start)
	if choice, _ := set.Pick(Query{Pool: "p"}, start); choice.Preempts {
		t.Error("a batch request is preempted although a slot is free")
	}
	startAll(set, named("e1"), 1, 0)
	set.Finish(named("e1"), work[3], Abandoned, start)
	startAll(set, named("e1"), 1, 0)
	if choice, _ := set.Pick(Query{Pool: "p"}, start); choice.Preempts || choice.HasSlot() || choice.InFlight != 4 {
		t.Errorf("got %+v, want no preemption and no slot, since no batch request is left", choice)
	}
}

// TestStoppedWorkEndsOnce has a batch request that counts as ended when it is preempted.
// Its first token and its end are reported again later and must have no effect.
func TestStoppedWorkEndsOnce(t *testing.T) {
	set := newSet(1)
	work := &Work{Batch: true, PrefillTokens: 10, MemoryTokens: 20}
	set.Start(named("e0"), work)
	set.Finish(named("e0"), work, Abandoned, start)
	set.FirstToken(named("e0"), work)
	set.Finish(named("e0"), work, Failed, start)
	if own := set.InFlight(); len(own) != 0 {
		t.Errorf("in flight are %v, want none", own)
	}
}

// TestFormerEngineIsPreferred has a request that ran at an engine before. Its own part of
// the prompt need not be computed there again.
func TestFormerEngineIsPreferred(t *testing.T) {
	set := newSet(3)
	query := Query{Pool: "p", OwnTokens: 1200, Batch: true, MaxBatchPercent: 100, PreviousEngine: named("e2")}
	if choice, _ := set.Pick(query, start); choice.Entry.ID != "e2" || choice.PrefillTokens != 0 {
		t.Errorf("picked %s with %d tokens to compute, want e2 with none", choice.Entry.ID, choice.PrefillTokens)
	}
}
