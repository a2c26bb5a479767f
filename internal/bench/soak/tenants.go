package soak

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"ringstream.example/ringstream/internal/wait"
	"ringstream.example/ringstream/platform/platformtest"
)

// tenantKinds lists the troubles of keys and limits. Their draws are their own, as those of
// seriesKinds.
func tenantKinds() []fault {
	return []fault{
		{"keys_rotated", 2, (*soak).rotateKeys},
		{"limit_pressed", 1, (*soak).pressLimit},
	}
}

// tenantStream tells the draws of the tenants' troubles from others.
const tenantStream = 1 << 43

// strikeTenants strikes until the time is up, and returns when all is over.
func (s *soak) strikeTenants(ctx context.Context) {
	s.strikeBeside(ctx, tenantStream, tenantKinds(), 2*time.Second, 5*time.Second)
}

// rotateKeys has the operator add a key and withdraw the oldest one, once or twice.
func (s *soak) rotateKeys(ctx context.Context, random *rand.Rand) {
	for range 1 + random.IntN(2) {
		s.keys.rotate(time.Now())
		s.writeVersion()
		wait.For(ctx, between(random, 5*time.Millisecond, time.Second))
	}
}

// pressLimit sends a limited tenant's requests at several times its rate, to any nodes.
func (s *soak) pressLimit(ctx context.Context, random *rand.Rand) {
	until := time.Now().Add(between(random, 2*time.Second, 7*time.Second))
	var calls sync.WaitGroup
	for time.Now().Before(until) && wait.For(ctx, between(random, time.Millisecond, 20*time.Millisecond)) {
		node := s.anyNode(random)
		calls.Go(func() { s.sendKeyed(ctx, node, pressedTenant, pressedKey) })
	}
	calls.Wait()
}

const keyedPause = 40 * time.Millisecond

// callWithKeys sends requests of the rotated tenant, under keys that are held and others.
func (s *soak) callWithKeys(ctx context.Context, random *rand.Rand) {
	for wait.For(ctx, keyedPause) {
		node := s.anyNode(random)
		s.sendKeyed(ctx, node, rotatedTenant, s.keys.draw(random))
	}
}

// sendKeyed sends one request under a key, and has it judged.
func (s *soak) sendKeyed(ctx context.Context, node *nodeProcess, tenant, key string) {
	id := s.ids.next("k")
	before := node.condition()
	sent := time.Now()
	// A caller outlives the soak's end: what it asked is judged too.
	reply := platformtest.Send(context.WithoutCancel(ctx), platformtest.Call{
		Node: node.link.address(), Method: http.MethodPost, Path: "/" + platformtest.RouteKeyed + "/x", ID: id, Key: key,
		Body: "prompt of " + id, Deadline: onlineDeadline,
	})
	s.judge.answeredKeyed(keyedRequest{
		requestRecord: requestRecord{id: id, route: platformtest.RouteKeyed, reply: reply},
		node:          node.name, tenant: tenant, key: key, sent: sent, answered: time.Now(),
		inTouch: s.inTouchThroughout(node, before, sent),
	})
}
