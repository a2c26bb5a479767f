package fairshares

import (
	"math/bits"
	"time"
)

// slotTimes estimates for how long requests hold their slots, by the size of a request in tokens
// of its prompt and its expected output.
type slotTimes struct {
	seconds [sizeClasses]float64 // mean by class of size; 0 if nothing was observed
	all     float64              // mean over all sizes; 0 if nothing was observed
}

const (
	// sizeClasses is the number of size classes, one per power of two.
	sizeClasses = 24
	// observationWeight is the weight of one request in the mean of its class.
	observationWeight = 0.05
	// unknownSeconds is the estimate before any observation. Only the relation of the tenants'
	// costs to each other matters, and real times replace it.
	unknownSeconds = 1.0
	// leastSeconds is the lower bound of an estimate. It keeps tenants apart whose requests
	// hold their slots for next to no time.
	leastSeconds = 0.001
)

func sizeClass(tokens int) int {
	return min(bits.Len(uint(max(tokens, 0))), sizeClasses-1) //nolint:gosec // not negative
}

// observe records for how long a request has held its slot.
func (s *slotTimes) observe(tokens int, held time.Duration) {
	taken := max(held.Seconds(), leastSeconds)
	updateMean(&s.seconds[sizeClass(tokens)], taken)
	updateMean(&s.all, taken)
}

func updateMean(mean *float64, taken float64) {
	if *mean == 0 {
		*mean = taken
		return
	}
	*mean += observationWeight * (taken - *mean)
}

// overall returns for how many seconds requests of all sizes hold their slots in the mean.
func (s *slotTimes) overall() float64 {
	if s.all > 0 {
		return s.all
	}
	return unknownSeconds
}

// expected returns for how many seconds a request is expected to hold its slot. If its size class
// has not been observed, it returns the estimate of the nearest one that has.
func (s *slotTimes) expected(tokens int) float64 {
	class := sizeClass(tokens)
	for distance := range sizeClasses {
		if shorter := class - distance; shorter >= 0 && s.seconds[shorter] > 0 {
			return s.seconds[shorter]
		}
		if longer := class + distance; longer < sizeClasses && s.seconds[longer] > 0 {
			return s.seconds[longer]
		}
	}
	return unknownSeconds
}
