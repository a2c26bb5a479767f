package engineconn

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"time"
)

// Limits of what an engine may send beside the body of the response to the request. A sound engine sends a
// few hundred bytes of it in one piece.
const (
	// maxHeadBytes limits the head of the response and those of all interim and surplus responses before it.
	maxHeadBytes = 32 << 10
	// maxHeadTime limits the time from the first byte of each of these heads to its end, added up.
	maxHeadTime = 2 * time.Second
	// maxDiscardedBytes limits a body that is read only so that its connection can be used again.
	maxDiscardedBytes = 64 << 10
	// maxDiscardTime limits the time that such a body is read.
	maxDiscardTime = time.Second
)

// LimitError means that an engine has sent more than any sound response holds, or for longer.
type LimitError struct {
	Part  string // of the response
	Limit int64
	Unit  string // of the limit
}

// Error implements error.
func (e *LimitError) Error() string {
	return fmt.Sprintf("the engine's %s exceeds %d %s", e.Part, e.Limit, e.Unit)
}

// Parts of a response.
const (
	partHead    = "response head"
	partSurplus = "response to another request"
	partRefusal = "rejection or error response"
)

// Units of limits.
const (
	Bytes        = "bytes"
	Events       = "events"
	Milliseconds = "ms"
)

// The range of valid status codes (RFC 9110, section 15).
const (
	minStatus = 100
	maxStatus = 599
)

// errMalformed means that an engine has sent bytes that form no response, or more chunk extensions or
// trailers than net/http accepts.
var errMalformed = errors.New("malformed response")

// markMalformed returns the error of reading a response, marked with errMalformed if it is neither the
// connection's nor a limit's.
func markMalformed(err error) error {
	var ofNetwork net.Error
	if errors.As(err, &ofNetwork) || errors.Is(err, io.ErrUnexpectedEOF) || exceedsLimit(err) {
		return err
	}
	return fmt.Errorf("%w: %w", errMalformed, err)
}

// exceedsLimit reports whether an exchange failed because the engine sent too much.
func exceedsLimit(err error) bool {
	var limit *LimitError
	return errors.As(err, &limit)
}

// unsound reports whether an exchange failed because of what the engine sent.
func unsound(err error) bool { return exceedsLimit(err) || errors.Is(err, errMalformed) }

// errHeadTooLong is returned by limitedReader.
var errHeadTooLong = &LimitError{Part: partHead, Limit: maxHeadBytes, Unit: Bytes}

// limitedReader reads from a connection. While a head is read, it fails once it has read as many bytes as are left.
type limitedReader struct {
	from     io.Reader
	inHead   bool
	left     int // in a head
	exceeded bool
}

// Read implements io.Reader.
func (r *limitedReader) Read(into []byte) (int, error) {
	if !r.inHead {
		return r.from.Read(into)
	}
	if r.left <= 0 {
		r.exceeded = true
		return 0, errHeadTooLong
	}
	count, err := r.from.Read(into[:min(len(into), r.left)])
	r.left -= count
	return count, err
}

// headAllowance is what the heads that come for one request may still take.
type headAllowance struct {
	bytes    int
	time     time.Duration
	deadline time.Time // of the request; zero if there is none
}

// readResponse waits for a response and reads its head.
func (c *conn) readResponse(request *http.Request, allowance *headAllowance) (*http.Response, error) {
	if _, err := c.reader.Peek(1); err != nil {
		return nil, unexpectedEnd(err)
	}
	began := time.Now()
	c.limitReads(earlier(allowance.deadline, began.Add(allowance.time)))
	c.limited.inHead, c.limited.left = true, allowance.bytes-c.reader.Buffered()
	response, err := http.ReadResponse(c.reader, request)
	c.limited.inHead = false
	c.limitReads(allowance.deadline)
	allowance.bytes = c.limited.left + c.reader.Buffered()
	allowance.time -= time.Since(began)
	switch {
	case err == nil && (response.StatusCode < minStatus || response.StatusCode > maxStatus):
		return nil, fmt.Errorf("%w: status %03d", errMalformed, response.StatusCode) //nolint:bodyclose // the connection is closed
	case err == nil:
		return response, nil
	case c.limited.exceeded: // net/http may return the error of a line that it has read in part
		return nil, errHeadTooLong
	case allowance.time <= 0 && errors.Is(err, os.ErrDeadlineExceeded):
		return nil, &LimitError{Part: partHead, Limit: maxHeadTime.Milliseconds(), Unit: Milliseconds}
	default:
		return nil, markMalformed(err)
	}
}

// unexpectedEnd returns the error for a connection that has ended before a response.
func unexpectedEnd(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// earlier returns the earlier of two times, the first of which may be zero for none.
func earlier(limit, at time.Time) time.Time {
	if !limit.IsZero() && limit.Before(at) {
		return limit
	}
	return at
}

// limitReads sets the deadline of the connection's reads; none if it is zero. It fails only if the connection is
// closed, which the next read tells.
func (c *conn) limitReads(at time.Time) { _ = c.raw.SetReadDeadline(at) }

// discard reads a body of no use to its end. It fails if the body exceeds maxDiscardedBytes or takes
// longer than maxDiscardTime. The deadline of the reads, which may be zero, applies as well.
func (c *conn) discard(body io.Reader, part string, length int64, deadline time.Time) error {
	tooLong := &LimitError{Part: part, Limit: maxDiscardedBytes, Unit: Bytes}
	if length > maxDiscardedBytes {
		return tooLong
	}
	began := time.Now()
	c.limitReads(earlier(deadline, began.Add(maxDiscardTime)))
	read, err := io.Copy(io.Discard, io.LimitReader(body, maxDiscardedBytes+1))
	c.limitReads(deadline)
	switch {
	case read > maxDiscardedBytes:
		return tooLong
	case time.Since(began) >= maxDiscardTime && errors.Is(err, os.ErrDeadlineExceeded):
		return &LimitError{Part: part, Limit: maxDiscardTime.Milliseconds(), Unit: Milliseconds}
	default:
		return err
	}
}

// Discard reads the rest of a response whose body is of no use, so that its connection can be used again. It
// fails if the rest is longer than that of any sound response.
func (e *Exchange) Discard() error {
	err := e.conn.discard(e, partRefusal, e.Response.ContentLength, e.deadline)
	if err != nil {
		e.bodyRead = false // also if the body has ended right behind its limit
	}
	return err
}
