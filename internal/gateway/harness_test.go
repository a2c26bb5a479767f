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

// engine is a dispatch.Online and Resumer that tells its runs apart by their
// text and keeps attempts that were sent. A token takes tokenTime.
type engine struct {
	mutex    sync.Mutex
	runs     int // sends to the engine
	resumes  int
	attempts map[identity.AttemptID]int // the run that an attempt was
	forget   bool                       // the engine was restarted: it knows no attempt
	never    string                     // the intent of which its engine vouches that it never ran
	routing  time.Duration              // how long a request waits for an engine
	pace     time.Duration              // a token's time; zero: tokenTime
}

const (
	tokenTime = 10 * time.Millisecond
	runTokens = 20
)

func (e *engine) Run(ctx context.Context, request dispatch.Request, sink dispatch.Sink) outcome.Outcome {
	intent := dispatch.Intent{Attempt: identity.AttemptID("attempt-" + string(request.ID)), Engine: "e1"}
	time.Sleep(e.routing)
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

func (e *engine) Resume(ctx context.Context, intent dispatch.Intent, _ int, sink dispatch.Sink) outcome.Outcome {
	e.mutex.Lock()
	e.resumes++
	run, known := e.attempts[intent.Attempt]
	known = known && !e.forget
	e.mutex.Unlock()
	if e.never == fmt.Sprintf("%s/%s/%s", intent.Attempt, intent.Engine, intent.Incarnation) {
		return outcome.Outcome{Kind: outcome.Refused}
	}
	if !known {
		return outcome.Outcome{Kind: outcome.Unknown, Reason: "the engine no longer knows the attempt"}
	}
	return e.stream(ctx, run, sink)
}

func (e *engine) stream(ctx context.Context, run int, sink dispatch.Sink) outcome.Outcome {
	pace := max(e.pace, tokenTime)
	for i := range runTokens {
		select {
		case <-ctx.Done():
			return outcome.Outcome{Kind: outcome.Cancelled}
		case <-time.After(pace):
		}
		if sink(backend.Token{Offset: i, Text: fmt.Sprintf("run%d-%d ", run, i)}) != nil {
			return outcome.Outcome{Kind: outcome.Cancelled}
		}
	}
	return outcome.Outcome{Kind: outcome.Completed, FinishReason: "stop", PromptTokens: 3, OutputTokens: runTokens}
}

// nodes are gateways over one store, one engine and one other site.
type nodes struct {
	t       *testing.T
	engine  *engine
	table   *backendtest.Table
	objects *backendtest.Objects
	rows    fixedRows
	site    backend.Site
	mutex   sync.Mutex
	dead    identity.NodeID
	split   bool // nodes a and b hold each other for dead
}

func newNodes(t *testing.T) *nodes {
	return &nodes{
		t: t, engine: &engine{attempts: map[identity.AttemptID]int{}}, rows: testRows(),
		table: backendtest.NewTable(), objects: backendtest.NewObjects(),
	}
}

func (n *nodes) die(id identity.NodeID) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.dead = id
}

// view is one node's idempotency.Members.
type view struct {
	nodes *nodes
	self  identity.NodeID
}

func (v view) Self() identity.NodeID { return v.self }

func (v view) View() membership.View {
	v.nodes.mutex.Lock()
	defer v.nodes.mutex.Unlock()
	dead := v.nodes.dead
	if v.nodes.split {
		dead = map[identity.NodeID]identity.NodeID{"a": "b", "b": "a"}[v.self]
	}
	return membership.View{Self: v.self, Members: []membership.Member{{ID: dead, State: membership.Dead}}}
}

func (n *nodes) gateway(id identity.NodeID) *Server {
	keys := idempotency.New(idempotency.DefaultConfig(), store.New(n.table), n.objects, view{n, id}, zap.NewNop())
	server := New(DefaultConfig(), Dependencies{
		Auth: bearerAuth{}, Rows: n.rows, Limits: limitFunc(unlimited), Online: n.engine, Resume: n.engine, Keys: keys, Site: n.site,
	}, zap.NewNop(), nil)
	n.t.Cleanup(func() { server.keyed.finish(0) })
	return server
}

// send makes one request in virtual time; header gives pairs.
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

func keyed(t *testing.T, server *Server, body string) *httptest.ResponseRecorder {
	return send(t.Context(), server, body, headerIdempotencyKey, "k1")
}

const (
	wholeBody  = `{"model":"scribe","prompt":"x"}`
	streamBody = `{"model":"scribe","prompt":"x","stream":true}`
	onceBody   = `{"model":"scribe","prompt":"x","repeatable":false}`
)

func wantCode(t *testing.T, got *httptest.ResponseRecorder, status int, parts ...string) {
	t.Helper()
	for _, part := range parts {
		if !strings.Contains(got.Body.String(), part) {
			t.Errorf("no %s in %s", part, got.Body)
		}
	}
	if got.Code != status {
		t.Errorf("status %d, want %d: %s", got.Code, status, got.Body)
	}
}
