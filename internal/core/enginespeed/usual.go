package enginespeed

import (
	"math"
	"math/bits"
)

const (
	// sizeClasses is the number of classes of prompt lengths, one per power of two.
	sizeClasses = 24
	// fullnessClasses is the number of classes of fullness: one per quarter of an engine's
	// slots, and one for a full engine.
	fullnessClasses = 5
	// minSamples is the number of observations of a class from which its median is used.
	minSamples = 8
	// minStep and maxStep bound the change of a median by one observation, on the scale of
	// the natural logarithm. The step shrinks with the number of observations, and its lower
	// bound lets a median follow a lane whose engines all become slower.
	minStep, maxStep = 0.02, 0.3
)

// median estimates the median of the logarithms of durations.
type median struct {
	value   float64
	samples int
}

// observe moves the estimate towards a value by one step.
func (m *median) observe(value float64) {
	m.samples++
	if m.samples == 1 {
		m.value = value
		return
	}
	step := min(max(1/float64(m.samples), minStep), maxStep)
	m.value += min(max(value-m.value, -step), step)
}

// classes holds, by how full an engine is, how much longer work takes than it does on average at
// the same engine. Engines differ in speed, and the fast ones are less often full, so that the
// times of all engines that are equally full would not do.
type classes [fullnessClasses]median

// usual holds these differences for the kinds of work whose time is observed.
type usual struct {
	firstTokens [sizeClasses]classes // by the size of the prompt
	paces       classes
}

// difference returns the difference for a fullness class, or that of the nearest class below it,
// or else above it, that has enough observations. It returns false if there is none.
func (c *classes) difference(class int) (float64, bool) {
	for below := class; below >= 0; below-- {
		if c[below].samples >= minSamples {
			return c[below].value, true
		}
	}
	for above := class + 1; above < fullnessClasses; above++ {
		if c[above].samples >= minSamples {
			return c[above].value, true
		}
	}
	return 0, false
}

// level is the average logarithm of the times at one engine, without the differences.
type level struct {
	value   float64
	samples int
}

// levelWeight is the weight of the newest observation in a level.
const levelWeight = 0.05

// observe adds a value to the average.
func (l *level) observe(value float64) {
	l.samples++
	l.value += max(1/float64(l.samples), levelWeight) * (value - l.value)
}

// sizeClass returns the class of a number of prompt tokens.
func sizeClass(tokens int) int {
	return min(bits.Len(uint(max(tokens, 0))), sizeClasses-1) //nolint:gosec // not negative
}

// fullnessClass returns the class of the share of an engine's slots that is in use.
func fullnessClass(fullness float64) int {
	return min(max(int(fullness*(fullnessClasses-1)), 0), fullnessClasses-1)
}

// logSeconds returns the logarithm of a duration in seconds, which is at least minSeconds.
func logSeconds(seconds float64) float64 { return math.Log(max(seconds, minSeconds)) }

// minSeconds keeps the logarithms of durations finite.
const minSeconds = 0.0001
