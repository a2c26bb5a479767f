package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/openai/openai-go"
	"github.com/openai/openai-go/option"
	"go.uber.org/goleak"
	"go.uber.org/zap"

	"ringstream.example/ringstream/internal/apierror"
	"ringstream.example/ringstream/internal/backend"
	"ringstream.example/ringstream/internal/backend/backendtest"
	"ringstream.example/ringstream/internal/core/identity"
	"ringstream.example/ringstream/internal/core/outcome"
	"ringstream.example/ringstream/internal/core/policy"
	"ringstream.example/ringstream/internal/dispatch"
	"ringstream.example/ringstream/internal/idempotency"
	"ringstream.example/ringstream/internal/limits"
	"ringstream.example/ringstream/internal/store"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// runFunc is a dispatch.Online made of one function.
type runFunc func(ctx context.Context, request dispatch.Request, sink dispatch.Sink) outcome.Outcome

func (f runFunc) Run(ctx context.Context, request dispatch.Request, sink dispatch.Sink) outcome.Outcome {
	return f(ctx, request, sink)
}

// answerWith returns a runFunc that answers each request with the given words.
func answerWith(words ...string) runFunc {
	return func(_ context.Context, _ dispatch.Request, sink dispatch.Sink) outcome.Outcome {
		for i, word := range words {
			if err := sink(backend.Token{Offset: i, Text: word}); err != nil {
				return outcome.Outcome{Kind: outcome.Cancelled, PromptTokens: 3, OutputTokens: i + 1}
			}
		}
		return outcome.Outcome{Kind: outcome.Completed, FinishReason: "stop", PromptTokens: 3, OutputTokens: len(words)}
	}
}

type bearerAuth struct{}

func (bearerAuth) Tenant(request *http.Request) (identity.TenantID, error) {
	tenant, found := strings.CutPrefix(request.Header.Get("Authorization"), "Bearer ")
	if !found {
		return "", apierror.New(http.StatusUnauthorized, apierror.CodeUnauthorized, "no bearer key")
	}
	return identity.TenantID(tenant), nil
}

func (bearerAuth) Operator(*http.Request) (string, error) { return "", errors.New("no operators here") }

type fixedRows struct{ table *policy.Table }

func (r fixedRows) Table() *policy.Table { return r.table }

type limitFunc func() limits.Decision

func (f limitFunc) Admit(policy.Row, identity.TenantID, int) (func(int), limits.Decision) {
	return func(int) {}, f()
}

func unlimited() limits.Decision { return limits.Decision{Allowed: true} }

func testRows() fixedRows {
	return fixedRows{policy.NewTable(1, []policy.Row{{
		ID: "all", Match: policy.Match{Tenant: policy.Any, Model: "scribe", Kind: policy.Any}, Weight: 1, NewSiteShare: 1,
	}})}
}

// testServer is a gateway on a loopback port.
type testServer struct {
	*Server
	url  string
	stop context.CancelFunc
	done chan error
}

func startServer(t *testing.T, change func(*Config, *Dependencies)) *testServer {
	t.Helper()
	config := DefaultConfig()
	config.HTTP.Address, config.HTTP.LeaveTime = "127.0.0.1:0", 0
	deps := Dependencies{Auth: bearerAuth{}, Rows: testRows(), Limits: limitFunc(unlimited), Online: answerWith("Hello", ", ", "world")}
	change(&config, &deps)
	if err := config.Validate(); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	s := &testServer{Server: New(config, deps, zap.NewNop(), nil), stop: cancel, done: make(chan error, 1)}
	go func() { s.done <- s.Run(ctx) }()
	<-s.Listening()
	s.url = "http://" + s.Address()
	t.Cleanup(func() {
		cancel()
		http.DefaultClient.CloseIdleConnections()
		if err := <-s.done; err != nil {
			t.Error(err)
		}
	})
	return s
}

func withOnline(run runFunc) func(*Config, *Dependencies) {
	return func(_ *Config, deps *Dependencies) { deps.Online = run }
}

func (s *testServer) post(t *testing.T, path, body string, header ...string) (*http.Response, string) {
	t.Helper()
	request, err := http.NewRequest(http.MethodPost, s.url+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer corrib")
	for i := 0; i < len(header); i += 2 {
		request.Header.Set(header[i], header[i+1])
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return response, string(text)
}

func (s *testServer) openAI() openai.Client {
	return openai.NewClient(option.WithBaseURL(s.url+"/v1/"), option.WithAPIKey("corrib"), option.WithMaxRetries(0))
}

func TestOfficialClientGetsWholeAndStreamedAnswers(t *testing.T) {
	client := startServer(t, withOnline(answerWith("Hello", ", ", "wörld \"1\"\n"))).openAI()
	const want = "Hello, wörld \"1\"\n"
	chat := openai.ChatCompletionNewParams{Model: "scribe", Messages: []openai.ChatCompletionMessageParamUnion{
		openai.SystemMessage("Be brief."), openai.UserMessage("Say hello."),
	}}
	whole, err := client.Chat.Completions.New(t.Context(), chat)
	if err != nil {
		t.Fatal(err)
	}
	if got := whole.Choices[0].Message.Content; got != want || whole.Usage.TotalTokens != 6 || whole.Choices[0].FinishReason != "stop" {
		t.Errorf("whole chat: %q, %+v", got, whole)
	}
	chat.StreamOptions = openai.ChatCompletionStreamOptionsParam{IncludeUsage: openai.Bool(true)}
	stream := client.Chat.Completions.NewStreaming(t.Context(), chat)
	collected := openai.ChatCompletionAccumulator{}
	for stream.Next() {
		if !collected.AddChunk(stream.Current()) {
			t.Fatalf("chunk does not fit: %s", stream.Current().RawJSON())
		}
	}
	if err := stream.Err(); err != nil {
		t.Fatal(err)
	}
	if got := collected.Choices[0].Message.Content; got != want || collected.Usage.CompletionTokens != 3 || collected.Choices[0].FinishReason != "stop" {
		t.Errorf("streamed chat: %q, %+v", got, collected.ChatCompletion)
	}
	completion := openai.CompletionNewParams{Model: "scribe", Prompt: openai.CompletionNewParamsPromptUnion{OfString: openai.String("Hi")}}
	text, err := client.Completions.New(t.Context(), completion)
	if err != nil || text.Choices[0].Text != want {
		t.Errorf("whole completion: %+v, %v", text, err)
	}
	pieces := client.Completions.NewStreaming(t.Context(), completion)
	var joined strings.Builder
	for pieces.Next() {
		joined.WriteString(pieces.Current().Choices[0].Text)
	}
	if pieces.Err() != nil || joined.String() != want {
		t.Errorf("streamed completion: %q, %v", joined.String(), pieces.Err())
	}
	models, err := client.Models.List(t.Context())
	if err != nil || len(models.Data) != 1 || models.Data[0].ID != "scribe" {
		t.Errorf("models: %+v, %v", models, err)
	}
}

func TestOfficialClientSeesAFailureInTheMiddleOfAStream(t *testing.T) {
	client := startServer(t, withOnline(func(_ context.Context, _ dispatch.Request, sink dispatch.Sink) outcome.Outcome {
		_ = sink(backend.Token{Text: "half"})
		return outcome.Outcome{Kind: outcome.Unknown, Reason: "the engine fell silent", OutputTokens: 1}
	})).openAI()
	stream := client.Completions.NewStreaming(t.Context(), openai.CompletionNewParams{
		Model: "scribe", Prompt: openai.CompletionNewParamsPromptUnion{OfString: openai.String("Hi")},
	})
	for stream.Next() {
	}
	if err := stream.Err(); err == nil || !strings.Contains(err.Error(), "the engine fell silent") {
		t.Errorf("the stream ended with %v", err)
	}
}

func TestOfficialClientDoesNotRepeatWhatMayRunOnce(t *testing.T) {
	for _, test := range []struct {
		repeatable bool
		runs       int
	}{{true, 2}, {false, 1}} {
		runs := 0
		server := startServer(t, withOnline(func(context.Context, dispatch.Request, dispatch.Sink) outcome.Outcome {
			runs++
			return outcome.Outcome{Kind: outcome.Unknown}
		}))
		client := openai.NewClient(option.WithBaseURL(server.url+"/v1/"), option.WithAPIKey("corrib"), option.WithMaxRetries(1))
		_, err := client.Completions.New(t.Context(), openai.CompletionNewParams{
			Model: "scribe", Prompt: openai.CompletionNewParamsPromptUnion{OfString: openai.String("Hi")},
		}, option.WithJSONSet("repeatable", test.repeatable))
		if err == nil || runs != test.runs {
			t.Errorf("repeatable %v: %d runs, %v", test.repeatable, runs, err)
		}
	}
}

func TestOutcomesAreReportedTruthfully(t *testing.T) {
	cases := map[string]struct {
		ended  outcome.Outcome
		status int
		run    string
		code   string
	}{
		"refused":      {outcome.Outcome{Kind: outcome.Refused}, 503, "not_run", "no_capacity"},
		"limited":      {outcome.Outcome{Kind: outcome.Refused, Code: "limit_exceeded"}, 429, "not_run", "limit_exceeded"},
		"failed":       {outcome.Outcome{Kind: outcome.Failed}, 502, "failed", "engine_failed"},
		"unknown":      {outcome.Outcome{Kind: outcome.Unknown}, 502, "unknown", "engine_failed"},
		"cancelled":    {outcome.Outcome{Kind: outcome.Cancelled}, 504, "cancelled", "deadline_exceeded"},
		"not whole":    {outcome.Outcome{Kind: outcome.Completed, OutputTokens: 4}, 502, "failed", "engine_failed"},
		"store is out": {outcome.Outcome{Kind: outcome.Refused, Code: "store_unavailable"}, 503, "not_run", "store_unavailable"},
	}
	for name, test := range cases {
		for _, stream := range []string{"true", "false"} {
			t.Run(name+" "+stream, func(t *testing.T) {
				server := startServer(t, withOnline(func(context.Context, dispatch.Request, dispatch.Sink) outcome.Outcome { return test.ended }))
				response, body := server.post(t, "/v1/completions", `{"model":"scribe","prompt":"x","stream":`+stream+`}`)
				var reported struct{ Code, Run, Message string }
				if err := json.Unmarshal([]byte(body), &reported); err != nil {
					t.Fatalf("%s: %v", body, err)
				}
				if response.StatusCode != test.status || reported.Run != test.run || reported.Code != test.code || reported.Message == "" {
					t.Errorf("%d %s", response.StatusCode, body)
				}
				if test.ended.Kind == outcome.Refused && response.Header.Get("Retry-After") == "" {
					t.Error("a refusal has no Retry-After")
				}
				if response.Header.Get("X-Request-Id") == "" {
					t.Error("no X-Request-Id")
				}
			})
		}
	}
}

func TestHarmlessFieldsAreIgnored(t *testing.T) {
	server := startServer(t, withOnline(answerWith("x")))
	response, text := server.post(t, "/v1/completions",
		`{"model":"scribe","prompt":"x","temperature":1,"top_p":1.0,"n":1,"user":"u","metadata":{"a":"b"},"logit_bias":{ }}`)
	if response.StatusCode != http.StatusOK {
		t.Errorf("%d %s", response.StatusCode, text)
	}
}

func TestStopSequenceAcrossTokens(t *testing.T) {
	server := startServer(t, withOnline(answerWith("one t", "w", "o th", "ree")))
	_, text := server.post(t, "/v1/completions", `{"model":"scribe","prompt":"x","stop":["two"]}`)
	if !strings.Contains(text, `"text":"one "`) || !strings.Contains(text, `"finish_reason":"stop"`) {
		t.Error(text)
	}
	_, text = server.post(t, "/v1/completions", `{"model":"scribe","prompt":"x","stop":"ree!"}`)
	if !strings.Contains(text, `"text":"one two three"`) {
		t.Error(text)
	}
}

func TestATokenOutOfOrderNeverReachesTheCaller(t *testing.T) {
	server := startServer(t, withOnline(func(_ context.Context, _ dispatch.Request, sink dispatch.Sink) outcome.Outcome {
		_ = sink(backend.Token{Offset: 0, Text: "mine"})
		_ = sink(backend.Token{Offset: 2, Text: "another's"})
		_ = sink(backend.Token{Offset: 1, Text: "late"})
		return outcome.Outcome{Kind: outcome.Completed, OutputTokens: 1}
	}))
	_, text := server.post(t, "/v1/completions", `{"model":"scribe","prompt":"x","stream":true}`)
	if strings.Contains(text, "another") || strings.Contains(text, "late") || strings.Contains(text, "[DONE]") || !strings.Contains(text, "event: error") {
		t.Error(text)
	}
}

func TestClientGoneCancelsTheRun(t *testing.T) {
	cancelled := make(chan struct{})
	server := startServer(t, withOnline(func(ctx context.Context, _ dispatch.Request, sink dispatch.Sink) outcome.Outcome {
		_ = sink(backend.Token{Text: "first"})
		<-ctx.Done()
		close(cancelled)
		return outcome.Outcome{Kind: outcome.Cancelled}
	}))
	ctx, leave := context.WithCancel(t.Context())
	request, _ := http.NewRequestWithContext(ctx, http.MethodPost, server.url+"/v1/completions",
		strings.NewReader(`{"model":"scribe","prompt":"x","stream":true}`))
	request.Header.Set("Authorization", "Bearer corrib")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	leave()
	<-cancelled
	response.Body.Close()
}

func TestPlannedStopCutsNoStream(t *testing.T) {
	begun, proceed := make(chan struct{}), make(chan struct{})
	server := startServer(t, withOnline(func(_ context.Context, _ dispatch.Request, sink dispatch.Sink) outcome.Outcome {
		_ = sink(backend.Token{Text: "before"})
		close(begun)
		<-proceed
		_ = sink(backend.Token{Offset: 1, Text: "after"})
		return outcome.Outcome{Kind: outcome.Completed, OutputTokens: 2}
	}))
	answered := make(chan string, 1)
	go func() {
		_, text := server.post(t, "/v1/completions", `{"model":"scribe","prompt":"x","stream":true}`)
		answered <- text
	}()
	<-begun
	server.Drain()
	server.Drain()
	select {
	case err := <-server.done:
		t.Fatalf("Run returned with a stream running: %v", err)
	default:
	}
	close(proceed)
	if text := <-answered; !strings.Contains(text, "after") || !strings.HasSuffix(text, streamDone) {
		t.Error(text)
	}
	server.done <- <-server.done // for the cleanup
}

func TestPlannedStopFinishesAKeyedRunWithoutClients(t *testing.T) {
	begun, proceed := make(chan struct{}), make(chan struct{})
	table := backendtest.NewTable()
	server := startServer(t, func(_ *Config, deps *Dependencies) {
		deps.Keys = idempotency.New(idempotency.DefaultConfig(), store.New(table), backendtest.NewObjects(), memberView{&gateways{}, "a"}, zap.NewNop())
		deps.Online = runFunc(func(_ context.Context, _ dispatch.Request, sink dispatch.Sink) outcome.Outcome {
			close(begun)
			<-proceed
			_ = sink(backend.Token{Text: "whole"})
			return outcome.Outcome{Kind: outcome.Completed, OutputTokens: 1}
		})
	})
	ctx, leave := context.WithCancel(t.Context())
	request, _ := http.NewRequestWithContext(ctx, http.MethodPost, server.url+"/v1/completions", strings.NewReader(plainBody))
	request.Header.Set("Authorization", "Bearer corrib")
	request.Header.Set(headerIdempotencyKey, "k1")
	go func() {
		<-begun
		leave()
	}()
	if _, err := http.DefaultClient.Do(request); err == nil { //nolint:bodyclose // no response
		t.Fatal("an answer arrived before the run's end")
	}
	server.Drain()
	close(proceed)
	err := <-server.done
	server.done <- err // for the cleanup
	if err != nil || table.Commits() != 2 {
		t.Errorf("Run returned with %d commits, %v", table.Commits(), err)
	}
}

func TestLimitRefusalCarriesRetryAfter(t *testing.T) {
	server := startServer(t, func(_ *Config, deps *Dependencies) {
		deps.Limits = limitFunc(func() limits.Decision {
			return limits.Decision{Limit: "row requests_per_second", RetryAfter: 1500 * time.Millisecond}
		})
	})
	response, text := server.post(t, "/v1/completions", `{"model":"scribe","prompt":"x"}`)
	if response.StatusCode != http.StatusTooManyRequests || response.Header.Get("Retry-After") != "2" || !strings.Contains(text, "row requests_per_second") {
		t.Errorf("%d %v %s", response.StatusCode, response.Header, text)
	}
}

func TestNodeWithoutATableIsUnavailable(t *testing.T) {
	server := startServer(t, func(_ *Config, deps *Dependencies) {
		deps.Rows, deps.TableReady = fixedRows{policy.NewTable(0, nil)}, func() bool { return false }
	})
	if response, text := server.post(t, "/v1/completions", `{"model":"scribe","prompt":"x"}`); response.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("%d %s", response.StatusCode, text)
	}
	if status, text := server.get(t, "/readyz"); status != http.StatusServiceUnavailable {
		t.Errorf("%d %s", status, text)
	}
}
