package quota

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// TenantUse is what is left of one tenant's limit.
type TenantUse struct {
	Tenant uint64
	Left   float64 // requests that the tenant could still start, over all nodes
}

// Use is what a counter tells of the tenants' limits.
type Use struct {
	// Tenants holds the tenants that have the smallest part of their burst left.
	Tenants []TenantUse
	// Rest is the part of its burst that each tenant has left at least that is not listed; at
	// most 1.
	Rest float64
}

// KnownUse is the Use that another counter told.
type KnownUse struct {
	At   time.Time // when it was true, at the latest; on the clock of the counter that reads it
	Left map[uint64]float64
	Rest float64
}

// NewKnownUse returns a Use that was told and true at a time.
func NewKnownUse(use Use, at time.Time) KnownUse {
	known := KnownUse{At: at, Rest: use.Rest, Left: make(map[uint64]float64, len(use.Tenants))}
	for _, tenant := range use.Tenants {
		known.Left[tenant.Tenant] = tenant.Left
	}
	return known
}

// left returns what a tenant has left, given the capacity and the refill rate of its bucket.
func (k KnownUse) left(tenant uint64, capacity, rate float64, now time.Time) float64 {
	level, listed := k.Left[tenant]
	if !listed {
		level = k.Rest * capacity
	}
	return min(level+max(now.Sub(k.At), 0).Seconds()*rate, capacity)
}

// untoldMargin is the part of the margin that a tenant may use before its counter must tell
// its use again. Twice as much, the use between two messages of which the first is lost, is
// startMargin.
const untoldMargin = 0.125

// toldResolution is the resolution of TenantUse.Left, in requests. A coarse number takes
// fewer bytes in a message.
const toldResolution = 0.125

// keptUse is the state of a counter that keeps the use of the limits beyond a counter's end.
type keptUse struct {
	enabled bool
	known   []KnownUse // of the counters that the joining nodes may have left
	tellNow bool       // a tenant has used untoldMargin since Use, or Tell was called
	// withoutCredit reports that the nodes which join or leave have no credit (MoveWithoutCredit), and
	// uncredited is the part of all nodes that are counted without it.
	withoutCredit bool
	uncredited    float64
	start         Start
	// The nodes that have left and not come back, as a part of all nodes, and when the last
	// of them left.
	leftShare float64
	leftAt    time.Time
}

// Start tells from what a counter began to count the nodes that joined it last.
type Start struct {
	Known bool          // the use that another counter told
	Age   time.Duration // of that use
}

// KeepUse makes the counter take over the use of the limits with the nodes that join it, as
// other counters have told it (SetKnown), and give it up with the nodes that leave it.
//
// # Worst overshoot
//
// A bucket holds credit in proportion to the part of the nodes that the counter has. When
// nodes leave, the counter gives up their part of the credit. When they join, it adds their
// part of what the told use leaves, refilled for the time since then. So credit moves with
// the nodes and no counter adds credit of its own where the use is known: p, in the bound of
// RateCounter, counts only the counters that began without known use. Two terms replace it:
//
//   - U, for each counter that ended: what it admitted since the last use that was heard. It
//     tells its use as soon as a tenant has used a*untoldMargin, so U is at most that if its
//     last message arrives, and twice as much if one is lost, which equals the start without
//     known use. Use of which nothing was heard for the time in which nodes count at two
//     counters is not taken over.
//   - K, for each counter that goes on while nodes have left it unnoticed, because it was cut
//     off or paused: a*unconfirmedMargin, which takes the place of the start without known use. A
//     tenant spends more of its burst only while the nodes have confirmed, some tens of
//     milliseconds ago at most, that they still belong to the counter (NeedsConfirmation,
//     grant.AttachmentQuestion). A tenant that sends its burst through both sides within that time
//     can have it admitted twice.
//
// A node whose process has just started has admitted nothing through any counter since then.
// Its part is refilled for that time (Refill). Nodes that left and come back within returnTime,
// while no other counter tells a use, bring the credit that they left with; what they used in
// between belongs to U. Another counter may count the node's part for
// as long as a node that moved, so this is covered by R*M.
func (p *RateCounter) KeepUse() { p.keptUse.enabled = true }

// SetKnown sets the use that is taken over as nodes join, one KnownUse for each counter that
// they may have left. The smallest counts. Without any, the use is not known.
func (p *RateCounter) SetKnown(known []KnownUse) { p.keptUse.known = known }

// Start returns from what the counter began.
func (p *RateCounter) Start() Start { return p.keptUse.start }

// returnTime is the time within which nodes that come back bring the credit that was given up
// with them, if no other counter tells a use. They found no other counter, as while all nodes
// start. It is the time for which nodes may count at two counters.
const returnTime = 600 * time.Millisecond

// moveCredit gives up the credit of the nodes that have left since the former share, or adds
// that of the nodes that have joined.
func (p *RateCounter) moveCredit(former float64) {
	kept := &p.keptUse
	if kept.withoutCredit {
		kept.uncredited = min(max(kept.uncredited+p.share-former, 0), p.share)
		return
	}
	if kept.enabled && p.share < former {
		p.forgetLeft()
		for _, known := range p.tenants {
			p.withdraw(known, former)
		}
		kept.leftShare += former - p.share
		kept.leftAt = p.advancedAt
		kept.uncredited = min(kept.uncredited, p.share)
		return
	}
	returned := p.returnedPart(p.share - former)
	for tenant, known := range p.tenants {
		credit := p.startCredit(tenant, known, former, returned)
		known.withdrawn *= 1 - returned
		known.fill(credit, p.capacity(known.limit))
	}
	kept.leftShare = max(kept.leftShare-(p.share-former), 0)
}

// returnedPart returns which part of the credit that was given up belongs to a part of the nodes that comes
// back.
func (p *RateCounter) returnedPart(joined float64) float64 {
	if p.keptUse.leftShare <= 0 {
		return 0
	}
	return min(joined/p.keptUse.leftShare, 1)
}

// forgetLeft drops the credit of nodes that left longer than returnTime ago, which a later leave
// would otherwise make returnable again.
func (p *RateCounter) forgetLeft() {
	kept := &p.keptUse
	if p.advancedAt.Sub(kept.leftAt) <= returnTime {
		return
	}
	kept.leftShare = 0
	for _, known := range p.tenants {
		known.withdrawn = 0
	}
}

// withdraw gives up the credit of the nodes that have left since the former share.
func (p *RateCounter) withdraw(known *counterBucket, former float64) {
	credited := former - p.keptUse.uncredited
	if known.level > 0 && credited > 0 {
		credit := known.level * min((former-p.share)/credited, 1)
		known.level -= credit
		known.withdrawn += credit
	}
}

// startCredit returns the credit that a tenant gets for the nodes that have joined since the
// former share. Returned is the part of those that left before.
func (p *RateCounter) startCredit(tenant uint64, known *counterBucket, former, returned float64) float64 {
	kept := &p.keptUse
	if len(kept.known) == 0 {
		kept.start = Start{}
		credit := max(p.share-p.maxShare, 0) * p.startPart * p.margin.requests(known.limit)
		if p.advancedAt.Sub(kept.leftAt) <= returnTime {
			credit += known.withdrawn * returned
		}
		return credit
	}
	newest := kept.known[0].At
	for _, told := range kept.known {
		if told.At.After(newest) {
			newest = told.At
		}
	}
	kept.start = Start{Known: true, Age: p.advancedAt.Sub(newest)}
	return (p.share - former) * p.toldLeft(tenant, known.limit)
}

// MoveWithoutCredit sets whether nodes that join bring their part of the refill only, and nodes that leave
// take nothing along. Their part of what is left is added by AddCredit, once it is known.
func (p *RateCounter) MoveWithoutCredit(without bool) { p.keptUse.withoutCredit = without }

// AddCredit adds the credit of a part of the nodes, which have joined without it: their part of what the
// told uses leave, or without a use what they left with within returnTime.
func (p *RateCounter) AddCredit(part float64, known []KnownUse) {
	kept := &p.keptUse
	kept.known = known
	kept.uncredited = max(kept.uncredited-part, 0)
	returned := p.returnedPart(part)
	for tenant, bucket := range p.tenants {
		p.refill(bucket)
		credit := 0.0
		if len(known) > 0 {
			credit = part * p.toldLeft(tenant, bucket.limit)
		} else if p.advancedAt.Sub(kept.leftAt) <= returnTime {
			credit = bucket.withdrawn * returned
		}
		bucket.withdrawn *= 1 - returned
		bucket.fill(credit, p.capacity(bucket.limit))
	}
	kept.leftShare = max(kept.leftShare-part, 0)
	kept.known = nil
}

// toldLeft returns what the told uses leave of a tenant's limit. At least one use must be set.
func (p *RateCounter) toldLeft(tenant uint64, limit RateLimit) float64 {
	capacity, rate := p.fullCapacity(limit), p.fullRate(limit)
	left := capacity
	for _, told := range p.keptUse.known {
		left = min(left, told.left(tenant, capacity, rate, p.advancedAt))
	}
	return left
}

// Refill adds the refill of a part of the nodes for a time in which they admitted nothing
// and counted at no counter.
func (p *RateCounter) Refill(part float64, unused time.Duration) {
	for _, known := range p.tenants {
		p.refill(known)
		full := min(p.fullRate(known.limit)*unused.Seconds(), p.fullCapacity(known.limit))
		known.fill(part*full, p.capacity(known.limit))
	}
}

// recordUntold records that a request has started.
func (p *RateCounter) recordUntold(known *counterBucket) {
	known.untold++
	if known.untold >= untoldMargin*p.margin.requests(known.limit) {
		p.keptUse.tellNow = true
	}
}

// Tell makes the counter tell its use at once, because nodes leave it.
func (p *RateCounter) Tell() { p.keptUse.tellNow = true }

// MustTell reports whether a tenant has used so much since Use that it must be told at once.
func (p *RateCounter) MustTell() bool { return p.keptUse.tellNow }

// Use returns the use of the limits over all nodes, with at most the given number of
// tenants. It assumes that the nodes of other counters have used their part of each limit
// as those of this counter have. Nodes without credit count as if they had used all of theirs.
func (p *RateCounter) Use(most int) Use {
	p.keptUse.tellNow = false
	if p.share == 0 {
		return Use{}
	}
	type partLeft struct {
		TenantUse
		part float64
	}
	var list []partLeft
	for tenant, known := range p.tenants {
		p.refill(known)
		known.untold = 0
		capacity := p.fullCapacity(known.limit)
		if left := known.level / p.share; left < capacity {
			rounded := math.Floor(left/toldResolution) * toldResolution
			list = append(list, partLeft{TenantUse{Tenant: tenant, Left: rounded}, rounded / capacity})
		}
	}
	if len(list) > most {
		slices.SortFunc(list, func(a, b partLeft) int { return cmp.Or(cmp.Compare(a.part, b.part), cmp.Compare(a.Tenant, b.Tenant)) })
	}
	use := Use{Rest: 1}
	for i, tenant := range list {
		if i == most {
			use.Rest = tenant.part
			break
		}
		use.Tenants = append(use.Tenants, tenant.TenantUse)
	}
	return use
}

// RefillInterval returns the time in which a tenant's limit admits one request, or zero if
// the tenant has no limit or nothing is refilled.
func (p *RateCounter) RefillInterval(tenant uint64) time.Duration {
	known := p.tenants[tenant]
	if known == nil || p.rate(known.limit) <= 0 {
		return 0
	}
	return time.Duration(float64(time.Second) / p.rate(known.limit))
}
