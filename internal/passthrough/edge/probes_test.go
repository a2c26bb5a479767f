package edge

import (
	"context"
	"errors"
	"io"
	"net"
	"testing"
	"time"
)

// TestSilentProbeIsDisconnected checks that a client that sends only the beginning of a request to the readiness
// check or the metrics is disconnected.
func TestSilentProbeIsDisconnected(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := newEcho()
	server.Listener = listener
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- serveEcho(ctx, server, "") }()
	connection, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer connection.Close() //nolint:errcheck // only read
	if _, err := connection.Write([]byte("GET /readyz HTTP/1.1\r\n")); err != nil {
		t.Fatal(err)
	}
	if err := connection.SetReadDeadline(time.Now().Add(6 * probeReadTimeout)); err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadAll(connection); err != nil && !isClosed(err) {
		t.Errorf("got error %v, want the end of the connection", err)
	}
	cancel()
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

// isClosed reports whether the peer has closed the connection, and not its deadline.
func isClosed(err error) bool {
	var timeout net.Error
	return !errors.As(err, &timeout) || !timeout.Timeout()
}
