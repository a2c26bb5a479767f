// Package engineconn pools HTTP/1.1 connections to engines. A connection carries one request at a
// time and is reused while it is healthy. The pool uses the standard library's request writer and
// response reader instead of http.Transport, because a response may be preceded by one that belongs
// to another request, and a shared transport cannot tell the two apart. Retries are left to the
// caller.
package engineconn

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Errors of an exchange, found with errors.Is.
var (
	// ErrNotSent means that no part of the request can have reached the engine.
	ErrNotSent = errors.New("engine connection: not sent")
	// ErrBroken means that the request was sent and no complete response was received.
	ErrBroken = errors.New("engine connection: broken")
)

// BrokenByEngine reports whether an exchange failed because its connection ended, and not because
// of a timeout or of the response's content.
func BrokenByEngine(err error) bool {
	var timeout interface{ Timeout() bool }
	if errors.As(err, &timeout) && timeout.Timeout() || unsound(err) {
		return false
	}
	return errors.Is(err, ErrBroken) || errors.Is(err, io.ErrUnexpectedEOF)
}

// maxSurplusResponses limits the interim responses and the responses to other requests that are
// skipped on a connection before it is closed.
const maxSurplusResponses = 4

// bufferBytes is the size of a connection's read buffer and of its write buffer.
const bufferBytes = 8 << 10

// Request is a request to an engine.
type Request struct {
	// ID is the request's id; empty if answers do not name it. A connection carries one run of an id.
	ID     string
	Method string
	Target string // path and query, as the client sent them
	Host   string
	Header http.Header
	Body   []byte
	// IsOwnResponse reports whether a response with this header belongs to the request.
	IsOwnResponse func(http.Header) bool
	// OnSurplusResponse is called with the header of each skipped response to another request.
	OnSurplusResponse func(http.Header)
}

// conn is one connection to an engine.
type conn struct {
	pool      *Pool
	key       Key
	raw       *net.TCPConn
	limited   *limitedReader // reads raw
	reader    *bufio.Reader  // reads limited
	uses      int
	idleSince time.Time
	maxIdle   time.Duration
	closed    atomic.Bool
	carried   carriedIDs
}

func (c *conn) close() {
	if c.closed.CompareAndSwap(false, true) {
		_ = c.raw.Close() // the connection is discarded in any case
		c.pool.closed()
	}
}

// reusable reports whether an idle connection is open and has no unread bytes.
func (c *conn) reusable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, err := c.raw.SyscallConn()
	if err != nil {
		return false
	}
	reusable := false
	err = raw.Read(func(descriptor uintptr) bool {
		var one [1]byte
		_, _, failed := unix.Recvfrom(int(descriptor), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		reusable = errors.Is(failed, syscall.EAGAIN)
		return true
	})
	return err == nil && reusable
}

// Exchange is one request and its response on a connection.
type Exchange struct {
	Response *http.Response
	// Reused reports whether the connection had carried requests before.
	Reused bool

	conn     *conn
	stop     func() bool
	deadline time.Time // of the request; zero if there is none
	bodyRead bool
	written  chan error // receives the result of writing the request
}

// Read reads the response body. A body that ends early gives an error that wraps ErrBroken.
func (e *Exchange) Read(into []byte) (int, error) {
	count, err := e.Response.Body.Read(into)
	if err != nil && !errors.Is(err, io.EOF) {
		return count, fmt.Errorf("%w: %w", ErrBroken, markMalformed(err))
	}
	if errors.Is(err, io.EOF) {
		e.bodyRead = true
	}
	return count, err
}

// SetReadDeadline sets the deadline for further reads of the body.
func (e *Exchange) SetReadDeadline(at time.Time) { _ = e.conn.raw.SetReadDeadline(at) }

// Close returns the connection to the pool if the request was written, the body was read to its
// end and the engine keeps the connection open. Otherwise it closes the connection, which makes the
// engine drop the request.
func (e *Exchange) Close() {
	active := e.stop()
	keep := active && e.bodyRead && !e.Response.Close && e.Framing() != FramedByConnection && e.requestWritten()
	if !keep || e.conn.reader.Buffered() > 0 {
		e.conn.close()
		return
	}
	_ = e.conn.raw.SetDeadline(time.Time{})
	e.conn.maxIdle = idleLimit(e.Response.Header)
	e.conn.pool.put(e.conn)
}

// writeReportTimeout is how long the end of a response waits for the report that the request was
// written. The writer runs in its own goroutine, which may not have been scheduled since it wrote
// the last byte.
const writeReportTimeout = 20 * time.Millisecond

// requestWritten reports whether the whole request was written.
func (e *Exchange) requestWritten() bool {
	timer := time.NewTimer(writeReportTimeout)
	defer timer.Stop()
	select {
	case err := <-e.written:
		return err == nil
	case <-timer.C:
		return false // the engine responded before the whole request was sent
	}
}

// errReset means that an engine has reset a connection, or closed it while the request was written.
var errReset = errors.New("the connection was reset")

// ClosedInOrder returns an error unless the engine has closed the connection in an orderly manner. It is
// called after the end of the body. The end of file alone does not show it: a reset is reported once, which
// may be to the write of the request.
func (e *Exchange) ClosedInOrder() error {
	select {
	case err := <-e.written:
		e.written <- err
		if err != nil {
			return fmt.Errorf("%w: the request was not written: %s", errReset, err.Error())
		}
	default:
	}
	raw, err := e.conn.raw.SyscallConn()
	if err != nil {
		return err
	}
	var info *unix.TCPInfo
	var failed error
	if err := raw.Control(func(descriptor uintptr) {
		info, failed = unix.GetsockoptTCPInfo(int(descriptor), unix.IPPROTO_TCP, unix.TCP_INFO)
	}); err != nil {
		return err
	}
	if failed != nil {
		return fmt.Errorf("state of the connection: %w", failed)
	}
	if info.State != unix.BPF_TCP_CLOSE_WAIT {
		return errReset
	}
	return nil
}

// Framing is how the end of a response's body is marked.
type Framing uint8

// The ways to mark the end of a body.
const (
	FramedByLength     Framing = iota // by a length, which includes bodies that are always empty
	FramedByChunks                    // by a transfer encoding
	FramedByConnection                // by the end of the connection, which also ends when the engine does
)

// String returns the name for logs.
func (f Framing) String() string {
	return [...]string{"length", "chunked", "connection"}[f]
}

// Framing returns how the response marks the end of its body.
func (e *Exchange) Framing() Framing {
	switch {
	case len(e.Response.TransferEncoding) > 0:
		return FramedByChunks
	case e.Response.ContentLength >= 0 || e.Response.Body == http.NoBody:
		return FramedByLength
	default:
		return FramedByConnection
	}
}

// Bounds of the time that an idle connection is kept. It is shorter than the timeout that the engine
// announces, so that no request is sent while the engine closes the connection.
const (
	defaultKeepAlive = 3 * time.Second
	keepAliveMargin  = 700 * time.Millisecond
	maxKeepAlive     = time.Hour // a longer timeout is not plausible and is ignored
)

// idleLimit returns how long a connection may stay idle, from the Keep-Alive header of its last
// response.
func idleLimit(header http.Header) time.Duration {
	for part := range strings.SplitSeq(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		seconds, err := strconv.Atoi(strings.TrimSpace(value))
		if strings.EqualFold(name, "timeout") && err == nil && seconds >= 0 && seconds <= int(maxKeepAlive.Seconds()) {
			return time.Duration(seconds)*time.Second - keepAliveMargin
		}
	}
	return defaultKeepAlive
}

// send writes the request and reads the head of the response. Both run concurrently, because an
// engine may respond before it has read a long body.
func (c *conn) send(ctx context.Context, request Request) (*Exchange, error) {
	stop := context.AfterFunc(ctx, c.close)
	exchange := &Exchange{conn: c, stop: stop, Reused: c.uses > 0, written: make(chan error, 1)}
	c.uses++
	c.carried.add(request.ID)
	if deadline, ok := ctx.Deadline(); ok {
		exchange.deadline = deadline
		_ = c.raw.SetDeadline(deadline)
	}
	wire := wireRequest(request)
	counter := &countingWriter{to: c.raw}
	go func() {
		buffered := bufio.NewWriterSize(counter, bufferBytes)
		err := wire.Write(buffered)
		if err == nil {
			err = buffered.Flush()
		}
		exchange.written <- err
	}()
	response, err := c.readHead(wire, request, exchange.deadline) //nolint:bodyclose // Exchange.Close ends the body with its connection
	if err != nil {
		stop()
		c.close()
		writeErr := <-exchange.written
		if writeErr != nil && counter.written == 0 {
			return nil, fmt.Errorf("%w: %w", ErrNotSent, writeErr)
		}
		return nil, fmt.Errorf("%w: %w", ErrBroken, errors.Join(writeErr, err))
	}
	exchange.Response = response
	return exchange, nil
}

// readHead reads responses until it finds the one to the request.
func (c *conn) readHead(wire *http.Request, request Request, deadline time.Time) (*http.Response, error) {
	allowance := headAllowance{bytes: maxHeadBytes, time: maxHeadTime, deadline: deadline}
	for range maxSurplusResponses {
		response, err := c.readResponse(wire, &allowance)
		if err != nil {
			return nil, err
		}
		if response.StatusCode < http.StatusOK {
			continue // interim responses have no body
		}
		if request.IsOwnResponse(response.Header) {
			return response, nil
		}
		request.OnSurplusResponse(response.Header)
		if err := c.discard(response.Body, partSurplus, response.ContentLength, deadline); err != nil {
			return nil, err
		}
		if response.Close {
			return nil, errors.New("connection closed after the response to another request")
		}
	}
	return nil, errors.New("too many responses to other requests")
}

func wireRequest(request Request) *http.Request {
	target := &url.URL{Opaque: request.Target}
	if strings.HasPrefix(request.Target, "//") {
		path, query, _ := strings.Cut(request.Target, "?")
		target = &url.URL{Path: path, RawPath: path, RawQuery: query}
	}
	header := request.Header
	if _, given := header["User-Agent"]; !given {
		header["User-Agent"] = nil // keeps net/http from adding its own
	}
	wire := &http.Request{
		Method: request.Method, URL: target, Host: request.Host, Header: header,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		ContentLength: int64(len(request.Body)),
	}
	if len(request.Body) > 0 {
		wire.Body = io.NopCloser(bytes.NewReader(request.Body))
	}
	return wire
}

// countingWriter counts the bytes that were written to the underlying writer.
type countingWriter struct {
	to      io.Writer
	written int
}

// Write implements io.Writer.
func (w *countingWriter) Write(content []byte) (int, error) {
	count, err := w.to.Write(content)
	w.written += count
	return count, err
}
