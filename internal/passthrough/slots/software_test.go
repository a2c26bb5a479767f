package slots

import (
	"context"
	"fmt"
	"testing"
	"time"

	"ringstream.example/ringstream/internal/core/enginechoice"
	"ringstream.example/ringstream/internal/core/grant"
)

// setSoftware gives every engine with an odd number a second software version, as the named nodes
// know them.
func (f *fleet) setSoftware(engines int, nodes ...string) {
	for _, name := range nodes {
		f.nodes[name].Engines.Use(func(set *enginechoice.Set, now time.Time) {
			for i := range engines {
				listed, _ := set.Find(enginechoice.Incarnation{ID: fmt.Sprint("e", i)})
				listed.Entry.Software = []string{"v1", "v1.1"}[i%2]
				set.Upsert(listed.Entry, listed.State, now)
			}
		})
	}
	time.Sleep(2 * refreshInterval)
}

func (n *testNode) acquireSoftware(ctx context.Context, software string) (Decision, error) {
	now := time.Now()
	return n.Acquire(ctx, Request{Query: enginechoice.Query{Pool: "p", Software: software}, FirstTokenDeadline: now.Add(300 * time.Millisecond), PlacementDeadline: now.Add(time.Second)})
}

// Guards against a dispatcher that grants an engine of another software version. One of an earlier
// build knows no versions; here it has entries without them.
func TestGrantsKeepToTheSoftwareVersion(t *testing.T) {
	for name, informed := range map[string][]string{"dispatcher that knows versions": {"n0", "n1"}, "dispatcher that does not": {"n1"}} {
		t.Run(name, func(t *testing.T) {
			runInBubble(t, func(t *testing.T, ctx context.Context) {
				f := newFleet(ctx, 2, 4)
				f.setSoftware(4, informed...)
				for i := range 8 {
					software := []string{"v1", "v1.1"}[i%2]
					got, err := f.nodes["n1"].acquireSoftware(ctx, software)
					if err != nil || got.Choice.Entry.Software != software || got.Source != ByDispatcher || !got.Choice.HasSlot() {
						t.Errorf("wanted %s, got %+v, %v", software, got, err)
					}
				}
			})
		})
	}
}

// The other lanes of a pool have engines of the version while its own has none.
func TestRequestGoesToALaneWithItsSoftwareVersion(t *testing.T) {
	runInBubble(t, func(t *testing.T, ctx context.Context) {
		const engines = 1500
		f := newFleet(ctx, 2, engines)
		time.Sleep(refreshInterval)
		for _, node := range f.nodes {
			node.Engines.Use(func(set *enginechoice.Set, now time.Time) {
				listed, _ := set.Find(enginechoice.Incarnation{ID: "e7"})
				listed.Entry.Software = "v1.1"
				set.Upsert(listed.Entry, listed.State, now)
			})
		}
		time.Sleep(2 * refreshInterval)
		for range 12 {
			got, err := f.nodes["n1"].acquireSoftware(ctx, "v1.1")
			if err != nil || got.Choice.Entry.ID != "e7" || got.Source != ByDispatcher || !got.Slot.lane.Holds(grant.EngineHash(got.Choice.Entry.Incarnation())) {
				t.Fatalf("got %+v, %v", got, err)
			}
			got.Slot.End(enginechoice.Succeeded, false)
		}
	})
}

// Guards against requests for a full version that hold up requests which any engine may run.
func TestRequestForAFullSoftwareVersionHoldsUpNoOther(t *testing.T) {
	runInBubble(t, func(t *testing.T, ctx context.Context) {
		f := newFleet(ctx, 2, 4) // of two slots
		f.setSoftware(4, "n0", "n1")
		for range 4 {
			if _, err := f.nodes["n1"].acquireSoftware(ctx, "v1"); err != nil {
				t.Fatal(err)
			}
		}
		waiting := make(chan Decision, 1)
		go func() {
			decision, _ := f.nodes["n1"].acquireSoftware(ctx, "v1")
			waiting <- decision
		}()
		time.Sleep(50 * time.Millisecond)
		if got := <-f.nodes["n1"].acquire(ctx); got.Choice.Entry.Software != "v1.1" || got.Waited > 50*time.Millisecond {
			t.Errorf("another request got %+v", got)
		}
		if got := <-waiting; got.Choice.Entry.Software != "v1" {
			t.Errorf("the request that waited got %+v", got)
		}
	})
}
