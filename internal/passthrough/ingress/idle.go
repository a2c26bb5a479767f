package ingress

import (
	"errors"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"
)

// idleListener accepts connections whose idle timeout is read from the configuration each time they
// become idle. The IdleTimeout of net/http is fixed when the server starts and cannot follow a
// change of the configuration.
type idleListener struct {
	net.Listener
	idleTimeout func() time.Duration
}

// Accept implements net.Listener.
func (l *idleListener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &idleConn{Conn: raw, idleTimeout: l.idleTimeout}, nil
}

// idleConn replaces the read deadline that net/http sets on an idle connection.
type idleConn struct {
	net.Conn
	idleTimeout func() time.Duration
	idle        atomic.Bool
}

// Write implements net.Conn. When the peer has not read in time, it makes Close discard what is still
// unsent. The kernel would keep it for minutes otherwise.
func (c *idleConn) Write(content []byte) (int, error) {
	count, err := c.Conn.Write(content)
	if tcp, ok := c.Conn.(*net.TCPConn); ok && errors.Is(err, os.ErrDeadlineExceeded) {
		_ = tcp.SetLinger(0) // without it, only the memory is kept longer
	}
	return count, err
}

// SetReadDeadline implements net.Conn. net/http sets the deadline of an idle connection right after
// it has reported the idle state to trackIdle.
func (c *idleConn) SetReadDeadline(at time.Time) error {
	if c.idle.CompareAndSwap(true, false) {
		at = time.Now().Add(c.idleTimeout())
	}
	return c.Conn.SetReadDeadline(at)
}

// trackIdle records whether a connection is idle, and then removes the write deadline of the last
// request. It is the server's ConnState hook.
func trackIdle(connection net.Conn, state http.ConnState) {
	tracked, ok := connection.(*idleConn)
	if !ok {
		return
	}
	tracked.idle.Store(state == http.StateIdle)
	if state == http.StateIdle {
		_ = tracked.SetWriteDeadline(time.Time{}) // fails only if the connection is closed
	}
}
