package limits

import (
	"time"

	"ringstream.example/ringstream/internal/core/identity"
	"ringstream.example/ringstream/internal/core/policy"
)

// Admit implements Limiter.
func (s *Service) Admit(row policy.Row, tenant identity.TenantID, tokens int) (func(used int), Decision) {
	if row.Limits == (policy.Limits{}) && row.TenantLimits == (policy.Limits{}) {
		return noopRelease, Decision{Allowed: true}
	}
	estimatedTokens := float64(max(0, tokens))
	s.suspensions.Check()
	now := time.Now()
	s.mu.Lock()
	a := admission{service: s, estimatedTokens: estimatedTokens}
	a.meters[0] = s.meterFor(meterKey{row: row.ID}, row.Limits, now)
	a.meters[1] = s.meterFor(meterKey{row: row.ID, tenant: tenant}, row.TenantLimits, now)
	for _, m := range a.meters {
		if m != nil {
			m.recordDemand(now, estimatedTokens)
		}
	}
	result := a.check(now)
	s.mu.Unlock()
	if result.mustAsk {
		result = a.wait(now.Add(s.config.GrantWait), result)
	}
	if result.limit != "" {
		s.metrics.refused.WithLabelValues(result.limit).Inc()
		return nil, Decision{Limit: result.limit, RetryAfter: result.retryAfter}
	}
	s.metrics.admitted.Inc()
	return a.release, Decision{Allowed: true}
}

func noopRelease(int) {}

// admission is the state of one call of Admit.
type admission struct {
	service         *Service
	estimatedTokens float64
	meters          [2]*meter // of the row and the tenant; nil without limits
}

// check charges the request to all meters if every limit admits it. Otherwise
// it charges nothing and returns the verdict of one limit that does not admit
// it, preferring a limit known to be exhausted over one whose owner must be
// asked. The caller holds mu.
func (a *admission) check(now time.Time) verdict {
	s := a.service
	result := verdict{}
	for _, m := range a.meters {
		if m == nil {
			continue
		}
		m.advance(now, len(s.ownership.current.nodes), s.parameters)
		meterResult := m.check(now, a.estimatedTokens, s.parameters)
		if meterResult.limit != "" && (result.limit == "" || (result.mustAsk && !meterResult.mustAsk)) {
			meterResult.limit = m.key.scope() + " " + meterResult.limit
			result = meterResult
		}
	}
	if result.limit == "" {
		for _, m := range a.meters {
			if m != nil {
				m.spend(a.estimatedTokens)
			}
		}
	}
	return result
}

// wait asks the owners and checks again after each answer, until the request is
// admitted or refused or the deadline passes.
func (a *admission) wait(deadline time.Time, result verdict) verdict {
	s := a.service
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	for result.mustAsk {
		answered, remaining := a.askOwners(time.Now())
		inTime := waitForAnswer(answered, remaining, timer.C)
		now := time.Now()
		s.mu.Lock()
		for _, m := range a.meters {
			if m != nil {
				m.waiters--
				s.expireAsk(m, now)
			}
		}
		result = a.check(now)
		s.mu.Unlock()
		if !inTime && result.mustAsk {
			return verdict{limit: result.limit, retryAfter: s.config.GrantWait}
		}
	}
	return result
}

// waitForAnswer waits until an answer has arrived or the remaining time of the
// ask is over. It returns false if the deadline passes first. If answered is
// nil, it returns true at once.
func waitForAnswer(answered <-chan struct{}, remaining time.Duration, deadline <-chan time.Time) bool {
	if answered == nil {
		return true
	}
	timer := time.NewTimer(remaining)
	defer timer.Stop()
	select {
	case <-answered:
	case <-timer.C:
	case <-deadline:
		return false
	}
	return true
}

// askOwners sends an ask for each meter that must ask its owner and has none in
// flight. It returns a channel that is closed when one of these meters has its
// answer, and the time until the first of their asks is overdue. The channel is
// nil if no meter needs to ask anymore.
func (a *admission) askOwners(now time.Time) (answered chan struct{}, remaining time.Duration) {
	s := a.service
	s.mu.Lock()
	asks := outbox{}
	remaining = s.config.AskTimeout
	for _, m := range a.meters {
		if m == nil {
			continue
		}
		m.waiters++
		if !m.check(now, a.estimatedTokens, s.parameters).mustAsk {
			continue
		}
		if m.answered == nil {
			m.answered = make(chan struct{})
		}
		answered = m.answered
		if !m.askInFlight {
			s.enqueue(asks, m, m.urgentAsk(now, a.estimatedTokens, s.parameters), now)
		}
		remaining = min(remaining, s.config.AskTimeout-now.Sub(m.askSentAt))
	}
	s.mu.Unlock()
	s.send(asks)
	return answered, remaining
}

func (a *admission) release(used int) {
	s := a.service
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, m := range a.meters {
		if m != nil {
			m.release(a.estimatedTokens, float64(used))
		}
	}
}
