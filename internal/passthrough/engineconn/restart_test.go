package engineconn

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"ringstream.example/ringstream/internal/core/enginechoice"
)

// TestIdleConnectionOfAFormerIncarnationIsNotUsed guards against the reuse of a connection to an
// engine's former incarnation after a restart at the same address. The connection may still look
// reusable.
func TestIdleConnectionOfAFormerIncarnationIsNotUsed(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(to http.ResponseWriter, _ *http.Request) { to.WriteHeader(http.StatusOK) }))
	defer server.Close()
	pool := New(DefaultConfig())
	address := strings.TrimPrefix(server.URL, "http://")
	former := Key{Engine: enginechoice.Incarnation{ID: "e", Born: 1000}, Address: address}
	next := Key{Engine: enginechoice.Incarnation{ID: "e", Born: 2000}, Address: address}
	use := func(key Key) bool {
		exchange, err := pool.Do(context.Background(), key, Request{Method: http.MethodGet, Target: "/", Header: make(http.Header), IsOwnResponse: func(http.Header) bool { return true }})
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, exchange)
		exchange.Close()
		return exchange.Reused
	}
	if use(former) || !use(former) {
		t.Fatal("the connection was not kept for the next request")
	}
	if use(next) {
		t.Error("a connection to the former incarnation was reused")
	}
	pool.Sweep(func(engine enginechoice.Incarnation) bool { return engine == next.Engine })
	if connected := pool.Connected(); len(connected) != 1 || !connected[next.Engine] {
		t.Errorf("idle connections are kept to %v, want only the new incarnation", connected)
	}
}
