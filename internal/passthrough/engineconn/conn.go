// Package engineconn keeps connections to engines: one request at a time on a
// connection, reused while it is sound. It is a pool of its own over the
// standard library's request writer and response reader, since an answer may
// be preceded by one that belongs to another request, which a shared transport
// could not tell apart. It decides nothing about retries.
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
	// ErrNotSent: provably nothing of the request reached the engine.
	ErrNotSent = errors.New("engine connection: not sent")
	// ErrBroken: the request was sent, and its answer did not come whole.
	ErrBroken = errors.New("engine connection: broken")
)

// BrokenByEngine says whether an exchange ended because its connection did, and not
// because of what came on it or because nothing came for too long.
func BrokenByEngine(err error) bool {
	var timeout interface{ Timeout() bool }
	if errors.As(err, &timeout) && timeout.Timeout() {
		return false
	}
	return errors.Is(err, ErrBroken) || errors.Is(err, io.ErrUnexpectedEOF)
}

// maxSurplus is how many answers of other requests are read over on a
// connection before it is given up.
const maxSurplus = 4

// bufferBytes is the size of a connection's reading and writing buffers.
const bufferBytes = 8 << 10

// Request is what is sent to an engine.
type Request struct {
	Method string
	Target string // path and query, as the client sent them
	Host   string
	Header http.Header
	Body   []byte
	// Own tells from an answer's head whether it is this request's.
	Own func(http.Header) bool
	// Surplus hears of answers of other requests that were read over.
	Surplus func(http.Header)
}

// conn is one connection to an engine.
type conn struct {
	pool     *Pool
	key      Key
	raw      *net.TCPConn
	reader   *bufio.Reader
	uses     int
	idleFrom time.Time
	idleMost time.Duration
	closed   atomic.Bool
}

func (c *conn) close() {
	if c.closed.CompareAndSwap(false, true) {
		_ = c.raw.Close() // nothing is left to be done about it
		c.pool.closed()
	}
}

// quiet says whether an idle connection is open and holds no unread bytes.
func (c *conn) quiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, err := c.raw.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(descriptor uintptr) bool {
		var one [1]byte
		_, _, failed := unix.Recvfrom(int(descriptor), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = errors.Is(failed, syscall.EAGAIN)
		return true
	})
	return err == nil && quiet
}

// Exchange is one request and its answer on a connection.
type Exchange struct {
	Response *http.Response
	// Reused says that the connection had served requests before.
	Reused bool

	conn    *conn
	stop    func() bool
	done    bool
	written chan error // holds the outcome of writing the request
}

// Read reads the answer's body. A body that ends early gives ErrBroken.
func (e *Exchange) Read(into []byte) (int, error) {
	count, err := e.Response.Body.Read(into)
	if err != nil && !errors.Is(err, io.EOF) {
		return count, fmt.Errorf("%w: %w", ErrBroken, err)
	}
	if errors.Is(err, io.EOF) {
		e.done = true
	}
	return count, err
}

// SetReadDeadline bounds the wait for the next bytes.
func (e *Exchange) SetReadDeadline(at time.Time) { _ = e.conn.raw.SetReadDeadline(at) }

// Close gives the connection back when the body was read to its end and the
// engine keeps it, and closes it otherwise, which has the engine drop the
// request.
func (e *Exchange) Close() {
	live := e.stop()
	keep := live && e.done && !e.Response.Close && e.framed() && e.whole()
	if !keep || e.conn.reader.Buffered() > 0 {
		e.conn.close()
		return
	}
	_ = e.conn.raw.SetDeadline(time.Time{})
	e.conn.idleMost = keepAlive(e.Response.Header)
	e.conn.pool.put(e.conn)
}

// writerTime is how long the end of an answer waits for the word that the
// request was written: the writer runs beside the reader, and may not have been
// scheduled since its last byte left.
const writerTime = 20 * time.Millisecond

// whole says whether the request was written to its end.
func (e *Exchange) whole() bool {
	timer := time.NewTimer(writerTime)
	defer timer.Stop()
	select {
	case err := <-e.written:
		return err == nil
	case <-timer.C:
		return false // an early answer: the rest of the request is not on its way
	}
}

// framed says whether the body's end was told, not only the connection's.
func (e *Exchange) framed() bool {
	return e.Response.ContentLength >= 0 || len(e.Response.TransferEncoding) > 0
}

// The time that an idle connection is kept: less than the engine tells, so
// that a request does not cross the engine's close.
const (
	keepDefault = 3 * time.Second
	keepMargin  = 700 * time.Millisecond
	keepMost    = time.Hour // a longer one is no time that an engine keeps
)

func keepAlive(header http.Header) time.Duration {
	for part := range strings.SplitSeq(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		seconds, err := strconv.Atoi(strings.TrimSpace(value))
		if strings.EqualFold(name, "timeout") && err == nil && seconds >= 0 && seconds <= int(keepMost.Seconds()) {
			return time.Duration(seconds)*time.Second - keepMargin
		}
	}
	return keepDefault
}

// send writes the request and reads the head of its answer. The two run side
// by side, since an engine may answer before it has read a long body.
func (c *conn) send(ctx context.Context, request Request) (*Exchange, error) {
	stop := context.AfterFunc(ctx, c.close)
	exchange := &Exchange{conn: c, stop: stop, Reused: c.uses > 0, written: make(chan error, 1)}
	c.uses++
	if deadline, ok := ctx.Deadline(); ok {
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
	response, err := c.readHead(wire, request) //nolint:bodyclose // Exchange.Close ends the body with its connection
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

// readHead reads answers until the request's own.
func (c *conn) readHead(wire *http.Request, request Request) (*http.Response, error) {
	for range maxSurplus {
		response, err := http.ReadResponse(c.reader, wire)
		if err != nil {
			return nil, err
		}
		if response.StatusCode < http.StatusOK {
			continue // interim answers carry no body
		}
		if request.Own(response.Header) {
			return response, nil
		}
		request.Surplus(response.Header)
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			return nil, err
		}
		if response.Close {
			return nil, errors.New("closed after the answer of another request")
		}
	}
	return nil, errors.New("too many answers of other requests")
}

func wireRequest(request Request) *http.Request {
	target := &url.URL{Opaque: request.Target}
	if strings.HasPrefix(request.Target, "//") {
		path, query, _ := strings.Cut(request.Target, "?")
		target = &url.URL{Path: path, RawPath: path, RawQuery: query}
	}
	header := request.Header
	if _, given := header["User-Agent"]; !given {
		header["User-Agent"] = nil // absent stays absent: the standard writer would add its own
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

// countingWriter counts the bytes that left.
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
