package relay

import (
	"net/http"
	"strconv"
	"time"
)

// finalAnswerTime is how long an answer that is complete, or a refusal, may be written at least, also when the
// call's time is up. No engine is held meanwhile.
const finalAnswerTime = 500 * time.Millisecond

// limitWrites sets when a write to the client fails that the client has not read by then.
func (e *exchange) limitWrites(at time.Time) {
	_ = e.control.SetWriteDeadline(at) // a writer without deadlines is a test's recorder
}

// allowFinalAnswer gives the writes of a refusal or of a complete answer finalAnswerTime, or the rest of the call's
// time if that is longer.
func (e *exchange) allowFinalAnswer() {
	e.writeLimits.Lock()
	e.finalAnswerUntil = time.Now().Add(finalAnswerTime)
	e.writeLimits.Unlock()
	e.limitWritesToCall()
}

// limitWritesToCall sets the limit of the writes to the call's deadline, or to the end of finalAnswerTime if that
// is later.
func (e *exchange) limitWritesToCall() {
	e.writeLimits.Lock()
	defer e.writeLimits.Unlock()
	limit := e.clock.currentDeadline()
	if e.finalAnswerUntil.After(limit) {
		limit = e.finalAnswerUntil
	}
	e.limitWrites(limit)
}

// writeEvents sends events to the client at once. The engine's answer is read ahead if that takes long.
func (e *exchange) writeEvents(whole []byte, reader *readAhead) error {
	reader.beginWrite(e.silenceTimeout())
	defer reader.endWrite()
	if _, err := e.to.Write(whole); err != nil {
		return err
	}
	return e.control.Flush()
}

// deliver sends the response of an attempt that has completed, if it was buffered. The engine is done
// with it, and its slot has ended.
func (e *exchange) deliver() Outcome {
	if e.buffered == nil {
		return Completed
	}
	e.allowFinalAnswer()
	e.releaseBodies()
	e.headSent = true
	e.status = e.buffered.status
	if e.buffered.write(e.to) != nil || e.control.Flush() != nil {
		return ClientGone
	}
	return Completed
}

// write sends the response.
func (r *bufferedResponse) write(to http.ResponseWriter) error {
	copyEndToEndHeaders(to.Header(), r.header)
	to.Header().Set("Content-Length", strconv.Itoa(len(r.body)))
	to.WriteHeader(r.status)
	_, err := to.Write(r.body)
	return err
}
