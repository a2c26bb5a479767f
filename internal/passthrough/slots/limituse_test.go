package slots

import (
	"context"
	"errors"
	"maps"
	"slices"
	"testing"
	"time"

	"ringstream.example/ringstream/internal/core/enginechoice"
	"ringstream.example/ringstream/internal/core/grant"
	"ringstream.example/ringstream/internal/core/passroute"
	"ringstream.example/ringstream/internal/core/tenant"
)

// keepLimits makes all nodes keep the use of the limits.
func (f *fleet) keepLimits() {
	for _, node := range f.nodes {
		node.mu.Lock()
		node.config.Scheduling.KeepLimits = true
		node.mu.Unlock()
	}
}

// TestUseOfALimitOutlivesItsDispatcher has a tenant use half of its burst and loses the
// dispatcher. The next one must admit what is left for the nodes that turn to it, and no more.
func TestUseOfALimitOutlivesItsDispatcher(t *testing.T) {
	runInBubble(t, func(t *testing.T, ctx context.Context) {
		f := newFleet(ctx, 4, 50)
		f.keepLimits()
		f.setLimit("one", tenant.Limit{PerSecond: 0.1, Burst: 20})
		names := []string{"n0", "n1", "n2", "n3"}
		for _, node := range f.nodes {
			node.setCandidates(names...)
		}
		names = grant.Rank(grant.Lane{Pool: "p", Parts: 1}, f.nodes["n0"].currentCandidates())
		time.Sleep(300 * time.Second) // the bucket fills
		asking := f.nodes[names[3]]
		admit := func(count int) (admitted int) {
			for i := range count {
				_, err := asking.Acquire(ctx, tenantRequest("one", time.Second))
				if overLimit := (*OverLimitError)(nil); err != nil && !errors.As(err, &overLimit) {
					t.Errorf("request %d: %v", i, err)
				}
				if err == nil {
					admitted++
				}
			}
			return admitted
		}
		if got := admit(10); got != 10 {
			t.Fatalf("%d of 10 requests within the burst were admitted", got)
		}
		time.Sleep(200 * time.Millisecond)
		f.setIsolated(names[0], true)
		if got := admit(20); got != 7 {
			t.Errorf("the next dispatcher admitted %d requests, want three quarters of the 10 that are left, for three of four nodes", got)
		}
	})
}

// TestLimitIsNotRefilledWhenAnotherPoolCountsIt has a tenant use its burst, and then a configuration
// that makes another pool the busiest one, whose dispatcher counts the tenant from then on.
func TestLimitIsNotRefilledWhenAnotherPoolCountsIt(t *testing.T) {
	runInBubble(t, func(t *testing.T, ctx context.Context) {
		f := newFleet(ctx, 4, 50)
		f.keepLimits()
		limit := tenant.Limit{PerSecond: 0.1, Burst: 20}
		f.setLimit("one", limit)
		for _, node := range f.nodes {
			node.setCandidates("n0", "n1", "n2", "n3")
		}
		time.Sleep(300 * time.Second) // the bucket fills
		admit := func() (admitted int) {
			for range 20 {
				if decision, err := f.nodes["n3"].Acquire(ctx, tenantRequest("one", time.Second)); err == nil {
					decision.Slot.End(enginechoice.Succeeded, false)
					admitted++
				}
			}
			return admitted
		}
		if got := admit(); got != 20 {
			t.Fatalf("%d of 20 requests within the burst were admitted", got)
		}
		directory, _ := tenant.NewDirectory([]tenant.Definition{{Tenant: tenant.Tenant{Name: "one", Limit: limit}}})
		table := passroute.NewTable(2, []passroute.Route{{Name: "r", Targets: []passroute.Target{{Pool: "q", Weight: 1}}}}, nil, passroute.Limits{}, passroute.Tenants{Directory: directory})
		for _, node := range f.nodes {
			node.SetRoutes(table)
		}
		time.Sleep(3 * time.Second)
		if got := admit(); got > 1 {
			t.Errorf("%d more requests were admitted by the dispatcher of the other pool", got)
		}
	})
}

// TestOverloadRefusalCostsNoToken refuses requests for overload, and others not, while another pool's
// dispatcher counts their tenant. The tenant's burst is two requests.
func TestOverloadRefusalCostsNoToken(t *testing.T) {
	for _, test := range []struct {
		name     string
		answer   verdict
		admitted int
	}{
		{"overloaded", verdict{overloaded: &OverloadedError{}}, 6},
		{"served alone", verdict{noDispatcher: true}, 2},
	} {
		runInBubble(t, func(t *testing.T, ctx context.Context) {
			f := newFleet(ctx, 2, 1)
			directory, _ := tenant.NewDirectory([]tenant.Definition{{Tenant: tenant.Tenant{Name: "one", Limit: tenant.Limit{PerSecond: 0.01, Burst: 2}}}})
			table := passroute.NewTable(1, []passroute.Route{{Name: "r", Targets: []passroute.Target{{Pool: "q", Weight: 1}}}}, nil, passroute.Limits{}, passroute.Tenants{Directory: directory})
			for _, node := range f.nodes {
				node.SetRoutes(table)
			}
			time.Sleep(300 * time.Second) // the bucket fills
			node := f.nodes["n1"]
			<-node.acquire(ctx)
			<-node.acquire(ctx) // the engine is full, so that the requests wait
			admitted := 0
			for range 6 {
				ended := make(chan error, 1)
				go func() {
					_, err := node.Acquire(ctx, tenantRequest("one", time.Second))
					ended <- err
				}()
				time.Sleep(50 * time.Millisecond)
				node.mu.Lock()
				waiting := slices.Collect(maps.Keys(node.waiters))
				node.mu.Unlock()
				for _, id := range waiting {
					node.deliverVerdict(id, test.answer)
				}
				if overLimit := (*OverLimitError)(nil); !errors.As(<-ended, &overLimit) {
					admitted++
				}
				time.Sleep(50 * time.Millisecond)
			}
			if admitted != test.admitted {
				t.Errorf("%s: %d of 6 requests were admitted, want %d", test.name, admitted, test.admitted)
			}
		})
	}
}

// TestFirstEnginesDelayNoUnusedTime learns the limits before the engines, whose number decides how
// many lanes there are. Only a later change of the lanes delays the unused time.
func TestFirstEnginesDelayNoUnusedTime(t *testing.T) {
	runInBubble(t, func(t *testing.T, _ context.Context) {
		service := New(Config{Limits: DefaultLimitsConfig()}, Dependencies{})
		started := service.unusedSince
		directory, _ := tenant.NewDirectory([]tenant.Definition{{Tenant: tenant.Tenant{Name: "one", Limit: tenant.Limit{PerSecond: 10, Burst: 10}}}})
		table := passroute.NewTable(1, []passroute.Route{{Name: "r", Targets: []passroute.Target{{Pool: "p", Weight: 1}}}}, nil, passroute.Limits{}, passroute.Tenants{Directory: directory})
		for _, test := range []struct {
			slots   int
			delayed bool
		}{{0, false}, {100_000, false}, {200_000, true}} {
			time.Sleep(time.Second)
			if test.slots > 0 {
				service.engines.slotsByPool["p"] = test.slots
			}
			service.SetRoutes(table)
			if delayed := service.unusedSince != started; delayed != test.delayed {
				t.Errorf("%d slots: the unused time begins at %v, that of the start is %v", test.slots, service.unusedSince, started)
			}
		}
	})
}
