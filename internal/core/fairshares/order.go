// Package fairshares orders a lane's queue so that the tenants of one rank share its slots. It
// answers the load of a few tenants that send many times what others send: they wait behind the
// requests of tenants that have had less than their share.
//
// Requests that can be in time come before late ones, then the rank of the tenant and of the route
// decide, as without shares. Among requests that are alike in these, the tenants are served by
// start-time fair queueing (package fairqueue) with the time for which requests hold their slots
// as cost, and a tenant's own requests by least time left, those that return when told before new ones. Each pair of ranks has a virtual time
// and accounts of its own.
//
// A tenant with few waiting requests may be ahead of its share by maxAheadRequests. Requests come in
// clumps, and a tenant that sends less than its share in the long run sends more than that for
// moments. Tenants with long queues use up whatever they may be ahead by at once, so it does not
// help them.
//
// A tenant whose limit allows a burst may be ahead of its share by as many requests after it has
// had less than its share. Others gather no credit.
//
// The virtual time is the least start tag of the tenants that wait with requests that can be in
// time. Requests that are granted out of order, such as those that get an engine at once, are
// charged and do not move it.
package fairshares

import (
	"cmp"
	"math"
	"slices"
	"time"

	"ringstream.example/ringstream/internal/core/fairqueue"
	"ringstream.example/ringstream/internal/core/grant"
)

// Order implements grant.QueueOrder. It is used by one dispatcher only.
type Order struct {
	tenants   map[uint64]grant.TenantPart // by grant.TenantHash
	classes   map[classKey]*class
	slotTimes slotTimes

	// The following are reused by Arrange.
	requests []*grant.Waiting // the queue as it was given
	keys     []sortKey        // one for each request
	flowOf   []int            // index into flows of each request
	waiting  map[flowKey]int  // index into flows
	flows    []flow
}

// classKey identifies requests that are alike in rank.
type classKey struct{ tenantRank, rank int }

// class holds the accounts of the tenants that compete within a pair of ranks.
type class struct {
	tags     *fairqueue.Tags[uint64]
	inFlight int

	// The following are valid within one call of Arrange.
	arranged                bool
	leastInTime, leastStart float64
}

// flowKey identifies a tenant within a class.
type flowKey struct {
	classKey
	owner uint64
}

// flow is a tenant with waiting requests of a class.
type flow struct {
	class  *class
	owner  uint64
	weight float64
	burst  float64 // cost per weight
	tag    float64 // start tag of the next request
	last   float64 // start tag of the last request
	passed bool    // it has had less than its share
}

// maxAheadRequests is the number of requests of mean cost by which a tenant with few waiting requests
// may be ahead of its share.
const maxAheadRequests = 8

// sortKey is what a request is sorted by.
type sortKey struct {
	group uint64
	value uint64 // deadline, then start tag
	tie   uint32
	index uint32 // in requests
}

func compareKeys(a, b sortKey) int {
	switch {
	case a.group != b.group:
		return cmp.Compare(a.group, b.group)
	case a.value != b.value:
		return cmp.Compare(a.value, b.value)
	default:
		return cmp.Compare(a.tie, b.tie)
	}
}

// New returns an order without history.
func New() *Order {
	return &Order{classes: make(map[classKey]*class), waiting: make(map[flowKey]int)}
}

// SetTenants implements grant.QueueOrder. Parts whose weight is not above zero are ignored.
func (o *Order) SetTenants(tenants map[uint64]grant.TenantPart) { o.tenants = tenants }

// part returns a tenant's weight, and its burst in cost per weight.
func (o *Order) part(owner uint64) (weight, burst float64) {
	part := o.tenants[owner]
	if part.Weight <= 0 {
		return 1, 0
	}
	return part.Weight, part.Burst * o.slotTimes.overall() / part.Weight
}

// Arrange implements grant.QueueOrder.
func (o *Order) Arrange(queue []*grant.Waiting, _ time.Time) {
	o.collect(queue)
	o.forgetIdleClasses()
	slices.SortFunc(o.keys, compareKeys)
	o.advance()
	o.tagRequests()
	o.deferLongQueues()
	slices.SortFunc(o.keys, compareKeys)
	for i, key := range o.keys {
		queue[i] = o.requests[key.index]
	}
	clear(o.requests) // they are not kept beyond their end
}

// tagRequests sets the values of the sorted keys to the start tags of their requests.
func (o *Order) tagRequests() {
	for i := range o.keys {
		key := &o.keys[i]
		known := &o.flows[o.flowOf[key.index]]
		key.value, key.tie = orderedBits(known.tag), uint32(i) //nolint:gosec // no queue is as long
		if !known.passed {
			key.tie |= afterPassed
		}
		known.last = known.tag
		known.tag += o.slotTimes.expected(o.requests[key.index].MemoryTokens) / known.weight
	}
}

// deferLongQueues puts the requests of tenants with long queues that are ahead of the tenants' shares
// behind those of tenants with few waiting requests.
func (o *Order) deferLongQueues() {
	for i := range o.keys {
		key := &o.keys[i]
		known := &o.flows[o.flowOf[key.index]]
		if !o.hasFewWaiting(known) && o.isAhead(known, key) {
			key.group |= isDeferred
		}
	}
}

// hasFewWaiting reports whether a tenant, when all its waiting requests have started, is ahead of its
// share by less than maxAheadRequests.
func (o *Order) hasFewWaiting(known *flow) bool {
	return known.last < known.class.tags.VirtualTime()+maxAheadRequests*o.slotTimes.overall()/known.weight
}

// isAhead reports whether a tenant has had its share when the request starts.
func (o *Order) isAhead(known *flow, key *sortKey) bool {
	virtualTime := orderedBits(known.class.tags.VirtualTime())
	return key.value > virtualTime || key.value == virtualTime && !known.passed
}

// afterPassed in the tie of a key puts a request behind those of the same tag whose tenants have
// had less than their share.
const afterPassed = 1 << 31

// signBit turns the order of signed numbers into that of unsigned ones.
const signBit uint64 = 1 << 63

// orderedBits returns bits whose order is that of the numbers.
func orderedBits(number float64) uint64 {
	bits := math.Float64bits(number)
	if number < 0 {
		return ^bits
	}
	return bits | signBit
}

// collect reads the queue into keys and flows.
func (o *Order) collect(queue []*grant.Waiting) {
	o.requests = append(o.requests[:0], queue...)
	o.keys, o.flowOf, o.flows = o.keys[:0], o.flowOf[:0], o.flows[:0]
	clear(o.waiting)
	for _, known := range o.classes {
		known.arranged = false
	}
	for index, request := range queue {
		o.flowOf = append(o.flowOf, o.addToFlow(request))
		position := uint32(index) //nolint:gosec // no queue is as long
		o.keys = append(o.keys, sortKey{group: groupOf(request), value: placeInTenant(request), tie: position, index: position})
	}
}

// placeInTenant returns what a tenant's own requests are sorted by: those that return when they were
// told to come first, then by deadline.
func placeInTenant(request *grant.Waiting) uint64 {
	deadline := uint64(max(request.Deadline.UnixNano(), 0)) //nolint:gosec // not negative
	if request.Returned {
		return deadline
	}
	return deadline | signBit
}

// addToFlow returns the index of a waiting request's flow.
func (o *Order) addToFlow(request *grant.Waiting) int {
	key := flowKey{classKey{request.TenantRank, request.Rank}, request.Owner}
	index, known := o.waiting[key]
	if !known {
		within := o.classOf(key.classKey)
		if !within.arranged {
			within.arranged, within.leastInTime, within.leastStart = true, math.Inf(1), math.Inf(1)
		}
		index = len(o.flows)
		weight, burst := o.part(key.owner)
		o.flows = append(o.flows, flow{class: within, owner: key.owner, weight: weight, burst: burst, tag: within.tags.Start(key.owner, burst)})
		o.waiting[key] = index
		within.leastStart = min(within.leastStart, o.flows[index].tag)
	}
	if request.InTime && !request.Place {
		within := o.flows[index].class
		within.leastInTime = min(within.leastInTime, o.flows[index].tag)
	}
	return index
}

func (o *Order) classOf(key classKey) *class {
	known := o.classes[key]
	if known == nil {
		known = &class{tags: fairqueue.NewTags[uint64]()}
		o.classes[key] = known
	}
	return known
}

// advance moves the classes' virtual times, and sets the start tags of the flows.
func (o *Order) advance() {
	for _, known := range o.classes {
		switch {
		case !known.arranged:
		case math.IsInf(known.leastInTime, 1):
			known.tags.Advance(known.leastStart)
		default:
			known.tags.Advance(known.leastInTime)
		}
	}
	for i := range o.flows {
		known := &o.flows[i]
		known.tag, known.passed = known.class.tags.Start(known.owner, known.burst), known.class.tags.Passed(known.owner, known.burst)
	}
}

// forgetIdleClasses removes the classes that have no requests.
func (o *Order) forgetIdleClasses() {
	for key, known := range o.classes {
		if !known.arranged && known.inFlight == 0 {
			delete(o.classes, key)
		}
	}
}

// Granted implements grant.QueueOrder.
func (o *Order) Granted(request *grant.Waiting, _ time.Time) grant.SlotCharge {
	seconds := o.slotTimes.expected(request.MemoryTokens)
	within := o.classOf(classKey{request.TenantRank, request.Rank})
	within.inFlight++
	weight, burst := o.part(request.Owner)
	within.tags.ChargeEstimate(request.Owner, burst, seconds/weight)
	return grant.SlotCharge{
		Owner: request.Owner, TenantRank: request.TenantRank, Rank: request.Rank, MemoryTokens: request.MemoryTokens,
		Expected: time.Duration(seconds * float64(time.Second)),
	}
}

// Finished implements grant.QueueOrder. It corrects the charge by the time for which the request
// has held its slot.
func (o *Order) Finished(use grant.SlotUse, _ time.Time) {
	within := o.classOf(classKey{use.TenantRank, use.Rank})
	within.inFlight--
	weight, _ := o.part(use.Owner)
	within.tags.Settle(use.Owner, (use.Held-use.Expected).Seconds()/weight)
	if use.Complete {
		o.slotTimes.observe(use.MemoryTokens, use.Held)
	}
}

// Bits of a request's group. The ranks are between isLate and isDeferred, that of the tenant first.
const (
	waitsForSlot = 1 << 63
	isLate       = 1 << 62
	isDeferred   = 1
	rankBits     = 30
	maxRank      = 1<<rankBits - 1
)

// groupOf returns what a request is sorted by before the shares.
func groupOf(request *grant.Waiting) uint64 {
	group := (boundedRank(request.TenantRank)<<rankBits | boundedRank(request.Rank)) << 1
	if !request.Place {
		group |= waitsForSlot
	}
	if !request.InTime {
		group |= isLate
	}
	return group
}

func boundedRank(rank int) uint64 { return uint64(min(max(rank, 0), maxRank)) }
