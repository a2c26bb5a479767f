package peertest_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"ringstream.example/ringstream/internal/core/identity"
	"ringstream.example/ringstream/internal/core/membership"
	"ringstream.example/ringstream/internal/peer"
	"ringstream.example/ringstream/internal/peer/peertest"
)

type note struct{ Text string }

// settle lets a second pass and waits until the work due in that second has ended.
func settle() {
	time.Sleep(time.Second)
	synctest.Wait()
}

func build(count int, options peertest.Options) (*peertest.Network, []*peertest.Node) {
	network := peertest.New(options)
	nodes := make([]*peertest.Node, count)
	for i := range nodes {
		nodes[i] = network.Add(membership.Member{ID: identity.NodeID(fmt.Sprintf("n%03d", i)), Zone: "z"})
	}
	return network, nodes
}

func TestFloodReachesEveryNodeOnceUnlessCutOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network, nodes := build(50, peertest.Options{CountBytes: true})
		got := make([]int, len(nodes))
		for i, node := range nodes {
			node.Handle(note{}, func(identity.NodeID, any) any { got[i]++; return nil })
		}
		nodes[7].Broadcast(note{"a"})
		settle()
		network.Partition([]identity.NodeID{}, []identity.NodeID{"n003"})
		nodes[7].Broadcast(note{"b"})
		settle()
		for i, count := range got {
			want := 2
			if i == 7 {
				want = 0
			}
			if i == 3 {
				want = 1
			}
			if count != want {
				t.Errorf("node %d received %d floods, want %d", i, count, want)
			}
		}
		if traffic := nodes[7].Traffic(); traffic.Messages == 0 || traffic.Bytes == 0 {
			t.Errorf("got traffic %+v, want messages and bytes above 0", traffic)
		}
	})
}

func TestCallAnswersOrEndsWithItsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network, nodes := build(2, peertest.Options{})
		nodes[1].Handle(note{}, func(from identity.NodeID, message any) any {
			return note{message.(note).Text + " to " + string(from)}
		})
		reply, err := nodes[0].Call(t.Context(), "n001", note{"hello"})
		if err != nil || reply != (note{"hello to n000"}) {
			t.Fatal(reply, err)
		}
		network.Cut("n001", "n000")
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if _, err := nodes[0].Call(ctx, "n001", note{"hello"}); err == nil {
			t.Fatal("Call got a reply over a cut link")
		}
	})
}

func TestPauseHoldsMessagesAndKillLosesThem(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network, nodes := build(2, peertest.Options{})
		got := 0
		nodes[1].Handle(note{}, func(identity.NodeID, any) any { got++; return nil })
		network.SetPaused("n001", true)
		_ = nodes[0].Send("n001", note{"a"})
		settle()
		if got != 0 {
			t.Fatal("paused node received a message")
		}
		network.SetPaused("n001", false)
		settle()
		network.Kill("n001")
		_ = nodes[0].Send("n001", note{"b"})
		settle()
		if got != 1 {
			t.Fatalf("received %d messages, want only the one that was held back", got)
		}
	})
}

func TestStreamCarriesMessagesInOrderAndEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, nodes := build(2, peertest.Options{})
		nodes[1].HandleStream(note{}, func(_ context.Context, _ identity.NodeID, first any, stream peer.Stream) {
			for i := range 3 {
				_ = stream.Send(note{fmt.Sprint(first.(note).Text, i)})
			}
		})
		stream, err := nodes[0].Open(t.Context(), "n001", note{"s"})
		if err != nil {
			t.Fatal(err)
		}
		for i := range 3 {
			if message, err := stream.Receive(); err != nil || message != (note{fmt.Sprint("s", i)}) {
				t.Fatal(message, err)
			}
		}
		if _, err := stream.Receive(); !errors.Is(err, io.EOF) {
			t.Fatal(err)
		}
	})
}
