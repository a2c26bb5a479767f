package engineconn

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"ringstream.example/ringstream/internal/core/enginechoice"
)

// TestWriterThatIsSlowToReportLosesNoConnection has the answer come before the
// writer has said that the request is out. Connections were closed then, and
// opened anew (TestMetricsTellWhatTheNodeGoesBy, on a busy machine).
func TestWriterThatIsSlowToReportLosesNoConnection(t *testing.T) {
	for _, test := range []struct {
		name  string
		after time.Duration
		err   error
		want  bool
	}{
		{name: "at once", want: true},
		{name: "a moment later", after: writerTime / 2, want: true},
		{name: "it failed", after: writerTime / 2, err: errors.New("reset"), want: false},
		{name: "it still writes", after: time.Hour, want: false},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				exchange := &Exchange{written: make(chan error, 1)}
				go func() {
					time.Sleep(test.after)
					exchange.written <- test.err
				}()
				if got := exchange.whole(); got != test.want {
					t.Errorf("got %t", got)
				}
				time.Sleep(test.after) // the writer ends before the bubble does
			})
		})
	}
}

// TestIdleConnectionIsNotUsedPastItsTimeAfterASuspension: the engine has closed it, and the
// word of that may not have come.
func TestIdleConnectionIsNotUsedPastItsTimeAfterASuspension(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(to http.ResponseWriter, _ *http.Request) { to.WriteHeader(http.StatusOK) }))
	defer server.Close()
	pool := New(DefaultConfig())
	key := Key{Engine: enginechoice.Incarnation{ID: "e"}, Address: strings.TrimPrefix(server.URL, "http://")}
	use := func() bool {
		exchange, err := pool.Do(context.Background(), key, Request{Method: http.MethodGet, Target: "/", Header: make(http.Header), Own: func(http.Header) bool { return true }})
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, exchange)
		exchange.Close()
		return exchange.Reused
	}
	use()
	pool.Suspended(time.Second)
	if !use() {
		t.Error("a connection in its time was not used")
	}
	pool.Suspended(keepDefault)
	if use() {
		t.Error("a connection past its time was used")
	}
}

// TestTimesToKeepAConnectionThatAreNone: a time that overflowed a duration closed each
// connection after one request.
func TestTimesToKeepAConnectionThatAreNone(t *testing.T) {
	for text, want := range map[string]time.Duration{
		"timeout=5": 5*time.Second - keepMargin, "Timeout=5, max=100": 5*time.Second - keepMargin, "max=3, timeout=0": -keepMargin,
		"": keepDefault, "timeout": keepDefault, "timeout=x": keepDefault, "timeout=2.5": keepDefault, "timeout=-4": keepDefault,
		"timeout=9223372037": keepDefault, "timeout=99999999999999999999": keepDefault,
	} {
		if got := keepAlive(http.Header{"Keep-Alive": {text}}); got != want {
			t.Errorf("%q: %s, want %s", text, got, want)
		}
	}
}
