package grant

import (
	"time"

	"ringstream.example/ringstream/internal/core/enginechoice"
)

// grantPass is what one pass over the online requests has found out.
type grantPass struct {
	full        bool // no engine has room for the requests that follow
	mayHaveRoom bool // one has for requests that can use engines which others cannot
	tooSlow     int  // requests in time for which only slow engines had room
	noRoom      int  // requests that did not get an engine though some have room
	untried     int  // such requests beyond the first maxNoRoom that were tried for the first time
	retried     int  // such requests beyond the first maxNoRoom that were tried again
	freeSlot    freeSlot
	// anyEngineAwaited reports that a request waits that may use any engine.
	anyEngineAwaited bool
}

// freeSlot tells whether an engine of the lane has a free slot. It is looked up once in a pass.
type freeSlot uint8

const (
	notLookedUp freeSlot = iota
	isFree
	noneFree
)

// skips reports whether a request cannot get an engine in this pass. A slow engine may have
// room for a late request where it has none for those in time.
func (p *grantPass) skips(entry *queuedAsk) bool {
	if entry.Place || len(entry.ask.Exclude) > 0 {
		return false
	}
	return p.full || (entry.InTime && p.tooSlow >= maxTooSlow)
}

// maxNoRoom is the number of requests that may prefer an engine without room in one pass: the first of the queue,
// and behind them as many that were not tried yet, and as many again that were. It bounds the work of a pass.
const maxNoRoom = 8

// preferredRetryInterval is how long a request behind the first maxNoRoom waits for the full engine that it
// prefers before the choice is made again, since another engine may have become better.
const preferredRetryInterval = 100 * time.Millisecond

// waitsForPreferred reports whether a request behind the first maxNoRoom still waits for the engine that it
// preferred when it was last tried.
func (d *Dispatcher) waitsForPreferred(pass *grantPass, entry *queuedAsk, now time.Time) bool {
	switch {
	case entry.Place || entry.preferred == (enginechoice.Incarnation{}) || pass.noRoom < maxNoRoom:
		return false
	case !d.hasFreeSlot(pass, now) || d.engines.HasFreeSlotAt(entry.preferred, now):
		return false
	case now.Sub(entry.preferredAt) >= preferredRetryInterval && pass.retried < maxNoRoom:
		pass.retried++
		return false
	}
	pass.mayHaveRoom = true
	return true
}

// hasFreeSlot reports whether an engine of the lane has a free slot.
func (d *Dispatcher) hasFreeSlot(pass *grantPass, now time.Time) bool {
	if pass.freeSlot == notLookedUp {
		pass.freeSlot = noneFree
		if d.engines.HasFreeSlot(d.lane.Pool, now) {
			pass.freeSlot = isFree
		}
	}
	return pass.freeSlot == isFree
}

// record records the result of an attempt to grant a request an engine. A request that finds no
// room at the only engines that it may use, or that can hold its prompt, does not hold up the requests
// behind it. Neither does one that prefers an engine without room while others have some.
func (d *Dispatcher) record(pass *grantPass, entry *queuedAsk, result grantResult, now time.Time) {
	if result == isGranted {
		pass.freeSlot = notLookedUp
	}
	if result == onlyTooSlow {
		pass.tooSlow++
	}
	if result != notGranted || entry.ask.Suspect.Content != 0 {
		return
	}
	some, all := d.engines.CanHold(enginechoice.Query{Pool: d.lane.Pool, OwnTokens: entry.PromptTokens})
	switch {
	case !all:
		pass.mayHaveRoom = pass.mayHaveRoom || some
	case len(entry.ask.Exclude) > 0:
		pass.mayHaveRoom = true
	case !d.hasFreeSlot(pass, now):
		pass.full = true
		entry.preferred = enginechoice.Incarnation{}
	default:
		d.recordPreference(pass, entry, now)
	}
}

// recordPreference records a request that prefers a full engine while others have free slots.
func (d *Dispatcher) recordPreference(pass *grantPass, entry *queuedAsk, now time.Time) {
	isUntried := entry.preferred == (enginechoice.Incarnation{})
	entry.preferred, entry.preferredAt = entry.chosen, now
	pass.mayHaveRoom = true
	if pass.noRoom < maxNoRoom {
		pass.noRoom++
		return
	}
	if isUntried {
		pass.untried++
	}
	pass.full = pass.untried >= maxNoRoom // the next pass goes on behind them
}
