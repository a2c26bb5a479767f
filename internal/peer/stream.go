package peer

import (
	"context"
	"io"
	"sync"
	"time"

	"ringstream.example/ringstream/internal/core/identity"
)

// streamBuffer is the number of received messages that a stream buffers. The stream then stops
// reading, which blocks the sender.
const streamBuffer = 16

// stream implements Stream on a dedicated connection.
type stream struct {
	node     *Node
	peer     identity.NodeID
	wire     *wire
	incoming chan any
	// ended is closed after err is set, when no more messages arrive.
	ended  chan struct{}
	err    error
	closed chan struct{}
	once   sync.Once

	sendMu sync.Mutex
}

func newStream(node *Node, peer identity.NodeID, w *wire) *stream {
	return &stream{
		node: node, peer: peer, wire: w,
		incoming: make(chan any, streamBuffer),
		ended:    make(chan struct{}), closed: make(chan struct{}),
	}
}

// read receives messages until the stream ends.
func (s *stream) read() {
	defer close(s.ended)
	for {
		f, size, err := s.wire.decoder.decode()
		if err != nil {
			s.err = ErrConnectionLost
			return
		}
		s.node.traffic.received(f.msgType, size)
		if f.kind == frameEnd {
			s.err = io.EOF
			return
		}
		select {
		case s.incoming <- f.message:
		case <-s.closed:
			s.err = ErrConnectionLost
			return
		}
	}
}

// Send implements Stream. It blocks while the other side does not read, at most for the write timeout.
func (s *stream) Send(message any) error {
	msgType, err := typeOf(message)
	if err != nil {
		return err
	}
	return s.send(&frame{kind: frameMessage, message: message, msgType: msgType})
}

// send writes and flushes a frame. If that fails, it aborts the stream and returns ErrConnectionLost.
func (s *stream) send(f *frame) error {
	s.sendMu.Lock()
	defer s.sendMu.Unlock()
	_ = s.wire.conn.SetWriteDeadline(time.Now().Add(s.node.config.WriteTimeout))
	size, err := s.wire.encoder.encode(f)
	if err == nil {
		err = s.wire.writer.Flush()
	}
	if err != nil {
		s.abort()
		return ErrConnectionLost
	}
	s.node.traffic.sent(f.msgType, size)
	return nil
}

// Receive implements Stream.
func (s *stream) Receive() (any, error) {
	select {
	case message := <-s.incoming:
		return message, nil
	default:
	}
	select {
	case message := <-s.incoming:
		return message, nil
	case <-s.ended:
	}
	select {
	case message := <-s.incoming:
		return message, nil
	default:
		return nil, s.err
	}
}

// Close implements Stream. The other side receives the messages sent before, then io.EOF.
func (s *stream) Close() error {
	s.once.Do(func() {
		_ = s.send(&frame{kind: frameEnd})
		close(s.closed)
		s.wire.close()
		s.node.untrackStream(s)
	})
	return nil
}

// abort closes the connection at once. The other side receives an error.
func (s *stream) abort() {
	s.wire.close()
}

// Open implements Bus.
func (n *Node) Open(ctx context.Context, to identity.NodeID, first any) (Stream, error) {
	member, ok := n.View().Member(to)
	if !ok {
		return nil, ErrUnknownMember
	}
	dialContext, cancel := context.WithTimeout(ctx, n.config.DialTimeout)
	defer cancel()
	w, found, err := n.dial(dialContext, member.PeerAddress, purposeStream)
	if err != nil {
		return nil, err
	}
	if found.ID != to {
		w.close()
		return nil, ErrUnknownMember
	}
	opened := newStream(n, to, w)
	if !n.trackStream(opened) {
		w.close()
		return nil, ErrUnreachable
	}
	n.spawn(func() {
		opened.read()
	})
	stop := context.AfterFunc(ctx, opened.abort)
	n.spawn(func() {
		<-opened.closed
		stop()
	})
	if err = opened.Send(first); err != nil {
		_ = opened.Close()
		return nil, err
	}
	return opened, nil
}

// serveStream runs the handler of an accepted stream and closes the stream afterwards.
func (n *Node) serveStream(w *wire, from identity.NodeID) {
	accepted := newStream(n, from, w)
	if !n.trackStream(accepted) {
		w.close()
		return
	}
	defer func() { _ = accepted.Close() }()
	ctx, cancel := context.WithCancel(n.ctx)
	defer cancel()
	n.spawn(func() {
		accepted.read()
		cancel()
	})
	first, err := accepted.Receive()
	if err != nil {
		return
	}
	if handler := n.streamHandler(first); handler != nil {
		handler(ctx, from, first, accepted)
	}
}
