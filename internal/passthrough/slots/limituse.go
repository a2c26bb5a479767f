package slots

import (
	"errors"
	"time"

	"ringstream.example/ringstream/internal/core/grant"
)

// outgoingLimitUse is a message to the other candidates of a lane.
type outgoingLimitUse struct {
	to   []string
	lane grant.Lane
	use  grant.LimitUse
}

// useExchange returns this node's exchange of the use of the limits in a lane. The caller holds
// mu.
func (s *Service) useExchange(lane grant.Lane, now time.Time) *grant.UseExchange {
	exchange := s.useExchanges[lane]
	if exchange == nil {
		exchange = grant.NewUseExchange(s.lifeHash, now)
		s.useExchanges[lane] = exchange
	}
	return exchange
}

// HandleLimitUse handles what the dispatcher of a lane has counted against the tenants' limits.
// A node that does not keep limits in the lane ignores it.
func (s *Service) HandleLimitUse(_ string, lane grant.Lane, use grant.LimitUse) error {
	if err := checkLane(lane); err != nil {
		return err
	}
	if !s.config.Scheduling.KeepLimits {
		return nil
	}
	s.watch.Check()
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.keepsLimits(lane) || use.Life == s.lifeHash {
		return nil
	}
	direction, now := "late", time.Now()
	if s.useExchange(lane, now).Record(use, now) {
		direction = "received"
	}
	s.Metrics.limitUses.WithLabelValues(direction).Inc()
	return nil
}

// collectLimitUse collects the message of a dispatcher about the use of the limits, if it is due.
// It is sent before the replies, so that the other candidates know the use of what these grant.
// The caller holds mu.
func (s *Service) collectLimitUse(lane grant.Lane, dispatcher *laneDispatcher, now time.Time, out *outbox) {
	requester := s.requesters[lane]
	if requester == nil {
		return
	}
	if use, due := dispatcher.TakeLimitUse(now); due {
		out.limitUses = append(out.limitUses, outgoingLimitUse{to: requester.OtherCandidates(s.Self), lane: lane, use: use})
	}
}

// sendLimitUses sends the messages about the use of the limits.
func (s *Service) sendLimitUses(messages []outgoingLimitUse) {
	for _, message := range messages {
		for _, to := range message.to {
			s.transport.SendLimitUse(to, message.lane, message.use)
			s.Metrics.limitUses.WithLabelValues("sent").Inc()
		}
	}
}

// delayUnusedSince records that this node admits a request of a limited tenant by itself. The
// caller holds mu.
func (s *Service) delayUnusedSince(now time.Time) {
	s.unusedSince = now
	for _, requester := range s.requesters {
		requester.DelayUnusedSince(now)
	}
}

// returnAdmission returns the admission of a request that was refused for overload. It started
// nowhere, so its tenant keeps the token.
func (s *Service) returnAdmission(admission *receivedGrant, cause error) {
	overloaded := (*OverloadedError)(nil)
	if admission == nil || !errors.As(cause, &overloaded) {
		return
	}
	s.mu.Lock()
	if requester := s.requesters[admission.lane]; requester != nil {
		requester.ReturnAdmission(admission.grant, time.Now())
	}
	s.mu.Unlock()
	s.runDueWork()
}
