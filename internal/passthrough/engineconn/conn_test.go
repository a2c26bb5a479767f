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

// TestWriterThatIsSlowToReportLosesNoConnection guards against a connection that is closed because
// the response ends before the writer has reported that the request is written. On a busy machine
// such connections were closed and opened again (seen in TestNodeExposesItsMetrics).
func TestWriterThatIsSlowToReportLosesNoConnection(t *testing.T) {
	for _, test := range []struct {
		name  string
		after time.Duration
		err   error
		want  bool
	}{
		{name: "immediately", want: true},
		{name: "within the timeout", after: writeReportTimeout / 2, want: true},
		{name: "write failed", after: writeReportTimeout / 2, err: errors.New("reset"), want: false},
		{name: "still writing", after: time.Hour, want: false},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				exchange := &Exchange{written: make(chan error, 1)}
				go func() {
					time.Sleep(test.after)
					exchange.written <- test.err
				}()
				if got := exchange.requestWritten(); got != test.want {
					t.Errorf("requestWritten() = %t, want the opposite", got)
				}
				time.Sleep(test.after) // the writer ends before the bubble does
			})
		})
	}
}

// TestIdleConnectionIsNotUsedPastItsTimeAfterASuspension guards against the reuse of a connection
// that exceeded its idle time during a suspension of the machine. The engine has closed it, and the
// FIN may not have arrived yet.
func TestIdleConnectionIsNotUsedPastItsTimeAfterASuspension(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(to http.ResponseWriter, _ *http.Request) { to.WriteHeader(http.StatusOK) }))
	defer server.Close()
	pool := New(DefaultConfig())
	key := Key{Engine: enginechoice.Incarnation{ID: "e"}, Address: strings.TrimPrefix(server.URL, "http://")}
	use := func() bool {
		exchange, err := pool.Do(context.Background(), key, Request{Method: http.MethodGet, Target: "/", Header: make(http.Header), IsOwnResponse: func(http.Header) bool { return true }})
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, exchange)
		exchange.Close()
		return exchange.Reused
	}
	use()
	pool.AdjustForSuspension(time.Second)
	if !use() {
		t.Error("a connection within its idle time was not reused")
	}
	pool.AdjustForSuspension(defaultKeepAlive)
	if use() {
		t.Error("a connection past its idle time was reused")
	}
}

// TestInvalidKeepAliveTimeouts guards against a Keep-Alive timeout that overflows a duration. Such a
// timeout closed each connection after one request.
func TestInvalidKeepAliveTimeouts(t *testing.T) {
	for text, want := range map[string]time.Duration{
		"timeout=5": 5*time.Second - keepAliveMargin, "Timeout=5, max=100": 5*time.Second - keepAliveMargin, "max=3, timeout=0": -keepAliveMargin,
		"": defaultKeepAlive, "timeout": defaultKeepAlive, "timeout=x": defaultKeepAlive, "timeout=2.5": defaultKeepAlive, "timeout=-4": defaultKeepAlive,
		"timeout=9223372037": defaultKeepAlive, "timeout=99999999999999999999": defaultKeepAlive,
	} {
		if got := idleLimit(http.Header{"Keep-Alive": {text}}); got != want {
			t.Errorf("%q: %s, want %s", text, got, want)
		}
	}
}
