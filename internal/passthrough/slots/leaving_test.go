package slots

import (
	"context"
	"testing"
	"time"

	"ringstream.example/ringstream/internal/core/tenant"
)

// TestNodesThatLeaveShareTheLimit guards against a leaving node that is not counted among the
// nodes that share a limit, although it still serves open connections through a dispatcher. Two
// dispatchers then each let through up to the whole limit: while four nodes were stopped in turn,
// a tenant with 20 requests a second and a burst of 10 ran 164 to 195 requests in 5 s where 141
// were allowed.
func TestNodesThatLeaveShareTheLimit(t *testing.T) {
	runInBubble(t, func(t *testing.T, ctx context.Context) {
		const duration = 5 * time.Second
		limit := tenant.Limit{PerSecond: 20, Burst: 10}
		f := newFleet(ctx, 4, 20)
		for _, leaving := range []string{"n0", "n2"} { // neither knows that the other is leaving
			f.nodes[leaving].setCandidates("n0", "n2")
		}
		for _, staying := range []string{"n1", "n3"} {
			f.nodes[staying].setCandidates("n1", "n3")
		}
		f.setLimit("one", limit)
		margin := f.nodes["n0"].config.Limits.margin()
		allowed := duration.Seconds()*limit.PerSecond + limit.Burst
		allowed += allowed*margin.Part + margin.Requests
		if granted := f.runLoad(ctx, t, "one", duration); float64(granted) > allowed {
			t.Errorf("%d requests got a slot in %v, allowed are %v", granted, duration, allowed)
		}
	})
}

// TestLeavingNodeUsesTheOnlyOtherNodeAsDispatcher guards against a leaving node that makes itself the
// dispatcher while one other node is at work. The candidate list without the leaving node had one
// entry, like that of a node that knows only itself, so the node asked a seed that had stopped.
// Both nodes then counted requests of all tenants for 0.9 s.
func TestLeavingNodeUsesTheOnlyOtherNodeAsDispatcher(t *testing.T) {
	runInBubble(t, func(t *testing.T, ctx context.Context) {
		f := newFleet(ctx, 3, 2)
		f.setIsolated("n0", true) // the seed
		f.nodes["n1"].setCandidates("n1")
		f.nodes["n2"].setCandidates("n1")
		time.Sleep(refreshInterval)
		if got := <-f.nodes["n2"].acquire(ctx); got.Source != ByDispatcher || got.From != "n1" {
			t.Errorf("got %+v", got)
		}
	})
}
