// Package storeclock computes a lower bound, on this node's clock, of the time at which the
// store made an answer. The bound is never later than the true time. The clocks need not be
// synchronized, but must run at the same rate: an answer that names the store's time T was made
// after its call was sent, so the store's clock showed T no earlier than that moment. The call
// whose answer was made soonest after it was sent gives the tightest bound. The package does no
// I/O and reads no clock.
package storeclock

import "time"

const (
	// window is the minimum time for which a call's bound is used. Clocks whose rates differ by
	// 100 ppm drift apart by 6 ms in two windows.
	window = 30 * time.Second
	// resolution is the unit that the store's time may have been rounded down to.
	resolution = time.Millisecond
)

// Clock holds a bound of the store's clock. The zero value has no bound. It is not safe for
// concurrent use.
type Clock struct {
	// origin is the best bound of the current window: the store's clock showed zero no earlier
	// than this moment on this node's clock. previousOrigin is that of the window before.
	origin, previousOrigin time.Time
	windowStart            time.Time // start of the current window
}

// Observe updates the bound from an answer that names the store's time; sent is when its call
// was sent.
func (c *Clock) Observe(sent time.Time, storeAt time.Duration) {
	if sent.Sub(c.windowStart) > 2*window {
		c.origin = time.Time{} // the clocks may have drifted too far since
	}
	if c.windowStart.IsZero() || sent.Sub(c.windowStart) > window {
		c.previousOrigin, c.origin, c.windowStart = c.origin, time.Time{}, sent
	}
	if origin := sent.Add(-storeAt); origin.After(c.origin) {
		c.origin = origin
	}
}

// EarliestAnswerTime returns the earliest moment at which the store can have made an answer
// that names the store's time storeAt; sent and answered are when its call was sent and
// answered. Without a usable bound it returns sent.
func (c *Clock) EarliestAnswerTime(sent, answered time.Time, storeAt time.Duration) time.Time {
	origin := c.origin
	if c.previousOrigin.After(origin) {
		origin = c.previousOrigin
	}
	made := origin.Add(storeAt - resolution)
	if made.After(answered) { // the store's clock was set back, or another store answers
		c.Forget()
		return sent
	}
	if origin.IsZero() || made.Before(sent) {
		return sent
	}
	return made
}

// AdjustForSuspension corrects the bound after this node's clock was stopped for the time of gap.
func (c *Clock) AdjustForSuspension(gap time.Duration) {
	for _, moment := range []*time.Time{&c.origin, &c.previousOrigin} {
		if !moment.IsZero() {
			*moment = moment.Add(-gap)
		}
	}
}

// Forget removes all bounds.
func (c *Clock) Forget() { *c = Clock{} }
