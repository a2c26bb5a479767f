package sharing

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"ringstream.example/ringstream/internal/core/enginechoice"
	"ringstream.example/ringstream/internal/passthrough"
)

// local is a node as the tests make it.
type local struct {
	mu        sync.Mutex
	loads     map[string]enginechoice.Counts
	peers     []string
	blind     bool
	wants     bool
	documents Documents
	told      chan map[string]enginechoice.Counts
	wanting   chan []string
	learned   chan Documents
}

func newLocal() *local {
	return &local{told: make(chan map[string]enginechoice.Counts, 1000), wanting: make(chan []string, 1000), learned: make(chan Documents, 10)}
}

func (l *local) Loads() map[string]enginechoice.Counts { return l.loads }
func (l *local) Engines() []string                     { return []string{"e", "e1"} }
func (l *local) Peers() []string                       { l.mu.Lock(); defer l.mu.Unlock(); return l.peers }
func (l *local) Blind() bool                           { return l.blind }
func (l *local) Wants() bool                           { return l.wants }
func (l *local) Question() Question                    { return Question{RoutesVersion: 3, RowsSince: 7} }

func (l *local) Answer(asked Question) Documents {
	if asked.RoutesVersion != 3 || asked.RowsSince != 7 {
		return Documents{}
	}
	return l.documents
}
func (l *local) Learn(documents Documents, _ string) { l.learned <- documents }
func (l *local) Told(counts map[string]enginechoice.Counts, wanting []string) {
	l.told <- counts
	l.wanting <- wanting
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
	go func() { done <- New(DefaultConfig(address), node, nodeLocal, zap.NewNop()).Run(ctx) }()
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
	first.peers, second.peers = []string{secondAddress}, []string{firstAddress}
	first.loads = map[string]enginechoice.Counts{"e1": {Online: 2, Batch: 1, PrefillTokens: 30, MemoryTokens: 40}}
	first.wants = true
	first.documents = Documents{RoutesVersion: 9, Routes: []byte("routes"), Rows: []passthrough.Row{{Key: "e1", Version: 8}}}
	second.blind = true
	start(t, "n1", first, firstAddress)
	start(t, "n2", second, secondAddress)
	for {
		counts, wanting := <-second.told, <-second.wanting
		if len(counts) == 0 {
			continue
		}
		if counts["e1"] != first.loads["e1"] || len(wanting) != 1 || wanting[0] != "n1" {
			t.Errorf("told %+v by %v", counts, wanting)
		}
		break
	}
	if got := <-second.learned; got.RoutesVersion != 9 || string(got.Routes) != "routes" || len(got.Rows) != 1 {
		t.Errorf("learned %+v", got)
	}
}

func TestReportsAreSummedAndExpire(t *testing.T) {
	share := New(DefaultConfig("127.0.0.1:1"), "self", newLocal(), zap.NewNop())
	share.hear(Report{Node: "a", Sequence: 2, Loads: []uint32{engineHash("e"), 1, 0, 0, 0}})
	share.hear(Report{Node: "a", Sequence: 1, Loads: []uint32{engineHash("e"), 9, 0, 0, 0}}) // overtaken
	share.hear(Report{Node: "b", Sequence: 1, Wants: true, Loads: []uint32{engineHash("e"), 2, 3, 0, 0, 7}})
	share.hear(Report{Node: "self", Sequence: 1, Loads: []uint32{engineHash("e"), 100, 0, 0, 0}})
	total, wanting := share.sum(time.Now())
	if total["e"] != (enginechoice.Counts{Online: 3, Batch: 3}) || len(wanting) != 1 || wanting[0] != "b" {
		t.Errorf("got %+v by %v", total, wanting)
	}
	if total, _ := share.sum(time.Now().Add(time.Hour)); len(total) != 0 {
		t.Errorf("old reports still count: %+v", total)
	}
}
