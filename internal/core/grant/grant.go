// Package grant assigns the slots of a pool's engines to requests. The engines of
// a pool are divided into lanes, and one node at a time is the dispatcher of a
// lane. The other nodes report their in-flight and waiting requests to it (State),
// and it replies with the engine that each request may use (Reply). The dispatcher
// therefore knows all work at the lane's engines, and requests that find no free
// slot wait in a single queue until any of the engines has one.
//
// No consensus is needed. When nodes disagree on the dispatcher, because their
// member lists differ or the previous one stopped replying, an engine may get more
// requests than it has slots for a short time. Each State is complete: a lost one
// is made up for by the next, and a new dispatcher learns all of a node's work from
// the node's first message.
//
// The package holds the state machines of both sides (Dispatcher, Requester) and
// the ranking of dispatcher candidates (Rank). The current time is an argument;
// the package does no I/O and takes no locks.
package grant

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"ringstream.example/ringstream/internal/core/enginechoice"
	"ringstream.example/ringstream/internal/core/quota"
)

// Lane is a part of a pool's engines that is served by one dispatcher.
type Lane struct {
	Pool  string
	Parts uint32 // number of lanes of the pool, a power of two
	Part  uint32 // index of this lane, from 0
}

// Holds reports whether an engine, given by its EngineHash, belongs to the lane.
func (l Lane) Holds(engine uint64) bool { return uint32(engine)&(l.Parts-1) == l.Part } //nolint:gosec // only the low bits are used

// EngineHash returns the hash that identifies an engine in messages.
func EngineHash(engine enginechoice.Incarnation) uint64 { return engine.Hash() }

// LifeHash returns the hash that identifies one run of a node's process in messages.
func LifeHash(life string) uint64 { return xxhash.Sum64String(life) }

// PartHash returns the hash of a shared prompt part. Requests that share the part use it
// to choose the same lane.
func PartHash(part string) uint64 { return xxhash.Sum64String(part) }

// TenantHash returns the hash that identifies a tenant in messages.
func TenantHash(name string) uint64 { return xxhash.Sum64String(name) }

// maxSlotsPerLane is the largest number of slots that one dispatcher serves. A slot
// completes about one request per second, so this bounds a dispatcher to some 2,000
// requests per second (docs/CAPACITY.md).
const maxSlotsPerLane = 2048

// LaneCount returns the number of lanes for a pool with the given number of slots.
func LaneCount(slots int) uint32 {
	parts := uint32(1)
	for int(parts)*maxSlotsPerLane < slots {
		parts *= 2
	}
	return parts
}

// Ask is a request that waits for a slot, as a node reports it to the dispatcher.
type Ask struct {
	ID    uint64 // identifies this node's attempt at the request
	Batch bool
	// Late marks a batch item that will miss its deadline, or a request that has missed
	// its latency objective. Late batch requests are granted after all others.
	Late bool
	// Queued reports that the request was in the queue of another dispatcher before.
	Queued bool
	// Place asks for an engine at once, even if no slot is free.
	Place bool
	// TenantRank is the priority of the request's tenant and Rank that of its route.
	// TenantRank is compared first; 0 is the highest priority.
	TenantRank, Rank int
	// Tenant is the TenantHash of the tenant whose limit the request counts against. It
	// is 0 if there is no limit, or if the request has been counted already.
	Tenant uint64
	// AdmitOnly asks only for admission by the tenant's limit, not for a slot.
	AdmitOnly bool
	// DueIn is the time left at sending: for an online request of its latency
	// objective, for a batch item until its deadline.
	DueIn        time.Duration
	Shared       []enginechoice.Part // shared parts of the prompt, in order
	OwnTokens    int                 // tokens of the prompt that no other request shares
	MemoryTokens int                 // tokens of the prompt and of the expected output
	Former       uint64              // EngineHash of an engine that may have the prompt cached; 0 if none
	Exclude      []uint64            // EngineHash of engines that must not get the request
	Suspect      Suspect
	// BatchPercent bounds the batch requests at an engine, as a percentage of its slots.
	// RoomPercent bounds all requests in the lane at which a batch request may still be
	// added, as a percentage of the lane's slots.
	BatchPercent, RoomPercent int
	// Owner is the TenantHash of the request's tenant, in whose share of the lane it runs;
	// 0 if it belongs to no tenant.
	Owner uint64
	// Content is a hash of the request's content, by which a request that returns after a
	// refusal is recognized; 0 if unknown.
	Content uint64
	// EndsIn is the time left at sending until the client or the route gives the request
	// up; 0 if unknown.
	EndsIn time.Duration
	// MayHaveRun reports that an engine ran the request or may have. It is never refused.
	MayHaveRun bool
	// PauseObjective is the longest time between two events at which the request is in time;
	// 0 if there is none.
	PauseObjective time.Duration
}

// Suspect describes a request's content as a suspected cause of engine crashes.
type Suspect struct {
	Content uint64 // hash of the content; 0 if no engine has crashed while running it
	Crashes int    // engines that have crashed while running it
}

// promptTokens returns the length of the whole prompt.
func (a Ask) promptTokens() int {
	tokens := a.OwnTokens
	for _, part := range a.Shared {
		tokens += part.Tokens
	}
	return tokens
}

// Held is a request in flight at an engine.
type Held struct {
	ID            uint64
	Engine        uint64 // EngineHash
	Batch         bool
	Started       bool // the first token has arrived
	PrefillTokens int
	MemoryTokens  int
	Suspect       Suspect
}

// Ended is a request that has ended recently, or a grant that was not used.
type Ended struct {
	ID      uint64
	Engine  uint64 // EngineHash
	Result  enginechoice.Result
	Refused bool // the engine's address refused the connection
	Unused  bool // the grant was returned; the request did not start
}

// Load is an engine's own count of its requests, from the header of a response.
type Load struct {
	Engine           uint64 // EngineHash
	Running, Waiting int
	// WorkPercent is how long the engine says that work takes there at present, as a
	// percentage of the usual; 0 if it does not say.
	WorkPercent int
}

// Pace is the pace at which a request's events arrived.
type Pace struct {
	Engine  uint64 // EngineHash
	Events  int    // events after the first
	Elapsed time.Duration
}

// State is a node's complete report for a lane. It replaces the node's previous report.
type State struct {
	Life     uint64 // LifeHash of the node
	Sequence uint64 // increases with every State of a Requester, whichever node receives it
	Zone     string
	Held     []Held
	Waiting  []Ask
	Ended    []Ended
	Loads    []Load
	// Firsts holds the online requests whose first token has arrived since the previous
	// message.
	Firsts []FirstToken
	// Connected holds the EngineHash of the engines to which the node keeps an idle
	// connection.
	Connected []uint64
	// Paces holds the paces of the requests that have run since the previous message.
	Paces []Pace
	// Attached reports that the node uses this dispatcher, even while it has no requests
	// in the lane. The dispatcher's part of each tenant limit is the fraction of nodes
	// that are attached to it (quota.RateCounter).
	Attached bool
	// UnusedFor is the time for which the node has admitted no request of a tenant with a
	// limit, from the start of its process, as long as no dispatcher has replied that it
	// counts the node (Reply.Counted); 0 afterwards.
	UnusedFor time.Duration
}

// Grant permits a request to be sent to an engine.
type Grant struct {
	ID            uint64 // Ask.ID
	Engine        uint64 // EngineHash
	PrefillTokens int    // prompt tokens that the engine has to compute
	InFlight      int    // requests at the engine before this one
	Score         float64
	// Preempts reports that a batch run at the engine is being stopped for this request.
	Preempts bool
	Waited   time.Duration // time in the dispatcher's queue
	// Slowness is the time that work takes at the engine, relative to what it takes at an
	// engine of the usual speed; 0 if unknown.
	Slowness float64
}

// RefusalReason tells why a request is refused.
type RefusalReason uint8

// The reasons of a refusal.
const (
	RefusedByLimit    RefusalReason = iota // the tenant's limit does not admit it
	RefusedByOverload                      // the lane cannot serve it in its time
)

// Refusal reports that a request does not get a slot.
type Refusal struct {
	ID      uint64        // Ask.ID
	Verdict quota.Verdict // of the tenant's limit
	Start   quota.Start   // from what the dispatcher began to count the tenant's requests
	Reason  RefusalReason
	// Overload holds the inputs of the decision if Reason is RefusedByOverload.
	Overload OverloadRefusal
}

// OverloadRefusal is the decision to refuse a request for lack of slots.
type OverloadRefusal struct {
	RetryAfter time.Duration // when the request is expected to find a slot
	Queued     int           // requests before it
	PerSecond  float64       // requests that the lane completes per second
	Expected   time.Duration // when it would have been granted a slot; 0: not within its time
}

// Reply is a dispatcher's answer to a State.
type Reply struct {
	Life     uint64 // LifeHash of the receiving node
	Sequence uint64 // Sequence of the newest State applied from the node
	Grants   []Grant
	Refused  []Refusal
	// Stops holds the IDs of the node's batch runs that are preempted.
	Stops []uint64
	// Queued is the number of online requests of all nodes that wait for a slot.
	Queued int
	// Counted reports that the dispatcher counts the node's part of the tenants' limits.
	Counted bool
}

// LimitUse is what a lane's dispatcher has counted against the tenants' limits. It tells
// it to the nodes that may be the dispatcher after it.
type LimitUse struct {
	Life     uint64 // LifeHash of the dispatcher's node
	Sequence uint64 // increases with every LimitUse of the dispatcher
	// Elapsed is the time from an arbitrary fixed moment in the dispatcher's life until
	// sending. From it the receiver recognizes a message that arrives late.
	Elapsed time.Duration
	Use     quota.Use
}

// declinedResult is the result of an unused grant. It does not affect the engine's
// health.
const declinedResult = enginechoice.Abandoned

// returnedAdmission is the result of an admission (Ask.AdmitOnly) that was not used. It differs from
// declinedResult, with which a node also declines a grant that it receives a second time and may
// have used.
const returnedAdmission = enginechoice.Shed
