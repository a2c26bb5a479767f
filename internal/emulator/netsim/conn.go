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

// pipe carries bytes one way.
type pipe struct {
	network  *Network
	from, to netip.Addr

	mu       sync.Mutex
	segments []segment
	size     int
	end      error // what the reader gets after the last segment
	broken   error // what the writer gets
	closed   bool  // the reader has closed
	reading  time.Time
	writing  time.Time
	signal   chan struct{} // closed and replaced at each change
}

// segment is some bytes on their way.
type segment struct {
	due  time.Time
	data []byte
}

// pipeBuffer is how much a pipe holds before its writer waits.
const pipeBuffer = 256 << 10

func newPipe(network *Network, from, to netip.Addr) *pipe {
	return &pipe{network: network, from: from, to: to, signal: make(chan struct{})}
}

// update edits the pipe under its lock and wakes its reader and writer.
func (p *pipe) update(edit func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	edit()
	close(p.signal)
	p.signal = make(chan struct{})
}

// wait is what a blocked reader or writer waits for.
type wait struct {
	signal, changed <-chan struct{}
	until           time.Time // zero: no timer
}

func (w wait) wait() {
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
	case <-w.signal:
	case <-w.changed:
	case <-due:
	}
}

// read takes bytes that have arrived.
func (p *pipe) read(into []byte) (int, error) {
	for {
		count, blocked, err := p.tryRead(into)
		if err != nil || count > 0 || len(into) == 0 {
			return count, err
		}
		blocked.wait()
	}
}

func (p *pipe) tryRead(into []byte) (int, wait, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	held, changed := p.network.held(p.from, p.to)
	frozen, _ := p.network.stopped(p.to)
	blocked := wait{signal: p.signal, changed: changed, until: p.reading}
	now := time.Now()
	switch {
	case p.closed:
		return 0, blocked, net.ErrClosed
	case !p.reading.IsZero() && !now.Before(p.reading):
		return 0, blocked, os.ErrDeadlineExceeded
	case held || frozen:
		return 0, blocked, nil
	case len(p.segments) == 0:
		return 0, blocked, p.end
	case p.segments[0].due.After(now):
		if blocked.until.IsZero() || p.segments[0].due.Before(blocked.until) {
			blocked.until = p.segments[0].due
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
	close(p.signal)
	p.signal = make(chan struct{})
	return count, blocked, nil
}

// write sends bytes; it waits while the pipe is full or its host frozen.
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

func (p *pipe) tryWrite(data []byte) (int, wait, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	frozen, changed := p.network.stopped(p.from)
	blocked := wait{signal: p.signal, changed: changed, until: p.writing}
	now := time.Now()
	switch {
	case p.broken != nil:
		return 0, blocked, p.broken
	case !p.writing.IsZero() && !now.Before(p.writing):
		return 0, blocked, os.ErrDeadlineExceeded
	case frozen || p.size >= pipeBuffer:
		return 0, blocked, nil
	}
	count := min(len(data), pipeBuffer-p.size)
	due := now.Add(p.network.latency(p.from, p.to))
	p.segments = append(p.segments, segment{due: due, data: append([]byte(nil), data[:count]...)})
	p.size += count
	close(p.signal)
	p.signal = make(chan struct{})
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
	return count, wrap("read", err)
}

// Write implements net.Conn.
func (c *conn) Write(data []byte) (int, error) {
	count, err := c.out.write(data)
	return count, wrap("write", err)
}

// wrap dresses an error as package net does, which io.EOF is spared.
func wrap(operation string, err error) error {
	if err == nil || errors.Is(err, io.EOF) {
		return err
	}
	return &net.OpError{Op: operation, Net: "tcp", Err: err}
}

// Close implements net.Conn: the other end reads what was sent, then io.EOF.
func (c *conn) Close() error {
	c.forget()
	c.in.update(func() {
		c.in.closed = true
		if c.in.broken == nil {
			c.in.broken = syscall.EPIPE
		}
	})
	c.out.update(func() {
		c.out.broken = net.ErrClosed
		if c.out.end == nil {
			c.out.end = io.EOF
		}
	})
	return nil
}

// reset ends the connection at both ends, as when the process dies.
func (c *conn) reset() {
	c.forget()
	c.in.update(func() {
		c.in.closed = true
		if c.in.broken == nil {
			c.in.broken = syscall.ECONNRESET
		}
	})
	c.out.update(func() {
		c.out.broken = net.ErrClosed
		c.out.end = syscall.ECONNRESET
	})
}

func (c *conn) forget() {
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
	c.in.update(func() { c.in.reading = deadline })
	return nil
}

// SetWriteDeadline implements net.Conn.
func (c *conn) SetWriteDeadline(deadline time.Time) error {
	c.out.update(func() { c.out.writing = deadline })
	return nil
}
