package overload

import (
	"math"
	"time"
)

// Counts are the decisions of a controller since they were last taken.
type Counts struct {
	Booked   int // refused with a place
	Refused  int // refused without a place
	Expired  int // refused since their time was over
	Kept     int // came back and found their place
	Missed   int // did not come back for their place
	Released int // came back early and got a slot, which freed their place
}

// Plus returns the sum of two counts.
func (c Counts) Plus(other Counts) Counts {
	return Counts{
		Booked: c.Booked + other.Booked, Refused: c.Refused + other.Refused, Expired: c.Expired + other.Expired,
		Kept: c.Kept + other.Kept, Missed: c.Missed + other.Missed, Released: c.Released + other.Released,
	}
}

// TakeCounts returns the decisions since the last call.
func (c *Controller) TakeCounts() Counts {
	taken := c.counts
	c.counts = Counts{}
	return taken
}

// QueueLength is the length of the queue at the last review.
type QueueLength struct{ InTime, Late int }

// QueueLength returns the length of the queue at the last review.
func (c *Controller) QueueLength() QueueLength { return c.queue }

// Places returns the number of places that are booked.
func (c *Controller) Places() int { return c.places.Len() }

// spread spreads requests evenly over an interval, whose ends may differ between them.
type spread struct{ fraction float64 }

// next returns a time between earliest and latest, or latest if earliest is after it. The
// fractional parts of the multiples of the golden ratio are spread evenly, however many are
// used.
func (s *spread) next(earliest, latest time.Duration) time.Duration {
	_, s.fraction = math.Modf(s.fraction + math.Phi - 1)
	if earliest >= latest {
		return latest
	}
	return earliest + time.Duration(s.fraction*float64(latest-earliest))
}
