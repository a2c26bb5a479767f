package sharing

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"go.uber.org/zap"

	"ringstream.example/ringstream/internal/passthrough"
)

// silentPeer returns the address of a peer that accepts connections and never answers.
func silentPeer(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	return listener.Addr().String() // the kernel accepts connections
}

// TestCallsToASilentPeerEnd checks that each kind of call to a peer that says nothing, without closing the connection,
// ends with an error by its own time limit.
func TestCallsToASilentPeerEnd(t *testing.T) {
	peer, node := silentPeer(t), newFakeNode()
	share := New(DefaultConfig(silentAddress(t)), node, node, node, node, zap.NewNop())
	calls := map[string]func() error{
		"question": func() error { _, _, err := share.askPeer(t.Context(), peer); return err },
		"follow": func() error {
			_, _, err := share.Follow(t.Context(), peer, FollowCall{Table: "engines", Since: 1, Hold: 100 * time.Millisecond})
			return err
		},
		"listing": func() error {
			_, _, err := share.Follow(t.Context(), peer, FollowCall{Table: "engines"})
			return err
		},
	}
	for name, call := range calls {
		t.Run(name, func(t *testing.T) {
			if err := call(); !errors.Is(err, os.ErrDeadlineExceeded) {
				t.Errorf("got error %v, want that the deadline is exceeded", err)
			}
		})
	}
	t.Run("store call", func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		if _, err := share.CallStore(ctx, peer, StoreCall{Kind: StoreCommit}); !errors.Is(err, passthrough.ErrOutcomeUnknown) {
			t.Errorf("got error %v, want ErrOutcomeUnknown", err)
		}
	})
}

// TestSilentCallerIsDisconnected checks that a node closes a connection on which a peer sends nothing, or only the
// beginning of a call.
func TestSilentCallerIsDisconnected(t *testing.T) {
	address := freeAddress(t)
	start(t, newFakeNode(), address)
	for _, sent := range []string{"", "\x10"} {
		connection := dial(t, address)
		if _, err := connection.Write([]byte(sent)); err != nil {
			t.Fatal(err)
		}
		if err := connection.SetReadDeadline(time.Now().Add(20 * time.Second)); err != nil {
			t.Fatal(err)
		}
		if _, err := connection.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
			t.Errorf("after %q: got error %v, want the end of the connection", sent, err)
		}
	}
}
