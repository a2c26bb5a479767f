package overload

import (
	"math"
	"time"
)

// meter measures the rate of events with an exponentially decaying count.
type meter struct {
	span     time.Duration // time constant of the decay
	count    float64       // decayed count of events at updatedAt
	observed time.Duration // time covered by count
	at       time.Time     // when count was last updated
}

// add records an event.
func (m *meter) add(now time.Time) {
	m.advance(now)
	m.count++
}

// advance lets the count decay up to now.
func (m *meter) advance(now time.Time) {
	if !m.at.IsZero() {
		elapsed := max(now.Sub(m.at), 0)
		m.count *= math.Exp(-elapsed.Seconds() / m.span.Seconds())
		m.observed += elapsed
	}
	m.at = now
}

// skip leaves the time up to now out of the measurement.
func (m *meter) skip(now time.Time) { m.at = now }

// perSecond returns the rate of events. It returns false until the time observed is long
// enough to tell it.
func (m *meter) perSecond() (float64, bool) {
	if m.observed < m.span/minObservedPart {
		return 0, false
	}
	covered := m.span.Seconds() * (1 - math.Exp(-m.observed.Seconds()/m.span.Seconds()))
	return m.count / covered, true
}

// minObservedPart is the part of a meter's span, as a divisor, that must have been observed
// before its rate is used.
const minObservedPart = 5

// mean is the mean of the newest values, in which older ones weigh exponentially less.
type mean struct {
	value  float64
	values int // number of values added
}

// meanWindow is the number of values over which a mean is taken.
const meanWindow = 64

// add adds a value. The first values weigh the same.
func (m *mean) add(value float64) {
	m.values++
	m.value += (value - m.value) / float64(min(m.values, meanWindow))
}
