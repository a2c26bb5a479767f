// Package peer carries typed messages between nodes as gob streams over TCP,
// with mutual TLS where configured. It owns the connections, their queues and
// the state machine of the member list. Apart from membership messages it does
// not interpret the messages that it carries.
//
// Links follow the overlay of package membership. Floods and heartbeats use
// links only. Send and Call use a link where there is one, else a pooled
// direct connection. Each stream has its own connection.
//
// Lock order: Node.mu, then Node.connectionsMu, then connection.mu. Handlers
// are called with no lock held.
package peer

import (
	"context"
	"errors"

	"ringstream.example/ringstream/internal/core/identity"
	"ringstream.example/ringstream/internal/core/membership"
)

// Errors that callers of a Bus can distinguish. All except ErrConnectionLost mean that the
// message was not delivered to a handler.
var (
	ErrUnknownMember = errors.New("peer: no live member of that id")
	ErrUnreachable   = errors.New("peer: cannot connect")
	ErrQueueFull     = errors.New("peer: send queue full")
	ErrNoHandler     = errors.New("peer: no handler for the message there")
	ErrNotRegistered = errors.New("peer: message type not registered")
	// ErrConnectionLost means that the connection broke. A message that was already queued may have arrived.
	ErrConnectionLost = errors.New("peer: connection lost")
)

// Handler handles one message. For calls, its result is the reply. It must not
// block: long work belongs in a goroutine of the handler.
type Handler func(from identity.NodeID, message any) (reply any)

// StreamHandler serves one stream opened by another node. It may block, and
// the stream closes when it returns. first is the opening message. The context
// ends when the other side closes the stream or is lost, and when this node stops.
type StreamHandler func(ctx context.Context, from identity.NodeID, first any, stream Stream)

// Stream is a dedicated bidirectional connection, for one forwarded request.
type Stream interface {
	Send(message any) error
	// Receive returns the next message. It returns io.EOF if the other side has closed
	// the stream, and another error if the connection was lost before that.
	Receive() (any, error)
	Close() error
}

// Bus is the interface of the other components to the fleet. Message types are
// registered with Register before Run; a message is a pointer-free struct.
type Bus interface {
	// Self returns this node's id.
	Self() identity.NodeID
	// View returns the current member list. It is cheap and never blocks.
	View() membership.View
	// Changed returns a channel that is closed at the next change of the View.
	Changed() <-chan struct{}
	// Handle sets the handler for messages of the prototype's type.
	Handle(prototype any, handler Handler)
	// HandleStream sets the handler for streams whose first message has the
	// prototype's type.
	HandleStream(prototype any, handler StreamHandler)
	// Broadcast sends a message to every other live node, once per link, best effort.
	// Senders repair lost messages by anti-entropy where delivery matters.
	Broadcast(message any)
	// Send sends a message to one node, best effort.
	Send(to identity.NodeID, message any) error
	// Call sends a message and waits for the handler's reply.
	Call(ctx context.Context, to identity.NodeID, message any) (any, error)
	// Open opens a stream, which closes when the context ends.
	Open(ctx context.Context, to identity.NodeID, first any) (Stream, error)
}
