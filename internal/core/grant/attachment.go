package grant

import (
	"time"

	"ringstream.example/ringstream/internal/core/quota"
)

// A dispatcher counts a node as attached for AttachmentTimeout, while the node turns to the next
// dispatcher some tens of milliseconds after the first message that is not replied to. Without more,
// both would spend the node's part of a burst. So a dispatcher asks its nodes whether they are still
// attached before it lets a tenant spend more than the margin of its burst
// (quota.RateCounter.NeedsConfirmation). A node that does not answer gives its part up, and one that
// was attached elsewhere in the meantime brings its part back as the other dispatcher has left it.

const (
	// minConfirmationLifetime is how long the answers of the nodes are relied on, for a lane with few
	// nodes. It is about the time in which a node turns to another dispatcher.
	minConfirmationLifetime = 50 * time.Millisecond
	// confirmationLifetimePerNode bounds the questions to 2,000 a second.
	confirmationLifetimePerNode = 500 * time.Microsecond
	// maxConfirmationTries is the number of questions, one in each Tick, after which a node that does
	// not answer no longer counts as attached.
	maxConfirmationTries = 4
)

// AttachmentQuestion asks a node whether it is attached to the dispatcher.
type AttachmentQuestion struct {
	// Asked is the time from the dispatcher's start to the first question of the round.
	Asked time.Duration
}

// AttachmentAnswer is a node's answer to an AttachmentQuestion.
type AttachmentAnswer struct {
	Life     uint64        // LifeHash of the node
	Asked    time.Duration // of the question
	Attached bool
	For      time.Duration // time since the node turned to the dispatcher
}

// AttachmentMessage is a message about the attachment of a node in a lane. Exactly one of its questions and
// answers is set.
type AttachmentMessage struct {
	Lane     Lane
	Question *AttachmentQuestion
	Answer   *AttachmentAnswer
}

// confirmation is a dispatcher's knowledge of which nodes are still attached to it.
type confirmation struct {
	askedAt     time.Time // when the current round began; zero if there is none
	tries       int       // questions of the round to nodes that have not answered
	confirmedAt time.Time // when the last completed round began
	due         bool      // the questions of the next try have to be sent
	suspendedAt time.Time // when the last suspension of the machine was noticed
}

// confirmationLifetime is how long a round of confirmations is relied on.
func (d *Dispatcher) confirmationLifetime() time.Duration {
	return max(minConfirmationLifetime, time.Duration(len(d.nodes))*confirmationLifetimePerNode)
}

// awaitsConfirmation reports whether a tenant's request has to wait until the nodes have confirmed that
// they are attached. It begins a round of questions if none is under way.
func (d *Dispatcher) awaitsConfirmation(tenant uint64, now time.Time) bool {
	if !d.keepsLimits() || !d.limits.NeedsConfirmation(tenant) {
		return false
	}
	if !d.confirmation.askedAt.IsZero() {
		return true
	}
	if now.Sub(d.confirmation.confirmedAt) > d.confirmationLifetime() {
		if d.beginConfirmation(now) {
			return true
		}
	}
	d.limits.Confirm(tenant)
	return false
}

// beginConfirmation begins a round of questions. It reports whether there is a node to ask.
func (d *Dispatcher) beginConfirmation(now time.Time) bool {
	asks := false
	for _, known := range d.nodes {
		known.unconfirmed = known.confirms && d.isAttached(known, now)
		asks = asks || known.unconfirmed
	}
	if !asks {
		d.confirmation.confirmedAt = now
		return false
	}
	d.confirmation.askedAt, d.confirmation.tries, d.confirmation.due = now, 1, true
	return true
}

// AttachmentQuestions returns the question that is due and the nodes that it is for, if any. A node that
// is newly counted is asked at once, and one that has never answered in each round, to learn whether it
// does.
func (d *Dispatcher) AttachmentQuestions(now time.Time) (to []string, question AttachmentQuestion) {
	asked := now
	if d.confirmation.due {
		asked = d.confirmation.askedAt
	}
	for address, known := range d.nodes {
		isNew := known.attached && !known.asked && d.keepsLimits()
		if isNew || (d.confirmation.due && (known.unconfirmed || (known.attached && !known.confirms))) {
			known.asked = true
			to = append(to, address)
		}
	}
	d.confirmation.due = false
	return to, AttachmentQuestion{Asked: asked.Sub(d.startedAt)}
}

// ApplyAttachment applies a node's answer. Requests that waited for it are admitted or refused; the
// resulting messages are returned by Replies.
func (d *Dispatcher) ApplyAttachment(from string, answer AttachmentAnswer, now time.Time) {
	known := d.nodes[from]
	askedAt := d.startedAt.Add(answer.Asked)
	if known == nil || !d.keepsLimits() || known.life != answer.Life || !askedAt.After(d.confirmation.suspendedAt) {
		return
	}
	known.confirms = true
	earliest, latest := askedAt.Add(-answer.For), now.Add(-answer.For) // when it turned to this dispatcher
	switch {
	case !answer.Attached:
		d.detach(known, now)
	case known.attached && earliest.After(known.attachedAt): // it was attached to another dispatcher in the meantime
		d.detach(known, now)
		d.reattach(known, latest, now)
	case !known.turnedAt.IsZero() && !latest.After(known.creditedAt):
		d.addCredit(known, nil, now) // it was attached all the time
	}
	if askedAt.Equal(d.confirmation.askedAt) {
		known.unconfirmed = false
		d.completeConfirmation(now)
	}
}

// detach gives up a node's part of the limits.
func (d *Dispatcher) detach(known *nodeState, now time.Time) {
	d.advanceLimits(now)
	hadCredit := known.turnedAt.IsZero()
	known.attached, known.unconfirmed, known.turnedAt = false, false, time.Time{}
	d.limits.MoveWithoutCredit(!hadCredit)
	d.advanceLimits(now)
	d.limits.MoveWithoutCredit(false)
}

// reattach counts a node again that may have been attached to another dispatcher in the meantime. Its part of
// what that one has left is added once it is told, and what it left with if it tells that it was attached
// here all the time.
func (d *Dispatcher) reattach(known *nodeState, turnedAt, now time.Time) {
	known.attached, known.attachedAt, known.turnedAt = true, now, turnedAt
	d.limits.MoveWithoutCredit(true)
	d.advanceLimits(now)
	d.limits.MoveWithoutCredit(false)
}

// addCredit adds a node's part of what the told uses leave, or what it left with if there are none.
func (d *Dispatcher) addCredit(known *nodeState, told []quota.KnownUse, now time.Time) {
	known.turnedAt = time.Time{}
	known.creditedAt = now
	if d.liveNodes > 0 {
		d.limits.AddCredit(1/float64(d.liveNodes), told)
	}
}

const (
	// maxUseWait is how long a node's credit is waited for. Without a use nothing is added.
	maxUseWait = 2 * useInterval
	// useTolerance is how long before a node has turned back a use may have been told that counts. The
	// other dispatcher tells it as the node leaves, a delay of the network later.
	useTolerance = 5 * time.Millisecond
)

// awaitsUse reports whether nodes have turned back whose credit is not known yet.
func (d *Dispatcher) awaitsUse() bool {
	for _, known := range d.nodes {
		if !known.turnedAt.IsZero() {
			return true
		}
	}
	return false
}

// addToldCredit adds the credit of the nodes that have turned back from other dispatchers, as far as their
// use since is known.
func (d *Dispatcher) addToldCredit(now time.Time) {
	settled := false
	for _, known := range d.nodes {
		if known.turnedAt.IsZero() {
			continue
		}
		if told := d.exchange.since(known.turnedAt.Add(-useTolerance)); len(told) > 0 {
			d.addCredit(known, d.exchange.withOwn(told, now, d.config.AttachmentTimeout), now)
		} else if now.Sub(known.attachedAt) <= maxUseWait {
			continue
		}
		known.turnedAt, settled = time.Time{}, true
	}
	if settled {
		d.admitWaiting(now)
	}
}

// admitWaiting admits or refuses the requests that waited for the nodes' answers, or for a use.
func (d *Dispatcher) admitWaiting(now time.Time) {
	for address, known := range d.nodes {
		waiting := known.unadmitted
		known.unadmitted = nil
		for _, ask := range waiting {
			if entry := d.admit(address, known, ask, now); entry != nil {
				d.updateEntry(entry, ask, now)
			}
		}
	}
	d.grantChanged(now)
}

// retryConfirmation asks the nodes again that have not answered, and gives up those that have been asked
// maxConfirmationTries times.
func (d *Dispatcher) retryConfirmation(now time.Time) {
	if d.confirmation.askedAt.IsZero() {
		return
	}
	if d.confirmation.tries < maxConfirmationTries {
		d.confirmation.tries++
		d.confirmation.due = true
		return
	}
	for _, known := range d.nodes {
		if known.unconfirmed {
			d.detach(known, now)
		}
	}
	d.completeConfirmation(now)
}

// completeConfirmation ends the round once all nodes have answered or been given up, and admits or
// refuses the requests that waited for it.
func (d *Dispatcher) completeConfirmation(now time.Time) {
	for _, known := range d.nodes {
		if known.unconfirmed {
			return
		}
	}
	d.confirmation.confirmedAt, d.confirmation.askedAt = d.confirmation.askedAt, time.Time{}
	d.addToldCredit(now)
	d.admitWaiting(now)
}

// AnswerAttachment answers a dispatcher's question.
func (r *Requester) AnswerAttachment(from string, question AttachmentQuestion, now time.Time) AttachmentAnswer {
	answer := AttachmentAnswer{Life: r.life, Asked: question.Asked, Attached: r.attached && r.current == from}
	if answer.Attached {
		answer.For = now.Sub(r.attachedSince)
	}
	return answer
}
