package peer

import (
	"sync"
	"sync/atomic"
	"time"

	"ringstream.example/ringstream/internal/core/identity"
	"ringstream.example/ringstream/internal/core/membership"
)

// controlQueueLength is the capacity, in messages, of a link's queue for membership
// messages, which are sent before all others.
const controlQueueLength = 64

// reply is the result of a call.
type reply struct {
	message any
	err     error
}

// connection carries messages and calls to and from one node. Its send queues are bounded:
// a frame that does not fit is dropped and counted.
type connection struct {
	node     *Node
	peer     identity.NodeID
	purpose  purpose
	dialed   bool
	control  chan frame
	data     chan frame
	done     chan struct{}
	once     sync.Once
	lastUsed atomic.Int64 // Unix time of the last use, in nanoseconds

	mu       sync.Mutex
	wire     *wire // nil while dialing
	closed   bool
	pending  map[uint64]chan reply
	lastCall uint64
}

func newConnection(node *Node, peer identity.NodeID, connPurpose purpose, dialed bool) *connection {
	c := &connection{
		node: node, peer: peer, purpose: connPurpose, dialed: dialed,
		data: make(chan frame, node.config.SendQueue),
		done: make(chan struct{}),
	}
	if connPurpose == purposeLink {
		c.control = make(chan frame, controlQueueLength)
	}
	c.lastUsed.Store(time.Now().UnixNano())
	return c
}

// enqueue queues a frame for sending. It does not block: it returns ErrQueueFull if the queue is full and
// ErrConnectionLost if the connection is closed.
func (c *connection) enqueue(f frame) error {
	c.lastUsed.Store(time.Now().UnixNano())
	queue := c.data
	if c.control != nil && isControl(f.message) {
		queue = c.control
	}
	select {
	case <-c.done:
		return ErrConnectionLost
	default:
	}
	select {
	case queue <- f:
		return nil
	default:
		c.node.traffic.dropped.Add(1)
		return ErrQueueFull
	}
}

// isControl reports whether a message is one of the membership protocol.
func isControl(message any) bool {
	_, control := message.(membership.Message)
	return control
}

// attach sets the connection's wire. If the connection was closed meanwhile, attach closes the wire and returns false.
func (c *connection) attach(w *wire) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		w.close()
		return false
	}
	c.wire = w
	return true
}

// close ends the connection at once. Calls in flight fail with cause.
func (c *connection) close(cause error) {
	c.once.Do(func() {
		close(c.done)
		c.mu.Lock()
		c.closed = true
		w, pending := c.wire, c.pending
		c.pending = nil
		c.mu.Unlock()
		if w != nil {
			w.close()
		}
		for _, waiting := range pending {
			waiting <- reply{err: cause}
		}
	})
}

// serve reads and writes frames until the connection ends.
func (c *connection) serve() {
	writerDone := make(chan struct{})
	go func() {
		defer close(writerDone)
		c.write()
		c.close(ErrConnectionLost)
	}()
	c.read()
	c.close(ErrConnectionLost)
	<-writerDone
}

// write sends queued frames until the connection ends. Frames that are queued together share a flush.
func (c *connection) write() {
	for {
		f, ok := c.next()
		if !ok {
			return
		}
		_ = c.wire.conn.SetWriteDeadline(time.Now().Add(c.node.config.WriteTimeout))
		for more := true; more; {
			size, err := c.wire.encoder.encode(&f)
			if err != nil {
				c.node.encodeFailed(c.peer, err)
				return
			}
			c.node.traffic.sent(f.msgType, size)
			if f.kind == frameEnd {
				_ = c.wire.writer.Flush()
				return
			}
			f, more = c.poll()
		}
		if c.wire.writer.Flush() != nil {
			return
		}
	}
}

// next waits for a queued frame and prefers membership messages. It returns false when the connection is closed.
func (c *connection) next() (frame, bool) {
	if f, ok := c.poll(); ok {
		return f, true
	}
	select {
	case f := <-c.control:
		return f, true
	case f := <-c.data:
		return f, true
	case <-c.done:
		return frame{}, false
	}
}

// poll returns a queued frame without waiting, membership messages first. It returns false if there is none.
func (c *connection) poll() (frame, bool) {
	select {
	case f := <-c.control:
		return f, true
	default:
	}
	select {
	case f := <-c.data:
		return f, true
	default:
		return frame{}, false
	}
}

// read receives and handles frames until the connection ends.
func (c *connection) read() {
	for {
		if c.purpose == purposeDirect {
			_ = c.wire.conn.SetReadDeadline(time.Now().Add(2 * c.node.config.IdleTimeout))
		}
		f, size, err := c.wire.decoder.decode()
		if err != nil || f.kind == frameEnd {
			return
		}
		c.node.traffic.received(f.msgType, size)
		c.handleFrame(f)
	}
}

// handleFrame handles one received frame. It runs the message handlers, which must not block.
func (c *connection) handleFrame(f frame) {
	c.lastUsed.Store(time.Now().UnixNano())
	if c.purpose == purposeLink {
		message, _ := f.message.(membership.Message)
		c.node.receivedOnLink(c, message)
		if message != nil {
			return
		}
	}
	switch f.kind {
	case frameMessage:
		c.node.handle(c.peer, f.message)
	case frameFlood:
		c.node.receiveFlood(c, f)
	case frameCall:
		c.answerCall(f)
	case frameReply:
		c.finishCall(f.number, reply{message: f.message})
	case frameNoHandler:
		c.finishCall(f.number, reply{err: ErrNoHandler})
	case frameEnd:
	}
}

// answerCall runs the handler of a call and sends its reply, or a frame that says that there is none.
func (c *connection) answerCall(f frame) {
	message, handled := c.node.handle(c.peer, f.message)
	if handled && message != nil {
		msgType, err := typeOf(message)
		if err == nil {
			_ = c.enqueue(frame{kind: frameReply, number: f.number, message: message, msgType: msgType})
			return
		}
		c.node.encodeFailed(c.peer, err)
	}
	_ = c.enqueue(frame{kind: frameNoHandler, number: f.number})
}

// beginCall starts a call. It returns the call's number and the channel that receives the reply.
func (c *connection) beginCall(message any, msgType *messageType) (uint64, chan reply, error) {
	waiting := make(chan reply, 1)
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return 0, nil, ErrConnectionLost
	}
	if c.pending == nil {
		c.pending = map[uint64]chan reply{}
	}
	c.lastCall++
	number := c.lastCall
	c.pending[number] = waiting
	c.mu.Unlock()
	if err := c.enqueue(frame{kind: frameCall, number: number, message: message, msgType: msgType}); err != nil {
		c.finishCall(number, reply{err: err})
	}
	return number, waiting, nil
}

// finishCall delivers the result of a call if the call is still pending.
func (c *connection) finishCall(number uint64, result reply) {
	c.mu.Lock()
	waiting := c.pending[number]
	delete(c.pending, number)
	c.mu.Unlock()
	if waiting != nil {
		waiting <- result
	}
}

// hasPendingCalls reports whether calls wait for a reply on the connection.
func (c *connection) hasPendingCalls() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.pending) > 0
}
