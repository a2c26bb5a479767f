package sharing

import (
	"bytes"
	"context"
	"errors"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"ringstream.example/ringstream/internal/passthrough"
)

// Bounds of a node's answer that does not end.
const (
	maxEndlessAnswerTime  = 3 * time.Second
	maxEndlessAnswerBytes = 24 << 20 // with the buffers of two sockets
)

// endlessNode answers each connection with an opening, and then with the same byte again and again.
type endlessNode struct {
	address string
	sent    atomic.Int64
	open    atomic.Int64
}

func startEndlessNode(t *testing.T, opening []byte, pause time.Duration) *endlessNode {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	node := &endlessNode{address: listener.Addr().String()}
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go node.answer(connection, opening, pause)
		}
	}()
	return node
}

func (n *endlessNode) answer(connection net.Conn, opening []byte, pause time.Duration) {
	n.open.Add(1)
	defer n.open.Add(-1)
	defer connection.Close() //nolint:errcheck // the test reads what was written
	piece := bytes.Repeat([]byte("x"), 32<<10)
	if pause > 0 {
		piece = piece[:1]
	}
	for next := opening; ; next = piece {
		written, err := connection.Write(next)
		n.sent.Add(int64(written))
		if err != nil {
			return
		}
		time.Sleep(pause)
	}
}

// TestEndlessAnswerOfAPeerIsBounded guards against a node that answers without an end, fast or byte by byte, and
// takes the memory or the time of the node that asks it.
func TestEndlessAnswerOfAPeerIsBounded(t *testing.T) {
	longValue := []byte{0xfc, 0x20, 0, 0, 0} // a gob message of 512 MB
	for name, test := range map[string]struct {
		opening []byte
		pause   time.Duration
	}{
		"no message": {opening: []byte("x")}, "long message": {opening: longValue},
		"slow message": {opening: longValue, pause: 100 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			node := startEndlessNode(t, test.opening, test.pause)
			share := start(t, newFakeNode(), freeAddress(t))
			began := time.Now()
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			if _, err := share.CallStore(ctx, node.address, StoreCall{Kind: StoreList}); !errors.Is(err, passthrough.ErrOutcomeUnknown) {
				t.Errorf("a call to the store: got %v, want an unknown outcome", err)
			}
			if _, _, err := share.askPeer(ctx, node.address); err == nil {
				t.Error("a question was answered")
			}
			for node.open.Load() > 0 && time.Since(began) < maxEndlessAnswerTime {
				time.Sleep(5 * time.Millisecond)
			}
			if node.open.Load() > 0 {
				t.Errorf("the node still sends after %s", maxEndlessAnswerTime)
			}
			if sent := node.sent.Load(); sent > 2*maxEndlessAnswerBytes {
				t.Errorf("the node sent %d MB in two answers, want %d at most", sent>>20, 2*maxEndlessAnswerBytes>>20)
			}
		})
	}
}

// TestEndlessCallOfAPeerIsBounded guards against the same in a call from another node.
func TestEndlessCallOfAPeerIsBounded(t *testing.T) {
	address := freeAddress(t)
	start(t, newFakeNode(), address)
	for name, opening := range map[string][]byte{"no message": []byte("x"), "long message": {0xfc, 0x20, 0, 0, 0}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			connection, err := net.Dial("tcp", address)
			if err != nil {
				t.Fatal(err)
			}
			node := &endlessNode{}
			began := time.Now()
			_ = connection.SetDeadline(began.Add(maxEndlessAnswerTime))
			node.answer(connection, opening, 0)
			if took := time.Since(began); took >= maxEndlessAnswerTime {
				t.Errorf("the node still reads after %s", maxEndlessAnswerTime)
			}
			if sent := node.sent.Load(); sent > maxEndlessAnswerBytes {
				t.Errorf("the node read %d MB, want %d at most", sent>>20, maxEndlessAnswerBytes>>20)
			}
		})
	}
}
