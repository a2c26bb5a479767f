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

// usual holds how long work usually takes in a lane, by the size of the work and by how full
// its engine is.
type usual struct {
	firstTokens [sizeClasses][fullnessClasses]median
	paces       [fullnessClasses]median
}

// medianFor returns the median for a fullness class, or that of the nearest class below it,
// or else above it, that has enough observations. It returns false if there is none.
func medianFor(classes *[fullnessClasses]median, class int) (float64, bool) {
	for below := class; below >= 0; below-- {
		if classes[below].samples >= minSamples {
			return classes[below].value, true
		}
	}
	for above := class + 1; above < fullnessClasses; above++ {
		if classes[above].samples >= minSamples {
			return classes[above].value, true
		}
	}
	return 0, false
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
