package peertest

import (
	"context"
	"encoding/gob"
	"errors"
	"fmt"
	"reflect"

	"ringstream.example/ringstream/internal/core/identity"
	"ringstream.example/ringstream/internal/core/membership"
	"ringstream.example/ringstream/internal/peer"
)

// ErrUnreachable is returned by Send, Call and Open for a node that is not in the
// network, and by Open for a killed node.
var ErrUnreachable = errors.New("peertest: no such node in the view")

// Traffic counts the messages and bytes that a node has sent.
type Traffic struct {
	Messages uint64
	Bytes    uint64
}

// frameOverhead is the size in bytes of the length prefix and kind of one message on a stream.
const frameOverhead = 8

// maxSeenFloods is the maximum number of flood ids that a node remembers.
const maxSeenFloods = 4096

// floodID identifies a flood.
type floodID struct {
	origin   identity.NodeID
	sequence uint64
}

// Node is one node of the network. It implements peer.Bus.
type Node struct {
	network *Network
	member  membership.Member

	// The following fields are guarded by network.mu.
	dead, paused bool
	held         []*delivery
	handlers     map[reflect.Type]peer.Handler
	streams      map[reflect.Type]peer.StreamHandler
	changed      chan struct{}
	seen         map[floodID]bool
	seenOrder    []floodID
	floods       uint64
	traffic      Traffic
	encoder      *gob.Encoder
}

var _ peer.Bus = (*Node)(nil)

func newNode(network *Network, member membership.Member) *Node {
	node := &Node{
		network:  network,
		member:   member,
		handlers: map[reflect.Type]peer.Handler{},
		streams:  map[reflect.Type]peer.StreamHandler{},
		changed:  make(chan struct{}),
		seen:     map[floodID]bool{},
	}
	node.encoder = gob.NewEncoder(counter{node})
	return node
}

// counter is the io.Writer of a node's encoder. It counts the bytes and discards them.
type counter struct{ node *Node }

// Write implements io.Writer.
func (c counter) Write(data []byte) (int, error) {
	c.node.traffic.Bytes += uint64(len(data))
	return len(data), nil
}

// countMessage adds a message to the traffic. The caller holds network.mu. countMessage
// panics for a message that the real transport would not send, because its type is
// not registered or gob cannot encode it.
func (b *Node) countMessage(message any) {
	if message != nil && !peer.Registered(message) {
		panic(fmt.Sprintf("peertest: %T is not registered with peer.Register", message))
	}
	b.traffic.Messages++
	if !b.network.options.CountBytes {
		return
	}
	b.traffic.Bytes += frameOverhead
	if err := b.encoder.Encode(message); err != nil {
		panic(fmt.Sprintf("peertest: %T cannot be encoded: %v", message, err))
	}
}

// Traffic returns the messages and bytes that the node has sent so far.
func (b *Node) Traffic() Traffic {
	b.network.mu.Lock()
	defer b.network.mu.Unlock()
	return b.traffic
}

// notify wakes those who wait for a change of the view. The caller holds network.mu.
func (b *Node) notify() {
	close(b.changed)
	b.changed = make(chan struct{})
}

// Self implements peer.Bus.
func (b *Node) Self() identity.NodeID { return b.member.ID }

// View implements peer.Bus.
func (b *Node) View() membership.View {
	b.network.mu.Lock()
	defer b.network.mu.Unlock()
	return membership.View{Self: b.member.ID, Members: b.network.members}
}

// Changed implements peer.Bus.
func (b *Node) Changed() <-chan struct{} {
	b.network.mu.Lock()
	defer b.network.mu.Unlock()
	return b.changed
}

// Handle implements peer.Bus.
func (b *Node) Handle(prototype any, handler peer.Handler) {
	b.network.mu.Lock()
	defer b.network.mu.Unlock()
	peer.Register(prototype)
	b.handlers[reflect.TypeOf(prototype)] = handler
}

// HandleStream implements peer.Bus.
func (b *Node) HandleStream(prototype any, handler peer.StreamHandler) {
	b.network.mu.Lock()
	defer b.network.mu.Unlock()
	peer.Register(prototype)
	b.streams[reflect.TypeOf(prototype)] = handler
}

// handle runs the handler for a message and returns its reply. It returns false if there is no handler.
func (b *Node) handle(from identity.NodeID, message any) (any, bool) {
	b.network.mu.Lock()
	handler := b.handlers[reflect.TypeOf(message)]
	b.network.mu.Unlock()
	if handler == nil {
		return nil, false
	}
	return handler(from, message), true
}

// Send implements peer.Bus.
func (b *Node) Send(to identity.NodeID, message any) error {
	n := b.network
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.nodes[to] == nil {
		return ErrUnreachable
	}
	n.send(b.member.ID, to, message, func(target *Node) { target.handle(b.member.ID, message) })
	return nil
}

// Broadcast implements peer.Bus. Each node forwards a flood once, to its neighbours
// in the overlay.
func (b *Node) Broadcast(message any) {
	n := b.network
	n.mu.Lock()
	defer n.mu.Unlock()
	b.floods++
	id := floodID{b.member.ID, b.floods}
	b.addIfNew(id)
	b.forwardFlood(id, b.member.ID, message)
}

// forwardFlood sends a flood to all neighbours except its source. The caller holds network.mu.
func (b *Node) forwardFlood(id floodID, source identity.NodeID, message any) {
	n := b.network
	for _, neighbour := range n.neighboursOf(b.member.ID) {
		if neighbour == source {
			continue
		}
		n.send(b.member.ID, neighbour, message, func(target *Node) { target.receiveFlood(id, b.member.ID, message) })
	}
}

// receiveFlood handles and forwards a flood. Duplicates are ignored.
func (b *Node) receiveFlood(id floodID, source identity.NodeID, message any) {
	b.network.mu.Lock()
	fresh := b.addIfNew(id)
	if fresh {
		b.forwardFlood(id, source, message)
	}
	b.network.mu.Unlock()
	if fresh {
		b.handle(id.origin, message)
	}
}

// addIfNew records a flood's id. It returns false if the id was known. The caller holds network.mu.
func (b *Node) addIfNew(id floodID) bool {
	if b.seen[id] {
		return false
	}
	b.seen[id] = true
	b.seenOrder = append(b.seenOrder, id)
	if len(b.seenOrder) > maxSeenFloods {
		delete(b.seen, b.seenOrder[0])
		b.seenOrder = b.seenOrder[1:]
	}
	return true
}

// Call implements peer.Bus. If the message or its reply is lost, Call returns when the context ends.
func (b *Node) Call(ctx context.Context, to identity.NodeID, message any) (any, error) {
	n := b.network
	answer := make(chan any, 1)
	n.mu.Lock()
	if n.nodes[to] == nil {
		n.mu.Unlock()
		return nil, ErrUnreachable
	}
	n.send(b.member.ID, to, message, func(target *Node) {
		reply, ok := target.handle(b.member.ID, message)
		if !ok {
			return
		}
		n.mu.Lock()
		defer n.mu.Unlock()
		n.send(to, b.member.ID, reply, func(*Node) { answer <- reply })
	})
	n.mu.Unlock()
	select {
	case reply := <-answer:
		return reply, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}
