package slots

import (
	"context"
	"testing"
	"time"

	"ringstream.example/ringstream/internal/core/enginechoice"
)

// learn has a node know that the first engine has started again.
func (n *testNode) learn(t *testing.T) {
	t.Helper()
	n.Engines.Use(func(set *enginechoice.Set, now time.Time) {
		next := enginechoice.Entry{ID: "e0", Born: 2000, Pool: "p", Slots: 2}
		if news := set.Upsert(next, enginechoice.Ready, now); news != enginechoice.Restarted {
			t.Errorf("the entry is %v", news)
		}
	})
}

// TestGrantAtAFormerIncarnationIsDeclined has the dispatcher not know yet that an engine has
// started again: the requests go to the other engine.
func TestGrantAtAFormerIncarnationIsDeclined(t *testing.T) {
	bubble(t, func(t *testing.T, ctx context.Context) {
		f := newFleet(ctx, 2, 2)
		f.nodes["n1"].learn(t)
		for range 2 {
			if got := <-f.nodes["n1"].acquire(ctx); got.Choice.Entry.ID != "e1" || got.Waited > 50*time.Millisecond {
				t.Errorf("got %+v", got)
			}
		}
		time.Sleep(time.Second)
		if loads := f.nodes["n0"].Loads(); loads[0].UnderWay != 2 {
			t.Errorf("the dispatcher counts %+v", loads)
		}
	})
}

// TestGrantAtAnIncarnationThatIsNotKnownYet.
//
// Symptom: a node asked its dispatcher for a slot, was granted one at an engine of which it had
// not read, declined, and asked again at once: a message and an answer each 2 ms until it had
// read the store.
//
// Cause: only engines that the node knows can be left out of what it asks for.
//
// What settled it: this test, which did not end where the node never read of the engine.
func TestGrantAtAnIncarnationThatIsNotKnownYet(t *testing.T) {
	bubble(t, func(t *testing.T, ctx context.Context) {
		const readAfter = 200 * time.Millisecond
		f := newFleet(ctx, 2, 1)
		f.nodes["n0"].learn(t)
		time.Sleep(lookEvery) // its lanes know too
		asked := f.nodes["n1"].acquire(ctx)
		time.Sleep(readAfter)
		f.nodes["n1"].learn(t)
		if got := <-asked; got.Choice.Entry.Born != 2000 || got.Waited > readAfter+2*unknownEnginePause {
			t.Errorf("got %+v", got)
		}
		if asks := f.nodes["n1"].asks.Load(); asks > uint64(readAfter/unknownEnginePause)+2 {
			t.Errorf("asked %d times", asks)
		}
	})
}
