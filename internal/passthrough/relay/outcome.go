package relay

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"go.uber.org/zap"

	"ringstream.example/ringstream/internal/core/enginechoice"
	"ringstream.example/ringstream/internal/core/quarantine"
	"ringstream.example/ringstream/internal/events"
	"ringstream.example/ringstream/internal/passthrough"
	"ringstream.example/ringstream/internal/passthrough/slots"
)

// Outcome tells how an attempt or a whole call ended.
type Outcome uint8

// The outcomes.
const (
	Completed  Outcome = iota // the client received the engine's whole response
	NotRun                    // provably no engine ran it
	Failed                    // an engine ran it, or may have, and it failed
	Cut                       // the response began and cannot be finished
	ClientGone                // the client disconnected
)

// String returns the outcome's name for logs and metrics.
func (o Outcome) String() string {
	switch o {
	case Completed:
		return "completed"
	case NotRun:
		return "not_run"
	case Failed:
		return "failed"
	case Cut:
		return "cut"
	default:
		return "client_gone"
	}
}

// reason is the code that tells why a call is given up.
type reason string

const (
	timedOut     reason = "timed_out"
	noEngine     reason = "no_engine_has_room"
	attemptsUsed reason = "attempts_used"
	// nodeStopping means that this node stops before an engine would have run the request.
	nodeStopping reason = "node_stopping"
	// limitNotKnown means that no node that counts the tenant's requests answers.
	limitNotKnown reason = "limit_not_known"
	// overloaded means that the engines cannot serve the request in its time.
	overloaded reason = "overloaded"
	// tooLarge means that the prompt is larger than the memory of each engine.
	tooLarge reason = "prompt_too_large"
	// softwareUnknown means that no node knows which software version began the stream.
	softwareUnknown reason = "stream_software_unknown"
	// softwareGone means that no engine of the version that began the stream accepts work.
	softwareGone reason = "stream_software_gone"
)

// Refusal is the body of an error response that the gateway generates itself.
type Refusal struct {
	Code    string `json:"code"`
	Message string `json:"message"`
	Run     string `json:"run"` // "not_run", "unknown" or "failed"
}

// Values of Refusal.Run: whether an engine ran the request.
const (
	RunNot     = "not_run"
	RunUnknown = "unknown"
	RunFailed  = "failed"
)

// notRunRetryAfter is the least Retry-After of a request that no engine ran, except where the
// tenant is over its limit.
const notRunRetryAfter = 100 * time.Millisecond

// usablePart is the part of the time left, as a divisor, within which clients come back.
const usablePart = 3

// retryAfterVain returns the Retry-After of a request that has waited in vain for something that
// may take as long again: an engine that takes work, or a dispatcher that knows the limits.
func retryAfterVain(waited, left time.Duration) time.Duration {
	return max(min(waited, left/usablePart), notRunRetryAfter)
}

// giveUp ends the call at once. The response claims no more than is known about whether an engine
// ran the request. A response whose head is sent is cut off.
func (e *exchange) giveUp(why reason) Outcome {
	if e.headSent {
		return Cut
	}
	e.allowFinalAnswer()
	if e.lastFailure != nil && why != timedOut {
		e.status = e.lastFailure.status
		_ = e.lastFailure.write(e.to) // the client may have left
		return Failed
	}
	if e.mayHaveRun {
		e.status = http.StatusBadGateway
		if why == timedOut {
			e.status = http.StatusGatewayTimeout
		}
		WriteRefusal(e.to, e.status, Refusal{Code: string(why), Message: "an engine may have run the request, and its answer did not come", Run: RunUnknown})
		return Failed
	}
	e.status = http.StatusServiceUnavailable
	retryAfter := notRunRetryAfter
	if e.slots.RefusesOverload() && (why == noEngine || why == limitNotKnown) {
		retryAfter = retryAfterVain(time.Since(e.call.Received), e.clock.remaining())
	}
	e.headers.SetRetryAfter(e.to.Header(), retryAfter)
	events.RequestRefused.Log(e.logger, zap.String("request", e.call.Demand.RequestID), zap.String("reason", string(why)), zap.Duration("retry_after", retryAfter))
	WriteRefusal(e.to, e.status, Refusal{Code: string(why), Message: "no engine ran the request; it may be sent again", Run: RunNot})
	return NotRun
}

// refuseOverLimit answers 429 when the tenant's limit is used up, and sets Retry-After to the
// time at which the limit allows requests again. If an engine may have run the request, it gives
// up instead.
func (e *exchange) refuseOverLimit(cause *slots.OverLimitError) Outcome {
	if e.headSent || e.mayHaveRun {
		return e.giveUp(attemptsUsed)
	}
	e.allowFinalAnswer()
	verdict := cause.Verdict
	events.OverLimit.Log(e.logger, zap.String("request", e.call.Demand.RequestID), zap.String("tenant", e.call.TenantName()),
		zap.Float64("per_second", verdict.Limit.PerSecond), zap.Float64("burst", verdict.Limit.Burst), zap.Float64("left", verdict.Left),
		zap.Float64("share", verdict.Share), zap.String("dispatcher", cause.Dispatcher), zap.Int64("routes_version", e.call.Version),
		zap.Duration("retry_after", verdict.RetryAfter), zap.Bool("use_known", cause.Start.Known), zap.Duration("use_age", cause.Start.Age))
	e.status = http.StatusTooManyRequests
	e.headers.SetRetryAfter(e.to.Header(), verdict.RetryAfter)
	WriteRefusal(e.to, e.status, Refusal{Code: "tenant_over_limit", Message: "the tenant has used up what its limit allows now; no engine ran the request", Run: RunNot})
	return NotRun
}

// refuseOverloaded answers 503 when the engines cannot serve the request in its time, and sets
// Retry-After to the time at which they are expected to.
func (e *exchange) refuseOverloaded(cause *slots.OverloadedError) Outcome {
	if e.headSent || e.mayHaveRun {
		return e.giveUp(attemptsUsed)
	}
	e.allowFinalAnswer()
	refusal := cause.Refusal
	events.RequestRefused.Log(e.logger, zap.String("request", e.call.Demand.RequestID), zap.String("reason", string(overloaded)), zap.Duration("retry_after", refusal.RetryAfter),
		zap.Int("queued", refusal.Queued), zap.Float64("per_second", refusal.PerSecond), zap.Duration("expected", refusal.Expected), zap.String("dispatcher", cause.Dispatcher))
	e.status = http.StatusServiceUnavailable
	e.headers.SetRetryAfter(e.to.Header(), refusal.RetryAfter)
	WriteRefusal(e.to, e.status, Refusal{Code: string(overloaded), Message: "the engines cannot serve the request in its time; no engine ran it", Run: RunNot})
	return NotRun
}

// refuseTooLarge answers 413 for a prompt that no engine of the route can hold, so that the client does not
// send it again. If it is not certain of that, because the routes may be stale or engines of another pool of
// the route may hold the prompt, it answers 503.
func (e *exchange) refuseTooLarge(cause *slots.PromptTooLargeError) Outcome {
	if e.headSent || e.mayHaveRun {
		return e.giveUp(attemptsUsed)
	}
	if !e.call.Confirmed || !e.exceedsAllPools(cause.PromptTokens) {
		return e.giveUp(noEngine)
	}
	e.allowFinalAnswer()
	events.RequestRefused.Log(e.logger, zap.String("request", e.call.Demand.RequestID), zap.String("reason", string(tooLarge)),
		zap.Int("prompt_tokens", cause.PromptTokens), zap.Int("largest_memory", cause.Memory), zap.String("pool", cause.Pool), zap.Int64("routes_version", e.call.Version))
	e.status = http.StatusRequestEntityTooLarge
	WriteRefusal(e.to, e.status, Refusal{
		Code: string(tooLarge), Run: RunNot,
		Message: fmt.Sprintf("the prompt has %d tokens, and the memory of an engine of this route holds %d at most; no engine ran the request", cause.PromptTokens, cause.Memory),
	})
	return NotRun
}

// exceedsAllPools reports whether a prompt is larger than the memory of each engine of each pool of the
// route. It is false if a pool has no engine now, or one of unknown memory.
func (e *exchange) exceedsAllPools(promptTokens int) bool {
	exceeds := true
	e.engines.Use(func(set *enginechoice.Set, _ time.Time) {
		for _, target := range e.call.Route.Targets {
			largest := set.LargestMemory(enginechoice.Query{Pool: target.Pool})
			exceeds = exceeds && largest > 0 && promptTokens > largest
		}
	})
	return exceeds
}

// refuseBlocked answers 502 because engines crashed while they ran the request's content or a part of
// its prompt, or because an operator has blocked it. Retry-After tells when the request may be sent again. The
// response does not claim that no engine ran the request.
func (e *exchange) refuseBlocked(verdict quarantine.Verdict, on quarantine.Digest) Outcome {
	if e.headSent {
		return Cut
	}
	e.allowFinalAnswer()
	retryAfter := time.Until(verdict.Until)
	events.ContentRefused.Log(e.logger, zap.String("request", e.call.Demand.RequestID), zap.Stringer("content", e.identity.Content), zap.Stringer("blocked", on), zap.String("route", e.call.Route.Name),
		zap.String("tenant", e.call.TenantName()), zap.Int("crashes", verdict.Crashes), zap.Float64("evidence", verdict.Evidence), zap.Bool("by_operator", verdict.Ordered), zap.Duration("retry_after", retryAfter))
	e.guard.Metrics.Refused(e.call.Route.Name)
	e.status = http.StatusBadGateway
	e.headers.SetRetryAfter(e.to.Header(), retryAfter)
	refusal := Refusal{
		Code: "request_ends_engines", Run: RunFailed,
		Message: fmt.Sprintf("%d engines ended while they ran this request; it is not sent to more of them", verdict.Crashes),
	}
	if on.IsPart() {
		refusal.Run = e.runState()
		refusal.Message = fmt.Sprintf("%d engines ended while they ran requests with a part of this prompt; it is sent to no more of them", verdict.Crashes)
	}
	if verdict.Ordered {
		refusal = Refusal{Code: "content_blocked", Run: RunUnknown, Message: "an operator has blocked this request; it is sent to no engine"}
	}
	WriteRefusal(e.to, e.status, refusal)
	return Failed
}

// runState returns whether an engine ran the request, as far as this node knows.
func (e *exchange) runState() string {
	if e.mayHaveRun {
		return RunFailed
	}
	return RunUnknown
}

// RefuseNotRun answers 503 with a Retry-After for a request that was sent to no engine.
func RefuseNotRun(to http.ResponseWriter, headers passthrough.Headers, after time.Duration, code, message string) {
	headers.SetRetryAfter(to.Header(), after)
	WriteRefusal(to, http.StatusServiceUnavailable, Refusal{Code: code, Message: message, Run: RunNot})
}

// WriteRefusal writes a response that the gateway generates itself.
func WriteRefusal(to http.ResponseWriter, status int, refusal Refusal) {
	to.Header().Set("Content-Type", "application/json")
	to.WriteHeader(status)
	_ = json.NewEncoder(to).Encode(refusal) // the client may have left
}
