package limits

import (
	"slices"
	"time"

	"ringstream.example/ringstream/internal/core/identity"
	"ringstream.example/ringstream/internal/core/membership"
	"ringstream.example/ringstream/internal/core/rendezvous"
)

// viewRetention is how long past views are kept to determine since when this
// node has owned a limit.
const viewRetention = 10 * time.Second

// fleetView is the list of live nodes and the time since which it has been current.
type fleetView struct {
	nodes []identity.NodeID
	since time.Time
}

// ownership determines the owner and the deputy of each limit in the current view.
type ownership struct {
	self identity.NodeID
	// generation increases with each change of the live nodes.
	generation uint64
	current    fleetView
	past       []fleetView // newest first
	// earliestOwnership is the earliest time from which this node may count as
	// the owner of any limit.
	earliestOwnership time.Time
}

// update applies a membership view. It returns false if the live nodes are unchanged.
func (o *ownership) update(view membership.View, now time.Time) bool {
	live := view.Live()
	nodes := make([]identity.NodeID, len(live))
	for i, member := range live {
		nodes[i] = member.ID
	}
	if o.generation > 0 && slices.Equal(nodes, o.current.nodes) {
		return false
	}
	if o.generation > 0 {
		o.past = append([]fleetView{o.current}, o.past...)
	}
	for len(o.past) > 0 && o.replacedAt(len(o.past)-1).Before(now.Add(-viewRetention)) {
		o.past = o.past[:len(o.past)-1]
	}
	o.current = fleetView{nodes: nodes, since: now}
	o.generation++
	return true
}

// replacedAt returns the time at which a past view was replaced.
func (o *ownership) replacedAt(index int) time.Time {
	if index == 0 {
		return o.current.since
	}
	return o.past[index-1].since
}

// owners returns the owner of a limit and its deputy, which lends while the
// owner does not answer. The deputy is empty if there is only one node.
func (o *ownership) owners(key string) (owner, deputy identity.NodeID) {
	var first, second uint64
	for _, node := range o.current.nodes {
		score := rendezvous.Score(key, node)
		switch {
		case owner == "" || score > first || (score == first && node < owner):
			deputy, second = owner, first
			owner, first = node, score
		case deputy == "" || score > second || (score == second && node < deputy):
			deputy, second = node, score
		}
	}
	return owner, deputy
}

// mayLend reports whether this node may lend a limit, as its owner or its deputy.
func (o *ownership) mayLend(key string) bool {
	owner, deputy := o.owners(key)
	return owner == o.self || deputy == o.self
}

// ownedSince returns the time since which this node has been the owner in every
// view, but not before earliestOwnership. It returns now if this node is not the
// owner. Views from before this node joined the others do not count.
func (o *ownership) ownedSince(key string, now time.Time) time.Time {
	since := now
	for _, view := range append([]fleetView{o.current}, o.past...) {
		notJoined := len(view.nodes) == 1 && len(o.current.nodes) > 1
		if owner, _ := rendezvous.Owner(key, view.nodes); owner != o.self || notJoined {
			break
		}
		since = view.since
	}
	if since.Before(o.earliestOwnership) {
		return o.earliestOwnership
	}
	return since
}

// alwaysAlone reports whether this node has never seen another live node.
func (o *ownership) alwaysAlone() bool { return len(o.current.nodes) == 1 && len(o.past) == 0 }

// isLive reports whether a node is live in the current view.
func (o *ownership) isLive(node identity.NodeID) bool {
	return slices.Contains(o.current.nodes, node)
}
