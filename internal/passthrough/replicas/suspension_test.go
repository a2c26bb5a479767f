package replicas

import (
	"testing"
	"time"

	"go.uber.org/zap"

	"ringstream.example/ringstream/internal/suspension"
	"ringstream.example/ringstream/internal/suspension/suspensiontest"
)

// TestSuspensionDuringTheSearchForASource guards against a deadlock. A node that chose its source
// asked for suspensions while it held its lock, and a detected suspension makes the service
// correct its state under the same lock. A suspension during the search then stopped the node's
// reading for good. The clock estimate of a source that was found before the suspension must be
// discarded.
func TestSuspensionDuringTheSearchForASource(t *testing.T) {
	clock := &suspensiontest.Clock{}
	service := New(DefaultConfig(), Dependencies{Logger: zap.NewNop(), Name: "node", Incarnation: "node/1", Zone: "z", Address: "node"})
	service.SetSuspensionWatch(suspension.NewWatch(clock))
	found := service.newSource("holder")
	found.clock.Observe(time.Now(), time.Minute)
	clock.Suspend(time.Minute)
	entered := make(chan struct{})
	go func() {
		service.setMode(following, found)
		close(entered)
	}()
	select {
	case <-entered:
	case <-time.After(10 * time.Second):
		t.Fatal("setMode did not return after a suspension")
	}
	if sent := time.Now(); !found.clock.EarliestAnswerTime(sent, sent.Add(time.Hour), time.Minute).Equal(sent) {
		t.Error("the source's clock estimate from before the suspension is still used")
	}
}
