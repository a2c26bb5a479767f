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

// BenchmarkExchange measures a request and its response on a connection that is used again.
func BenchmarkExchange(b *testing.B) {
	server := httptest.NewServer(http.HandlerFunc(func(to http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(to, "id: 1\ndata: x\n\n")
	}))
	defer server.Close()
	pool := New(DefaultConfig())
	key := Key{Engine: enginechoice.Incarnation{ID: "e"}, Address: strings.TrimPrefix(server.URL, "http://")}
	b.ReportAllocs()
	for b.Loop() {
		exchange, err := pool.Do(context.Background(), key, Request{Method: http.MethodGet, Target: "/", Header: make(http.Header), IsOwnResponse: func(http.Header) bool { return true }})
		if err != nil {
			b.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, exchange)
		exchange.Close()
	}
}
