package grant

import (
	"time"

	"ringstream.example/ringstream/internal/core/quota"
	"ringstream.example/ringstream/internal/core/returns"
)

// A tenant that sends more than its limit has many requests refused. If all of them were told
// when one token is there, all would come back for that one. So each gets a place of its own,
// one a token.

const (
	// maxReturnsPerTenant bounds the places that are booked for one tenant.
	maxReturnsPerTenant = 512
	// returnKeptFor is how long a token is kept for a request that comes back later than told,
	// for the time that its client and the network take.
	returnKeptFor = 150 * time.Millisecond
	// returnTimeDivisor is the part of the time that a client has left within which it follows
	// a Retry-After.
	returnTimeDivisor = 3
	// minReturnDelay is the interval at which a dispatcher advances the limits.
	minReturnDelay = 10 * time.Millisecond
	// expireInterval is the interval at which the places of tenants that send nothing more are
	// removed.
	expireInterval = time.Second
	// maxReturnDelay bounds the return of a request whose client's time is not known.
	maxReturnDelay = 5 * time.Second
)

// limitReturns holds the schedules of the tenants' refused requests, keyed by TenantHash.
type limitReturns struct {
	byTenant  map[uint64]*returns.Schedule
	expiredAt time.Time // of all tenants
}

// expire removes the places of all tenants that are no longer kept.
func (l *limitReturns) expire(now time.Time) {
	if now.Sub(l.expiredAt) < expireInterval {
		return
	}
	l.expiredAt = now
	for tenant := range l.byTenant {
		l.of(tenant, now)
	}
}

// of returns a tenant's schedule without places that are no longer kept, or nil if it has no
// places.
func (l *limitReturns) of(tenant uint64, now time.Time) *returns.Schedule {
	schedule := l.byTenant[tenant]
	if schedule == nil {
		return nil
	}
	schedule.Expire(now)
	if schedule.Len() == 0 {
		delete(l.byTenant, tenant)
		return nil
	}
	return schedule
}

// orNew returns a tenant's schedule and creates it if there is none.
func (l *limitReturns) orNew(tenant uint64, now time.Time) *returns.Schedule {
	if schedule := l.of(tenant, now); schedule != nil {
		return schedule
	}
	if l.byTenant == nil {
		l.byTenant = make(map[uint64]*returns.Schedule)
	}
	schedule := returns.New(returns.Config{MaxPlaces: maxReturnsPerTenant, KeptFor: returnKeptFor})
	l.byTenant[tenant] = schedule
	return schedule
}

// reserve admits a request by its tenant's limit or refuses it. A request that comes back at
// its place has its token; all others leave the tokens of the places that are due.
func (d *Dispatcher) reserve(ask Ask, now time.Time) quota.Verdict {
	schedule := d.limitReturns.of(ask.Tenant, now)
	if schedule == nil || !d.keepsLimits() {
		return d.limits.Reserve(ask.Tenant)
	}
	if schedule.Arrive(ask.Content, now) == returns.Due {
		return d.limits.Reserve(ask.Tenant)
	}
	verdict := d.limits.ReserveBeside(ask.Tenant, schedule.DueBy(now))
	if verdict.Admitted {
		schedule.Release(ask.Content)
	}
	return verdict
}

// refuseByLimit refuses a request that its tenant's limit does not admit, unless it is to
// wait for nodes that are joining.
func (d *Dispatcher) refuseByLimit(from string, ask Ask, verdict quota.Verdict, now time.Time) {
	if d.awaitsNodes(verdict, now) {
		return
	}
	if d.awaitsUse() {
		known := d.nodes[from]
		known.unadmitted = append(known.unadmitted, ask)
		return
	}
	if d.keepsLimits() && ask.Content != 0 && verdict.Share > 0 {
		verdict.RetryAfter = d.bookReturn(ask, verdict, now)
	}
	reply := d.reply(from)
	reply.Refused = append(reply.Refused, Refusal{ID: ask.ID, Verdict: verdict, Start: d.limits.Start()})
}

// bookReturn books a place for a refused request and returns when it may come back. A request
// that gets no place within its time is told when the next one is free.
func (d *Dispatcher) bookReturn(ask Ask, verdict quota.Verdict, now time.Time) time.Duration {
	gap := d.limits.RefillInterval(ask.Tenant)
	if gap == 0 {
		return verdict.RetryAfter
	}
	schedule := d.limitReturns.orNew(ask.Tenant, now)
	first := time.Duration(max(1-verdict.Left, 0) * float64(gap))
	latest := maxReturnDelay
	if ask.EndsIn > 0 {
		latest = min(latest, ask.EndsIn/returnTimeDivisor)
	}
	at, booked := schedule.Book(ask.Content, now.Add(first), now.Add(latest), gap)
	if !booked {
		return max(first+time.Duration(schedule.Len())*gap, latest)
	}
	return max(at.Sub(now), minReturnDelay)
}
