package httpclient

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"

	"ringstream.example/ringstream/internal/backend"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func validConfig(base string) Config {
	config := DefaultConfig()
	config.TableURL, config.ObjectsURL, config.WeightsURL, config.MachinesURL = base, base, base, base
	return config
}

func TestValidateNamesTheKey(t *testing.T) {
	for key, edit := range map[string]func(*Config){
		"table_url":                 func(c *Config) { c.TableURL = "" },
		"objects_url":               func(c *Config) { c.ObjectsURL = "http://store.example:80" },
		"weights_url":               func(c *Config) { c.WeightsURL = "http://127.0.0.1" },
		"machines_url":              func(c *Config) { c.MachinesURL = "127.0.0.1:80" },
		"other_site_url":            func(c *Config) { c.OtherSiteURL = "http://127.0.0.1:80/path" },
		"connect_timeout":           func(c *Config) { c.ConnectTimeout = 0 },
		"idle_connections_per_host": func(c *Config) { c.IdleConnectionsPerHost = 0 },
	} {
		config := validConfig("http://127.0.0.1:80")
		if err := config.Validate(); err != nil {
			t.Fatal(err)
		}
		edit(&config)
		if err := config.Validate(); err == nil || !strings.HasPrefix(err.Error(), key+":") {
			t.Errorf("%s: got error %v, want one that names the key", key, err)
		}
	}
}

// newTestClients returns clients and an engine that call handler on loopback.
func newTestClients(t *testing.T, handler http.HandlerFunc, edit func(*Config)) (*Clients, backend.Engine) {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	config := validConfig(server.URL)
	if edit != nil {
		edit(&config)
	}
	clients, err := New(config)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(clients.Close)
	engine := clients.Engines.Engine(backend.Machine{ID: "e", Address: strings.TrimPrefix(server.URL, "http://")})
	return clients, engine
}

func checkFailure(t *testing.T, err error, code backend.ErrorCode, effect backend.Effect) {
	t.Helper()
	var failure *backend.Error
	if !errors.As(err, &failure) || failure.Code != code || failure.Effect != effect {
		t.Errorf("got %v (%+v), want %s with effect %v", err, failure, code, effect)
	}
}

func TestOnlyAnErrorBodyMakesTheEffectNone(t *testing.T) {
	for name, test := range map[string]struct {
		handler http.HandlerFunc
		code    backend.ErrorCode
		effect  backend.Effect
	}{
		"bare 503": {func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusServiceUnavailable)
		}, backend.CodeUnavailable, backend.EffectUnknown},
		"bare 429": {func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusTooManyRequests)
		}, backend.CodeRateLimited, backend.EffectUnknown},
		"error body, effect none": {func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusTooManyRequests)
			_, _ = io.WriteString(w, `{"code":"saturated","effect":"none","message":"full"}`)
		}, backend.CodeSaturated, backend.EffectNone},
		"error body, effect unknown": {func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusInternalServerError)
			_, _ = io.WriteString(w, `{"code":"unavailable","effect":"unknown","message":"crashed"}`)
		}, backend.CodeUnavailable, backend.EffectUnknown},
		"aborted response": {func(http.ResponseWriter, *http.Request) {
			panic(http.ErrAbortHandler)
		}, backend.CodeUnavailable, backend.EffectUnknown},
		"not JSON": {func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, "<html>")
		}, backend.CodeUnavailable, backend.EffectUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			clients, _ := newTestClients(t, test.handler, nil)
			_, err := clients.Table.Commit(t.Context(), backend.Transaction{ID: "t"})
			checkFailure(t, err, test.code, test.effect)
		})
	}
}

func TestACallThatWasNeverSentHasNoEffect(t *testing.T) {
	clients, engine := newTestClients(t, func(http.ResponseWriter, *http.Request) {}, nil)
	done, cancel := context.WithCancel(t.Context())
	cancel()
	_, err := clients.Table.Commit(done, backend.Transaction{ID: "t"})
	checkFailure(t, err, backend.CodeUnavailable, backend.EffectNone)
	_, err = engine.Generate(done, backend.GenerateRequest{Attempt: "a"})
	checkFailure(t, err, backend.CodeUnavailable, backend.EffectNone)
	nobody := clients.Engines.Engine(backend.Machine{ID: "e", Address: "127.0.0.1:1"})
	_, err = nobody.Generate(t.Context(), backend.GenerateRequest{Attempt: "a"})
	checkFailure(t, err, backend.CodeUnavailable, backend.EffectNone)
}

func TestAGenerateIsSentOnceThoughItsIdleConnectionWasClosed(t *testing.T) {
	var generates atomic.Int32
	_, engine := newTestClients(t, func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			generates.Add(1)
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(w, `{}`)
	}, nil)
	if _, err := engine.Load(t.Context()); err != nil { // leaves an idle connection
		t.Fatal(err)
	}
	_, err := engine.Generate(t.Context(), backend.GenerateRequest{Attempt: "a"})
	checkFailure(t, err, backend.CodeUnavailable, backend.EffectUnknown)
	if sent := generates.Load(); sent != 1 {
		t.Errorf("the request was sent %d times, want once", sent)
	}
}

func TestAnEngineThatDoesNotAnswerEndsAtTheAcceptTimeout(t *testing.T) {
	_, engine := newTestClients(t, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
	}, func(c *Config) { c.AcceptTimeout = 20 * time.Millisecond })
	_, err := engine.Generate(t.Context(), backend.GenerateRequest{Attempt: "a"})
	checkFailure(t, err, backend.CodeUnavailable, backend.EffectUnknown)
}

func TestStreamsThatAreNotWholeAreBroken(t *testing.T) {
	const head = `{"a":"x","o":0,"t":"one "}` + "\n"
	for name, body := range map[string]string{
		"ends early":             head,
		"gap":                    head + `{"a":"x","o":2,"t":"three "}` + "\n",
		"other attempt's token":  head + `{"a":"y","o":1,"t":"two "}` + "\n",
		"other attempt's finish": head + `{"a":"y","finish":{"reason":"length","output_tokens":1}}` + "\n",
		"finish too soon":        head + `{"a":"x","finish":{"reason":"length","output_tokens":2}}` + "\n",
		"no JSON":                head + "word\n",
		"line too long":          head + strings.Repeat("x", 2*streamBufferBytes) + "\n",
		"repeated token":         head + head,
	} {
		t.Run(name, func(t *testing.T) {
			_, engine := newTestClients(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, body) }, nil)
			stream, err := engine.Generate(t.Context(), backend.GenerateRequest{Attempt: "x"})
			if err != nil {
				t.Fatal(err)
			}
			defer stream.Close()
			if token, err := stream.Next(); err != nil || token.Text != "one " {
				t.Fatalf("first token %+v, error %v", token, err)
			}
			_, err = stream.Next()
			checkFailure(t, err, backend.CodeBroken, backend.EffectUnknown)
			if errors.Is(err, io.EOF) {
				t.Errorf("%v is io.EOF, which marks the end of a complete stream", err)
			}
			if _, again := stream.Next(); !errors.Is(again, err) {
				t.Errorf("Next returned %v after the stream broke, want the same error", again)
			}
		})
	}
}
