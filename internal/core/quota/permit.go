package quota

import (
	"math"
	"slices"
	"time"

	"ringstream.example/ringstream/internal/core/identity"
)

// PermitRequest is a borrower's request to the owner of a concurrency limit.
type PermitRequest struct {
	// Sequence increases with each request of a borrower for this limit. An
	// owner ignores a request that is not newer than the last one it has seen.
	Sequence uint64
	// Hold is the number of permits that the borrower keeps, or the number of
	// its running requests where that is larger. Want is the number of permits
	// that it wants in all.
	Hold, Want int
}

// PermitLender is the owner's side of one concurrency limit.
type PermitLender struct {
	// lendFrom is the time from which permits may be lent beyond those that
	// borrowers declare. By then the borrowers of an earlier owner have reported
	// what they hold.
	lendFrom time.Time
	ledger   map[identity.NodeID]loanEntry
	// lastShortAt is when a borrower last got less than it wanted; free is what
	// was left of the limit after the last request.
	lastShortAt time.Time
	free, limit int
}

type loanEntry struct {
	sequence uint64
	reserved int
	want     int
	at       time.Time
}

// NewPermitLender returns a lender that lends nothing until lendFrom and only
// records what borrowers declare.
func NewPermitLender(lendFrom time.Time) PermitLender {
	return PermitLender{lendFrom: lendFrom, ledger: map[identity.NodeID]loanEntry{}}
}

// Lend answers a request with the total number of permits that the borrower
// holds; ok is false when the request is not newer than one already answered.
// The total may be less than Hold; the borrower then gives permits up with its
// next request.
func (l *PermitLender) Lend(now time.Time, from identity.NodeID, limit int, request PermitRequest, parameters Parameters) (total int, ok bool) {
	if request.Sequence <= l.ledger[from].sequence {
		return 0, false
	}
	l.ledger[from] = loanEntry{sequence: request.Sequence, reserved: request.Hold, want: max(request.Want, 0), at: now}
	free := limit - l.reserved(now, parameters)
	total = request.Hold
	if !now.Before(l.lendFrom) {
		total = min(max(request.Want, 0), max(0, request.Hold+free))
		total = min(total, l.fairTotal(limit))
	}
	if total < request.Want {
		l.lastShortAt = now
	}
	l.free = free - (total - request.Hold)
	l.limit = limit
	entry := l.ledger[from]
	entry.reserved = max(request.Hold, total)
	l.ledger[from] = entry
	return total, true
}

// reserved returns the sum of the permits that borrowers may hold, and removes
// borrowers that hold nothing and whose lease has ended.
func (l *PermitLender) reserved(now time.Time, parameters Parameters) int {
	sum := 0
	for node, entry := range l.ledger {
		held := parameters.decayed(entry.reserved, now.Sub(entry.at))
		if held == 0 && now.Sub(entry.at) > parameters.Lease {
			delete(l.ledger, node)
			continue
		}
		sum += held
	}
	return sum
}

// fairTotal returns the maximum number of permits for one borrower when the
// wants exceed the limit. This is the max-min fair share: the level at which the
// wants, each capped to it, fill the limit. It is at least 1.
func (l *PermitLender) fairTotal(limit int) int {
	sum := 0
	for _, entry := range l.ledger {
		sum += entry.want
	}
	if sum <= limit {
		return limit
	}
	wants := make([]int, 0, len(l.ledger))
	for _, entry := range l.ledger {
		wants = append(wants, entry.want)
	}
	slices.Sort(wants)
	left := limit
	for i, want := range wants {
		level := left / (len(wants) - i)
		if want > level {
			return max(1, level)
		}
		left -= want
	}
	return limit
}

// RecentlyShort reports whether a borrower got fewer permits than it wanted in the last
// two seconds.
func (l *PermitLender) RecentlyShort(now time.Time) bool {
	const shortWindow = 2 * time.Second
	return now.Sub(l.lastShortAt) < shortWindow
}

// Abundant reports whether borrowers may keep idle permits until they renew them.
func (l *PermitLender) Abundant(now time.Time) bool {
	const minFree = 2
	return !l.RecentlyShort(now) && l.free >= max(l.limit/2, minFree)
}

// Holders returns the nodes that hold permits, without the given one.
func (l *PermitLender) Holders(except identity.NodeID) []identity.NodeID {
	var holders []identity.NodeID
	for node, entry := range l.ledger {
		if entry.reserved > 0 && node != except {
			holders = append(holders, node)
		}
	}
	slices.Sort(holders)
	return holders
}

// RetainNodes removes the borrowers for which live returns false.
func (l *PermitLender) RetainNodes(live func(identity.NodeID) bool) {
	for node := range l.ledger {
		if !live(node) {
			delete(l.ledger, node)
		}
	}
}

// Borrowers returns the number of nodes that hold or want permits.
func (l *PermitLender) Borrowers() int { return len(l.ledger) }

// PermitMeter is a borrower's side of one concurrency limit, on one node.
type PermitMeter struct {
	held, running int
	// leaseStart is when the request was sent whose answer granted the permits.
	leaseStart time.Time
	sequence   uint64
	sentAt     time.Time
	unanswered bool // whether the last request is unanswered
	// peak is the maximum number that ran at once since the last request.
	peak        int
	deniedUntil time.Time
}

// NewPermitMeter returns a meter whose requests have sequence numbers above the
// given one. A node that drops a meter and creates it again must not reuse old
// sequence numbers.
func NewPermitMeter(after uint64) PermitMeter { return PermitMeter{sequence: after} }

// Usable returns the number of permits that are valid now.
func (m *PermitMeter) Usable(now time.Time, parameters Parameters) int {
	return parameters.decayed(m.held, now.Sub(m.leaseStart))
}

// CanAdmit reports whether one more request may run.
func (m *PermitMeter) CanAdmit(now time.Time, parameters Parameters) bool {
	return m.running < m.Usable(now, parameters)
}

// Spend counts the start of a request for which CanAdmit was true.
func (m *PermitMeter) Spend() {
	m.running++
	m.peak = max(m.peak, m.running)
}

// Release counts the end of a request.
func (m *PermitMeter) Release() { m.running-- }

// ForgetPeak makes the next request give up the permits that are not in use.
func (m *PermitMeter) ForgetPeak() { m.peak = m.running }

// Scale keeps a part of the permits, rounded up, after their limit was lowered.
func (m *PermitMeter) Scale(part float64) { m.held = int(math.Ceil(float64(m.held) * part)) }

// Sequence returns the sequence number of the last request.
func (m *PermitMeter) Sequence() uint64 { return m.sequence }

// Running returns the number of running requests.
func (m *PermitMeter) Running() int { return m.running }

// Held returns the number of permits held, without regard to their lease.
func (m *PermitMeter) Held() int { return m.held }

// Ask returns the next request to the owner. It wants permits for the peak
// number of running requests since the last one and for `more` waiting requests,
// and gives up permits beyond that.
func (m *PermitMeter) Ask(now time.Time, more int) PermitRequest {
	want := max(m.running, m.peak) + more
	m.peak = m.running
	m.held = min(m.held, want)
	m.sequence++
	m.sentAt = now
	m.unanswered = true
	return PermitRequest{Sequence: m.sequence, Hold: max(m.held, m.running), Want: want}
}

// Receive applies the answer to a request. An answer to any but the last request
// is ignored.
func (m *PermitMeter) Receive(now time.Time, sequence uint64, total int, retryAfter time.Duration) {
	if sequence != m.sequence || !m.unanswered {
		return
	}
	m.unanswered = false
	m.held = total
	m.leaseStart = m.sentAt
	m.deniedUntil = time.Time{}
	if m.running >= m.held {
		m.deniedUntil = now.Add(retryAfter)
	}
}

// RetryAfter returns how long the meter is to wait before it asks again, or zero.
func (m *PermitMeter) RetryAfter(now time.Time) time.Duration { return max(0, m.deniedUntil.Sub(now)) }
