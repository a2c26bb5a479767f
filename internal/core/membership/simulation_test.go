package membership

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"ringstream.example/ringstream/internal/core/identity"
)

// simulation runs machines in virtual time over a simulated network with delays
// and one-way message loss. Messages on a link are delivered with the configured
// delay, a link on which messages are dropped is silent, and an unanswered dial
// fails after a timeout.
type simulation struct {
	t       testing.TB
	random  *rand.Rand
	now     time.Time
	queue   deliveries
	order   uint64
	nodes   map[identity.NodeID]*simulatedNode
	address map[string]identity.NodeID
	// drops reports whether messages from one node to another are lost.
	drops      func(from, to *simulatedNode) bool
	delay      func(from, to *simulatedNode) time.Duration
	suspicions []SuspicionRaised
	killed     map[identity.NodeID]bool
}

type simulatedNode struct {
	member  Member
	machine *Machine
	view    View
	alive   bool
	paused  bool
	links   map[identity.NodeID]uint64 // link number by peer
	// deadSince is when this node marked each other node dead.
	deadSince map[identity.NodeID]time.Time
}

type delivery struct {
	at    time.Time
	order uint64
	run   func()
}

type deliveries []delivery

func (d deliveries) Len() int { return len(d) }
func (d deliveries) Less(i, j int) bool {
	return d[i].at.Before(d[j].at) || (d[i].at.Equal(d[j].at) && d[i].order < d[j].order)
}
func (d deliveries) Swap(i, j int) { d[i], d[j] = d[j], d[i] }
func (d *deliveries) Push(x any)   { *d = append(*d, x.(delivery)) }
func (d *deliveries) Pop() any {
	old := *d
	last := old[len(old)-1]
	*d = old[:len(old)-1]
	return last
}

var simulationStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const (
	tickEvery   = 100 * time.Millisecond
	dialTimeout = time.Second
	probeLimit  = 600 * time.Millisecond
)

func newSimulation(t testing.TB, seed uint64) *simulation {
	return &simulation{
		t: t, random: rand.New(rand.NewPCG(seed, 1)), now: simulationStart,
		nodes: map[identity.NodeID]*simulatedNode{}, address: map[string]identity.NodeID{},
		killed: map[identity.NodeID]bool{},
		drops:  func(_, _ *simulatedNode) bool { return false },
		delay:  func(_, _ *simulatedNode) time.Duration { return time.Millisecond },
	}
}

func (s *simulation) after(wait time.Duration, run func()) {
	s.order++
	heap.Push(&s.queue, delivery{at: s.now.Add(wait), order: s.order, run: run})
}

func (s *simulation) run(duration time.Duration) {
	end := s.now.Add(duration)
	for len(s.queue) > 0 && !s.queue[0].at.After(end) {
		next := heap.Pop(&s.queue).(delivery)
		s.now = next.at
		next.run()
	}
	s.now = end
}

// start adds a node in the zone with the given index. A region has three zones.
func (s *simulation) start(name string, zone int, address string, seeds ...string) *simulatedNode {
	node := &simulatedNode{
		member: Member{
			ID: identity.NodeID(name), PeerAddress: address, GatewayAddress: address,
			Zone: fmt.Sprintf("zone-%d", zone), Region: fmt.Sprintf("region-%d", zone/3),
			Incarnation: uint64(s.now.UnixMilli()),
		},
		alive: true, links: map[identity.NodeID]uint64{}, deadSince: map[identity.NodeID]time.Time{},
	}
	node.machine = New(DefaultConfig(), node.member, seeds, s.now)
	s.nodes[node.member.ID] = node
	s.address[address] = node.member.ID
	s.after(time.Duration(s.random.Int64N(int64(tickEvery))), func() { s.tick(node) })
	return node
}

func (s *simulation) tick(node *simulatedNode) {
	if !node.alive {
		return
	}
	s.step(node, Tick{})
	s.after(tickEvery, func() { s.tick(node) })
}

func (s *simulation) step(node *simulatedNode, event Event) {
	if !node.alive {
		return
	}
	if node.paused {
		s.after(tickEvery, func() { s.step(node, event) })
		return
	}
	for _, effect := range node.machine.Step(s.now, event) {
		s.perform(node, effect)
	}
}

func (s *simulation) perform(node *simulatedNode, effect Effect) {
	switch effect := effect.(type) {
	case Send:
		s.deliver(node, s.nodes[effect.To], effect.Message)
	case Connect:
		s.connect(node, effect)
	case Disconnect:
		s.disconnect(node, effect.ID)
	case Probe:
		s.probe(node, effect)
	case ViewChanged:
		node.view = effect.View
	case MemberChanged:
		if effect.Member.State == Dead {
			node.deadSince[effect.Member.ID] = s.now
		} else {
			delete(node.deadSince, effect.Member.ID)
		}
	case SuspicionRaised:
		s.suspicions = append(s.suspicions, effect)
	}
}

func (s *simulation) deliver(from, to *simulatedNode, message Message) {
	number := from.links[to.member.ID]
	if s.drops(from, to) {
		return
	}
	s.after(s.delay(from, to), func() {
		if number != 0 && to.links[from.member.ID] == number {
			s.step(to, Received{From: from.member.ID, Message: message})
		}
	})
}

// connect establishes a link if messages pass in both directions, as a TCP
// handshake requires.
func (s *simulation) connect(node *simulatedNode, effect Connect) {
	target := s.nodes[s.address[effect.Address]]
	if target == nil || !target.alive || target.paused || s.drops(node, target) || s.drops(target, node) {
		s.after(dialTimeout, func() { s.step(node, DialFailed{Expected: effect.ID, Address: effect.Address}) })
		return
	}
	s.after(2*s.delay(node, target), func() {
		if effect.ID != "" && effect.ID != target.member.ID {
			s.step(node, DialFailed{Expected: effect.ID, Address: effect.Address, Found: target.member.ID})
			return
		}
		if !node.alive || !target.alive || node.links[target.member.ID] != 0 {
			return
		}
		s.order++
		node.links[target.member.ID], target.links[node.member.ID] = s.order, s.order
		s.step(target, LinkUp{Peer: node.machine.Self()})
		s.step(node, LinkUp{Peer: target.machine.Self(), Dialed: true})
	})
}

func (s *simulation) disconnect(node *simulatedNode, id identity.NodeID) {
	number := node.links[id]
	if number == 0 {
		return
	}
	delete(node.links, id)
	s.after(0, func() { s.step(node, LinkDown{Peer: id}) })
	other := s.nodes[id]
	if s.drops(node, other) {
		return
	}
	s.after(s.delay(node, other), func() {
		if other.links[node.member.ID] == number {
			delete(other.links, node.member.ID)
			s.step(other, LinkDown{Peer: node.member.ID})
		}
	})
}

func (s *simulation) probe(node *simulatedNode, effect Probe) {
	target := s.nodes[s.address[effect.Address]]
	answered := target != nil && target.alive && !target.paused && target.member.ID == effect.ID && !s.drops(node, target) && !s.drops(target, node)
	wait := probeLimit
	if answered {
		wait = 2 * s.delay(node, target)
	}
	s.after(wait, func() { s.step(node, ProbeDone{ID: effect.ID, Answered: answered}) })
}

// kill stops a node without an announcement, like the loss of its host.
func (s *simulation) kill(node *simulatedNode) {
	node.alive = false
	s.killed[node.member.ID] = true
}

// fleet starts count nodes spread over the zones, all with the first two nodes as
// seeds, and runs them until the fleet has formed.
func (s *simulation) fleet(count, zones int) []*simulatedNode {
	nodes := make([]*simulatedNode, count)
	for i := range nodes {
		address := fmt.Sprintf("10.0.0.%d:7000", i)
		nodes[i] = s.start(fmt.Sprintf("node-%03d", i), i%zones, address, "10.0.0.0:7000", "10.0.0.1:7000")
	}
	s.run(20 * time.Second)
	return nodes
}

// liveIDs returns the ids of the live members of a view.
func liveIDs(view View) []identity.NodeID {
	var ids []identity.NodeID
	for _, member := range view.Live() {
		ids = append(ids, member.ID)
	}
	return ids
}

// expectSameView checks that the live members in each node's view are exactly the
// given nodes.
func (s *simulation) expectSameView(nodes []*simulatedNode) {
	s.t.Helper()
	var expected []identity.NodeID
	for _, node := range nodes {
		expected = append(expected, node.member.ID)
	}
	slices.Sort(expected)
	for _, node := range nodes {
		if live := liveIDs(node.view); !slices.Equal(live, expected) {
			s.t.Errorf("%s has %d live members %v, want %d", node.member.ID, len(live), live, len(expected))
			return
		}
	}
}

// expectDeadWithin checks that each witness marked each victim dead within the limit.
func (s *simulation) expectDeadWithin(limit time.Duration, since time.Time, witnesses, victims []*simulatedNode) {
	s.t.Helper()
	for _, witness := range witnesses {
		for _, victim := range victims {
			at, known := witness.deadSince[victim.member.ID]
			if !known || at.Sub(since) > limit {
				s.t.Errorf("%s marked %s dead: %t, after %s", witness.member.ID, victim.member.ID, known, at.Sub(since))
				return
			}
		}
	}
}

func (s *simulation) expectNoFalseSuspicion() {
	s.t.Helper()
	for _, suspicion := range s.suspicions {
		if !s.killed[suspicion.ID] {
			s.t.Errorf("%s was suspected for %s although it is alive", suspicion.ID, suspicion.Reason)
			return
		}
	}
}
