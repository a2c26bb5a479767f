package membership

import "ringstream.example/ringstream/internal/core/identity"

// Event is one input of the Machine.
type Event interface{ event() }

// Tick triggers the time-based checks. The current time is an argument of Step.
type Tick struct{}

// Received is a message that arrived on a link.
type Received struct {
	From    identity.NodeID
	Message Message
}

// LinkUp reports that a link to a node is established and that both ends have
// exchanged their identities.
type LinkUp struct {
	Peer   Member // the record that the peer itself sent
	Dialed bool   // this node opened the link
}

// LinkDown reports that a link broke or was closed.
type LinkDown struct{ Peer identity.NodeID }

// DialFailed reports that a Connect effect did not lead to a link.
type DialFailed struct {
	Expected identity.NodeID // empty when the address is a seed or from AddressesDiscovered
	Address  string
	// Found is the id of another node that answered at the address, if any.
	Found identity.NodeID
}

// ProbeDone is the result of a Probe effect.
type ProbeDone struct {
	ID       identity.NodeID
	Answered bool
}

// AddressesDiscovered carries peer addresses from the platform's machine list. They are only
// addresses to dial. The list does not change the state of any member.
type AddressesDiscovered struct{ Addresses []string }

// LeaveAnnounced starts this node's planned stop. The node gets no new work.
type LeaveAnnounced struct{}

// Stopped ends this node's planned stop. The node announces its death, and the
// machine ignores all later events.
type Stopped struct{}

func (Tick) event()                {}
func (Received) event()            {}
func (LinkUp) event()              {}
func (LinkDown) event()            {}
func (DialFailed) event()          {}
func (ProbeDone) event()           {}
func (AddressesDiscovered) event() {}
func (LeaveAnnounced) event()      {}
func (Stopped) event()             {}

// Message is a message between the machines of two nodes on a link.
type Message interface{ message() }

// Heartbeat shows that the sender is alive. Any other message on the link does so too.
type Heartbeat struct {
	// Unwanted is true if the sender's overlay does not include this link.
	Unwanted bool
	// Digest is the digest of the members that are not dead in the sender's list.
	Digest uint64
}

// Deltas carries changed members. A node forwards only changes that changed its
// own list, so that each change crosses a link once.
type Deltas struct{ Members []Member }

// Sync carries a full member list, including tombstones.
type Sync struct {
	Members []Member
	// Gone lists the dead members that left or were replaced.
	Gone  []identity.NodeID
	Reply bool // the sender requests the receiver's list
}

func (Heartbeat) message() {}
func (Deltas) message()    {}
func (Sync) message()      {}

// Effect is one output of the Machine.
type Effect interface{ effect() }

// Send requests that a message be sent on a link.
type Send struct {
	To      identity.NodeID
	Message Message
}

// Connect requests a link. It results in LinkUp or DialFailed.
type Connect struct {
	ID      identity.NodeID // empty: any node that answers
	Address string
}

// Disconnect requests that a link be closed.
type Disconnect struct{ ID identity.NodeID }

// Probe requests a check whether a node answers at its address. It results in ProbeDone.
type Probe struct {
	ID      identity.NodeID
	Address string
}

// ViewChanged carries the new view. A step has at most one.
type ViewChanged struct{ View View }

// MemberChanged reports the state change of one member, for logs and counters.
type MemberChanged struct {
	Member Member
	Known  bool // false: the member was unknown before
	Before State
}

// Refuted reports that other nodes suspected this node or recorded it as dead,
// and that it refuted this with a higher incarnation.
type Refuted struct{ Incarnation uint64 }

// SuspicionRaised reports that this node suspects a member on its own evidence.
type SuspicionRaised struct {
	ID     identity.NodeID
	Reason string // "silence" or "probe"
}

// Paused reports a gap between two ticks: this node was paused and has restarted
// the timeouts of its links.
type Paused struct{ Seconds float64 }

func (Send) effect()            {}
func (Connect) effect()         {}
func (Disconnect) effect()      {}
func (Probe) effect()           {}
func (ViewChanged) effect()     {}
func (MemberChanged) effect()   {}
func (Refuted) effect()         {}
func (SuspicionRaised) effect() {}
func (Paused) effect()          {}
