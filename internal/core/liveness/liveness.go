// Package liveness finds dead nodes at a cost that does not grow with the fleet. Each node
// sends heartbeats to a few others, its watchers, that all nodes work out alike from the list
// of members. A watcher that misses them asks the other watchers, and has the node taken from
// the list when they miss it too. The list itself is kept elsewhere, and what a wrong removal
// does is undone there: the node finds itself missing and joins again.
//
// Time is an argument; the package does no I/O and takes no lock.
package liveness

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Config says when a node is taken for dead.
type Config struct {
	// HeartbeatEvery is the pause between two heartbeats to each watcher.
	HeartbeatEvery time.Duration
	// SilentAfter is how long a node may be silent before it is suspected.
	SilentAfter time.Duration
	// ConfirmFor is how long the other watchers may take to vouch for a suspected node.
	ConfirmFor time.Duration
}

// Watchers is how many nodes watch each. With three, a loss of half of a fleet leaves one node
// in eight without a live watcher until its dead ones are removed, and a lost datagram in a
// hundred keeps both others from vouching for a live node in one suspicion of 2,500.
const Watchers = 3

// deafShare is the part of SilentAfter for which a node may hear nothing at all before
// it takes its own network for broken, and judges nobody by that time.
const deafShare = 2

// Suspicion is a silent node and those that may have heard it.
type Suspicion struct {
	ID     string
	Others []string // the other watchers
}

// watched is a node that this one watches.
type watched struct {
	counted   time.Time // from when its silence counts
	heard     time.Time // last, by a heartbeat; zero: never
	others    []string
	suspected time.Time // zero: it is not
}

// Watch is one node's part: whom it watches, and who watches it. It is not safe for
// concurrent use.
type Watch struct {
	config   Config
	self     string
	watchers []string
	watches  map[string]*watched
	evidence time.Time // when this node last heard anything
	ticked   time.Time
}

// New makes the part of a node, by the id of its life.
func New(config Config, self string, now time.Time) *Watch {
	return &Watch{config: config, self: self, watches: make(map[string]*watched), evidence: now, ticked: now}
}

// SetMembers takes the list of members, this node among them or not. It passes over the list
// once: 60 us at 1,000 members (BenchmarkSetMembers).
func (w *Watch) SetMembers(ids []string, now time.Time) {
	near, self := neighbours(ids, w.self)
	w.watchers = after(near, self)
	watches := make(map[string]*watched)
	for back := 1; back <= min(Watchers, len(near)-1); back++ {
		index := (self - back + len(near)) % len(near)
		id := near[index].id
		known := w.watches[id]
		if known == nil {
			known = &watched{counted: now}
		}
		known.others = slices.DeleteFunc(after(near, index), func(other string) bool { return other == w.self })
		watches[id] = known
	}
	w.watches = watches
}

// place is a member's place on the ring on which each is watched by those after it.
type place struct {
	id   string
	hash uint64
}

func placeOf(id string) place { return place{id: id, hash: xxhash.Sum64String(id)} }

func compare(a, b place) int { return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.id, b.id)) }

// neighbours gives the part of the ring around a node: as many members before and after it
// as watch each, or the whole ring where that is shorter, and the node's index there.
func neighbours(ids []string, self string) (near []place, index int) {
	own := placeOf(self)
	before, behind := newNearest(), newNearest()
	count := 0
	for _, id := range ids {
		if id == self {
			continue
		}
		count++
		other := placeOf(id)
		before.take(other, own.hash-other.hash)
		behind.take(other, other.hash-own.hash)
	}
	if count <= 2*Watchers { // the two sides meet
		near = []place{own}
		for _, id := range ids {
			if id != self {
				near = append(near, placeOf(id))
			}
		}
		slices.SortFunc(near, compare)
		return near, slices.Index(near, own)
	}
	near = before.list
	slices.Reverse(near)
	index = len(near)
	return append(append(near, own), behind.list...), index
}

// nearest keeps the members nearest to a node on one side of the ring, the nearest first.
type nearest struct {
	list      []place
	distances []uint64
}

func newNearest() *nearest { return &nearest{} }

func (n *nearest) take(other place, distance uint64) {
	at, _ := slices.BinarySearch(n.distances, distance)
	if at >= Watchers {
		return
	}
	n.list = slices.Insert(n.list, at, other)
	n.distances = slices.Insert(n.distances, at, distance)
	if len(n.list) > Watchers {
		n.list, n.distances = n.list[:Watchers], n.distances[:Watchers]
	}
}

// after gives those that watch the member at an index.
func after(near []place, index int) []string {
	var ids []string
	for forward := 1; forward <= min(Watchers, len(near)-1); forward++ {
		ids = append(ids, near[(index+forward)%len(near)].id)
	}
	return ids
}

// Watchers gives the nodes that this one sends its heartbeats to.
func (w *Watch) Watchers() []string { return w.watchers }

// Hear takes a heartbeat.
func (w *Watch) Hear(id string, now time.Time) {
	w.HearAnything(now)
	if known := w.watches[id]; known != nil {
		known.heard, known.counted, known.suspected = now, now, time.Time{}
	}
}

// HearAnything takes note that this node's network works: a message of another node came, or
// an answer of the store.
func (w *Watch) HearAnything(at time.Time) {
	if at.After(w.evidence) {
		if at.Sub(w.evidence) > w.config.SilentAfter/deafShare {
			w.restart(at) // what was missed meanwhile is nobody's silence
		}
		w.evidence = at
	}
}

// Heard gives how long ago a heartbeat of a node came, for another watcher.
func (w *Watch) Heard(id string, now time.Time) (ago time.Duration, heard bool) {
	known := w.watches[id]
	if known == nil || known.heard.IsZero() {
		return 0, false
	}
	return now.Sub(known.heard), true
}

// Vouch takes another watcher's word that it has heard a node some time ago.
func (w *Watch) Vouch(id string, ago time.Duration, now time.Time) {
	w.HearAnything(now)
	known := w.watches[id]
	if known == nil || ago >= w.config.SilentAfter {
		return
	}
	if heard := now.Add(-ago); heard.After(known.counted) {
		known.counted = heard
	}
	known.suspected = time.Time{}
}

// Tick gives the nodes that have become silent, which the others are to be asked about, and
// those that nobody vouched for in time: they are dead as far as can be known.
func (w *Watch) Tick(now time.Time) (suspicions []Suspicion, dead []string) {
	if now.Sub(w.ticked) > w.config.SilentAfter/deafShare {
		w.restart(now) // this node itself stood still
	}
	w.ticked = now
	if now.Sub(w.evidence) > w.config.SilentAfter/deafShare {
		return nil, nil
	}
	for id, known := range w.watches {
		switch {
		case now.Sub(known.counted) < w.config.SilentAfter:
		case known.suspected.IsZero():
			known.suspected = now
			suspicions = append(suspicions, Suspicion{ID: id, Others: known.others})
		case now.Sub(known.suspected) >= w.config.ConfirmFor:
			known.suspected = now // until its removal is known it is told again
			dead = append(dead, id)
		}
	}
	return suspicions, dead
}

// restart has the silence of all that are watched count from now on.
func (w *Watch) restart(now time.Time) {
	for _, known := range w.watches {
		known.counted, known.suspected = now, time.Time{}
	}
}
