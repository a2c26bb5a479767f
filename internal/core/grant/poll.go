package grant

import (
	"maps"
	"slices"
	"time"
)

// NextAt returns the latest time for the next Poll after a change.
func (r *Requester) NextAt(now time.Time) time.Time { return r.nextPollAt(now) }

// OutgoingState is a State to be sent to a node.
type OutgoingState struct {
	To    string
	State State
}

// Actions is what a node has to do after a Poll.
type Actions struct {
	Sends []OutgoingState
	// Fallbacks holds the IDs of online requests to which no dispatcher has replied in time.
	// They no longer wait; the node chooses an engine by itself.
	Fallbacks []uint64
}

// Poll returns what to do now, and the latest time for the next Poll. Connected holds the
// EngineHash of the engines to which the node keeps an idle connection.
func (r *Requester) Poll(now time.Time, connected []uint64) (actions Actions, next time.Time) {
	r.discountOwnPause(now)
	r.leaveUnresponsive(now)
	probes := r.probes(now)
	actions.Fallbacks = r.takeFallbacks(now)
	r.ended = slices.DeleteFunc(r.ended, func(known endedReport) bool { return known.sent && now.Sub(known.at) > r.config.EndedRetention })
	refresh := (!r.Idle() || r.attached) && now.Sub(r.lastSentAt) >= r.refreshInterval()
	resend := len(r.unanswered) > 0 && !r.resent && now.Sub(r.unanswered[0].at) >= r.replyTimeout()
	if resend {
		r.resent = true
	}
	if r.current != "" && (refresh || resend || (!r.nextSendAt.IsZero() && !now.Before(r.nextSendAt))) {
		actions.Sends = append(actions.Sends, OutgoingState{To: r.current, State: r.nextState(now, connected)})
		r.unanswered = append(r.unanswered, sentState{sequence: r.sequence, at: now})
		r.lastSentAt, r.nextSendAt = now, time.Time{}
	}
	for _, address := range probes {
		actions.Sends = append(actions.Sends, OutgoingState{To: address, State: r.probeState()})
	}
	if r.previous != "" {
		actions.Sends = append(actions.Sends, OutgoingState{To: r.previous, State: r.probeState()}) // requests in flight keep their slots there
		r.previous = ""
	}
	next = r.nextPollAt(now)
	r.pollDelay = max(next.Sub(now), time.Nanosecond)
	return actions, next
}

// refreshInterval is the longest time between two messages. It is shorter while an online
// request is in the dispatcher's queue, so that the loss of the dispatcher is detected
// sooner.
func (r *Requester) refreshInterval() time.Duration {
	for _, pending := range r.asks {
		if !pending.ask.Batch {
			return queuedRefreshInterval
		}
	}
	if r.Idle() {
		return attachedRefreshInterval
	}
	return RefreshInterval
}

// discountOwnPause extends timeouts by the time for which this node itself was paused, so
// that it does not take replies that it has yet to read for missing ones.
func (r *Requester) discountOwnPause(now time.Time) {
	gap := now.Sub(r.lastPollAt)
	if r.pollDelay > 0 && !r.lastPollAt.IsZero() && gap > r.pollDelay+r.config.MinReplyTimeout/2 {
		excess := gap - r.pollDelay
		for i := range r.unanswered {
			r.unanswered[i].at = r.unanswered[i].at.Add(excess)
		}
		for _, pending := range r.asks {
			if !pending.acknowledged {
				pending.since = pending.since.Add(min(excess, r.config.FallbackAfter/2))
			}
		}
	}
	r.lastPollAt = now
}

// leaveUnresponsive switches to the next node when the dispatcher has not replied to two
// messages.
func (r *Requester) leaveUnresponsive(now time.Time) {
	if r.current == "" || !r.resent || len(r.unanswered) == 0 || now.Sub(r.unanswered[0].at) < 2*r.replyTimeout() {
		return
	}
	r.backOff(r.current, now)
	r.switchTo(r.firstAvailable(now), now)
	r.previous = "" // it does not reply
}

// backOff starts or doubles a node's backoff.
func (r *Requester) backOff(address string, now time.Time) {
	delay := min(max(2*r.backoffs[address].delay, r.config.MinSilentBackoff), r.config.MaxSilentBackoff)
	r.backoffs[address] = backoff{until: now.Add(delay), delay: delay}
}

// probes returns the nodes ranked before the dispatcher whose backoff has expired. They
// are sent the requests in flight, and the requester switches to one that replies.
func (r *Requester) probes(now time.Time) []string {
	var probes []string
	for _, address := range r.ranking {
		if address == r.current {
			break
		}
		if known := r.backoffs[address]; !now.Before(known.until) {
			r.backOff(address, now)
			probes = append(probes, address)
		}
	}
	return probes
}

// ranksBeforeCurrent reports whether a node ranks before the dispatcher.
func (r *Requester) ranksBeforeCurrent(address string) bool {
	for _, candidate := range r.ranking {
		if candidate == r.current {
			return false
		}
		if candidate == address {
			return true
		}
	}
	return false
}

// takeFallbacks removes and returns the online requests that have waited for a
// dispatcher's reply for too long.
func (r *Requester) takeFallbacks(now time.Time) []uint64 {
	var fallbacks []uint64
	for id, pending := range r.asks {
		if !pending.ask.Batch && !pending.acknowledged && (r.current == "" || now.Sub(pending.since) >= r.config.FallbackAfter) {
			fallbacks = append(fallbacks, id)
		}
	}
	slices.Sort(fallbacks)
	for _, id := range fallbacks {
		delete(r.asks, id)
	}
	return fallbacks
}

// nextState returns the complete State for the dispatcher.
func (r *Requester) nextState(now time.Time, connected []uint64) State {
	r.sequence++
	state := State{Life: r.life, Sequence: r.sequence, Zone: r.zone, Connected: connected, Attached: r.attached}
	if r.attached && !r.unusedSince.IsZero() {
		state.UnusedFor = max(now.Sub(r.unusedSince), 0)
	}
	for _, id := range slices.Sorted(maps.Keys(r.held)) {
		state.Held = append(state.Held, r.held[id].Held)
	}
	for _, id := range slices.Sorted(maps.Keys(r.asks)) {
		pending := r.asks[id]
		pending.ask.DueIn = pending.deadlines.Objective.Sub(now)
		if !pending.deadlines.End.IsZero() {
			pending.ask.EndsIn = max(pending.deadlines.End.Sub(now), time.Nanosecond)
		}
		if pending.firstSequence == 0 {
			pending.firstSequence = r.sequence
		}
		state.Waiting = append(state.Waiting, pending.ask)
	}
	for i := range r.ended {
		r.ended[i].sent = true
		state.Ended = append(state.Ended, r.ended[i].ended)
	}
	for _, engine := range slices.Sorted(maps.Keys(r.loads)) {
		state.Loads = append(state.Loads, r.loads[engine])
	}
	clear(r.loads)
	state.Firsts, r.firsts = r.firsts, nil
	for _, engine := range slices.Sorted(maps.Keys(r.paces)) {
		state.Paces = append(state.Paces, r.paces[engine])
	}
	clear(r.paces)
	return state
}

// probeState returns a State with the requests in flight that asks for no grants.
func (r *Requester) probeState() State {
	r.sequence++
	state := State{Life: r.life, Sequence: r.sequence, Zone: r.zone}
	for _, id := range slices.Sorted(maps.Keys(r.held)) {
		state.Held = append(state.Held, r.held[id].Held)
	}
	return state
}

// nextPollAt returns the time of the earliest timeout or scheduled message.
func (r *Requester) nextPollAt(now time.Time) time.Time {
	next := now.Add(r.refreshInterval())
	earliest := func(at time.Time) {
		if at.Before(next) {
			next = at
		}
	}
	if !r.nextSendAt.IsZero() {
		earliest(r.nextSendAt)
	}
	if len(r.unanswered) > 0 {
		wait := r.replyTimeout()
		if r.resent {
			wait *= 2
		}
		earliest(r.unanswered[0].at.Add(wait))
	}
	for _, pending := range r.asks {
		if !pending.ask.Batch && !pending.acknowledged {
			earliest(pending.since.Add(r.config.FallbackAfter))
		}
	}
	return next
}
