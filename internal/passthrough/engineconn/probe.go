package engineconn

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// ErrSilent means that an engine sent nothing within the probe's timeout and kept the connection open.
var ErrSilent = errors.New("engine connection: open, without an answer")

// maxProbeBodyBytes limits the body of the answer to a probe. A connection with a longer one is closed.
const maxProbeBodyBytes = 64 << 10

// Probe sends a request to an engine on a new connection and returns the status and header of the answer.
// The error wraps ErrSilent if the engine accepted the connection, sent nothing within
// Config.ProbeTimeout and keeps the connection open. A connection that brought an answer is kept in the pool.
func (p *Pool) Probe(ctx context.Context, key Key, request Request) (status int, header http.Header, err error) {
	connection, err := p.dialProbe(ctx, key)
	if err != nil {
		return 0, nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	ctx, cancel := context.WithTimeout(ctx, 2*p.config.ProbeTimeout)
	defer cancel()
	counter := &countingReader{from: connection.limited}
	connection.reader.Reset(counter)
	var silent atomic.Bool
	timer := time.AfterFunc(p.config.ProbeTimeout, func() {
		silent.Store(connection.openAndEmpty())
		if silent.Load() {
			_ = connection.raw.SetReadDeadline(time.Now()) // ends the wait for the head
		}
	})
	defer timer.Stop()
	exchange, err := connection.send(ctx, request)
	if err != nil && silent.Load() && counter.read == 0 {
		return 0, nil, fmt.Errorf("%w: %w", ErrSilent, err)
	}
	if err != nil {
		return 0, nil, err
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(exchange, maxProbeBodyBytes)) // so that the connection can be reused
	exchange.Close()
	return exchange.Response.StatusCode, exchange.Response.Header, nil
}

// countingReader counts the bytes that were read from the underlying reader.
type countingReader struct {
	from io.Reader
	read int
}

// Read implements io.Reader.
func (r *countingReader) Read(into []byte) (int, error) {
	count, err := r.from.Read(into)
	r.read += count
	return count, err
}

// dialProbe opens a connection within Config.ProbeTimeout.
func (p *Pool) dialProbe(ctx context.Context, key Key) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, p.config.ProbeTimeout)
	defer cancel()
	return p.dial(ctx, key)
}

// openAndEmpty reports whether the connection is open and nothing has arrived that was not read. Unlike
// reusable, it may be called while another goroutine reads.
func (c *conn) openAndEmpty() bool {
	raw, err := c.raw.SyscallConn()
	if err != nil {
		return false
	}
	empty := false
	err = raw.Control(func(descriptor uintptr) {
		var one [1]byte
		_, _, failed := unix.Recvfrom(int(descriptor), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		empty = errors.Is(failed, syscall.EAGAIN)
	})
	return err == nil && empty
}
