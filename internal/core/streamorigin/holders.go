package streamorigin

import (
	"cmp"
	"encoding/hex"
	"slices"

	"ringstream.example/ringstream/internal/core/identity"
	"ringstream.example/ringstream/internal/core/rendezvous"
)

// Node is a node that may hold records.
type Node struct {
	Address string // IP:port on which it receives messages of other nodes
	Zone    string
}

// Holders is the number of nodes that are told of each origin. With the node that began the stream,
// three know it. A record is lost if all of them end at once.
const Holders = 2

// maxAsked is the number of nodes that are asked for a record. It is more than Holders, since nodes
// rank by lists that differ while nodes come and go.
const maxAsked = 16

// HoldersOf returns the addresses of the nodes that are told of a stream's origin: those that rank
// first, in different zones if there are several.
func HoldersOf(key Key, nodes []Node) []string {
	ranked := rank(key, nodes)
	if len(ranked) == 0 {
		return nil
	}
	second := slices.IndexFunc(ranked, func(node Node) bool { return node.Zone != ranked[0].Zone })
	if second > 1 {
		ranked[1], ranked[second] = ranked[second], ranked[1]
	}
	return addressesOf(ranked[:min(Holders, len(ranked))])
}

// AskedFor returns the addresses of the nodes that are asked for a stream's origin, likeliest first.
func AskedFor(key Key, nodes []Node) []string {
	ranked := rank(key, nodes)
	return addressesOf(ranked[:min(maxAsked, len(ranked))])
}

// rank orders nodes by rendezvous hashing. All nodes that know the same nodes get the same order.
func rank(key Key, nodes []Node) []Node {
	type scored struct {
		Node
		score uint64
	}
	text := hex.EncodeToString(key[:])
	list := make([]scored, 0, len(nodes))
	for _, node := range nodes {
		list = append(list, scored{Node: node, score: rendezvous.Score(text, identity.NodeID(node.Address))})
	}
	slices.SortFunc(list, func(a, b scored) int { return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.Address, b.Address)) })
	ranked := make([]Node, 0, len(list))
	for _, node := range list {
		ranked = append(ranked, node.Node)
	}
	return ranked
}

func addressesOf(nodes []Node) []string {
	addresses := make([]string, 0, len(nodes))
	for _, node := range nodes {
		addresses = append(addresses, node.Address)
	}
	return addresses
}
