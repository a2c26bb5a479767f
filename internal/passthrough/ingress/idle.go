package ingress

import (
	"context"
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
	unread      atomic.Bool // the peer has not read in time
}

// Write implements net.Conn. When the peer has not read in time, it makes Close discard what is still
// unsent. The kernel would keep it for minutes otherwise.
func (c *idleConn) Write(content []byte) (int, error) {
	count, err := c.Conn.Write(content)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		c.unread.Store(true)
		c.resetOnClose(true)
	}
	return count, err
}

// resetOnClose sets whether the connection is reset when it is closed, also if the process ends. A reset discards
// what is still unsent.
func (c *idleConn) resetOnClose(reset bool) {
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return
	}
	if reset || c.unread.Load() {
		_ = tcp.SetLinger(0) // fails only if the connection is closed
		return
	}
	_ = tcp.SetLinger(-1) // likewise
}

// connectionKey is the key of a request's connection in its context.
type connectionKey struct{}

// withConnection adds a connection to the context of its requests. It is the server's ConnContext hook.
func withConnection(ctx context.Context, connection net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, connection)
}

// resetUntilComplete makes a connection that ends before complete is called end with a reset, if the client's
// answers end with their connection. Without it, an answer that is cut would look complete.
func resetUntilComplete(request *http.Request) (complete func()) {
	connection, ok := request.Context().Value(connectionKey{}).(*idleConn)
	if !ok || request.ProtoAtLeast(1, 1) {
		return func() {}
	}
	connection.resetOnClose(true)
	return func() { connection.resetOnClose(false) }
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
