package soak

import (
	"context"
	"net/http"
	"testing"
	"time"

	"ringstream.example/ringstream/platform/platformtest"
)

// framedLink returns an engine behind a proxy whose answers end with their connections.
func framedLink(t *testing.T) *engineLink {
	t.Helper()
	engine := platformtest.NewEngine("e1", eventsPerAnswer)
	t.Cleanup(engine.Close)
	engine.Pace(20 * time.Millisecond)
	engine.Frame(func() platformtest.Framing { return platformtest.Framing{ByConnection: true, InParts: true} })
	link, err := newProxy(engine.Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(link.close)
	return &engineLink{Engine: engine, link: link}
}

// TestEngineEndsAsAProcessDoes guards against a stand-in that resets its connections, which a caller can tell
// from the end of an answer.
func TestEngineEndsAsAProcessDoes(t *testing.T) {
	for name, test := range map[string]struct {
		end   func(*engineLink)
		whole bool
	}{
		"ends":   {func(engine *engineLink) { engine.End() }, false},
		"leaves": {func(engine *engineLink) { _ = engine.Leave(context.Background()) }, true},
		"starts again in place": {func(engine *engineLink) {
			next := engine.Restart(1)
			t.Cleanup(next.Close)
		}, false},
	} {
		engine := framedLink(t)
		replies := make(chan platformtest.Reply, 1)
		go func() {
			replies <- platformtest.Send(context.Background(), platformtest.Call{Node: engine.link.address(), Method: http.MethodPost, Path: "/safe/x", ID: "r-1", Body: "x", Deadline: time.Minute})
		}()
		<-engine.Began()
		for engine.Runs()[0].Wrote < 3 { // the events before it have been sent
			time.Sleep(time.Millisecond)
		}
		engine.link.refuse()
		test.end(engine)
		reply := <-replies
		if reply.Err != nil || reply.Status != http.StatusOK || (reply.Body == platformtest.Stream("r-1", eventsPerAnswer)) != test.whole {
			t.Errorf("%s: status %d, error %v, %q; want an ordinary end, whole: %v", name, reply.Status, reply.Err, reply.Body, test.whole)
		}
		if again := platformtest.Send(context.Background(), platformtest.Call{Node: engine.link.address(), Method: http.MethodPost, Path: "/safe/x", ID: "r-2", Body: "x", Deadline: time.Second}); again.Err == nil {
			t.Errorf("%s: a connection after the end was served: %+v", name, again)
		}
	}
}
