package engineconn

import (
	"context"
	"errors"
	"fmt"
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

// TestConnectionCarriesOneRunOfAnID guards against an answer to an earlier run of a request in the place of
// the next. A surplus answer may come late, in the place of the next answer on its connection, and its id
// tells two runs of one request not apart.
func TestConnectionCarriesOneRunOfAnID(t *testing.T) {
	answer := func(id, body string) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
	}
	server := httptest.NewServer(http.HandlerFunc(func(to http.ResponseWriter, first *http.Request) {
		connection, buffered, err := http.NewResponseController(to).Hijack()
		if err != nil {
			return
		}
		defer connection.Close()
		former := ""
		for request := first; err == nil; request, err = http.ReadRequest(buffered.Reader) {
			id := request.Header.Get("Id")
			_, _ = io.WriteString(connection, former+answer(id, request.URL.Path))
			former = answer(id, request.URL.Path) // comes once more in the place of the next answer
		}
	}))
	defer server.Close()
	pool := New(DefaultConfig())
	key := Key{Engine: enginechoice.Incarnation{ID: "e"}, Address: strings.TrimPrefix(server.URL, "http://")}
	for _, run := range []struct {
		id, path string
		reused   bool
	}{{"a", "/1", false}, {"a", "/2", false}, {"b", "/3", true}, {"a", "/4", false}, {"c", "/5", true}, {"b", "/6", true}} {
		exchange, err := pool.Do(context.Background(), key, Request{
			ID: run.id, Method: http.MethodGet, Target: run.path, Host: "engine", Header: http.Header{"Id": {run.id}},
			IsOwnResponse:     func(header http.Header) bool { return header.Get("Id") == run.id },
			OnSurplusResponse: func(http.Header) {},
		})
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(exchange)
		if err != nil || string(body) != run.path || exchange.Reused != run.reused {
			t.Errorf("run %s of %q: answer %q, connection reused: %t, want %t; error %v", run.path, run.id, body, exchange.Reused, run.reused, err)
		}
		exchange.Close()
	}
}

// TestCarriedIDsAreBounded checks that a connection knows the ids of its latest requests, and not those of
// all.
func TestCarriedIDsAreBounded(t *testing.T) {
	var carried carriedIDs
	for i := range 3 * maxCarriedIDs {
		carried.add(fmt.Sprint(i))
	}
	if latest := fmt.Sprint(3*maxCarriedIDs - 1); !carried.has(latest) || carried.has("0") || len(carried.ids) != maxCarriedIDs {
		t.Errorf("has the latest: %t, has the first: %t, %d kept; want true, false, %d", carried.has(latest), carried.has("0"), len(carried.ids), maxCarriedIDs)
	}
}
