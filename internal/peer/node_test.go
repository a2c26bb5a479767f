package peer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/zap"

	"ringstream.example/ringstream/internal/core/identity"
	"ringstream.example/ringstream/internal/peer/memnet"
)

type testNote struct {
	Number int
	Text   string
}

type testAnswer struct{ Doubled int }

type testOpening struct{ Count int }

func init() { Register(testNote{}, testAnswer{}, testOpening{}) }

// testFleet runs nodes over an in-memory network, in a synctest bubble.
type testFleet struct {
	t       *testing.T
	network *memnet.Network
	nodes   []*Node
	stops   []context.CancelFunc
	running sync.WaitGroup
	cut     func(from, to string) bool
	cutMu   sync.Mutex
}

func testAddress(i int) string { return fmt.Sprintf("10.0.0.%d:7000", i+1) }

func newTestFleet(t *testing.T, count int) *testFleet {
	fleet := &testFleet{t: t, network: memnet.New()}
	fleet.network.Delay = func(_, _ string) time.Duration { return time.Millisecond }
	fleet.network.Cut = func(from, to string) bool {
		fleet.cutMu.Lock()
		defer fleet.cutMu.Unlock()
		return fleet.cut != nil && fleet.cut(from, to)
	}
	for i := range count {
		fleet.start(i, fmt.Sprintf("node-%02d", i))
	}
	time.Sleep(5 * time.Second)
	return fleet
}

func (f *testFleet) setCut(cut func(from, to string) bool) {
	f.cutMu.Lock()
	defer f.cutMu.Unlock()
	f.cut = cut
}

// start runs a node at the i-th address. It replaces an earlier node at that address.
func (f *testFleet) start(i int, id string) *Node {
	config := DefaultConfig()
	config.ListenAddress = testAddress(i)
	config.Seeds = []string{testAddress(0), testAddress(1)}
	self := Identity{ID: identity.NodeID(id), Zone: fmt.Sprintf("zone-%d", i%3), Region: "region-0"}
	node, err := New(config, self, nil, zap.NewNop(), nil, WithNetwork(f.network.Host(testAddress(i))))
	if err != nil {
		f.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	f.running.Go(func() {
		if err := node.Run(ctx); err != nil {
			f.t.Errorf("node %d: %v", i, err)
		}
	})
	if i < len(f.nodes) {
		f.nodes[i], f.stops[i] = node, cancel
	} else {
		f.nodes, f.stops = append(f.nodes, node), append(f.stops, cancel)
	}
	return node
}

func (f *testFleet) stop() {
	for _, stop := range f.stops {
		stop()
	}
	f.running.Wait()
}

func (f *testFleet) expectLive(nodes []*Node, count int) {
	f.t.Helper()
	for _, node := range nodes {
		if live := node.View().Live(); len(live) != count {
			f.t.Errorf("%s sees %d live members, expected %d", node.Self(), len(live), count)
		}
	}
}

func TestFloodReachesEachNodeOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newTestFleet(t, 12)
		defer fleet.stop()
		fleet.expectLive(fleet.nodes, 12)
		var mu sync.Mutex
		got := map[identity.NodeID]int{}
		for _, node := range fleet.nodes {
			node.Handle(testNote{}, func(from identity.NodeID, message any) any {
				mu.Lock()
				defer mu.Unlock()
				if from != fleet.nodes[3].Self() || message.(testNote).Text != "hello" {
					t.Errorf("got %v from %s", message, from)
				}
				got[node.Self()]++
				return nil
			})
		}
		for range 5 {
			fleet.nodes[3].Broadcast(testNote{Text: "hello"})
		}
		time.Sleep(time.Second)
		mu.Lock()
		defer mu.Unlock()
		for _, node := range fleet.nodes {
			expected := 5
			if node == fleet.nodes[3] {
				expected = 0
			}
			if got[node.Self()] != expected {
				t.Errorf("%s got %d copies, expected %d", node.Self(), got[node.Self()], expected)
			}
		}
	})
}

func TestCallEveryPair(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newTestFleet(t, 10)
		defer fleet.stop()
		for _, node := range fleet.nodes {
			node.Handle(testNote{}, func(_ identity.NodeID, message any) any {
				return testAnswer{Doubled: 2 * message.(testNote).Number}
			})
		}
		for i, from := range fleet.nodes {
			for j, to := range fleet.nodes {
				answer, err := from.Call(t.Context(), to.Self(), testNote{Number: 100*i + j})
				if diff := cmp.Diff(testAnswer{Doubled: 200*i + 2*j}, answer); err != nil || diff != "" {
					t.Errorf("call %d to %d: %v %s", i, j, err, diff)
				}
			}
		}
		if _, err := fleet.nodes[0].Call(t.Context(), fleet.nodes[5].Self(), testAnswer{}); !errors.Is(err, ErrNoHandler) {
			t.Errorf("call without a handler: got error %v, want ErrNoHandler", err)
		}
		if _, err := fleet.nodes[0].Call(t.Context(), "nobody", testNote{}); !errors.Is(err, ErrUnknownMember) {
			t.Errorf("call to an unknown member: got error %v, want ErrUnknownMember", err)
		}
	})
}

func TestCallToKilledNodeEndsWithItsDeath(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newTestFleet(t, 10)
		defer fleet.stop()
		victim := fleet.nodes[6]
		fleet.network.Kill(testAddress(6))
		began := time.Now()
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		if _, err := fleet.nodes[2].Call(ctx, victim.Self(), testNote{}); err == nil || ctx.Err() != nil {
			t.Errorf("call to a killed node: got error %v, want one before the context ends", err)
		}
		if took := time.Since(began); took > 5*time.Second {
			t.Errorf("call to a killed node took %s, want at most 5s", took)
		}
		time.Sleep(5*time.Second - time.Since(began))
		fleet.expectLive(append(append([]*Node{}, fleet.nodes[:6]...), fleet.nodes[7:]...), 9)
	})
}

func TestStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newTestFleet(t, 3)
		defer fleet.stop()
		fleet.nodes[1].HandleStream(testOpening{}, func(_ context.Context, _ identity.NodeID, first any, stream Stream) {
			for number := range first.(testOpening).Count {
				if err := stream.Send(testNote{Number: number}); err != nil {
					t.Errorf("send: %v", err)
				}
			}
		})
		stream, err := fleet.nodes[0].Open(t.Context(), fleet.nodes[1].Self(), testOpening{Count: 100})
		if err != nil {
			t.Fatal(err)
		}
		for number := range 100 {
			if message, err := stream.Receive(); err != nil || message.(testNote).Number != number {
				t.Fatalf("message %d: %v %v", number, message, err)
			}
		}
		if _, err := stream.Receive(); !errors.Is(err, io.EOF) {
			t.Errorf("end of stream: got error %v, want io.EOF", err)
		}
		_ = stream.Close()
	})
}

func TestStreamToKilledNodeIsNotAnOrderlyEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newTestFleet(t, 5)
		defer fleet.stop()
		fleet.nodes[1].HandleStream(testOpening{}, func(ctx context.Context, _ identity.NodeID, _ any, stream Stream) {
			_ = stream.Send(testNote{Number: 1})
			<-ctx.Done()
		})
		stream, err := fleet.nodes[0].Open(t.Context(), fleet.nodes[1].Self(), testOpening{})
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = stream.Close() }()
		if _, err = stream.Receive(); err != nil {
			t.Fatal(err)
		}
		fleet.network.Kill(testAddress(1))
		began := time.Now()
		if _, err = stream.Receive(); !errors.Is(err, ErrConnectionLost) {
			t.Errorf("stream to a killed node: got error %v, want ErrLost", err)
		}
		if took := time.Since(began); took > 5*time.Second {
			t.Errorf("stream to a killed node took %s to fail, want at most 5s", took)
		}
	})
}

func TestStreamHandlerLearnsThatTheClientIsGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newTestFleet(t, 2)
		defer fleet.stop()
		gone := make(chan struct{})
		fleet.nodes[1].HandleStream(testOpening{}, func(ctx context.Context, _ identity.NodeID, _ any, _ Stream) {
			<-ctx.Done()
			close(gone)
		})
		ctx, cancel := context.WithCancel(t.Context())
		stream, err := fleet.nodes[0].Open(ctx, fleet.nodes[1].Self(), testOpening{})
		if err != nil {
			t.Fatal(err)
		}
		cancel()
		<-gone
		_ = stream.Close()
	})
}

func TestPlannedStopAndRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newTestFleet(t, 8)
		defer fleet.stop()
		fleet.nodes[4].Leave()
		time.Sleep(100 * time.Millisecond)
		fleet.expectLive(fleet.nodes, 7)
		fleet.stops[4]()
		time.Sleep(time.Second)
		fleet.start(4, "node-again")
		time.Sleep(3 * time.Second)
		fleet.expectLive(fleet.nodes, 8)
		for _, node := range fleet.nodes {
			if node.accusations.Load() != 0 {
				t.Errorf("%s suspected a member", node.Self())
			}
		}
	})
}

func TestRegionsApartFindEachOtherAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newTestFleet(t, 9)
		defer fleet.stop()
		side := func(address string) bool { return address < testAddress(4) }
		fleet.setCut(func(from, to string) bool { return side(from) != side(to) })
		time.Sleep(10 * time.Minute)
		fleet.expectLive(fleet.nodes[:4], 4)
		fleet.expectLive(fleet.nodes[4:], 5)
		fleet.setCut(nil)
		time.Sleep(15 * time.Second)
		fleet.expectLive(fleet.nodes, 9)
	})
}

func TestStrangerIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newTestFleet(t, 3)
		defer fleet.stop()
		config := DefaultConfig()
		config.ListenAddress, config.Fleet = testAddress(7), "another"
		config.Seeds = []string{testAddress(0)}
		stranger, err := New(config, Identity{ID: "stranger"}, nil, zap.NewNop(), nil, WithNetwork(fleet.network.Host(testAddress(7))))
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(t.Context())
		fleet.running.Go(func() { _ = stranger.Run(ctx) })
		fleet.stops = append(fleet.stops, cancel)
		time.Sleep(10 * time.Second)
		fleet.expectLive(fleet.nodes, 3)
		fleet.expectLive([]*Node{stranger}, 1)
	})
}

func TestFullQueueDropsAndCounts(t *testing.T) {
	config := DefaultConfig()
	config.ListenAddress, config.SendQueue = testAddress(0), 2
	node, err := New(config, Identity{ID: "a"}, nil, zap.NewNop(), nil)
	if err != nil {
		t.Fatal(err)
	}
	c := newConnection(node, "b", purposeDirect, true)
	msgType, _ := typeOf(testNote{})
	for i := range 3 {
		err = c.enqueue(frame{kind: frameMessage, message: testNote{Number: i}, msgType: msgType})
	}
	if !errors.Is(err, ErrQueueFull) || node.traffic.dropped.Load() != 1 {
		t.Errorf("third message into a queue of two: %v, %d dropped", err, node.traffic.dropped.Load())
	}
}

func TestRealSockets(t *testing.T) {
	nodes := make([]*Node, 2)
	var seeds []string
	var running sync.WaitGroup
	ctx, cancel := context.WithCancel(t.Context())
	for i := range nodes {
		reserved, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		config := DefaultConfig()
		config.ListenAddress, config.Seeds = reserved.Addr().String(), seeds
		_ = reserved.Close()
		seeds = []string{config.ListenAddress}
		if nodes[i], err = New(config, Identity{ID: identity.NodeID(fmt.Sprint("node-", i))}, nil, zap.NewNop(), nil); err != nil {
			t.Fatal(err)
		}
		changed := nodes[i].Changed()
		running.Go(func() {
			if err := nodes[i].Run(ctx); err != nil {
				t.Error(err)
			}
		})
		if i == 1 {
			for len(nodes[1].View().Live()) < 2 {
				<-changed
				changed = nodes[1].Changed()
			}
		}
	}
	nodes[0].Handle(testNote{}, func(identity.NodeID, any) any { return testAnswer{Doubled: 4} })
	answer, err := nodes[1].Call(ctx, nodes[0].Self(), testNote{Number: 2})
	if diff := cmp.Diff(testAnswer{Doubled: 4}, answer); err != nil || diff != "" {
		t.Errorf("call over TCP: %v %s", err, diff)
	}
	cancel()
	running.Wait()
}
