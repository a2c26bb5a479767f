package idempotency

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"ringstream.example/ringstream/internal/backend/backendtest"
	core "ringstream.example/ringstream/internal/core/idempotency"
	"ringstream.example/ringstream/internal/core/identity"
	"ringstream.example/ringstream/internal/core/membership"
	"ringstream.example/ringstream/internal/core/site"
	"ringstream.example/ringstream/internal/store"
)

// staticMembers is a Members with a fixed list.
type staticMembers struct {
	self identity.NodeID
	list []membership.Member
}

func (m staticMembers) Self() identity.NodeID { return m.self }
func (m staticMembers) View() membership.View { return membership.View{Self: m.self, Members: m.list} }

// testCluster creates the stores of several nodes over one table and one object
// store.
type testCluster struct {
	table   *backendtest.Table
	objects *backendtest.Objects
	dead    identity.NodeID
}

func newTestCluster() *testCluster {
	return &testCluster{table: backendtest.NewTable(), objects: backendtest.NewObjects()}
}

func (f *testCluster) node(id identity.NodeID) *Store {
	list := []membership.Member{{ID: id}}
	if f.dead != "" {
		list = append(list, membership.Member{ID: f.dead, State: membership.Dead})
	}
	return New(DefaultConfig(), store.New(f.table), f.objects, staticMembers{id, list}, zap.NewNop())
}

func newRequest(digest string) Request {
	return Request{Key: Key{"corrib", "k"}, Digest: digest, Expiry: time.Now().Add(time.Minute)}
}

func decide(t *testing.T, s *Store, request Request, want core.Action) Decision {
	t.Helper()
	decision, err := s.Claim(t.Context(), request)
	if err != nil || decision.Action != want {
		t.Fatalf("action %d, error %v; want action %d", decision.Action, err, want)
	}
	return decision
}

func TestOneOfFiftyRacingFirstWritersRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestCluster()
		var group sync.WaitGroup
		var mutex sync.Mutex
		actions := map[core.Action]int{}
		for i := range 50 {
			group.Go(func() {
				decision, err := f.node(identity.NodeID(fmt.Sprint("n", i))).Claim(t.Context(), newRequest("d"))
				mutex.Lock()
				defer mutex.Unlock()
				if actions[decision.Action]++; err != nil {
					t.Error(err)
				}
			})
		}
		group.Wait()
		if actions[core.Run] != 1 || actions[core.Wait] != 49 {
			t.Errorf("actions %v; want 1 Run and 49 Wait", actions)
		}
	})
}

func TestTheResultIsReadEverywhereAndAnotherBodyIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, size := range []int{10, 100 << 10} {
			f := newTestCluster()
			result := strings.Repeat("x", size)
			claim := decide(t, f.node("a"), newRequest("d"), core.Run).Claim
			decide(t, f.node("b"), newRequest("d"), core.Wait)
			if err := claim.Complete(t.Context(), []byte(result)); err != nil {
				t.Fatal(err)
			}
			if read := decide(t, f.node("b"), newRequest("d"), core.Read); string(read.Result) != result {
				t.Errorf("read %d bytes, want %d", len(read.Result), size)
			}
			decide(t, f.node("c"), newRequest("other"), core.RejectReused)
		}
	})
}

func TestTakeOverFencesThePausedOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestCluster()
		paused := decide(t, f.node("a"), newRequest("d"), core.Run).Claim
		time.Sleep(2 * time.Minute)
		successor := decide(t, f.node("b"), newRequest("d"), core.Run).Claim
		if err := paused.RecordIntent(t.Context(), core.Intent{Attempt: "a1"}); !errors.Is(err, ErrSuperseded) {
			t.Errorf("RecordIntent by the paused owner: %v, want ErrSuperseded", err)
		}
		if err := successor.Complete(t.Context(), []byte("b's")); err != nil {
			t.Fatal(err)
		}
		if err := paused.Complete(t.Context(), []byte("a's")); !errors.Is(err, ErrSuperseded) {
			t.Errorf("Complete by the paused owner: %v, want ErrSuperseded", err)
		}
		if read := decide(t, f.node("c"), newRequest("d"), core.Read); string(read.Result) != "b's" {
			t.Errorf("read %q", read.Result)
		}
	})
}

func TestADeadOwnersIntentIsResumedBeforeItsExpiry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestCluster()
		claim := decide(t, f.node("a"), newRequest("d"), core.Run).Claim
		intent := core.Intent{Attempt: "a1", Engine: "e"}
		if err := claim.RecordIntent(t.Context(), intent); err != nil {
			t.Fatal(err)
		}
		decide(t, f.node("b"), newRequest("d"), core.Wait)
		f.dead = "a"
		time.Sleep(2*time.Second - time.Nanosecond)
		decide(t, f.node("b"), newRequest("d"), core.Wait)
		time.Sleep(time.Nanosecond)
		if decision := decide(t, f.node("b"), newRequest("d"), core.Resume); decision.Intent != intent {
			t.Errorf("intent %+v", decision.Intent)
		}
	})
}

func TestLostAnswersAreSettled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestCluster()
		f.table.SetFaults(backendtest.Faults{LoseResponses: 1})
		claim := decide(t, f.node("a"), newRequest("d"), core.Run).Claim
		// All responses of one call are lost; the claim finds the write later.
		f.table.SetFaults(backendtest.Faults{LoseResponses: store.DefaultRetry.Attempts})
		if err := claim.RecordIntent(t.Context(), core.Intent{Attempt: "a1"}); err == nil {
			t.Fatal("RecordIntent succeeded although all responses were lost")
		}
		f.objects.SetFaults(backendtest.Faults{LoseResponses: 1})
		result := []byte(strings.Repeat("y", 10<<10))
		if err := claim.Complete(t.Context(), result); err == nil {
			t.Fatal("Complete succeeded although the response of the put was lost")
		}
		if err := claim.Complete(t.Context(), result); err != nil {
			t.Fatal(err)
		}
		if read := decide(t, f.node("b"), newRequest("d"), core.Read); len(read.Result) != len(result) {
			t.Errorf("read %d bytes, want the completed result", len(read.Result))
		}
	})
}

func TestAClaimWhoseAnswersWereLostIsWithdrawn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, released := range []bool{false, true} { // without and with an earlier record
			f := newTestCluster()
			faults := backendtest.Faults{LoseResponses: store.DefaultRetry.Attempts}
			if released {
				faults.ResponsesBeforeLoss = 1 // the conflict that returns the earlier record
				if err := decide(t, f.node("a"), newRequest("d"), core.Run).Claim.Release(t.Context()); err != nil {
					t.Fatal(err)
				}
			}
			f.table.SetFaults(faults)
			a := f.node("a")
			_, err := a.Claim(t.Context(), newRequest("d"))
			var uncertain *UncertainError
			if !errors.As(err, &uncertain) {
				t.Fatalf("Ask returned %v, want an UncertainError", err)
			}
			decide(t, f.node("b"), newRequest("d"), core.Wait)
			if err := a.Withdraw(t.Context(), uncertain); err != nil {
				t.Fatal(err)
			}
			claim := decide(t, f.node("b"), newRequest("d"), core.Run).Claim
			if err := a.Withdraw(t.Context(), uncertain); err != nil { // no effect: b has claimed the key
				t.Fatal(err)
			}
			if err := claim.Complete(t.Context(), []byte("b's")); err != nil {
				t.Fatal(err)
			}
		}
	})
}

func TestAStoreThatIsDownRefuses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestCluster()
		f.table.SetFaults(backendtest.Faults{Down: true})
		if _, err := f.node("a").Claim(t.Context(), newRequest("d")); err == nil {
			t.Error("Ask returned a decision while the store was down")
		}
	})
}

func TestTheRecordedSiteAnswersAfterTheShareMoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestCluster()
		away := newRequest("d")
		away.Site = site.Other
		claim := decide(t, f.node("a"), away, core.Forward).Claim
		if err := claim.Settle(t.Context()); err != nil {
			t.Fatal(err)
		}
		decide(t, f.node("b"), newRequest("d"), core.Pass)
		back := newRequest("d")
		back.Hopped = true
		decide(t, f.node("b"), back, core.RejectOtherSite)
	})
}

func TestExpiredKeysAreSweptWithTheirObjects(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestCluster()
		large := []byte(strings.Repeat("z", 100<<10))
		for i := range 20 {
			asked := newRequest("d")
			asked.Key.Key = fmt.Sprint("k", i)
			if err := decide(t, f.node("a"), asked, core.Run).Claim.Complete(t.Context(), large[:i*1000]); err != nil {
				t.Fatal(err)
			}
		}
		time.Sleep(DefaultConfig().Retention)
		kept := newRequest("d")
		kept.Key.Key = "new"
		decide(t, f.node("a"), kept, core.Run)
		ctx, stop := context.WithTimeout(t.Context(), (sweepShards+1)*DefaultConfig().SweepInterval)
		defer stop()
		if err := f.node("a").Run(ctx); err != nil {
			t.Fatal(err)
		}
		records, _ := f.table.List(t.Context(), recordPrefix, "", 100)
		objects, _ := f.objects.List(t.Context(), recordPrefix, "", 100)
		if len(records) != 1 || len(objects) != 0 {
			t.Errorf("%d records and %d objects remain, want 1 and 0", len(records), len(objects))
		}
	})
}
