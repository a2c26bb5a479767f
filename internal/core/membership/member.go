// Package membership implements the failure detector and the member list of one
// node as a state machine. It does no I/O, reads no clock and starts no goroutine.
package membership

import "ringstream.example/ringstream/internal/core/identity"

// State is the state of a member as recorded by a node.
type State uint8

// The states, in the order in which they override each other at one incarnation.
const (
	Alive State = iota
	Suspect
	Leaving // announced its planned stop; gets no new work
	Dead
)

// Member is one node as others see it.
type Member struct {
	ID identity.NodeID
	// PeerAddress and GatewayAddress are host:port; the host is an IP address.
	PeerAddress    string
	GatewayAddress string
	Zone, Region   string
	Incarnation    uint64
	State          State
}

// View is an immutable snapshot of the member list, sorted by ID.
type View struct {
	Self    identity.NodeID
	Members []Member
}

// Live returns the members that may get new work: those in state Alive or
// Suspect, including this node.
func (v View) Live() []Member {
	live := make([]Member, 0, len(v.Members))
	for _, member := range v.Members {
		if member.State == Alive || member.State == Suspect {
			live = append(live, member)
		}
	}
	return live
}

// Member returns the member with the given id, and whether the view has it.
func (v View) Member(id identity.NodeID) (Member, bool) {
	for _, member := range v.Members {
		if member.ID == id {
			return member, true
		}
	}
	return Member{}, false
}

// String returns the state's name for logs and operators.
func (s State) String() string {
	switch s {
	case Alive:
		return "alive"
	case Suspect:
		return "suspect"
	case Leaving:
		return "leaving"
	default:
		return "dead"
	}
}
