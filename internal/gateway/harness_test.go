package gateway

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"ringstream.example/ringstream/internal/backend"
	"ringstream.example/ringstream/internal/backend/backendtest"
	"ringstream.example/ringstream/internal/core/identity"
	"ringstream.example/ringstream/internal/core/membership"
	"ringstream.example/ringstream/internal/core/outcome"
	"ringstream.example/ringstream/internal/dispatch"
	"ringstream.example/ringstream/internal/idempotency"
	"ringstream.example/ringstream/internal/store"
)

// fakeEngine is a dispatch.Online and Resumer that numbers its runs in their text and
// remembers the attempts that were sent. A token takes at least minTokenInterval.
type fakeEngine struct {
	mutex         sync.Mutex
	runs          int // number of requests sent to the engine
	resumes       int
	attempts      map[identity.AttemptID]int // the run number of each attempt
	restarted     bool                       // the engine was restarted and knows no attempt
	neverRan      string                     // the intent that the engine confirms to have never run
	routingDelay  time.Duration              // how long a request waits for an engine
	tokenInterval time.Duration              // time per token; zero means minTokenInterval
}

const (
	minTokenInterval = 10 * time.Millisecond
	runTokens        = 20
)

func (e *fakeEngine) Run(ctx context.Context, request dispatch.Request, sink dispatch.Sink) outcome.Outcome {
	intent := dispatch.Intent{Attempt: identity.AttemptID("attempt-" + string(request.ID)), Engine: "e1"}
	time.Sleep(e.routingDelay)
	if request.BeforeSend != nil {
		if err := request.BeforeSend(ctx, intent); err != nil {
			return outcome.Outcome{Kind: outcome.Refused, Code: "store_unavailable", Reason: err.Error()}
		}
	}
	e.mutex.Lock()
	e.runs++
	run := e.runs
	e.attempts[intent.Attempt] = run
	e.mutex.Unlock()
	return e.stream(ctx, run, sink)
}

func (e *fakeEngine) Resume(ctx context.Context, intent dispatch.Intent, _ int, sink dispatch.Sink) outcome.Outcome {
	e.mutex.Lock()
	e.resumes++
	run, known := e.attempts[intent.Attempt]
	known = known && !e.restarted
	e.mutex.Unlock()
	if e.neverRan == fmt.Sprintf("%s/%s/%s", intent.Attempt, intent.Engine, intent.Incarnation) {
		return outcome.Outcome{Kind: outcome.Refused}
	}
	if !known {
		return outcome.Outcome{Kind: outcome.Unknown, Reason: "the engine no longer knows the attempt"}
	}
	return e.stream(ctx, run, sink)
}

func (e *fakeEngine) stream(ctx context.Context, run int, sink dispatch.Sink) outcome.Outcome {
	interval := max(e.tokenInterval, minTokenInterval)
	for i := range runTokens {
		select {
		case <-ctx.Done():
			return outcome.Outcome{Kind: outcome.Cancelled}
		case <-time.After(interval):
		}
		if sink(backend.Token{Offset: i, Text: fmt.Sprintf("run%d-%d ", run, i)}) != nil {
			return outcome.Outcome{Kind: outcome.Cancelled}
		}
	}
	return outcome.Outcome{Kind: outcome.Completed, FinishReason: "stop", PromptTokens: 3, OutputTokens: runTokens}
}

// gateways is a set of gateways that share one store, one engine and one other site.
type gateways struct {
	t       *testing.T
	engine  *fakeEngine
	table   *backendtest.Table
	objects *backendtest.Objects
	rows    fixedRows
	site    backend.Site
	mutex   sync.Mutex
	dead    identity.NodeID
	split   bool // nodes a and b consider each other dead
}

func newGateways(t *testing.T) *gateways {
	return &gateways{
		t: t, engine: &fakeEngine{attempts: map[identity.AttemptID]int{}}, rows: testRows(),
		table: backendtest.NewTable(), objects: backendtest.NewObjects(),
	}
}

func (n *gateways) markDead(id identity.NodeID) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.dead = id
}

// memberView is one node's idempotency.Members.
type memberView struct {
	nodes *gateways
	self  identity.NodeID
}

func (v memberView) Self() identity.NodeID { return v.self }

func (v memberView) View() membership.View {
	v.nodes.mutex.Lock()
	defer v.nodes.mutex.Unlock()
	dead := v.nodes.dead
	if v.nodes.split {
		dead = map[identity.NodeID]identity.NodeID{"a": "b", "b": "a"}[v.self]
	}
	return membership.View{Self: v.self, Members: []membership.Member{{ID: dead, State: membership.Dead}}}
}

func (n *gateways) gateway(id identity.NodeID) *Server {
	keys := idempotency.New(idempotency.DefaultConfig(), store.New(n.table), n.objects, memberView{n, id}, zap.NewNop())
	server := New(DefaultConfig(), Dependencies{
		Auth: bearerAuth{}, Rows: n.rows, Limits: limitFunc(unlimited), Online: n.engine, Resume: n.engine, Keys: keys, Site: n.site,
	}, zap.NewNop(), nil)
	n.t.Cleanup(func() { server.keyed.shutdown(0) })
	return server
}

// send makes one request in virtual time. header holds pairs of a name and a value.
func send(ctx context.Context, server *Server, body string, header ...string) *httptest.ResponseRecorder {
	request := httptest.NewRequestWithContext(ctx, http.MethodPost, "/v1/completions", strings.NewReader(body))
	request.Header.Set("Authorization", "Bearer corrib")
	for i := 0; i < len(header); i += 2 {
		request.Header.Set(header[i], header[i+1])
	}
	recorder := httptest.NewRecorder()
	server.http.Echo.ServeHTTP(recorder, request)
	return recorder
}

func sendKeyed(t *testing.T, server *Server, body string) *httptest.ResponseRecorder {
	return send(t.Context(), server, body, headerIdempotencyKey, "k1")
}

const (
	plainBody         = `{"model":"scribe","prompt":"x"}`
	streamBody        = `{"model":"scribe","prompt":"x","stream":true}`
	nonRepeatableBody = `{"model":"scribe","prompt":"x","repeatable":false}`
)

func wantResponse(t *testing.T, got *httptest.ResponseRecorder, status int, parts ...string) {
	t.Helper()
	for _, part := range parts {
		if !strings.Contains(got.Body.String(), part) {
			t.Errorf("body lacks %s: %s", part, got.Body)
		}
	}
	if got.Code != status {
		t.Errorf("status %d, want %d: %s", got.Code, status, got.Body)
	}
}
