package ingress

import (
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// idleListener gives connections whose resting time is that of the
// configuration in force when they come to rest, which net/http's own setting,
// fixed at the start, cannot follow.
type idleListener struct {
	net.Listener
	idle func() time.Duration
}

// Accept implements net.Listener.
func (l *idleListener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &idleConn{Conn: raw, idle: l.idle}, nil
}

// idleConn sets its own deadline while it rests.
type idleConn struct {
	net.Conn
	idle    func() time.Duration
	resting atomic.Bool
}

// SetReadDeadline implements net.Conn: net/http sets the deadline of a resting
// connection right after it has told its state.
func (c *idleConn) SetReadDeadline(at time.Time) error {
	if c.resting.CompareAndSwap(true, false) {
		at = time.Now().Add(c.idle())
	}
	return c.Conn.SetReadDeadline(at)
}

func noteIdle(connection net.Conn, state http.ConnState) {
	if resting, ok := connection.(*idleConn); ok {
		resting.resting.Store(state == http.StateIdle)
	}
}
