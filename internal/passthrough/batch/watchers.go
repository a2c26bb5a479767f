package batch

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"ringstream.example/ringstream/internal/core/liveness"
	"ringstream.example/ringstream/internal/events"
	"ringstream.example/ringstream/internal/passthrough"
)

// LivenessTransport sends datagrams to other nodes. Datagrams may be lost.
type LivenessTransport interface {
	SendLiveness(to string, message liveness.Message)
}

// livenessState is the state of the failure detector for watched nodes.
type livenessState struct {
	transport LivenessTransport // nil: other nodes do not watch this one
	removals  chan struct{}     // holds one token for each removal in flight

	mu         sync.Mutex // guards the fields below; must not be locked while another lock is held
	detector   *liveness.Watch
	generation uint64          // of the nodes that the detector knows
	removing   map[string]bool // nodes whose removal is in flight
	// suspected holds the version of the suspicion row, by node that has not refuted it.
	suspected  map[string]int64
	suspecting bool // a suspicion row is being written
}

// newLivenessState returns the state of a node that has started.
func newLivenessState(config Config, self string) livenessState {
	return livenessState{
		detector: liveness.New(config.liveness(), self, time.Now()), removing: make(map[string]bool), suspected: make(map[string]int64),
		removals: make(chan struct{}, maxRemovals),
	}
}

// maxRemovals bounds the removals of nodes that are in flight.
const maxRemovals = 16

// UseTransport sets the transport for liveness messages. It must be called before Run.
func (s *Service) UseTransport(transport LivenessTransport) { s.nodeLiveness.transport = transport }

// canBeWatched reports whether other nodes can watch this one.
func (s *Service) canBeWatched() bool { return s.nodeLiveness.transport != nil && s.Peer != "" }

// ticksPerHeartbeat is the number of checks for silent nodes per heartbeat message.
const ticksPerHeartbeat = 2

// watchNodes sends heartbeat messages, and removes nodes that have become silent, until ctx ends.
func (s *Service) watchNodes(ctx context.Context) error {
	if !s.canBeWatched() {
		<-ctx.Done()
		return nil
	}
	every := s.config.liveness().HeartbeatEvery / ticksPerHeartbeat
	ticker := time.NewTicker(every)
	defer ticker.Stop()
	for count := 0; ; count++ {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		s.suspensionWatch.Check()
		s.livenessTick(ctx, time.Now(), count%ticksPerHeartbeat == 0)
	}
}

// outgoingMessage is a liveness message to a node.
type outgoingMessage struct {
	to      string // the node's incarnation id
	message liveness.Message
}

// livenessTick runs the detector at the given time. It sends heartbeat messages if beat is true.
func (s *Service) livenessTick(ctx context.Context, now time.Time, beat bool) {
	fleet := s.currentFleet(now)
	if fleet.allWatched {
		s.mu.Lock()
		s.lastAllWatched = now
		s.mu.Unlock()
	}
	asOf := s.follower.Health().AsOf
	var sends []outgoingMessage
	s.nodeLiveness.mu.Lock()
	detector := s.nodeLiveness.detector
	if s.nodeLiveness.generation != fleet.generation {
		s.nodeLiveness.generation = fleet.generation
		detector.SetMembers(fleet.members, now)
	}
	detector.RecordContact(asOf)
	s.recordRefutations(now)
	if beat {
		for _, watcher := range detector.Watchers() {
			sends = append(sends, outgoingMessage{to: watcher, message: liveness.Message{Kind: liveness.Heartbeat, From: s.Self}})
		}
	}
	findings := detector.Tick(now)
	s.nodeLiveness.mu.Unlock()
	for _, suspicion := range findings.Suspicions {
		events.NodeSuspected.Log(s.Logger, zap.String("peer", suspicion.ID), zap.Strings("asked", suspicion.Others))
		for _, other := range suspicion.Others {
			sends = append(sends, outgoingMessage{to: other, message: liveness.Message{Kind: liveness.Question, From: s.Self, Node: suspicion.ID}})
		}
	}
	for _, id := range findings.Pings {
		sends = append(sends, outgoingMessage{to: id, message: liveness.Message{Kind: liveness.Question, From: s.Self, Node: id}})
	}
	s.sendAll(sends)
	if !fleet.allWatched || s.stale() {
		return // dead nodes are detected by heartbeat rows, or the copy is stale
	}
	s.suspect(ctx, findings.Unreachable)
	for _, id := range findings.Dead {
		s.removeDead(ctx, id)
	}
}

// sendAll sends messages to the addresses in the nodes' heartbeat rows.
func (s *Service) sendAll(sends []outgoingMessage) {
	for _, send := range sends {
		s.view.mu.Lock()
		node := s.view.nodes[send.to]
		s.view.mu.Unlock()
		if node != nil && node.heartbeat.Watched && node.heartbeat.Peer != "" {
			s.nodeLiveness.transport.SendLiveness(node.heartbeat.Peer, send.message)
		}
	}
}

// HandleLiveness handles a liveness message from another node.
func (s *Service) HandleLiveness(from string, message liveness.Message) {
	now := time.Now()
	s.nodeLiveness.mu.Lock()
	defer s.nodeLiveness.mu.Unlock()
	watch := s.nodeLiveness.detector
	switch message.Kind {
	case liveness.Heartbeat:
		watch.RecordHeartbeat(message.From, now)
	case liveness.Voucher:
		watch.Vouch(message.Node, message.Ago, now)
	case liveness.Question:
		watch.RecordContact(now)
		if message.Node == s.Self {
			go s.nodeLiveness.transport.SendLiveness(from, liveness.Message{Kind: liveness.Voucher, From: s.Self, Node: s.Self})
			return
		}
		if ago, heard := watch.HeartbeatAge(message.Node, now); heard {
			go s.nodeLiveness.transport.SendLiveness(from, liveness.Message{Kind: liveness.Voucher, From: s.Self, Node: message.Node, Ago: ago})
		}
	}
}

// removeDead removes the heartbeat row of a node that its watchers consider dead, unless the node
// has written another row meanwhile.
func (s *Service) removeDead(ctx context.Context, id string) {
	s.view.mu.Lock()
	node := s.view.nodes[id]
	s.view.mu.Unlock()
	s.nodeLiveness.mu.Lock()
	defer s.nodeLiveness.mu.Unlock()
	if node == nil || s.nodeLiveness.removing[id] {
		return
	}
	s.nodeLiveness.removing[id] = true
	go func() {
		s.nodeLiveness.removals <- struct{}{}
		defer func() { <-s.nodeLiveness.removals }()
		result, err := s.commit(ctx, passthrough.Transaction{
			Expected: []passthrough.Expectation{{Table: tableJobs, Part: partNodes, Key: id, Version: node.version}},
			Remove:   []passthrough.Row{{Table: tableJobs, Part: partNodes, Key: id}},
		})
		events.NodeRemoved.Log(s.Logger, zap.String("peer", id), zap.Bool("applied", result.Applied), zap.Int64("sign_version", node.version), zap.Error(err))
		s.nodeLiveness.mu.Lock()
		defer s.nodeLiveness.mu.Unlock()
		delete(s.nodeLiveness.removing, id)
	}()
}
