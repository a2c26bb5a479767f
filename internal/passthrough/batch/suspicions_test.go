package batch

import (
	"context"
	"slices"
	"testing"
	"time"

	"ringstream.example/ringstream/internal/core/liveness"
	"ringstream.example/ringstream/internal/passthrough"
)

// newWatchingService returns the service of the node n1/life, with other nodes of which those that
// refute suspicions are named.
func newWatchingService(store passthrough.Rows, refutes map[string]bool) *Service {
	service := newTestService(store)
	service.Peer = "127.0.0.1:1"
	service.UseTransport(noTransport{})
	members := []string{service.Self}
	for id, refutes := range refutes {
		service.view.nodes[id] = &nodeView{heartbeat: heartbeatRow{Name: id, Started: 1, Peer: "127.0.0.1:2", Watched: true, Refutes: refutes}, version: 1, changedAt: time.Now()}
		members = append(members, id)
	}
	service.nodeLiveness.detector.SetMembers(members, time.Now())
	return service
}

// Guards against the removal of live nodes of an earlier build, which do not refute suspicions.
func TestNodesThatDoNotRefuteAreNotSuspected(t *testing.T) {
	service := newWatchingService(&acceptingStore{}, map[string]bool{"new/life": true, "former/life": false})
	service.suspect(t.Context(), []string{"new/life", "former/life", "gone/life"})
	waitFor(t, func() bool {
		service.nodeLiveness.mu.Lock()
		defer service.nodeLiveness.mu.Unlock()
		return !service.nodeLiveness.suspecting
	})
	if suspected := service.nodeLiveness.suspected; len(suspected) != 1 || suspected["new/life"] == 0 {
		t.Errorf("got %v suspected, want new/life only", suspected)
	}
}

// Guards against the removal of a node that has written its heartbeat row since it was suspected.
func TestRefutedSuspicionIsDropped(t *testing.T) {
	service := newWatchingService(&acceptingStore{}, map[string]bool{"n2/life": true})
	service.writeSuspicion(t.Context(), []string{"n2/life"}, nil)
	now := time.Now()
	service.recordRefutations(now)
	if len(service.nodeLiveness.suspected) != 1 {
		t.Fatal("the suspicion was dropped before the node refuted it")
	}
	service.view.nodes["n2/life"].version = service.nodeLiveness.suspected["n2/life"] + 1
	service.view.nodes["n2/life"].changedAt = now
	service.recordRefutations(now)
	if len(service.nodeLiveness.suspected) > 0 {
		t.Error("the suspicion was kept after the node had refuted it")
	}
	late := now.Add(service.config.liveness().RefuteTimeout)
	service.nodeLiveness.detector.RecordContact(late)
	if dead := service.nodeLiveness.detector.Tick(late).Dead; len(dead) > 0 {
		t.Errorf("%v is presumed dead", dead)
	}
}

// Guards against the removal of a live node that has not read the suspicion before the next one replaces it.
func TestNextSuspicionNamesTheFormerNodes(t *testing.T) {
	store := &recordingStore{}
	service := newWatchingService(store, map[string]bool{"n2/life": true, "n3/life": true})
	for _, id := range []string{"n2/life", "n3/life"} {
		service.suspect(t.Context(), []string{id})
		waitFor(t, func() bool {
			service.nodeLiveness.mu.Lock()
			defer service.nodeLiveness.mu.Unlock()
			return service.nodeLiveness.suspected[id] != 0
		})
	}
	last, err := decodeSuspicion(store.last.Put[0].Value)
	if err != nil || !slices.Equal(last.Nodes, []string{"n2/life", "n3/life"}) {
		t.Errorf("the last row names %v, %v; want both nodes", last.Nodes, err)
	}
}

// recordingStore accepts all transactions and keeps the last one.
type recordingStore struct {
	acceptingStore
	last passthrough.Transaction
}

// Commit implements passthrough.Rows.
func (s *recordingStore) Commit(ctx context.Context, transaction passthrough.Transaction) (passthrough.CommitResult, error) {
	s.last = transaction
	return s.acceptingStore.Commit(ctx, transaction)
}

// Guards against a node that writes its heartbeat row again and again until the feed returns the first
// one.
func TestSuspicionIsRefutedOnce(t *testing.T) {
	store := &acceptingStore{}
	store.version.Store(10)
	service := newTestService(store)
	service.heartbeatVersion = 5
	service.view.Learn(passthrough.Row{Table: tableJobs, Part: partSuspicions, Key: suspicionPrefix + "3", Version: 9, Value: []byte(`{"by":"n2/life","nodes":["n1/life"]}`)})
	if !service.isSuspected() {
		t.Fatal("the node does not see that it is suspected")
	}
	if !service.writeHeartbeat(t.Context(), heartbeatRow{Name: "n1", Started: 1}) || service.isSuspected() {
		t.Error("the node has to refute the suspicion again after it has written its heartbeat row")
	}
}

// A ping is answered, so that a node which is watched by nobody alive is known to be alive.
func TestPingIsAnswered(t *testing.T) {
	answers := make(chan liveness.Message, 1)
	service := newTestService(&acceptingStore{})
	service.UseTransport(messageTransport(answers))
	service.HandleLiveness("127.0.0.1:2", liveness.Message{Kind: liveness.Question, From: "n2/life", Node: service.Self})
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	select {
	case answer := <-answers:
		if answer.Kind != liveness.Voucher || answer.Node != service.Self || answer.Ago != 0 {
			t.Errorf("got %+v", answer)
		}
	case <-ctx.Done():
		t.Error("the ping was not answered")
	}
}

// messageTransport passes messages to a channel.
type messageTransport chan liveness.Message

// SendLiveness implements LivenessTransport.
func (m messageTransport) SendLiveness(_ string, message liveness.Message) { m <- message }

// waitFor waits until a condition holds.
func waitFor(t *testing.T, holds func() bool) {
	t.Helper()
	for limit := time.Now().Add(10 * time.Second); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(limit) {
			t.Fatal("condition not met in time")
		}
	}
}
