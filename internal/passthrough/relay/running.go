package relay

import (
	"context"
	"slices"
	"sync"
	"time"

	"ringstream.example/ringstream/internal/core/quarantine"
)

// activeCalls holds the calls in flight, so that a suspension of the machine or a block of their
// content can be applied to them. It is safe for concurrent use.
type activeCalls struct {
	mu    sync.Mutex // guards calls
	calls map[*exchange]struct{}
}

func newActiveCalls() *activeCalls { return &activeCalls{calls: make(map[*exchange]struct{})} }

func (r *activeCalls) add(call *exchange) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.calls[call] = struct{}{}
}

func (r *activeCalls) remove(call *exchange) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.calls, call)
}

// each calls do for every call in flight, with the lock held.
func (r *activeCalls) each(do func(*exchange)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for call := range r.calls {
		do(call)
	}
}

// AdjustForSuspension subtracts the time that the machine was suspended from the remaining time of
// every call and ends those whose time is up. Their timers stood still during the suspension.
func (r *Relay) AdjustForSuspension(time.Duration) {
	total := r.watch.Total()
	r.active.each(func(call *exchange) {
		if call.clock.applySuspension(total) {
			call.limitWritesToCall()
		}
	})
}

// StopContent cancels the attempts of a content that is blocked, and those of requests with a blocked
// part whose answer has not begun: a part that crashes engines does so when an answer begins. Requests that are still queued at
// their engines then crash none of them.
func (r *Relay) StopContent(content quarantine.Digest) {
	r.active.each(func(call *exchange) {
		switch {
		case call.identity.Content == content:
			call.currentAttempt.stop()
		case slices.Contains(call.identity.Parts, content):
			call.currentAttempt.stopUnlessBegun()
		}
	})
}

// callClock holds a call's deadline and corrects it after suspensions of the machine. It is safe
// for concurrent use.
type callClock struct {
	cancel context.CancelFunc // called at the deadline

	mu        sync.Mutex // guards the rest
	deadline  time.Time
	suspended time.Duration // total time of suspension that deadline accounts for
	timer     *time.Timer   // nil before the first suspension, while the context's own timer is right
}

// remaining returns how long the call may still take.
func (c *callClock) remaining() time.Duration { return time.Until(c.currentDeadline()) }

// currentDeadline returns the call's deadline, with all suspensions so far subtracted.
func (c *callClock) currentDeadline() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.deadline
}

// earlierOf returns the end of a timeout that begins now, or the call's deadline if that is earlier. A
// timeout of 0 means none.
func (c *callClock) earlierOf(timeout time.Duration) time.Time {
	deadline := c.currentDeadline()
	if timeout > 0 {
		if until := time.Now().Add(timeout); until.Before(deadline) {
			return until
		}
	}
	return deadline
}

// applySuspension makes the deadline earlier by the time that the machine was suspended since the
// deadline was last corrected. The total is that of all suspensions of the machine. A total that is
// not larger than the one accounted for has no effect. It reports whether the deadline has changed.
func (c *callClock) applySuspension(total time.Duration) (changed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if total <= c.suspended {
		return false
	}
	c.deadline = c.deadline.Add(c.suspended - total)
	c.suspended = total
	if c.timer != nil {
		c.timer.Stop()
	}
	c.timer = time.AfterFunc(time.Until(c.deadline), c.cancel)
	return true
}

// stop ends the timer.
func (c *callClock) stop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.timer != nil {
		c.timer.Stop()
	}
}

// attemptCanceler cancels the attempt in flight, if there is one. It is safe for concurrent use.
type attemptCanceler struct {
	mu     sync.Mutex
	cancel context.CancelFunc // nil while no attempt is in flight
	begun  bool               // the attempt's first event has arrived
}

func (a *attemptCanceler) set(cancel context.CancelFunc) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.cancel, a.begun = cancel, false
}

// markBegun records the attempt's first event.
func (a *attemptCanceler) markBegun() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.begun = true
}

// stopUnlessBegun cancels the attempt if its first event has not arrived.
func (a *attemptCanceler) stopUnlessBegun() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.cancel != nil && !a.begun {
		a.cancel()
	}
}

func (a *attemptCanceler) stop() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.cancel != nil {
		a.cancel()
	}
}
