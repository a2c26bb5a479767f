package relay

import (
	"context"
	"sync"
	"time"

	"ringstream.example/ringstream/internal/core/quarantine"
)

// running is the calls under way, for what concerns them from outside: the machine was
// suspended, or their content is blocked.
type running struct {
	mu    sync.Mutex // guards calls
	calls map[*exchange]struct{}
}

func newRunning() *running { return &running{calls: make(map[*exchange]struct{})} }

func (r *running) begin(call *exchange) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.calls[call] = struct{}{}
}

func (r *running) end(call *exchange) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.calls, call)
}

// each runs a function on every call under way.
func (r *running) each(do func(*exchange)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for call := range r.calls {
		do(call)
	}
}

// Suspended takes the time that the machine was suspended off what is left of every call,
// and ends those whose time is up: their timers slept too.
func (r *Relay) Suspended(time.Duration) {
	total := r.watch.Total()
	r.running.each(func(call *exchange) { call.clock.woke(total) })
}

// StopContent ends the runs of a content that is blocked: those that still wait at their
// engines end none.
func (r *Relay) StopContent(content quarantine.Digest) {
	r.running.each(func(call *exchange) {
		if call.content == content {
			call.stoppable.stop()
		}
	})
}

// callClock is how long a call may still take. It is safe for concurrent use.
type callClock struct {
	cancel context.CancelFunc // ends the call's time

	mu       sync.Mutex // guards the rest
	deadline time.Time
	slept    time.Duration // how long the machine was suspended in all, as of deadline
	timer    *time.Timer   // nil: no suspension so far, the context's own timer holds
}

// left is how long the call may still take.
func (c *callClock) left() time.Duration { return time.Until(c.until()) }

// until is when the call's time is up.
func (c *callClock) until() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.deadline
}

// woke brings the end nearer by the time that the machine was suspended since the call came
// in, or since the last word of it. Total is how long it was in all.
func (c *callClock) woke(total time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if total <= c.slept {
		return
	}
	c.deadline = c.deadline.Add(c.slept - total)
	c.slept = total
	if c.timer != nil {
		c.timer.Stop()
	}
	c.timer = time.AfterFunc(time.Until(c.deadline), c.cancel)
}

// stop ends the timer.
func (c *callClock) stop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.timer != nil {
		c.timer.Stop()
	}
}

// attemptStop ends the attempt under way, if there is one. It is safe for concurrent use.
type attemptStop struct {
	mu     sync.Mutex
	cancel context.CancelFunc // nil: no attempt is under way
}

func (a *attemptStop) set(cancel context.CancelFunc) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.cancel = cancel
}

func (a *attemptStop) stop() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.cancel != nil {
		a.cancel()
	}
}
