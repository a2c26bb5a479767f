package slots

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"ringstream.example/ringstream/internal/core/enginechoice"
	"ringstream.example/ringstream/internal/core/grant"
	"ringstream.example/ringstream/internal/core/passroute"
)

// TestOverloadIsRefusedAcrossNodes fills the engines from one node until the dispatcher knows
// their rate, and then sends more than they can serve. Some requests must be refused at once with a
// time to come back that the client can use, and the metrics must tell.
func TestOverloadIsRefusedAcrossNodes(t *testing.T) {
	runInBubble(t, func(t *testing.T, ctx context.Context) {
		f := newFleet(ctx, 2, 10)
		registry := prometheus.NewRegistry()
		f.nodes["n0"].Metrics = NewMetrics(registry)
		for _, node := range f.nodes {
			node.config.Scheduling.RefuseOverload = true
		}
		node := f.nodes["n1"]
		const patience = 5 * time.Second
		ask := func(content uint64) error { // the first runs of a burst end one after the other
			now := time.Now()
			decision, err := node.Acquire(ctx, Request{
				Query: enginechoice.Query{Pool: "p"}, FirstTokenDeadline: now.Add(300 * time.Millisecond), PlacementDeadline: now.Add(time.Second),
				EndsAt: now.Add(patience), Content: content,
			})
			if err != nil {
				return err
			}
			time.Sleep(time.Duration(content%20+1) * 50 * time.Millisecond)
			decision.Slot.End(enginechoice.Succeeded, false)
			return nil
		}
		const requestsBefore = 80
		before := make(chan error, requestsBefore)
		for content := range uint64(requestsBefore) {
			go func() { before <- ask(1000 + content) }()
			time.Sleep(25 * time.Millisecond)
		}
		results, sent := make(chan error, 60), time.Now()
		for content := range uint64(60) {
			go func() {
				err := ask(content + 1)
				if overloaded := (*OverloadedError)(nil); errors.As(err, &overloaded) {
					if held := time.Since(sent); held > 20*time.Millisecond {
						t.Errorf("refused after %v, want 20ms", held)
					}
					if after := overloaded.Refusal.RetryAfter; after <= 0 || after > patience/3 || overloaded.Dispatcher != "n0" {
						t.Errorf("got %+v", overloaded)
					}
				}
				results <- err
			}()
		}
		served, refused := 0, 0
		for range 60 {
			if err := <-results; err == nil {
				served++
			} else {
				refused++
			}
		}
		if served < 3 || served > 12 {
			t.Errorf("%d requests were served and %d refused, want at most the 12 that 40 a second serve in 0.3 s, and the rest refused", served, refused)
		}
		time.Sleep(2 * time.Second) // until the runs have ended
		for range requestsBefore {
			if <-before != nil {
				refused++
			}
		}
		if counted := sumOf(t, registry, "ringstream_overload_refused_total"); int(counted) != refused {
			t.Errorf("the metrics count %v refusals, want %d", counted, refused)
		}
	})
}

// sumOf returns the sum of all counters of a name.
func sumOf(t *testing.T, registry *prometheus.Registry, name string) (sum float64) {
	t.Helper()
	families, err := registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	for _, family := range families {
		for _, metric := range family.GetMetric() {
			if family.GetName() == name {
				sum += metric.GetCounter().GetValue()
			}
		}
	}
	return sum
}

// TestSchedulingNeedsOneObjective gives a dispatcher routes with one objective and with two, and
// without the setting.
func TestSchedulingNeedsOneObjective(t *testing.T) {
	table := func(objectives ...time.Duration) *passroute.Table {
		var routes []passroute.Route
		for _, objective := range objectives {
			routes = append(routes, passroute.Route{Host: "h", PathPrefix: fmt.Sprintf("/%v/", objective), Kind: passroute.KindStream, Objective: objective, Targets: []passroute.Target{{Pool: "p", Weight: 1}}})
		}
		for _, kind := range []passroute.Kind{passroute.KindBatch, passroute.KindSafe} {
			routes = append(routes, passroute.Route{Host: "h", PathPrefix: "/" + kind.String() + "/", Kind: kind, Objective: time.Minute, Targets: []passroute.Target{{Pool: "p", Weight: 1}}})
		}
		return passroute.NewTable(1, routes, nil, passroute.Limits{}, passroute.Tenants{})
	}
	if policies := DefaultSchedulingConfig().policies(); policies != (grant.Policies{}) {
		t.Errorf("the default selects %+v", policies)
	}
	runInBubble(t, func(t *testing.T, ctx context.Context) {
		node := newFleet(ctx, 1, 1).nodes["n0"]
		lane := grant.Lane{Pool: "p", Parts: 1}
		for _, test := range []struct {
			setting, want bool
			routes        *passroute.Table
		}{
			{true, true, table(time.Second)},
			{true, false, table(time.Second, 2*time.Second)},
			{true, true, table(time.Second, time.Second)},
			{true, false, table(0)},
			{false, false, table(time.Second)},
		} {
			node.config.Scheduling.RefuseOverload, node.config.Scheduling.EngineSpeeds = test.setting, test.setting
			node.SetRoutes(test.routes)
			if got := node.LearnsSpeeds("p"); got != test.want {
				t.Errorf("%+v: learns speeds: %t", test, got)
			}
			node.mu.Lock()
			if got := node.dispatcherFor(lane, time.Now()).overload != nil; got != test.want {
				t.Errorf("%+v: got %t", test, got)
			}
			node.mu.Unlock()
		}
	})
}
