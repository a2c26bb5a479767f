package grant

import (
	"maps"
	"slices"
	"testing"
	"time"
)

// onlineGrantTime is how long a dispatcher has for a request whose engine is free.
const onlineGrantTime = 50 * time.Millisecond

// onlineGrants returns the requests of one node that a dispatcher of two engines grants in onlineGrantTime. The
// second engine has twice the memory and no free slot.
func onlineGrants(t *testing.T, memory int, bounded bool, asks ...Ask) []uint64 {
	t.Helper()
	engines := sizedEntries(2, memory)
	engines[1].Entry.MemoryTokens = 2 * memory
	d := NewDispatcher(DefaultDispatcherConfig(), lane, "n0", start)
	if bounded {
		d.UsePolicies(Policies{Overload: keepAll{&refuseLast{}}})
	}
	d.SetEngines(engines, start)
	var held []Held
	for id := range uint64(slots) {
		held = append(held, Held{ID: 1000 + id, Engine: EngineHash(engines[1].Entry.Incarnation())})
	}
	d.ApplyState("n1", State{Life: 1, Sequence: 1, Held: held, Waiting: asks}, start)
	granted := make(map[uint64]bool)
	for at := time.Duration(0); at <= onlineGrantTime; at += 10 * time.Millisecond {
		d.Tick(start.Add(at))
		for _, grant := range d.Replies()["n1"].Grants {
			granted[grant.ID] = true
		}
	}
	return slices.Sorted(maps.Keys(granted))
}

// Guards against online requests for the only engine that can hold them, or for none, that keep free slots at
// the others from the requests behind them.
func TestOnlineRequestsForFullEnginesHoldUpNoOther(t *testing.T) {
	for name, promptTokens := range map[string]int{"one engine can hold them": engineMemory + 1, "no engine can": 2*engineMemory + 1} {
		for _, bounded := range []bool{false, true} {
			var asks []Ask
			for id := range uint64(2 * maxNoRoom) {
				asks = append(asks, Ask{ID: id, OwnTokens: promptTokens, DueIn: time.Second})
			}
			asks = append(asks, Ask{ID: 100, OwnTokens: 10, DueIn: 2 * time.Second})
			if granted := onlineGrants(t, engineMemory, bounded, asks...); !slices.Equal(granted, []uint64{100}) {
				t.Errorf("%s, bounded %t: granted %v, want only 100", name, bounded, granted)
			}
		}
	}
}

// Guards against requests that wait for a full engine which has their prompt cached, and keep free slots at
// others from the requests behind them.
func TestRequestsThatPreferAFullEngineHoldUpNoOther(t *testing.T) {
	for _, bounded := range []bool{false, true} {
		for _, waiting := range []uint64{1, 4 * maxNoRoom} {
			var asks []Ask
			for id := range waiting {
				asks = append(asks, Ask{ID: id, OwnTokens: 50 * engineMemory, Former: EngineHash(entries(2)[1].Entry.Incarnation()), DueIn: time.Second})
			}
			asks = append(asks, Ask{ID: 100, OwnTokens: 10, DueIn: 2 * time.Second})
			if granted := onlineGrants(t, 100*engineMemory, bounded, asks...); !slices.Contains(granted, 100) {
				t.Errorf("%d requests, bounded %t: granted %v, want 100 among them", waiting, bounded, granted)
			}
		}
	}
}
