package grant

import (
	"cmp"
	"fmt"
	"slices"

	"ringstream.example/ringstream/internal/core/identity"
	"ringstream.example/ringstream/internal/core/rendezvous"
)

// Candidate is a node that may be a dispatcher.
type Candidate struct {
	Address string // IP:port on which it receives messages of other nodes
	Zone    string
	// Capacity is the capacity of its machine in processor cores.
	Capacity float64
}

// maxDispatchers is the number of dispatcher candidates that a node knows for a lane.
// Each one that does not reply costs two reply timeouts.
const maxDispatchers = 4

// minCapacityShare is the minimum capacity of a dispatcher, as a share of the largest
// machine's. A small machine replies late under the load of a large fleet.
const minCapacityShare = 0.5

// Rank returns the addresses of the nodes that may be a lane's dispatcher, best first.
// All nodes that know the same candidates compute the same list, and the loss of a node
// moves only the lanes that it served.
func Rank(lane Lane, candidates []Candidate) []string {
	largest := 0.0
	for _, candidate := range candidates {
		largest = max(largest, candidate.Capacity)
	}
	type scored struct {
		address string
		score   uint64
	}
	key := fmt.Sprintf("%s/%d/%d", lane.Pool, lane.Parts, lane.Part)
	var list []scored
	for _, candidate := range candidates {
		if candidate.Capacity >= minCapacityShare*largest {
			list = append(list, scored{address: candidate.Address, score: rendezvous.Score(key, identity.NodeID(candidate.Address))})
		}
	}
	slices.SortFunc(list, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.address, b.address))
	})
	addresses := make([]string, 0, maxDispatchers)
	for _, candidate := range list[:min(maxDispatchers, len(list))] {
		addresses = append(addresses, candidate.address)
	}
	return addresses
}
