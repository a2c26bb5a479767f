package soak

import (
	"bufio"
	"io"
	"net"
	"testing"
	"time"
)

// echoServer sends each line back.
func echoServer(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = io.Copy(connection, connection)
				_ = connection.Close()
			}()
		}
	}()
	return listener.Addr().String()
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

func say(t *testing.T, connection net.Conn, lines *bufio.Reader, want string) {
	t.Helper()
	if _, err := io.WriteString(connection, want); err != nil {
		t.Fatal(err)
	}
	if got, err := lines.ReadString('\n'); err != nil || got != want {
		t.Fatalf("got %q, %v", got, err)
	}
}

// TestLinkHoldsUpAndGoesOn cuts a link each way, and has the bytes come when
// it is well again.
func TestLinkHoldsUpAndGoesOn(t *testing.T) {
	for _, fault := range []linkFault{linkDelayed, linkCutOut, linkCutIn, linkSilenced} {
		t.Run(fault.String(), func(t *testing.T) {
			link, connection, lines := dialThrough(t)
			say(t, connection, lines, "before\n")
			link.set(fault)
			if _, err := io.WriteString(connection, "during\n"); err != nil {
				t.Fatal(err)
			}
			link.set(linkWell)
			if got, err := lines.ReadString('\n'); err != nil || got != "during\n" {
				t.Fatalf("got %q, %v", got, err)
			}
			say(t, connection, lines, "after\n")
		})
	}
}

// TestResetEndsConnectionsAndRefusesNewOnes also asks that a well link serves
// anew.
func TestResetEndsConnectionsAndRefusesNewOnes(t *testing.T) {
	link, connection, lines := dialThrough(t)
	say(t, connection, lines, "before\n")
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
	link.set(linkWell)
	third, err := net.Dial("tcp", link.address())
	if err != nil {
		t.Fatal(err)
	}
	defer third.Close()
	say(t, third, bufio.NewReader(third), "anew\n")
}

// TestHeldAnswersComeLateAndInOrder has the server's words held, while those to it go through.
func TestHeldAnswersComeLateAndInOrder(t *testing.T) {
	link, connection, lines := dialThrough(t)
	say(t, connection, lines, "before\n")
	const late = 100 * time.Millisecond
	link.hold(late)
	begun := time.Now()
	say(t, connection, lines, "first\n")
	if elapsed := time.Since(begun); elapsed < late {
		t.Errorf("an answer came after %v", elapsed)
	}
	link.hold(time.Hour)
	heard := make(chan string)
	go func() {
		for range 2 {
			line, _ := lines.ReadString('\n') // the end is seen by what is missing
			heard <- line
		}
	}()
	for _, line := range []string{"second\n", "third\n"} {
		if _, err := io.WriteString(connection, line); err != nil {
			t.Fatal(err)
		}
	}
	select {
	case line := <-heard:
		t.Fatalf("%q came while it was held", line)
	case <-time.After(late):
	}
	link.set(linkWell)
	if first, second := <-heard, <-heard; first != "second\n" || second != "third\n" {
		t.Errorf("got %q, %q", first, second)
	}
}
