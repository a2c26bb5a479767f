package dispatch_test

import (
	"context"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/zap"

	"ringstream.example/ringstream/internal/backend"
	"ringstream.example/ringstream/internal/core/identity"
	"ringstream.example/ringstream/internal/core/membership"
	"ringstream.example/ringstream/internal/core/outcome"
	"ringstream.example/ringstream/internal/dispatch"
	"ringstream.example/ringstream/internal/fleet"
	"ringstream.example/ringstream/internal/peer/peertest"
)

const rarePool = "rare"

// cluster is several nodes, each with a subset of the engines. The rare pool has
// one engine, to which only some of the nodes dispatch.
type cluster struct {
	network  *peertest.Network
	services []*dispatch.Service
	fleets   []*fleet.Service
	rare     *fakeEngine
}

func runCluster(t *testing.T, test func(t *testing.T, n *cluster)) {
	t.Helper()
	const count, engines = 8, 80
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		n := &cluster{network: peertest.New(peertest.Options{}), rare: newFakeEngine("rare-engine")}
		all := []*fakeEngine{n.rare}
		for i := range engines {
			all = append(all, newFakeEngine("engine-"+strconv.Itoa(i)))
		}
		list := newFakeFleet(all...)
		list.machines[0].Pool = rarePool
		done := make(chan struct{}, 2*count)
		for i := range count {
			bus := n.network.Add(membership.Member{ID: identity.NodeID("node-" + strconv.Itoa(i)), Zone: "zone-a", Region: "region"})
			config := fleet.DefaultConfig()
			config.PollWorkers = 2
			watch := fleet.New(config, list, list, bus, zap.NewNop(), nil)
			service := dispatch.New(dispatch.DefaultConfig(), watch, bus, nil, zap.NewNop(), nil)
			go func() { _ = watch.Run(ctx); done <- struct{}{} }()
			go func() { _ = service.Serve(ctx); done <- struct{}{} }()
			n.services, n.fleets = append(n.services, service), append(n.fleets, watch)
		}
		time.Sleep(5 * time.Second)
		test(t, n)
		cancel()
		for range 2 * count {
			<-done
		}
	})
}

// nodeWithoutRareEngine returns a node that does not dispatch to the rare engine.
func (n *cluster) nodeWithoutRareEngine(t *testing.T) *dispatch.Service {
	t.Helper()
	without := 0
	var found *dispatch.Service
	for i, watch := range n.fleets {
		if len(watch.Snapshot().Pool(rarePool)) == 0 {
			found = n.services[i]
			without++
		}
	}
	if without != len(n.fleets)-3 {
		t.Fatalf("%d of %d nodes do not dispatch to the rare engine, want all but 3", without, len(n.fleets))
	}
	return found
}

func rareRequest(id string, tokens int) dispatch.Request {
	rare := request(id, tokens)
	rare.Row.Pool = rarePool
	return rare
}

func TestRequestIsForwardedToANodeWithTheEngine(t *testing.T) {
	runCluster(t, func(t *testing.T, n *cluster) {
		for i, service := range n.services {
			rare := rareRequest("r"+strconv.Itoa(i), 6)
			var got []string
			end := service.Run(t.Context(), rare, collect(t, &got))
			if diff := cmp.Diff(answer(rare.Prompt, 6), got); end.Kind != outcome.Completed || diff != "" {
				t.Errorf("node %d: outcome %+v, answer (-want +got):\n%s", i, end, diff)
			}
		}
	})
}

func TestForwardedRequestIsCancelledWhenItsCallerGoes(t *testing.T) {
	runCluster(t, func(t *testing.T, n *cluster) {
		end := n.nodeWithoutRareEngine(t).Run(t.Context(), rareRequest("r", 100), func(token backend.Token) error {
			if token.Offset == 3 {
				return errSinkClosed
			}
			return nil
		})
		time.Sleep(time.Second)
		if end.Kind != outcome.Cancelled || n.rare.cancels() != 1 {
			t.Errorf("outcome %v, %d cancels on the engine; want cancelled and 1", end.Kind, n.rare.cancels())
		}
	})
}

func TestRefusalOfTheOtherNodeIsNotRun(t *testing.T) {
	runCluster(t, func(t *testing.T, n *cluster) {
		n.rare.set(func(f *fakeEngine) { f.refusal = f.fault(backend.CodeSaturated, backend.EffectNone) })
		end := n.nodeWithoutRareEngine(t).Run(t.Context(), rareRequest("r", 5), nil)
		if end.Kind != outcome.Refused || end.RetryAfter == 0 {
			t.Errorf("outcome %+v, want refused with a retry time", end)
		}
	})
}

// TestLossOfTheOtherNode kills the node that a request was forwarded to. The engine
// keeps running, but its node can no longer be queried. A repeatable request continues
// from its kept tokens. Any other request ends as unknown and is never sent again.
func TestLossOfTheOtherNode(t *testing.T) {
	for _, repeatable := range []bool{true, false} {
		t.Run(strconv.FormatBool(repeatable), func(t *testing.T) {
			runCluster(t, func(t *testing.T, n *cluster) {
				sender := n.nodeWithoutRareEngine(t)
				once := rareRequest("r", 100)
				once.Repeatable = repeatable
				var got []string
				sink := collect(t, &got)
				end := sender.Run(t.Context(), once, func(token backend.Token) error {
					if token.Offset == 5 {
						for i, watch := range n.fleets { // every node with online work on the engine, including the one that runs the request
							if own, _ := onlineOn(watch); own > 0 {
								n.network.Kill(identity.NodeID("node-" + strconv.Itoa(i)))
								n.network.SetState(identity.NodeID("node-"+strconv.Itoa(i)), membership.Dead)
							}
						}
					}
					return sink(token)
				})
				time.Sleep(5 * time.Second) // let the killed node's goroutines end their work
				if !repeatable {
					if end.Kind != outcome.Unknown || n.rare.sends() != 1 {
						t.Errorf("outcome %v after %d sends, want unknown after 1", end.Kind, n.rare.sends())
					}
					return
				}
				if diff := cmp.Diff(answer("r", 100), got); end.Kind != outcome.Completed || diff != "" {
					t.Errorf("outcome %+v, answer (-want +got):\n%s", end, diff)
				}
			})
		})
	}
}

func onlineOn(watch *fleet.Service) (online, batch int) {
	for _, engine := range watch.Snapshot().Pool(rarePool) {
		return engine.OwnSequences()
	}
	return 0, 0
}
