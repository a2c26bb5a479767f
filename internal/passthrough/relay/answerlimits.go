package relay

import (
	"errors"
	"fmt"
	"io"
	"time"

	"ringstream.example/ringstream/internal/passthrough/engineconn"
)

const (
	// maxEventBytes limits the length of an event.
	maxEventBytes = 1 << 20

	// eventsWithoutToken is how many events of a run may hold no token, such as comments.
	eventsWithoutToken = 256
	// maxRunEvents limits the events of a run whose request does not tell the most tokens out.
	maxRunEvents = 1 << 16

	// bytesPerToken is the longest text of a token, with the event that holds it alone.
	bytesPerToken = 16 << 10
	// bytesWithoutToken is what the events of a run may hold beside the tokens.
	bytesWithoutToken = 1 << 20
	// maxRunBytes limits a run, whatever its number of tokens.
	maxRunBytes = 64 << 20

	// maxFailureBytes limits the body of an error response.
	maxFailureBytes = 1 << 20
	// maxFailureTime limits the time in which such a body arrives.
	maxFailureTime = time.Second
)

// runLimits is what one run of a request may bring at most.
type runLimits struct {
	events int
	bytes  int64
}

// limitsOf returns the limits of a run of a request with a number of tokens out; 0 if it is not known. Each
// event holds a token at least.
func limitsOf(outputTokens int) runLimits {
	if outputTokens <= 0 {
		return runLimits{events: maxRunEvents, bytes: maxRunBytes}
	}
	tokens := min(outputTokens, maxRunBytes/bytesPerToken)
	return runLimits{
		events: min(outputTokens, maxRunEvents) + eventsWithoutToken,
		bytes:  min(bytesWithoutToken+int64(tokens)*bytesPerToken, maxRunBytes),
	}
}

// runSize is what a run has brought.
type runSize struct {
	events int
	bytes  int64
}

// LimitRun sets the limits of each run from the request's most tokens out; 0 if it is not known.
func (s *Splitter) LimitRun(outputTokens int) { s.limits = limitsOf(outputTokens) }

// ErrUnsoundEvents means that a run has brought more than any sound answer to its request. Which of its events
// are sound is not known, so that the stream cannot go on after them.
var ErrUnsoundEvents = errors.New("unsound events")

// exceededBy returns the error of a run that exceeds a limit.
func exceededBy(limit int64, unit string) error {
	return fmt.Errorf("%w: %w", ErrUnsoundEvents, &engineconn.LimitError{Part: "stream", Limit: limit, Unit: unit})
}

// countEvent counts an event of the run. It fails if there are too many.
func (s *Splitter) countEvent() error {
	s.run.events++
	if s.run.events > s.limits.events {
		return exceededBy(int64(s.limits.events), engineconn.Events)
	}
	return nil
}

// checkBytes fails if the run or an incomplete event is too long.
func (s *Splitter) checkBytes() error {
	if len(s.pending) > maxEventBytes {
		return &engineconn.LimitError{Part: "event", Limit: maxEventBytes, Unit: engineconn.Bytes}
	}
	if s.run.bytes > s.limits.bytes {
		return exceededBy(s.limits.bytes, engineconn.Bytes)
	}
	return nil
}

// nextEventDeadline returns until when an engine may take that has sent the last whole event, or begun, at the
// given time. Bytes of an incomplete event do not make it later.
func (e *exchange) nextEventDeadline(since time.Time) time.Time {
	silence := e.silenceTimeout()
	if silence <= 0 {
		return e.clock.currentDeadline()
	}
	return earlier(since.Add(silence), e.clock.currentDeadline())
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// readBody reads the whole body of a response that is not a stream.
func (e *exchange) readBody(answer *engineconn.Exchange, success bool) ([]byte, error) {
	limit := min(limitsOf(e.call.Demand.OutputTokens).bytes, maxBufferedBytes)
	exceeded := &engineconn.LimitError{Part: "response body", Limit: limit, Unit: engineconn.Bytes}
	deadline := e.clock.currentDeadline()
	if !success {
		exceeded = &engineconn.LimitError{Part: "error response", Limit: maxFailureBytes, Unit: engineconn.Bytes}
		deadline = earlier(deadline, time.Now().Add(maxFailureTime))
	}
	if answer.Response.ContentLength > exceeded.Limit {
		return nil, exceeded
	}
	answer.SetReadDeadline(deadline)
	counted := &countedBody{from: answer, budget: e.held}
	e.bodies = append(e.bodies, counted)
	body, err := io.ReadAll(io.LimitReader(counted, exceeded.Limit+1))
	switch {
	case err == nil && int64(len(body)) > exceeded.Limit:
		err = exceeded
	case isTimeout(err) && time.Now().Before(e.clock.currentDeadline()):
		err = &engineconn.LimitError{Part: exceeded.Part, Limit: maxFailureTime.Milliseconds(), Unit: engineconn.Milliseconds}
	}
	if err != nil {
		counted.release()
		return nil, err
	}
	return body, nil
}
