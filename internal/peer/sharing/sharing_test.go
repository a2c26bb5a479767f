package sharing

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/zap"

	"ringstream.example/ringstream/internal/core/grant"
	"ringstream.example/ringstream/internal/core/liveness"
	"ringstream.example/ringstream/internal/core/quarantine"
	"ringstream.example/ringstream/internal/passthrough"
)

// fakeNode implements Local, Slots, Crashes and Watchers.
type fakeNode struct {
	mu               sync.Mutex
	peers            []string
	storeUnreachable bool
	documents        Documents
	// storeAnswer is the store's answer to calls made for other nodes.
	storeAnswer    StoreAnswer
	startupReports []quarantine.Crash
	learned        chan learnedAnswer
	received       chan message
	alive          chan liveness.Message
	attached       chan grant.AttachmentMessage
	suspensions    atomic.Uint64
	// onAnswer, if not nil, is called before a question is answered.
	onAnswer func()
}

// learnedAnswer is an answer that a node received, with the time of its question.
type learnedAnswer struct {
	documents Documents
	askedAt   time.Time
}

func newFakeNode() *fakeNode {
	return &fakeNode{learned: make(chan learnedAnswer, 10), received: make(chan message, 10), alive: make(chan liveness.Message, 10), attached: make(chan grant.AttachmentMessage, 10)}
}

func (l *fakeNode) Peers() []string        { return l.peers }
func (l *fakeNode) Seeds() []string        { return nil }
func (l *fakeNode) Suspensions() uint64    { return l.suspensions.Load() }
func (l *fakeNode) StoreUnreachable() bool { return l.storeUnreachable }
func (l *fakeNode) Question() Question     { return Question{RoutesVersion: 3, RowsSince: 7} }

func (l *fakeNode) HandleState(_ string, lane grant.Lane, state grant.State) error {
	l.received <- message{Lane: lane, State: &state}
	return nil
}

func (l *fakeNode) HandleReply(_ string, lane grant.Lane, reply grant.Reply) error {
	l.received <- message{Lane: lane, Reply: &reply}
	return nil
}

func (l *fakeNode) HandleLimitUse(_ string, lane grant.Lane, use grant.LimitUse) error {
	l.received <- message{Lane: lane, LimitUse: &use}
	return nil
}

func (l *fakeNode) HandleAttachment(_ string, msg grant.AttachmentMessage) error {
	l.attached <- msg
	return nil
}

func (l *fakeNode) AddPeerCrashes(_ string, crashes []quarantine.Crash) {
	l.received <- message{Crashes: crashes}
}

func (l *fakeNode) HandleLiveness(_ string, msg liveness.Message) { l.alive <- msg }

func (l *fakeNode) StartupReports() []quarantine.Crash { return l.startupReports }

func (l *fakeNode) CallStore(context.Context, StoreCall) StoreAnswer {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.storeAnswer
}

func (l *fakeNode) Answer(question Question) Documents {
	if question.RoutesVersion != 3 || question.RowsSince != 7 {
		return Documents{}
	}
	if l.onAnswer != nil {
		l.onAnswer()
	}
	return l.documents
}

func (l *fakeNode) ApplyDocuments(documents Documents, _ string, askedAt time.Time) {
	l.learned <- learnedAnswer{documents, askedAt}
}

// reserved holds the sockets that freeAddress has opened, by address, until a node takes them.
var reserved sync.Map

// freeAddress returns an address at which only the node that start starts there can listen. Its sockets
// are open already, because another process can take a port that is only known to be free.
func freeAddress(t *testing.T) string {
	t.Helper()
	const tries = 50
	var lastErr error
	for range tries {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		address := listener.Addr().String()
		datagrams, err := net.ListenPacket("udp", address)
		if err != nil {
			lastErr = errors.Join(err, listener.Close())
			continue
		}
		reserved.Store(address, sockets{datagrams: datagrams, listener: listener})
		t.Cleanup(func() {
			if opened, found := reserved.LoadAndDelete(address); found {
				_ = opened.(sockets).datagrams.Close()
				_ = opened.(sockets).listener.Close()
			}
		})
		return address
	}
	t.Fatal(lastErr)
	return ""
}

// silentAddress returns an address at which nothing listens while the test runs. A connection from it
// keeps others from listening there.
func silentAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	connection, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(errors.Join(err, listener.Close()))
	}
	t.Cleanup(func() {
		_ = connection.Close()
		_ = listener.Close()
	})
	return connection.LocalAddr().String()
}

func start(t *testing.T, node *fakeNode, address string) *Share {
	t.Helper()
	return startWith(t, node, address, func(*Share) {})
}

// startWith starts a node at an address of freeAddress after setUp has prepared its share.
func startWith(t *testing.T, node *fakeNode, address string, setUp func(*Share)) *Share {
	t.Helper()
	opened, found := reserved.LoadAndDelete(address)
	if !found {
		t.Fatalf("address %s is not one of freeAddress, or a node has it already", address)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	share := New(DefaultConfig(address), node, node, node, node, zap.NewNop())
	setUp(share)
	go func() {
		defer close(done)
		share.serve(ctx, opened.(sockets))
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return share
}

// TestNodeDoesNotStartAtATakenAddress checks that Run returns an error if one of its sockets cannot be opened.
func TestNodeDoesNotStartAtATakenAddress(t *testing.T) {
	for _, taken := range []string{"tcp", "udp"} {
		address := freeAddress(t)
		opened, _ := reserved.LoadAndDelete(address)
		keep, release := io.Closer(opened.(sockets).listener), io.Closer(opened.(sockets).datagrams)
		if taken == "udp" {
			keep, release = release, keep
		}
		_ = release.Close()
		node := newFakeNode()
		if err := New(DefaultConfig(address), node, node, node, node, zap.NewNop()).Run(t.Context()); !errors.Is(err, syscall.EADDRINUSE) {
			t.Errorf("%s taken: got error %v, want EADDRINUSE", taken, err)
		}
		_ = keep.Close()
	}
}

func TestNodeGetsMissingDocumentsFromAPeer(t *testing.T) {
	first, second := newFakeNode(), newFakeNode()
	firstAddress, secondAddress := freeAddress(t), freeAddress(t)
	first.peers, second.peers = []string{secondAddress}, []string{firstAddress}
	first.documents = Documents{RoutesVersion: 9, Routes: []byte("routes"), Rows: []passthrough.Row{{Key: "e1", Version: 8}}}
	second.storeUnreachable = true
	start(t, first, firstAddress)
	start(t, second, secondAddress)
	if got := (<-second.learned).documents; got.RoutesVersion != 9 || string(got.Routes) != "routes" || len(got.Rows) != 1 {
		t.Errorf("learned documents %+v", got)
	}
}

// TestAnswerIsAsOldAsItsQuestion guards against routes that are staler than the node assumes. A
// peer that reached the store just when it answered reports an age of 0. A node that counted
// the routes as confirmed when the answer arrived, up to 0.4 s (askTimeout) after the question, used
// routes up to 0.4 s staler than it assumed, for example with a key withdrawn in that time. The
// time of the question errs on the safe side.
func TestAnswerIsAsOldAsItsQuestion(t *testing.T) {
	answerer, asker := newFakeNode(), newFakeNode()
	address := freeAddress(t)
	asker.peers, asker.storeUnreachable = []string{address}, true
	answering := make(chan time.Time, 10)
	answerer.onAnswer = func() { answering <- time.Now() }
	start(t, answerer, address)
	start(t, asker, freeAddress(t))
	if got, answeredAt := <-asker.learned, <-answering; got.askedAt.After(answeredAt) {
		t.Errorf("answer counts as of %v after the peer had answered", got.askedAt.Sub(answeredAt))
	}
}

// TestAnswerAcrossASuspensionIsStale checks that an answer is stale if either node was suspended between
// question and answer.
func TestAnswerAcrossASuspensionIsStale(t *testing.T) {
	for _, ofAnswerer := range []bool{true, false} {
		answerer, asker := newFakeNode(), newFakeNode()
		address := freeAddress(t)
		asker.peers, asker.storeUnreachable = []string{address}, true
		answerer.documents.Stale = ofAnswerer
		answerer.onAnswer = func() {
			if !ofAnswerer {
				asker.suspensions.Add(1)
			}
		}
		start(t, answerer, address)
		start(t, asker, freeAddress(t))
		if got := <-asker.learned; !got.documents.Stale {
			t.Errorf("answer counts as fresh after a suspension (of the answering node: %v)", ofAnswerer)
		}
	}
}

// TestDatagramsArriveUnchanged sends a state, a reply and crash reports. A datagram may
// be lost, so each is sent until it arrives.
func TestDatagramsArriveUnchanged(t *testing.T) {
	from, to := newFakeNode(), newFakeNode()
	address := freeAddress(t)
	start(t, to, address)
	sender := start(t, from, freeAddress(t))
	want := exampleMessage()
	reply := message{Lane: want.Lane, Reply: &grant.Reply{Life: 7, Sequence: 9, Grants: []grant.Grant{{ID: 1, Engine: 3, Preempts: true}}, Stops: []uint64{8}}}
	crashes := message{Crashes: []quarantine.Crash{{Content: quarantine.Content{Host: "h"}.Digest(), Engine: 1 << 63, Age: time.Second, Excused: true}, {Engine: 2}}}
	for _, sent := range []message{want, reply, crashes} {
		got := message{}
		for got.State == nil && got.Reply == nil && got.Crashes == nil {
			switch {
			case sent.State != nil:
				sender.SendState(address, sent.Lane, *sent.State)
			case sent.Reply != nil:
				sender.SendReply(address, sent.Lane, *sent.Reply)
			default:
				sender.SendCrashes(address, sent.Crashes)
			}
			select {
			case got = <-to.received:
				if (got.State == nil) != (sent.State == nil) || (got.Reply == nil) != (sent.Reply == nil) {
					got = message{} // a duplicate of the previous message
				}
			case <-time.After(20 * time.Millisecond):
			}
		}
		if difference := cmp.Diff(sent, got); difference != "" {
			t.Error(difference)
		}
	}
}

// TestLivenessMessageArrivesUnchanged sends a voucher, a message that may be lost, until it
// arrives.
func TestLivenessMessageArrivesUnchanged(t *testing.T) {
	to := newFakeNode()
	address := freeAddress(t)
	start(t, to, address)
	sender := start(t, newFakeNode(), freeAddress(t))
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

// TestStartingNodeReceivesKnownCrashes checks that a node that requests crash reports gets those that another node knows.
func TestStartingNodeReceivesKnownCrashes(t *testing.T) {
	asked, asker := newFakeNode(), newFakeNode()
	asked.startupReports = []quarantine.Crash{{Engine: 7}}
	address := freeAddress(t)
	start(t, asked, address)
	share := start(t, asker, freeAddress(t))
	for {
		share.AskCrashes(address) // a datagram may be lost
		select {
		case got := <-asker.received:
			if difference := cmp.Diff(message{Crashes: asked.startupReports}, got); difference != "" {
				t.Error(difference)
			}
			return
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// TestStoreAnswersThroughAPeerAreUnchanged checks that each kind of answer of the store comes back
// unchanged through a peer.
func TestStoreAnswersThroughAPeerAreUnchanged(t *testing.T) {
	served := newFakeNode()
	address := freeAddress(t)
	start(t, served, address)
	asker := New(DefaultConfig(silentAddress(t)), newFakeNode(), newFakeNode(), newFakeNode(), newFakeNode(), zap.NewNop())
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
			if !errors.Is(err, passthrough.ErrNothingDone) { // the node does not listen yet
				t.Fatal(err)
			}
		}
		if difference := cmp.Diff(want, got); difference != "" {
			t.Error(difference)
		}
	}
	if _, err := asker.CallStore(t.Context(), silentAddress(t), StoreCall{Kind: StoreCommit}); !errors.Is(err, passthrough.ErrNothingDone) {
		t.Errorf("call to an address without a listener: got %v, want ErrNothingDone", err)
	}
}

// TestStoreErrorsKeepTheirIdentityThroughAPeer checks that each error of the store keeps its identity on the way to another node.
func TestStoreErrorsKeepTheirIdentityThroughAPeer(t *testing.T) {
	for _, known := range []error{passthrough.ErrNothingDone, passthrough.ErrOutcomeUnknown, passthrough.ErrHistoryGone, passthrough.ErrNotFound, passthrough.ErrFull} {
		if got := (StoreAnswer{Fault: FaultOf(fmt.Errorf("a call: %w", known))}).Err(); !errors.Is(got, known) {
			t.Errorf("error %v arrived as %v", known, got)
		}
	}
	full := fmt.Errorf("%w: %w", passthrough.ErrNothingDone, passthrough.ErrFull)
	if got := (StoreAnswer{Fault: FaultOf(full)}).Err(); !errors.Is(got, passthrough.ErrNothingDone) || !errors.Is(got, passthrough.ErrFull) {
		t.Errorf("error of a full store arrived as %v", got)
	}
	if got := FaultOf(errors.New("anything else")); got != FaultOutcomeUnknown {
		t.Errorf("got fault %d for an unrecognized error, want FaultOutcomeUnknown", got)
	}
	if (StoreAnswer{}).Err() != nil {
		t.Error("Err returns an error for an answer without a fault")
	}
}

// TestUnknownMessagesChangeNothing handles messages of kinds that a later version
// may send, and a known one after them.
func TestUnknownMessagesChangeNothing(t *testing.T) {
	node := newFakeNode()
	share := New(DefaultConfig("127.0.0.1:1"), node, node, node, node, zap.NewNop())
	for _, msg := range []message{{}, {State: &grant.State{}, Reply: &grant.Reply{}}} {
		if err := share.handleMessage("127.0.0.1:2", msg); !errors.Is(err, errUnknownMessage) {
			t.Errorf("message %+v: got error %v, want errUnknownMessage", msg, err)
		}
	}
	for range 3 {
		share.logDropped("127.0.0.1:2", errUnknownMessage)
	}
	if share.dropped != 2 {
		t.Errorf("%d dropped messages are not logged yet, want 2", share.dropped)
	}
	if err := share.handleMessage("127.0.0.1:2", exampleMessage()); err != nil || len(node.received) != 1 {
		t.Errorf("node received %d messages, want 1; error %v", len(node.received), err)
	}
}

// TestAttachmentMessageArrivesUnchanged sends a question about an attachment, which may be lost, until it
// arrives.
func TestAttachmentMessageArrivesUnchanged(t *testing.T) {
	to := newFakeNode()
	address := freeAddress(t)
	start(t, to, address)
	sender := start(t, newFakeNode(), freeAddress(t))
	want := grant.AttachmentMessage{Lane: grant.Lane{Pool: "p", Parts: 1}, Question: &grant.AttachmentQuestion{Asked: 3 * time.Second}}
	for {
		sender.SendAttachment(address, want)
		select {
		case got := <-to.attached:
			if difference := cmp.Diff(want, got); difference != "" {
				t.Error(difference)
			}
			return
		case <-time.After(20 * time.Millisecond):
		}
	}
}
