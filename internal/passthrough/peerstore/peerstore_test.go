package peerstore

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/zap"

	"ringstream.example/ringstream/internal/passthrough"
	"ringstream.example/ringstream/internal/peer/sharing"
)

// way is a way to the store that fails as it is told.
type way struct {
	passthrough.Rows
	passthrough.Objects
	err   error
	calls int
}

func (w *way) Commit(context.Context, passthrough.Transaction) (passthrough.CommitResult, error) {
	w.calls++
	return passthrough.CommitResult{Applied: w.err == nil, Version: 7}, w.err
}

func (w *way) List(context.Context, string, string, string, string, int) (passthrough.Snapshot, error) {
	w.calls++
	return passthrough.Snapshot{Version: 7}, w.err
}

func (w *way) Feed(context.Context, string, int64, time.Duration) (passthrough.Snapshot, error) {
	w.calls++
	return passthrough.Snapshot{Version: 8}, w.err
}

func (w *way) GetObject(context.Context, string) ([]byte, error) {
	w.calls++
	return []byte("object"), w.err
}

// peers are other nodes, each with a store of its own way, or unreachable.
type peers struct {
	stores map[string]*Store
	lost   map[string]error // transport errors
	asked  []string
}

func (p *peers) Addresses() []string {
	var addresses []string
	for address := range p.stores {
		addresses = append(addresses, address)
	}
	slices.Sort(addresses)
	return addresses
}

func (p *peers) CallStore(ctx context.Context, peer string, call sharing.StoreCall) (sharing.StoreAnswer, error) {
	p.asked = append(p.asked, peer)
	if err := p.lost[peer]; err != nil {
		return sharing.StoreAnswer{}, err
	}
	return p.stores[peer].CallFor(ctx, call), nil
}

func newStore(own *way) *Store {
	return New(DefaultConfig(), own, own, "table", zap.NewNop())
}

func always() bool { return true }

var (
	errRefused = fmt.Errorf("%w: status 503", passthrough.ErrNothingDone)
	errSilent  = fmt.Errorf("%w: no answer", passthrough.ErrOutcomeUnknown)
)

// lose has a store's own way fail until it counts as lost; in a bubble, whose
// time passes at once.
func lose(t *testing.T, store *Store, own *way, err error) {
	t.Helper()
	own.err = err
	for number := range DefaultConfig().FailuresToLeave {
		if number > 0 {
			time.Sleep(DefaultConfig().LeaveAfter)
		}
		if _, got := store.Commit(t.Context(), passthrough.Transaction{}); !errors.Is(got, err) {
			t.Fatalf("got %v, want %v", got, err)
		}
	}
	if !store.Lost() {
		t.Fatal("the own way does not count as lost")
	}
}

func TestLostWayGoesByPeersAndComesBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		own, theirs := &way{}, &way{}
		store := newStore(own)
		store.UsePeers(&peers{stores: map[string]*Store{"p1": newStore(theirs)}}, always)
		lose(t, store, own, errRefused)
		made := own.calls
		if result, err := store.Commit(t.Context(), passthrough.Transaction{}); err != nil || !result.Applied || result.Version != 7 {
			t.Errorf("commit: %+v, %v", result, err)
		}
		if snapshot, err := store.List(t.Context(), "t", "", "", "", 0); err != nil || snapshot.Version != 7 {
			t.Errorf("list: %+v, %v", snapshot, err)
		}
		if snapshot, err := store.Feed(t.Context(), "t", 1, time.Second); err != nil || snapshot.Version != 8 {
			t.Errorf("feed: %+v, %v", snapshot, err)
		}
		if body, err := store.GetObject(t.Context(), "name"); err != nil || string(body) != "object" {
			t.Errorf("object: %q, %v", body, err)
		}
		if own.calls != made || theirs.calls != 4 {
			t.Errorf("%d calls on the own way, %d on the peer's", own.calls-made, theirs.calls)
		}
		own.err = nil
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		go func() { _ = store.Run(ctx) }()
		time.Sleep(2 * DefaultConfig().ProbeEvery)
		synctest.Wait()
		if store.Lost() {
			t.Error("the own way is sound and still counts as lost")
		}
	})
}

// TestWhatIsKnownOfACallStaysTrue has peers fail in each way: only a call that
// provably had no effect may be made again on another way.
func TestWhatIsKnownOfACallStaysTrue(t *testing.T) {
	for _, test := range []struct {
		name      string
		theirs    error // of the peer's own way
		transport error // of the call to the peer
		want      error
		ownCalls  int // made after the peers were asked
	}{
		{name: "the peer's store refuses", theirs: errRefused, want: nil, ownCalls: 1},
		{name: "the peer is not reached", transport: errRefused, want: nil, ownCalls: 1},
		{name: "the peer's store is silent", theirs: errSilent, want: passthrough.ErrOutcomeUnknown},
		{name: "the peer is silent", transport: errSilent, want: passthrough.ErrOutcomeUnknown},
		{name: "the history is gone", theirs: passthrough.ErrHistoryGone, want: passthrough.ErrHistoryGone},
		{name: "there is no such object", theirs: passthrough.ErrNotFound, want: passthrough.ErrNotFound},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				own := &way{}
				store := newStore(own)
				others := &peers{stores: map[string]*Store{"p1": newStore(&way{err: test.theirs})}, lost: map[string]error{"p1": test.transport}}
				store.UsePeers(others, always)
				lose(t, store, own, errRefused)
				own.err = nil
				made := own.calls
				_, err := store.Commit(t.Context(), passthrough.Transaction{})
				if !errors.Is(err, test.want) || (test.want == nil && err != nil) {
					t.Errorf("got %v, want %v", err, test.want)
				}
				if own.calls-made != test.ownCalls {
					t.Errorf("%d calls on the own way", own.calls-made)
				}
			})
		})
	}
}

// TestNodesThatAllLostTheStoreAskEachOtherSeldom has the store down for all: a
// peer says so without a call, and is not asked again at once.
func TestNodesThatAllLostTheStoreAskEachOtherSeldom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		own, theirs := &way{}, &way{}
		store, peer := newStore(own), newStore(theirs)
		others := &peers{stores: map[string]*Store{"p1": peer}}
		store.UsePeers(others, always)
		lose(t, store, own, errRefused)
		lose(t, peer, theirs, errRefused)
		made := theirs.calls
		for range 10 {
			if _, err := store.Commit(t.Context(), passthrough.Transaction{}); !errors.Is(err, passthrough.ErrNothingDone) {
				t.Fatalf("got %v", err)
			}
		}
		if theirs.calls != made {
			t.Errorf("a peer without the store made %d calls", theirs.calls-made)
		}
		if difference := cmp.Diff([]string{"p1"}, others.asked); difference != "" {
			t.Error(difference)
		}
	})
}

// TestOneFailureLosesNothing has single failures between answers.
func TestOneFailureLosesNothing(t *testing.T) {
	own := &way{}
	store := newStore(own)
	for range 5 {
		own.err = errSilent
		_, _ = store.Commit(t.Context(), passthrough.Transaction{})
		own.err = nil
		_, _ = store.Commit(t.Context(), passthrough.Transaction{})
	}
	if store.Lost() {
		t.Error("the own way counts as lost")
	}
}

// TestCallsThatTheCallerEndsSayNothing ends calls early.
func TestCallsThatTheCallerEndsSayNothing(t *testing.T) {
	own := &way{err: errSilent}
	store := newStore(own)
	ended, end := context.WithCancel(t.Context())
	end()
	for range 5 {
		_, _ = store.Commit(ended, passthrough.Transaction{})
	}
	if store.Lost() {
		t.Error("the own way counts as lost")
	}
}

// TestPeersThatCannotHelpAreAskedLast has most peers out of reach and the one
// that helped fall silent, as on the recorded day inc-c18a: the only one left
// is found within a few calls, and stayed with.
func TestPeersThatCannotHelpAreAskedLast(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		own := &way{}
		store := newStore(own)
		others := &peers{stores: make(map[string]*Store), lost: make(map[string]error)}
		for number := range 6 {
			address := fmt.Sprintf("p%d", number)
			others.stores[address] = newStore(&way{})
			others.lost[address] = errRefused
		}
		delete(others.lost, "p0")
		store.UsePeers(others, always)
		lose(t, store, own, errRefused)
		if _, err := store.Commit(t.Context(), passthrough.Transaction{}); err != nil {
			t.Fatal(err)
		}
		others.lost["p0"] = errSilent
		if _, err := store.Commit(t.Context(), passthrough.Transaction{}); !errors.Is(err, passthrough.ErrOutcomeUnknown) {
			t.Fatalf("got %v", err)
		}
		delete(others.lost, "p5")
		calls := 1
		for ; calls < 10; calls++ {
			if _, err := store.Commit(t.Context(), passthrough.Transaction{}); err == nil {
				break
			}
		}
		if calls > 3 {
			t.Errorf("the peer that could help was found after %d calls", calls)
		}
		others.asked = nil
		if _, err := store.Commit(t.Context(), passthrough.Transaction{}); err != nil {
			t.Fatal(err)
		}
		if difference := cmp.Diff([]string{"p5"}, others.asked); difference != "" {
			t.Error(difference)
		}
	})
}

// TestThrottledNodesDoNotAskPeersBeforeTheyHaveListed: when 300 nodes started at
// once the store throttled all of them, and each had others make its listings
// (sweep at 300: 1,647 kB/s at the busiest node).
func TestThrottledNodesDoNotAskPeersBeforeTheyHaveListed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		own := &way{}
		store := newStore(own)
		others := &peers{stores: map[string]*Store{"p1": newStore(&way{})}}
		caughtUp := false
		store.UsePeers(others, func() bool { return caughtUp })
		lose(t, store, own, errRefused)
		if _, err := store.List(t.Context(), "t", "", "", "", 0); !errors.Is(err, passthrough.ErrNothingDone) || len(others.asked) > 0 {
			t.Errorf("got %v, %d peers asked", err, len(others.asked))
		}
		caughtUp = true
		if _, err := store.List(t.Context(), "t", "", "", "", 0); err != nil {
			t.Error(err)
		}
	})
}

// TestRefusalsAtOneMomentLoseNothing has many calls refused at once, as by a
// store that is busy for a moment.
func TestRefusalsAtOneMomentLoseNothing(t *testing.T) {
	own := &way{err: errRefused}
	store := newStore(own)
	for range 10 * DefaultConfig().FailuresToLeave {
		store.note(own.err)
	}
	if store.Lost() {
		t.Error("the own way counts as lost")
	}
}
