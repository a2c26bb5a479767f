package edge

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"go.uber.org/zap"

	"ringstream.example/ringstream/internal/core/enginechoice"
	"ringstream.example/ringstream/internal/core/loadsum"
	"ringstream.example/ringstream/internal/events"
	"ringstream.example/ringstream/internal/passthrough"
	"ringstream.example/ringstream/internal/peer/sharing"
)

// sharer is the node as package sharing sees it.
type sharer struct{ node *Node }

var _ sharing.Local = (*sharer)(nil)

// blindAfter is how long the store may be silent before peers are asked.
const blindAfter = 1300 * time.Millisecond

// Loads implements sharing.Local.
func (s *sharer) Loads() map[string]enginechoice.Counts {
	var counts map[string]enginechoice.Counts
	s.node.engines.Use(func(set *enginechoice.Set, _ time.Time) { counts = set.Own() })
	return counts
}

// Engines implements sharing.Local.
func (s *sharer) Engines() []string {
	var ids []string
	s.node.engines.Use(func(set *enginechoice.Set, _ time.Time) { ids = set.Known() })
	return ids
}

// Told implements sharing.Local.
func (s *sharer) Told(counts map[string]enginechoice.Counts, preemptible map[string]int, backlogs []loadsum.Backlog) {
	s.node.batch.Contend(backlogs)
	s.node.engines.Use(func(set *enginechoice.Set, _ time.Time) { set.SetRemote(counts, preemptible) })
}

// Preempt implements sharing.Local.
func (s *sharer) Preempt(engine uint32, from string) {
	for _, id := range s.Engines() {
		if loadsum.EngineHash(id) == engine {
			s.node.batch.YieldTo(id, from)
			return
		}
	}
	events.NothingToPreempt.Log(s.node.logger, zap.String("engine", "unknown, hash "+strconv.FormatUint(uint64(engine), 16)), zap.String("peer", from))
}

// makeRoom has one batch request at a full engine stopped for a request: one of
// this node's, else one of another node's.
func (n *Node) makeRoom(engine, request string) {
	if n.batch.Yield(engine, 1) > 0 || n.share == nil {
		return
	}
	if n.share.Preempt(engine, request) {
		n.engines.Use(func(set *enginechoice.Set, _ time.Time) { set.RemotePreempted(engine) })
	}
}

// Backlog implements sharing.Local.
func (s *sharer) Backlog() int { return s.node.batch.Backlog() }

// Peers implements sharing.Local: the nodes that the store tells of.
func (s *sharer) Peers() []loadsum.Peer { return s.node.batch.Peers() }

// Seeds implements sharing.Local.
func (s *sharer) Seeds() []string {
	return slices.DeleteFunc(slices.Clone(s.node.config.Seeds), func(seed string) bool { return seed == s.node.config.PeerAddress })
}

// Blind implements sharing.Local.
func (s *sharer) Blind() bool {
	now := time.Now()
	return now.Sub(s.node.routesFollower.Health().LastGood) > blindAfter || now.Sub(s.node.engineFollower.Health().LastGood) > blindAfter
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
	health := s.node.routesFollower.Health()
	documents := sharing.Documents{Rows: s.node.engines.Since(question.RowsSince), Age: time.Since(health.LastGood)}
	document, version := s.node.routes.Document()
	documents.RoutesVersion = version
	if version > question.RoutesVersion {
		documents.Routes = document
	}
	return documents
}

// Learn implements sharing.Local.
func (s *sharer) Learn(documents sharing.Documents, from string) {
	if documents.Routes == nil && len(documents.Rows) == 0 {
		return
	}
	events.PeerTold.Log(s.node.logger, zap.String("peer", from), zap.Int64("routes_version", documents.RoutesVersion), zap.Int("rows", len(documents.Rows)), zap.Duration("age", documents.Age))
	if documents.Routes != nil {
		s.node.routes.Take(documents.Routes, "peer "+from)
	}
	if len(documents.Rows) > 0 {
		slices.SortFunc(documents.Rows, func(a, b passthrough.Row) int { return cmp.Compare(a.Version, b.Version) })
		s.node.engines.Change(documents.Rows)
	}
}

// storePeers are the other nodes as package peerstore sees them.
type storePeers struct {
	*sharing.Share
	local *sharer
}

// Addresses implements peerstore.Peers: by chance, nodes of the own zone first,
// which are reached more cheaply and when zones are cut from each other.
func (p storePeers) Addresses() []string {
	peers := p.local.Peers()
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
