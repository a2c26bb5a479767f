package httpserver

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/labstack/echo/v4"
	"go.uber.org/goleak"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"ringstream.example/ringstream/internal/apierror"
	"ringstream.example/ringstream/internal/tlsconfig"
	"ringstream.example/ringstream/internal/tlsconfig/tlstest"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// testServer is a server on a loopback port whose log is observed.
type testServer struct {
	*Server
	logs *observer.ObservedLogs
	stop context.CancelFunc
	done chan error
}

func startServer(t *testing.T, change func(*Config), routes func(*Server)) *testServer {
	t.Helper()
	config := DefaultConfig()
	config.Address, config.LeaveTime = "127.0.0.1:0", 0
	if change != nil {
		change(&config)
	}
	if err := config.Validate(); err != nil {
		t.Fatal(err)
	}
	core, logs := observer.New(zap.InfoLevel)
	ctx, cancel := context.WithCancel(t.Context())
	r := &testServer{Server: New("test", config, zap.New(core)), logs: logs, stop: cancel, done: make(chan error, 1)}
	routes(r.Server)
	go func() { r.done <- r.Run(ctx) }()
	<-r.Listening()
	t.Cleanup(func() {
		cancel()
		http.DefaultClient.CloseIdleConnections()
	})
	return r
}

func (r *testServer) send(t *testing.T, method, path, body string) (*http.Response, string) {
	t.Helper()
	request, err := http.NewRequest(method, "http://"+r.Address()+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return response, string(answer)
}

func TestErrorsAreJSON(t *testing.T) {
	r := startServer(t, func(c *Config) { c.BodyLimit = 8 }, func(s *Server) {
		read := func(c echo.Context) error { _, err := io.ReadAll(c.Request().Body); return err }
		s.Echo.POST("/read", read)
		s.Echo.POST("/large", read)
		s.LimitBody("/large", 100)
		s.Echo.POST("/panic", func(echo.Context) error { panic("broken") })
		s.Echo.POST("/conflict", func(echo.Context) error {
			return apierror.New(http.StatusConflict, apierror.CodeConflict, "row %s changed", "a")
		})
	})
	cases := []struct {
		method, path, body string
		status             int
		code               apierror.Code
		run                string
	}{
		{"POST", "/read", "123456789", 413, apierror.CodeTooLarge, "not_run"},
		{"POST", "/panic", "", 500, apierror.CodeInternal, "unknown"},
		{"POST", "/conflict", "", 409, apierror.CodeConflict, "not_run"},
		{"POST", "/absent", "", 404, apierror.CodeNotFound, "not_run"},
		{"GET", "/read", "", 405, apierror.CodeInvalidRequest, "not_run"},
	}
	for _, c := range cases {
		response, text := r.send(t, c.method, c.path, c.body)
		var body ErrorBody
		if err := json.Unmarshal([]byte(text), &body); err != nil {
			t.Fatalf("%s: %v in %q", c.path, err, text)
		}
		if response.StatusCode != c.status || body.Code != c.code || body.Run != c.run || body.Error.Message != body.Message {
			t.Errorf("%s: got %d %+v", c.path, response.StatusCode, body)
		}
		if body.RequestID == "" || string(body.RequestID) != response.Header.Get(echo.HeaderXRequestID) {
			t.Errorf("%s: request id %q", c.path, body.RequestID)
		}
	}
	if response, _ := r.send(t, "POST", "/large", "123456789"); response.StatusCode != http.StatusOK {
		t.Errorf("the body limit of the route was not applied: status %d", response.StatusCode)
	}
	if r.logs.FilterMessage("request panicked").Len() != 1 {
		t.Error("the panic was not logged")
	}
}

func TestRequestIDIsTakenOverOnlyWhenUsable(t *testing.T) {
	for id, usable := range map[string]bool{"abc-1": true, "": false, "a b": false, "a\"b": false, strings.Repeat("x", 129): false, "é": false} {
		if usableRequestID(id) != usable {
			t.Errorf("%q: got usable %v", id, !usable)
		}
	}
}

// startStreaming starts a server and a request whose response has its first line sent.
// The response ends with a second line once release is closed.
func startStreaming(t *testing.T, change func(*Config)) (r *testServer, response *http.Response, release chan struct{}) {
	t.Helper()
	release = make(chan struct{})
	r = startServer(t, change, func(s *Server) {
		s.Echo.POST("/stream", func(c echo.Context) error {
			_, _ = io.ReadAll(c.Request().Body)
			_, _ = io.WriteString(c.Response(), "first\n")
			c.Response().Flush()
			select {
			case <-release:
			case <-c.Request().Context().Done():
				return c.Request().Context().Err()
			}
			_, err := io.WriteString(c.Response(), "last\n")
			return err
		})
	})
	response, err := http.Post("http://"+r.Address()+"/stream", "text/plain", strings.NewReader("body"))
	if err != nil {
		t.Fatal(err)
	}
	return r, response, release
}

func TestStopLetsRunningRequestsEnd(t *testing.T) {
	r, response, release := startStreaming(t, nil)
	defer response.Body.Close()
	r.stop()
	for r.logs.FilterMessage("server draining").Len() == 0 {
		time.Sleep(time.Millisecond) // polls without a time limit
	}
	close(release)
	answer, err := io.ReadAll(response.Body)
	if err != nil || string(answer) != "first\nlast\n" {
		t.Fatalf("got %q, %v", answer, err)
	}
	if err := <-r.done; err != nil {
		t.Fatal(err)
	}
	if r.logs.FilterMessage("server stopped with requests running").Len() != 0 {
		t.Error("a request was cut")
	}
}

func TestTLSWithBothVersionsOfHTTP(t *testing.T) {
	authority := tlstest.NewAuthority(t)
	certificate := authority.Issue(t, t.TempDir(), 2)
	r := startServer(t, func(c *Config) { c.TLS = certificate }, func(s *Server) {
		s.Echo.POST("/echo", func(c echo.Context) error {
			body, err := io.ReadAll(c.Request().Body)
			if err != nil {
				return err
			}
			return c.String(http.StatusOK, c.Request().Proto+" "+string(body))
		})
	})
	reloader, err := tlsconfig.New(certificate, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	for _, useHTTP2 := range []bool{false, true} {
		transport := &http.Transport{TLSClientConfig: reloader.Client(), ForceAttemptHTTP2: useHTTP2}
		response, err := (&http.Client{Transport: transport}).Post("https://"+r.Address()+"/echo", "text/plain", strings.NewReader("body"))
		if err != nil {
			t.Fatal(err)
		}
		answer, _ := io.ReadAll(response.Body)
		response.Body.Close()
		transport.CloseIdleConnections()
		want := "HTTP/1.1 body"
		if useHTTP2 {
			want = "HTTP/2.0 body"
		}
		if string(answer) != want {
			t.Errorf("got %q, want %q", answer, want)
		}
	}
	if _, err := http.Get("https://" + r.Address()); err == nil {
		t.Error("a client without the authority trusted the server")
	}
	r.stop()
	if err := <-r.done; err != nil {
		t.Error(err)
	}
}

func TestStopIsBounded(t *testing.T) {
	r, response, _ := startStreaming(t, func(c *Config) { c.DrainTime = time.Nanosecond })
	defer response.Body.Close()
	r.stop()
	if err := <-r.done; err != nil {
		t.Fatal(err)
	}
	if r.logs.FilterMessage("server stopped with requests running").Len() != 1 {
		t.Error("the cut request was not logged")
	}
	if _, err := io.ReadAll(response.Body); err == nil {
		t.Error("the response was cut, but reading it gave no error")
	}
}

func TestSlowBodyIsBoundedAndLongAnswerIsNot(t *testing.T) {
	const limit = 50 * time.Millisecond
	r, response, release := startStreaming(t, func(c *Config) { c.ReadBodyTimeout = limit })
	defer response.Body.Close()
	reader, writer := io.Pipe()
	defer writer.Close()
	slow, err := http.Post("http://"+r.Address()+"/stream", "text/plain", reader) // the body never ends
	if err == nil {
		defer slow.Body.Close()
	}
	// The timeout has now passed for the first request too, but its response goes on.
	close(release)
	answer, err := io.ReadAll(response.Body)
	if err != nil || string(answer) != "first\nlast\n" {
		t.Fatalf("got %q, %v", answer, err)
	}
}
