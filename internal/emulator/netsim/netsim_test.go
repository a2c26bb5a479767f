package netsim_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"ringstream.example/ringstream/internal/emulator/netsim"
)

var (
	hostOne = netip.MustParseAddr("10.0.0.1")
	hostTwo = netip.MustParseAddr("10.0.0.2")
)

// withConnection runs a test with a connection between two hosts with 5 ms of one-way latency.
func withConnection(t *testing.T, test func(t *testing.T, network *netsim.Network, client, server net.Conn)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		network := netsim.New(func(netip.Addr, netip.Addr) time.Duration { return 5 * time.Millisecond })
		listener, err := network.Host(hostTwo).Listen("10.0.0.2:80")
		if err != nil {
			t.Fatal(err)
		}
		defer listener.Close()
		client, err := network.Host(hostOne).DialContext(t.Context(), "tcp", "10.0.0.2:80")
		if err != nil {
			t.Fatal(err)
		}
		server, err := listener.Accept()
		if err != nil {
			t.Fatal(err)
		}
		defer client.Close()
		defer server.Close()
		test(t, network, client, server)
	})
}

func mustWrite(t *testing.T, to net.Conn, text string) {
	t.Helper()
	if _, err := to.Write([]byte(text)); err != nil {
		t.Fatal(err)
	}
}

// mustRead reads the text and returns how long that took.
func mustRead(t *testing.T, from net.Conn, text string) time.Duration {
	t.Helper()
	start := time.Now()
	got := make([]byte, len(text))
	if _, err := io.ReadFull(from, got); err != nil || string(got) != text {
		t.Fatalf("read %q, %v; want %q", got, err, text)
	}
	return time.Since(start)
}

func TestBytesTakeTheLatency(t *testing.T) {
	withConnection(t, func(t *testing.T, _ *netsim.Network, client, server net.Conn) {
		mustWrite(t, client, "hello")
		if took := mustRead(t, server, "hello"); took != 5*time.Millisecond {
			t.Errorf("the bytes arrived after %s; want 5ms", took)
		}
		mustWrite(t, client, "last")
		_ = client.Close()
		mustRead(t, server, "last")
		if _, err := server.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
			t.Errorf("read after the close: %v; want io.EOF", err)
		}
	})
}

func TestACutHoldsOneDirectionUntilItEnds(t *testing.T) {
	withConnection(t, func(t *testing.T, network *netsim.Network, client, server net.Conn) {
		network.Cut(hostOne, hostTwo)
		mustWrite(t, client, "late")
		mustWrite(t, server, "through")
		mustRead(t, client, "through")
		_ = server.SetReadDeadline(time.Now().Add(time.Second))
		if _, err := server.Read(make([]byte, 1)); !isTimeout(err) {
			t.Fatalf("read across the cut: %v; want a timeout", err)
		}
		_ = server.SetReadDeadline(time.Time{})
		time.AfterFunc(time.Minute, func() { network.Heal(hostOne, hostTwo) })
		if took := mustRead(t, server, "late"); took != time.Minute {
			t.Errorf("the bytes arrived after %s; want 1m, the end of the cut", took)
		}
	})
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

func TestAFrozenHostSendsAndReadsNothingUntilItWakes(t *testing.T) {
	withConnection(t, func(t *testing.T, network *netsim.Network, client, server net.Conn) {
		network.Freeze(hostOne, true)
		mustWrite(t, server, "waits")
		time.AfterFunc(time.Minute, func() { network.Freeze(hostOne, false) })
		start := time.Now()
		mustWrite(t, client, "from the past")
		if took := time.Since(start); took != time.Minute {
			t.Errorf("the frozen host wrote after %s; want 1m", took)
		}
		mustRead(t, client, "waits")
		mustRead(t, server, "from the past")
	})
}

func TestAKilledHostResetsAndALostOneIsSilent(t *testing.T) {
	withConnection(t, func(t *testing.T, network *netsim.Network, client, _ net.Conn) {
		network.Kill(hostTwo)
		if _, err := client.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
			t.Errorf("read from the killed host: %v; want ECONNRESET", err)
		}
		if _, err := network.Host(hostOne).DialContext(t.Context(), "tcp", "10.0.0.2:80"); !errors.Is(err, syscall.ECONNREFUSED) {
			t.Errorf("dial of the killed host: %v; want ECONNREFUSED", err)
		}
	})
	withConnection(t, func(t *testing.T, network *netsim.Network, client, _ net.Conn) {
		network.Isolate(hostTwo)
		mustWrite(t, client, "into the dark")
		_ = client.SetReadDeadline(time.Now().Add(time.Hour))
		if _, err := client.Read(make([]byte, 1)); !isTimeout(err) {
			t.Errorf("read from the lost host: %v; want a timeout", err)
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Hour)
		defer cancel()
		if _, err := network.Host(hostOne).DialContext(ctx, "tcp", "10.0.0.2:80"); !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("dial of the lost host: %v; want context.DeadlineExceeded", err)
		}
	})
}

func TestAKilledProcessStaysDeadWhenItsHostIsRevived(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := netsim.New(nil)
		old := network.Host(hostOne)
		network.Kill(hostOne)
		network.Revive(hostOne)
		listener, err := network.Host(hostOne).Listen("10.0.0.1:80")
		if err != nil {
			t.Fatal(err)
		}
		defer listener.Close()
		if _, err := old.Listen("10.0.0.1:81"); err == nil {
			t.Error("the killed process can still listen")
		}
		if _, err := old.Dial(t.Context(), "10.0.0.1:80"); err == nil {
			t.Error("the killed process can still dial")
		}
	})
}

func TestHTTPServersAndClientsRunOnIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := netsim.New(func(netip.Addr, netip.Addr) time.Duration { return time.Millisecond })
		listener, err := network.Host(hostTwo).Listen("10.0.0.2:0")
		if err != nil {
			t.Fatal(err)
		}
		defer time.Sleep(time.Second) // net/http keeps goroutines for half a second after the close
		gone := make(chan struct{})
		server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if _, err := io.Copy(w, r.Body); err != nil {
				t.Error(err)
			}
			if r.URL.Path == "/hang" {
				_ = http.NewResponseController(w).Flush()
				<-r.Context().Done()
				close(gone)
			}
		})}
		go func() { _ = server.Serve(listener) }()
		defer server.Close()
		transport := &http.Transport{DialContext: network.Host(hostOne).DialContext}
		defer transport.CloseIdleConnections()
		client := &http.Client{Transport: transport}
		large := strings.Repeat("x", 1<<20)
		response, err := client.Post("http://"+listener.Addr().String()+"/", "text/plain", strings.NewReader(large))
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if err != nil || string(body) != large {
			t.Errorf("the echoed body has %d bytes or differs from the one sent; error %v", len(body), err)
		}
		response, err = client.Post("http://"+listener.Addr().String()+"/hang", "text/plain", strings.NewReader("x"))
		if err != nil {
			t.Fatal(err)
		}
		_ = response.Body.Close()
		<-gone // the server notices that its client has disconnected
	})
}
