// Package liveness detects dead nodes at a cost per node that does not grow with the fleet.
// Each node sends heartbeats to a few others, its watchers, which all nodes compute alike from
// the member list. A watcher that misses the heartbeats asks the other watchers, and reports
// the node as dead when none of them vouches for it. The member list is kept elsewhere, and so is
// the remedy for a wrong removal: the node finds itself missing and joins again.
//
// The watchers of a node may all have died with it. A watcher that hears none of the nodes that it
// watches therefore pings the members before them on the ring, twice as many at each Tick, until
// one answers. A node that answers no ping may be alive behind a broken link, so it counts as dead
// only if it does not refute the suspicion through the store either.
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
	// RefuteTimeout is how long a node that answers no ping has to refute the suspicion through the
	// store.
	RefuteTimeout time.Duration
}

// WatchersPerNode is the number of nodes that watch each node. With three, the loss of half of a
// fleet leaves one node in eight without a live watcher, until a live node further on pings it. At
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

// Findings is what Tick has found.
type Findings struct {
	// Suspicions holds the nodes that are newly suspected, about which their other watchers are to be
	// asked.
	Suspicions []Suspicion
	// Pings holds the nodes that are to be asked whether they are alive.
	Pings []string
	// Unreachable holds the nodes that answer no ping and are to be suspected through the store
	// (RecordSuspected).
	Unreachable []string
	// Dead holds the nodes that are presumed dead. A dead node is returned again, after each
	// timeout, until SetMembers removes it.
	Dead []string
}

// watchedNode is the state of a node that this one watches.
type watchedNode struct {
	silentSince   time.Time // start of the time without a heartbeat, here or at another watcher
	lastHeartbeat time.Time // when the last heartbeat arrived; zero if none has
	heardAt       time.Time // when it was last known to be alive; zero if it has not been heard
	otherWatchers []string
	suspectedAt   time.Time // when the other watchers were asked; zero if the node is not suspected
	refutableFrom time.Time // when the store accepted the suspicion; zero if it has none
}

// heard records that the node was alive at a time.
func (n *watchedNode) heard(at time.Time) {
	n.silentSince, n.heardAt, n.suspectedAt, n.refutableFrom = at, at, time.Time{}, time.Time{}
}

// Watch is the failure detector of one node: the nodes that it watches, and those that watch
// it. It is not safe for concurrent use.
type Watch struct {
	config      Config
	self        string
	members     []string
	watchers    []string
	watched     map[string]*watchedNode
	order       []string  // of the watched nodes, from the nearest on the ring to the farthest
	reach       int       // number of members before this one that it watches
	lastContact time.Time // when this node last received anything
	tickedAt    time.Time
}

// New returns the Watch of a node; self is the id of the node's incarnation.
func New(config Config, self string, now time.Time) *Watch {
	return &Watch{config: config, self: self, watched: make(map[string]*watchedNode), reach: WatchersPerNode, lastContact: now, tickedAt: now}
}

// SetMembers replaces the member list, which may or may not include this node. The caller must not
// change the list afterwards. It is read once, which takes 60 us at 1,000 members
// (BenchmarkSetMembers).
func (w *Watch) SetMembers(ids []string, now time.Time) {
	w.members = ids
	near, self := neighbors(ids, w.self, w.reach)
	w.watchers = watchersOf(near, self)
	watched := make(map[string]*watchedNode)
	w.order = nil
	for back := 1; back <= min(w.reach, len(near)-1); back++ {
		index := (self - back + len(near)) % len(near)
		id := near[index].id
		known := w.watched[id]
		if known == nil {
			known = &watchedNode{silentSince: now}
		}
		known.otherWatchers = slices.DeleteFunc(watchersOf(near, index), func(other string) bool { return other == w.self })
		watched[id] = known
		w.order = append(w.order, id)
	}
	w.watched = watched
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

// neighbors returns the part of the ring around a node, and the node's index in it. The part has
// reach members before the node and WatchersPerNode after it, or is the whole ring if that is
// shorter.
func neighbors(ids []string, self string, reach int) (near []ringPosition, index int) {
	own := ringPositionOf(self)
	preceding, following := nearest{limit: reach}, nearest{limit: WatchersPerNode}
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
	if count <= reach+WatchersPerNode { // the two sides overlap or meet
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
	limit     int // of the members that are collected
	list      []ringPosition
	distances []uint64
}

func (n *nearest) add(other ringPosition, distance uint64) {
	at, _ := slices.BinarySearch(n.distances, distance)
	if at >= n.limit {
		return
	}
	n.list = slices.Insert(n.list, at, other)
	n.distances = slices.Insert(n.distances, at, distance)
	if len(n.list) > n.limit {
		n.list, n.distances = n.list[:n.limit], n.distances[:n.limit]
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
		known.lastHeartbeat = now
		known.heard(now)
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

// Vouch applies a report that a node was alive some time ago: of another watcher, of the node itself or
// of the store.
func (w *Watch) Vouch(id string, ago time.Duration, now time.Time) {
	w.RecordContact(now)
	known := w.watched[id]
	if known == nil || ago >= w.config.NodeTimeout {
		return
	}
	known.heard(later(now.Add(-ago), known.silentSince))
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// RecordSuspected records that the store has accepted the suspicion of a node at a time.
func (w *Watch) RecordSuspected(id string, at time.Time) {
	if known := w.watched[id]; known != nil {
		known.refutableFrom = at
	}
}

// Tick returns what is to be done about silent nodes.
func (w *Watch) Tick(now time.Time) Findings {
	if now.Sub(w.tickedAt) > w.config.NodeTimeout/isolationDivisor {
		w.resetSilence(now) // this node itself was paused
	}
	w.tickedAt = now
	if now.Sub(w.lastContact) > w.config.NodeTimeout/isolationDivisor {
		return Findings{}
	}
	w.adjustReach(now)
	var findings Findings
	for index, id := range w.order {
		known := w.watched[id]
		silence := now.Sub(known.silentSince)
		if !known.refutableFrom.IsZero() && now.Sub(known.refutableFrom) >= w.config.RefuteTimeout {
			known.refutableFrom = now
			findings.Dead = append(findings.Dead, id)
			continue
		}
		if index >= WatchersPerNode {
			findings.Pings = append(findings.Pings, id)
			if silence >= w.config.HeartbeatEvery && known.refutableFrom.IsZero() {
				findings.Unreachable = append(findings.Unreachable, id)
			}
			continue
		}
		switch {
		case silence < w.config.NodeTimeout:
		case known.suspectedAt.IsZero():
			known.suspectedAt = now
			findings.Suspicions = append(findings.Suspicions, Suspicion{ID: id, Others: known.otherWatchers})
		case now.Sub(known.suspectedAt) >= w.config.ConfirmTimeout:
			known.suspectedAt = now
			findings.Dead = append(findings.Dead, id)
		}
	}
	return findings
}

// adjustReach doubles the reach while no watched node is heard, and resets it once one of those that
// send this node heartbeats is.
func (w *Watch) adjustReach(now time.Time) {
	reach := w.reach
	switch {
	case w.hearsNearest(now):
		reach = WatchersPerNode
	case w.hearsNobody(now) && len(w.order) == w.reach:
		reach *= 2
	}
	if reach != w.reach {
		w.reach = reach
		w.SetMembers(w.members, now)
	}
}

// hearsNearest reports whether a node that sends this one heartbeats has been heard of late.
func (w *Watch) hearsNearest(now time.Time) bool {
	for _, id := range w.order[:min(WatchersPerNode, len(w.order))] {
		if heardAt := w.watched[id].heardAt; !heardAt.IsZero() && now.Sub(heardAt) < w.config.NodeTimeout/isolationDivisor {
			return true
		}
	}
	return false
}

// Config.HeartbeatEvery/pingTimeoutDivisor is the time in which a ping is answered.
const pingTimeoutDivisor = 2

// hearsNobody reports whether all watched nodes are silent: the nearest have missed heartbeats, and
// the others have not answered a ping.
func (w *Watch) hearsNobody(now time.Time) bool {
	for index, id := range w.order {
		timeout := w.config.NodeTimeout / isolationDivisor
		if index >= WatchersPerNode {
			timeout = w.config.HeartbeatEvery / pingTimeoutDivisor
		}
		if now.Sub(w.watched[id].silentSince) < timeout {
			return false
		}
	}
	return true
}

// resetSilence restarts the silence of all watched nodes at the given time.
func (w *Watch) resetSilence(now time.Time) {
	for _, known := range w.watched {
		known.silentSince, known.suspectedAt, known.refutableFrom = now, time.Time{}, time.Time{}
	}
}
