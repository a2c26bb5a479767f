package sharing

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"testing"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/zap"
	"pgregory.net/rapid"

	"ringstream.example/ringstream/internal/core/enginechoice"
	"ringstream.example/ringstream/internal/core/loadsum"
	"ringstream.example/ringstream/internal/passthrough"
)

// local is a node as the tests make it.
type local struct {
	mu        sync.Mutex
	loads     map[string]enginechoice.Counts
	peers     []loadsum.Peer
	blind     bool
	backlog   int
	documents Documents
	// storeAnswer is what the store says when it is asked for others.
	storeAnswer StoreAnswer
	told        chan map[string]enginechoice.Counts
	backlogs    chan []loadsum.Backlog
	learned     chan Documents
	preempted   chan uint32
}

func newLocal() *local {
	return &local{told: make(chan map[string]enginechoice.Counts, 1000), backlogs: make(chan []loadsum.Backlog, 1000), learned: make(chan Documents, 10), preempted: make(chan uint32, 10)}
}

func (l *local) Loads() map[string]enginechoice.Counts { return l.loads }
func (l *local) Engines() []string                     { return []string{"e", "e1"} }
func (l *local) Peers() []loadsum.Peer                 { l.mu.Lock(); defer l.mu.Unlock(); return l.peers }
func (l *local) Seeds() []string                       { return nil }
func (l *local) Blind() bool                           { return l.blind }
func (l *local) Backlog() int                          { return l.backlog }
func (l *local) Question() Question                    { return Question{RoutesVersion: 3, RowsSince: 7} }

func (l *local) CallStore(context.Context, StoreCall) StoreAnswer {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.storeAnswer
}

func (l *local) Answer(asked Question) Documents {
	if asked.RoutesVersion != 3 || asked.RowsSince != 7 {
		return Documents{}
	}
	return l.documents
}
func (l *local) Learn(documents Documents, _ string) { l.learned <- documents }
func (l *local) Preempt(engine uint32, _ string)     { l.preempted <- engine }

func (l *local) Told(counts map[string]enginechoice.Counts, _ map[string]int, backlogs []loadsum.Backlog) {
	l.told <- counts
	l.backlogs <- backlogs
}

func freeAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

func start(t *testing.T, node string, nodeLocal *local, address string) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- New(DefaultConfig(address, "z1"), node, nodeLocal, zap.NewNop()).Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
}

func TestNodesTellTheirWorkAndAskWhatTheyLack(t *testing.T) {
	first, second := newLocal(), newLocal()
	firstAddress, secondAddress := freeAddress(t), freeAddress(t)
	first.peers, second.peers = []loadsum.Peer{{Address: secondAddress, Zone: "z1"}}, []loadsum.Peer{{Address: firstAddress, Zone: "z1"}}
	first.loads = map[string]enginechoice.Counts{"e1": {Online: 2, Batch: 1, PrefillTokens: 32, MemoryTokens: 48}}
	first.backlog = 3
	first.documents = Documents{RoutesVersion: 9, Routes: []byte("routes"), Rows: []passthrough.Row{{Key: "e1", Version: 8}}}
	second.blind = true
	start(t, "n1", first, firstAddress)
	start(t, "n2", second, secondAddress)
	for {
		counts, backlogs := <-second.told, <-second.backlogs
		if len(counts) == 0 {
			continue
		}
		if counts["e1"] != first.loads["e1"] || len(backlogs) != 1 || backlogs[0] != (loadsum.Backlog{Node: loadsum.NodeHash("n1"), Items: 3}) {
			t.Errorf("told %+v by %v", counts, backlogs)
		}
		break
	}
	if got := <-second.learned; got.RoutesVersion != 9 || string(got.Routes) != "routes" || len(got.Rows) != 1 {
		t.Errorf("learned %+v", got)
	}
}

// TestLoadsTravelWhole sends loads through their flat form: tokens are rounded
// up to their unit, nothing else changes, and the same loads give the same
// list.
func TestLoadsTravelWhole(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		loads := make(loadsum.Loads)
		want := make(loadsum.Loads)
		for range rapid.IntRange(0, 40).Draw(t, "engines") {
			engine := rapid.Uint32().Draw(t, "engine")
			counts := enginechoice.Counts{
				Online: rapid.IntRange(1, 500).Draw(t, "online"), Batch: rapid.IntRange(0, 500).Draw(t, "batch"),
				PrefillTokens: rapid.IntRange(0, 90000).Draw(t, "prefill"), MemoryTokens: rapid.IntRange(0, 900000).Draw(t, "memory"),
			}
			loads[engine] = counts
			counts.PrefillTokens = (counts.PrefillTokens + 15) / 16 * 16
			counts.MemoryTokens = (counts.MemoryTokens + 15) / 16 * 16
			want[engine] = counts
		}
		flat := flatten(loads)
		if diff := cmp.Diff(want, unflatten(flat)); diff != "" {
			t.Fatal(diff)
		}
		if diff := cmp.Diff(flat, flatten(loads)); diff != "" {
			t.Fatal(diff)
		}
	})
}

// TestStoreCallsByWayOfAPeer has a node ask another for each kind of answer:
// what the store said comes back as it was.
func TestStoreCallsByWayOfAPeer(t *testing.T) {
	served := newLocal()
	address := freeAddress(t)
	start(t, "served", served, address)
	asker := New(DefaultConfig(freeAddress(t), "z1"), "asker", newLocal(), zap.NewNop())
	for _, want := range []StoreAnswer{
		{Commit: passthrough.CommitResult{Applied: true, Version: 9}},
		{Commit: passthrough.CommitResult{Current: []passthrough.Row{{Table: "t", Key: "k", Value: []byte("v"), Version: 3}}}},
		{Snapshot: passthrough.Snapshot{Version: 4, More: true, Rows: []passthrough.Row{{Table: "t", Key: "k", Gone: true, Version: 4}}}},
		{Body: []byte("object")},
		{Fault: FaultFull, Message: "full"},
	} {
		served.mu.Lock()
		served.storeAnswer = want
		served.mu.Unlock()
		var got StoreAnswer
		for {
			var err error
			if got, err = asker.CallStore(t.Context(), address, StoreCall{Kind: StoreCommit}); err == nil {
				break
			}
			if !errors.Is(err, passthrough.ErrNothingDone) { // it does not listen yet
				t.Fatal(err)
			}
		}
		if difference := cmp.Diff(want, got); difference != "" {
			t.Error(difference)
		}
	}
	if _, err := asker.CallStore(t.Context(), freeAddress(t), StoreCall{Kind: StoreCommit}); !errors.Is(err, passthrough.ErrNothingDone) {
		t.Errorf("nobody listens: %v", err)
	}
}

// TestFaultsKeepWhatIsKnown takes each error of the store to another node.
func TestFaultsKeepWhatIsKnown(t *testing.T) {
	for _, known := range []error{passthrough.ErrNothingDone, passthrough.ErrOutcomeUnknown, passthrough.ErrHistoryGone, passthrough.ErrNotFound, passthrough.ErrFull} {
		if got := (StoreAnswer{Fault: FaultOf(fmt.Errorf("a call: %w", known))}).Err(); !errors.Is(got, known) {
			t.Errorf("%v came as %v", known, got)
		}
	}
	full := fmt.Errorf("%w: %w", passthrough.ErrNothingDone, passthrough.ErrFull)
	if got := (StoreAnswer{Fault: FaultOf(full)}).Err(); !errors.Is(got, passthrough.ErrNothingDone) || !errors.Is(got, passthrough.ErrFull) {
		t.Errorf("a full store came as %v", got)
	}
	if got := FaultOf(errors.New("anything else")); got != FaultOutcomeUnknown {
		t.Errorf("got %d", got)
	}
	if (StoreAnswer{}).Err() != nil {
		t.Error("no fault is an error")
	}
}

// TestANodeIsAskedToStopABatchRequest has one node run batch work that another
// hears of and asks to stop; a node that runs none is not asked.
func TestANodeIsAskedToStopABatchRequest(t *testing.T) {
	runs, asks := newLocal(), newLocal()
	runsAt, asksAt := freeAddress(t), freeAddress(t)
	runs.peers, asks.peers = []loadsum.Peer{{Address: asksAt, Zone: "z1"}}, []loadsum.Peer{{Address: runsAt, Zone: "z1"}}
	runs.loads = map[string]enginechoice.Counts{"e1": {Batch: 2}}
	start(t, "runs", runs, runsAt)
	ctx, cancel := context.WithCancel(context.Background())
	asking := New(DefaultConfig(asksAt, "z1"), "asks", asks, zap.NewNop())
	done := make(chan error, 1)
	go func() { done <- asking.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	for (<-asks.told)["e1"].Batch != 2 {
	}
	if asking.Preempt("e2", "r1") {
		t.Error("asked for an engine at which nobody runs anything")
	}
	if !asking.Preempt("e1", "r1") {
		t.Fatal("nobody was asked")
	}
	if got := <-runs.preempted; got != loadsum.EngineHash("e1") {
		t.Errorf("asked for engine %d", got)
	}
}

// TestUnknownMessagesChangeNothing hears messages of kinds and scopes that a
// later version may send, damaged datagrams, and a good one after them.
func TestUnknownMessagesChangeNothing(t *testing.T) {
	share := New(DefaultConfig("127.0.0.1:1", "z1"), "n1", newLocal(), zap.NewNop())
	for _, told := range []message{{}, {Kind: kindPreempt + 1}, {Kind: kindReport, Scope: uint8(loadsum.FleetScope) + 1}} {
		if err := share.hear("127.0.0.1:2", told); !errors.Is(err, errUnknownMessage) {
			t.Errorf("%+v: %v", told, err)
		}
	}
	for range 3 {
		share.noteDropped("127.0.0.1:2", errUnknownMessage)
	}
	if share.dropped != 2 {
		t.Errorf("%d messages wait for the next log line, want 2", share.dropped)
	}
	if err := share.hear("127.0.0.1:2", message{Kind: kindReport, Life: 7, Sequence: 1, Loads: []uint32{1, 2, 3, 4, 5}, Scope: uint8(loadsum.FleetScope)}); err != nil {
		t.Error(err)
	}
}
