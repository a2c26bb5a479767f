package loadsum

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"ringstream.example/ringstream/internal/core/enginechoice"
)

// Loads is work under way at engines, by EngineHash.
type Loads map[uint32]enginechoice.Counts

// EngineHash stands for an engine's id in what nodes tell each other.
func EngineHash(id string) uint32 { return uint32(xxhash.Sum64String(id)) } //nolint:gosec // the low half is meant

// NodeHash stands for a node's life.
func NodeHash(life string) uint32 { return uint32(xxhash.Sum64String(life)) } //nolint:gosec // the low half is meant

// Backlog is how many batch items wait at a node for an engine.
type Backlog struct {
	Node  uint32 // NodeHash of its life
	Items int
}

// Busiest gives the loads of so many engines at the most, those with the most
// requests: what is told of a large fleet stays small, and what matters in it
// is where not to send.
func (l Loads) Busiest(most int) Loads {
	if len(l) <= most {
		return l
	}
	engines := slices.SortedFunc(maps.Keys(l), func(a, b uint32) int {
		return cmp.Or(cmp.Compare(l[b].Online+l[b].Batch, l[a].Online+l[a].Batch), cmp.Compare(a, b))
	})
	busiest := make(Loads, most)
	for _, engine := range engines[:most] {
		busiest[engine] = l[engine]
	}
	return busiest
}

// Add adds other loads, or takes them away when sign is -1. Counts do not fall
// below zero.
func (l Loads) Add(other Loads, sign int) {
	for engine, counts := range other {
		sum := l[engine]
		sum.Online = max(sum.Online+sign*counts.Online, 0)
		sum.Batch = max(sum.Batch+sign*counts.Batch, 0)
		sum.PrefillTokens = max(sum.PrefillTokens+sign*counts.PrefillTokens, 0)
		sum.MemoryTokens = max(sum.MemoryTokens+sign*counts.MemoryTokens, 0)
		l[engine] = sum
	}
}
