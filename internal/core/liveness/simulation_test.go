package liveness

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// The simulation guards against a detection time that grows with the fleet. When each heartbeat
// reached every node, the interval between heartbeats grew with the fleet: a node that died among
// 985 was noticed after 62 s, while its work was due within 18 s. Here fleets of 20 to 2,000 nodes
// lose some nodes at one moment. Each loss must be detected within 4 s when one node in twenty
// dies, no live node may be removed, and the message rate of a node must not grow with the fleet.

var testConfig = Config{HeartbeatEvery: 500 * time.Millisecond, NodeTimeout: 2500 * time.Millisecond, ConfirmTimeout: 400 * time.Millisecond}

const (
	step             = 50 * time.Millisecond
	propagationDelay = 300 * time.Millisecond // time until all nodes know of a removal
	lossRate         = 0.01                   // of datagrams
)

// simulation is a fleet in virtual time. A message arrives at the next step, or is lost.
type simulation struct {
	now           time.Time
	random        *rand.Rand
	watches       map[string]*Watch
	alive         map[string]bool
	members       []string
	removed       map[string]time.Time
	inbox         map[string][]Message
	sent          int
	frozen        map[string]bool // nodes that neither receive nor send
	knownRemovals int             // number of removals that all nodes know of
	upToDate      map[string]bool // nodes that have the current member list
}

func newSimulation(nodes int, seed uint64) *simulation {
	s := &simulation{
		now: time.Unix(1_700_000_000, 0), random: rand.New(rand.NewPCG(seed, 1)), watches: make(map[string]*Watch), alive: make(map[string]bool),
		removed: make(map[string]time.Time), inbox: make(map[string][]Message), frozen: make(map[string]bool), upToDate: make(map[string]bool),
	}
	for i := range nodes {
		id := fmt.Sprintf("node-%d", i)
		s.members = append(s.members, id)
		s.alive[id] = true
		s.watches[id] = New(testConfig, id, s.now)
	}
	return s
}

func (s *simulation) send(to string, message Message) {
	s.sent++
	if s.random.Float64() >= lossRate {
		s.inbox[to] = append(s.inbox[to], message)
	}
}

// known returns the members as all nodes know them at this time.
func (s *simulation) known() []string {
	var list []string
	for _, id := range s.members {
		if at, gone := s.removed[id]; !gone || s.now.Sub(at) < propagationDelay {
			list = append(list, id)
		}
	}
	return list
}

func (s *simulation) advance() {
	s.now = s.now.Add(step)
	arrived := s.inbox
	s.inbox = make(map[string][]Message)
	known := s.known()
	if gone := len(s.members) - len(known); gone != s.knownRemovals {
		s.knownRemovals = gone
		clear(s.upToDate)
	}
	heartbeatDue := s.now.UnixMilli()%testConfig.HeartbeatEvery.Milliseconds() == 0
	for _, id := range s.members {
		watch := s.watches[id]
		if !s.alive[id] || s.frozen[id] {
			continue
		}
		if !s.upToDate[id] {
			s.upToDate[id] = true
			watch.SetMembers(known, s.now)
		}
		for _, message := range arrived[id] {
			s.deliver(id, watch, message)
		}
		if s.now.UnixMilli()%1000 == 0 {
			watch.RecordContact(s.now) // the store answers nodes that receive no messages, too
		}
		if heartbeatDue {
			for _, watcher := range watch.Watchers() {
				s.send(watcher, Message{Kind: Heartbeat, From: id})
			}
		}
		suspicions, dead := watch.Tick(s.now)
		for _, suspicion := range suspicions {
			for _, other := range suspicion.Others {
				s.send(other, Message{Kind: Question, From: id, Node: suspicion.ID})
			}
		}
		for _, gone := range dead {
			if _, already := s.removed[gone]; !already {
				s.removed[gone] = s.now
			}
		}
	}
}

func (s *simulation) deliver(id string, watch *Watch, message Message) {
	switch message.Kind {
	case Heartbeat:
		watch.RecordHeartbeat(message.From, s.now)
	case Question:
		watch.RecordContact(s.now)
		if ago, heard := watch.HeartbeatAge(message.Node, s.now); heard {
			s.send(message.From, Message{Kind: Voucher, From: id, Node: message.Node, Ago: ago})
		}
	case Voucher:
		watch.Vouch(message.Node, message.Ago, s.now)
	}
}

func (s *simulation) run(duration time.Duration) {
	for until := s.now.Add(duration); s.now.Before(until); {
		s.advance()
	}
}

// kill ends a share of the nodes and returns their ids.
func (s *simulation) kill(share float64) []string {
	var killed []string
	for _, id := range s.members {
		if s.random.Float64() < share {
			s.alive[id] = false
			killed = append(killed, id)
		}
	}
	return killed
}

func TestLossIsCertainInTheSameTimeAtAnySize(t *testing.T) {
	for _, test := range []struct {
		share  float64
		within time.Duration
	}{{0.05, 4 * time.Second}, {0.55, 20 * time.Second}} {
		for _, nodes := range []int{20, 100, 985, 2000} {
			s := newSimulation(nodes, uint64(nodes))
			s.run(10 * time.Second)
			if len(s.removed) > 0 {
				t.Errorf("%d nodes: %d removed while all were alive", nodes, len(s.removed))
			}
			sent := s.sent
			s.run(10 * time.Second)
			if perNode := float64(s.sent-sent) / 10 / float64(nodes); perNode > 7 {
				t.Errorf("%d nodes: each sends %.1f messages a second", nodes, perNode)
			}
			lostAt := s.now
			killed := s.kill(test.share)
			s.run(test.within + 2*step)
			worst := time.Duration(0)
			for _, id := range killed {
				at, gone := s.removed[id]
				if !gone {
					t.Errorf("%d nodes, %v lost: the loss of %s was not detected", nodes, test.share, id)
					continue
				}
				worst = max(worst, at.Sub(lostAt))
			}
			for id := range s.removed {
				if s.alive[id] {
					t.Errorf("%d nodes: %s is alive and was removed", nodes, id)
				}
			}
			t.Logf("%d nodes, %v lost: the last of %d losses was detected after %v", nodes, test.share, len(killed), worst)
			if worst > test.within {
				t.Errorf("%d nodes, %v lost: the last loss was detected after %v", nodes, test.share, worst)
			}
		}
	}
}

// A node that was paused for some seconds, or whose network was down, has missed the heartbeats
// of that time. It must not report the nodes that it watches as dead.
func TestNodeThatStoodStillRemovesNobody(t *testing.T) {
	s := newSimulation(50, 3)
	s.run(5 * time.Second)
	for _, id := range s.members[:10] {
		s.frozen[id] = true
	}
	s.run(2 * time.Second) // shorter than NodeTimeout
	clear(s.frozen)
	s.run(5 * time.Second)
	if len(s.removed) > 0 {
		t.Errorf("removed: %v", s.removed)
	}
	for _, id := range s.members[:10] {
		s.frozen[id] = true
	}
	s.run(8 * time.Second)
	clear(s.frozen)
	s.run(5 * time.Second)
	for id := range s.removed {
		if !s.isOneOf(id, s.members[:10]) {
			t.Errorf("%s was removed and was never paused", id)
		}
	}
}

func (s *simulation) isOneOf(id string, list []string) bool {
	for _, known := range list {
		if known == id {
			return true
		}
	}
	return false
}
