package netsim

import (
	"errors"
	"io"
	"net"
	"net/netip"
	"os"
	"sync"
	"syscall"
	"time"
)

// pipe carries the bytes of one direction of a connection.
type pipe struct {
	network  *Network
	from, to netip.Addr

	mu            sync.Mutex
	segments      []segment
	size          int
	readErr       error // returned to the reader after the last segment
	writeErr      error // returned to the writer; nil while the pipe is open
	readerClosed  bool  // the reader has closed its end
	readDeadline  time.Time
	writeDeadline time.Time
	changed       chan struct{} // closed and replaced at each change
}

// segment holds bytes in transit and the time at which they arrive.
type segment struct {
	arrival time.Time
	data    []byte
}

// pipeBufferBytes is the number of bytes that a pipe holds before its writer blocks.
const pipeBufferBytes = 256 << 10

func newPipe(network *Network, from, to netip.Addr) *pipe {
	return &pipe{network: network, from: from, to: to, changed: make(chan struct{})}
}

// update edits the pipe under its lock and wakes its reader and writer.
func (p *pipe) update(edit func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	edit()
	close(p.changed)
	p.changed = make(chan struct{})
}

// wakeup holds the events that unblock a reader or writer.
type wakeup struct {
	pipeChanged, networkChanged <-chan struct{}
	until                       time.Time // zero: no timer
}

func (w wakeup) wait() {
	var due <-chan time.Time
	if !w.until.IsZero() {
		left := time.Until(w.until)
		if left <= 0 {
			return
		}
		timer := time.NewTimer(left)
		defer timer.Stop()
		due = timer.C
	}
	select {
	case <-w.pipeChanged:
	case <-w.networkChanged:
	case <-due:
	}
}

// read returns bytes that have arrived and blocks until there are some.
func (p *pipe) read(into []byte) (int, error) {
	for {
		count, blocked, err := p.tryRead(into)
		if err != nil || count > 0 || len(into) == 0 {
			return count, err
		}
		blocked.wait()
	}
}

func (p *pipe) tryRead(into []byte) (int, wakeup, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	linkBlocked, changed := p.network.linkBlocked(p.from, p.to)
	frozen, _ := p.network.isFrozen(p.to)
	blocked := wakeup{pipeChanged: p.changed, networkChanged: changed, until: p.readDeadline}
	now := time.Now()
	switch {
	case p.readerClosed:
		return 0, blocked, net.ErrClosed
	case !p.readDeadline.IsZero() && !now.Before(p.readDeadline):
		return 0, blocked, os.ErrDeadlineExceeded
	case linkBlocked || frozen:
		return 0, blocked, nil
	case len(p.segments) == 0:
		return 0, blocked, p.readErr
	case p.segments[0].arrival.After(now):
		if blocked.until.IsZero() || p.segments[0].arrival.Before(blocked.until) {
			blocked.until = p.segments[0].arrival
		}
		return 0, blocked, nil
	}
	first := &p.segments[0]
	count := copy(into, first.data)
	first.data = first.data[count:]
	if len(first.data) == 0 {
		p.segments = p.segments[1:]
	}
	p.size -= count
	close(p.changed)
	p.changed = make(chan struct{})
	return count, blocked, nil
}

// write sends bytes. It blocks while the pipe is full or the sending host is frozen.
func (p *pipe) write(data []byte) (int, error) {
	written := 0
	for written < len(data) {
		count, blocked, err := p.tryWrite(data[written:])
		written += count
		if err != nil {
			return written, err
		}
		if count == 0 {
			blocked.wait()
		}
	}
	return written, nil
}

func (p *pipe) tryWrite(data []byte) (int, wakeup, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	frozen, changed := p.network.isFrozen(p.from)
	blocked := wakeup{pipeChanged: p.changed, networkChanged: changed, until: p.writeDeadline}
	now := time.Now()
	switch {
	case p.writeErr != nil:
		return 0, blocked, p.writeErr
	case !p.writeDeadline.IsZero() && !now.Before(p.writeDeadline):
		return 0, blocked, os.ErrDeadlineExceeded
	case frozen || p.size >= pipeBufferBytes:
		return 0, blocked, nil
	}
	count := min(len(data), pipeBufferBytes-p.size)
	arrival := now.Add(p.network.latency(p.from, p.to))
	p.segments = append(p.segments, segment{arrival: arrival, data: append([]byte(nil), data[:count]...)})
	p.size += count
	close(p.changed)
	p.changed = make(chan struct{})
	return count, blocked, nil
}

// conn is one end of a connection.
type conn struct {
	network       *Network
	local, remote netip.AddrPort
	in, out       *pipe
}

var _ net.Conn = (*conn)(nil)

// Read implements net.Conn.
func (c *conn) Read(into []byte) (int, error) {
	count, err := c.in.read(into)
	return count, wrapError("read", err)
}

// Write implements net.Conn.
func (c *conn) Write(data []byte) (int, error) {
	count, err := c.out.write(data)
	return count, wrapError("write", err)
}

// wrapError wraps an error in a net.OpError as package net does. It returns io.EOF unwrapped.
func wrapError(operation string, err error) error {
	if err == nil || errors.Is(err, io.EOF) {
		return err
	}
	return &net.OpError{Op: operation, Net: "tcp", Err: err}
}

// Close implements net.Conn. The other end reads what was sent, then gets io.EOF.
func (c *conn) Close() error {
	c.unregister()
	c.in.update(func() {
		c.in.readerClosed = true
		if c.in.writeErr == nil {
			c.in.writeErr = syscall.EPIPE
		}
	})
	c.out.update(func() {
		c.out.writeErr = net.ErrClosed
		if c.out.readErr == nil {
			c.out.readErr = io.EOF
		}
	})
	return nil
}

// reset ends the connection at both ends with ECONNRESET for the peer, as when the process dies.
func (c *conn) reset() {
	c.unregister()
	c.in.update(func() {
		c.in.readerClosed = true
		if c.in.writeErr == nil {
			c.in.writeErr = syscall.ECONNRESET
		}
	})
	c.out.update(func() {
		c.out.writeErr = net.ErrClosed
		c.out.readErr = syscall.ECONNRESET
	})
}

func (c *conn) unregister() {
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	delete(c.network.conns, c)
}

// LocalAddr implements net.Conn.
func (c *conn) LocalAddr() net.Addr { return net.TCPAddrFromAddrPort(c.local) }

// RemoteAddr implements net.Conn.
func (c *conn) RemoteAddr() net.Addr { return net.TCPAddrFromAddrPort(c.remote) }

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(deadline time.Time) error {
	_ = c.SetReadDeadline(deadline)
	return c.SetWriteDeadline(deadline)
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(deadline time.Time) error {
	c.in.update(func() { c.in.readDeadline = deadline })
	return nil
}

// SetWriteDeadline implements net.Conn.
func (c *conn) SetWriteDeadline(deadline time.Time) error {
	c.out.update(func() { c.out.writeDeadline = deadline })
	return nil
}
