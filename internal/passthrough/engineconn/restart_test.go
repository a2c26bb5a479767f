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

// TestIdleConnectionOfAFormerIncarnationIsNotUsed has an engine start again at its address:
// a connection to the one before may still look sound.
func TestIdleConnectionOfAFormerIncarnationIsNotUsed(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(to http.ResponseWriter, _ *http.Request) { to.WriteHeader(http.StatusOK) }))
	defer server.Close()
	pool := New(DefaultConfig())
	address := strings.TrimPrefix(server.URL, "http://")
	former := Key{Engine: enginechoice.Incarnation{ID: "e", Born: 1000}, Address: address}
	next := Key{Engine: enginechoice.Incarnation{ID: "e", Born: 2000}, Address: address}
	use := func(key Key) bool {
		exchange, err := pool.Do(context.Background(), key, Request{Method: http.MethodGet, Target: "/", Header: make(http.Header), Own: func(http.Header) bool { return true }})
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, exchange)
		exchange.Close()
		return exchange.Reused
	}
	if use(former) || !use(former) {
		t.Fatal("a connection is kept for the next request")
	}
	if use(next) {
		t.Error("the former's connection was used")
	}
	pool.Sweep(func(engine enginechoice.Incarnation) bool { return engine == next.Engine })
	if connected := pool.Connected(); len(connected) != 1 || !connected[next.Engine] {
		t.Errorf("idle connections to %v are kept", connected)
	}
}
