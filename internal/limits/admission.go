package limits

import (
	"time"

	"ringstream.example/ringstream/internal/core/identity"
	"ringstream.example/ringstream/internal/core/policy"
)

// Admit implements Limiter.
func (s *Service) Admit(row policy.Row, tenant identity.TenantID, tokens int) (func(used int), Decision) {
	if row.Limits == (policy.Limits{}) && row.TenantLimits == (policy.Limits{}) {
		return releaseNothing, Decision{Allowed: true}
	}
	estimate := float64(max(0, tokens))
	s.watch.Look()
	now := time.Now()
	s.mu.Lock()
	a := admission{service: s, estimate: estimate}
	a.meters[0] = s.meterFor(meterKey{row: row.ID}, row.Limits, now)
	a.meters[1] = s.meterFor(meterKey{row: row.ID, tenant: tenant}, row.TenantLimits, now)
	for _, m := range a.meters {
		if m != nil {
			m.want(now, estimate)
		}
	}
	result := a.check(now)
	s.mu.Unlock()
	if result.lacking {
		result = a.wait(now.Add(s.config.GrantWait), result)
	}
	if result.limit != "" {
		s.metrics.refused.WithLabelValues(result.limit).Inc()
		return nil, Decision{Limit: result.limit, RetryAfter: result.retryAfter}
	}
	s.metrics.admitted.Inc()
	return a.release, Decision{Allowed: true}
}

func releaseNothing(int) {}

// admission is one request before its limits.
type admission struct {
	service  *Service
	estimate float64
	meters   [2]*meter // nil: no limits there
}

// check spends when all limits have room, else names one that has not. Caller
// holds mu.
func (a *admission) check(now time.Time) verdict {
	s := a.service
	result := verdict{}
	for _, m := range a.meters {
		if m == nil {
			continue
		}
		m.advance(now, len(s.ownership.current.nodes), s.parameters)
		found := m.check(now, a.estimate, s.parameters)
		if found.limit != "" && (result.limit == "" || (result.lacking && !found.lacking)) {
			found.limit = m.key.scope() + " " + found.limit
			result = found
		}
	}
	if result.limit == "" {
		for _, m := range a.meters {
			if m != nil {
				m.spend(a.estimate)
			}
		}
	}
	return result
}

// wait asks the owners, and waits for their answers until the deadline.
func (a *admission) wait(deadline time.Time, result verdict) verdict {
	s := a.service
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	for result.lacking {
		answered, overdue := a.ask(time.Now())
		inTime := waitFor(answered, overdue, timer.C)
		now := time.Now()
		s.mu.Lock()
		for _, m := range a.meters {
			if m != nil {
				m.waiters--
				s.expire(m, now)
			}
		}
		result = a.check(now)
		s.mu.Unlock()
		if !inTime && result.lacking {
			return verdict{limit: result.limit, retryAfter: s.config.GrantWait}
		}
	}
	return result
}

// waitFor waits until an answer has come or is overdue; false when the
// deadline comes first. Without an answer to wait for it returns at once.
func waitFor(answered <-chan struct{}, overdue time.Duration, deadline <-chan time.Time) bool {
	if answered == nil {
		return true
	}
	timer := time.NewTimer(overdue)
	defer timer.Stop()
	select {
	case <-answered:
	case <-timer.C:
	case <-deadline:
		return false
	}
	return true
}

// ask sends what the lacking meters need and are not asking for yet. It gives
// a channel that closes with one's answer, and the time until that is overdue;
// nil when none lacks anything any more.
func (a *admission) ask(now time.Time) (answered chan struct{}, overdue time.Duration) {
	s := a.service
	s.mu.Lock()
	asks := outbox{}
	overdue = s.config.AskTimeout
	for _, m := range a.meters {
		if m == nil {
			continue
		}
		m.waiters++
		if !m.check(now, a.estimate, s.parameters).lacking {
			continue
		}
		if m.answered == nil {
			m.answered = make(chan struct{})
		}
		answered = m.answered
		if !m.asking {
			s.post(asks, m, m.coldAsk(now, a.estimate, s.parameters), now)
		}
		overdue = min(overdue, s.config.AskTimeout-now.Sub(m.askedAt))
	}
	s.mu.Unlock()
	s.send(asks)
	return answered, overdue
}

func (a *admission) release(used int) {
	s := a.service
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, m := range a.meters {
		if m != nil {
			m.release(a.estimate, float64(used))
		}
	}
}
