package batch

import (
	"context"
	"runtime"
	"testing"
	"time"

	"go.uber.org/zap"

	"ringstream.example/ringstream/internal/passthrough"
	"ringstream.example/ringstream/internal/passthrough/catalog"
)

// TestSlowStoreIsAskedLess follows a store that turns slow and well again: its
// calls are given more time, signs of life and saves are spread out, and a
// store that does not answer changes nothing.
func TestSlowStoreIsAskedLess(t *testing.T) {
	var pace storePace
	for range 20 {
		pace.observe(10 * time.Millisecond)
	}
	if pace.slowness() != 1 || pace.callTime() != callTime {
		t.Errorf("a calm store: slowness %v, calls %v", pace.slowness(), pace.callTime())
	}
	for range 20 {
		pace.observe(600 * time.Millisecond)
	}
	if pace.slowness() != slowMost || pace.callTime() != callMost {
		t.Errorf("a slow store: slowness %v, calls %v", pace.slowness(), pace.callTime())
	}
	for range 20 {
		pace.observe(10 * time.Millisecond)
	}
	if pace.slowness() != 1 || pace.callTime() != callTime {
		t.Errorf("well again: slowness %v, calls %v", pace.slowness(), pace.callTime())
	}
}

// TestNodeThatSaysItIsSlowIsNotTakenForDead has two nodes fall silent, one of
// which said that the store is slow where it is.
func TestNodeThatSaysItIsSlowIsNotTakenForDead(t *testing.T) {
	service := newTestService(&takingStore{})
	service.started = time.Now().Add(-time.Hour)
	service.follower = listedFollower(t)
	now := time.Now()
	service.signTaken = now
	for id, slow := range map[string]float64{"n2/life": 0, "n3/life": slowMost} {
		service.view.nodes[id] = &nodeView{sign: nodeSign{Name: id, Slowness: slow}, heard: now.Add(-service.config.DeadAfter - time.Second)}
	}
	if seen := service.lookAtNodes(now); !seen.live["n2/life"] {
		t.Error("a node that is not told its own signs judges others")
	}
	service.view.nodes[service.Self] = &nodeView{sign: nodeSign{Name: service.Name}, heard: now}
	seen := service.lookAtNodes(now)
	if seen.live["n2/life"] || !seen.live["n3/life"] {
		t.Errorf("live: %v", seen.live)
	}
	service.signTaken = now.Add(-service.config.DeadAfter)
	if seen := service.lookAtNodes(now); !seen.live["n2/life"] {
		t.Error("a node whose own signs are not taken judges others")
	}
	service.signTaken = now
	for _, id := range []string{"n2/life", "n3/life"} {
		service.view.nodes[id].heard = now.Add(-slowMost*service.config.DeadAfter - time.Second)
	}
	if seen := service.lookAtNodes(now); seen.live["n3/life"] {
		t.Error("a node that was slow is never taken for dead")
	}
}

// emptyStore has no rows and no changes.
type emptyStore struct{ passthrough.Rows }

// List implements passthrough.Rows.
func (emptyStore) List(context.Context, string, string, string, string, int) (passthrough.Snapshot, error) {
	return passthrough.Snapshot{Version: 1}, nil
}

// Feed implements passthrough.Rows.
func (emptyStore) Feed(ctx context.Context, _ string, since int64, _ time.Duration) (passthrough.Snapshot, error) {
	<-ctx.Done()
	return passthrough.Snapshot{Version: since}, nil
}

// listedFollower gives a follower that has just heard the store.
func listedFollower(t *testing.T) *catalog.Follower {
	t.Helper()
	listed := make(chan struct{})
	follower := catalog.NewFollower(catalog.DefaultFollowConfig(), emptyStore{}, "t", []string{""}, sinkFunc(func() { close(listed) }), zap.NewNop())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = follower.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	<-listed
	for !follower.Health().Listed {
		runtime.Gosched()
	}
	return follower
}

// sinkFunc hears of a listing.
type sinkFunc func()

// Replace implements catalog.Sink.
func (s sinkFunc) Replace([]passthrough.Row, int64) { s() }

// Change implements catalog.Sink.
func (sinkFunc) Change([]passthrough.Row) {}
