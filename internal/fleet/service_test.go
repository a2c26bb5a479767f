package fleet

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"ringstream.example/ringstream/internal/backend"
	"ringstream.example/ringstream/internal/core/identity"
	"ringstream.example/ringstream/internal/core/membership"
	"ringstream.example/ringstream/internal/peer/peertest"
)

// countingEngine counts the load reports that it is asked for.
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

// countingPlatform is a machine list and its engines.
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

// A node that starts knows only itself, takes every engine into its subset and
// plans their polls minutes ahead; once it knows the others, the engines that
// it keeps are asked at the pace of the smaller subset.
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
				t.Fatalf("engine %s of a subset of %d was not asked for its load for 10 s", id, len(subset))
			}
		}
		cancel()
		synctest.Wait()
	})
}
