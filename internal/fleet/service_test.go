package fleet

import (
	"context"
	"fmt"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"ringstream.example/ringstream/internal/backend"
	"ringstream.example/ringstream/internal/core/identity"
	"ringstream.example/ringstream/internal/core/membership"
	"ringstream.example/ringstream/internal/core/subset"
	"ringstream.example/ringstream/internal/peer/peertest"
)

// countingEngine counts the requests for its load report.
type countingEngine struct {
	backend.Engine
	polls atomic.Int64
}

func (e *countingEngine) Load(context.Context) (backend.EngineLoad, error) {
	e.polls.Add(1)
	return backend.EngineLoad{ReportedAt: time.Now(), MaxRunning: 1}, nil
}

func (e *countingEngine) CacheEvents(context.Context, uint64) ([]backend.CacheEvent, error) {
	return nil, nil
}

// countingPlatform is a fixed machine list with its engines.
type countingPlatform struct {
	machines []backend.Machine
	engines  map[string]*countingEngine
}

func (p *countingPlatform) Machines(_ context.Context, since uint64) (backend.MachineSnapshot, error) {
	if since == 1 {
		return backend.MachineSnapshot{Version: 1}, nil
	}
	return backend.MachineSnapshot{Version: 1, Machines: p.machines}, nil
}

func (p *countingPlatform) Engine(machine backend.Machine) backend.Engine {
	return p.engines[machine.ID]
}

// A node that starts knows only itself, so its subset holds every engine and
// their polls are scheduled minutes ahead. Once it knows the other nodes, the
// remaining engines must be polled at the rate of the smaller subset.
func TestPollsFollowTheSubsetWhenItShrinks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const engines, nodes = 6000, 170
		target := &countingPlatform{engines: map[string]*countingEngine{}}
		for i := range engines {
			id := fmt.Sprintf("engine-%d", i)
			target.machines = append(target.machines, backend.Machine{ID: id, Kind: backend.MachineEngine, Zone: "z", Region: "r", Pool: "p"})
			target.engines[id] = &countingEngine{}
		}
		network := peertest.New(peertest.Options{})
		bus := network.Add(membership.Member{ID: "node-0", Zone: "z", Region: "r"})
		service := New(DefaultConfig(), target, target, bus, zap.NewNop(), nil)
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = service.Run(ctx) }()
		time.Sleep(2 * time.Second)
		for i := 1; i < nodes; i++ {
			network.Add(membership.Member{ID: identity.NodeID(fmt.Sprintf("node-%d", i)), Zone: "z", Region: "r"})
		}
		time.Sleep(10 * time.Second)
		subset := service.Snapshot().Engines()
		before := map[identity.EngineID]int64{}
		for id := range subset {
			before[id] = target.engines[string(id)].polls.Load()
		}
		time.Sleep(10 * time.Second)
		for id := range subset {
			if target.engines[string(id)].polls.Load() == before[id] {
				t.Fatalf("engine %s of a subset of %d was not polled for 10 s", id, len(subset))
			}
		}
		cancel()
		synctest.Wait()
	})
}

// slowList is a machine list with a slow response.
type slowList struct {
	*countingPlatform
	delay time.Duration
}

func (l *slowList) Machines(ctx context.Context, since uint64) (backend.MachineSnapshot, error) {
	time.Sleep(l.delay)
	return l.countingPlatform.Machines(ctx, since)
}

// TestMemberChangesDuringSlowListReadAreApplied adds members while the list
// is read, so that the timer and the member change are pending together. Neither
// may be lost, whichever is received first. An earlier version lost the change
// when it received the timer first; TestPollsFollowTheSubsetWhenItShrinks failed
// once in CI for this reason.
func TestMemberChangesDuringSlowListReadAreApplied(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const engines, rounds = 400, 12
		target := &slowList{countingPlatform: &countingPlatform{engines: map[string]*countingEngine{}}}
		for i := range engines {
			id := fmt.Sprintf("engine-%d", i)
			target.machines = append(target.machines, backend.Machine{ID: id, Kind: backend.MachineEngine, Zone: "z", Region: "r", Pool: "p"})
			target.engines[id] = &countingEngine{}
		}
		config := DefaultConfig()
		target.delay = config.MachineListInterval * 3 / 2
		network := peertest.New(peertest.Options{})
		bus := network.Add(membership.Member{ID: "node-0", Zone: "z", Region: "r"})
		service := New(config, target, target, bus, zap.NewNop(), nil)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- service.Run(ctx) }()
		for round := range rounds {
			time.Sleep(target.delay * 5 / 2) // into the middle of a read
			for i := range 20 {
				network.Add(membership.Member{ID: identity.NodeID(fmt.Sprintf("node-%d-%d", round, i)), Zone: "z", Region: "r"})
			}
			time.Sleep(target.delay * 4)
			live := bus.View().Live()
			chooser := subset.NewChooser(live, engines)
			want := 0
			for id := range target.engines {
				if slices.Contains(chooser.Dispatchers(identity.EngineID(id), "z", "r"), "node-0") {
					want++
				}
			}
			if got := len(service.Snapshot().Engines()); got != want {
				t.Errorf("round %d: %d engines in the subset, want %d of %d nodes", round, got, want, len(live))
			}
		}
		cancel()
		<-done
	})
}
