package quota

import (
	"math"
	"time"
)

// RateLender is the owner's side of one rate limit.
type RateLender struct {
	bucket
	updated time.Time
	// shortfalls counts the requests that were refused for lack of credits in
	// the current second and in the one before.
	shortfalls          [2]int
	shortfallsRotatedAt time.Time
}

// NewRateLender returns a lender whose bucket has been filling since the node
// became owner.
func NewRateLender(ownedSince time.Time) RateLender {
	return RateLender{updated: ownedSince}
}

// Loan is an owner's answer to a CreditRequest.
type Loan struct {
	Credits float64
	// RetryAfter is the time until the borrower should ask again; it is set when
	// Credits is less than was needed.
	RetryAfter time.Duration
}

const (
	// retrySpacing is the interval that an owner plans between the retries of
	// different borrowers that it could not serve. minRetry is the minimum
	// interval between two retries of one borrower. The credits that accumulate
	// in the meantime are lent as one loan.
	retrySpacing = 20 * time.Millisecond
	minRetry     = 200 * time.Millisecond
	// maxRetry bounds Loan.RetryAfter.
	maxRetry = 5 * time.Second
	// minLoanPart is the part of the bucket that a borrower with a large demand
	// waits for, instead of getting many small loans.
	minLoanPart = 0.2
	// contendedPart is the maximum part of the bucket that one request gets while
	// other requests are refused for lack of credits.
	contendedPart = 0.5
)

// Lend answers a request for at least need and at most want credits, where limit
// is the rate per second. A need above the bucket's capacity is lent once the
// bucket is full, and the level then becomes negative.
func (l *RateLender) Lend(now time.Time, limit, need, want float64, parameters Parameters) Loan {
	l.refill(now, limit, parameters)
	capacity := limit * parameters.Burst.Seconds()
	// A bucket that is full except for rounding errors counts as full.
	threshold := min(max(need, min(want, minLoanPart*capacity)), capacity)
	if l.level+roundingTolerance*capacity < threshold {
		l.countShortfall(now)
		wait := time.Duration((threshold - l.level) / limit * float64(time.Second))
		spacing := time.Duration(l.contenders(now)) * retrySpacing
		return Loan{RetryAfter: min(max(wait, spacing, minRetry), maxRetry)}
	}
	offer := l.level
	if l.contenders(now) > 0 {
		offer *= contendedPart
	}
	credits := max(need, min(want, math.Floor(offer)))
	l.level -= credits
	return Loan{Credits: credits}
}

// Return takes back credits that a borrower did not spend.
func (l *RateLender) Return(now time.Time, limit, credits float64, parameters Parameters) {
	l.refill(now, limit, parameters)
	l.fill(credits, limit*parameters.Burst.Seconds())
}

func (l *RateLender) refill(now time.Time, limit float64, parameters Parameters) {
	elapsed := max(0, now.Sub(l.updated).Seconds())
	l.updated = now
	l.fill(elapsed*limit, limit*parameters.Burst.Seconds())
}

func (l *RateLender) rotateShortfalls(now time.Time) {
	elapsed := now.Sub(l.shortfallsRotatedAt)
	switch {
	case elapsed >= 2*time.Second:
		l.shortfalls = [2]int{}
	case elapsed >= time.Second:
		l.shortfalls = [2]int{0, l.shortfalls[0]}
	default:
		return
	}
	l.shortfallsRotatedAt = now
}

func (l *RateLender) countShortfall(now time.Time) {
	l.rotateShortfalls(now)
	l.shortfalls[0]++
}

func (l *RateLender) contenders(now time.Time) int {
	l.rotateShortfalls(now)
	return max(l.shortfalls[0], l.shortfalls[1])
}

// RateMeter is a borrower's side of one rate limit, on one node.
type RateMeter struct {
	// creditsByAge holds the credits by age, the youngest first. Each element
	// covers an equal part of Expiry.
	creditsByAge [ageCount]float64
	rotatedAt    time.Time
	// debt is what requests used beyond their estimates. Credits pay it off first.
	debt float64
	// standing is what is left of the standing share. It is usable from
	// standingFrom on, since a node that borrows spends only what it borrows.
	standing     float64
	standingFrom time.Time
	// Exponentially decaying averages, per second: income of the credits received,
	// demand of the costs of requests, arrivals of the number of requests.
	income, demand, arrivals float64
	updated                  time.Time
	deniedUntil              time.Time
	// ownerSilent is true while requests to the owner go unanswered. The meter
	// then continues with its decaying income.
	ownerSilent bool
}

// demandMemory is the time constant of the averages of demand and arrivals.
// requestHorizon is the time ahead for which a borrower requests credits.
const (
	demandMemory   = 2 * time.Second
	requestHorizon = 4 * time.Second
)

// ageCount is the number of age groups of a meter's credits. With 4, a credit is valid
// for at least three quarters of Expiry.
const ageCount = 4

// Share describes the limit of a meter.
type Share struct {
	Limit float64
	// Nodes is the number of live nodes.
	Nodes int
}

// NewRateMeter returns a meter whose standing share has been filling since the
// node started.
func NewRateMeter(now, nodeStart time.Time, share Share, parameters Parameters) RateMeter {
	m := RateMeter{rotatedAt: now, updated: nodeStart}
	m.Advance(now, share, parameters)
	return m
}

// Advance moves the meter to a time.
func (m *RateMeter) Advance(now time.Time, share Share, parameters Parameters) {
	elapsed := now.Sub(m.updated).Seconds()
	if elapsed <= 0 {
		return
	}
	m.updated = now
	m.expireCredits(now, parameters)
	kept := math.Exp(-elapsed / parameters.MemoryTimeConstant.Seconds())
	if m.ownerSilent {
		m.creditsByAge[0] += m.income * parameters.MemoryTimeConstant.Seconds() * (1 - kept)
	}
	m.income *= kept
	remembered := math.Exp(-elapsed / demandMemory.Seconds())
	m.demand *= remembered
	m.arrivals *= remembered
	each := share.Limit / float64(max(1, share.Nodes))
	m.standing = min(m.standing+elapsed*each*parameters.StandingPart, each*parameters.StandingBurst.Seconds())
}

// expireCredits moves credits to older age groups and removes those that have
// expired.
func (m *RateMeter) expireCredits(now time.Time, parameters Parameters) {
	steps := int(now.Sub(m.rotatedAt) / (parameters.Expiry / ageCount))
	if steps <= 0 {
		return
	}
	var aged [ageCount]float64
	if steps < ageCount {
		copy(aged[steps:], m.creditsByAge[:ageCount-steps])
	}
	m.creditsByAge = aged
	m.rotatedAt = now
}

// CanAdmit reports whether a request of this cost may be admitted now. Call Advance first.
func (m *RateMeter) CanAdmit(cost float64) bool {
	if m.credits() >= cost {
		return true
	}
	return m.debt == 0 && m.standing >= cost && !m.updated.Before(m.standingFrom)
}

// Spend deducts a cost for which CanAdmit was true.
func (m *RateMeter) Spend(cost float64) {
	if m.credits() >= cost {
		m.pay(cost)
		return
	}
	m.standing -= cost
}

// pay deducts a cost from the credits, the oldest first.
func (m *RateMeter) pay(cost float64) {
	for age := ageCount - 1; age > 0; age-- {
		part := min(m.creditsByAge[age], cost)
		m.creditsByAge[age] -= part
		cost -= part
	}
	m.creditsByAge[0] -= cost
}

// held returns the sum of the credits that have not expired.
func (m *RateMeter) held() float64 {
	sum := 0.0
	for _, lot := range m.creditsByAge {
		sum += lot
	}
	return sum
}

// credits returns the credits that are left after the debt is paid.
func (m *RateMeter) credits() float64 { return m.held() - m.debt }

// Settle replaces a spent estimate by what the request actually used.
func (m *RateMeter) Settle(estimate, used float64) {
	if used <= estimate {
		m.creditsByAge[0] += estimate - used
		return
	}
	m.debt += used - estimate
	paid := min(m.debt, m.held())
	m.pay(paid)
	m.debt -= paid
}

// RecordDemand adds a request's cost to the demand, whether the request is admitted or not.
func (m *RateMeter) RecordDemand(cost float64) {
	m.demand += cost / demandMemory.Seconds()
	m.arrivals += 1 / demandMemory.Seconds()
}

// CreditRequest is a borrower's request to the owner of a rate limit, in credits.
type CreditRequest struct {
	Need, Want float64
}

// Ask returns a request for the credits that a cost needs now and for those that
// the demand predicts for requestHorizon.
func (m *RateMeter) Ask(cost float64) CreditRequest {
	need := max(0, cost-m.credits())
	want := need + m.demandAhead()
	return CreditRequest{Need: math.Ceil(need), Want: math.Ceil(want)}
}

// Prefetch returns a request for credits before they are needed. Its Want is zero
// while the credits last for the given time or the RetryAfter of the last Loan has not
// passed.
func (m *RateMeter) Prefetch(now time.Time, within time.Duration) CreditRequest {
	if now.Before(m.deniedUntil) || m.credits() >= m.demand*within.Seconds() {
		return CreditRequest{}
	}
	return CreditRequest{Want: math.Ceil(max(0, m.demandAhead()-m.credits()))}
}

// demandAhead returns the predicted demand in requestHorizon, or 0 when fewer than
// steadyRequests are expected: sporadic requests are not worth a prefetch.
func (m *RateMeter) demandAhead() float64 {
	const steadyRequests = 4 // requests in requestHorizon
	if m.arrivals*requestHorizon.Seconds() < steadyRequests {
		return 0
	}
	return m.demand * requestHorizon.Seconds()
}

// Receive applies an owner's answer.
func (m *RateMeter) Receive(now time.Time, loan Loan, parameters Parameters) {
	m.ownerSilent = false
	m.expireCredits(now, parameters)
	m.income += loan.Credits / parameters.MemoryTimeConstant.Seconds()
	m.creditsByAge[0] += loan.Credits
	paid := min(m.debt, m.held())
	m.pay(paid)
	m.debt -= paid
	m.standingFrom = now.Add(parameters.MemoryTimeConstant)
	m.deniedUntil = time.Time{}
	if loan.RetryAfter > 0 {
		m.deniedUntil = now.Add(loan.RetryAfter)
	}
}

// OwnerUnanswered records that a request to the owner went unanswered.
func (m *RateMeter) OwnerUnanswered() {
	m.ownerSilent = true
	m.standingFrom = time.Time{}
}

// OwnerAnswered records that the owner has answered this or another request.
func (m *RateMeter) OwnerAnswered() { m.ownerSilent = false }

// Scale keeps a part of what the meter holds, after its limit was lowered.
func (m *RateMeter) Scale(part float64) {
	for age := range m.creditsByAge {
		m.creditsByAge[age] *= part
	}
	m.standing *= part
	m.income *= part
}

// RetryAfter returns how long the meter is to wait before it asks again, or zero.
func (m *RateMeter) RetryAfter(now time.Time) time.Duration { return max(0, m.deniedUntil.Sub(now)) }

// Idle removes and returns the whole credits that the demand no longer needs.
// Call Advance first.
func (m *RateMeter) Idle(parameters Parameters) float64 {
	const idleDemandPart = 0.5 // part of the credits that demand may need in requestHorizon
	spare := math.Floor(m.credits())
	if spare < 1 || m.demand*requestHorizon.Seconds() > idleDemandPart*spare {
		return 0
	}
	m.pay(spare)
	m.income = max(0, m.income-spare/parameters.MemoryTimeConstant.Seconds())
	return spare
}
