package replicas

import (
	"testing"
	"time"

	"go.uber.org/zap"

	"ringstream.example/ringstream/internal/suspension"
	"ringstream.example/ringstream/internal/suspension/suspensiontest"
)

// A node that chose its source asked for suspensions while it held its lock. The asking corrects all
// beliefs, this one's under the same lock: a suspension that fell into the search stopped the node's
// reading for good. What is known of the clock of a source that was found before is forgotten.
func TestSuspensionDuringTheSearchForASource(t *testing.T) {
	clock := &suspensiontest.Clock{}
	service := New(DefaultConfig(), Dependencies{Logger: zap.NewNop(), Name: "node", Life: "node/1", Zone: "z", Address: "node"})
	service.WatchBy(suspension.NewWatch(clock))
	found := service.newSource("holder")
	found.clock.Observe(time.Now(), time.Minute)
	clock.Suspend(time.Minute)
	entered := make(chan struct{})
	go func() {
		service.enter(following, found)
		close(entered)
	}()
	select {
	case <-entered:
	case <-time.After(10 * time.Second):
		t.Fatal("the node does not get over the suspension")
	}
	if sent := time.Now(); !found.clock.MadeAt(sent, sent.Add(time.Hour), time.Minute).Equal(sent) {
		t.Error("the source's clock from before the suspension is used")
	}
}
