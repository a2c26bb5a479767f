package peer

import (
	"context"
	"reflect"

	"go.uber.org/zap"

	"ringstream.example/ringstream/internal/core/identity"
	"ringstream.example/ringstream/internal/core/membership"
	"ringstream.example/ringstream/internal/events"
)

// Self implements Bus.
func (n *Node) Self() identity.NodeID { return n.identity.ID }

// View implements Bus.
func (n *Node) View() membership.View { return *n.view.Load() }

// Changed implements Bus.
func (n *Node) Changed() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.changed
}

// Handle implements Bus.
func (n *Node) Handle(prototype any, handler Handler) {
	Register(prototype)
	n.handlersMu.Lock()
	defer n.handlersMu.Unlock()
	n.handlers[reflect.TypeOf(prototype)] = handler
}

// HandleStream implements Bus.
func (n *Node) HandleStream(prototype any, handler StreamHandler) {
	Register(prototype)
	n.handlersMu.Lock()
	defer n.handlersMu.Unlock()
	n.streamHandlers[reflect.TypeOf(prototype)] = handler
}

// handle runs the handler for a message and returns its reply. It returns false if there is no handler.
func (n *Node) handle(from identity.NodeID, message any) (any, bool) {
	n.handlersMu.RLock()
	handler := n.handlers[reflect.TypeOf(message)]
	n.handlersMu.RUnlock()
	if handler == nil {
		return nil, false
	}
	return handler(from, message), true
}

// streamHandler returns the handler for streams that begin with a message of first's type, or nil.
func (n *Node) streamHandler(first any) StreamHandler {
	n.handlersMu.RLock()
	defer n.handlersMu.RUnlock()
	return n.streamHandlers[reflect.TypeOf(first)]
}

// Send implements Bus.
func (n *Node) Send(to identity.NodeID, message any) error {
	msgType, err := typeOf(message)
	if err != nil {
		return err
	}
	if to == n.identity.ID {
		n.spawn(func() { n.handle(to, message) })
		return nil
	}
	c, err := n.route(to)
	if err != nil {
		return err
	}
	return c.enqueue(frame{kind: frameMessage, message: message, msgType: msgType})
}

// Call implements Bus.
func (n *Node) Call(ctx context.Context, to identity.NodeID, message any) (any, error) {
	msgType, err := typeOf(message)
	if err != nil {
		return nil, err
	}
	if to == n.identity.ID {
		answer, handled := n.handle(to, message)
		if !handled {
			return nil, ErrNoHandler
		}
		return answer, nil
	}
	c, err := n.route(to)
	if err != nil {
		return nil, err
	}
	number, waiting, err := c.beginCall(message, msgType)
	if err != nil {
		return nil, err
	}
	select {
	case result := <-waiting:
		return result.message, result.err
	case <-ctx.Done():
		c.finishCall(number, reply{})
		return nil, ctx.Err()
	}
}

// route returns the connection to a node: its link if there is one, else the direct connection.
func (n *Node) route(to identity.NodeID) (*connection, error) {
	n.mu.Lock()
	link := n.links[to]
	n.mu.Unlock()
	if link != nil {
		return link, nil
	}
	member, ok := n.View().Member(to)
	if !ok || member.State == membership.Dead {
		return nil, ErrUnknownMember
	}
	return n.directTo(member)
}

// encodeFailed logs that a message could not be encoded and was not sent.
func (n *Node) encodeFailed(to identity.NodeID, err error) {
	events.MessageNotSent.Log(n.logger, zap.String("member", string(to)), zap.Error(err))
}
