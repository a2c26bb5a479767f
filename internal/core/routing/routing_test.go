package routing_test

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"ringstream.example/ringstream/internal/core/identity"
	"ringstream.example/ringstream/internal/core/routing"
	_ "ringstream.example/ringstream/internal/seedtest" // the same values at every run
)

// referenceIndex is the reference model of PrefixIndex: a list of hashes in
// insertion order, and a set of slots for each hash.
type referenceIndex struct {
	capacity int
	order    []uint64
	holders  map[uint64]map[int]bool
	seen     map[int]uint64
}

func (n *referenceIndex) store(slot int, hash uint64) {
	if n.holders[hash] == nil {
		if len(n.order) == n.capacity {
			delete(n.holders, n.order[0])
			n.order = n.order[1:]
		}
		n.order = append(n.order, hash)
		n.holders[hash] = map[int]bool{}
	}
	n.holders[hash][slot] = true
}

func (n *referenceIndex) event(slot int, sequence, hash uint64, stored bool) {
	if sequence <= n.seen[slot] {
		return
	}
	if n.seen[slot] != 0 && sequence-n.seen[slot] > 64 {
		for _, holders := range n.holders {
			delete(holders, slot)
		}
	}
	n.seen[slot] = sequence
	if stored {
		n.store(slot, hash)
	} else {
		delete(n.holders[hash], slot)
	}
}

func (n *referenceIndex) blocks(slot int, prefix []uint64) int {
	for depth, hash := range prefix {
		if !n.holders[hash][slot] {
			return depth
		}
	}
	return len(prefix)
}

func TestPrefixIndexMatchesReferenceModel(t *testing.T) {
	const slots, hashes = 5, 12
	rapid.Check(t, func(t *rapid.T) {
		capacity := rapid.IntRange(1, 8).Draw(t, "capacity")
		index := routing.NewPrefixIndex(capacity)
		reference := &referenceIndex{capacity: capacity, holders: map[uint64]map[int]bool{}, seen: map[int]uint64{}}
		var sequences [slots]uint64
		candidates := make([]routing.Candidate, slots)
		for i := range candidates {
			candidates[i] = routing.Candidate{Slot: i}
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			slot := rapid.IntRange(0, slots-1).Draw(t, "slot")
			hash := uint64(rapid.IntRange(1, hashes).Draw(t, "hash")) //nolint:gosec // small and positive
			if rapid.Bool().Draw(t, "event") {
				gap := rapid.SampledFrom([]uint64{0, 1, 1, 1, 2, 64, 65, 200}).Draw(t, "gap")
				sequences[slot] += gap
				stored := rapid.Bool().Draw(t, "stored")
				index.Event(slot, sequences[slot], hash, stored)
				reference.event(slot, sequences[slot], hash, stored)
			} else {
				index.Expect(slot, []uint64{hash})
				reference.store(slot, hash)
			}
			prefix := make([]uint64, rapid.IntRange(0, 4).Draw(t, "length"))
			for i := range prefix {
				prefix[i] = uint64(rapid.IntRange(1, hashes).Draw(t, "block")) //nolint:gosec // small and positive
			}
			for i, got := range index.MatchAll(prefix, candidates) {
				if want := reference.blocks(i, prefix); got != want {
					t.Fatalf("slot %d matches %d blocks of %v, want %d", i, got, prefix, want)
				}
			}
			if index.Len() > capacity {
				t.Fatalf("%d hashes in an index with capacity %d", index.Len(), capacity)
			}
		}
	})
}

// TestInFlightMatchesReferenceModel compares the counts at an earlier time with
// the sum over a list of all changes.
func TestInFlightMatchesReferenceModel(t *testing.T) {
	type event struct {
		at    int
		class routing.Class
		delta int
	}
	base := time.Unix(1000, 0)
	rapid.Check(t, func(t *rapid.T) {
		var inFlight routing.InFlight
		var all []event
		now := 0
		for range rapid.IntRange(1, 200).Draw(t, "events") {
			now += rapid.IntRange(0, 3).Draw(t, "pause")
			next := event{now, routing.Class(rapid.IntRange(0, 1).Draw(t, "class")), rapid.SampledFrom([]int{1, -1}).Draw(t, "delta")} //nolint:gosec // 0 or 1
			all = append(all, next)
			inFlight.Add(base.Add(time.Duration(next.at)), next.class, next.delta)
		}
		when := rapid.IntRange(0, now+1).Draw(t, "when")
		var want [2]int
		for _, past := range all {
			if past.at <= when {
				want[past.class] += past.delta
			}
		}
		online, batch := inFlight.At(base.Add(time.Duration(when)))
		if online != want[routing.Online] || batch != want[routing.Batch] {
			t.Fatalf("at %d: %d online and %d batch, want %v", when, online, batch, want)
		}
	})
}

func drawCandidate(t *rapid.T, number int) routing.Candidate {
	models := []string{"m", "n"}
	return routing.Candidate{
		Engine: identity.EngineID(strconv.Itoa(number)), Slot: number,
		Distance:   routing.Distance(rapid.IntRange(0, 2).Draw(t, "distance")), //nolint:gosec // 0 to 2
		MaxRunning: rapid.IntRange(0, 8).Draw(t, "max"),
		Online:     rapid.IntRange(0, 8).Draw(t, "online"), Batch: rapid.IntRange(0, 8).Draw(t, "batch"),
		ExpectedOnline: rapid.IntRange(0, 8).Draw(t, "expected"), BatchAllowed: rapid.IntRange(0, 8).Draw(t, "allowed"), PackOrder: number,
		Leaving: rapid.IntRange(0, 4).Draw(t, "leaving") == 0, Ejected: rapid.IntRange(0, 4).Draw(t, "ejected") == 0,
		Probing: rapid.IntRange(0, 4).Draw(t, "probing") == 0, OwnInFlight: rapid.IntRange(0, 1).Draw(t, "own"),
		Variants: []routing.Variant{{Model: rapid.SampledFrom(models).Draw(t, "model"), Version: "1", Adapters: []string{"a"}}},
	}
}

// eligible is the reference model of the filters.
func eligible(request *routing.Request, c *routing.Candidate) bool {
	if c.Leaving || c.Ejected || (c.Probing && c.OwnInFlight > 0) || c.MaxRunning == 0 {
		return false
	}
	for _, tried := range request.Tried {
		if tried == c.Engine {
			return false
		}
	}
	variant := c.Variants[0]
	if variant.Model != request.Model || (request.Version != "" && request.Version != variant.Version) ||
		(request.Adapter != "" && request.Adapter != variant.Adapters[0]) {
		return false
	}
	if request.Class == routing.Online {
		return c.Online < c.MaxRunning
	}
	return c.Batch < c.BatchAllowed
}

// TestRouteChoosesOnlyEligibleEngines checks that an engine is chosen exactly if
// one is eligible, that the chosen one is eligible, and that the Cheapest picker
// finds the lowest total cost.
func TestRouteChoosesOnlyEligibleEngines(t *testing.T) {
	cheapest := routing.DefaultPolicy(0.75, 512)
	cheapest.Picker = routing.Cheapest{}
	policies := map[string]*routing.Policy{"default": routing.DefaultPolicy(0.75, 512), "cheapest": cheapest}
	var scratch routing.Scratch
	rapid.Check(t, func(t *rapid.T) {
		candidates := make([]routing.Candidate, rapid.IntRange(0, 6).Draw(t, "count"))
		for i := range candidates {
			candidates[i] = drawCandidate(t, i)
		}
		request := &routing.Request{
			Class:   routing.Class(rapid.IntRange(0, 1).Draw(t, "class")), //nolint:gosec // 0 or 1
			Model:   "m",
			Version: rapid.SampledFrom([]string{"", "1", "2"}).Draw(t, "version"), Adapter: rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "adapter"),
			Tried: []identity.EngineID{"1"},
		}
		random := rand.New(rand.NewPCG(1, rapid.Uint64().Draw(t, "seed"))) //nolint:gosec // a test's randomness
		for name, policy := range policies {
			decision := policy.Route(request, candidates, nil, random, &scratch)
			lowest, any := 0.0, false
			for i := range candidates {
				if !eligible(request, &candidates[i]) {
					continue
				}
				cost := totalCost(policy, request, &candidates[i])
				if !any || cost < lowest {
					lowest, any = cost, true
				}
			}
			if any != (decision.Reason == routing.Chosen) {
				t.Fatalf("%s: reason %v, but an engine is eligible: %v", name, decision.Reason, any)
			}
			if !any {
				continue
			}
			chosen := &candidates[decision.Index]
			if !eligible(request, chosen) {
				t.Fatalf("%s chose an ineligible engine: %+v", name, chosen)
			}
			if cost := totalCost(policy, request, chosen); name == "cheapest" && cost != lowest {
				t.Fatalf("cost %v, lowest is %v", cost, lowest)
			}
		}
	})
}

func totalCost(policy *routing.Policy, request *routing.Request, candidate *routing.Candidate) float64 {
	cost := 0.0
	for _, scorer := range policy.Scorers {
		cost += scorer.Cost(request, candidate, 0)
	}
	return cost
}

// decisionInput returns the input of a decision among count candidates, with a
// prefix of 16 blocks.
func decisionInput(count int) (*routing.Request, []routing.Candidate, *routing.PrefixIndex) {
	index := routing.NewPrefixIndex(32768)
	random := rand.New(rand.NewPCG(1, 2)) //nolint:gosec // a test's randomness
	candidates := make([]routing.Candidate, count)
	request := &routing.Request{Model: "m", Adapter: "a", Tried: []identity.EngineID{"none"}}
	for range 16 {
		request.Prefix = append(request.Prefix, random.Uint64())
	}
	for i := range candidates {
		candidates[i] = routing.Candidate{
			Engine: identity.EngineID(strconv.Itoa(i)), Slot: i, MaxRunning: 64, Online: random.IntN(60), Batch: random.IntN(60), Speed: 1,
			Distance: routing.Distance(i % 3), Variants: []routing.Variant{{Model: "other"}, {Model: "m", Adapters: []string{"b", "a"}}}, //nolint:gosec // 0 to 2
		}
		if i < routing.MaxSlots {
			index.Expect(i, request.Prefix[:random.IntN(len(request.Prefix))])
		}
	}
	return request, candidates, index
}

func TestRouteDoesNotAllocate(t *testing.T) {
	request, candidates, index := decisionInput(36)
	policy := routing.DefaultPolicy(0.75, 512)
	var scratch routing.Scratch
	random := rand.New(rand.NewPCG(1, 2)) //nolint:gosec // a test's randomness
	if allocations := testing.AllocsPerRun(100, func() { policy.Route(request, candidates, index, random, &scratch) }); allocations != 0 {
		t.Errorf("%v allocations per decision, want 0", allocations)
	}
}

func BenchmarkRoute(b *testing.B) {
	for _, count := range []int{10, 36, 100, 1000, 12000} {
		b.Run(strconv.Itoa(count), func(b *testing.B) {
			request, candidates, index := decisionInput(count)
			policy := routing.DefaultPolicy(0.75, 512)
			var scratch routing.Scratch
			random := rand.New(rand.NewPCG(1, 2)) //nolint:gosec // a test's randomness
			b.ReportAllocs()
			for b.Loop() {
				policy.Route(request, candidates, index, random, &scratch)
			}
		})
	}
}

// BenchmarkPrefixIndex fills an index of the default size. The bytes per operation
// are the memory that a node uses for prefix reuse.
func BenchmarkPrefixIndex(b *testing.B) {
	const capacity = 32768
	b.ReportAllocs()
	for b.Loop() {
		index := routing.NewPrefixIndex(capacity)
		for hash := range uint64(capacity) {
			index.Expect(int(hash%routing.MaxSlots), []uint64{hash * 0x9E3779B97F4A7C15})
		}
	}
}
