package limits

import (
	"time"

	"ringstream.example/ringstream/internal/core/identity"
	"ringstream.example/ringstream/internal/core/policy"
	"ringstream.example/ringstream/internal/core/quota"
)

const (
	// adoptionPeriod is how long a new owner of a concurrency limit only records
	// the permits that borrowers report to hold, before it lends further ones.
	adoptionPeriod = time.Second
	// permitRetryPerBorrower, multiplied by the number of the limit's borrowers,
	// is how long a borrower that got too few permits waits before it retries.
	// minPermitRetry and maxPermitRetry bound the product.
	permitRetryPerBorrower = 20 * time.Millisecond
	minPermitRetry         = 100 * time.Millisecond
	maxPermitRetry         = 2 * time.Second
	// unknownRowRetry is how long a borrower waits when the owner's table does
	// not have the row yet.
	unknownRowRetry = 200 * time.Millisecond
)

// lender is the state of one set of limits that this node lends as owner or deputy.
type lender struct {
	requests     quota.RateLender
	tokens       quota.RateLender
	permits      quota.PermitLender
	lastAskAt    time.Time
	nextRecallAt time.Time // earliest time of the next recall
}

// recall is a recallMessage with its recipients.
type recall struct {
	message recallMessage
	holders []identity.NodeID
}

// recallInterval is the minimum time between two recalls of one limit.
const recallInterval = time.Second

// lenderFor returns the lender of a set of limits, which it creates if needed.
// It returns nil if this node is neither owner nor deputy. The caller holds mu.
func (s *Service) lenderFor(key meterKey, now time.Time) *lender {
	if found := s.lenders[key]; found != nil {
		return found
	}
	ownerKey := key.ownerKey()
	if !s.ownership.mayLend(ownerKey) {
		return nil
	}
	since := s.ownership.ownedSince(ownerKey, now)
	lendFrom := since.Add(adoptionPeriod)
	if s.ownership.alwaysAlone() {
		lendFrom = since // no node can hold permits of an earlier owner
	}
	created := &lender{requests: quota.NewRateLender(since), tokens: quota.NewRateLender(since), permits: quota.NewPermitLender(lendFrom)}
	s.lenders[key] = created
	return created
}

// answerAsk lends what an ask requests. ok is false if this node does not lend
// the limit, or if the ask is older than one already seen. The caller holds mu.
func (s *Service) answerAsk(from identity.NodeID, request ask, now time.Time) (reply answer, ok bool) {
	reply = answer{Sequence: request.Sequence}
	row, exists := s.rows.Table().Row(request.Row)
	if !exists {
		wait := loan{RetryAfter: milliseconds(unknownRowRetry)}
		reply.Requests, reply.Tokens = wait, wait
		reply.Permits = permits{Given: true, Total: request.Permits.Hold, RetryAfter: wait.RetryAfter}
		return reply, true
	}
	entry := s.lenderFor(request.key(), now)
	if entry == nil {
		return answer{}, false
	}
	entry.lastAskAt = now
	limits := row.Limits
	if request.Tenant != "" {
		limits = row.TenantLimits
	}
	reply.Requests = lendRate(&entry.requests, now, limits.RequestsPerSecond, request.Requests, s.parameters)
	reply.Tokens = lendRate(&entry.tokens, now, limits.TokensPerSecond, request.Tokens, s.parameters)
	if request.Permits.Sequence == 0 {
		return reply, true
	}
	reply.Permits, ok = entry.lendPermits(from, now, limits, request.Permits, s.parameters)
	if entry.permits.RecentlyShort(now) && !now.Before(entry.nextRecallAt) {
		entry.nextRecallAt = now.Add(recallInterval)
		message := recallMessage{Row: request.Row, Tenant: request.Tenant}
		s.pendingRecalls = append(s.pendingRecalls, recall{message: message, holders: entry.permits.Holders(from)})
	}
	return reply, ok
}

// lendRate lends credits of one rate, after it has accepted the credits returned.
func lendRate(rateLender *quota.RateLender, now time.Time, limit float64, request rateAsk, parameters quota.Parameters) loan {
	if limit <= 0 { // removed in this node's table, but not yet in the borrower's
		return loan{Credits: request.Want}
	}
	if request.Back > 0 {
		rateLender.Return(now, limit, float64(request.Back), parameters)
	}
	if request.Want == 0 {
		return loan{}
	}
	return toLoan(rateLender.Lend(now, limit, float64(request.Need), float64(request.Want), parameters))
}

// lendPermits lends permits of a concurrency limit. The result is false if the
// request is older than one already seen.
func (l *lender) lendPermits(from identity.NodeID, now time.Time, limits policy.Limits, request permitAsk, parameters quota.Parameters) (permits, bool) {
	if limits.Concurrency <= 0 { // removed in this node's table, but not yet in the borrower's
		return permits{Given: true, Total: request.Want}, true
	}
	quotaAsk := quota.PermitRequest{Sequence: request.Sequence, Hold: int(request.Hold), Want: int(request.Want)}
	total, ok := l.permits.Lend(now, from, limits.Concurrency, quotaAsk, parameters)
	if !ok {
		return permits{}, false
	}
	reply := permits{Given: true, Total: uint32(total), Short: !l.permits.Abundant(now)} //nolint:gosec // at most the limit
	if total < int(request.Want) {
		wait := min(max(minPermitRetry, time.Duration(l.permits.Borrowers())*permitRetryPerBorrower), maxPermitRetry)
		reply.RetryAfter = milliseconds(wait)
	}
	return reply, true
}

// dropLenders deletes the lenders of limits that this node no longer lends, and
// the permits of nodes that are no longer live. The caller holds mu.
func (s *Service) dropLenders() {
	for key, entry := range s.lenders {
		if !s.ownership.mayLend(key.ownerKey()) {
			delete(s.lenders, key)
			continue
		}
		entry.permits.RetainNodes(s.ownership.isLive)
	}
}
