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

// A feed that told nothing made live nodes look dead: a sign of another that was told up to a heartbeat
// before this node's own last one was DeadAfter old while the own one still counted (3 of 6
// phases, 1.7 to 2.1 s after the feed had fallen silent). Silence is counted up to the last sign told.
func TestSilenceOfAFeedIsNobodysSilence(t *testing.T) {
	service := newTestService(&takingStore{})
	service.started = time.Now().Add(-time.Hour)
	service.follower = listedFollower(t)
	now := time.Now()
	service.signTaken = now
	for silent := time.Duration(0); silent < 3*service.config.Heartbeat; silent += service.config.Heartbeat / 10 {
		for before := time.Duration(0); before <= service.config.Heartbeat; before += service.config.Heartbeat / 10 {
			own := now.Add(-silent)
			service.view.nodes[service.Self] = &nodeView{sign: nodeSign{Name: service.Name}, heard: own}
			service.view.nodes["n2/life"] = &nodeView{sign: nodeSign{Name: "n2"}, heard: own.Add(-before)}
			if seen := service.lookAtNodes(now); !seen.live["n2/life"] {
				t.Errorf("silent for %v, the other's sign %v before: taken for dead", silent, before)
			}
		}
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
	// A listing is taken before the moment that it confirms is known: without that, nobody is
	// judged (two of 300 runs).
	for health := follower.Health(); !health.Listed || health.AsOf.IsZero(); health = follower.Health() {
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
