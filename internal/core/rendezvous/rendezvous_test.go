package rendezvous

import (
	"cmp"
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"ringstream.example/ringstream/internal/core/identity"
)

// scoreOfThisBuild is the weight of the node "node" for the key "key".
const scoreOfThisBuild uint64 = 3321720653439110261

// drawNodes draws different nodes.
func drawNodes(t *rapid.T) []identity.NodeID {
	names := rapid.SliceOfNDistinct(rapid.IntRange(0, 1000), 0, 20, rapid.ID[int]).Draw(t, "nodes")
	nodes := make([]identity.NodeID, 0, len(names))
	for _, name := range names {
		nodes = append(nodes, identity.NodeID(fmt.Sprint("n", name)))
	}
	return nodes
}

// naiveRanking ranks nodes by their scores, and by name where these are equal.
func naiveRanking(key string, nodes []identity.NodeID) []identity.NodeID {
	return slices.SortedFunc(slices.Values(nodes), func(a, b identity.NodeID) int {
		return cmp.Or(cmp.Compare(Score(key, b), Score(key, a)), cmp.Compare(a, b))
	})
}

// TestRankingAgainstASort guards against owners that depend on the order in which a node knows the others.
func TestRankingAgainstASort(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		key, nodes := rapid.String().Draw(t, "key"), drawNodes(t)
		count := rapid.IntRange(0, 25).Draw(t, "count")
		want := naiveRanking(key, nodes)
		top := Top(key, nodes, count)
		if !slices.Equal(top, want[:min(count, len(want))]) {
			t.Fatalf("the first %d are %v, want those of %v", count, top, want)
		}
		owner, found := Owner(key, nodes)
		if found != (len(nodes) > 0) || (found && owner != want[0]) {
			t.Fatalf("owner %q, found %t, want the first of %v", owner, found, want)
		}
	})
}

// TestLossOfANodeMovesOnlyItsKeys guards against keys that change their owner though it is still there.
func TestLossOfANodeMovesOnlyItsKeys(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		key, nodes := rapid.String().Draw(t, "key"), drawNodes(t)
		if len(nodes) < 2 {
			return
		}
		lost := rapid.IntRange(0, len(nodes)-1).Draw(t, "lost")
		before, _ := Owner(key, nodes)
		after, _ := Owner(key, slices.Delete(slices.Clone(nodes), lost, lost+1))
		if before != nodes[lost] && after != before {
			t.Fatalf("the key moved from %s to %s when %s was lost", before, after, nodes[lost])
		}
	})
}

// TestScoreIsKept guards against a change of the weights. Nodes of two builds would disagree on the owners of keys.
func TestScoreIsKept(t *testing.T) {
	if got := Score("key", "node"); got != scoreOfThisBuild {
		t.Errorf("got %d, want %d", got, scoreOfThisBuild)
	}
	if Score("ab", "c") == Score("a", "bc") {
		t.Error("a key and a node are not parted")
	}
}
