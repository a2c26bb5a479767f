package sharing

import (
	"net"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"ringstream.example/ringstream/internal/core/grant"
	released "ringstream.example/ringstream/internal/peer/sharing/released/grant"
)

// earlierBuild is a node of an earlier build: it reads and writes only the released form.
type earlierBuild struct {
	socket net.PacketConn
	codec  *codec[released.Message]
}

func startEarlierBuild(t *testing.T) *earlierBuild {
	socket, err := net.ListenPacket("udp", "127.0.0.1:0") //nolint:noctx // a test
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = socket.Close() })
	return &earlierBuild{socket: socket, codec: newCodec[released.Message]()}
}

func (b *earlierBuild) address() string { return b.socket.LocalAddr().String() }

// receive returns the next message that the build can read.
func (b *earlierBuild) receive(t *testing.T) (msg released.Message, dropped int) {
	buffer := make([]byte, maxDatagramBytes)
	_ = b.socket.SetReadDeadline(time.Now().Add(10 * time.Second))
	for {
		count, _, err := b.socket.ReadFrom(buffer)
		if err != nil {
			t.Fatal(err)
		}
		if msg, err = b.codec.Read(buffer[:count]); err == nil {
			return msg, dropped
		}
		dropped++
	}
}

// While nodes of two builds run side by side, an earlier one gets each state and each reply in the
// form that it reads, as often as it is sent.
func TestNodesOfAnEarlierBuildAreServedInTheirForm(t *testing.T) {
	earlier := startEarlierBuild(t)
	share := start(t, newFakeNode(), freeAddress(t))
	for share.datagrams.Load() == nil {
		time.Sleep(time.Millisecond) // it sends nothing before it listens
	}
	lane := grant.Lane{Pool: "p", Parts: 1}
	for sequence := range uint64(2) {
		share.SendState(earlier.address(), lane, grant.State{Life: 1, Sequence: sequence, Waiting: []grant.Ask{{ID: 7, Owner: 9}}})
		got, dropped := earlier.receive(t)
		want := &released.State{Life: 1, Sequence: sequence, Waiting: []released.Ask{{ID: 7}}}
		if difference := cmp.Diff(want, got.State); difference != "" || dropped > 1 {
			t.Errorf("state %d: dropped %d datagrams before it, %s", sequence, dropped, difference)
		}
		share.SendReply(earlier.address(), lane, grant.Reply{Life: 1, Sequence: sequence, Grants: []grant.Grant{{ID: 7, Slowness: 2}}})
		got, dropped = earlier.receive(t)
		if difference := cmp.Diff(&released.Reply{Life: 1, Sequence: sequence, Grants: []released.Grant{{ID: 7}}}, got.Reply); difference != "" || dropped > 0 {
			t.Errorf("reply %d: dropped %d datagrams before it, %s", sequence, dropped, difference)
		}
	}
}

// A state of an earlier build is read, and the answers to it are in its form.
func TestStatesOfAnEarlierBuildAreRead(t *testing.T) {
	earlier, node := startEarlierBuild(t), newFakeNode()
	address := freeAddress(t)
	start(t, node, address)
	to, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		t.Fatal(err)
	}
	example := exampleMessage()
	datagram := earlier.codec.Write(released.Message{Lane: example.Lane, State: released.FromState(*example.State)})
	for {
		if _, err := earlier.socket.WriteTo(datagram, to); err != nil {
			t.Fatal(err)
		}
		select {
		case got := <-node.received:
			if difference := cmp.Diff(example, got); difference != "" {
				t.Error(difference)
			}
			return
		case <-time.After(20 * time.Millisecond): // the node does not listen yet
		}
	}
}
