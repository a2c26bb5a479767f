// Package peertest is an in-memory network of peer.Bus nodes for tests. It simulates
// delays, losses, cuts and pauses, and counts the bytes that each node's messages
// would take as gob streams. Deliveries are made one at a time, ordered by due time
// and then by the order of sending, so that a seeded test in a testing/synctest
// bubble is reproducible.
//
// A single lock, Network.mu, guards all state except that of streams. It is not held while a handler runs.
package peertest

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"ringstream.example/ringstream/internal/core/identity"
	"ringstream.example/ringstream/internal/core/membership"
)

// DefaultDelay is the one-way delay between nodes unless Options.Delay is set.
const DefaultDelay = time.Millisecond

// Verdict is the decision of a filter (see SetFilter) about one message on one link.
type Verdict struct {
	Drop  bool
	Delay time.Duration // added to the link's delay
}

// Options configure a network.
type Options struct {
	Seed uint64
	// Delay returns the one-way delay of a link. If Delay is nil, it is DefaultDelay.
	Delay func(from, to membership.Member) time.Duration
	// Degree is the number of neighbours to which a node forwards a flood. 0 means 4.
	Degree int
	// CountBytes makes Traffic count bytes, by encoding each message with gob once per link that it takes.
	CountBytes bool
}

// Network connects nodes. New creates a network and Add adds its nodes.
type Network struct {
	options Options

	mu         sync.Mutex
	random     *rand.Rand
	nodes      map[identity.NodeID]*Node
	members    []membership.Member // sorted by ID
	filter     func(from, to identity.NodeID, message any) Verdict
	groups     map[identity.NodeID]int
	cuts       map[link]bool
	lossRate   float64
	neighbours map[identity.NodeID][]identity.NodeID

	queue      deliveries
	sequence   uint64
	delivering bool
	timer      *time.Timer
}

type link struct{ from, to identity.NodeID }

// New creates a network without nodes.
func New(options Options) *Network {
	if options.Degree == 0 {
		options.Degree = 4
	}
	return &Network{
		options: options,
		random:  rand.New(rand.NewPCG(options.Seed, 1)), //nolint:gosec // a test's seeded randomness
		nodes:   map[identity.NodeID]*Node{},
		cuts:    map[link]bool{},
	}
}

// Add adds a node. Every other node sees it at once, in the state of the given member.
func (n *Network) Add(member membership.Member) *Node {
	n.mu.Lock()
	defer n.mu.Unlock()
	node := newNode(n, member)
	n.nodes[member.ID] = node
	n.setMember(member)
	return node
}

// Node returns the node with an id, or nil.
func (n *Network) Node(id identity.NodeID) *Node {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.nodes[id]
}

// SetState changes a member's state in the View of every node.
func (n *Network) SetState(id identity.NodeID, state membership.State) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, member := range n.members {
		if member.ID == id {
			member.State = state
			n.setMember(member)
			return
		}
	}
}

// Kill stops a node, which neither sends nor receives from then on. The views of
// others change only with SetState.
func (n *Network) Kill(id identity.NodeID) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if node := n.nodes[id]; node != nil {
		node.dead = true
	}
}

// SetPaused pauses or resumes a node. The messages that a paused node would receive or
// send are held back and delivered without further delay when it resumes, as after the
// suspension of a process.
func (n *Network) SetPaused(id identity.NodeID, paused bool) {
	n.mu.Lock()
	node := n.nodes[id]
	if node == nil || node.paused == paused {
		n.mu.Unlock()
		return
	}
	node.paused = paused
	if !paused {
		for _, held := range node.held {
			n.schedule(held, 0)
		}
		node.held = nil
	}
	n.mu.Unlock()
}

// SetFilter sets a function that is called for every message on every link. nil removes it.
func (n *Network) SetFilter(filter func(from, to identity.NodeID, message any) Verdict) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.filter = filter
}

// SetLossRate sets the fraction of all messages that is lost, 0 to 1.
func (n *Network) SetLossRate(rate float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lossRate = rate
}

// Partition cuts the links between groups. A node in no group belongs to the
// first one. Heal ends the partition.
func (n *Network) Partition(groups ...[]identity.NodeID) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.groups = map[identity.NodeID]int{}
	for i, group := range groups {
		for _, id := range group {
			n.groups[id] = i
		}
	}
}

// Cut drops all messages from one node to another, in this direction only.
func (n *Network) Cut(from, to identity.NodeID) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cuts[link{from, to}] = true
}

// Heal ends every partition and cut.
func (n *Network) Heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.groups = nil
	n.cuts = map[link]bool{}
}

// setMember adds or replaces a member in every view. The caller holds mu.
func (n *Network) setMember(member membership.Member) {
	index, found := slices.BinarySearchFunc(n.members, member, func(a, b membership.Member) int {
		if a.ID < b.ID {
			return -1
		}
		if a.ID > b.ID {
			return 1
		}
		return 0
	})
	members := slices.Clone(n.members)
	if found {
		members[index] = member
	} else {
		members = slices.Insert(members, index, member)
	}
	n.members = members
	n.neighbours = nil
	for _, node := range n.nodes {
		node.notify()
	}
}

// neighboursOf returns a node's neighbours in the flood overlay. The caller holds mu.
func (n *Network) neighboursOf(id identity.NodeID) []identity.NodeID {
	if n.neighbours == nil {
		n.neighbours = map[identity.NodeID][]identity.NodeID{}
		live := membership.View{Members: n.members}.Live()
		for i, member := range live {
			n.neighbours[member.ID] = overlayNeighbours(live, i, n.options.Degree)
		}
	}
	return n.neighbours[id]
}

// overlayNeighbours returns the neighbours of a node: its successors and predecessors among the live members
// at strides 1, 6, 31 and so on, until there are degree of them.
func overlayNeighbours(live []membership.Member, index, degree int) []identity.NodeID {
	count := len(live)
	var ids []identity.NodeID
	stride := 1
	for len(ids) < min(degree, count-1) && stride < count {
		for _, position := range []int{(index + stride) % count, (index - stride + count) % count} {
			id := live[position].ID
			if id != live[index].ID && !slices.Contains(ids, id) {
				ids = append(ids, id)
			}
		}
		stride = stride*5 + 1
	}
	return ids
}

// delivery is one message in flight. run handles it at the target.
type delivery struct {
	due      time.Time
	sequence uint64
	from, to identity.NodeID
	run      func(target *Node)
}

// deliveries is a heap of deliveries, ordered by due time and then by sequence.
type deliveries []*delivery

func (d deliveries) Len() int { return len(d) }
func (d deliveries) Less(i, j int) bool {
	if !d[i].due.Equal(d[j].due) {
		return d[i].due.Before(d[j].due)
	}
	return d[i].sequence < d[j].sequence
}
func (d deliveries) Swap(i, j int) { d[i], d[j] = d[j], d[i] }

// Push implements heap.Interface.
func (d *deliveries) Push(value any) { *d = append(*d, value.(*delivery)) }

// Pop implements heap.Interface.
func (d *deliveries) Pop() any {
	last := (*d)[len(*d)-1]
	*d = (*d)[:len(*d)-1]
	return last
}

// send sends a message over a link, unless it is dropped. The caller holds mu.
func (n *Network) send(from, to identity.NodeID, message any, run func(target *Node)) {
	sender, target := n.nodes[from], n.nodes[to]
	if sender == nil || sender.dead || target == nil {
		return
	}
	sender.countMessage(message)
	verdict := Verdict{}
	if n.filter != nil {
		verdict = n.filter(from, to, message)
	}
	lost := n.lossRate > 0 && n.random.Float64() < n.lossRate
	if verdict.Drop || lost || n.groups[from] != n.groups[to] || n.cuts[link{from, to}] {
		return
	}
	delay := DefaultDelay
	if n.options.Delay != nil {
		delay = n.options.Delay(sender.member, target.member)
	}
	next := &delivery{from: from, to: to, run: run}
	if sender.paused {
		sender.held = append(sender.held, next)
		return
	}
	n.schedule(next, delay+verdict.Delay)
}

// schedule queues a delivery and sets the timer. The caller holds mu.
func (n *Network) schedule(next *delivery, delay time.Duration) {
	n.sequence++
	next.sequence = n.sequence
	next.due = time.Now().Add(delay)
	heap.Push(&n.queue, next)
	n.setTimer()
}

// setTimer sets the timer for the next delivery. The caller holds mu.
func (n *Network) setTimer() {
	if n.delivering || len(n.queue) == 0 {
		return
	}
	wait := max(0, time.Until(n.queue[0].due))
	if n.timer == nil {
		n.timer = time.AfterFunc(wait, n.deliverDue)
		return
	}
	n.timer.Reset(wait)
}

// deliverDue makes the due deliveries, one at a time.
func (n *Network) deliverDue() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.delivering {
		return
	}
	n.delivering = true
	for len(n.queue) > 0 && !n.queue[0].due.After(time.Now()) {
		next := heap.Pop(&n.queue).(*delivery)
		target := n.nodes[next.to]
		if target.dead {
			continue
		}
		if target.paused {
			target.held = append(target.held, next)
			continue
		}
		n.mu.Unlock()
		next.run(target)
		n.mu.Lock()
	}
	n.delivering = false
	n.setTimer()
}
