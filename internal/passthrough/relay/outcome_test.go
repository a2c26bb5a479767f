package relay

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"ringstream.example/ringstream/internal/core/grant"
	"ringstream.example/ringstream/internal/core/passroute"
	"ringstream.example/ringstream/internal/core/quarantine"
	"ringstream.example/ringstream/internal/passthrough"
	"ringstream.example/ringstream/internal/passthrough/guard"
	"ringstream.example/ringstream/internal/passthrough/slots"
)

// retryHeaders sets Retry-After in whole milliseconds.
type retryHeaders struct{ passthrough.Headers }

func (retryHeaders) SetRetryAfter(header http.Header, wait time.Duration) {
	header.Set("Retry-After", wait.String())
}

func newExchange(to http.ResponseWriter, service *slots.Service) *exchange {
	state := &exchange{Relay: &Relay{headers: retryHeaders{}, logger: zap.NewNop(), slots: service}, to: to, control: http.NewResponseController(to), call: &Call{Received: time.Now()}}
	state.clock = callClock{cancel: func() {}, deadline: time.Now().Add(time.Minute)}
	return state
}

// TestOverloadRefusalTellsWhenToReturn refuses one request that no engine has run, and one that may
// have run: only the first may be said not to have run.
func TestOverloadRefusalTellsWhenToReturn(t *testing.T) {
	refused := &slots.OverloadedError{Refusal: grant.OverloadRefusal{RetryAfter: 1250 * time.Millisecond}}
	service := slots.New(slots.Config{}, slots.Dependencies{})
	for _, mayHaveRun := range []bool{false, true} {
		to := httptest.NewRecorder()
		state := newExchange(to, service)
		state.mayHaveRun = mayHaveRun
		outcome := state.refuseOverloaded(refused)
		if mayHaveRun {
			if outcome != Failed || to.Code != http.StatusBadGateway || strings.Contains(to.Body.String(), RunNot) {
				t.Errorf("a request that may have run got %v, %d %s", outcome, to.Code, to.Body)
			}
			continue
		}
		if outcome != NotRun || to.Code != http.StatusServiceUnavailable || to.Header().Get("Retry-After") != "1.25s" || !strings.Contains(to.Body.String(), RunNot) {
			t.Errorf("got %v, %d, Retry-After %s, %s", outcome, to.Code, to.Header().Get("Retry-After"), to.Body)
		}
	}
}

// TestVainWaitTellsWhenToReturn refuses requests that have waited for an engine in vain.
func TestVainWaitTellsWhenToReturn(t *testing.T) {
	for _, test := range []struct{ waited, left, want time.Duration }{
		{waited: 0, left: 5 * time.Second, want: 100 * time.Millisecond},
		{waited: time.Second, left: 4 * time.Second, want: time.Second},
		{waited: 2 * time.Second, left: 3 * time.Second, want: time.Second},
		{waited: 5 * time.Second, left: -time.Second, want: 100 * time.Millisecond},
	} {
		if got := retryAfterVain(test.waited, test.left); got != test.want {
			t.Errorf("after %v with %v left: %v, want %v", test.waited, test.left, got, test.want)
		}
	}
	for _, refuses := range []bool{false, true} {
		to := httptest.NewRecorder()
		state := newExchange(to, slots.New(slots.Config{Scheduling: slots.SchedulingConfig{RefuseOverload: refuses}}, slots.Dependencies{}))
		state.call.Received = time.Now().Add(-time.Hour)
		state.giveUp(noEngine)
		if got := to.Header().Get("Retry-After"); (got == "100ms") == refuses {
			t.Errorf("with refuse_overload %v: Retry-After %s", refuses, got)
		}
	}
}

// deadlineRecorder records until when it may be written to.
type deadlineRecorder struct {
	*httptest.ResponseRecorder
	until time.Time
}

// SetWriteDeadline is called by http.ResponseController.
func (r *deadlineRecorder) SetWriteDeadline(at time.Time) error {
	r.until = at
	return nil
}

// TestRefusalsArriveAtTheEndOfTheClientsTime refuses requests whose time is nearly over, and suspends
// the machine for a second then. Each refusal must have finalAnswerTime to be written.
func TestRefusalsArriveAtTheEndOfTheClientsTime(t *testing.T) {
	for name, refuse := range map[string]func(*exchange){
		"over limit": func(e *exchange) { e.refuseOverLimit(&slots.OverLimitError{}) },
		"overloaded": func(e *exchange) { e.refuseOverloaded(&slots.OverloadedError{}) },
		"blocked":    func(e *exchange) { e.refuseBlocked(quarantine.Verdict{}, quarantine.Digest{}) },
		"no engine":  func(e *exchange) { e.giveUp(noEngine) },
	} {
		synctest.Test(t, func(t *testing.T) {
			to := &deadlineRecorder{ResponseRecorder: httptest.NewRecorder()}
			state := newExchange(to, slots.New(slots.Config{}, slots.Dependencies{}))
			state.call.Route = &passroute.Route{Name: "r"}
			state.guard = &guard.Service{Dependencies: guard.Dependencies{Metrics: guard.NewMetrics(nil)}}
			state.clock.deadline = time.Now().Add(time.Millisecond)
			state.limitWritesToCall()
			refuse(state)
			if left := time.Until(to.until); left != finalAnswerTime {
				t.Errorf("%s: the refusal may be written for %v", name, left)
			}
			state.clock.applySuspension(time.Second)
			defer state.clock.stop()
			state.limitWritesToCall()
			if left := time.Until(to.until); left != finalAnswerTime {
				t.Errorf("%s: after a suspension the refusal may be written for %v", name, left)
			}
		})
	}
}
