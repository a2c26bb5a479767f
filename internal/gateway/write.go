package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"ringstream.example/ringstream/internal/apierror"
	"ringstream.example/ringstream/internal/core/outcome"
	"ringstream.example/ringstream/internal/httpserver"
)

// answerForm is the form in which a client requested its answer.
type answerForm struct {
	stream       bool
	includeUsage bool
	mayRunOnce   bool // neither repeatable nor keyed
	// deadline is when this client stops waiting, even if the run continues.
	deadline time.Time
}

// writeGrace is how long after its deadline a client may still read.
const writeGrace = 30 * time.Second

// headerShouldRetry stops OpenAI's clients from automatically retrying a request that
// may run only once and may have run.
const headerShouldRetry = "X-Should-Retry"

// errAnsweredByOtherSite ends the wait for an answer that the other site provides.
var errAnsweredByOtherSite = errors.New("the other site answers")

// writeAnswer writes a run's answer to one client, streamed or as one body. It returns
// when the answer has ended, the client has disconnected or its deadline has passed.
func writeAnswer(c echo.Context, run *answer, form answerForm) error {
	changed := run.subscribe()
	defer run.unsubscribe(changed)
	// A connection without support for deadlines, such as a test's recorder, has none.
	_ = http.NewResponseController(c.Response()).SetWriteDeadline(form.deadline.Add(writeGrace))
	writer := answerWriter{c: c, response: c.Response(), form: form}
	ctx, cancel := context.WithDeadline(c.Request().Context(), form.deadline)
	defer cancel()
	for {
		select {
		case <-changed:
		case <-ctx.Done():
			if c.Request().Context().Err() != nil {
				return errClientGone
			}
			late := run.snapshot()
			if !late.ended {
				late.ended, late.result = true, answerResult{failure: errStillRunning}
			}
			return writer.write(late)
		}
		current := run.snapshot()
		if current.ended && current.result.answeredByOtherSite {
			return errAnsweredByOtherSite
		}
		if err := writer.write(current); err != nil || current.ended {
			return err
		}
	}
}

// answerWriter writes one answer to one client as it grows.
type answerWriter struct {
	c        echo.Context
	response *echo.Response
	form     answerForm
	events   *eventEncoder
	buffer   []byte
	written  int // texts written
}

// write sends the client what was added since the last write.
func (w *answerWriter) write(current progress) error {
	if current.ended && current.result.failure != nil && !w.response.Committed && (!w.form.stream || len(current.texts) == 0) {
		if w.form.mayRunOnce && current.result.failure.Run != outcome.Refused {
			w.response.Header().Set(headerShouldRetry, "false")
		}
		return current.result.failure
	}
	if w.form.stream {
		return w.writeEvents(current)
	}
	if !current.ended {
		return nil
	}
	body := appendFullAnswer(nil, current.head, current.text(), current.result.reason, current.result.used)
	w.response.Header().Set(echo.HeaderContentType, echo.MIMEApplicationJSON)
	w.response.WriteHeader(http.StatusOK)
	_, err := w.response.Write(body)
	return err
}

// writeEvents sends all new texts in one write, so that a client that keeps up gets
// each token at once and a slower client gets larger writes.
func (w *answerWriter) writeEvents(current progress) error {
	w.buffer = w.buffer[:0]
	if w.events == nil {
		w.begin(current.head)
	}
	for _, text := range current.texts[w.written:] {
		w.buffer = w.events.appendToken(w.buffer, text)
	}
	w.written = len(current.texts)
	if current.ended {
		w.appendEnd(current.result)
	}
	if _, err := w.response.Write(w.buffer); err != nil {
		return err
	}
	w.response.Flush()
	return nil
}

// streamBufferBytes fits a few events; a client that keeps up needs no more.
const streamBufferBytes = 2048

func (w *answerWriter) begin(head answerHead) {
	w.events = newEventEncoder(head)
	w.buffer = make([]byte, 0, streamBufferBytes)
	header := w.response.Header()
	header.Set(echo.HeaderContentType, contentTypeEvents)
	header.Set(echo.HeaderCacheControl, "no-cache")
	header.Set("X-Accel-Buffering", "no")
	w.response.WriteHeader(http.StatusOK)
	if head.chat {
		w.buffer = w.events.appendRole(w.buffer)
	}
}

const contentTypeEvents = "text/event-stream"

// appendEnd appends the last events: the finish reason and [DONE], or an error event.
// A stream without [DONE] is an incomplete answer.
func (w *answerWriter) appendEnd(result answerResult) {
	if result.failure != nil {
		w.buffer = appendErrorEvent(w.buffer, w.c, result.failure)
		return
	}
	w.buffer = w.events.appendFinish(w.buffer, result.reason)
	if w.form.includeUsage {
		w.buffer = w.events.appendUsage(w.buffer, result.used)
	}
	w.buffer = append(w.buffer, streamDone...)
}

func appendErrorEvent(buffer []byte, c echo.Context, failure *apierror.Error) []byte {
	encoded, err := json.Marshal(httpserver.NewErrorBody(c, failure))
	if err != nil {
		panic(err) // every field of the body can be encoded
	}
	buffer = append(buffer, "event: error\n"+eventPrefix...)
	buffer = append(buffer, encoded...)
	return append(buffer, eventSuffix...)
}
