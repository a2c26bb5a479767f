package soak

import (
	"bufio"
	"io"
	"net"
	"testing"
	"time"

	"ringstream.example/ringstream/internal/loopbacktest"
)

// echoServer sends each line back.
func echoServer(t *testing.T) string {
	t.Helper()
	address, _ := loopbacktest.Serve(t, func(connection *net.TCPConn) {
		_, _ = io.Copy(connection, connection)
		_ = connection.Close()
	})
	return address
}

func dialThrough(t *testing.T) (*proxy, net.Conn, *bufio.Reader) {
	t.Helper()
	link, err := newProxy(echoServer(t))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(link.close)
	connection, err := net.Dial("tcp", link.address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = connection.Close() })
	return link, connection, bufio.NewReader(connection)
}

func expectEcho(t *testing.T, connection net.Conn, lines *bufio.Reader, want string) {
	t.Helper()
	if _, err := io.WriteString(connection, want); err != nil {
		t.Fatal(err)
	}
	if got, err := lines.ReadString('\n'); err != nil || got != want {
		t.Fatalf("got %q, %v", got, err)
	}
}

// TestLinkHoldsUpAndGoesOn cuts a link in each way, and checks that the held bytes arrive when the
// link is healthy again.
func TestLinkHoldsUpAndGoesOn(t *testing.T) {
	for _, fault := range []linkFault{linkDelayed, linkCutOut, linkCutIn, linkSilenced} {
		t.Run(fault.String(), func(t *testing.T) {
			link, connection, lines := dialThrough(t)
			expectEcho(t, connection, lines, "before\n")
			link.set(fault)
			if _, err := io.WriteString(connection, "during\n"); err != nil {
				t.Fatal(err)
			}
			link.set(linkHealthy)
			if got, err := lines.ReadString('\n'); err != nil || got != "during\n" {
				t.Fatalf("got %q, %v", got, err)
			}
			expectEcho(t, connection, lines, "after\n")
		})
	}
}

// TestResetEndsConnectionsAndRefusesNewOnes also checks that the link serves new connections after
// the reset.
func TestResetEndsConnectionsAndRefusesNewOnes(t *testing.T) {
	link, connection, lines := dialThrough(t)
	expectEcho(t, connection, lines, "before\n")
	link.set(linkReset)
	if _, err := lines.ReadString('\n'); err == nil {
		t.Error("the connection outlived the reset")
	}
	second, err := net.Dial("tcp", link.address())
	if err == nil {
		if _, err = bufio.NewReader(second).ReadString('\n'); err == nil {
			t.Error("a new connection outlived the reset")
		}
		_ = second.Close()
	}
	link.set(linkHealthy)
	third, err := net.Dial("tcp", link.address())
	if err != nil {
		t.Fatal(err)
	}
	defer third.Close()
	expectEcho(t, third, bufio.NewReader(third), "anew\n")
}

// TestHeldAnswersComeLateAndInOrder delays what the server sends, while bytes to the server pass at
// once.
func TestHeldAnswersComeLateAndInOrder(t *testing.T) {
	link, connection, lines := dialThrough(t)
	expectEcho(t, connection, lines, "before\n")
	const delay = 100 * time.Millisecond
	link.delayAnswers(delay)
	begun := time.Now()
	expectEcho(t, connection, lines, "first\n")
	if elapsed := time.Since(begun); elapsed < delay {
		t.Errorf("an answer arrived after %v, before the delay", elapsed)
	}
	link.delayAnswers(time.Hour)
	received := make(chan string)
	go func() {
		for range 2 {
			line, _ := lines.ReadString('\n') // a failed read shows as a missing line
			received <- line
		}
	}()
	for _, line := range []string{"second\n", "third\n"} {
		if _, err := io.WriteString(connection, line); err != nil {
			t.Fatal(err)
		}
	}
	select {
	case line := <-received:
		t.Fatalf("%q arrived while answers were held", line)
	case <-time.After(delay):
	}
	link.set(linkHealthy)
	if first, second := <-received, <-received; first != "second\n" || second != "third\n" {
		t.Errorf("got %q, %q", first, second)
	}
}
