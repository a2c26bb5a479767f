package grant

import (
	"slices"
	"time"
)

// RefreshEvery is the longest pause between two messages of a node that has
// work in a lane.
const RefreshEvery = 200 * time.Millisecond

// queuedRefresh is the same for a node with an online request in the queue.
const queuedRefresh = 60 * time.Millisecond

// attachedRefresh is the same for an attached node that has nothing in the lane: one
// message may be lost until its part of the limits is no longer kept
// (DispatcherConfig.AttachedFor).
const attachedRefresh = 250 * time.Millisecond

// RequesterConfig bounds how long a node waits for a dispatcher.
type RequesterConfig struct {
	// An answer is waited for AnswerTimes smoothed round trips, within the two
	// bounds; then the message is sent once more, and then the next node is the
	// dispatcher.
	AnswerTimes             float64
	AnswerLeast, AnswerMost time.Duration
	// AloneAfter is how long an online request waits until any dispatcher has
	// answered; then its node chooses an engine by itself.
	AloneAfter time.Duration
	// A node that did not answer is left for SilentLeast, doubled up to
	// SilentMost while it goes on saying nothing.
	SilentLeast, SilentMost time.Duration
	// KeepEnded is how long the end of a request is told: some messages.
	KeepEnded time.Duration
	// SoonAfter is how long the end of a request may wait to be told.
	SoonAfter time.Duration
}

// DefaultRequesterConfig loses under 50 ms to a dispatcher that is gone.
func DefaultRequesterConfig() RequesterConfig {
	return RequesterConfig{
		AnswerTimes: 4, AnswerLeast: 8 * time.Millisecond, AnswerMost: 16 * time.Millisecond, AloneAfter: 48 * time.Millisecond,
		SilentLeast: time.Second, SilentMost: 2 * time.Second, KeepEnded: 100 * time.Millisecond, SoonAfter: 2 * time.Millisecond,
	}
}

// rttWeight is the weight of the newest round trip in the smoothed one.
const rttWeight = 0.1

// longPrompt is how many tokens a prompt has, whose first token is told at once:
// its reading keeps all other requests of the engine waiting.
const longPrompt = 1000

// mostFirsts bounds the first tokens that one message tells of.
const mostFirsts = 16

// pendingAsk is an ask that waits for its grant.
type pendingAsk struct {
	ask      Ask
	due      time.Time
	since    time.Time // when it was first asked for at the current dispatcher
	answered bool      // a dispatcher has it
	sentAs   uint64    // sequence of the first State that had it, to the current dispatcher; 0: none yet
}

// heldRequest is a request that is under way.
type heldRequest struct {
	Held
	promptTokens int
	since        time.Time // when its engine was chosen
}

type endedAt struct {
	ended Ended
	at    time.Time
	sent  bool
}

type silence struct {
	until time.Time
	pause time.Duration
}

type sentAt struct {
	sequence uint64
	at       time.Time
}

// Requester is a node's side of a lane: what it has under way there, what waits,
// and which node is the dispatcher.
type Requester struct {
	config RequesterConfig
	life   uint64
	zone   string

	ranking []string // of dispatchers, best first
	silent  map[string]silence
	current string
	left    string // the dispatcher before, to be told that nothing waits there

	asks   map[uint64]*pendingAsk
	held   map[uint64]*heldRequest
	ended  []endedAt
	loads  map[uint64]Load
	firsts []FirstToken

	sequence  uint64
	sent      []sentAt  // to current, not answered
	resent    bool      // the oldest of sent was sent again
	sentLast  time.Time // any message
	soonAt    time.Time // when the next message is due; zero: nothing is new
	roundTrip time.Duration
	attached  bool
	// wokeAt is the newest sequence from before the machine was suspended: grants that
	// answer it have been taken back.
	wokeAt   uint64
	polledAt time.Time     // the last Poll
	polled   time.Duration // that it asked to be polled again after
}

// NewRequester makes the side of a life of a node.
func NewRequester(config RequesterConfig, life uint64, zone string) *Requester {
	return &Requester{
		config: config, life: life, zone: zone, silent: make(map[string]silence),
		asks: make(map[uint64]*pendingAsk), held: make(map[uint64]*heldRequest), loads: make(map[uint64]Load),
	}
}

// SetRanking takes the nodes that may be the dispatcher, best first.
func (r *Requester) SetRanking(addresses []string, now time.Time) {
	if slices.Equal(addresses, r.ranking) {
		return
	}
	r.ranking = slices.Clone(addresses)
	for address, known := range r.silent {
		if !slices.Contains(addresses, address) && now.After(known.until) {
			delete(r.silent, address)
		}
	}
	r.turnTo(r.firstSound(now), now)
}

// Current gives the dispatcher; empty: none is known.
func (r *Requester) Current() string { return r.current }

func (r *Requester) firstSound(now time.Time) string {
	for _, address := range r.ranking {
		if !now.Before(r.silent[address].until) {
			return address
		}
	}
	return ""
}

// turnTo makes a node the dispatcher.
func (r *Requester) turnTo(address string, now time.Time) {
	if address == r.current {
		return
	}
	r.left, r.current = r.current, address
	r.sent, r.resent = nil, false
	for _, pending := range r.asks {
		if pending.answered {
			pending.since, pending.ask.Queued = now, true // it is to wait in the next queue
		}
		pending.answered, pending.sentAs = false, 0
	}
	if !r.Idle() || r.attached {
		r.soonAt = now
	}
}

// SetAttached has the requester belong to its dispatcher also while the node has
// nothing in the lane, and say so.
func (r *Requester) SetAttached(attached bool, now time.Time) {
	if attached && !r.attached {
		r.soon(now)
	}
	r.attached = attached
}

// Attached says whether the requester belongs to its dispatcher in any case.
func (r *Requester) Attached() bool { return r.attached }

// Idle says whether the node has nothing in the lane.
func (r *Requester) Idle() bool { return len(r.asks)+len(r.held)+len(r.ended) == 0 }

// Wait adds an ask, or brings one up to date; due is when its objective, or the
// item, is due.
func (r *Requester) Wait(ask Ask, due, now time.Time) {
	pending := r.asks[ask.ID]
	if pending == nil {
		pending = &pendingAsk{since: now}
		r.asks[ask.ID] = pending
	}
	ask.Queued = pending.ask.Queued
	pending.ask, pending.due = ask, due
	if ask.Batch {
		r.soon(now)
	} else {
		r.soonAt = now
	}
}

// Cancel takes an ask back; it reports whether it still waited.
func (r *Requester) Cancel(id uint64, now time.Time) bool {
	if r.asks[id] == nil {
		return false
	}
	delete(r.asks, id)
	r.soon(now)
	return true
}

// Waits says whether an ask waits.
func (r *Requester) Waits(id uint64) bool { return r.asks[id] != nil }

// Begin takes note of a request that is under way; its ask, if any, is over.
func (r *Requester) Begin(held Held, promptTokens int, now time.Time) {
	delete(r.asks, held.ID)
	r.held[held.ID] = &heldRequest{Held: held, promptTokens: promptTokens, since: now}
	r.soon(now.Add(RefreshEvery / 4)) // its dispatcher knows of it by its grant
}

// Started takes note that a request's first token has come.
func (r *Requester) Started(id uint64, now time.Time) {
	if held := r.held[id]; held != nil && !held.Started {
		held.Started = true
		if !held.Batch && len(r.firsts) < mostFirsts {
			r.firsts = append(r.firsts, FirstToken{PromptTokens: held.promptTokens, Elapsed: now.Sub(held.since) + r.roundTrip/2})
		}
		if held.PrefillTokens >= longPrompt {
			r.soon(now)
		}
	}
}

// End takes note of a request's end.
func (r *Requester) End(ended Ended, now time.Time) {
	if r.held[ended.ID] == nil {
		return
	}
	delete(r.held, ended.ID)
	r.ended = append(r.ended, endedAt{ended: ended, at: now})
	r.soon(now)
}

// Observe takes an engine's own count.
func (r *Requester) Observe(load Load) { r.loads[load.Engine] = load }

// soon has a message sent within SoonAfter.
func (r *Requester) soon(now time.Time) {
	if at := now.Add(r.config.SoonAfter); r.soonAt.IsZero() || at.Before(r.soonAt) {
		r.soonAt = at
	}
}

// answerTime is how long an answer is waited for.
func (r *Requester) answerTime() time.Duration {
	return min(max(time.Duration(r.config.AnswerTimes*float64(r.roundTrip)), r.config.AnswerLeast), r.config.AnswerMost)
}

// Suspended takes note that the node's machine was suspended: what dispatchers granted
// before may be another's by now.
func (r *Requester) Suspended() { r.wokeAt = r.sequence }

// Heard is what a Reply means for the node.
type Heard struct {
	Grants []Grant  // for asks that wait; each is to be followed by Begin or Decline
	Stops  []uint64 // batch runs under way here that are to end
	// Refused are asks that waited, and wait no longer: a tenant's limit does not let
	// them through.
	Refused []Refusal
}

// HearReply takes a dispatcher's reply. A grant that nobody waits for is given
// back.
func (r *Requester) HearReply(from string, reply Reply, now time.Time) Heard {
	var heard Heard
	if reply.Life != r.life {
		return heard
	}
	if _, left := r.silent[from]; left && r.better(from) {
		delete(r.silent, from)
		r.turnTo(from, now)
	}
	if from == r.current {
		r.answered(reply.Sequence, now)
	}
	for _, granted := range reply.Grants {
		switch {
		case reply.Sequence <= r.wokeAt:
			r.Decline(granted, now)
		case r.asks[granted.ID] != nil:
			delete(r.asks, granted.ID)
			heard.Grants = append(heard.Grants, granted)
		case r.held[granted.ID] == nil:
			r.Decline(granted, now)
		}
	}
	for _, refusal := range reply.Refused {
		if r.asks[refusal.ID] != nil {
			delete(r.asks, refusal.ID)
			heard.Refused = append(heard.Refused, refusal)
		}
	}
	for _, id := range reply.Stops {
		if held := r.held[id]; held != nil && held.Batch {
			heard.Stops = append(heard.Stops, id)
		}
	}
	return heard
}

// Decline gives a grant back that is not used.
func (r *Requester) Decline(granted Grant, now time.Time) {
	r.ended = append(r.ended, endedAt{ended: Ended{ID: granted.ID, Engine: granted.Engine, Result: declined, Unused: true}, at: now})
	r.soon(now)
}

// answered takes note that the dispatcher has a State and all before it.
func (r *Requester) answered(sequence uint64, now time.Time) {
	for _, message := range r.sent {
		if message.sequence == sequence {
			trip := now.Sub(message.at)
			if r.roundTrip == 0 {
				r.roundTrip = trip
			}
			r.roundTrip += time.Duration(rttWeight * float64(trip-r.roundTrip))
		}
	}
	before := len(r.sent)
	r.sent = slices.DeleteFunc(r.sent, func(message sentAt) bool { return message.sequence <= sequence })
	if len(r.sent) < before {
		r.resent = false
		delete(r.silent, r.current)
	}
	for _, pending := range r.asks {
		if pending.sentAs != 0 && pending.sentAs <= sequence {
			pending.answered = true
		}
	}
}
