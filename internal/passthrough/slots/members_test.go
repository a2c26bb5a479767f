package slots

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"ringstream.example/ringstream/internal/core/enginechoice"
	"ringstream.example/ringstream/internal/core/grant"
	"ringstream.example/ringstream/internal/core/passroute"
	"ringstream.example/ringstream/internal/core/tenant"
)

// limitTo has all nodes keep a tenant's limit.
func (f *fleet) limitTo(name string, limit tenant.Limit) {
	directory, _ := tenant.NewDirectory([]tenant.Definition{{Tenant: tenant.Tenant{Name: name, Limit: limit}}})
	table := passroute.NewTable(1, []passroute.Route{{Name: "r", Targets: []passroute.Target{{Pool: "p", Weight: 1}}}}, nil, passroute.Limits{}, passroute.Tenants{Directory: directory})
	for _, node := range f.nodes {
		node.TakeTable(table)
	}
}

// ofTenant is a request of a tenant that waits for some time at most.
func ofTenant(name string, patience time.Duration) Request {
	until := time.Now().Add(patience)
	return Request{Query: enginechoice.Query{Pool: "p"}, Tenant: name, Due: until, PlaceAt: until}
}

// press has each node send a tenant's requests one after the other for some time, and gives
// how many got a slot.
func (f *fleet) press(ctx context.Context, t *testing.T, name string, during time.Duration) int {
	const patience, between = 100 * time.Millisecond, 20 * time.Millisecond
	var (
		mu      sync.Mutex
		granted int
		group   sync.WaitGroup
	)
	until := time.Now().Add(during)
	for _, node := range f.nodes {
		group.Go(func() {
			for time.Now().Before(until) {
				decision, err := node.Acquire(ctx, ofTenant(name, patience))
				switch overLimit := (*OverLimitError)(nil); {
				case err == nil:
					decision.Slot.End(enginechoice.Succeeded, false)
					mu.Lock()
					granted++
					mu.Unlock()
				case !errors.As(err, &overLimit) && !errors.Is(err, ErrLimitNotKnown):
					t.Errorf("got %v", err)
				}
				time.Sleep(between)
			}
		})
	}
	group.Wait()
	return granted
}

// TestLimitHoldsWhileNoMemberIsKnown.
//
// Symptom: all 71 nodes had been killed and started anew while the store refused calls. A
// tenant of 20 requests a second and a burst of 10 ran 196 requests in 5 s, where 141 were
// allowed; 144 in another run, where the store answered.
//
// Cause: the nodes listed routes and engines within 0.3 s of their start, and the table of jobs,
// from which they know each other, 2 to 3 s later. Until then each took itself for the only node.
// Those that the seed did not answer in time counted by themselves, each with the whole limit.
//
// What settled it: in that time event 8114 named 18 dispatchers besides the seed, with a share
// of 1 at each; and this test, in which 372 requests got a slot where 40 were allowed.
func TestLimitHoldsWhileNoMemberIsKnown(t *testing.T) {
	bubble(t, func(t *testing.T, ctx context.Context) {
		const during, nodes, engines = 3 * time.Second, 12, 20
		limit := tenant.Limit{PerSecond: 10, Burst: 10}
		f := newFleet(ctx, nodes, engines)
		f.unlisted.Store(true)
		f.setCut("n0", true) // the seed answers nobody
		f.limitTo("one", limit)
		allowed := during.Seconds()*limit.PerSecond + limit.Burst
		if granted := f.press(ctx, t, "one", during); float64(granted) > allowed {
			t.Errorf("%d requests got a slot in %v, allowed are %v", granted, during, allowed)
		}
	})
}

// TestRequestOfALimitedTenantWaitsUntilTheMembersAreKnown has the nodes learn of each other
// while requests wait: one gets its slot then, and one whose patience ends before is told that
// the limit is not known. Requests without a limit wait for none of it.
func TestRequestOfALimitedTenantWaitsUntilTheMembersAreKnown(t *testing.T) {
	bubble(t, func(t *testing.T, ctx context.Context) {
		const listedAfter, patience = 400 * time.Millisecond, 2 * time.Second
		f := newFleet(ctx, 3, 2)
		f.unlisted.Store(true)
		f.limitTo("one", tenant.Limit{PerSecond: 10, Burst: 10})
		time.AfterFunc(listedAfter, func() { f.unlisted.Store(false) })
		node := f.nodes["n1"]
		for _, unlimited := range []string{"", "other"} {
			if got, err := node.Acquire(ctx, ofTenant(unlimited, patience)); err != nil || got.Waited > 10*time.Millisecond {
				t.Errorf("tenant %q: got %+v, %v", unlimited, got, err)
			}
		}
		if _, err := node.Acquire(ctx, ofTenant("one", listedAfter/2)); !errors.Is(err, ErrLimitNotKnown) {
			t.Errorf("got %v", err)
		}
		got, err := node.Acquire(ctx, ofTenant("one", patience))
		if err != nil || got.Waited > listedAfter+lookEvery {
			t.Errorf("got %+v, %v", got, err)
		}
	})
}

// TestNodeAloneThatKnowsNoMemberHasNoPartOfALimit asks a node that reaches no dispatcher before
// it has listed the nodes, when what flows into its buckets would let a request through.
func TestNodeAloneThatKnowsNoMemberHasNoPartOfALimit(t *testing.T) {
	bubble(t, func(t *testing.T, ctx context.Context) {
		f := newFleet(ctx, 1, 1)
		f.unlisted.Store(true)
		f.limitTo("one", tenant.Limit{PerSecond: 100, Burst: 100})
		node := f.nodes["n0"]
		ask := func() error {
			time.Sleep(time.Second)
			_ = node.admittedAlone(grant.TenantHash("one")) // brings the buckets to this time
			time.Sleep(50 * time.Millisecond)
			return node.admittedAlone(grant.TenantHash("one"))
		}
		if err := ask(); !errors.Is(err, errMembersNotKnown) {
			t.Errorf("got %v", err)
		}
		if err := node.admittedAlone(grant.TenantHash("other")); err != nil {
			t.Errorf("a tenant without a limit: %v", err)
		}
		f.unlisted.Store(false)
		if err := ask(); err != nil {
			t.Errorf("with the nodes known: %v", err)
		}
	})
}
