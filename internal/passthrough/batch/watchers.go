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

// LivenessTransport sends datagrams to other nodes. What is sent may be lost.
type LivenessTransport interface {
	SendLiveness(to string, message liveness.Message)
}

// watchers is this node's part in watching the others.
type watchers struct {
	transport LivenessTransport // nil: this node is not heard by others

	mu         sync.Mutex // guards the rest; taken after no other lock
	watch      *liveness.Watch
	generation uint64          // of the nodes that watch knows
	removing   map[string]bool // nodes whose removal is being written
}

// UseTransport has the service send heartbeats to its watchers; called before Run.
func (s *Service) UseTransport(transport LivenessTransport) { s.watchers.transport = transport }

// watchable says whether this node can be watched by others.
func (s *Service) watchable() bool { return s.watchers.transport != nil && s.Peer != "" }

// ticksPerHeartbeat is how often the silence of others is looked at between two heartbeats.
const ticksPerHeartbeat = 2

// watchNodes sends heartbeats, and has nodes removed that have fallen silent.
func (s *Service) watchNodes(ctx context.Context) error {
	if !s.watchable() {
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
		s.watch.Look()
		s.watchOnce(ctx, time.Now(), count%ticksPerHeartbeat == 0)
	}
}

// addressed is a message for a node.
type addressed struct {
	to      string // the id of its life
	message liveness.Message
}

// watchOnce does what is due at a time.
func (s *Service) watchOnce(ctx context.Context, now time.Time, beat bool) {
	seen := s.lookAtNodes(now)
	if seen.watched {
		s.mu.Lock()
		s.watchedLast = now
		s.mu.Unlock()
	}
	asOf := s.follower.Health().AsOf
	var sends []addressed
	s.watchers.mu.Lock()
	watch := s.watchers.watch
	if s.watchers.generation != seen.generation {
		s.watchers.generation = seen.generation
		watch.SetMembers(seen.members, now)
	}
	watch.HearAnything(asOf)
	if beat {
		for _, watcher := range watch.Watchers() {
			sends = append(sends, addressed{to: watcher, message: liveness.Message{Kind: liveness.Heartbeat, From: s.Self}})
		}
	}
	suspicions, dead := watch.Tick(now)
	s.watchers.mu.Unlock()
	for _, suspicion := range suspicions {
		events.NodeSuspected.Log(s.Logger, zap.String("peer", suspicion.ID), zap.Strings("asked", suspicion.Others))
		for _, other := range suspicion.Others {
			sends = append(sends, addressed{to: other, message: liveness.Message{Kind: liveness.Question, From: s.Self, Node: suspicion.ID}})
		}
	}
	s.sendAll(sends)
	if !seen.watched || s.blind() {
		return // who is dead is judged by other means, or this node knows too little
	}
	for _, id := range dead {
		s.removeDead(ctx, id)
	}
}

// sendAll sends messages to nodes by the addresses that their signs of life tell.
func (s *Service) sendAll(sends []addressed) {
	for _, send := range sends {
		s.view.mu.Lock()
		node := s.view.nodes[send.to]
		s.view.mu.Unlock()
		if node != nil && node.sign.Watched && node.sign.Peer != "" {
			s.watchers.transport.SendLiveness(node.sign.Peer, send.message)
		}
	}
}

// HearLiveness takes a message of another node.
func (s *Service) HearLiveness(from string, message liveness.Message) {
	now := time.Now()
	s.watchers.mu.Lock()
	defer s.watchers.mu.Unlock()
	watch := s.watchers.watch
	switch message.Kind {
	case liveness.Heartbeat:
		watch.Hear(message.From, now)
	case liveness.Voucher:
		watch.Vouch(message.Node, message.Ago, now)
	case liveness.Question:
		watch.HearAnything(now)
		if ago, heard := watch.Heard(message.Node, now); heard {
			go s.watchers.transport.SendLiveness(from, liveness.Message{Kind: liveness.Voucher, From: s.Self, Node: message.Node, Ago: ago})
		}
	}
}

// removeDead removes the sign of life of a node that its watchers miss, unless it has
// written another meanwhile.
func (s *Service) removeDead(ctx context.Context, id string) {
	s.view.mu.Lock()
	node := s.view.nodes[id]
	s.view.mu.Unlock()
	s.watchers.mu.Lock()
	defer s.watchers.mu.Unlock()
	if node == nil || s.watchers.removing[id] {
		return
	}
	if s.watchers.removing == nil {
		s.watchers.removing = make(map[string]bool)
	}
	s.watchers.removing[id] = true
	go func() {
		result, err := s.commit(ctx, passthrough.Transaction{
			Expected: []passthrough.Expectation{{Table: tableJobs, Part: partNodes, Key: id, Version: node.version}},
			Remove:   []passthrough.Row{{Table: tableJobs, Part: partNodes, Key: id}},
		})
		events.NodeRemoved.Log(s.Logger, zap.String("peer", id), zap.Bool("applied", result.Applied), zap.Int64("sign_version", node.version), zap.Error(err))
		s.watchers.mu.Lock()
		defer s.watchers.mu.Unlock()
		delete(s.watchers.removing, id)
	}()
}
