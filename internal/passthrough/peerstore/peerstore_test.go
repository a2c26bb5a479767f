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

// fakeStore is direct access to the store that fails with a given error.
type fakeStore struct {
	passthrough.Rows
	passthrough.Objects
	err   error
	calls int
}

func (s *fakeStore) Commit(context.Context, passthrough.Transaction) (passthrough.CommitResult, error) {
	s.calls++
	return passthrough.CommitResult{Applied: s.err == nil, Version: 7}, s.err
}

func (s *fakeStore) List(context.Context, string, string, string, string, int) (passthrough.Snapshot, error) {
	s.calls++
	return passthrough.Snapshot{Version: 7}, s.err
}

func (s *fakeStore) Feed(context.Context, string, int64, time.Duration) (passthrough.Snapshot, error) {
	s.calls++
	return passthrough.Snapshot{Version: 8}, s.err
}

func (s *fakeStore) GetObject(context.Context, string) ([]byte, error) {
	s.calls++
	return []byte("object"), s.err
}

// fakePeers are other nodes, each with its own access to the store, or unreachable.
type fakePeers struct {
	stores map[string]*Store
	lost   map[string]error // transport errors by peer
	asked  []string
}

func (p *fakePeers) Addresses() []string {
	var addresses []string
	for address := range p.stores {
		addresses = append(addresses, address)
	}
	slices.Sort(addresses)
	return addresses
}

func (p *fakePeers) CallStore(ctx context.Context, peer string, call sharing.StoreCall) (sharing.StoreAnswer, error) {
	p.asked = append(p.asked, peer)
	if err := p.lost[peer]; err != nil {
		return sharing.StoreAnswer{}, err
	}
	return p.stores[peer].CallFor(ctx, call), nil
}

func newStore(own *fakeStore) *Store {
	return New(DefaultConfig(), own, own, "table", zap.NewNop())
}

func always() bool { return true }

var (
	errRefused = fmt.Errorf("%w: status 503", passthrough.ErrNothingDone)
	errSilent  = fmt.Errorf("%w: no answer", passthrough.ErrOutcomeUnknown)
)

// loseDirectAccess makes direct calls of a store fail until access counts as lost. It must run in
// a synctest bubble, since it sleeps.
func loseDirectAccess(t *testing.T, store *Store, own *fakeStore, err error) {
	t.Helper()
	own.err = err
	for number := range DefaultConfig().MinFailures {
		if number > 0 {
			time.Sleep(DefaultConfig().MinFailurePeriod)
		}
		if _, got := store.Commit(t.Context(), passthrough.Transaction{}); !errors.Is(got, err) {
			t.Fatalf("got %v, want %v", got, err)
		}
	}
	if !store.Lost() {
		t.Fatal("direct access does not count as lost")
	}
}

func TestCallsGoThroughPeersUntilDirectAccessReturns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		own, theirs := &fakeStore{}, &fakeStore{}
		store := newStore(own)
		store.UsePeers(&fakePeers{stores: map[string]*Store{"p1": newStore(theirs)}}, always)
		loseDirectAccess(t, store, own, errRefused)
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
			t.Errorf("%d direct calls, %d calls by the peer", own.calls-made, theirs.calls)
		}
		own.err = nil
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		go func() { _ = store.Run(ctx) }()
		time.Sleep(2 * DefaultConfig().ProbeInterval)
		synctest.Wait()
		if store.Lost() {
			t.Error("direct access works again and still counts as lost")
		}
	})
}

// Peers fail in each way. Only a call that certainly had no effect may be made again, by direct
// access.
func TestOnlyCallsWithoutEffectAreMadeAgain(t *testing.T) {
	for _, test := range []struct {
		name      string
		theirs    error // of the peer's own access to the store
		transport error // of the call to the peer
		want      error
		ownCalls  int // direct calls after the peers were asked
	}{
		{name: "the peer's store refuses", theirs: errRefused, want: nil, ownCalls: 1},
		{name: "the peer is unreachable", transport: errRefused, want: nil, ownCalls: 1},
		{name: "the peer's store does not answer", theirs: errSilent, want: passthrough.ErrOutcomeUnknown},
		{name: "the peer does not answer", transport: errSilent, want: passthrough.ErrOutcomeUnknown},
		{name: "the history is gone", theirs: passthrough.ErrHistoryGone, want: passthrough.ErrHistoryGone},
		{name: "there is no such object", theirs: passthrough.ErrNotFound, want: passthrough.ErrNotFound},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				own := &fakeStore{}
				store := newStore(own)
				others := &fakePeers{stores: map[string]*Store{"p1": newStore(&fakeStore{err: test.theirs})}, lost: map[string]error{"p1": test.transport}}
				store.UsePeers(others, always)
				loseDirectAccess(t, store, own, errRefused)
				own.err = nil
				made := own.calls
				_, err := store.Commit(t.Context(), passthrough.Transaction{})
				if !errors.Is(err, test.want) || (test.want == nil && err != nil) {
					t.Errorf("got %v, want %v", err, test.want)
				}
				if own.calls-made != test.ownCalls {
					t.Errorf("%d direct calls", own.calls-made)
				}
			})
		})
	}
}

// The store is down for all nodes. A peer reports this without calling the store, and is not asked
// again at once.
func TestPeersThatLostTheStoreAreNotAskedAgainAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		own, theirs := &fakeStore{}, &fakeStore{}
		store, peer := newStore(own), newStore(theirs)
		others := &fakePeers{stores: map[string]*Store{"p1": peer}}
		store.UsePeers(others, always)
		loseDirectAccess(t, store, own, errRefused)
		loseDirectAccess(t, peer, theirs, errRefused)
		made := theirs.calls
		for range 10 {
			if _, err := store.Commit(t.Context(), passthrough.Transaction{}); !errors.Is(err, passthrough.ErrNothingDone) {
				t.Fatalf("got %v", err)
			}
		}
		if theirs.calls != made {
			t.Errorf("a peer that had lost the store made %d calls", theirs.calls-made)
		}
		if difference := cmp.Diff([]string{"p1"}, others.asked); difference != "" {
			t.Error(difference)
		}
	})
}

// Single failures between successful calls do not count as a loss.
func TestSingleFailuresDoNotLoseDirectAccess(t *testing.T) {
	own := &fakeStore{}
	store := newStore(own)
	for range 5 {
		own.err = errSilent
		_, _ = store.Commit(t.Context(), passthrough.Transaction{})
		own.err = nil
		_, _ = store.Commit(t.Context(), passthrough.Transaction{})
	}
	if store.Lost() {
		t.Error("direct access counts as lost")
	}
}

// Calls that their caller canceled do not count as failures.
func TestCanceledCallsDoNotCountAsFailures(t *testing.T) {
	own := &fakeStore{err: errSilent}
	store := newStore(own)
	canceled, cancel := context.WithCancel(t.Context())
	cancel()
	for range 5 {
		_, _ = store.Commit(canceled, passthrough.Transaction{})
	}
	if store.Lost() {
		t.Error("direct access counts as lost")
	}
}

// Most peers are unreachable and the one that helped stops answering, as in the recorded incident
// inc-c18a. The only peer left must be found within a few calls, and preferred from then on.
func TestPeersThatCannotHelpAreAskedLast(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		own := &fakeStore{}
		store := newStore(own)
		others := &fakePeers{stores: make(map[string]*Store), lost: make(map[string]error)}
		for number := range 6 {
			address := fmt.Sprintf("p%d", number)
			others.stores[address] = newStore(&fakeStore{})
			others.lost[address] = errRefused
		}
		delete(others.lost, "p0")
		store.UsePeers(others, always)
		loseDirectAccess(t, store, own, errRefused)
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

// Guards against starting nodes that have each other make their listings. When 300 nodes started
// at once, the store throttled all of them and each asked others; the traffic at the busiest node
// was 1,647 kB/s.
func TestThrottledNodesDoNotAskPeersBeforeTheyHaveListed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		own := &fakeStore{}
		store := newStore(own)
		others := &fakePeers{stores: map[string]*Store{"p1": newStore(&fakeStore{})}}
		caughtUp := false
		store.UsePeers(others, func() bool { return caughtUp })
		loseDirectAccess(t, store, own, errRefused)
		if _, err := store.List(t.Context(), "t", "", "", "", 0); !errors.Is(err, passthrough.ErrNothingDone) || len(others.asked) > 0 {
			t.Errorf("got %v, %d peers were asked", err, len(others.asked))
		}
		caughtUp = true
		if _, err := store.List(t.Context(), "t", "", "", "", 0); err != nil {
			t.Error(err)
		}
	})
}

// Many calls are refused at the same moment, as by a store that is busy for a moment.
func TestRefusalsAtOneMomentDoNotLoseDirectAccess(t *testing.T) {
	own := &fakeStore{err: errRefused}
	store := newStore(own)
	for range 10 * DefaultConfig().MinFailures {
		store.recordOutcome(own.err)
	}
	if store.Lost() {
		t.Error("direct access counts as lost")
	}
}
