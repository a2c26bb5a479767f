package limits

import (
	"time"

	"ringstream.example/ringstream/internal/core/identity"
	"ringstream.example/ringstream/internal/core/policy"
	"ringstream.example/ringstream/internal/core/quota"
)

// meterKey names a row's limits, or a tenant's within a row.
type meterKey struct {
	row    identity.RowID
	tenant identity.TenantID // empty: the row's own
}

// ownerKey is what the owner is chosen by.
func (k meterKey) ownerKey() string {
	return "limits/" + string(k.row) + "/" + string(k.tenant)
}

// scope is the first word of a refused limit's name.
func (k meterKey) scope() string {
	if k.tenant == "" {
		return "row"
	}
	return "tenant"
}

// meter is this node's use of one set of limits.
type meter struct {
	key      meterKey
	limits   policy.Limits
	requests quota.RateMeter
	tokens   quota.RateMeter
	permits  quota.PermitMeter

	generation    uint64 // of the ownership that owner and deputy are of
	owner, deputy identity.NodeID
	deputyUntil   time.Time // until then the deputy is asked
	unreachable   time.Time // until then nobody is asked

	sequence uint64
	asking   bool // the ask of this sequence is unanswered
	askedAt  time.Time
	answered chan struct{} // closed with the answer; nil when nobody waits
	waiters  int

	renewAt time.Time
	short   bool // idle permits are to be given back at once
	lastUse time.Time
}

// verdict is what a meter says to one request.
type verdict struct {
	limit      string // the limit that has no room; empty: there is room
	retryAfter time.Duration
	// lacking: there may be room, the owner must be asked.
	lacking bool
}

// advance brings the buckets to a time.
func (m *meter) advance(now time.Time, nodes int, parameters quota.Parameters) {
	m.requests.Advance(now, quota.Share{Limit: m.limits.RequestsPerSecond, Nodes: nodes}, parameters)
	m.tokens.Advance(now, quota.Share{Limit: m.limits.TokensPerSecond, Nodes: nodes}, parameters)
}

// check says whether a request has room under all limits.
func (m *meter) check(now time.Time, tokens float64, parameters quota.Parameters) verdict {
	result := verdict{}
	if m.limits.RequestsPerSecond > 0 && !m.requests.Has(1) {
		result.add("requests_per_second", m.requests.Denied(now))
	}
	if m.limits.TokensPerSecond > 0 && !m.tokens.Has(tokens) {
		result.add("tokens_per_second", m.tokens.Denied(now))
	}
	if m.limits.Concurrency > 0 && !m.permits.Has(now, parameters) {
		result.add("concurrency", m.permits.Denied(now))
	}
	if result.lacking && now.Before(m.unreachable) {
		result = verdict{limit: result.limit, retryAfter: m.unreachable.Sub(now)}
	}
	return result
}

// add takes one limit without room: a denial stands over a lack.
func (v *verdict) add(limit string, denied time.Duration) {
	switch {
	case denied > v.retryAfter:
		*v = verdict{limit: limit, retryAfter: denied}
	case denied == 0 && v.retryAfter == 0:
		*v = verdict{limit: limit, lacking: true}
	}
}

// setLimits takes the row's values. What was lent under a higher limit shrinks
// in proportion, so that a lowered limit is in force at once.
func (m *meter) setLimits(limits policy.Limits) {
	if limits == m.limits {
		return
	}
	m.requests.Scale(lowered(m.limits.RequestsPerSecond, limits.RequestsPerSecond))
	m.tokens.Scale(lowered(m.limits.TokensPerSecond, limits.TokensPerSecond))
	m.permits.Scale(lowered(float64(m.limits.Concurrency), float64(limits.Concurrency)))
	m.limits = limits
}

// lowered is the part of a limit that is left, 1 when it was raised or lifted.
func lowered(before, after float64) float64 {
	if before <= 0 || after <= 0 || after >= before {
		return 1
	}
	return after / before
}

// spend takes one request, for which check found room.
func (m *meter) spend(tokens float64) {
	if m.limits.RequestsPerSecond > 0 {
		m.requests.Spend(1)
	}
	if m.limits.TokensPerSecond > 0 {
		m.tokens.Spend(tokens)
	}
	m.permits.Spend()
}

// want counts a request in the demand, admitted or not.
func (m *meter) want(now time.Time, tokens float64) {
	m.lastUse = now
	m.requests.Wanted(1)
	m.tokens.Wanted(tokens)
}

// release ends a request.
func (m *meter) release(estimate, used float64) {
	m.permits.Release()
	if m.limits.TokensPerSecond > 0 {
		m.tokens.Settle(estimate, used)
	}
}

// coldAsk asks for what a request without room needs.
func (m *meter) coldAsk(now time.Time, tokens float64, parameters quota.Parameters) ask {
	next := ask{Row: m.key.row, Tenant: m.key.tenant}
	if m.limits.RequestsPerSecond > 0 && !m.requests.Has(1) {
		next.Requests = toRateAsk(m.requests.Ask(1))
	}
	if m.limits.TokensPerSecond > 0 && !m.tokens.Has(tokens) {
		next.Tokens = toRateAsk(m.tokens.Ask(tokens))
	}
	if m.limits.Concurrency > 0 && !m.permits.Has(now, parameters) {
		next.Permits = m.permitAsk(now, max(1, m.waiters))
	}
	return next
}

// routineAsk asks ahead of the demand, renews permits that are due, and gives
// back what is idle; ok is false when there is nothing to say.
func (m *meter) routineAsk(now time.Time, within time.Duration, parameters quota.Parameters) (next ask, ok bool) {
	next = ask{Row: m.key.row, Tenant: m.key.tenant}
	if m.runsOut(now, within) {
		within = topUpWithin // one ask for both rates
	}
	if m.limits.RequestsPerSecond > 0 {
		next.Requests = toRateAsk(m.requests.Prefetch(now, within))
		next.Requests.Back = whole(m.requests.Idle(parameters))
	}
	if m.limits.TokensPerSecond > 0 {
		next.Tokens = toRateAsk(m.tokens.Prefetch(now, within))
		next.Tokens.Back = whole(m.tokens.Idle(parameters))
	}
	if m.limits.Concurrency > 0 && m.permitsDue(now) {
		next.Permits = m.permitAsk(now, 0)
	}
	return next, next.Requests != rateAsk{} || next.Tokens != rateAsk{} || next.Permits.Sequence != 0
}

// topUpWithin is the demand that credits must cover, else they are topped up
// when the other rate is asked for anyway.
const topUpWithin = 2 * time.Second

// runsOut says whether the credits of a rate do not cover its demand.
func (m *meter) runsOut(now time.Time, within time.Duration) bool {
	requests := m.limits.RequestsPerSecond > 0 && m.requests.Prefetch(now, within).Want > 0
	tokens := m.limits.TokensPerSecond > 0 && m.tokens.Prefetch(now, within).Want > 0
	return requests || tokens
}

// permitsDue says whether held permits must be renewed, or idle ones given back.
func (m *meter) permitsDue(now time.Time) bool {
	const idleTime = 2 * tickInterval
	if m.short && m.permits.Held() > m.permits.Running() && now.Sub(m.lastUse) >= idleTime {
		m.permits.ForgetPeak()
		return true
	}
	return m.permits.Held()+m.permits.Running() > 0 && !now.Before(m.renewAt)
}

func (m *meter) permitAsk(now time.Time, more int) permitAsk {
	asked := m.permits.Ask(now, more)
	return permitAsk{Sequence: asked.Sequence, Hold: uint32(asked.Hold), Want: uint32(asked.Want)} //nolint:gosec // counts of requests
}

// receive takes the answer to the last ask.
func (m *meter) receive(now time.Time, given answer, asked time.Duration, parameters quota.Parameters) {
	m.asking = false
	m.requests.Heard()
	m.tokens.Heard()
	if given.Requests != (loan{}) {
		m.requests.Receive(now, given.Requests.loan(), parameters)
	}
	if given.Tokens != (loan{}) {
		m.tokens.Receive(now, given.Tokens.loan(), parameters)
	}
	if given.Permits.Given {
		m.permits.Receive(now, m.permits.Sequence(), int(given.Permits.Total), time.Duration(given.Permits.RetryAfter)*time.Millisecond)
		m.renewAt = now.Add(asked)
		m.short = given.Permits.Short
	}
	m.wake()
}

// drop gives up all that is borrowed, and the answer that is waited for. The owner is told of
// what runs at once.
func (m *meter) drop(now time.Time) {
	m.requests.Scale(0)
	m.tokens.Scale(0)
	m.permits.Scale(0)
	m.asking = false
	m.renewAt = now
	m.deputyUntil, m.unreachable = time.Time{}, time.Time{}
	m.wake()
}

// wake lets the waiting requests look again.
func (m *meter) wake() {
	if m.answered != nil {
		close(m.answered)
		m.answered = nil
	}
}

// unanswered notes that the last ask had no answer in time: the deputy is
// asked for a while; when it is silent too, nobody is.
func (m *meter) unanswered(now time.Time) {
	const (
		deputyTime      = 3 * time.Second
		unreachableTime = time.Second
	)
	m.asking = false
	m.requests.Silence()
	m.tokens.Silence()
	if now.Before(m.deputyUntil) || m.deputy == "" {
		m.unreachable = now.Add(unreachableTime)
		m.deputyUntil = time.Time{}
	} else {
		m.deputyUntil = now.Add(deputyTime)
	}
	m.wake()
}

// target is whom to ask now.
func (m *meter) target(now time.Time) identity.NodeID {
	if now.Before(m.deputyUntil) {
		return m.deputy
	}
	return m.owner
}

// idle says whether the meter can be forgotten.
func (m *meter) idle(now time.Time, timeout time.Duration) bool {
	return !m.asking && m.waiters == 0 && m.permits.Running() == 0 && m.permits.Held() == 0 && now.Sub(m.lastUse) > timeout
}
