package peertest

import (
	"context"
	"io"
	"reflect"
	"sync"

	"ringstream.example/ringstream/internal/core/identity"
	"ringstream.example/ringstream/internal/peer"
)

// stream is one end of an open stream.
type stream struct {
	node   *Node
	remote *stream

	mu     sync.Mutex
	queue  []any
	closed bool          // no more messages arrive, since either end has closed
	wake   chan struct{} // holds one token when the state has changed
}

var _ peer.Stream = (*stream)(nil)

// newStreams creates the two ends of a stream.
func newStreams(near, far *Node) (*stream, *stream) {
	a := &stream{node: near, wake: make(chan struct{}, 1)}
	b := &stream{node: far, wake: make(chan struct{}, 1)}
	a.remote, b.remote = b, a
	return a, b
}

// Open implements peer.Bus. Messages that are lost by a cut cause no error, as on
// a connection whose other end does not respond.
func (b *Node) Open(ctx context.Context, to identity.NodeID, first any) (peer.Stream, error) {
	n := b.network
	n.mu.Lock()
	defer n.mu.Unlock()
	target := n.nodes[to]
	if target == nil || target.dead {
		return nil, ErrUnreachable
	}
	near, far := newStreams(b, target)
	n.send(b.member.ID, to, first, func(target *Node) {
		n.mu.Lock()
		handler := target.streams[reflect.TypeOf(first)]
		n.mu.Unlock()
		if handler == nil {
			_ = far.Close()
			return
		}
		go func() {
			defer func() { _ = far.Close() }()
			handler(context.WithoutCancel(ctx), b.member.ID, first, far)
		}()
	})
	return near, nil
}

// Send implements peer.Stream.
func (s *stream) Send(message any) error {
	s.mu.Lock()
	closed := s.closed
	s.mu.Unlock()
	if closed {
		return io.ErrClosedPipe
	}
	s.send(message, func() { s.remote.push(message) })
	return nil
}

// Receive implements peer.Stream.
func (s *stream) Receive() (any, error) {
	for {
		s.mu.Lock()
		if len(s.queue) > 0 {
			message := s.queue[0]
			s.queue = s.queue[1:]
			s.mu.Unlock()
			return message, nil
		}
		closed := s.closed
		s.mu.Unlock()
		if closed {
			return nil, io.EOF
		}
		<-s.wake
	}
}

// Close implements peer.Stream.
func (s *stream) Close() error {
	s.end()
	s.send(endOfStream{}, s.remote.end)
	return nil
}

// endOfStream is the message that Close sends to the other end.
type endOfStream struct{ Ended bool }

// send sends a message to the other end; run handles it there.
func (s *stream) send(message any, run func()) {
	n := s.node.network
	n.mu.Lock()
	defer n.mu.Unlock()
	n.send(s.node.member.ID, s.remote.node.member.ID, message, func(*Node) { run() })
}

// push queues a message to be received.
func (s *stream) push(message any) {
	s.mu.Lock()
	s.queue = append(s.queue, message)
	s.mu.Unlock()
	s.signal()
}

// end marks the stream as closed.
func (s *stream) end() {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	s.signal()
}

// signal wakes a pending Receive.
func (s *stream) signal() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

func init() { peer.Register(endOfStream{}) }
