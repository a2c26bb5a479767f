package limits

import (
	"time"

	"ringstream.example/ringstream/internal/core/identity"
	"ringstream.example/ringstream/internal/core/policy"
	"ringstream.example/ringstream/internal/core/quota"
)

// meterKey identifies the limits of a row, or of a tenant within a row.
type meterKey struct {
	row    identity.RowID
	tenant identity.TenantID // empty for the limits of the row itself
}

// ownerKey returns the rendezvous hashing key that selects the limit's owner.
func (k meterKey) ownerKey() string {
	return "limits/" + string(k.row) + "/" + string(k.tenant)
}

// scope returns the first word of the limit's name in a Decision.
func (k meterKey) scope() string {
	if k.tenant == "" {
		return "row"
	}
	return "tenant"
}

// meter tracks this node's use of one set of limits and what it has borrowed.
type meter struct {
	key      meterKey
	limits   policy.Limits
	requests quota.RateMeter
	tokens   quota.RateMeter
	permits  quota.PermitMeter

	generation       uint64 // of the ownership that owner and deputy were derived from
	owner, deputy    identity.NodeID
	useDeputyUntil   time.Time // asks go to the deputy until this time
	unreachableUntil time.Time // no asks are sent until this time

	askSequence uint64
	askInFlight bool // the ask with askSequence is unanswered
	askSentAt   time.Time
	answered    chan struct{} // closed when the answer arrives; nil if no request waits
	waiters     int

	renewAt      time.Time
	permitsShort bool // idle permits must be returned at once
	lastUsed     time.Time
}

// verdict is the result of checking one request against a meter.
type verdict struct {
	limit      string // the limit that does not admit the request; empty if all do
	retryAfter time.Duration
	// mustAsk reports that the owner may grant more and has to be asked.
	mustAsk bool
}

// advance updates the rate buckets to the given time.
func (m *meter) advance(now time.Time, nodes int, parameters quota.Parameters) {
	m.requests.Advance(now, quota.Share{Limit: m.limits.RequestsPerSecond, Nodes: nodes}, parameters)
	m.tokens.Advance(now, quota.Share{Limit: m.limits.TokensPerSecond, Nodes: nodes}, parameters)
}

// check reports whether all limits admit a request, and otherwise which one does not.
func (m *meter) check(now time.Time, tokens float64, parameters quota.Parameters) verdict {
	result := verdict{}
	if m.limits.RequestsPerSecond > 0 && !m.requests.CanAdmit(1) {
		result.addExhausted("requests_per_second", m.requests.RetryAfter(now))
	}
	if m.limits.TokensPerSecond > 0 && !m.tokens.CanAdmit(tokens) {
		result.addExhausted("tokens_per_second", m.tokens.RetryAfter(now))
	}
	if m.limits.Concurrency > 0 && !m.permits.CanAdmit(now, parameters) {
		result.addExhausted("concurrency", m.permits.RetryAfter(now))
	}
	if result.mustAsk && now.Before(m.unreachableUntil) {
		result = verdict{limit: result.limit, retryAfter: m.unreachableUntil.Sub(now)}
	}
	return result
}

// addExhausted records a limit without enough credits or permits. The limit
// with the longest wait imposed by its owner takes precedence; a limit whose
// owner must be asked counts only without such a wait.
func (v *verdict) addExhausted(limit string, denied time.Duration) {
	switch {
	case denied > v.retryAfter:
		*v = verdict{limit: limit, retryAfter: denied}
	case denied == 0 && v.retryAfter == 0:
		*v = verdict{limit: limit, mustAsk: true}
	}
}

// setLimits applies the row's values. What was borrowed under a higher limit is
// reduced in proportion, so that a lowered limit takes effect at once.
func (m *meter) setLimits(limits policy.Limits) {
	if limits == m.limits {
		return
	}
	m.requests.Scale(reductionRatio(m.limits.RequestsPerSecond, limits.RequestsPerSecond))
	m.tokens.Scale(reductionRatio(m.limits.TokensPerSecond, limits.TokensPerSecond))
	m.permits.Scale(reductionRatio(float64(m.limits.Concurrency), float64(limits.Concurrency)))
	m.limits = limits
}

// reductionRatio returns the remaining fraction of a limit, or 1 if the limit was
// raised, removed or newly set.
func reductionRatio(before, after float64) float64 {
	if before <= 0 || after <= 0 || after >= before {
		return 1
	}
	return after / before
}

// spend charges one request that check has admitted.
func (m *meter) spend(tokens float64) {
	if m.limits.RequestsPerSecond > 0 {
		m.requests.Spend(1)
	}
	if m.limits.TokensPerSecond > 0 {
		m.tokens.Spend(tokens)
	}
	m.permits.Spend()
}

// recordDemand adds a request to the demand, whether or not it is admitted.
func (m *meter) recordDemand(now time.Time, tokens float64) {
	m.lastUsed = now
	m.requests.RecordDemand(1)
	m.tokens.RecordDemand(tokens)
}

// release frees the permit of a request that has ended and corrects the token
// estimate by the tokens it used.
func (m *meter) release(estimate, used float64) {
	m.permits.Release()
	if m.limits.TokensPerSecond > 0 {
		m.tokens.Settle(estimate, used)
	}
}

// urgentAsk returns an ask for what a waiting request lacks.
func (m *meter) urgentAsk(now time.Time, tokens float64, parameters quota.Parameters) ask {
	next := ask{Row: m.key.row, Tenant: m.key.tenant}
	if m.limits.RequestsPerSecond > 0 && !m.requests.CanAdmit(1) {
		next.Requests = toRateAsk(m.requests.Ask(1))
	}
	if m.limits.TokensPerSecond > 0 && !m.tokens.CanAdmit(tokens) {
		next.Tokens = toRateAsk(m.tokens.Ask(tokens))
	}
	if m.limits.Concurrency > 0 && !m.permits.CanAdmit(now, parameters) {
		next.Permits = m.newPermitAsk(now, max(1, m.waiters))
	}
	return next
}

// routineAsk returns an ask that prefetches credits for the demand within the
// horizon, renews permits and returns what is idle. ok is false if there is
// nothing to ask for or return.
func (m *meter) routineAsk(now time.Time, horizon time.Duration, parameters quota.Parameters) (next ask, ok bool) {
	next = ask{Row: m.key.row, Tenant: m.key.tenant}
	if m.needsTopUp(now, horizon) {
		horizon = topUpHorizon // top up both rates with one ask
	}
	if m.limits.RequestsPerSecond > 0 {
		next.Requests = toRateAsk(m.requests.Prefetch(now, horizon))
		next.Requests.Back = roundUp(m.requests.Idle(parameters))
	}
	if m.limits.TokensPerSecond > 0 {
		next.Tokens = toRateAsk(m.tokens.Prefetch(now, horizon))
		next.Tokens.Back = roundUp(m.tokens.Idle(parameters))
	}
	if m.limits.Concurrency > 0 && m.permitAskDue(now) {
		next.Permits = m.newPermitAsk(now, 0)
	}
	return next, next.Requests != rateAsk{} || next.Tokens != rateAsk{} || next.Permits.Sequence != 0
}

// topUpHorizon is the time for which credits must cover the demand when an ask
// is sent for either rate. It is longer than the usual horizon so that one ask
// serves both rates.
const topUpHorizon = 2 * time.Second

// needsTopUp reports whether the credits of a rate do not cover its demand
// within the horizon.
func (m *meter) needsTopUp(now time.Time, horizon time.Duration) bool {
	requests := m.limits.RequestsPerSecond > 0 && m.requests.Prefetch(now, horizon).Want > 0
	tokens := m.limits.TokensPerSecond > 0 && m.tokens.Prefetch(now, horizon).Want > 0
	return requests || tokens
}

// permitAskDue reports whether held permits must be renewed or idle ones returned.
func (m *meter) permitAskDue(now time.Time) bool {
	const minIdleTime = 2 * tickInterval
	if m.permitsShort && m.permits.Held() > m.permits.Running() && now.Sub(m.lastUsed) >= minIdleTime {
		m.permits.ForgetPeak()
		return true
	}
	return m.permits.Held()+m.permits.Running() > 0 && !now.Before(m.renewAt)
}

func (m *meter) newPermitAsk(now time.Time, extra int) permitAsk {
	quotaAsk := m.permits.Ask(now, extra)
	return permitAsk{Sequence: quotaAsk.Sequence, Hold: uint32(quotaAsk.Hold), Want: uint32(quotaAsk.Want)} //nolint:gosec // counts of requests
}

// applyAnswer applies the answer to the last ask and wakes the waiting requests.
func (m *meter) applyAnswer(now time.Time, reply answer, renewInterval time.Duration, parameters quota.Parameters) {
	m.askInFlight = false
	m.requests.OwnerAnswered()
	m.tokens.OwnerAnswered()
	if reply.Requests != (loan{}) {
		m.requests.Receive(now, reply.Requests.toQuota(), parameters)
	}
	if reply.Tokens != (loan{}) {
		m.tokens.Receive(now, reply.Tokens.toQuota(), parameters)
	}
	if reply.Permits.Given {
		m.permits.Receive(now, m.permits.Sequence(), int(reply.Permits.Total), time.Duration(reply.Permits.RetryAfter)*time.Millisecond)
		m.renewAt = now.Add(renewInterval)
		m.permitsShort = reply.Permits.Short
	}
	m.wakeWaiters()
}

// dropBorrowed discards everything borrowed and ignores the answer in flight.
// The permit renewal is due at once, so that the owner learns of the requests
// that still run.
func (m *meter) dropBorrowed(now time.Time) {
	m.requests.Scale(0)
	m.tokens.Scale(0)
	m.permits.Scale(0)
	m.askInFlight = false
	m.renewAt = now
	m.useDeputyUntil, m.unreachableUntil = time.Time{}, time.Time{}
	m.wakeWaiters()
}

// wakeWaiters lets the waiting requests check the meter again.
func (m *meter) wakeWaiters() {
	if m.answered != nil {
		close(m.answered)
		m.answered = nil
	}
}

// markUnanswered records that the last ask timed out. After a timeout of the
// owner, asks go to the deputy for deputyPeriod. After a timeout of the deputy,
// or without one, no asks are sent for unreachablePeriod.
func (m *meter) markUnanswered(now time.Time) {
	const (
		deputyPeriod      = 3 * time.Second
		unreachablePeriod = time.Second
	)
	m.askInFlight = false
	m.requests.OwnerUnanswered()
	m.tokens.OwnerUnanswered()
	if now.Before(m.useDeputyUntil) || m.deputy == "" {
		m.unreachableUntil = now.Add(unreachablePeriod)
		m.useDeputyUntil = time.Time{}
	} else {
		m.useDeputyUntil = now.Add(deputyPeriod)
	}
	m.wakeWaiters()
}

// target returns the node to which asks are sent at the given time.
func (m *meter) target(now time.Time) identity.NodeID {
	if now.Before(m.useDeputyUntil) {
		return m.deputy
	}
	return m.owner
}

// idle reports whether the meter can be deleted.
func (m *meter) idle(now time.Time, timeout time.Duration) bool {
	return !m.askInFlight && m.waiters == 0 && m.permits.Running() == 0 && m.permits.Held() == 0 && now.Sub(m.lastUsed) > timeout
}
