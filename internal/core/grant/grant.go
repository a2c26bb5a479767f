// Package grant divides the slots of a pool's engines among requests. For each
// lane, a part of a pool's engines, one node at a time is the dispatcher: other
// nodes send it what they have under way there and what waits (State), and it
// answers which request may go to which engine (Reply). The dispatcher so knows
// all work at its engines, and a request that finds no free slot waits in one
// queue until any engine has one.
//
// Nothing here needs agreement. A node that takes another for the dispatcher,
// because lists of nodes differ or the first fell silent, costs a fuller engine
// for a moment. Each State is whole: one that is lost is made good by the next,
// and a new dispatcher knows a node's work with its first message.
//
// The package owns the state machines of both sides (Dispatcher, Requester) and
// the ranking of nodes (Ranking). Time is an argument; it does no I/O and takes
// no lock.
package grant

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"ringstream.example/ringstream/internal/core/enginechoice"
	"ringstream.example/ringstream/internal/core/quota"
)

// Lane is a part of a pool's engines that one dispatcher looks after.
type Lane struct {
	Pool  string
	Parts uint32 // that the pool's engines are divided into, a power of two
	Part  uint32
}

// Holds says whether an engine, given by EngineHash, belongs to the lane.
func (l Lane) Holds(engine uint64) bool { return uint32(engine)&(l.Parts-1) == l.Part } //nolint:gosec // the low bits are meant

// EngineHash stands for an engine in messages.
func EngineHash(engine enginechoice.Incarnation) uint64 { return engine.Hash() }

// LifeHash stands for a node's life in messages.
func LifeHash(life string) uint64 { return xxhash.Sum64String(life) }

// PartHash gives the number by which requests that share a part of their prompts choose
// the same lane.
func PartHash(part string) uint64 { return xxhash.Sum64String(part) }

// TenantHash stands for a tenant's name in messages.
func TenantHash(name string) uint64 { return xxhash.Sum64String(name) }

// slotsPerLane is how many slots one dispatcher looks after: engines run about
// one request a second and slot on the deployments measured, so a dispatcher
// gets some 2,000 asks a second at the most (docs/CAPACITY.md).
const slotsPerLane = 2048

// Parts gives the number of lanes for a pool with so many slots.
func Parts(slots int) uint32 {
	parts := uint32(1)
	for int(parts)*slotsPerLane < slots {
		parts *= 2
	}
	return parts
}

// Ask is a request that waits for a slot.
type Ask struct {
	ID    uint64 // of this node's try of the request
	Batch bool
	// Late: a batch item that will miss its due time, or a request that has
	// missed its objective; it goes after those of its rank that need not.
	Late bool
	// Queued: another dispatcher had it in its queue.
	Queued bool
	// Place: it waits no longer; it gets an engine even where no slot is free.
	Place bool
	// TenantRank is the priority of its tenant, which goes before Rank, that of its
	// route; 0 is the highest.
	TenantRank, Rank int
	// Tenant is whose limit counts it, by TenantHash; 0: nobody's, or it is counted
	// already.
	Tenant uint64
	// AdmitOnly: it wants no slot here, but only to be counted.
	AdmitOnly bool
	// DueIn is the time that is left of its objective, or until the item is due,
	// at the moment of sending.
	DueIn        time.Duration
	Shared       []enginechoice.Part // of its prompt, in order
	OwnTokens    int                 // of the prompt that nobody shares
	MemoryTokens int                 // prompt and expected output
	Former       uint64              // EngineHash of an engine that may keep its prompt; 0: none
	Exclude      []uint64            // EngineHash of engines that it must not go to
	Suspect      Suspect
	// BatchPercent bounds the batch requests at an engine, in per cent of its slots, and
	// RoomPercent all requests in the lane when a batch request is added.
	BatchPercent, RoomPercent int
}

// Suspect says that engines have ended under a request's content.
type Suspect struct {
	Content uint64 // hash; 0: no engine ended under it
	Crashes int    // engines that did
}

// promptTokens is the length of the whole prompt.
func (a Ask) promptTokens() int {
	tokens := a.OwnTokens
	for _, part := range a.Shared {
		tokens += part.Tokens
	}
	return tokens
}

// Held is a request under way at an engine.
type Held struct {
	ID            uint64
	Engine        uint64 // EngineHash
	Batch         bool
	Started       bool // its first token has come
	PrefillTokens int
	MemoryTokens  int
	Suspect       Suspect
}

// Ended is a request that has ended lately, or a grant that was not used.
type Ended struct {
	ID      uint64
	Engine  uint64 // EngineHash
	Result  enginechoice.Result
	Refused bool // nothing listens at the engine's address
	Unused  bool // a grant that was given back: the request did not begin
}

// Load is an engine's own count, from the head of an answer.
type Load struct {
	Engine           uint64 // EngineHash
	Running, Waiting int
}

// State is all that a node has in a lane. It replaces what the node sent before.
type State struct {
	Life     uint64 // of the node
	Sequence uint64 // rises within a life, over all lanes and receivers
	Zone     string
	Held     []Held
	Waiting  []Ask
	Ended    []Ended
	Loads    []Load
	// Firsts are online requests whose first token has come since the last message.
	Firsts []FirstToken
	// Connected are engines to which the node keeps an idle connection.
	Connected []uint64
	// Attached: the node turns to this dispatcher, also while it has nothing in the
	// lane. Limits are kept by the part of the nodes that does (quota.Place).
	Attached bool
}

// Grant lets a request go to an engine.
type Grant struct {
	ID            uint64 // of the ask
	Engine        uint64 // EngineHash
	PrefillTokens int    // that the engine has to read
	InFlight      int    // requests there before this one
	Score         float64
	// Preempts: a batch run there is being stopped for this request.
	Preempts bool
	Waited   time.Duration // in the dispatcher's queue
}

// Refusal tells that a tenant's limit does not let a request through.
type Refusal struct {
	ID      uint64 // of the ask
	Verdict quota.Verdict
}

// Reply is a dispatcher's answer to a State.
type Reply struct {
	Life     uint64 // of the node that is answered
	Sequence uint64 // of its newest State that was taken
	Grants   []Grant
	Refused  []Refusal
	// Stops are batch runs of the node that are to make room.
	Stops []uint64
	// Queued is how many online requests of all nodes wait for a slot.
	Queued int
}

// declined is the result of a grant that was not used; it says nothing of the
// engine.
const declined = enginechoice.Abandoned
