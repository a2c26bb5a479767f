package engineconn

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"ringstream.example/ringstream/internal/core/enginechoice"
	"ringstream.example/ringstream/internal/loopbacktest"
)

// newRequest returns a request that accepts the responses with its id.
func newRequest() Request {
	return Request{
		Method: http.MethodGet, Target: "/", Header: make(http.Header),
		IsOwnResponse:     func(header http.Header) bool { return header.Get("X-Id") == "own" },
		OnSurplusResponse: func(http.Header) {},
	}
}

func keyOf(address string) Key {
	return Key{Engine: enginechoice.Incarnation{ID: "e"}, Address: address}
}

// respond returns the key of an engine that sends the next of the texts after each request on a connection, and
// then keeps the connection open.
func respond(t *testing.T, texts ...string) Key {
	t.Helper()
	address, _ := loopbacktest.Serve(t, func(connection *net.TCPConn) {
		buffer := make([]byte, 4<<10)
		for _, text := range texts {
			_, _ = connection.Read(buffer)
			_, _ = io.WriteString(connection, text)
		}
	})
	return keyOf(address)
}

// TestHeadAtItsLimit guards against a limit that a long sound head exceeds, alone or behind surplus responses
// whose bodies have arrived with their heads.
func TestHeadAtItsLimit(t *testing.T) {
	const own = "HTTP/1.1 200 OK\r\nX-Id: own\r\nContent-Length: 0\r\nX-Long: "
	surplus := "HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 16384\r\n\r\n"
	head := func(length int) string {
		return own + strings.Repeat("x", length-len(own)-len("\r\n\r\n")) + "\r\n\r\n"
	}
	body := strings.Repeat("y", 16384)
	for name, test := range map[string]struct {
		text   string
		exceed bool
	}{
		"at the limit":                {text: head(maxHeadBytes)},
		"past the limit":              {text: head(maxHeadBytes + 1), exceed: true},
		"behind surplus responses":    {text: strings.Repeat(surplus+body, maxSurplusResponses-1) + head(maxHeadBytes-(maxSurplusResponses-1)*len(surplus))},
		"with surplus past the limit": {text: surplus + body + head(maxHeadBytes-len(surplus)+1), exceed: true},
	} {
		t.Run(name, func(t *testing.T) {
			pool := New(DefaultConfig())
			exchange, err := pool.Do(context.Background(), respond(t, test.text), newRequest())
			if test.exceed {
				var limit *LimitError
				if !errors.As(err, &limit) || limit.Limit != maxHeadBytes || !errors.Is(err, ErrBroken) || BrokenByEngine(err) {
					t.Errorf("got %v, want an exceeded limit that is no crash", err)
				}
				if open, _ := pool.Counts(); open != 0 {
					t.Errorf("%d connections are open, want none", open)
				}
				return
			}
			if err != nil {
				t.Fatal(err)
			}
			if _, err := io.Copy(io.Discard, exchange); err != nil {
				t.Error(err)
			}
			exchange.Close()
			if open, _ := pool.Counts(); open != 1 {
				t.Errorf("%d connections are open, want one that can be used again", open)
			}
		})
	}
}

// TestHeadsOnAProbedConnectionAreLimited guards against a connection that a probe has opened, and on which no head
// has a limit, be it the probe's or that of a later request.
func TestHeadsOnAProbedConnectionAreLimited(t *testing.T) {
	const sound = "HTTP/1.1 200 OK\r\nX-Id: own\r\nContent-Length: 0\r\n\r\n"
	long := "HTTP/1.1 200 OK\r\nX-Id: own\r\nContent-Length: 0\r\nX-Long: " + strings.Repeat("x", maxHeadBytes) + "\r\n\r\n"
	pool := New(DefaultConfig())
	if _, err := pool.Probe(context.Background(), respond(t, long), newRequest()); !exceedsLimit(err) {
		t.Errorf("a probe: got %v, want an exceeded limit", err)
	}
	key := respond(t, sound, long)
	if _, err := pool.Probe(context.Background(), key, newRequest()); err != nil {
		t.Fatal(err)
	}
	exchange, err := pool.Do(context.Background(), key, newRequest())
	if err == nil {
		exchange.Close()
	}
	if _, dialed := pool.Counts(); dialed != 2 || !exceedsLimit(err) {
		t.Errorf("a request on the probe's connection: got %v on %d connections, want an exceeded limit on the second", err, dialed)
	}
}

// TestDiscardAtItsLimit guards against a connection that is closed behind a rejection of a usual size, or kept
// behind one that is longer.
func TestDiscardAtItsLimit(t *testing.T) {
	for name, test := range map[string]struct {
		bytes  int
		exceed bool
	}{
		"short": {bytes: 100}, "at the limit": {bytes: maxDiscardedBytes}, "past the limit": {bytes: maxDiscardedBytes + 1, exceed: true},
	} {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(to http.ResponseWriter, _ *http.Request) {
				to.Header().Set("X-Id", "own")
				to.WriteHeader(http.StatusServiceUnavailable)
				_ = http.NewResponseController(to).Flush() // in chunks
				_, _ = io.WriteString(to, strings.Repeat("x", test.bytes))
			}))
			defer server.Close()
			pool := New(DefaultConfig())
			exchange, err := pool.Do(context.Background(), keyOf(strings.TrimPrefix(server.URL, "http://")), newRequest())
			if err != nil {
				t.Fatal(err)
			}
			err = exchange.Discard()
			exchange.Close()
			open, _ := pool.Counts()
			if exceeded := exceedsLimit(err); exceeded != test.exceed || (open == 0) != test.exceed {
				t.Errorf("got %v and %d open connections", err, open)
			}
		})
	}
}

// TestMalformedResponseIsNoCrash guards against bytes that form no response and count as the end of the engine's
// process.
func TestMalformedResponseIsNoCrash(t *testing.T) {
	const chunkedHead = "HTTP/1.1 200 OK\r\nX-Id: own\r\nTransfer-Encoding: chunked\r\n\r\n"
	for name, text := range map[string]string{
		"status line":     "garbage\r\n\r\n",
		"header line":     "HTTP/1.1 200 OK\r\nno colon\r\n\r\n",
		"chunk length":    chunkedHead + "zz\r\n",
		"chunk extension": chunkedHead + "1;" + strings.Repeat("x", 8<<10),
		"trailer":         chunkedHead + "0\r\nX: " + strings.Repeat("x", 16<<10),
	} {
		t.Run(name, func(t *testing.T) {
			pool := New(DefaultConfig())
			exchange, err := pool.Do(context.Background(), respond(t, text), newRequest())
			if err == nil {
				_, err = io.Copy(io.Discard, exchange)
				exchange.Close()
			}
			if !errors.Is(err, errMalformed) || BrokenByEngine(err) {
				t.Errorf("got %v, want a malformed response that is no crash", err)
			}
			if open, _ := pool.Counts(); open != 0 {
				t.Errorf("%d connections are open, want none", open)
			}
		})
	}
}
