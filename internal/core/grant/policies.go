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
	// Moved reports that it was in the queue of another dispatcher before.
	Moved bool
	// Returned reports that it was refused, told when to come back, and came then. It goes
	// ahead of the others of its rank and share. Set by OverloadControl.
	Returned bool
	// Again reports that it was refused before and has no place kept. Set by OverloadControl.
	Again bool
	// LateOnly reports that it waits for a slot that no request in time needs. Set by
	// OverloadControl; InTime is false from then on.
	LateOnly bool
	// Admitted reports that the OverloadControl has let it wait.
	Admitted bool

	entry *queuedAsk
}

// LaneLoad is the load of a lane's engines.
type LaneLoad struct {
	Slots         int // slots of all engines that take work
	Online, Batch int // requests in flight
	// Full reports that a request found no slot that was free or held by a batch run.
	Full bool
}

// OverloadControl decides which requests wait while the lane has no free slot.
type OverloadControl interface {
	// Arrived records that a request has joined the queue. It sets Waiting.Returned.
	Arrived(request *Waiting, now time.Time)
	// Review returns the requests to refuse. The queue is in the order in which slots are
	// granted.
	Review(queue []*Waiting, load LaneLoad, now time.Time) []OverloadDecision
	// Granted records that a request has left the queue with a slot.
	Granted(request *Waiting, now time.Time)
	// Finished records how long an online request of the lane has held its slot.
	Finished(held time.Duration, now time.Time)
	// Overloaded reports whether requests are refused at present. No batch
	// runs are started then, since online requests would soon stop them.
	Overloaded(now time.Time) bool
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

// RequestKey names a request among those of all nodes.
type RequestKey struct {
	Node string // address of the node that has the request
	ID   uint64 // Ask.ID, unique on the node
}

// EngineSpeeds learns how fast the engines of a lane work.
type EngineSpeeds interface {
	ObserveFirstToken(engine enginechoice.Incarnation, first FirstToken, at Observed)
	ObservePace(engine enginechoice.Incarnation, pace Pace, at Observed)
	ObserveLoad(engine enginechoice.Incarnation, load Load, at Observed)
	// ObserveSilence records that a request has had no first token for first.Elapsed.
	ObserveSilence(engine enginechoice.Incarnation, request RequestKey, first FirstToken, at Observed)
	// Granted records that a request was granted an engine.
	Granted(engine enginechoice.Incarnation, now time.Time)
	// Remove drops what is known about an engine that is no longer listed.
	Remove(engine enginechoice.Incarnation)
	// Review decides which engines are slow. It returns those for which that has changed.
	Review(now time.Time) []SpeedChange
	// Speed returns the speed of an engine as of the last Review.
	Speed(engine enginechoice.Incarnation) enginechoice.Speed
}

// Observed is the circumstances of an observation of an engine.
type Observed struct {
	Node     string  // which node observed it
	Fullness float64 // requests at the engine as a share of its slots
	At       time.Time
}

// SpeedChange reports that an engine is taken for slow, or no longer is, and the observations
// that led to it.
type SpeedChange struct {
	Engine         enginechoice.Incarnation
	Slowness       float64 // 1 if the engine is no longer slow
	Observations   int
	Newest, Oldest time.Duration // ages of the observations
	SlowFor        time.Duration // how long the engine was slow
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

// Arrived implements OverloadControl.
func (unboundedQueue) Arrived(*Waiting, time.Time) {}

// Review implements OverloadControl.
func (unboundedQueue) Review([]*Waiting, LaneLoad, time.Time) []OverloadDecision { return nil }

// Granted implements OverloadControl.
func (unboundedQueue) Granted(*Waiting, time.Time) {}

// Finished implements OverloadControl.
func (unboundedQueue) Finished(time.Duration, time.Time) {}

// Overloaded implements OverloadControl.
func (unboundedQueue) Overloaded(time.Time) bool { return false }

// PlacesWhenFull implements OverloadControl.
func (unboundedQueue) PlacesWhenFull() bool { return true }

// deadlineOrder puts requests first that ask for placement, then those that can still meet
// their deadline, then by the rank of the tenant and the rank of the route, then those that
// came back when told, then by the earliest deadline.
type deadlineOrder struct{}

// SetTenants implements QueueOrder.
func (deadlineOrder) SetTenants(map[uint64]TenantPart) {}

// Arrange implements QueueOrder.
func (deadlineOrder) Arrange(queue []*Waiting, _ time.Time) {
	slices.SortStableFunc(queue, func(a, b *Waiting) int {
		return cmp.Or(
			ordering.FalseFirst(b.Place, a.Place), ordering.FalseFirst(!a.InTime, !b.InTime),
			cmp.Compare(a.TenantRank, b.TenantRank), cmp.Compare(a.Rank, b.Rank),
			ordering.FalseFirst(!a.Returned, !b.Returned), a.Deadline.Compare(b.Deadline),
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
func (equalSpeeds) ObserveFirstToken(enginechoice.Incarnation, FirstToken, Observed) {}

// ObservePace implements EngineSpeeds.
func (equalSpeeds) ObservePace(enginechoice.Incarnation, Pace, Observed) {}

// ObserveLoad implements EngineSpeeds.
func (equalSpeeds) ObserveLoad(enginechoice.Incarnation, Load, Observed) {}

// ObserveSilence implements EngineSpeeds.
func (equalSpeeds) ObserveSilence(enginechoice.Incarnation, RequestKey, FirstToken, Observed) {}

// Granted implements EngineSpeeds.
func (equalSpeeds) Granted(enginechoice.Incarnation, time.Time) {}

// Remove implements EngineSpeeds.
func (equalSpeeds) Remove(enginechoice.Incarnation) {}

// Review implements EngineSpeeds.
func (equalSpeeds) Review(time.Time) []SpeedChange { return nil }

// Speed implements EngineSpeeds.
func (equalSpeeds) Speed(enginechoice.Incarnation) enginechoice.Speed { return enginechoice.Speed{} }
