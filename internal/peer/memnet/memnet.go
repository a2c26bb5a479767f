// Package memnet is an in-memory network for tests and the bench. It carries byte
// streams with delay between named hosts, can cut links in one or both directions,
// and counts the traffic. It models TCP: bytes arrive in order, a dial needs both
// directions, and bytes sent over a cut link are never delivered.
package memnet

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// segmentHeaderBytes is the size of the IP and TCP headers, with time stamps, of one
// segment.
const segmentHeaderBytes = 52

// acceptBacklog is the number of connections that can wait to be accepted.
const acceptBacklog = 256

// errRefused is the error of a dial to an address without a listener.
var errRefused = errors.New("memnet: connection refused")

// Network connects hosts. Its fields are set before use.
type Network struct {
	// Delay returns the one-way latency between two addresses. If Delay is nil, there is none.
	Delay func(from, to string) time.Duration
	// Cut reports whether everything that one address sends to another is lost. If Cut is
	// nil, nothing is. It is called at each dial, write and close, and its result may change
	// at any time.
	Cut func(from, to string) bool

	mu        sync.Mutex
	listeners map[string]*listener
	hosts     map[string]*Host
	conns     map[*conn]struct{}

	segments, payload atomic.Int64
}

// New creates a network without delay or cuts.
func New() *Network {
	return &Network{listeners: map[string]*listener{}, hosts: map[string]*Host{}, conns: map[*conn]struct{}{}}
}

// Segments returns the number of writes so far. Acknowledgements are not counted.
func (n *Network) Segments() int64 { return n.segments.Load() }

// Payload returns the number of bytes written so far, without headers.
func (n *Network) Payload() int64 { return n.payload.Load() }

// WireBytes estimates the bytes on the wire: the payload, a header for each
// segment, and a header for its acknowledgement.
func (n *Network) WireBytes() int64 { return n.Payload() + 2*segmentHeaderBytes*n.Segments() }

// Host returns the view that a process at one address has of the network. A later
// Host of the same address stands for another process.
func (n *Network) Host(address string) *Host {
	n.mu.Lock()
	defer n.mu.Unlock()
	host := &Host{network: n, address: address}
	n.hosts[address] = host
	return host
}

// Kill disconnects an address at once and silently, like the loss of a machine. Its
// connections carry nothing any more, not even their end.
func (n *Network) Kill(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if host := n.hosts[address]; host != nil {
		host.killed.Store(true)
	}
	if listener := n.listeners[address]; listener != nil {
		listener.silent.Store(true)
	}
	for c := range n.conns {
		if c.local == address || c.remote == address {
			c.lost.Store(true)
		}
	}
}

// Host dials and listens as one address.
type Host struct {
	network *Network
	address string
	killed  atomic.Bool
}

// Dial connects to a listening address. It takes one round trip.
func (h *Host) Dial(ctx context.Context, address string) (net.Conn, error) {
	n := h.network
	n.mu.Lock()
	target := n.listeners[address]
	n.mu.Unlock()
	if h.killed.Load() || n.isCut(h.address, address) || n.isCut(address, h.address) || (target != nil && target.silent.Load()) {
		<-ctx.Done()
		return nil, fmt.Errorf("memnet: dial %s: %w", address, ctx.Err())
	}
	if err := wait(ctx, n.delay(h.address, address)+n.delay(address, h.address)); err != nil {
		return nil, fmt.Errorf("memnet: dial %s: %w", address, err)
	}
	if target == nil {
		return nil, fmt.Errorf("memnet: dial %s: %w", address, errRefused)
	}
	near, far := n.pair(h.address, address)
	select {
	case target.accepted <- far:
		return near, nil
	case <-target.closed:
		return nil, fmt.Errorf("memnet: dial %s: %w", address, errRefused)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Listen listens on an address. An address that is already in use is an error, unless it was killed.
func (h *Host) Listen(address string) (net.Listener, error) {
	n := h.network
	n.mu.Lock()
	defer n.mu.Unlock()
	if old := n.listeners[address]; old != nil && !old.silent.Load() {
		return nil, fmt.Errorf("memnet: listen %s: address in use", address)
	}
	added := &listener{network: n, address: address, accepted: make(chan *conn, acceptBacklog), closed: make(chan struct{})}
	n.listeners[address] = added
	return added, nil
}

func (n *Network) isCut(from, to string) bool { return n.Cut != nil && n.Cut(from, to) }

func (n *Network) delay(from, to string) time.Duration {
	if n.Delay == nil {
		return 0
	}
	return n.Delay(from, to)
}

func wait(ctx context.Context, duration time.Duration) error {
	if duration <= 0 {
		return nil
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

type listener struct {
	network  *Network
	address  string
	accepted chan *conn
	closed   chan struct{}
	once     sync.Once
	silent   atomic.Bool
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accepted:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.once.Do(func() {
		close(l.closed)
		l.network.mu.Lock()
		if l.network.listeners[l.address] == l && !l.silent.Load() {
			delete(l.network.listeners, l.address)
		}
		l.network.mu.Unlock()
	})
	return nil
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return address(l.address) }

type address string

// Network implements net.Addr.
func (address) Network() string { return "memory" }

// String implements net.Addr.
func (a address) String() string { return string(a) }

// conn is one end of a connection. It holds the data sent to this end.
type conn struct {
	network       *Network
	local, remote string
	other         *conn
	// lost says that nothing written at this end is delivered any more, nor its close.
	lost atomic.Bool

	mu             sync.Mutex
	changed        chan struct{} // holds an element after a change of the state below
	chunks         []chunk
	remoteClosed   bool // the other end has closed; applies after the chunks
	closeArrivesAt time.Time
	closed         bool
	deadline       time.Time
}

// chunk is the data of one write, which can be read from arrivesAt on.
type chunk struct {
	arrivesAt time.Time
	bytes     []byte
}

// pair creates the two ends of a connection.
func (n *Network) pair(from, to string) (near, far *conn) {
	near = &conn{network: n, local: from, remote: to, changed: make(chan struct{}, 1)}
	far = &conn{network: n, local: to, remote: from, changed: make(chan struct{}, 1)}
	near.other, far.other = far, near
	n.mu.Lock()
	n.conns[near], n.conns[far] = struct{}{}, struct{}{}
	n.mu.Unlock()
	return near, far
}

// Read implements net.Conn.
func (c *conn) Read(into []byte) (int, error) {
	for {
		count, pause, err := c.readAvailable(into)
		if count > 0 || err != nil {
			return count, err
		}
		c.waitForChange(pause)
	}
}

// readAvailable reads data that has arrived. If there is none, it returns how long to wait: until a change
// of the state if pause is negative.
func (c *conn) readAvailable(into []byte) (count int, pause time.Duration, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	switch {
	case c.closed:
		return 0, 0, net.ErrClosed
	case !c.deadline.IsZero() && !now.Before(c.deadline):
		return 0, 0, os.ErrDeadlineExceeded
	case len(c.chunks) > 0 && !c.chunks[0].arrivesAt.After(now):
		first := &c.chunks[0]
		count = copy(into, first.bytes)
		if first.bytes = first.bytes[count:]; len(first.bytes) == 0 {
			c.chunks = c.chunks[1:]
		}
		return count, 0, nil
	case len(c.chunks) == 0 && c.remoteClosed && !c.closeArrivesAt.After(now):
		return 0, 0, io.EOF
	}
	pause = -1
	if len(c.chunks) > 0 {
		pause = c.chunks[0].arrivesAt.Sub(now)
	} else if c.remoteClosed {
		pause = c.closeArrivesAt.Sub(now)
	}
	if left := c.deadline.Sub(now); !c.deadline.IsZero() && (pause < 0 || left < pause) {
		pause = left
	}
	return 0, pause, nil
}

// waitForChange waits for a change of the state, at most for pause unless that is negative.
func (c *conn) waitForChange(pause time.Duration) {
	if pause < 0 {
		<-c.changed
		return
	}
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-c.changed:
	case <-timer.C:
	}
}

// wake makes a pending waitForChange return.
func (c *conn) wake() {
	select {
	case c.changed <- struct{}{}:
	default:
	}
}

// Write implements net.Conn. It never blocks.
func (c *conn) Write(from []byte) (int, error) {
	c.mu.Lock()
	closed := c.closed
	c.mu.Unlock()
	if closed {
		return 0, net.ErrClosed
	}
	c.network.segments.Add(1)
	c.network.payload.Add(int64(len(from)))
	if c.lost.Load() || c.network.isCut(c.local, c.remote) {
		c.markLost()
		return len(from), nil
	}
	other := c.other
	arrivesAt := time.Now().Add(c.network.delay(c.local, c.remote))
	other.mu.Lock()
	if !other.closed {
		other.chunks = append(other.chunks, chunk{arrivesAt: arrivesAt, bytes: append([]byte(nil), from...)})
	}
	other.mu.Unlock()
	other.wake()
	return len(from), nil
}

// markLost ends the delivery of what this end writes, since a byte stream cannot continue after a gap.
func (c *conn) markLost() { c.lost.Store(true) }

// Close implements net.Conn.
func (c *conn) Close() error {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return nil
	}
	c.closed = true
	c.chunks = nil
	c.mu.Unlock()
	c.wake()
	c.network.mu.Lock()
	delete(c.network.conns, c)
	c.network.mu.Unlock()
	if c.lost.Load() || c.network.isCut(c.local, c.remote) {
		return nil
	}
	other := c.other
	other.mu.Lock()
	other.remoteClosed = true
	other.closeArrivesAt = time.Now().Add(c.network.delay(c.local, c.remote))
	other.mu.Unlock()
	other.wake()
	return nil
}

// LocalAddr implements net.Conn.
func (c *conn) LocalAddr() net.Addr { return address(c.local) }

// RemoteAddr implements net.Conn.
func (c *conn) RemoteAddr() net.Addr { return address(c.remote) }

// SetDeadline implements net.Conn. It sets the read deadline only, since writes never block.
func (c *conn) SetDeadline(t time.Time) error { return c.SetReadDeadline(t) }

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	c.deadline = t
	c.mu.Unlock()
	c.wake()
	return nil
}

// SetWriteDeadline implements net.Conn.
func (c *conn) SetWriteDeadline(time.Time) error { return nil }
