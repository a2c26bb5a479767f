package grant

import (
	"cmp"
	"slices"
	"time"

	"ringstream.example/ringstream/internal/core/enginechoice"
	"ringstream.example/ringstream/internal/core/ordering"
)

// Policies holds the decisions of a dispatcher that depend on a deployment's settings. Each
// is called by one dispatcher only, and with the dispatcher's clock. A nil field selects
// the policy that needs no settings.
type Policies struct {
	Overload   OverloadControl
	Order      QueueOrder // of online requests
	BatchOrder QueueOrder // of batch requests
	Speeds     EngineSpeeds
}

// Waiting is a request in the queue, as the policies see it. Its address stays the same while it
// waits.
type Waiting struct {
	Node string // address of the node that has the request
	ID   uint64 // Ask.ID, unique on the node
	// TenantRank, Rank, Owner, Content and MayHaveRun are those of the Ask.
	TenantRank, Rank           int
	Owner, Content             uint64
	MayHaveRun                 bool
	PromptTokens, MemoryTokens int
	Since                      time.Time // when it joined the queue
	Deadline                   time.Time // of its latency objective
	End                        time.Time // when its client or route gives it up; zero if unknown
	// FirstToken is the expected time from its grant to its first token.
	FirstToken time.Duration
	// InTime reports that its first token, or its end if it is a batch request, can be
	// expected by Deadline if it is granted a slot now.
	InTime bool
	// Place reports that it gets an engine at once, however full.
	Place bool

	entry *queuedAsk
}

// LaneLoad is the load of a lane's engines.
type LaneLoad struct {
	Slots         int // slots of all engines that take work
	Online, Batch int // requests in flight
}

// OverloadControl decides which requests wait while the lane has no free slot.
type OverloadControl interface {
	// Review returns the requests to refuse. The queue is in the order in which slots are
	// granted.
	Review(queue []*Waiting, load LaneLoad, now time.Time) []OverloadDecision
	// Granted records that a request has left the queue with a slot.
	Granted(request *Waiting, now time.Time)
	// Finished records that an online request of the lane has ended.
	Finished(now time.Time)
	// PlacesWhenFull reports whether a request that asks for placement, and that no engine
	// can have run, gets an engine however full.
	PlacesWhenFull() bool
}

// OverloadDecision refuses a request.
type OverloadDecision struct {
	Request *Waiting
	Refusal OverloadRefusal
}

// QueueOrder decides which of the waiting requests get slots first.
type QueueOrder interface {
	// SetTenants sets the tenants' parts in the lane, keyed by TenantHash. Other tenants have
	// weight 1 and no burst.
	SetTenants(tenants map[uint64]TenantPart)
	// Arrange sorts the queue.
	Arrange(queue []*Waiting, now time.Time)
	// Granted records that a request has been granted a slot. It returns what its tenant was
	// charged for the slot, to be passed to Finished.
	Granted(request *Waiting, now time.Time) SlotCharge
	// Finished records that a request no longer has its slot.
	Finished(use SlotUse, now time.Time)
}

// TenantPart is a tenant's part in the slots of a lane.
type TenantPart struct {
	Weight float64 // above zero; in proportion to the part
	// Burst is the number of requests by which the tenant may be ahead of its part after it has
	// sent less.
	Burst float64
}

// SlotCharge is what a tenant was charged for a slot when it was granted.
type SlotCharge struct {
	Owner            uint64 // TenantHash; 0 if the request belongs to no tenant
	TenantRank, Rank int
	MemoryTokens     int
	Expected         time.Duration // time for which the slot was expected to be held
}

// SlotUse is how a granted slot was used.
type SlotUse struct {
	SlotCharge
	Held     time.Duration
	Complete bool // the request ran to its end
}

// EngineSpeeds learns how fast the engines of a lane work.
type EngineSpeeds interface {
	ObserveFirstToken(engine enginechoice.Incarnation, first FirstToken, now time.Time)
	ObservePace(engine enginechoice.Incarnation, pace Pace, now time.Time)
	ObserveLoad(engine enginechoice.Incarnation, load Load, now time.Time)
	// Slowness returns the time that work takes at an engine, relative to what it takes at
	// an engine of the usual speed.
	Slowness(engine enginechoice.Incarnation, now time.Time) float64
}

// orderOf returns the order of the batch requests or of the online ones.
func (p Policies) orderOf(batch bool) QueueOrder {
	if batch {
		return p.BatchOrder
	}
	return p.Order
}

// withDefaults replaces the policies that are nil.
func (p Policies) withDefaults() Policies {
	if p.Overload == nil {
		p.Overload = unboundedQueue{}
	}
	if p.Order == nil {
		p.Order = deadlineOrder{}
	}
	if p.BatchOrder == nil {
		p.BatchOrder = deadlineOrder{}
	}
	if p.Speeds == nil {
		p.Speeds = equalSpeeds{}
	}
	return p
}

// unboundedQueue refuses nothing.
type unboundedQueue struct{}

// Review implements OverloadControl.
func (unboundedQueue) Review([]*Waiting, LaneLoad, time.Time) []OverloadDecision { return nil }

// Granted implements OverloadControl.
func (unboundedQueue) Granted(*Waiting, time.Time) {}

// Finished implements OverloadControl.
func (unboundedQueue) Finished(time.Time) {}

// PlacesWhenFull implements OverloadControl.
func (unboundedQueue) PlacesWhenFull() bool { return true }

// deadlineOrder puts requests first that ask for placement, then those that can still meet
// their deadline, then by the rank of the tenant, the rank of the route, and the earliest
// deadline.
type deadlineOrder struct{}

// SetTenants implements QueueOrder.
func (deadlineOrder) SetTenants(map[uint64]TenantPart) {}

// Arrange implements QueueOrder.
func (deadlineOrder) Arrange(queue []*Waiting, _ time.Time) {
	slices.SortStableFunc(queue, func(a, b *Waiting) int {
		return cmp.Or(
			ordering.FalseFirst(b.Place, a.Place), ordering.FalseFirst(!a.InTime, !b.InTime),
			cmp.Compare(a.TenantRank, b.TenantRank), cmp.Compare(a.Rank, b.Rank), a.Deadline.Compare(b.Deadline),
		)
	})
}

// Granted implements QueueOrder.
func (deadlineOrder) Granted(*Waiting, time.Time) SlotCharge { return SlotCharge{} }

// Finished implements QueueOrder.
func (deadlineOrder) Finished(SlotUse, time.Time) {}

// equalSpeeds takes all engines for equally fast.
type equalSpeeds struct{}

// ObserveFirstToken implements EngineSpeeds.
func (equalSpeeds) ObserveFirstToken(enginechoice.Incarnation, FirstToken, time.Time) {}

// ObservePace implements EngineSpeeds.
func (equalSpeeds) ObservePace(enginechoice.Incarnation, Pace, time.Time) {}

// ObserveLoad implements EngineSpeeds.
func (equalSpeeds) ObserveLoad(enginechoice.Incarnation, Load, time.Time) {}

// Slowness implements EngineSpeeds.
func (equalSpeeds) Slowness(enginechoice.Incarnation, time.Time) float64 { return 1 }
