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

// members is a Members whose list is fixed.
type members struct {
	self identity.NodeID
	list []membership.Member
}

func (m members) Self() identity.NodeID { return m.self }
func (m members) View() membership.View { return membership.View{Self: m.self, Members: m.list} }

// fleet is stores of many nodes over one table and one object store.
type fleet struct {
	table   *backendtest.Table
	objects *backendtest.Objects
	dead    identity.NodeID
}

func newFleet() *fleet {
	return &fleet{table: backendtest.NewTable(), objects: backendtest.NewObjects()}
}

func (f *fleet) node(id identity.NodeID) *Store {
	list := []membership.Member{{ID: id}}
	if f.dead != "" {
		list = append(list, membership.Member{ID: f.dead, State: membership.Dead})
	}
	return New(DefaultConfig(), store.New(f.table), f.objects, members{id, list}, zap.NewNop())
}

func ask(digest string) Ask {
	return Ask{Key: Key{"corrib", "k"}, Digest: digest, Expiry: time.Now().Add(time.Minute)}
}

func must(t *testing.T, s *Store, asked Ask, want core.Action) Decision {
	t.Helper()
	decision, err := s.Ask(t.Context(), asked)
	if err != nil || decision.Action != want {
		t.Fatalf("action %d, %v; want %d", decision.Action, err, want)
	}
	return decision
}

func TestOneOfFiftyRacingFirstWritersRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet()
		var group sync.WaitGroup
		var mutex sync.Mutex
		actions := map[core.Action]int{}
		for i := range 50 {
			group.Go(func() {
				decision, err := f.node(identity.NodeID(fmt.Sprint("n", i))).Ask(t.Context(), ask("d"))
				mutex.Lock()
				defer mutex.Unlock()
				if actions[decision.Action]++; err != nil {
					t.Error(err)
				}
			})
		}
		group.Wait()
		if actions[core.Run] != 1 || actions[core.Wait] != 49 {
			t.Errorf("%v", actions)
		}
	})
}

func TestTheResultIsReadEverywhereAndAnotherBodyIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, size := range []int{10, 100 << 10} {
			f := newFleet()
			result := strings.Repeat("x", size)
			claim := must(t, f.node("a"), ask("d"), core.Run).Claim
			must(t, f.node("b"), ask("d"), core.Wait)
			if err := claim.Complete(t.Context(), []byte(result)); err != nil {
				t.Fatal(err)
			}
			if read := must(t, f.node("b"), ask("d"), core.Read); string(read.Result) != result {
				t.Errorf("read %d bytes, want %d", len(read.Result), size)
			}
			must(t, f.node("c"), ask("other"), core.Reuse)
		}
	})
}

func TestTakeOverFencesThePausedOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet()
		paused := must(t, f.node("a"), ask("d"), core.Run).Claim
		time.Sleep(2 * time.Minute)
		successor := must(t, f.node("b"), ask("d"), core.Run).Claim
		if err := paused.RecordIntent(t.Context(), core.Intent{Attempt: "a1"}); !errors.Is(err, ErrSuperseded) {
			t.Errorf("the paused owner's intent: %v", err)
		}
		if err := successor.Complete(t.Context(), []byte("b's")); err != nil {
			t.Fatal(err)
		}
		if err := paused.Complete(t.Context(), []byte("a's")); !errors.Is(err, ErrSuperseded) {
			t.Errorf("the paused owner's result: %v", err)
		}
		if read := must(t, f.node("c"), ask("d"), core.Read); string(read.Result) != "b's" {
			t.Errorf("read %q", read.Result)
		}
	})
}

func TestADeadOwnersIntentIsResumedBeforeItsExpiry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet()
		claim := must(t, f.node("a"), ask("d"), core.Run).Claim
		intent := core.Intent{Attempt: "a1", Engine: "e"}
		if err := claim.RecordIntent(t.Context(), intent); err != nil {
			t.Fatal(err)
		}
		must(t, f.node("b"), ask("d"), core.Wait)
		f.dead = "a"
		time.Sleep(2*time.Second - time.Nanosecond)
		must(t, f.node("b"), ask("d"), core.Wait)
		time.Sleep(time.Nanosecond)
		if decision := must(t, f.node("b"), ask("d"), core.Resume); decision.Intent != intent {
			t.Errorf("intent %+v", decision.Intent)
		}
	})
}

func TestLostAnswersAreSettled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet()
		f.table.SetFaults(backendtest.Faults{LoseAnswers: 1})
		claim := must(t, f.node("a"), ask("d"), core.Run).Claim
		// Every answer of one whole call is lost: the claim learns it later.
		f.table.SetFaults(backendtest.Faults{LoseAnswers: store.DefaultRetry.Attempts})
		if err := claim.RecordIntent(t.Context(), core.Intent{Attempt: "a1"}); err == nil {
			t.Fatal("an intent whose write is not known was taken for written")
		}
		f.objects.SetFaults(backendtest.Faults{LoseAnswers: 1})
		result := []byte(strings.Repeat("y", 10<<10))
		if err := claim.Complete(t.Context(), result); err == nil {
			t.Fatal("a lost put was taken for done")
		}
		if err := claim.Complete(t.Context(), result); err != nil {
			t.Fatal(err)
		}
		if read := must(t, f.node("b"), ask("d"), core.Read); len(read.Result) != len(result) {
			t.Errorf("read %d bytes", len(read.Result))
		}
	})
}

func TestAClaimWhoseAnswersWereLostIsWithdrawn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, released := range []bool{false, true} { // over nothing, over an earlier record
			f := newFleet()
			faults := backendtest.Faults{LoseAnswers: store.DefaultRetry.Attempts}
			if released {
				faults.Spare = 1 // the conflict that brings the earlier record along
				if err := must(t, f.node("a"), ask("d"), core.Run).Claim.Release(t.Context()); err != nil {
					t.Fatal(err)
				}
			}
			f.table.SetFaults(faults)
			a := f.node("a")
			_, err := a.Ask(t.Context(), ask("d"))
			var uncertain *UncertainError
			if !errors.As(err, &uncertain) {
				t.Fatalf("the ask ended with %v", err)
			}
			must(t, f.node("b"), ask("d"), core.Wait)
			if err := a.Withdraw(t.Context(), uncertain); err != nil {
				t.Fatal(err)
			}
			claim := must(t, f.node("b"), ask("d"), core.Run).Claim
			if err := a.Withdraw(t.Context(), uncertain); err != nil { // too late: b has the key
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
		f := newFleet()
		f.table.SetFaults(backendtest.Faults{Down: true})
		if _, err := f.node("a").Ask(t.Context(), ask("d")); err == nil {
			t.Error("an ask without a store gave a decision")
		}
	})
}

func TestTheRecordedSiteAnswersAfterTheShareMoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet()
		away := ask("d")
		away.Site = site.Other
		claim := must(t, f.node("a"), away, core.Forward).Claim
		if err := claim.Settle(t.Context()); err != nil {
			t.Fatal(err)
		}
		must(t, f.node("b"), ask("d"), core.Pass)
		back := ask("d")
		back.Hopped = true
		must(t, f.node("b"), back, core.Elsewhere)
	})
}

func TestExpiredKeysAreSweptWithTheirObjects(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet()
		large := []byte(strings.Repeat("z", 100<<10))
		for i := range 20 {
			asked := ask("d")
			asked.Key.Key = fmt.Sprint("k", i)
			if err := must(t, f.node("a"), asked, core.Run).Claim.Complete(t.Context(), large[:i*1000]); err != nil {
				t.Fatal(err)
			}
		}
		time.Sleep(DefaultConfig().Retention)
		kept := ask("d")
		kept.Key.Key = "new"
		must(t, f.node("a"), kept, core.Run)
		ctx, stop := context.WithTimeout(t.Context(), (sweepShards+1)*DefaultConfig().SweepInterval)
		defer stop()
		if err := f.node("a").Run(ctx); err != nil {
			t.Fatal(err)
		}
		records, _ := f.table.List(t.Context(), recordPrefix, "", 100)
		objects, _ := f.objects.List(t.Context(), recordPrefix, "", 100)
		if len(records) != 1 || len(objects) != 0 {
			t.Errorf("%d records and %d objects are left", len(records), len(objects))
		}
	})
}
