// Package liveness detects dead nodes at a cost per node that does not grow with the fleet.
// Each node sends heartbeats to a few others, its watchers, which all nodes compute alike from
// the member list. A watcher that misses the heartbeats asks the other watchers, and reports
// the node as dead when none of them vouches for it. The member list is kept elsewhere, and so is
// the remedy for a wrong removal: the node finds itself missing and joins again.
//
// The caller passes the time; the package does no I/O and takes no lock.
package liveness

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Config holds the timeouts of failure detection.
type Config struct {
	// HeartbeatEvery is the interval between two heartbeats to each watcher.
	HeartbeatEvery time.Duration
	// NodeTimeout is the time without a heartbeat after which a node is suspected.
	NodeTimeout time.Duration
	// ConfirmTimeout is how long the other watchers have to vouch for a suspected node.
	ConfirmTimeout time.Duration
}

// WatchersPerNode is the number of nodes that watch each node. With three, the loss of half of a
// fleet leaves one node in eight without a live watcher until its dead watchers are removed. At
// a datagram loss of 1%, both other watchers fail to vouch for a live node in one suspicion of
// 2,500.
const WatchersPerNode = 3

// isolationDivisor sets the time, NodeTimeout/isolationDivisor, after which a node that
// receives nothing at all, or that was paused, assumes that the fault is its own. It then does
// not count that time as the silence of other nodes.
const isolationDivisor = 2

// Suspicion names a silent node and the nodes to ask about it.
type Suspicion struct {
	ID     string
	Others []string // the other watchers of the node
}

// watchedNode is the state of a node that this one watches.
type watchedNode struct {
	silentSince   time.Time // start of the time without a heartbeat, here or at another watcher
	lastHeartbeat time.Time // when the last heartbeat arrived; zero if none has
	otherWatchers []string
	suspectedAt   time.Time // zero if the node is not suspected
}

// Watch is the failure detector of one node: the nodes that it watches, and those that watch
// it. It is not safe for concurrent use.
type Watch struct {
	config      Config
	self        string
	watchers    []string
	watched     map[string]*watchedNode
	lastContact time.Time // when this node last received anything
	tickedAt    time.Time
}

// New returns the Watch of a node; self is the id of the node's incarnation.
func New(config Config, self string, now time.Time) *Watch {
	return &Watch{config: config, self: self, watched: make(map[string]*watchedNode), lastContact: now, tickedAt: now}
}

// SetMembers replaces the member list, which may or may not include this node. It reads the
// list once, which takes 60 us at 1,000 members (BenchmarkSetMembers).
func (w *Watch) SetMembers(ids []string, now time.Time) {
	near, self := neighbors(ids, w.self)
	w.watchers = watchersOf(near, self)
	watches := make(map[string]*watchedNode)
	for back := 1; back <= min(WatchersPerNode, len(near)-1); back++ {
		index := (self - back + len(near)) % len(near)
		id := near[index].id
		known := w.watched[id]
		if known == nil {
			known = &watchedNode{silentSince: now}
		}
		known.otherWatchers = slices.DeleteFunc(watchersOf(near, index), func(other string) bool { return other == w.self })
		watches[id] = known
	}
	w.watched = watches
}

// ringPosition is a member's position on the hash ring. Each member is watched by those that
// follow it on the ring.
type ringPosition struct {
	id   string
	hash uint64
}

func ringPositionOf(id string) ringPosition {
	return ringPosition{id: id, hash: xxhash.Sum64String(id)}
}

func comparePositions(a, b ringPosition) int {
	return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.id, b.id))
}

// neighbors returns the part of the ring around a node, and the node's index in it. The part
// has WatchersPerNode members on each side of the node, or is the whole ring if that is shorter.
func neighbors(ids []string, self string) (near []ringPosition, index int) {
	own := ringPositionOf(self)
	preceding, following := newNearest(), newNearest()
	count := 0
	for _, id := range ids {
		if id == self {
			continue
		}
		count++
		other := ringPositionOf(id)
		preceding.add(other, own.hash-other.hash)
		following.add(other, other.hash-own.hash)
	}
	if count <= 2*WatchersPerNode { // the two sides overlap or meet
		near = []ringPosition{own}
		for _, id := range ids {
			if id != self {
				near = append(near, ringPositionOf(id))
			}
		}
		slices.SortFunc(near, comparePositions)
		return near, slices.Index(near, own)
	}
	near = preceding.list
	slices.Reverse(near)
	index = len(near)
	return append(append(near, own), following.list...), index
}

// nearest collects the members nearest to a node on one side of the ring, the nearest first.
type nearest struct {
	list      []ringPosition
	distances []uint64
}

func newNearest() *nearest { return &nearest{} }

func (n *nearest) add(other ringPosition, distance uint64) {
	at, _ := slices.BinarySearch(n.distances, distance)
	if at >= WatchersPerNode {
		return
	}
	n.list = slices.Insert(n.list, at, other)
	n.distances = slices.Insert(n.distances, at, distance)
	if len(n.list) > WatchersPerNode {
		n.list, n.distances = n.list[:WatchersPerNode], n.distances[:WatchersPerNode]
	}
}

// watchersOf returns the watchers of the member at an index.
func watchersOf(near []ringPosition, index int) []string {
	var ids []string
	for forward := 1; forward <= min(WatchersPerNode, len(near)-1); forward++ {
		ids = append(ids, near[(index+forward)%len(near)].id)
	}
	return ids
}

// Watchers returns the nodes that this one sends its heartbeats to.
func (w *Watch) Watchers() []string { return w.watchers }

// RecordHeartbeat records a heartbeat of a node.
func (w *Watch) RecordHeartbeat(id string, now time.Time) {
	w.RecordContact(now)
	if known := w.watched[id]; known != nil {
		known.lastHeartbeat, known.silentSince, known.suspectedAt = now, now, time.Time{}
	}
}

// RecordContact records that this node's network works, because a message of another node or an
// answer of the store arrived.
func (w *Watch) RecordContact(at time.Time) {
	if at.After(w.lastContact) {
		if at.Sub(w.lastContact) > w.config.NodeTimeout/isolationDivisor {
			w.resetSilence(at) // heartbeats missed in the meantime count against no node
		}
		w.lastContact = at
	}
}

// HeartbeatAge returns how long ago the last heartbeat of a node arrived, to answer another watcher's
// question; heard is false if none has arrived.
func (w *Watch) HeartbeatAge(id string, now time.Time) (ago time.Duration, heard bool) {
	known := w.watched[id]
	if known == nil || known.lastHeartbeat.IsZero() {
		return 0, false
	}
	return now.Sub(known.lastHeartbeat), true
}

// Vouch applies another watcher's report that it received a heartbeat of a node some time ago.
func (w *Watch) Vouch(id string, ago time.Duration, now time.Time) {
	w.RecordContact(now)
	known := w.watched[id]
	if known == nil || ago >= w.config.NodeTimeout {
		return
	}
	if heard := now.Add(-ago); heard.After(known.silentSince) {
		known.silentSince = heard
	}
	known.suspectedAt = time.Time{}
}

// Tick returns the nodes that are newly suspected, about which their other watchers are to be
// asked, and the nodes that no watcher vouched for in time, which are presumed dead. A dead
// node is returned again after each ConfirmTimeout until SetMembers removes it.
func (w *Watch) Tick(now time.Time) (suspicions []Suspicion, dead []string) {
	if now.Sub(w.tickedAt) > w.config.NodeTimeout/isolationDivisor {
		w.resetSilence(now) // this node itself was paused
	}
	w.tickedAt = now
	if now.Sub(w.lastContact) > w.config.NodeTimeout/isolationDivisor {
		return nil, nil
	}
	for id, known := range w.watched {
		switch {
		case now.Sub(known.silentSince) < w.config.NodeTimeout:
		case known.suspectedAt.IsZero():
			known.suspectedAt = now
			suspicions = append(suspicions, Suspicion{ID: id, Others: known.otherWatchers})
		case now.Sub(known.suspectedAt) >= w.config.ConfirmTimeout:
			known.suspectedAt = now // reported again until its removal is known
			dead = append(dead, id)
		}
	}
	return suspicions, dead
}

// resetSilence restarts the silence of all watched nodes at the given time.
func (w *Watch) resetSilence(now time.Time) {
	for _, known := range w.watched {
		known.silentSince, known.suspectedAt = now, time.Time{}
	}
}
