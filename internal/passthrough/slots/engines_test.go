package slots

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"ringstream.example/ringstream/internal/core/enginechoice"
	"ringstream.example/ringstream/internal/core/grant"
	_ "ringstream.example/ringstream/internal/seedtest" // the same values at every run
)

// TestViewFollowsTheEngines changes a set at random and compares the incrementally updated view
// with one that is built from the whole set.
func TestViewFollowsTheEngines(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1_700_000_000, 0)
		set, followed := enginechoice.NewSet("n1"), newEngineView()
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 40).Draw(t, "seconds")) * time.Second)
			id := fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "engine"))
			entry := enginechoice.Entry{ID: id, Pool: rapid.SampledFrom([]string{"p", "q"}).Draw(t, "pool"), Slots: rapid.IntRange(1, 3000).Draw(t, "slots"), Born: int64(rapid.IntRange(0, 2).Draw(t, "born"))}
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				set.Upsert(entry, enginechoice.Ready, now)
			case 2:
				set.Remove(entry.Incarnation(), rapid.Bool().Draw(t, "doubtful"), now)
			default:
				set.ExpireUnlisted(now.Add(-10*time.Second), now)
			}
			if rapid.Bool().Draw(t, "look") {
				followed.apply(changesSince(set, followed.appliedChanges))
				checkView(t, set, followed)
			}
		}
	})
}

func checkView(t *rapid.T, set *enginechoice.Set, followed engineView) {
	rebuilt := newEngineView()
	rebuilt.appliedChanges = set.Changes()
	for _, engine := range set.Known() {
		known, _ := set.Find(engine)
		rebuilt.add(known)
	}
	for pool, slots := range followed.slotsByPool {
		if slots == 0 {
			delete(followed.slotsByPool, pool)
		}
	}
	if difference := cmp.Diff(rebuilt, followed, cmp.AllowUnexported(engineView{})); difference != "" {
		t.Fatal(difference)
	}
}

// BenchmarkEngineView applies one change to a view of many engines.
func BenchmarkEngineView(b *testing.B) {
	for _, engines := range []int{100, 10_000} {
		b.Run(fmt.Sprint(engines), func(b *testing.B) {
			now := time.Now()
			set, view := enginechoice.NewSet("n1"), newEngineView()
			for i := range engines {
				set.Upsert(enginechoice.Entry{ID: fmt.Sprintf("i-%08x", i), Pool: "p", Slots: 8}, enginechoice.Ready, now)
			}
			view.apply(changesSince(set, 0))
			states := []enginechoice.State{enginechoice.Leaving, enginechoice.Ready}
			for turn := 0; b.Loop(); turn++ {
				set.Upsert(enginechoice.Entry{ID: "i-00000007", Pool: "p", Slots: 8}, states[turn%2], now)
				view.apply(changesSince(set, view.appliedChanges))
			}
			if view.laneCount("p") != grant.LaneCount(8*engines) {
				b.Errorf("%d lanes", view.laneCount("p"))
			}
		})
	}
}

// BenchmarkWholeEngineView rebuilds the view, as was done for each change before the view was
// updated incrementally.
func BenchmarkWholeEngineView(b *testing.B) {
	now := time.Now()
	set := enginechoice.NewSet("n1")
	for i := range 10_000 {
		set.Upsert(enginechoice.Entry{ID: fmt.Sprintf("i-%08x", i), Pool: "p", Slots: 8}, enginechoice.Ready, now)
	}
	for b.Loop() {
		view := newEngineView()
		view.apply(changesSince(set, 0))
	}
}
