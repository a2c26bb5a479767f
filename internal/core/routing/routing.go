// Package routing chooses the engine for one request: filters exclude engines
// that must not run it, scorers assign a cost to the others, and a picker chooses
// one of them. It does no I/O, reads no clock and allocates no memory for a
// decision.
//
// Decisions are based on hints: load reports that are already stale on arrival,
// and cache events that arrive late and with gaps. A wrong hint affects latency
// but not correctness, because the engine itself rejects what it cannot run.
package routing

import "ringstream.example/ringstream/internal/core/identity"

// Class is the scheduling class of a request.
type Class uint8

// The classes. Online work may preempt batch work.
const (
	Online Class = iota
	Batch
)

// Variant is a model version, with its adapters, that an engine has loaded.
type Variant struct {
	Model, Version string
	Adapters       []string
}

// Distance is how far an engine is from this node.
type Distance uint8

// The distances.
const (
	SameZone Distance = iota
	SameRegion
	OtherRegion
)

// Candidate is one engine as a decision sees it.
type Candidate struct {
	Engine   identity.EngineID
	Slot     int // the engine's slot in the prefix index; negative: none
	Distance Distance
	// PackOrder is the engine's position in an order that is the same on all nodes.
	// Packing fills engines in ascending order.
	PackOrder int
	Variants  []Variant
	// MaxRunning is the number of sequences that the engine runs concurrently;
	// zero: not yet known.
	MaxRunning int
	// Online and Batch are the numbers of sequences on the engine, including queued
	// ones: the reported values corrected by the requests that this node has sent
	// or seen end since the report.
	Online, Batch int
	// ExpectedOnline estimates Online under the assumption that every dispatcher of the
	// engine has sent as many requests as this node since the report.
	ExpectedOnline int
	// Prefill is the number of prompt tokens of online work that the engine is
	// expected to compute before the first token of a new request.
	Prefill int
	// BatchAllowed is the number of batch sequences that the engine may have now.
	BatchAllowed int
	// KVUsed is the used fraction of the KV cache memory, 0 to 1.
	KVUsed float64
	// Speed is the engine's relative speed; 1 is the reference engine.
	Speed float64
	// Leaving is true if the machine list or the engine itself announced its stop.
	Leaving bool
	// Ejected is true if the engine did not answer and no probe has succeeded since.
	Ejected bool
	// Probing is true if the engine is back after an ejection and gets one request
	// at a time.
	Probing bool
	// OwnInFlight is the number of this node's requests in flight on the engine.
	OwnInFlight int
}

// Request holds the properties of a request that a decision depends on.
type Request struct {
	Class                   Class
	Model, Version, Adapter string
	// PromptTokens is the approximate length of the prompt; zero: not known.
	PromptTokens int
	// Prefix is the chain of block hashes of the prompt.
	Prefix []uint64
	// Tried lists engines that must not be chosen again.
	Tried []identity.EngineID
}

// Reason is why no engine was chosen.
type Reason uint8

// The reasons. If engines are excluded for several reasons, the decision has the
// last of these. Saturated is the one that waiting can resolve.
const (
	Chosen    Reason = iota
	NoEngine         // no engine in the pool
	NotLoaded        // no engine has the model, version or adapter loaded
	NotUsable        // all engines that have it loaded are leaving, ejected or already tried
	Saturated        // the engines that could run the request have no free capacity
)

// Decision is the outcome of Route.
type Decision struct {
	Reason Reason
	// Index is the index of the chosen candidate if Reason is Chosen.
	Index int
	// Blocks is the number of prefix blocks expected in the engine's cache.
	Blocks int
}

// Random is a source of uniformly distributed pseudo-random numbers.
type Random interface {
	Uint64() uint64
}

// Policy combines the filters, scorers and picker of a decision. Filters and
// Scorers may be empty.
type Policy struct {
	Filters []Filter
	Scorers []Scorer
	Picker  Picker
}

// Scratch is the working memory of a decision. Decisions that reuse it allocate
// nothing once it has grown. It must not be used by concurrent decisions.
type Scratch struct {
	entries []Entry
	bySlot  [MaxSlots]int32 // index into entries
}

// Entry is a candidate that passed the filters, with its cost.
type Entry struct {
	Index  int
	Cost   float64
	Blocks int
}

// Route chooses one of the candidates for the request. index may be nil.
func (p *Policy) Route(request *Request, candidates []Candidate, index *PrefixIndex, random Random, scratch *Scratch) Decision {
	scratch.entries = scratch.entries[:0]
	reason := NoEngine
	for i := range candidates {
		verdict := p.filter(request, &candidates[i])
		if verdict != Chosen {
			reason = max(reason, verdict)
			continue
		}
		scratch.entries = append(scratch.entries, Entry{Index: i})
	}
	if len(scratch.entries) == 0 {
		return Decision{Reason: reason}
	}
	if index != nil && len(request.Prefix) > 0 {
		index.match(request.Prefix, candidates, scratch)
	}
	for i := range scratch.entries {
		entry := &scratch.entries[i]
		for _, scorer := range p.Scorers {
			entry.Cost += scorer.Cost(request, &candidates[entry.Index], entry.Blocks)
		}
	}
	chosen := scratch.entries[p.Picker.Pick(request, candidates, scratch.entries, random)]
	return Decision{Reason: Chosen, Index: chosen.Index, Blocks: chosen.Blocks}
}

func (p *Policy) filter(request *Request, candidate *Candidate) Reason {
	for _, filter := range p.Filters {
		if verdict := filter.Check(request, candidate); verdict != Chosen {
			return verdict
		}
	}
	return Chosen
}
