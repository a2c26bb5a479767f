package liveness

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// The simulation guards against a detection time that grows with the fleet. When each heartbeat
// reached every node, the interval between heartbeats grew with the fleet: a node that died among
// 985 was noticed after 62 s, while its work was due within 18 s. Here fleets of 20 to 2,000 nodes
// lose some nodes at one moment. Each loss must be detected within 4 s when one node in twenty
// dies, no live node may be removed, and the message rate of a node must not grow with the fleet.

var testConfig = Config{HeartbeatEvery: 500 * time.Millisecond, NodeTimeout: 2500 * time.Millisecond, ConfirmTimeout: 400 * time.Millisecond, RefuteTimeout: 1250 * time.Millisecond}

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
	frozen        map[string]bool                 // nodes that neither receive nor send
	deaf          map[string]bool                 // nodes that receive no messages, and reach the store
	accused       map[string]map[string]time.Time // by accuser and suspected node: when the store accepted the suspicion
	knownRemovals int                             // number of removals that all nodes know of
	upToDate      map[string]bool                 // nodes that have the current member list
}

func newSimulation(nodes int, seed uint64) *simulation {
	s := &simulation{
		now: time.Unix(1_700_000_000, 0), random: rand.New(rand.NewPCG(seed, 1)), watches: make(map[string]*Watch), alive: make(map[string]bool),
		removed: make(map[string]time.Time), inbox: make(map[string][]Message), frozen: make(map[string]bool), upToDate: make(map[string]bool),
		deaf: make(map[string]bool), accused: make(map[string]map[string]time.Time),
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
			if !s.deaf[id] {
				s.deliver(id, watch, message)
			}
		}
		s.refute(id, watch)
		if s.now.UnixMilli()%1000 == 0 {
			watch.RecordContact(s.now) // the store answers nodes that receive no messages, too
		}
		if heartbeatDue {
			for _, watcher := range watch.Watchers() {
				s.send(watcher, Message{Kind: Heartbeat, From: id})
			}
		}
		if s.now.UnixMilli()%(testConfig.HeartbeatEvery.Milliseconds()/2) == 0 {
			s.act(id, watch.Tick(s.now))
		}
	}
}

// act carries out what a node's watch has found.
func (s *simulation) act(id string, findings Findings) {
	for _, suspicion := range findings.Suspicions {
		for _, other := range suspicion.Others {
			s.send(other, Message{Kind: Question, From: id, Node: suspicion.ID})
		}
	}
	for _, other := range findings.Pings {
		s.send(other, Message{Kind: Question, From: id, Node: other})
	}
	for _, other := range findings.Unreachable {
		if s.accused[id] == nil {
			s.accused[id] = make(map[string]time.Time)
		}
		s.accused[id][other] = s.now
		s.watches[id].RecordSuspected(other, s.now)
	}
	for _, gone := range findings.Dead {
		if _, already := s.removed[gone]; !already {
			s.removed[gone] = s.now
		}
	}
}

// refute lets a node learn through the store which of the nodes that it suspects are alive: each sees
// the suspicion after propagationDelay, and its answer takes as long.
func (s *simulation) refute(id string, watch *Watch) {
	for other, at := range s.accused[id] {
		if s.now.Sub(at) < 2*propagationDelay {
			continue
		}
		delete(s.accused[id], other)
		if s.alive[other] && !s.frozen[other] {
			watch.Vouch(other, propagationDelay, s.now)
		}
	}
}

func (s *simulation) deliver(id string, watch *Watch, message Message) {
	switch message.Kind {
	case Heartbeat:
		watch.RecordHeartbeat(message.From, s.now)
	case Question:
		watch.RecordContact(s.now)
		if message.Node == id {
			s.send(message.From, Message{Kind: Voucher, From: id, Node: id})
			return
		}
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

// kill ends a share of the nodes, but not all, and returns their ids.
func (s *simulation) kill(share float64) []string {
	var killed []string
	for _, id := range s.members[1:] {
		if s.alive[id] && s.random.Float64() < share {
			s.alive[id] = false
			killed = append(killed, id)
		}
	}
	return killed
}

// lossTime is the time within which a loss is detected: that of a single node, and one interval of the
// heartbeats for each doubling of the nodes that may have died in a row on the ring.
func lossTime(nodes int, share float64) time.Duration {
	const single = 4 * time.Second
	if share < 0.1 {
		return single
	}
	return single + time.Duration(math.Log2(float64(nodes)/WatchersPerNode)*float64(testConfig.HeartbeatEvery))
}

// TestLossIsCertainInTheSameTimeAtAnySize also guards against a detection time that grows with the
// number of nodes lost at once: 21 s for 20 of 21, when the silence of a node counted only from the
// removal of those between it and its next live watcher.
func TestLossIsCertainInTheSameTimeAtAnySize(t *testing.T) {
	for _, share := range []float64{0.05, 0.55, 0.95, 1} {
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
			killed := s.kill(share)
			worst := s.checkDetected(t, killed, lostAt, lossTime(nodes, share))
			t.Logf("%d nodes, %v lost: the last of %d losses was detected after %v", nodes, share, len(killed), worst)
		}
	}
}

// TestLossInTwoWavesIsDetected guards against a second loss that hides the first: the nodes that were
// looking for the nodes lost first are lost as well.
func TestLossInTwoWavesIsDetected(t *testing.T) {
	for seed := range uint64(4) {
		s := newSimulation(40, seed)
		s.run(5 * time.Second)
		killed := s.kill(0.6)
		s.run(2 * time.Second)
		killed = append(killed, s.kill(0.9)...)
		s.checkDetected(t, killed, s.now, lossTime(40, 1))
	}
}

// checkDetected runs the simulation until the killed nodes must be removed, and checks that they are
// and no live node is. It returns the time after which the last one was.
func (s *simulation) checkDetected(t *testing.T, killed []string, lostAt time.Time, within time.Duration) time.Duration {
	t.Helper()
	s.run(within + 2*step)
	worst := time.Duration(0)
	for _, id := range killed {
		at, gone := s.removed[id]
		if !gone {
			t.Errorf("%d nodes, %d lost: the loss of %s was not detected within %v", len(s.members), len(killed), id, within)
			continue
		}
		worst = max(worst, at.Sub(lostAt))
	}
	if worst > within {
		t.Errorf("%d nodes, %d lost: the last loss was detected after %v, want %v", len(s.members), len(killed), worst, within)
	}
	for id := range s.removed {
		if s.alive[id] {
			t.Errorf("%d nodes, %d lost: %s is alive and was removed", len(s.members), len(killed), id)
		}
	}
	return worst
}

// TestNodeThatReceivesNothingRemovesFewNodes guards against the removal of a whole fleet by a node that
// receives no messages while it reaches the store: the others refute its suspicions there.
func TestNodeThatReceivesNothingRemovesFewNodes(t *testing.T) {
	s := newSimulation(60, 5)
	s.run(5 * time.Second)
	s.deaf[s.members[0]] = true
	const rounds = 2
	s.run(rounds * testConfig.NodeTimeout)
	if len(s.removed) > rounds*WatchersPerNode {
		t.Errorf("%d live nodes were removed: %v", len(s.removed), s.removed)
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
