package edge

import (
	"context"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"ringstream.example/ringstream/internal/core/passroute"
	"ringstream.example/ringstream/internal/passthrough"
	"ringstream.example/ringstream/internal/peer/sharing"
	"ringstream.example/ringstream/internal/suspension/suspensiontest"
)

// oneTable is a platform whose store has told one configuration and then says nothing.
type oneTable struct {
	passthrough.Documents
	passthrough.Rows
}

// Routes implements passthrough.Documents.
func (oneTable) Routes([]byte) (*passroute.Table, error) {
	return passroute.NewTable(1, nil, nil, passroute.Limits{}, passroute.Tenants{}), nil
}

// Places implements passthrough.Documents.
func (oneTable) Places() passthrough.Places {
	return passthrough.Places{RoutesTable: "routes", RoutesKey: "routes", EnginesTable: "engines"}
}

// List implements passthrough.Rows.
func (oneTable) List(_ context.Context, table, _, _, _ string, _ int) (passthrough.Snapshot, error) {
	return passthrough.Snapshot{Version: 1, Rows: []passthrough.Row{{Table: table, Key: table, Version: 1}}}, nil
}

// Feed implements passthrough.Rows.
func (oneTable) Feed(ctx context.Context, _ string, _ int64, _ time.Duration) (passthrough.Snapshot, error) {
	<-ctx.Done()
	return passthrough.Snapshot{}, passthrough.ErrNothingDone
}

// newSharer makes a node that has heard the store once, on a machine that a clock suspends.
func newSharer(t *testing.T) (*sharer, *suspensiontest.Clock) {
	t.Helper()
	clock := &suspensiontest.Clock{}
	node := New(DefaultConfig(), Identity{Name: "n"}, Platform{Documents: oneTable{}, Rows: oneTable{}, Clock: clock}, zap.NewNop())
	ctx, stop := context.WithCancel(context.Background())
	var following sync.WaitGroup
	following.Go(func() { _ = node.routesFollower.Run(ctx) })
	t.Cleanup(following.Wait)
	t.Cleanup(stop)
	for node.RoutesVersion() == 0 || !node.routesFollower.Health().Listed {
		time.Sleep(time.Millisecond)
	}
	return &sharer{node: node}, clock
}

// TestNodeThatWakesTellsItsAgeWithTheSuspension: a node that had just woken from a suspension
// was asked before it had looked at its clocks, up to 0.1 s after it woke. It told the age of
// its word of the store without the suspension, so that nodes which did not hear the store
// themselves took routes of any age for fresh.
func TestNodeThatWakesTellsItsAgeWithTheSuspension(t *testing.T) {
	answerer, clock := newSharer(t)
	clock.Suspend(time.Minute)
	if got := answerer.Answer(sharing.Question{}); got.Age < time.Minute || got.RoutesVersion != 1 {
		t.Errorf("got version %d, age %v", got.RoutesVersion, got.Age)
	}
}

// TestPeersWordCountsFromTheQuestion: what a peer knew when it was asked may have changed
// while its answer was under way.
func TestPeersWordCountsFromTheQuestion(t *testing.T) {
	asker, clock := newSharer(t)
	clock.Suspend(time.Minute)
	asked := time.Now().Add(-300 * time.Millisecond)
	asker.Learn(sharing.Documents{RoutesVersion: 1, Age: time.Second, Stale: true}, "peer", asked)
	if age := asker.ageOfRoutes(); age < time.Minute {
		t.Errorf("after an answer across a suspension the routes are %v old", age)
	}
	asker.Learn(sharing.Documents{RoutesVersion: 1, Age: time.Second}, "peer", asked)
	if age := asker.ageOfRoutes(); age < 1300*time.Millisecond || age > 30*time.Second {
		t.Errorf("the routes are %v old, want 1.3 s", age)
	}
}

// ageOfRoutes looks at the clocks first, as who judges a request does.
func (s *sharer) ageOfRoutes() time.Duration {
	s.node.watch.Look()
	return s.node.RoutesAge()
}
