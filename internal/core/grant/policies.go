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
	Overload OverloadControl
	Order    QueueOrder
	Speeds   EngineSpeeds
}

// Waiting is an online request in the queue, as the policies see it. Its address stays the
// same while it waits.
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
	// InTime reports that its first token can be expected by Deadline if it is granted a
	// slot now.
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
	// Overloaded reports whether some requests cannot be served in time at present. No batch
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
	// Arrange sorts the queue.
	Arrange(queue []*Waiting, now time.Time)
	// Granted records that a request has been granted a slot.
	Granted(request *Waiting, now time.Time)
	// Finished records how long a request of an owner has held a slot.
	Finished(owner uint64, held time.Duration, now time.Time)
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

// withDefaults replaces the policies that are nil.
func (p Policies) withDefaults() Policies {
	if p.Overload == nil {
		p.Overload = unboundedQueue{}
	}
	if p.Order == nil {
		p.Order = deadlineOrder{}
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
func (deadlineOrder) Granted(*Waiting, time.Time) {}

// Finished implements QueueOrder.
func (deadlineOrder) Finished(uint64, time.Duration, time.Time) {}

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
