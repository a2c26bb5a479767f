// Package storeclock says when, on this node's clock, an answer of the store was made: never
// later than it truly was. It needs no synchronized clocks, only that both run alike: an
// answer that names the store's time T was made after its call was sent, so the store's time
// T was not before that moment here. The call that took least time gives the tightest bound.
// It does no I/O and reads no clock.
package storeclock

import "time"

const (
	// window is how long a call's bound is used at least; clocks that differ by 100 parts in
	// a million drift apart by 6 ms in two windows.
	window = 30 * time.Second
	// grain is the resolution that the store's clock may have been rounded down to.
	grain = time.Millisecond
)

// Clock is a bound of the store's clock. The zero value knows nothing. It is not safe for
// concurrent use.
type Clock struct {
	// origin is the latest moment, on this node's clock, that the store's clock can have
	// shown zero before; previous is that of the window before.
	origin, previous time.Time
	begun            time.Time // of the window
}

// Observe takes an answer that names the store's time, by the moment its call was sent.
func (c *Clock) Observe(sent time.Time, storeAt time.Duration) {
	if c.begun.IsZero() || sent.Sub(c.begun) > window {
		c.previous, c.origin, c.begun = c.origin, time.Time{}, sent
	}
	if origin := sent.Add(-storeAt); origin.After(c.origin) {
		c.origin = origin
	}
}

// MadeAt gives the moment before which an answer that names a time of the store was
// certainly not made: of a call that was sent and answered at given moments.
func (c *Clock) MadeAt(sent, answered time.Time, storeAt time.Duration) time.Time {
	origin := c.origin
	if c.previous.After(origin) {
		origin = c.previous
	}
	made := origin.Add(storeAt - grain)
	if made.After(answered) { // the store's clock has stepped back, or another store answers
		c.Forget()
		return sent
	}
	if origin.IsZero() || made.Before(sent) {
		return sent
	}
	return made
}

// Suspended corrects the bound after this node's clock stood still for some time.
func (c *Clock) Suspended(gap time.Duration) {
	for _, moment := range []*time.Time{&c.origin, &c.previous} {
		if !moment.IsZero() {
			*moment = moment.Add(-gap)
		}
	}
}

// Forget drops all bounds.
func (c *Clock) Forget() { *c = Clock{} }
