package slots

import (
	"context"
	"testing"
	"time"

	"ringstream.example/ringstream/internal/core/enginechoice"
)

// learnRestart updates the node's engines with a new incarnation of the first engine.
func (n *testNode) learnRestart(t *testing.T) {
	t.Helper()
	n.Engines.Use(func(set *enginechoice.Set, now time.Time) {
		next := enginechoice.Entry{ID: "e0", Born: 2000, Pool: "p", Slots: 2}
		if change := set.Upsert(next, enginechoice.Ready, now); change != enginechoice.Restarted {
			t.Errorf("Upsert returned %v", change)
		}
	})
}

// TestGrantAtAFormerIncarnationIsDeclined checks that requests go to the other engine while the
// dispatcher does not know that the first one has restarted.
func TestGrantAtAFormerIncarnationIsDeclined(t *testing.T) {
	runInBubble(t, func(t *testing.T, ctx context.Context) {
		f := newFleet(ctx, 2, 2)
		f.nodes["n1"].learnRestart(t)
		for range 2 {
			if got := <-f.nodes["n1"].acquire(ctx); got.Choice.Entry.ID != "e1" || got.Waited > 50*time.Millisecond {
				t.Errorf("got %+v", got)
			}
		}
		time.Sleep(time.Second)
		if loads := f.nodes["n0"].Loads(); loads[0].InFlight != 2 {
			t.Errorf("the dispatcher counts %+v", loads)
		}
	})
}

// TestGrantAtAnIncarnationThatIsNotKnownYet guards against a busy loop after a grant at an engine
// that the node has not read from the store yet. A node can exclude only engines that it knows,
// so it declined the grant, asked again at once and got the same engine, with a message and a
// reply every 2 ms until it had read the store.
func TestGrantAtAnIncarnationThatIsNotKnownYet(t *testing.T) {
	runInBubble(t, func(t *testing.T, ctx context.Context) {
		const readAfter = 200 * time.Millisecond
		f := newFleet(ctx, 2, 1)
		f.nodes["n0"].learnRestart(t)
		time.Sleep(refreshInterval) // its dispatchers know the new incarnation too
		pending := f.nodes["n1"].acquire(ctx)
		time.Sleep(readAfter)
		f.nodes["n1"].learnRestart(t)
		if got := <-pending; got.Choice.Entry.Born != 2000 || got.Waited > readAfter+2*unknownEngineRetryDelay {
			t.Errorf("got %+v", got)
		}
		if asks := f.nodes["n1"].lastAskID.Load(); asks > uint64(readAfter/unknownEngineRetryDelay)+2 {
			t.Errorf("asked %d times", asks)
		}
	})
}
