package limits

import (
	"slices"
	"time"

	"ringstream.example/ringstream/internal/core/identity"
	"ringstream.example/ringstream/internal/core/membership"
	"ringstream.example/ringstream/internal/core/rendezvous"
)

// historyLength is how long past views are kept, to know since when this node
// has owned a limit.
const historyLength = 10 * time.Second

// fleet is one view of the live nodes and the time it came.
type fleet struct {
	nodes []identity.NodeID
	since time.Time
}

// ownership tells the owner and the deputy of each limit in the current view.
type ownership struct {
	self identity.NodeID
	// generation rises with each change of the live nodes.
	generation uint64
	current    fleet
	past       []fleet // newest first
	// notBefore is when this node can at the earliest have become the owner of anything.
	notBefore time.Time
}

// update takes a view; false when the live nodes are the same.
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
		o.past = append([]fleet{o.current}, o.past...)
	}
	for len(o.past) > 0 && o.endOfPast(len(o.past)-1).Before(now.Add(-historyLength)) {
		o.past = o.past[:len(o.past)-1]
	}
	o.current = fleet{nodes: nodes, since: now}
	o.generation++
	return true
}

// endOfPast is when a past view was replaced.
func (o *ownership) endOfPast(index int) time.Time {
	if index == 0 {
		return o.current.since
	}
	return o.past[index-1].since
}

// owners gives the owner of a limit and its deputy, who lends while the owner
// does not answer; the deputy is empty when there is one node.
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

// lends says whether this node may lend a limit: as its owner or its deputy.
func (o *ownership) lends(key string) bool {
	owner, deputy := o.owners(key)
	return owner == o.self || deputy == o.self
}

// ownedSince says since when this node has been the owner in every view; now
// when it is not.
func (o *ownership) ownedSince(key string, now time.Time) time.Time {
	since := now
	for _, view := range append([]fleet{o.current}, o.past...) {
		notJoined := len(view.nodes) == 1 && len(o.current.nodes) > 1
		if owner, _ := rendezvous.Owner(key, view.nodes); owner != o.self || notJoined {
			break
		}
		since = view.since
	}
	if since.Before(o.notBefore) {
		return o.notBefore
	}
	return since
}

// alwaysAlone says whether this node has seen no other so far.
func (o *ownership) alwaysAlone() bool { return len(o.current.nodes) == 1 && len(o.past) == 0 }

// live says whether a node is in the current view.
func (o *ownership) live(node identity.NodeID) bool {
	return slices.Contains(o.current.nodes, node)
}
