package batch

import (
	"time"

	"ringstream.example/ringstream/internal/core/grant"
	"ringstream.example/ringstream/internal/core/identity"
	"ringstream.example/ringstream/internal/core/rendezvous"
)

// fleetSnapshot is this node's view of the fleet at one time. It is immutable.
type fleetSnapshot struct {
	live map[string]bool
	// eligible holds the live nodes that can own jobs, including this node.
	eligible []identity.NodeID
	// dead holds the reason why a node is considered dead, for the log.
	dead map[string]string
	// peers are the other live nodes that have a peer address and are not leaving.
	peers []grant.Candidate
	// members holds the incarnation ids of all nodes with a heartbeat row, including dead nodes.
	members []string
	// allWatched is true if all live nodes are watched by others. Otherwise nodes are judged by the
	// times of their heartbeat rows.
	allWatched bool
	generation uint64 // of the nodes in the view that it was made from
}

// LiveNodes returns the number of nodes considered alive, including this node and nodes that are
// leaving.
func (s *Service) LiveNodes() int { return len(s.recentFleet().live) }

// Peers returns the other nodes that are considered alive and are not leaving.
func (s *Service) Peers() []grant.Candidate { return s.recentFleet().peers }

// recentFleet returns a snapshot of the fleet that is at most fleetMaxAge old.
func (s *Service) recentFleet() fleetSnapshot {
	now := time.Now()
	s.mu.Lock()
	recent, at := s.fleetCache, s.fleetCachedAt
	s.mu.Unlock()
	if now.Sub(at) < fleetMaxAge {
		return recent
	}
	return s.currentFleet(now)
}

// fleetMaxAge is how long a snapshot of the fleet is reused.
const fleetMaxAge = 100 * time.Millisecond

// currentFleet returns a snapshot of the fleet at the given time. The state of watched nodes
// changes with their rows only, so that a call takes 0.2 us where assessing 1,000 nodes takes 0.57
// ms (BenchmarkCurrentFleet).
func (s *Service) currentFleet(now time.Time) fleetSnapshot {
	generation := s.view.nodesGeneration()
	if seen, valid := s.cachedFleet(generation, now); valid {
		return seen
	}
	seen := s.assessNodes(now)
	seen.generation = generation
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fleetCache, s.fleetCachedAt = seen, now
	return seen
}

// cachedFleet returns the last snapshot of the fleet, and whether it is still valid. A snapshot in
// which all nodes are watched is valid until their rows change.
func (s *Service) cachedFleet(generation uint64, now time.Time) (fleet fleetSnapshot, valid bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	valid = s.fleetCache.allWatched && s.fleetCache.generation == generation
	if valid {
		s.fleetCachedAt = now
	}
	return s.fleetCache, valid
}

// assessNodes determines which nodes are alive. A node is dead if its machine has started a newer
// incarnation. A watched node is dead once its watchers have removed its heartbeat row. While there
// are nodes that are not watched, such as those of an older build, all nodes are judged by the
// times of their heartbeat rows.
func (s *Service) assessNodes(now time.Time) fleetSnapshot {
	detector := s.detectSilence(now)
	s.view.mu.Lock()
	defer s.view.mu.Unlock()
	newest := make(map[string]int64, len(s.view.nodes))
	for _, node := range s.view.nodes {
		newest[node.heartbeat.Name] = max(newest[node.heartbeat.Name], node.heartbeat.Started)
	}
	fleet := fleetSnapshot{live: map[string]bool{s.Self: true}, eligible: []identity.NodeID{identity.NodeID(s.Self)}, dead: make(map[string]string)}
	fleet.allWatched = s.canBeWatched() && !s.anyUnwatched(newest, detector)
	for id := range s.view.removedNodes {
		fleet.dead[id] = "its watchers have removed it"
	}
	for id, node := range s.view.nodes {
		fleet.members = append(fleet.members, id)
		switch {
		case id == s.Self:
		case node.heartbeat.Started < newest[node.heartbeat.Name]:
			fleet.dead[id] = "its machine has started anew"
		case !fleet.allWatched && detector.isSilent(node):
			fleet.dead[id] = "no sign of life"
		default:
			fleet.add(id, node)
		}
	}
	return fleet
}

// add records a node as alive.
func (f *fleetSnapshot) add(id string, node *nodeView) {
	f.live[id] = true
	if node.heartbeat.Leaving {
		return
	}
	f.eligible = append(f.eligible, identity.NodeID(id))
	if node.heartbeat.Peer != "" {
		f.peers = append(f.peers, grant.Candidate{Address: node.heartbeat.Peer, Zone: node.heartbeat.Zone, Capacity: node.heartbeat.Capacity})
	}
}

// anyUnwatched reports whether a node that may be alive is not watched by others. The caller holds
// view.mu.
func (s *Service) anyUnwatched(newest map[string]int64, detector silenceDetector) bool {
	for id, node := range s.view.nodes {
		if id != s.Self && !node.heartbeat.Watched && node.heartbeat.Started == newest[node.heartbeat.Name] && !detector.isSilent(node) {
			return true
		}
	}
	return false
}

// silenceDetector detects silent nodes by the heartbeat rows in the store.
type silenceDetector struct {
	trusted       bool      // the feed is current, and this node's own heartbeat rows are accepted and returned by it
	lastHeartbeat time.Time // when the feed last returned a heartbeat row of any node
	nodeTimeout   time.Duration
	// countsFrom is the earliest time from which silence counts, because watched nodes do not write
	// heartbeat rows regularly.
	countsFrom time.Time
}

// detectSilence returns a detector for the given time. A node is silent if the feed returned no
// heartbeat row of it for DeadAfter while the feed was current, the store accepted this node's own
// rows all that time and the feed returned them. These conditions rule out a store that accepts no
// writes and a feed that sends nothing, which would make all nodes look silent. For the same reason
// silence is measured up to the last heartbeat row that the feed returned, of whichever node.
func (s *Service) detectSilence(now time.Time) silenceDetector {
	health := s.follower.Health()
	heartbeat, deadAfter := s.heartbeatInterval(), s.nodeTimeout()
	s.mu.Lock()
	heartbeatFailedAt, heartbeatWrittenAt, lastAllWatched := s.heartbeatFailedAt, s.heartbeatWrittenAt, s.lastAllWatched
	s.mu.Unlock()
	stable := now.Sub(health.LastFailure) > deadAfter && now.Sub(heartbeatFailedAt) > deadAfter && now.Sub(s.started) > deadAfter
	s.view.mu.Lock()
	defer s.view.mu.Unlock()
	ownNode := s.view.nodes[s.Self]
	reachable := !health.AsOf.IsZero() && now.Sub(health.AsOf) < s.config.Heartbeat+deadAfter/2
	writable := now.Before(heartbeatWrittenAt.Add(heartbeat + deadAfter/2))
	reported := ownNode != nil && now.Sub(ownNode.changedAt) < heartbeat+deadAfter/2
	return silenceDetector{trusted: stable && reachable && writable && reported, lastHeartbeat: s.view.newestHeartbeat(), nodeTimeout: deadAfter, countsFrom: lastAllWatched}
}

// isSilent reports whether a node is silent.
func (s silenceDetector) isSilent(node *nodeView) bool {
	changedAt := node.changedAt
	if s.countsFrom.After(changedAt) {
		changedAt = s.countsFrom
	}
	return s.trusted && s.lastHeartbeat.Sub(changedAt) > time.Duration(float64(s.nodeTimeout)*max(node.heartbeat.Slowness, 1))
}

// rank returns a node's rank among the nodes that may claim a job; 0 is the first.
func (f fleetSnapshot) rank(job, self string) int {
	own := rendezvous.Score(job, identity.NodeID(self))
	rank := 0
	for _, node := range f.eligible {
		if rendezvous.Score(job, node) > own {
			rank++
		}
	}
	return rank
}
