package sharing

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/zap"

	"ringstream.example/ringstream/internal/core/grant"
	"ringstream.example/ringstream/internal/core/liveness"
	"ringstream.example/ringstream/internal/core/quarantine"
	"ringstream.example/ringstream/internal/passthrough"
)

// local is a node as the tests make it.
type local struct {
	mu        sync.Mutex
	peers     []string
	blind     bool
	documents Documents
	// storeAnswer is what the store says when it is asked for others.
	storeAnswer StoreAnswer
	gravest     []quarantine.Crash
	learned     chan told
	heard       chan message
	alive       chan liveness.Message
	suspensions atomic.Uint64
	// onAnswer is called before a question is answered; nil: nothing is.
	onAnswer func()
}

// told is an answer that a node has learned, and when it had asked.
type told struct {
	documents Documents
	asked     time.Time
}

func newLocal() *local {
	return &local{learned: make(chan told, 10), heard: make(chan message, 10), alive: make(chan liveness.Message, 10)}
}

func (l *local) Peers() []string     { return l.peers }
func (l *local) Seeds() []string     { return nil }
func (l *local) Suspensions() uint64 { return l.suspensions.Load() }
func (l *local) Blind() bool         { return l.blind }
func (l *local) Question() Question  { return Question{RoutesVersion: 3, RowsSince: 7} }

func (l *local) HearState(_ string, lane grant.Lane, state grant.State) error {
	l.heard <- message{Lane: lane, State: &state}
	return nil
}

func (l *local) HearReply(_ string, lane grant.Lane, reply grant.Reply) error {
	l.heard <- message{Lane: lane, Reply: &reply}
	return nil
}

func (l *local) Hear(_ string, crashes []quarantine.Crash) { l.heard <- message{Crashes: crashes} }

func (l *local) HearLiveness(_ string, told liveness.Message) { l.alive <- told }

func (l *local) Gravest() []quarantine.Crash { return l.gravest }

func (l *local) CallStore(context.Context, StoreCall) StoreAnswer {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.storeAnswer
}

func (l *local) Answer(asked Question) Documents {
	if asked.RoutesVersion != 3 || asked.RowsSince != 7 {
		return Documents{}
	}
	if l.onAnswer != nil {
		l.onAnswer()
	}
	return l.documents
}

func (l *local) Learn(documents Documents, _ string, asked time.Time) {
	l.learned <- told{documents, asked}
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

func start(t *testing.T, nodeLocal *local, address string) *Share {
	t.Helper()
	return startWith(t, nodeLocal, address, func(*Share) {})
}

// startWith starts a node that is set up before it runs.
func startWith(t *testing.T, nodeLocal *local, address string, setUp func(*Share)) *Share {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	share := New(DefaultConfig(address), nodeLocal, nodeLocal, nodeLocal, nodeLocal, zap.NewNop())
	setUp(share)
	go func() { done <- share.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return share
}

func TestNodesAskWhatTheyLack(t *testing.T) {
	first, second := newLocal(), newLocal()
	firstAddress, secondAddress := freeAddress(t), freeAddress(t)
	first.peers, second.peers = []string{secondAddress}, []string{firstAddress}
	first.documents = Documents{RoutesVersion: 9, Routes: []byte("routes"), Rows: []passthrough.Row{{Key: "e1", Version: 8}}}
	second.blind = true
	start(t, first, firstAddress)
	start(t, second, secondAddress)
	if got := (<-second.learned).documents; got.RoutesVersion != 9 || string(got.Routes) != "routes" || len(got.Rows) != 1 {
		t.Errorf("learned %+v", got)
	}
}

// TestAnswerIsAsOldAsItsQuestion: a peer that had heard the store just when it answered said
// so with an age of 0, and the node that asked took its routes for confirmed at the moment
// at which the answer came. That may be 0.4 s (askTime) after the question: with a key
// withdrawn in that time the node judged by routes that were up to 0.4 s older than it
// believed. The moment of asking errs to the safe side alone.
func TestAnswerIsAsOldAsItsQuestion(t *testing.T) {
	answerer, asker := newLocal(), newLocal()
	address := freeAddress(t)
	asker.peers, asker.blind = []string{address}, true
	answering := make(chan time.Time, 10)
	answerer.onAnswer = func() { answering <- time.Now() }
	start(t, answerer, address)
	start(t, asker, freeAddress(t))
	if got, heard := <-asker.learned, <-answering; got.asked.After(heard) {
		t.Errorf("taken as of %v after the peer had answered", got.asked.Sub(heard))
	}
}

// TestAnswerAcrossASuspensionIsStale: on either side.
func TestAnswerAcrossASuspensionIsStale(t *testing.T) {
	for _, ofAnswerer := range []bool{true, false} {
		answerer, asker := newLocal(), newLocal()
		address := freeAddress(t)
		asker.peers, asker.blind = []string{address}, true
		answerer.documents.Stale = ofAnswerer
		answerer.onAnswer = func() {
			if !ofAnswerer {
				asker.suspensions.Add(1)
			}
		}
		start(t, answerer, address)
		start(t, asker, freeAddress(t))
		if got := <-asker.learned; !got.documents.Stale {
			t.Errorf("the answerer was suspended: %v; the answer counts as fresh", ofAnswerer)
		}
	}
}

// TestDatagramsTravelWhole sends what a node has in a lane, and a reply; a
// datagram may be lost, so each is sent until it came.
func TestDatagramsTravelWhole(t *testing.T) {
	from, to := newLocal(), newLocal()
	address := freeAddress(t)
	start(t, to, address)
	sender := start(t, from, freeAddress(t))
	want := exampleMessage()
	reply := message{Lane: want.Lane, Reply: &grant.Reply{Life: 7, Sequence: 9, Grants: []grant.Grant{{ID: 1, Engine: 3, Preempts: true}}, Stops: []uint64{8}}}
	crashes := message{Crashes: []quarantine.Crash{{Content: quarantine.Content{Host: "h"}.Digest(), Engine: 1 << 63, Age: time.Second, Excused: true}, {Engine: 2}}}
	for _, told := range []message{want, reply, crashes} {
		got := message{}
		for got.State == nil && got.Reply == nil && got.Crashes == nil {
			switch {
			case told.State != nil:
				sender.SendState(address, told.Lane, *told.State)
			case told.Reply != nil:
				sender.SendReply(address, told.Lane, *told.Reply)
			default:
				sender.SendCrashes(address, told.Crashes)
			}
			select {
			case got = <-to.heard:
				if (got.State == nil) != (told.State == nil) || (got.Reply == nil) != (told.Reply == nil) {
					got = message{} // another copy of the one before
				}
			case <-time.After(20 * time.Millisecond):
			}
		}
		if difference := cmp.Diff(told, got); difference != "" {
			t.Error(difference)
		}
	}
}

// TestWatchersHearWhoIsAlive sends a voucher, which may be lost, until it came.
func TestWatchersHearWhoIsAlive(t *testing.T) {
	to := newLocal()
	address := freeAddress(t)
	start(t, to, address)
	sender := start(t, newLocal(), freeAddress(t))
	want := liveness.Message{Kind: liveness.Voucher, From: "n1/life", Node: "n2/life", Ago: 70 * time.Millisecond}
	for {
		sender.SendLiveness(address, want)
		select {
		case got := <-to.alive:
			if difference := cmp.Diff(want, got); difference != "" {
				t.Error(difference)
			}
			return
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// TestStartingNodeIsToldOfCrashes that others know.
func TestStartingNodeIsToldOfCrashes(t *testing.T) {
	asked, asker := newLocal(), newLocal()
	asked.gravest = []quarantine.Crash{{Engine: 7}}
	address := freeAddress(t)
	start(t, asked, address)
	share := start(t, asker, freeAddress(t))
	for {
		share.AskCrashes(address) // a datagram may be lost
		select {
		case got := <-asker.heard:
			if difference := cmp.Diff(message{Crashes: asked.gravest}, got); difference != "" {
				t.Error(difference)
			}
			return
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// TestStoreCallsByWayOfAPeer has a node ask another for each kind of answer:
// what the store said comes back as it was.
func TestStoreCallsByWayOfAPeer(t *testing.T) {
	served := newLocal()
	address := freeAddress(t)
	start(t, served, address)
	asker := New(DefaultConfig(freeAddress(t)), newLocal(), newLocal(), newLocal(), newLocal(), zap.NewNop())
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

// TestUnknownMessagesChangeNothing hears messages of kinds that a later version
// may send, and a good one after them.
func TestUnknownMessagesChangeNothing(t *testing.T) {
	node := newLocal()
	share := New(DefaultConfig("127.0.0.1:1"), node, node, node, node, zap.NewNop())
	for _, told := range []message{{}, {State: &grant.State{}, Reply: &grant.Reply{}}} {
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
	if err := share.hear("127.0.0.1:2", exampleMessage()); err != nil || len(node.heard) != 1 {
		t.Errorf("heard %d messages: %v", len(node.heard), err)
	}
}
