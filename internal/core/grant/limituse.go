package grant

import (
	"time"

	"ringstream.example/ringstream/internal/core/quota"
)

// A dispatcher tells the use of the tenants' limits to the other candidates of its lane, so
// that one that becomes the dispatcher knows it. The load that calls for it is the loss of a
// dispatcher while tenants send what their limits allow: without the use, the next one
// refuses requests within a limit, or admits a burst again that was used.

const (
	// useInterval is the time between two messages while a tenant has used a part of its
	// burst. A dispatcher may be lost at any time, so the interval is a small part of the
	// time in which nodes turn to the next one.
	useInterval = 100 * time.Millisecond
	// fullUseInterval is the same while all bursts are left. One message may be lost before
	// the use counts as unknown.
	fullUseInterval = 250 * time.Millisecond
	// maxUseAge is the age of a use up to which the nodes that join a new dispatcher bring what it
	// leaves.
	maxUseAge = 2 * fullUseInterval
	// minUseInterval bounds the messages that large requests of tenants call for.
	minUseInterval = 10 * time.Millisecond
	// maxJoinTime is the time in which the nodes turn to a dispatcher that ranks before theirs
	// (RequesterConfig.MaxSilentBackoff).
	maxJoinTime = 2 * time.Second
	// maxToldTenants bounds a message to 24 KB, below the size of the largest datagram.
	maxToldTenants = 1200
)

// KeepLimits makes the dispatcher tell its use of the tenants' limits and take over what
// others have told. It must be called before the first State is applied.
func (d *Dispatcher) KeepLimits(exchange *UseExchange) {
	d.exchange = exchange
	if d.limits != nil {
		d.limits.KeepUse()
	}
}

// keepsLimits reports whether the dispatcher counts limits and keeps their use.
func (d *Dispatcher) keepsLimits() bool { return d.limits != nil && d.exchange != nil }

// TakeLimitUse returns the message about the use of the limits that is due, if any.
func (d *Dispatcher) TakeLimitUse(now time.Time) (LimitUse, bool) {
	if last := d.lastUse; last != nil {
		d.lastUse = nil
		return d.exchange.message(*last, now), true
	}
	if !d.keepsLimits() || d.limitShare == 0 {
		return LimitUse{}, false
	}
	interval := fullUseInterval
	if d.exchange.toldPartial {
		interval = useInterval
	}
	if d.limits.MustTell() {
		interval = minUseInterval
	}
	if now.Sub(d.exchange.toldAt) < interval {
		return LimitUse{}, false
	}
	return d.exchange.message(d.limits.Use(maxToldTenants), now), true
}

// tellBeforeLeave has the use told when a node turns to another dispatcher, which waits for it. The last
// node takes the dispatcher's part with it, so the use is read before.
func (d *Dispatcher) tellBeforeLeave(now time.Time) {
	if !d.keepsLimits() || d.limitShare == 0 {
		return
	}
	d.limits.Tell()
	if d.Attached(now) == 1 {
		use := d.limits.Use(maxToldTenants)
		d.lastUse = &use
	}
}

// updateAttachment records a node's State, and updates the dispatcher's part of the limits with it.
func (d *Dispatcher) updateAttachment(known *nodeState, state State, now time.Time) {
	wasAttached := d.isAttached(known, now)
	joined := state.Attached && !wasAttached
	returns := joined && d.keepsLimits() && known.confirms && !known.attachedAt.IsZero()
	if wasAttached && !state.Attached && d.keepsLimits() {
		d.tellBeforeLeave(now)
		d.detach(known, now)
	}
	if joined {
		d.advanceLimits(now)
		known.attachedAt, known.turnedAt, known.asked = now, time.Time{}, false
	}
	known.sequence, known.lastStateAt, known.zone, known.attached = state.Sequence, now, state.Zone, state.Attached
	if returns {
		d.reattach(known, now, now)
	} else if joined {
		known.creditedAt = now
	}
	d.joinLimits(known, state, joined && !returns, now)
}

// joinLimits updates the dispatcher's part of the limits with a node's State, whose arrival
// is recorded already. Joined reports that the node was not attached before.
func (d *Dispatcher) joinLimits(known *nodeState, state State, joined bool, now time.Time) {
	if !d.keepsLimits() {
		d.advanceLimits(now)
		return
	}
	isNew := state.UnusedFor > 0
	if joined && !isNew {
		d.limits.SetKnown(d.exchange.fresh(now, maxUseAge))
	}
	d.advanceLimits(now)
	d.limits.SetKnown(nil)
	if !state.Attached || d.liveNodes == 0 {
		return
	}
	if isNew && !known.refilled {
		known.refilled = true
		d.limits.Refill(1/float64(d.liveNodes), state.UnusedFor)
	}
	d.refillNewFleet(known, now)
}

// refillNewFleet adds the time in which a former dispatcher might have counted the nodes
// beside this one, once all live nodes are attached and none of them has been counted by
// another dispatcher since its process started. Then no former dispatcher lives, since its
// process would be a node that has been counted. The bound of quota.RateCounter includes
// that time.
func (d *Dispatcher) refillNewFleet(known *nodeState, now time.Time) {
	if !known.refilled {
		d.notNewFleet = true
	}
	if d.notNewFleet || d.Attached(now) < d.liveNodes {
		return
	}
	d.notNewFleet = true
	d.limits.Refill(1, d.config.AttachmentTimeout)
}

// awaitsNodes reports whether a request that a limit does not admit is to wait for the nodes
// that are still moving to this dispatcher. Each brings its part of the credit, and with all
// of them the tenant would be within its limit.
func (d *Dispatcher) awaitsNodes(verdict quota.Verdict, now time.Time) bool {
	return d.keepsLimits() && verdict.Share > 0 && verdict.Share < 1 &&
		now.Sub(d.countingSince) < maxJoinTime && verdict.Left >= verdict.Share
}

// SetUnusedSince sets the time since which this node has admitted no request of a tenant with a
// limit. It is told to the dispatcher until one replies that it counts the node.
func (r *Requester) SetUnusedSince(at time.Time) { r.unusedSince = at }

// DelayUnusedSince records that this node may have admitted a request by itself.
func (r *Requester) DelayUnusedSince(now time.Time) {
	if !r.unusedSince.IsZero() {
		r.unusedSince = now
	}
}

// ReturnAdmission returns an admission whose request was not started. The dispatcher counts it back
// while it still knows the grant, for DispatcherConfig.GrantTimeout.
func (r *Requester) ReturnAdmission(granted Grant, now time.Time) {
	r.ended = append(r.ended, endedReport{ended: Ended{ID: granted.ID, Engine: granted.Engine, Result: returnedAdmission, Unused: true}, at: now})
	r.scheduleSend(now)
}

// UseExchange is a node's exchange of the use of the limits with the other candidates of a
// lane. It outlives the node's dispatcher of the lane.
type UseExchange struct {
	life        uint64
	startedAt   time.Time
	sequence    uint64
	toldAt      time.Time
	own         quota.KnownUse          // what this node's dispatcher has told last
	toldPartial bool                    // some tenant had less than its burst left when last told
	bySender    map[uint64]*heardSender // keyed by LimitUse.Life
}

// heardSender is what one dispatcher has told.
type heardSender struct {
	sequence uint64
	heardAt  time.Time
	use      quota.KnownUse
	// The smallest difference between the time of arrival and LimitUse.Elapsed, of the
	// current span of offsetSpan and of the one before. The message of that difference
	// arrived without delay, others by as much later as theirs is larger. The clocks of two
	// machines drift, so old differences are forgotten.
	offset, formerOffset time.Time
	offsetSince          time.Time
}

const (
	offsetSpan = 10 * time.Second
	// heardRetention is how long a dispatcher is remembered that tells nothing more.
	heardRetention = time.Minute
)

// NewUseExchange returns the exchange of a node with the given LifeHash.
func NewUseExchange(life uint64, now time.Time) *UseExchange {
	return &UseExchange{life: life, startedAt: now, bySender: make(map[uint64]*heardSender)}
}

// message returns the next message of this node's dispatcher.
func (e *UseExchange) message(use quota.Use, now time.Time) LimitUse {
	e.sequence++
	e.toldAt, e.toldPartial, e.own = now, len(use.Tenants) > 0, quota.NewKnownUse(use, now)
	return LimitUse{Life: e.life, Sequence: e.sequence, Elapsed: now.Sub(e.startedAt), Use: use}
}

// Record records a message. It reports whether the message is newer than the last one of its
// sender.
func (e *UseExchange) Record(message LimitUse, now time.Time) bool {
	sender := e.bySender[message.Life]
	if sender == nil {
		e.forgetSilent(now)
		sender = &heardSender{}
		e.bySender[message.Life] = sender
	}
	if message.Sequence <= sender.sequence {
		return false
	}
	sender.sequence, sender.heardAt = message.Sequence, now
	sender.use = quota.NewKnownUse(message.Use, sender.sentAt(message.Elapsed, now))
	return true
}

// sentAt returns when a message was sent that arrives now.
func (s *heardSender) sentAt(elapsed time.Duration, now time.Time) time.Time {
	offset := now.Add(-elapsed)
	if s.offsetSince.IsZero() || now.Sub(s.offsetSince) >= offsetSpan {
		s.formerOffset, s.offset, s.offsetSince = s.offset, offset, now
	}
	if offset.Before(s.offset) {
		s.offset = offset
	}
	if !s.formerOffset.IsZero() && s.formerOffset.Before(s.offset) {
		return s.formerOffset.Add(elapsed)
	}
	return s.offset.Add(elapsed)
}

// withOwn adds what this node's dispatcher has told within an age. Nodes that come back to it may have
// left it for a dispatcher that does not know what it had admitted.
func (e *UseExchange) withOwn(told []quota.KnownUse, now time.Time, age time.Duration) []quota.KnownUse {
	if len(told) > 0 && now.Sub(e.own.At) <= age {
		return append(told, e.own)
	}
	return told
}

// since returns the use that others told at a time or later.
func (e *UseExchange) since(at time.Time) []quota.KnownUse {
	var list []quota.KnownUse
	for _, sender := range e.bySender {
		if !sender.use.At.Before(at) {
			list = append(list, sender.use)
		}
	}
	return list
}

// forgetSilent forgets the dispatchers that have been silent for heardRetention.
func (e *UseExchange) forgetSilent(now time.Time) {
	for life, sender := range e.bySender {
		if now.Sub(sender.heardAt) > heardRetention {
			delete(e.bySender, life)
		}
	}
}

// AdjustForSuspension ages what was heard by the time for which this node's machine was
// suspended.
func (e *UseExchange) AdjustForSuspension(gap time.Duration) {
	e.own.At = e.own.At.Add(-gap)
	for _, sender := range e.bySender {
		sender.heardAt = sender.heardAt.Add(-gap)
		sender.use.At = sender.use.At.Add(-gap)
		sender.offset = sender.offset.Add(-gap)
		if !sender.formerOffset.IsZero() {
			sender.formerOffset = sender.formerOffset.Add(-gap)
		}
	}
}

// fresh returns the use that was told no longer ago than the given age.
func (e *UseExchange) fresh(now time.Time, age time.Duration) []quota.KnownUse {
	var list []quota.KnownUse
	for _, sender := range e.bySender {
		if now.Sub(sender.use.At) <= age {
			list = append(list, sender.use)
		}
	}
	return list
}
