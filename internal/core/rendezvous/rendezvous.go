// Package rendezvous ranks nodes for a key by highest random weight, so that
// every node computes the same owner from the same member list, and the loss
// of a member moves only the keys that it owned.
package rendezvous

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"ringstream.example/ringstream/internal/core/identity"
)

// Score returns the weight of a node for a key. The node with the highest weight owns the
// key.
func Score(key string, node identity.NodeID) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(key) // xxhash writes never fail
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(string(node))
	return digest.Sum64()
}

// Owner returns the node that owns the key. It returns false if there are no nodes.
func Owner(key string, nodes []identity.NodeID) (identity.NodeID, bool) {
	var best identity.NodeID
	var bestScore uint64
	found := false
	for _, node := range nodes {
		score := Score(key, node)
		if !found || score > bestScore || (score == bestScore && node < best) {
			best, bestScore, found = node, score, true
		}
	}
	return best, found
}

// Top returns up to count nodes with the highest weights for the key, best first.
func Top(key string, nodes []identity.NodeID, count int) []identity.NodeID {
	type scored struct {
		node  identity.NodeID
		score uint64
	}
	ranked := make([]scored, len(nodes))
	for i, node := range nodes {
		ranked[i] = scored{node: node, score: Score(key, node)}
	}
	slices.SortFunc(ranked, func(a, b scored) int {
		switch {
		case a.score > b.score:
			return -1
		case a.score < b.score:
			return 1
		case a.node < b.node:
			return -1
		default:
			return 1
		}
	})
	count = min(count, len(ranked))
	top := make([]identity.NodeID, count)
	for i := range top {
		top[i] = ranked[i].node
	}
	return top
}
