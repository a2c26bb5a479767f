package grant

import (
	"maps"
	"slices"
	"time"
)

// NextAt gives when Poll is due at the latest, now that something has changed.
func (r *Requester) NextAt(now time.Time) time.Time { return r.next(now) }

// Send is a State for a node.
type Send struct {
	To    string
	State State
}

// Due is what is to be done now.
type Due struct {
	Sends []Send
	// Alone are asks of online requests that no dispatcher has answered; they
	// wait no longer, and their node chooses an engine by itself.
	Alone []uint64
}

// Poll gives what is to be done now, and when to poll again at the latest.
func (r *Requester) Poll(now time.Time, connected []uint64) (due Due, next time.Time) {
	r.forgiveOwnPause(now)
	r.leaveSilent(now)
	probes := r.probes(now)
	due.Alone = r.alone(now)
	r.ended = slices.DeleteFunc(r.ended, func(known endedAt) bool { return known.sent && now.Sub(known.at) > r.config.KeepEnded })
	refresh := (!r.Idle() || r.attached) && now.Sub(r.sentLast) >= r.refreshEvery()
	resend := len(r.sent) > 0 && !r.resent && now.Sub(r.sent[0].at) >= r.answerTime()
	if resend {
		r.resent = true
	}
	if r.current != "" && (refresh || resend || (!r.soonAt.IsZero() && !now.Before(r.soonAt))) {
		due.Sends = append(due.Sends, Send{To: r.current, State: r.state(now, connected)})
		r.sent = append(r.sent, sentAt{sequence: r.sequence, at: now})
		r.sentLast, r.soonAt = now, time.Time{}
	}
	for _, address := range probes {
		due.Sends = append(due.Sends, Send{To: address, State: r.probe()})
	}
	if r.left != "" {
		due.Sends = append(due.Sends, Send{To: r.left, State: r.probe()}) // what is under way keeps its slots there
		r.left = ""
	}
	next = r.next(now)
	r.polled = max(next.Sub(now), time.Nanosecond)
	return due, next
}

// refreshEvery is the longest pause between two messages: shorter while an online
// request is in the dispatcher's queue, so that the loss of that is soon seen.
func (r *Requester) refreshEvery() time.Duration {
	for _, pending := range r.asks {
		if !pending.ask.Batch {
			return queuedRefresh
		}
	}
	if r.Idle() {
		return attachedRefresh
	}
	return RefreshEvery
}

// forgiveOwnPause moves deadlines by the time in which this node itself stood
// still, so that it does not take others for silent.
func (r *Requester) forgiveOwnPause(now time.Time) {
	gap := now.Sub(r.polledAt)
	if r.polled > 0 && !r.polledAt.IsZero() && gap > r.polled+r.config.AnswerLeast/2 {
		late := gap - r.polled
		for i := range r.sent {
			r.sent[i].at = r.sent[i].at.Add(late)
		}
		for _, pending := range r.asks {
			if !pending.answered {
				pending.since = pending.since.Add(min(late, r.config.AloneAfter/2))
			}
		}
	}
	r.polledAt = now
}

// leaveSilent turns to the next node when the dispatcher has not answered twice.
func (r *Requester) leaveSilent(now time.Time) {
	if r.current == "" || !r.resent || len(r.sent) == 0 || now.Sub(r.sent[0].at) < 2*r.answerTime() {
		return
	}
	r.leave(r.current, now)
	r.turnTo(r.firstSound(now), now)
	r.left = "" // it does not listen
}

func (r *Requester) leave(address string, now time.Time) {
	pause := min(max(2*r.silent[address].pause, r.config.SilentLeast), r.config.SilentMost)
	r.silent[address] = silence{until: now.Add(pause), pause: pause}
}

// probes gives the better ranked nodes than the dispatcher that were left for
// long enough: they are sent what is under way here, and are turned to when they
// answer.
func (r *Requester) probes(now time.Time) []string {
	var probes []string
	for _, address := range r.ranking {
		if address == r.current {
			break
		}
		if known := r.silent[address]; !now.Before(known.until) {
			r.leave(address, now)
			probes = append(probes, address)
		}
	}
	return probes
}

// better says whether a node ranks before the dispatcher.
func (r *Requester) better(address string) bool {
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

func (r *Requester) alone(now time.Time) []uint64 {
	var alone []uint64
	for id, pending := range r.asks {
		if !pending.ask.Batch && !pending.answered && (r.current == "" || now.Sub(pending.since) >= r.config.AloneAfter) {
			alone = append(alone, id)
		}
	}
	slices.Sort(alone)
	for _, id := range alone {
		delete(r.asks, id)
	}
	return alone
}

// state gives what the dispatcher is to know.
func (r *Requester) state(now time.Time, connected []uint64) State {
	r.sequence++
	state := State{Life: r.life, Sequence: r.sequence, Zone: r.zone, Connected: connected, Attached: r.attached}
	for _, id := range slices.Sorted(maps.Keys(r.held)) {
		state.Held = append(state.Held, r.held[id].Held)
	}
	for _, id := range slices.Sorted(maps.Keys(r.asks)) {
		pending := r.asks[id]
		pending.ask.DueIn = pending.due.Sub(now)
		if pending.sentAs == 0 {
			pending.sentAs = r.sequence
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
	return state
}

// probe gives a State that asks for nothing.
func (r *Requester) probe() State {
	r.sequence++
	state := State{Life: r.life, Sequence: r.sequence, Zone: r.zone}
	for _, id := range slices.Sorted(maps.Keys(r.held)) {
		state.Held = append(state.Held, r.held[id].Held)
	}
	return state
}

func (r *Requester) next(now time.Time) time.Time {
	next := now.Add(r.refreshEvery())
	earliest := func(at time.Time) {
		if at.Before(next) {
			next = at
		}
	}
	if !r.soonAt.IsZero() {
		earliest(r.soonAt)
	}
	if len(r.sent) > 0 {
		wait := r.answerTime()
		if r.resent {
			wait *= 2
		}
		earliest(r.sent[0].at.Add(wait))
	}
	for _, pending := range r.asks {
		if !pending.ask.Batch && !pending.answered {
			earliest(pending.since.Add(r.config.AloneAfter))
		}
	}
	return next
}
