package origins

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"ringstream.example/ringstream/internal/core/enginechoice"
	"ringstream.example/ringstream/internal/core/streamorigin"
	"ringstream.example/ringstream/internal/passthrough/catalog"
)

const (
	pool          = "p"
	datagramDelay = 2 * time.Millisecond
)

// network connects the nodes of a test. Datagrams to and from a silent node are lost.
type network struct {
	nodes map[string]*testNode // complete before the first one runs

	mu     sync.Mutex // guards the rest
	silent map[string]bool
	sent   int
}

// setSilent cuts a node off, or joins it again.
func (n *network) setSilent(name string, silent bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.silent[name] = silent
}

func (n *network) sentCount() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.sent
}

type testNode struct {
	*Service
	network    *network
	name       string
	enginesAge time.Duration
	listsPeers atomic.Bool // the node has listed the others
	served     atomic.Pointer[[]string]
}

// readServed is the node's Served. The versions kept in the store are read unless served is nil.
func (n *testNode) readServed(string) (versions []string, known bool) {
	if kept := n.served.Load(); kept != nil {
		return slices.Clone(*kept), true
	}
	return nil, false
}

// keepServed sets the versions that all nodes have read from the store.
func (n *network) keepServed(versions ...string) {
	for _, node := range n.nodes {
		node.served.Store(&versions)
	}
}

// forgetServed makes all nodes ones that have not read the versions kept in the store yet.
func (n *network) forgetServed() {
	for _, node := range n.nodes {
		node.served.Store(nil)
	}
}

// SendOrigins implements Transport.
func (n *testNode) SendOrigins(to string, message streamorigin.Message) {
	n.network.mu.Lock()
	defer n.network.mu.Unlock()
	n.network.sent++
	if n.network.silent[to] || n.network.silent[n.name] {
		return
	}
	receiver := n.network.nodes[to]
	time.AfterFunc(datagramDelay, func() { receiver.HandleMessage(n.name, message) })
}

// newNetwork starts nodes in two zones that know engines of the given software versions.
func newNetwork(ctx context.Context, nodes int, software ...string) *network {
	made := &network{nodes: make(map[string]*testNode), silent: make(map[string]bool)}
	for i := range nodes {
		node := &testNode{network: made, name: fmt.Sprint("n", i)}
		engines := catalog.NewEngines(node.name, nil, nil, zap.NewNop())
		node.Service = New(Dependencies{
			Engines: engines, Logger: zap.NewNop(), Peers: func() []streamorigin.Node {
				if !node.listsPeers.Load() {
					return nil
				}
				return made.othersOf(node.name)
			},
			Seeds: func() []string { return []string{"n0"} }, PeersKnown: node.listsPeers.Load, EnginesAge: func() time.Duration { return node.enginesAge },
			Served: node.readServed,
		})
		node.served.Store(&[]string{})
		node.listsPeers.Store(true)
		node.UseTransport(node)
		made.nodes[node.name] = node
		node.list(software...)
	}
	for _, node := range made.nodes {
		go func() { _ = node.Run(ctx) }()
	}
	time.Sleep(2 * versionsInterval)
	return made
}

func (n *network) othersOf(name string) []streamorigin.Node {
	var others []streamorigin.Node
	for i := range len(n.nodes) {
		if other := fmt.Sprint("n", i); other != name {
			others = append(others, streamorigin.Node{Address: other, Zone: fmt.Sprint("z", i%2)})
		}
	}
	return others
}

// list adds an engine of each software version to a node's list.
func (n *testNode) list(software ...string) {
	n.Engines.Use(func(set *enginechoice.Set, now time.Time) {
		for _, version := range software {
			set.Upsert(enginechoice.Entry{ID: "e-" + version, Pool: pool, Software: version}, enginechoice.Ready, now)
		}
	})
}

func (n *testNode) find(ctx context.Context, resumes string) (software string, elapsed time.Duration, err error) {
	started := time.Now()
	software, err = n.Find(ctx, Stream{Request: "later", Resumes: resumes, Pool: pool})
	return software, time.Since(started), err
}

func runInBubble(t *testing.T, test func(t *testing.T, ctx context.Context)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		test(t, ctx)
		cancel()
		synctest.Wait()
	})
}

// Guards against streams that are lost with the node that began them: any other node finds the version
// after the first one has fallen silent, in one round trip.
func TestOriginIsFoundWithoutTheNodeThatBeganTheStream(t *testing.T) {
	runInBubble(t, func(t *testing.T, ctx context.Context) {
		n := newNetwork(ctx, 8, "v1", "v2")
		for stream := range 20 {
			id, software := fmt.Sprint("r", stream), []string{"v1", "v2"}[stream%2]
			n.nodes["n0"].Began(pool, id, software)
			time.Sleep(2 * datagramDelay)
			n.setSilent("n0", true)
			found, elapsed, err := n.nodes[fmt.Sprint("n", 1+stream%7)].find(ctx, id)
			if err != nil || found != software || elapsed > 2*datagramDelay {
				t.Errorf("%s: got %q, %v after %v, want %s", id, found, err, elapsed, software)
			}
			n.setSilent("n0", false)
		}
	})
}

func TestOriginThatNoNodeKnowsIsNotGuessed(t *testing.T) {
	runInBubble(t, func(t *testing.T, ctx context.Context) {
		n := newNetwork(ctx, 4, "v1", "v2")
		for _, id := range []string{"unknown", ""} {
			if found, elapsed, err := n.nodes["n1"].find(ctx, id); !errors.Is(err, ErrNotFound) || elapsed > 2*datagramDelay {
				t.Errorf("%q: got %q, %v after %v", id, found, err, elapsed)
			}
		}
		n.setSilent("n2", true)
		if found, elapsed, err := n.nodes["n1"].find(ctx, "unknown"); !errors.Is(err, ErrNotFound) || elapsed > lookupTimeout {
			t.Errorf("with a silent node: got %q, %v after %v", found, err, elapsed)
		}
	})
}

// While engines run one version, nothing is sent when a stream begins, and nothing is refused.
func TestOnlyVersionIsTakenAndNotTold(t *testing.T) {
	runInBubble(t, func(t *testing.T, ctx context.Context) {
		n := newNetwork(ctx, 4, "v1")
		n.nodes["n0"].Began(pool, "r", "v1")
		if sent := n.sentCount(); sent != 0 {
			t.Errorf("%d datagrams were sent", sent)
		}
		n.setSilent("n3", true)
		if found, elapsed, err := n.nodes["n1"].find(ctx, "r"); err != nil || found != "v1" || elapsed > answerTimeout {
			t.Errorf("got %q, %v after %v", found, err, elapsed)
		}
	})
}

// Streams that began before the engines' second version came are known after it.
func TestRecordsAreSentOnceAPoolHasSeveralVersions(t *testing.T) {
	runInBubble(t, func(t *testing.T, ctx context.Context) {
		n := newNetwork(ctx, 6, "v1")
		for stream := range 10 {
			n.nodes["n0"].Began(pool, fmt.Sprint("r", stream), "v1")
		}
		for _, node := range n.nodes {
			node.list("v2")
		}
		time.Sleep(2 * versionsInterval)
		n.setSilent("n0", true)
		for stream := range 10 {
			if found, _, err := n.nodes["n1"].find(ctx, fmt.Sprint("r", stream)); err != nil || found != "v1" {
				t.Errorf("stream %d: got %q, %v", stream, found, err)
			}
		}
	})
}

// A node whose list lacks the version that began a stream learns from others that there is one.
func TestNodeWithAnOldListDoesNotTakeItsOnlyVersion(t *testing.T) {
	runInBubble(t, func(t *testing.T, ctx context.Context) {
		n := newNetwork(ctx, 4, "v1")
		n.nodes["n0"].list("v2")
		time.Sleep(2 * versionsInterval)
		if found, _, err := n.nodes["n1"].find(ctx, "unknown"); !errors.Is(err, ErrNotFound) {
			t.Errorf("got %q, %v", found, err)
		}
	})
}

// Guards against refusals by a node that has just started: it asks the nodes of its settings, and the
// others as soon as it has listed them.
func TestNodeThatHasNotListedTheOthersFindsAnOrigin(t *testing.T) {
	runInBubble(t, func(t *testing.T, ctx context.Context) {
		n := newNetwork(ctx, 6, "v1", "v2")
		n.nodes["n0"].Began(pool, "r", "v1")
		time.Sleep(2 * datagramDelay)
		n.nodes["n1"].listsPeers.Store(false)
		if found, _, err := n.nodes["n1"].find(ctx, "r"); err != nil || found != "v1" {
			t.Errorf("by a seed: got %q, %v", found, err)
		}
		n.setSilent("n0", true)
		n.nodes["n2"].listsPeers.Store(false)
		time.AfterFunc(answerTimeout, func() { n.nodes["n2"].listsPeers.Store(true) })
		if found, _, err := n.nodes["n2"].find(ctx, "r"); err != nil || found != "v1" {
			t.Errorf("by a node that is listed meanwhile: got %q, %v", found, err)
		}
	})
}

// A node that hears no other one, and has not read the versions kept in the store, relies on its own
// list only while that is fresh, and covers the time that a stream lasts.
func TestNodeThatNobodyAnswersReliesOnAFreshListOnly(t *testing.T) {
	runInBubble(t, func(t *testing.T, ctx context.Context) {
		n := newNetwork(ctx, 3, "v1")
		n.forgetServed()
		n.setSilent("n1", true)
		if found, _, err := n.nodes["n1"].find(ctx, "r"); !errors.Is(err, ErrNotFound) {
			t.Errorf("just started: got %q, %v", found, err)
		}
		time.Sleep(streamorigin.Retention)
		if found, _, err := n.nodes["n1"].find(ctx, "r"); err != nil || found != "v1" {
			t.Errorf("with a fresh list: got %q, %v", found, err)
		}
		n.nodes["n1"].enginesAge = 2 * maxEnginesAge
		if found, _, err := n.nodes["n1"].find(ctx, "another"); !errors.Is(err, ErrNotFound) {
			t.Errorf("with an old list: got %q, %v", found, err)
		}
	})
}

// An answer to a question of the process before this one may have the id of a question of this one.
func TestAnswerForAnotherStreamIsIgnored(t *testing.T) {
	runInBubble(t, func(t *testing.T, ctx context.Context) {
		n := newNetwork(ctx, 2, "v1", "v2")
		done := make(chan error, 1)
		go func() {
			_, _, err := n.nodes["n0"].find(ctx, "r")
			done <- err
		}()
		synctest.Wait()
		n.nodes["n0"].HandleMessage("n1", streamorigin.Message{Answer: &streamorigin.Answer{ID: 1, Key: streamorigin.KeyOf("other"), Evidence: streamorigin.Evidence{Software: "v2"}}})
		if err := <-done; !errors.Is(err, ErrNotFound) {
			t.Errorf("got %v", err)
		}
	})
}
