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

// silentStore is a platform whose store lists one configuration and whose feeds deliver nothing.
type silentStore struct {
	passthrough.Documents
	passthrough.Rows
}

// Routes implements passthrough.Documents.
func (silentStore) Routes([]byte) (*passroute.Table, error) {
	return passroute.NewTable(1, nil, nil, passroute.Limits{}, passroute.Tenants{}), nil
}

// Places implements passthrough.Documents.
func (silentStore) Places() passthrough.Places {
	return passthrough.Places{RoutesTable: "routes", RoutesKey: "routes", EnginesTable: "engines"}
}

// List implements passthrough.Rows.
func (silentStore) List(_ context.Context, table, _, _, _ string, _ int) (passthrough.Snapshot, error) {
	return passthrough.Snapshot{Version: 1, Rows: []passthrough.Row{{Table: table, Key: table, Version: 1}}}, nil
}

// Feed implements passthrough.Rows.
func (silentStore) Feed(ctx context.Context, _ string, _ int64, _ time.Duration) (passthrough.Snapshot, error) {
	<-ctx.Done()
	return passthrough.Snapshot{}, passthrough.ErrNothingDone
}

// newSharer returns the sharer of a node that has listed the routes once, and the clock that suspends
// its machine.
func newSharer(t *testing.T) (*sharer, *suspensiontest.Clock) {
	t.Helper()
	clock := &suspensiontest.Clock{}
	node := New(DefaultConfig(), Identity{Name: "n"}, Platform{Documents: silentStore{}, Rows: silentStore{}, Clock: clock}, zap.NewNop())
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

// TestReportedAgeOfRoutesIncludesASuspension guards against an answer to a peer whose age leaves
// out a suspension. A node that was asked within 0.1 s after it woke had not checked its clocks yet.
// It reported the age of its routes without the suspension, so that nodes without access to the
// store accepted routes of any age as fresh.
func TestReportedAgeOfRoutesIncludesASuspension(t *testing.T) {
	responder, clock := newSharer(t)
	clock.Suspend(time.Minute)
	if got := responder.Answer(sharing.Question{}); got.Age < time.Minute || got.RoutesVersion != 1 {
		t.Errorf("answered version %d with age %v, want version 1 with at least 1 minute", got.RoutesVersion, got.Age)
	}
}

// TestPeerAnswerAgeCountsFromTheQuestion checks that the age of a peer's answer counts from the time of
// the question, since the peer's state may change while the answer is in flight. An answer across a
// suspension confirms nothing.
func TestPeerAnswerAgeCountsFromTheQuestion(t *testing.T) {
	asker, clock := newSharer(t)
	clock.Suspend(time.Minute)
	asked := time.Now().Add(-300 * time.Millisecond)
	asker.ApplyDocuments(sharing.Documents{RoutesVersion: 1, Age: time.Second, Stale: true}, "peer", asked)
	if age := asker.ageOfRoutes(); age < time.Minute {
		t.Errorf("routes are %v old after an answer across a suspension, want at least 1 minute", age)
	}
	asker.ApplyDocuments(sharing.Documents{RoutesVersion: 1, Age: time.Second}, "peer", asked)
	if age := asker.ageOfRoutes(); age < 1300*time.Millisecond || age > 30*time.Second {
		t.Errorf("routes are %v old, want 1.3 s to 30 s", age)
	}
}

// ageOfRoutes checks the clocks for suspensions first, as the ingress server does for each request.
func (s *sharer) ageOfRoutes() time.Duration {
	s.node.watch.Check()
	return s.node.RoutesAge()
}
