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

// tenantKinds lists the faults that concern keys and limits. They are drawn from their own stream,
// like those of seriesKinds.
func tenantKinds() []fault {
	return []fault{
		{"keys_rotated", 2, (*soak).rotateKeys},
		{"limit_pressed", 1, (*soak).exceedLimit},
	}
}

// tenantStream is the random stream of the tenants' faults.
const tenantStream = 1 << 43

// injectTenantFaults injects tenants' faults until the time is up, and returns when all of them
// have ended.
func (s *soak) injectTenantFaults(ctx context.Context) {
	s.injectKinds(ctx, tenantStream, tenantKinds(), 2*time.Second, 5*time.Second)
}

// rotateKeys adds a key and withdraws the oldest one, once or twice, as an operator does.
func (s *soak) rotateKeys(ctx context.Context, random *rand.Rand) {
	for range 1 + random.IntN(2) {
		s.keys.rotate(time.Now())
		s.writeVersion()
		wait.For(ctx, randomDuration(random, 5*time.Millisecond, time.Second))
	}
}

// exceedLimit sends requests of the limited tenant at several times its rate to random nodes.
func (s *soak) exceedLimit(ctx context.Context, random *rand.Rand) {
	deadline := time.Now().Add(randomDuration(random, 2*time.Second, 7*time.Second))
	var calls sync.WaitGroup
	for time.Now().Before(deadline) && wait.For(ctx, randomDuration(random, time.Millisecond, 20*time.Millisecond)) {
		node := s.anyNode(random)
		calls.Go(func() { s.sendKeyed(ctx, node, pressedTenant, pressedKey) })
	}
	calls.Wait()
}

const keyedPause = 40 * time.Millisecond

// callWithKeys sends requests of rotatedTenant with valid and other keys.
func (s *soak) callWithKeys(ctx context.Context, random *rand.Rand) {
	for wait.For(ctx, keyedPause) {
		node := s.anyNode(random)
		s.sendKeyed(ctx, node, rotatedTenant, s.keys.draw(random))
	}
}

// sendKeyed sends one request with a key and passes the reply to the judge.
func (s *soak) sendKeyed(ctx context.Context, node *nodeProcess, tenant, key string) {
	id := s.ids.next("k")
	before := node.condition()
	sent := time.Now()
	// The call continues after the end of the soak, so that its outcome is judged too.
	reply := platformtest.Send(context.WithoutCancel(ctx), platformtest.Call{
		Node: node.callerLink.address(), Method: http.MethodPost, Path: "/" + platformtest.RouteKeyed + "/x", ID: id, Key: key,
		Body: "prompt of " + id, Deadline: onlineDeadline,
	})
	s.judge.addKeyedAnswer(keyedRequest{
		requestRecord: requestRecord{id: id, route: platformtest.RouteKeyed, reply: reply},
		node:          node.name, tenant: tenant, key: key, sent: sent, answered: time.Now(),
		undisturbed: s.undisturbedThroughout(node, before, sent),
	})
}
