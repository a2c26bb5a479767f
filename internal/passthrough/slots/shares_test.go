package slots

import (
	"context"
	"slices"
	"testing"
	"time"

	"ringstream.example/ringstream/internal/core/enginechoice"
	"ringstream.example/ringstream/internal/core/passroute"
	"ringstream.example/ringstream/internal/core/tenant"
)

// acquireFor asks for a slot for a request of a tenant and delivers the decision.
func (n *testNode) acquireFor(ctx context.Context, owner string) <-chan Decision {
	got := make(chan Decision, 1)
	deadline := time.Now().Add(time.Minute)
	go func() {
		request := Request{Query: enginechoice.Query{Pool: "p"}, Owner: owner, FirstTokenDeadline: deadline, PlacementDeadline: deadline}
		if decision, err := n.Acquire(ctx, request); err == nil {
			got <- decision
		}
	}()
	return got
}

// TestTenantThatFloodsWaits fills the only engine with requests of one tenant, more of which wait.
// With shares the request of another tenant gets the next slot; without, it waits behind them.
func TestTenantThatFloodsWaits(t *testing.T) {
	for _, shares := range []bool{true, false} {
		runInBubble(t, func(t *testing.T, ctx context.Context) {
			f := newFleetWith(ctx, 2, 1, SchedulingConfig{FairShares: shares})
			directory, _ := tenant.NewDirectory([]tenant.Definition{
				{Tenant: tenant.Tenant{Name: "flood", Limit: tenant.Limit{PerSecond: 10}}}, {Tenant: tenant.Tenant{Name: "small", Limit: tenant.Limit{PerSecond: 10}}},
			})
			table := passroute.NewTable(1, []passroute.Route{{Name: "r", Targets: []passroute.Target{{Pool: "p", Weight: 1}}}}, nil, passroute.Limits{}, passroute.Tenants{Directory: directory})
			for _, node := range f.nodes {
				node.SetRoutes(table)
			}
			node := f.nodes["n1"]
			learned := <-node.acquireFor(ctx, "flood") // from it the dispatcher learns what a slot costs
			time.Sleep(20 * time.Millisecond)
			learned.Slot.End(enginechoice.Succeeded, false)
			time.Sleep(20 * time.Millisecond)
			running := <-node.acquireFor(ctx, "flood")
			<-node.acquireFor(ctx, "flood")
			for range 5 {
				node.acquireFor(ctx, "flood")
				time.Sleep(10 * time.Millisecond)
			}
			small := node.acquireFor(ctx, "small")
			time.Sleep(50 * time.Millisecond)
			want := []TenantQueue{{Tenant: "flood", Queued: 5}, {Tenant: "small", Queued: 1}}
			if got := f.nodes["n0"].TenantQueues(); shares && !slices.Equal(got, want) {
				t.Errorf("queues %v, want %v", got, want)
			}
			running.Slot.End(enginechoice.Succeeded, false)
			time.Sleep(50 * time.Millisecond)
			select {
			case <-small:
				if !shares {
					t.Error("without shares the later request got the slot")
				}
			default:
				if shares {
					t.Error("the tenant within its share waits for its slot")
				}
			}
		})
	}
}

func TestPartsFollowTheLimits(t *testing.T) {
	directory, _ := tenant.NewDirectory([]tenant.Definition{
		{Tenant: tenant.Tenant{Name: "a", Limit: tenant.Limit{PerSecond: 30, Burst: 5}}},
		{Tenant: tenant.Tenant{Name: "b", Limit: tenant.Limit{PerSecond: 10}}},
		{Tenant: tenant.Tenant{Name: "unlimited"}},
	})
	read := limitsFromTable(passroute.NewTable(1, nil, nil, passroute.Limits{}, passroute.Tenants{Directory: directory}))
	for hash, name := range read.names {
		part, limited := read.parts[hash]
		switch {
		case name == "unlimited" && limited, name != "unlimited" && !limited:
			t.Errorf("tenant %s has part %+v", name, part)
		case name == "a" && (part.Weight != 1.5 || part.Burst != 5), name == "b" && (part.Weight != 0.5 || part.Burst != 0):
			t.Errorf("tenant %s has part %+v", name, part)
		}
	}
	if len(read.names) != 3 {
		t.Errorf("names %v", read.names)
	}
}
