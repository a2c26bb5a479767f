package edge

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"go.uber.org/zap"

	"ringstream.example/ringstream/internal/core/grant"
	"ringstream.example/ringstream/internal/core/streamorigin"
	"ringstream.example/ringstream/internal/events"
	"ringstream.example/ringstream/internal/passthrough"
	"ringstream.example/ringstream/internal/peer/sharing"
)

// sharer implements sharing.Local for a node.
type sharer struct{ node *Node }

var _ sharing.Local = (*sharer)(nil)

// storeSilenceTimeout is the time without an answer from the store after which peers are asked.
const storeSilenceTimeout = 1300 * time.Millisecond

// Peers implements sharing.Local. It returns the nodes that the store lists.
func (s *sharer) Peers() []string { return s.node.peerAddresses() }

// peerAddresses returns the addresses of the other nodes that may be alive.
func (n *Node) peerAddresses() []string {
	var addresses []string
	for _, peer := range n.batch.Peers() {
		addresses = append(addresses, peer.Address)
	}
	return addresses
}

// originPeers returns the other nodes that may be alive.
func (n *Node) originPeers() []streamorigin.Node {
	peers := n.batch.Peers()
	nodes := make([]streamorigin.Node, 0, len(peers))
	for _, peer := range peers {
		nodes = append(nodes, streamorigin.Node{Address: peer.Address, Zone: peer.Zone})
	}
	return nodes
}

// Seeds implements sharing.Local.
func (s *sharer) Seeds() []string { return s.node.seeds() }

// seeds returns the addresses of the other nodes that the settings name.
func (n *Node) seeds() []string {
	return slices.DeleteFunc(slices.Clone(n.config.Seeds), func(seed string) bool { return seed == n.config.PeerAddress })
}

// candidateList is a list of candidates with the inputs that it was built from.
type candidateList struct {
	peers      []grant.Candidate
	leaving    bool
	candidates []grant.Candidate
}

// candidates returns the nodes that may be dispatchers of lanes of engines. It returns the same
// slice as long as the inputs have not changed.
func (n *Node) candidates() []grant.Candidate {
	peers, leaving := n.batch.Peers(), n.leaving.Load()
	cached := n.candidateList.Load()
	if cached != nil && cached.leaving == leaving && slices.Equal(cached.peers, peers) {
		return cached.candidates
	}
	next := &candidateList{peers: peers, leaving: leaving, candidates: slices.Clone(peers)}
	if !leaving {
		next.candidates = append(next.candidates, grant.Candidate{Address: n.peerName(), Zone: n.identity.Zone, Capacity: n.config.Capacity})
	}
	n.candidateList.Store(next)
	return next.candidates
}

// peerName returns the name by which peers know this node.
func (n *Node) peerName() string {
	if n.config.PeerAddress == "" {
		return n.incarnation
	}
	return n.config.PeerAddress
}

// Suspensions implements sharing.Local.
func (s *sharer) Suspensions() uint64 { return s.node.watch.Count() }

// StoreUnreachable implements sharing.Local.
func (s *sharer) StoreUnreachable() bool {
	now := time.Now()
	return now.Sub(s.node.routesFollower.Health().AsOf) > storeSilenceTimeout || now.Sub(s.node.engineFollower.Health().AsOf) > storeSilenceTimeout
}

// CallStore implements sharing.Local.
func (s *sharer) CallStore(ctx context.Context, call sharing.StoreCall) sharing.StoreAnswer {
	return s.node.store.CallFor(ctx, call)
}

// Question implements sharing.Local.
func (s *sharer) Question() sharing.Question {
	_, version := s.node.routes.Document()
	return sharing.Question{RoutesVersion: version, RowsSince: s.node.engines.Newest()}
}

// Answer implements sharing.Local.
func (s *sharer) Answer(question sharing.Question) sharing.Documents {
	suspensions := s.Suspensions()
	known := s.node.routes.Known()
	documents := sharing.Documents{Rows: s.node.engines.Since(question.RowsSince)}
	if known.Table != nil {
		documents.RoutesVersion = known.Table.Version()
	}
	if documents.RoutesVersion > question.RoutesVersion {
		documents.Routes = known.Document
	}
	documents.Age = time.Since(known.AsOf)
	documents.Stale = s.Suspensions() != suspensions
	return documents
}

// ApplyDocuments implements sharing.Local.
func (s *sharer) ApplyDocuments(documents sharing.Documents, from string, asked time.Time) {
	if !documents.Stale {
		defer s.node.routes.Confirm(documents.RoutesVersion, asked.Add(-documents.Age))
	}
	if documents.Routes == nil && len(documents.Rows) == 0 {
		return
	}
	events.PeerDocumentsApplied.Log(s.node.logger, zap.String("peer", from), zap.Int64("routes_version", documents.RoutesVersion), zap.Int("rows", len(documents.Rows)), zap.Duration("age", documents.Age))
	if documents.Routes != nil {
		s.node.routes.Take(documents.Routes, "peer "+from)
	}
	if len(documents.Rows) > 0 {
		slices.SortFunc(documents.Rows, func(a, b passthrough.Row) int { return cmp.Compare(a.Version, b.Version) })
		s.node.engines.Learn(documents.Rows)
	}
}

// storePeers implements peerstore.Peers with the other nodes.
type storePeers struct {
	*sharing.Share
	local *sharer
}

// Addresses implements peerstore.Peers. The order is random, with the nodes of the own zone first,
// since they are cheaper to reach and stay reachable when zones are partitioned from each other.
func (p storePeers) Addresses() []string {
	peers := slices.Clone(p.local.node.batch.Peers())
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	var addresses, others []string
	for _, peer := range peers {
		if peer.Zone == p.local.node.identity.Zone {
			addresses = append(addresses, peer.Address)
		} else {
			others = append(others, peer.Address)
		}
	}
	addresses = append(addresses, others...)
	if len(addresses) == 0 {
		return p.local.Seeds()
	}
	return addresses
}
