package quota

import (
	"time"
)

// RateLimit bounds the requests that may be started over all nodes.
type RateLimit struct {
	PerSecond float64
	Burst     float64 // on top of PerSecond
}

// Margin is the overshoot of a limit that an operator tolerates in any span of
// Window: Part of what the limit allows in it, plus Requests. It covers requests
// that nodes admit without knowledge of each other.
type Margin struct {
	Window   time.Duration
	Part     float64
	Requests float64
}

// allowed returns the number of requests that the limit itself admits in a window.
func (m Margin) allowed(limit RateLimit) float64 {
	return m.Window.Seconds()*limit.PerSecond + limit.Burst
}

// requests returns the whole margin of a limit, in requests.
func (m Margin) requests(limit RateLimit) float64 {
	return m.Part*m.allowed(limit) + m.Requests
}

// The parts into which the margin is divided. They cover three counters that begin in
// one window. The remainder covers nodes that move from one counter to another and
// count at both for a moment.
const (
	// toleranceMargin covers requests that arrived within the limit and were counted
	// some milliseconds later. Without it a tenant at its limit loses some of them.
	toleranceMargin = 0.125
	// startMargin is what a new counter admits at once after all nodes have joined it.
	// A new counter does not know what its predecessor admitted last.
	startMargin = 0.25
	// shareMargin covers counters to which only a part of the nodes belongs.
	shareMargin = 0.125
	// unconfirmedMargin is what a tenant may spend of its burst while its counter does not know
	// whether its nodes still belong to it. It is part of startMargin: the counter to which they
	// went knows the use and has no use for that.
	unconfirmedMargin = startMargin
)

// maxRefillInterval bounds the elapsed time by which a counter refills its buckets at once.
// A counter that was paused must not admit what another counter may have admitted in the
// meantime. The owner of a counter advances it every 10 ms.
const maxRefillInterval = 100 * time.Millisecond

// RateCounter enforces tenants' rate limits for a group of nodes that send all their
// requests through it. It admits the part of a limit that equals its part of all
// nodes. A node belongs to one counter at a time, so the counters on the sides of a
// partition keep the limit together without communication.
//
// # Worst overshoot
//
// With R and B the limit's rate and burst, a the margin of a window of w seconds
// (Margin.requests), and M the sum, over the moves of nodes in the window, of the part
// of the nodes that counts at two counters times the seconds for which it does, all
// counters together admit at most
//
//	R*w + B + a*(toleranceMargin + startMargin*p + shareMargin) + R*M
//
// where p is the sum, over the counters that began in the window, of the largest part of
// the nodes that each had. The term with shareMargin is zero while one counter has all
// nodes. A counter that keeps its use (KeepUse) adds less for its start and may add other
// terms, see there.
type RateCounter struct {
	margin        Margin
	tenants       map[uint64]*counterBucket
	startPart     float64 // part of the margin that is granted as nodes first join
	share         float64 // part of all nodes that belongs to this counter
	maxShare      float64 // largest share so far
	activeSeconds float64 // time for which the counter has refilled, without pauses
	advancedAt    time.Time
	keptUse       keptUse
}

// counterBucket is the token bucket of one tenant in a RateCounter.
type counterBucket struct {
	bucket
	limit    RateLimit
	filledAt float64 // RateCounter.activeSeconds when it was last filled
	reserved int     // requests that are admitted and not yet started
	untold   float64 // requests started since RateCounter.Use
	// unconfirmed is what was spent of the burst since Confirm: the requests started less the refill.
	unconfirmed float64
	// withdrawn is the credit that was given up with the nodes that left.
	withdrawn float64
}

// NewRateCounter returns a counter that does not know what was admitted before.
func NewRateCounter(margin Margin, now time.Time) *RateCounter {
	return &RateCounter{margin: margin, tenants: make(map[uint64]*counterBucket), startPart: startMargin, advancedAt: now}
}

// NewIsolatedRateCounter returns the counter of a single node for the time in which it reaches
// no other node. Its buckets start empty.
func NewIsolatedRateCounter(margin Margin, now time.Time) *RateCounter {
	counter := NewRateCounter(margin, now)
	counter.startPart = 0
	return counter
}

// SetLimits replaces the limits of all tenants. A tenant that is not in the map has
// no limit.
func (p *RateCounter) SetLimits(limits map[uint64]RateLimit) {
	for tenant := range p.tenants {
		if _, limited := limits[tenant]; !limited {
			delete(p.tenants, tenant)
		}
	}
	for tenant, limit := range limits {
		known := p.tenants[tenant]
		if known == nil {
			known = &counterBucket{limit: limit, filledAt: p.activeSeconds}
			known.level = min(limit.Burst, p.startPart*p.margin.requests(limit)) * p.maxShare
			p.tenants[tenant] = known
		}
		p.refill(known)
		known.limit = limit
	}
}

// Advance moves the counter to a time at which a part of the nodes, from 0 to 1,
// belongs to it.
func (p *RateCounter) Advance(now time.Time, share float64) {
	elapsed := min(max(now.Sub(p.advancedAt), 0), maxRefillInterval)
	p.advancedAt = now
	p.activeSeconds += elapsed.Seconds()
	share = min(max(share, 0), 1)
	if share == p.share {
		return
	}
	for _, known := range p.tenants {
		p.refill(known)
	}
	former := p.share
	p.share = share
	p.moveCredit(former)
	p.maxShare = max(share, p.maxShare)
}

// refill adds the refill of the time since a bucket was last filled.
func (p *RateCounter) refill(known *counterBucket) {
	amount := (p.activeSeconds - known.filledAt) * p.rate(known.limit)
	known.fill(amount, p.capacity(known.limit))
	known.unconfirmed = max(known.unconfirmed-amount, 0)
	known.filledAt = p.activeSeconds
}

// limitPart returns the part of a limit that this counter may admit, from 0 to 1.
func (p *RateCounter) limitPart(limit RateLimit) float64 {
	if allowed := p.margin.allowed(limit); allowed > 0 {
		return min(1, p.share*(1+shareMargin*p.margin.requests(limit)/allowed))
	}
	return p.share
}

// rate returns the refill rate of a bucket, in requests per second.
func (p *RateCounter) rate(limit RateLimit) float64 { return p.fullRate(limit) * p.limitPart(limit) }

// fullRate returns the refill rate of the bucket of a counter that has all nodes.
func (p *RateCounter) fullRate(limit RateLimit) float64 {
	tolerance := 0.0
	if window := p.margin.Window.Seconds(); window > 0 {
		tolerance = toleranceMargin / 2 * p.margin.requests(limit) / window
	}
	return limit.PerSecond + tolerance
}

// capacity returns the capacity of a bucket in requests.
func (p *RateCounter) capacity(limit RateLimit) float64 {
	return p.fullCapacity(limit) * p.limitPart(limit)
}

// fullCapacity returns the capacity of the bucket of a counter that has all nodes. It is at
// least 1, because a limit without a burst would otherwise admit nothing.
func (p *RateCounter) fullCapacity(limit RateLimit) float64 {
	return max(limit.Burst+toleranceMargin/2*p.margin.requests(limit), 1)
}

// Verdict is a counter's decision on a request.
type Verdict struct {
	Admitted bool
	// RetryAfter is the time until a request can be admitted; zero when Admitted.
	RetryAfter time.Duration
	Limit      RateLimit
	Left       float64 // requests that the tenant could start, this one included
	Share      float64 // part of all nodes that belongs to the counter
}

// Bounds of Verdict.RetryAfter: the interval between two calls of Advance, and the
// longest time that a client may wait.
const (
	minCounterRetry = 10 * time.Millisecond
	maxCounterRetry = 5 * time.Second
)

// roundingTolerance is the rounding error that is tolerated in sums of fractions of a
// request.
const roundingTolerance = 1e-9

// Reserve admits a request before it is queued, or refuses it. A request of a tenant
// without a limit is admitted. Call Advance first.
func (p *RateCounter) Reserve(tenant uint64) Verdict { return p.ReserveBeside(tenant, 0) }

// ReserveBeside is Reserve for a request that leaves a number of requests for others.
func (p *RateCounter) ReserveBeside(tenant uint64, others int) Verdict {
	known := p.tenants[tenant]
	if known == nil {
		return Verdict{Admitted: true, Share: p.share}
	}
	p.refill(known)
	left := known.level - float64(known.reserved)
	needed := 1 + float64(others)
	verdict := Verdict{Admitted: left+roundingTolerance >= needed, Limit: known.limit, Left: left, Share: p.share}
	if verdict.Admitted {
		known.reserved++
		return verdict
	}
	verdict.RetryAfter = maxCounterRetry
	if rate := p.rate(known.limit); rate > 0 {
		wait := time.Duration((needed - left) / rate * float64(time.Second))
		verdict.RetryAfter = min(max(wait, minCounterRetry), maxCounterRetry)
	}
	return verdict
}

// Begin counts the start of a request that Reserve has admitted.
func (p *RateCounter) Begin(tenant uint64) {
	if known := p.tenants[tenant]; known != nil {
		known.reserved = max(known.reserved-1, 0)
		known.level--
		known.unconfirmed++
		p.recordUntold(known)
	}
}

// NeedsConfirmation reports whether one more request of a tenant would spend more of its burst than the
// margin covers if the nodes no longer belonged to the counter. Call Advance first.
func (p *RateCounter) NeedsConfirmation(tenant uint64) bool {
	known := p.tenants[tenant]
	if known == nil {
		return false
	}
	p.refill(known)
	return known.unconfirmed+float64(known.reserved)+1 > unconfirmedMargin*p.margin.requests(known.limit)
}

// Confirm records that the nodes belonged to the counter when the tenant's burst was spent.
func (p *RateCounter) Confirm(tenant uint64) {
	if known := p.tenants[tenant]; known != nil {
		known.unconfirmed = -float64(known.reserved)
	}
}

// Drop cancels the reservation of a request that Reserve has admitted and that was
// not started.
func (p *RateCounter) Drop(tenant uint64) {
	if known := p.tenants[tenant]; known != nil {
		known.reserved = max(known.reserved-1, 0)
	}
}

// Undo returns the credit of a request that Begin counted and that never ran.
func (p *RateCounter) Undo(tenant uint64) {
	if known := p.tenants[tenant]; known != nil {
		known.fill(1, p.capacity(known.limit))
	}
}

// AdmitRandomly decides on a request at a node that reaches no shared counter. On average
// it admits the node's own part of the limit, which is less than one request for most
// tenants. The draw is a random number in [0, 1).
func (p *RateCounter) AdmitRandomly(tenant uint64, draw float64) bool {
	known := p.tenants[tenant]
	if known == nil {
		return true
	}
	p.refill(known)
	if known.level >= 1 {
		known.level--
		return true
	}
	admitted := draw < known.level
	known.level = 0
	return admitted
}
