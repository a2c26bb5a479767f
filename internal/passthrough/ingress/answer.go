package ingress

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"ringstream.example/ringstream/internal/events"
	"ringstream.example/ringstream/internal/passthrough"
	"ringstream.example/ringstream/internal/passthrough/memorybudget"
)

// Times of a request, unless the relay or the batch service sets another one for the answer.
const (
	defaultClientTime = time.Minute // of a client that does not state how long it waits
	minAnswerTime     = time.Second // from the end of the request's body, so that a refusal arrives
)

// answerWriter writes an answer to a client and reports a client that does not read it by the write
// deadline, which http.ResponseController sets.
type answerWriter struct {
	http.ResponseWriter
	control  *http.ResponseController
	logger   *zap.Logger
	unread   prometheus.Counter
	request  *http.Request
	id       string
	received time.Time
	// clientDeadline is when the client stops waiting.
	clientDeadline time.Time
	budget         *memorybudget.Budget
	bodyBytes      int64 // of the request's body, counted in the budget
	bytes          int64 // written so far
	reported       bool
}

// newAnswerWriter returns a writer whose deadline is the end of the client's time.
func (s *Server) newAnswerWriter(to http.ResponseWriter, request *http.Request, demand passthrough.Demand, received time.Time) *answerWriter {
	limit := defaultClientTime
	if demand.TimeLeft > 0 {
		limit = demand.TimeLeft
	}
	writer := &answerWriter{
		ResponseWriter: to, control: http.NewResponseController(to), logger: s.Logger, unread: s.metrics.unread, budget: s.Held,
		request: request, id: demand.RequestID, received: received, clientDeadline: received.Add(limit),
	}
	writer.limitWrites()
	return writer
}

// limitWrites sets the write deadline to the end of the client's time, but not to less than minAnswerTime from now.
func (w *answerWriter) limitWrites() {
	limit := time.Now().Add(minAnswerTime)
	if w.clientDeadline.After(limit) {
		limit = w.clientDeadline
	}
	_ = w.control.SetWriteDeadline(limit) // a writer without deadlines is a test's recorder
}

// withBodyDeadline calls read, whose reads of the body fail after the end of the client's time. If read has not
// reached the body's end, the deadline stays, because net/http reads on when the request ends.
func (w *answerWriter) withBodyDeadline(read func() (atEnd bool)) {
	_ = w.control.SetReadDeadline(w.clientDeadline)
	if read() {
		_ = w.control.SetReadDeadline(time.Time{})
	}
	w.limitWrites()
}

// Unwrap makes http.ResponseController reach the connection.
func (w *answerWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// Write implements http.ResponseWriter.
func (w *answerWriter) Write(content []byte) (int, error) {
	began := time.Now()
	w.budget.Add(int64(len(content)))
	defer w.budget.Release(int64(len(content)))
	count, err := w.ResponseWriter.Write(content)
	w.bytes += int64(count)
	w.reportUnread(began, err)
	return count, err
}

// FlushError is called by http.ResponseController.
func (w *answerWriter) FlushError() error {
	began := time.Now()
	err := w.control.Flush()
	w.reportUnread(began, err)
	return err
}

// reportUnread logs and counts a write that failed because the client did not read in time. Only the
// first one of an answer counts.
func (w *answerWriter) reportUnread(began time.Time, err error) {
	if w.reported || !errors.Is(err, os.ErrDeadlineExceeded) {
		return
	}
	w.reported = true
	w.unread.Inc()
	events.ClientNotReading.Log(w.logger, zap.String("request", w.id), zap.String("client", w.request.RemoteAddr),
		zap.Duration("blocked", time.Since(began)), zap.Int64("bytes", w.bytes), zap.Duration("elapsed", time.Since(w.received)))
}

// errMemoryFull means that the node holds as many bytes for its clients as it may.
var errMemoryFull = errors.New("the node holds too much for its clients")

// countedBody counts a request's body in the budget: its stated length before the first read, and what
// exceeds that as it arrives.
type countedBody struct {
	body io.Reader
	to   *answerWriter
	read int64
}

// Read implements io.Reader.
func (b *countedBody) Read(into []byte) (int, error) {
	count, err := b.body.Read(into)
	b.read += int64(count)
	if !b.to.holdBody(b.read) {
		return 0, errMemoryFull
	}
	return count, err
}

// readCounted reads the request's body, whose length is negative if the client has not stated it.
func (w *answerWriter) readCounted(body io.Reader, length int64) ([]byte, error) {
	if !w.holdBody(length) {
		return nil, errMemoryFull
	}
	return io.ReadAll(&countedBody{body: body, to: w})
}

// holdBody counts a number of bytes of the request's body in the budget. It reports whether they fit.
func (w *answerWriter) holdBody(bytes int64) bool {
	if bytes <= w.bodyBytes {
		return true
	}
	if !w.budget.TryGrowBody(w.bodyBytes, bytes) {
		return false
	}
	w.bodyBytes = bytes
	return true
}

// releaseBody ends the count of the request's body.
func (w *answerWriter) releaseBody() {
	w.budget.ReleaseBody(w.bodyBytes)
	w.bodyBytes = 0
}
