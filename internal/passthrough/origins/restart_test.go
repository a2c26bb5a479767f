package origins

import (
	"context"
	"errors"
	"testing"
	"time"

	"ringstream.example/ringstream/internal/core/streamorigin"
)

// Guards against streams over two versions when all nodes start again after the last engines of a
// version left: each took the answer of another one that had just started for complete evidence.
func TestNodesThatHaveJustStartedAreNoEvidence(t *testing.T) {
	runInBubble(t, func(t *testing.T, ctx context.Context) {
		n := newNetwork(ctx, 3, "v2")
		n.forgetServed()
		for _, node := range n.nodes {
			if found, elapsed, err := node.find(ctx, "r"); !errors.Is(err, ErrNotFound) || elapsed > lookupTimeout+answerTimeout {
				t.Errorf("%s: got %q, %v after %v", node.name, found, err, elapsed)
			}
		}
	})
}

// A version that has left counts at nodes that started after that.
func TestVersionKeptInTheStoreCounts(t *testing.T) {
	runInBubble(t, func(t *testing.T, ctx context.Context) {
		n := newNetwork(ctx, 3, "v2")
		n.keepServed("v1", "v2")
		if found, _, err := n.nodes["n1"].find(ctx, "r"); !errors.Is(err, ErrNotFound) {
			t.Errorf("got %q, %v", found, err)
		}
	})
}

// Guards against a node that has not read the versions kept in the store and goes by the answer of
// another one. Earlier builds answer when they have just started, too.
func TestAnswerOfAnotherNodeDoesNotStandForTheKeptVersions(t *testing.T) {
	runInBubble(t, func(t *testing.T, ctx context.Context) {
		n := newNetwork(ctx, 4, "v2")
		n.nodes["n1"].served.Store(nil)
		if found, _, err := n.nodes["n1"].find(ctx, "r"); !errors.Is(err, ErrNotFound) {
			t.Errorf("got %q, %v", found, err)
		}
		n.nodes["n1"].served.Store(&[]string{"v2"})
		if found, _, err := n.nodes["n1"].find(ctx, "r"); err != nil || found != "v2" {
			t.Errorf("once they are read: got %q, %v", found, err)
		}
	})
}

// The versions that another node has read from the store count at once.
func TestVersionsThatAnotherNodeReadCount(t *testing.T) {
	runInBubble(t, func(t *testing.T, ctx context.Context) {
		n := newNetwork(ctx, 4, "v2")
		n.nodes["n2"].served.Store(&[]string{"v1", "v2"})
		if found, _, err := n.nodes["n3"].find(ctx, "r"); !errors.Is(err, ErrNotFound) {
			t.Errorf("got %q, %v", found, err)
		}
	})
}

// A record decides, whatever the node that has it knows of the versions.
func TestNodeThatHasJustStartedTellsItsRecords(t *testing.T) {
	runInBubble(t, func(t *testing.T, ctx context.Context) {
		n := newNetwork(ctx, 3, "v2")
		n.forgetServed()
		n.nodes["n0"].Began(pool, "r", "v2")
		if found, _, err := n.nodes["n1"].find(ctx, "r"); err != nil || found != "v2" {
			t.Errorf("got %q, %v", found, err)
		}
	})
}

// Guards against evidence from before the versions were read that counts as complete once they are.
func TestVersionsReadDuringALookupCount(t *testing.T) {
	runInBubble(t, func(t *testing.T, ctx context.Context) {
		n := newNetwork(ctx, 1, "v2")
		n.forgetServed()
		node := n.nodes["n0"]
		node.listsPeers.Store(false)
		node.Seeds = func() []string { return nil }
		time.AfterFunc(answerTimeout/2, func() {
			node.served.Store(&[]string{"v1"})
			node.listsPeers.Store(true)
		})
		if found, _, err := node.find(ctx, "r"); !errors.Is(err, ErrNotFound) {
			t.Errorf("got %q, %v", found, err)
		}
	})
}

// Guards against refusals by a node that accepts clients some moments before it has read the versions kept in
// the store.
func TestNodeThatHasJustStartedWaitsForTheKeptVersions(t *testing.T) {
	runInBubble(t, func(t *testing.T, ctx context.Context) {
		for _, nodes := range []int{1, 3} {
			n := newNetwork(ctx, nodes, "v2")
			node := n.nodes["n0"]
			node.Seeds = func() []string { return nil }
			node.served.Store(nil)
			time.AfterFunc(lookupTimeout/2, func() { n.keepServed("v2") })
			if found, elapsed, err := node.find(ctx, "r"); err != nil || found != "v2" || elapsed > lookupTimeout {
				t.Errorf("%d nodes: got %q, %v after %v", nodes, found, err, elapsed)
			}
		}
	})
}

// A node that has listed the engines for as long as a stream lasts needs no row of the store.
func TestNodeThatHasRunForLongNeedsNoKeptVersions(t *testing.T) {
	runInBubble(t, func(t *testing.T, ctx context.Context) {
		n := newNetwork(ctx, 3, "v2")
		n.forgetServed()
		time.Sleep(streamorigin.Retention)
		if found, _, err := n.nodes["n1"].find(ctx, "r"); err != nil || found != "v2" {
			t.Errorf("got %q, %v", found, err)
		}
	})
}

// Guards against a survivor that refuses all streams for a minute after its start, because it asks nodes
// that have ended and are not known to be dead. It relies on the versions kept in the store while its
// list of engines is fresh.
func TestNodeThatNobodyAnswersReliesOnTheKeptVersions(t *testing.T) {
	runInBubble(t, func(t *testing.T, ctx context.Context) {
		n := newNetwork(ctx, 3, "v2")
		n.setSilent("n1", true)
		node := n.nodes["n1"]
		node.served.Store(&[]string{"v2"})
		if found, elapsed, err := node.find(ctx, "r"); err != nil || found != "v2" || elapsed > lookupTimeout {
			t.Errorf("one version: got %q, %v after %v", found, err, elapsed)
		}
		node.served.Store(&[]string{"v1", "v2"})
		if found, _, err := node.find(ctx, "another"); !errors.Is(err, ErrNotFound) {
			t.Errorf("two versions: got %q, %v", found, err)
		}
		node.served.Store(&[]string{"v2"})
		node.enginesAge = 2 * maxEnginesAge
		if found, _, err := node.find(ctx, "a third"); !errors.Is(err, ErrNotFound) {
			t.Errorf("with an old list: got %q, %v", found, err)
		}
	})
}

// Guards against streams over two versions at a node that was cut off from the store while another version came,
// and that only another such node answers.
func TestVersionsReadLongAgoAreNoEvidence(t *testing.T) {
	runInBubble(t, func(t *testing.T, ctx context.Context) {
		n := newNetwork(ctx, 3, "v1")
		n.keepServed("v1")
		time.Sleep(streamorigin.Retention)
		n.nodes["n0"].enginesAge, n.nodes["n1"].enginesAge = time.Hour, time.Hour
		n.nodes["n2"].list("v2")
		n.nodes["n2"].served.Store(&[]string{"v1", "v2"})
		n.setSilent("n2", true)
		if found, _, err := n.nodes["n1"].find(ctx, "r"); !errors.Is(err, ErrNotFound) {
			t.Errorf("got %q, %v, want ErrNotFound", found, err)
		}
	})
}
