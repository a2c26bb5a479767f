package grant

import (
	"slices"
	"time"
)

// RefreshInterval is the longest time between two messages of a node that has work in a
// lane.
const RefreshInterval = 200 * time.Millisecond

// queuedRefreshInterval is the same for a node with an online request in the queue.
const queuedRefreshInterval = 60 * time.Millisecond

// attachedRefreshInterval is the same for an attached node that has nothing in the lane.
// One message may be lost before the node no longer counts as attached
// (DispatcherConfig.AttachmentTimeout).
const attachedRefreshInterval = 250 * time.Millisecond

// RequesterConfig holds the timeouts of a requester.
type RequesterConfig struct {
	// The reply timeout is ReplyTimeoutRoundTrips smoothed round trips, within the two
	// bounds. After the first timeout the message is sent once more; after the second
	// the next node becomes the dispatcher.
	ReplyTimeoutRoundTrips           float64
	MinReplyTimeout, MaxReplyTimeout time.Duration
	// FallbackAfter is how long an online request waits for a reply of any dispatcher
	// before its node chooses an engine by itself.
	FallbackAfter time.Duration
	// A node that did not reply is not used for MinSilentBackoff. The backoff doubles up
	// to MaxSilentBackoff while the node does not reply.
	MinSilentBackoff, MaxSilentBackoff time.Duration
	// EndedRetention is how long the end of a request is repeated in messages.
	EndedRetention time.Duration
	// SendDelay is how long a change may wait before it is sent, so that several changes
	// share one message.
	SendDelay time.Duration
}

// DefaultRequesterConfig returns timeouts with which the loss of a dispatcher delays a
// request by less than 50 ms.
func DefaultRequesterConfig() RequesterConfig {
	return RequesterConfig{
		ReplyTimeoutRoundTrips: 4, MinReplyTimeout: 8 * time.Millisecond, MaxReplyTimeout: 16 * time.Millisecond, FallbackAfter: 48 * time.Millisecond,
		MinSilentBackoff: time.Second, MaxSilentBackoff: 2 * time.Second, EndedRetention: 100 * time.Millisecond, SendDelay: 2 * time.Millisecond,
	}
}

// rttWeight is the weight of the newest round trip in the smoothed one.
const rttWeight = 0.1

// longPromptTokens is the prefill length from which on a request's first token is
// reported at once, since the prefill delays all other requests of the engine.
const longPromptTokens = 1000

// maxFirstTokens bounds the first tokens that one message reports.
const maxFirstTokens = 16

// maxPaces bounds the engines whose paces one message reports.
const maxPaces = 32

// pendingAsk is a request that waits for its grant.
type pendingAsk struct {
	ask           Ask
	deadlines     Deadlines
	since         time.Time // when the current dispatcher was first asked for it
	acknowledged  bool      // a dispatcher has replied to a State with it
	firstSequence uint64    // sequence of the first State to the current dispatcher that had it; 0 if none
}

// heldRequest is a request in flight at an engine.
type heldRequest struct {
	Held
	promptTokens int
	since        time.Time // when its engine was chosen
}

// endedReport is an ended request that is still reported to the dispatcher.
type endedReport struct {
	ended Ended
	at    time.Time
	sent  bool
}

// backoff is the time during which a node that did not reply is not used.
type backoff struct {
	until time.Time
	delay time.Duration
}

// sentState is a State that was sent and has not been replied to.
type sentState struct {
	sequence uint64
	at       time.Time
}

// Requester is a node's side of a lane. It holds the node's in-flight and waiting
// requests of the lane, and selects the dispatcher.
type Requester struct {
	config RequesterConfig
	life   uint64
	zone   string

	ranking  []string // addresses of the dispatcher candidates, best first
	backoffs map[string]backoff
	current  string // the dispatcher; empty if none
	previous string // the previous dispatcher until a State without waiting requests is sent to it

	asks   map[uint64]*pendingAsk
	held   map[uint64]*heldRequest
	ended  []endedReport
	loads  map[uint64]Load
	firsts []FirstToken
	paces  map[uint64]Pace // by engine; the sum of those not sent

	sequence   uint64
	unanswered []sentState // sent to current without a reply so far
	resent     bool        // the State was sent again after the first timeout
	lastSentAt time.Time   // when current was last sent a State
	nextSendAt time.Time   // when to send the next message; zero if nothing has changed
	roundTrip  time.Duration
	attached   bool
	// attachedSince is when the node became attached to current.
	attachedSince time.Time
	queued        int // Reply.Queued of the newest reply
	// unusedSince is State.UnusedFor as a time; zero if it is not told, or no longer.
	unusedSince time.Time
	// suspendedSequence is the newest sequence from before the machine was suspended. The
	// dispatcher has withdrawn the grants of replies to it.
	suspendedSequence uint64
	lastPollAt        time.Time     // time of the last Poll
	pollDelay         time.Duration // the delay that it requested until the next one
}

// NewRequester returns the requester of a node in a zone. Life is the LifeHash of the
// node.
func NewRequester(config RequesterConfig, life uint64, zone string) *Requester {
	return &Requester{
		config: config, life: life, zone: zone, backoffs: make(map[string]backoff),
		asks: make(map[uint64]*pendingAsk), held: make(map[uint64]*heldRequest), loads: make(map[uint64]Load),
		paces: make(map[uint64]Pace),
	}
}

// SetRanking sets the addresses of the nodes that may be the dispatcher, best first.
func (r *Requester) SetRanking(addresses []string, now time.Time) {
	if slices.Equal(addresses, r.ranking) {
		return
	}
	r.ranking = slices.Clone(addresses)
	for address, known := range r.backoffs {
		if !slices.Contains(addresses, address) && now.After(known.until) {
			delete(r.backoffs, address)
		}
	}
	r.switchTo(r.firstAvailable(now), now)
}

// Current returns the address of the dispatcher, or an empty string if none is known.
func (r *Requester) Current() string { return r.current }

// firstAvailable returns the best ranked node that is not backed off, or an empty string.
func (r *Requester) firstAvailable(now time.Time) string {
	for _, address := range r.ranking {
		if !now.Before(r.backoffs[address].until) {
			return address
		}
	}
	return ""
}

// switchTo makes a node the dispatcher.
func (r *Requester) switchTo(address string, now time.Time) {
	if address == r.current {
		return
	}
	if told := len(r.unanswered); told > 0 {
		r.DelayUnusedSince(r.unanswered[told-1].at) // the former dispatcher may count the time until then
	}
	r.previous, r.current, r.attachedSince = r.current, address, now
	r.unanswered, r.resent = nil, false
	for _, pending := range r.asks {
		if pending.acknowledged {
			pending.since, pending.ask.Queued = now, true // it continues to wait in the next dispatcher's queue
		}
		pending.acknowledged, pending.firstSequence = false, 0
	}
	if !r.Idle() || r.attached {
		r.nextSendAt = now
	}
}

// SetAttached sets whether the node stays attached to its dispatcher while it has nothing
// in the lane, and reports it there.
func (r *Requester) SetAttached(attached bool, now time.Time) {
	if attached && !r.attached {
		r.attachedSince = now
		r.scheduleSend(now)
	}
	r.attached = attached
}

// OtherCandidates returns the addresses of the candidates for the lane's dispatcher, without
// the given one.
func (r *Requester) OtherCandidates(self string) []string {
	return slices.DeleteFunc(slices.Clone(r.ranking), func(address string) bool { return address == self })
}

// Attached reports whether the node stays attached while it has nothing in the lane.
func (r *Requester) Attached() bool { return r.attached }

// Queued returns the number of online requests of all nodes that waited for a slot when the
// dispatcher last replied.
func (r *Requester) Queued() int { return r.queued }

// Idle reports whether the node has nothing in the lane.
func (r *Requester) Idle() bool { return len(r.asks)+len(r.held)+len(r.ended) == 0 }

// Deadlines are the times that bound the wait of a request.
type Deadlines struct {
	Objective time.Time // of its latency objective, or of the batch item
	End       time.Time // when the client or the route gives it up; zero if unknown
}

// Wait adds or updates a waiting request.
func (r *Requester) Wait(ask Ask, deadlines Deadlines, now time.Time) {
	pending := r.asks[ask.ID]
	if pending == nil {
		pending = &pendingAsk{since: now}
		r.asks[ask.ID] = pending
	}
	ask.Queued = pending.ask.Queued
	pending.ask, pending.deadlines = ask, deadlines
	if ask.Batch {
		r.scheduleSend(now)
	} else {
		r.nextSendAt = now
	}
}

// Cancel removes a waiting request. It reports whether the request was still waiting.
func (r *Requester) Cancel(id uint64, now time.Time) bool {
	if r.asks[id] == nil {
		return false
	}
	delete(r.asks, id)
	r.scheduleSend(now)
	return true
}

// IsWaiting reports whether a request waits for its grant.
func (r *Requester) IsWaiting(id uint64) bool { return r.asks[id] != nil }

// Begin records a request that is sent to an engine. It no longer waits for a grant.
func (r *Requester) Begin(held Held, promptTokens int, now time.Time) {
	delete(r.asks, held.ID)
	r.held[held.ID] = &heldRequest{Held: held, promptTokens: promptTokens, since: now}
	r.scheduleSend(now.Add(RefreshInterval / 4)) // not urgent: the dispatcher knows of it by the grant
}

// Started records that a request's first token has arrived.
func (r *Requester) Started(id uint64, now time.Time) {
	if held := r.held[id]; held != nil && !held.Started {
		held.Started = true
		if !held.Batch && len(r.firsts) < maxFirstTokens {
			r.firsts = append(r.firsts, FirstToken{
				PromptTokens: held.promptTokens, Elapsed: now.Sub(held.since) + r.roundTrip/2, Engine: held.Engine, PrefillTokens: held.PrefillTokens,
			})
		}
		if held.PrefillTokens >= longPromptTokens {
			r.scheduleSend(now)
		}
	}
}

// End records the end of a request.
func (r *Requester) End(ended Ended, now time.Time) {
	if r.held[ended.ID] == nil {
		return
	}
	delete(r.held, ended.ID)
	r.ended = append(r.ended, endedReport{ended: ended, at: now})
	r.scheduleSend(now)
}

// RecordReport records an engine's own count of its requests, to be sent with the next State.
func (r *Requester) RecordReport(load Load) { r.loads[load.Engine] = load }

// RecordPace records the pace of a request's events, to be sent with the next State.
func (r *Requester) RecordPace(pace Pace) {
	known, found := r.paces[pace.Engine]
	if !found && len(r.paces) == maxPaces {
		return
	}
	r.paces[pace.Engine] = Pace{Engine: pace.Engine, Events: known.Events + pace.Events, Elapsed: known.Elapsed + pace.Elapsed}
}

// scheduleSend schedules a message within SendDelay of a time.
func (r *Requester) scheduleSend(now time.Time) {
	if at := now.Add(r.config.SendDelay); r.nextSendAt.IsZero() || at.Before(r.nextSendAt) {
		r.nextSendAt = at
	}
}

// replyTimeout is how long to wait for a reply before a State is sent again.
func (r *Requester) replyTimeout() time.Duration {
	return min(max(time.Duration(r.config.ReplyTimeoutRoundTrips*float64(r.roundTrip)), r.config.MinReplyTimeout), r.config.MaxReplyTimeout)
}

// AdjustForSuspension records that the node's machine was suspended. Grants from before may have
// been given to other nodes meanwhile.
func (r *Requester) AdjustForSuspension() { r.suspendedSequence = r.sequence }

// ReplyOutcome is what a node has to do after a Reply.
type ReplyOutcome struct {
	Grants []Grant  // for requests that waited; each must be followed by Begin or Decline
	Stops  []uint64 // batch runs of this node that must be stopped
	// Refused holds the requests that no longer wait because a tenant's limit did not
	// admit them.
	Refused []Refusal
}

// ApplyReply applies a dispatcher's reply. Grants for requests that no longer wait are
// returned to the dispatcher.
func (r *Requester) ApplyReply(from string, reply Reply, now time.Time) ReplyOutcome {
	var outcome ReplyOutcome
	if reply.Life != r.life {
		return outcome
	}
	if _, backedOff := r.backoffs[from]; backedOff && r.ranksBeforeCurrent(from) {
		delete(r.backoffs, from)
		r.switchTo(from, now)
	}
	if from == r.current {
		r.acknowledge(reply.Sequence, now)
		r.queued = reply.Queued
	}
	if reply.Counted {
		r.unusedSince = time.Time{}
	}
	for _, granted := range reply.Grants {
		if asked := r.asks[granted.ID]; asked != nil && asked.ask.Tenant != 0 {
			r.DelayUnusedSince(now)
		}
		switch {
		case reply.Sequence <= r.suspendedSequence:
			r.Decline(granted, now)
		case r.asks[granted.ID] != nil:
			delete(r.asks, granted.ID)
			outcome.Grants = append(outcome.Grants, granted)
		case r.held[granted.ID] == nil:
			r.Decline(granted, now)
		}
	}
	for _, refusal := range reply.Refused {
		if r.asks[refusal.ID] != nil {
			delete(r.asks, refusal.ID)
			outcome.Refused = append(outcome.Refused, refusal)
		}
	}
	for _, id := range reply.Stops {
		if held := r.held[id]; held != nil && held.Batch {
			outcome.Stops = append(outcome.Stops, id)
		}
	}
	return outcome
}

// Decline returns an unused grant to the dispatcher.
func (r *Requester) Decline(granted Grant, now time.Time) {
	r.ended = append(r.ended, endedReport{ended: Ended{ID: granted.ID, Engine: granted.Engine, Result: declinedResult, Unused: true}, at: now})
	r.scheduleSend(now)
}

// acknowledge records that the dispatcher has applied the State with the sequence, which
// also covers all earlier ones.
func (r *Requester) acknowledge(sequence uint64, now time.Time) {
	for _, message := range r.unanswered {
		if message.sequence == sequence {
			sample := now.Sub(message.at)
			if r.roundTrip == 0 {
				r.roundTrip = sample
			}
			r.roundTrip += time.Duration(rttWeight * float64(sample-r.roundTrip))
		}
	}
	before := len(r.unanswered)
	r.unanswered = slices.DeleteFunc(r.unanswered, func(message sentState) bool { return message.sequence <= sequence })
	if len(r.unanswered) < before {
		r.resent = false
		delete(r.backoffs, r.current)
	}
	for _, pending := range r.asks {
		if pending.firstSequence != 0 && pending.firstSequence <= sequence {
			pending.acknowledged = true
		}
	}
}
