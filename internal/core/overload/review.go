package overload

import (
	"math"
	"time"

	"ringstream.example/ringstream/internal/core/grant"
)

const (
	// deviations is the number of standard deviations within which 999 of 1,000 waits lie on
	// one side, if requests end independently of each other. Callers should not be let wait
	// in vain more often.
	deviations = 3.1
	// usablePart is the part of the time left, as a divisor, within which clients come back:
	// they wait no longer than a third of it.
	usablePart = 3
	// earliestPart of latestPart parts of the time within which a client comes back is when
	// it may come back at the earliest.
	earliestPart, latestPart = 4, 5
	// transit is the time that a refusal takes to the client, whose wait begins there.
	transit = 20 * time.Millisecond
	// lateHorizon is the time within which a request must be expected to be served to be let
	// wait for a late answer. It keeps slots in use between arrivals. Arrivals may rise at any
	// time, and the requests that are held then wait in vain.
	lateHorizon = 100 * time.Millisecond
	// waitedRoomPart is the part of the time left, as a divisor, within which a request that was
	// let wait to be in time must be expected to be served late. Arrivals may rise again.
	waitedRoomPart = 8
	// toldFor is how long after the time that it was told a request that comes back is
	// recognized.
	toldFor = time.Second
)

// review is one look at a queue. It counts the requests that wait in front of the next one.
type review struct {
	*Controller
	now       time.Time
	full      bool
	known     bool    // whether perSecond is known
	perSecond float64 // requests that the lane completes per second
	bySlots   float64 // the same as it follows from the slots and how long a request holds one
	inTime    int     // requests in time so far
	late      int     // late requests so far
	// higher caches higherPerSecond of the last rank.
	higher     float64
	higherRank rank
	higherSet  bool
}

// newReview returns a review of a lane. Its rate is what it has been seen to complete: a lane
// that has just become full completes as few as before, until its new requests end, and requests
// take longer at engines that are full. It is at most what follows from the slots and the time for
// which a request holds one, so that it is right as soon as engines are lost. Where the lane is
// full with fewer online requests than slots, other work that it does not know uses the rest.
func (c *Controller) newReview(load grant.LaneLoad, now time.Time) *review {
	slots := load.Slots
	if load.Full {
		slots = min(slots, load.Online)
	}
	known := c.held.value > 0 && c.held.values >= max(minFinished, load.Online)
	bySlots := 0.0
	if known {
		bySlots = float64(slots) / c.held.value
	}
	perSecond := bySlots
	if ends, observed := c.ends.perSecond(); observed {
		perSecond = min(perSecond, ends)
	}
	return &review{Controller: c, now: now, full: load.Full, known: known, perSecond: perSecond, bySlots: bySlots}
}

// judge decides whether the next request of the queue is refused.
func (r *review) judge(request *grant.Waiting) (grant.OverloadRefusal, bool) {
	refusal, refuse := r.decide(request)
	switch {
	case refuse:
	case request.InTime:
		r.inTime++
	default:
		r.late++
	}
	return refusal, refuse
}

func (r *review) decide(request *grant.Waiting) (grant.OverloadRefusal, bool) {
	if request.MayHaveRun || request.Place || request.End.IsZero() {
		return grant.OverloadRefusal{}, false
	}
	if r.timeToStart(request) <= 0 {
		r.counts.Expired++
		return r.refusal(request.End.Sub(r.now) / usablePart), true
	}
	if !r.full || !r.known || (request.InTime && r.servedInTime(request)) {
		return grant.OverloadRefusal{}, false
	}
	if !request.Again {
		r.noteLate(r.now)
	}
	if request.InTime && (request.Returned || (request.Admitted && !r.certainlyLate(request))) {
		return grant.OverloadRefusal{}, false
	}
	if at, booked := r.book(request); booked {
		r.counts.Booked++
		r.lastRefused = r.now
		refusal := r.refusal(at.Sub(r.now))
		refusal.Expected = refusal.RetryAfter
		return refusal, true
	}
	if request.Admitted && request.InTime {
		return grant.OverloadRefusal{}, false // it may still be lucky
	}
	if r.servedLate(request) {
		request.LateOnly, request.InTime = true, false
		return grant.OverloadRefusal{}, false
	}
	r.counts.Refused++
	r.lastRefused = r.now
	after := r.spread.next(r.earliestReturn(request), r.usable(request))
	r.told.add(request.Content, r.now.Add(after+toldFor))
	return r.refusal(after), true
}

func (r *review) refusal(after time.Duration) grant.OverloadRefusal {
	return grant.OverloadRefusal{RetryAfter: max(after, 0), Queued: r.inTime + r.late, PerSecond: r.perSecond}
}

// timeToStart returns how long a request can wait for its slot before its client or route gives
// it up. A late one must also have the time that requests usually take, so that its answer is whole.
func (r *review) timeToStart(request *grant.Waiting) time.Duration {
	needed := request.FirstToken
	if !request.InTime {
		needed = max(needed, seconds(r.held.value))
	}
	return request.End.Sub(r.now) - needed
}

// slack returns how long a request can wait for its slot and be in time.
func (r *review) slack(request *grant.Waiting) time.Duration {
	return request.Deadline.Sub(r.now) - request.FirstToken
}

// before returns the requests that get slots before a request: those in front of it in the
// queue, and those with a place within the request's slack.
func (r *review) before(request *grant.Waiting) float64 {
	if r.places.Len() == 0 {
		return float64(r.inTime)
	}
	return float64(r.inTime + r.places.DueBy(r.now.Add(r.slack(request))))
}

// left returns the rate at which slots become free that no request of a higher rank takes,
// and for a request that comes back without a place, no new one.
func (r *review) left(request *grant.Waiting) float64 {
	own := rank{tenant: request.TenantRank, route: request.Rank}
	if !r.higherSet || r.higherRank != own {
		r.higher, r.higherRank, r.higherSet = r.higherPerSecond(request, r.now), own, true
	}
	if request.Again {
		return r.perSecond - max(r.higher, r.recentPerSecond())
	}
	return r.perSecond - r.higher
}

// completedWithin returns how many requests the lane is expected to complete for a request within
// its slack. The requests that a lane has begun as it became full end after the time for which one
// holds a slot; from then on the lane completes what its slots allow.
func (r *review) completedWithin(request *grant.Waiting) float64 {
	slack := r.slack(request)
	later := max(slack.Seconds()-r.held.value, 0)
	return r.left(request)*slack.Seconds() + (r.bySlots-r.perSecond)*later
}

// servedInTime reports whether a request in time is expected to get a slot within its slack,
// with a probability of 0.999 if many requests are before it.
func (r *review) servedInTime(request *grant.Waiting) bool {
	before := r.before(request)
	return before+1+deviations*math.Sqrt(before) <= r.completedWithin(request)
}

// certainlyLate reports whether a request has a probability of less than 0.001 to get a slot
// within its slack.
func (r *review) certainlyLate(request *grant.Waiting) bool {
	before := r.before(request)
	return before+1-deviations*math.Sqrt(before) > r.completedWithin(request)
}

// age returns how long the overload has lasted. It is expected to last as long again.
func (r *review) age() time.Duration {
	if r.since.IsZero() {
		return 0
	}
	return r.now.Sub(r.since)
}

// drain returns how long the lane takes to serve the requests in time that wait.
func (r *review) drain(request *grant.Waiting) time.Duration {
	rate := r.left(request)
	if rate <= 0 {
		return r.usable(request)
	}
	waiting := float64(r.inTime)
	return seconds((waiting + 1 + deviations*math.Sqrt(waiting)) / rate)
}

// usable returns the latest time at which a request can come back.
func (r *review) usable(request *grant.Waiting) time.Duration {
	return max(request.End.Sub(r.now)/usablePart-transit, 0)
}

// earliestReturn returns when the overload can be over: it may last as long again as it has
// lasted, and the requests that wait go first. A return within an overload takes the slot of a
// new request, which then has to return as well. As most overloads that matter last for longer than
// callers can wait, nobody returns in the first part of that time.
func (r *review) earliestReturn(request *grant.Waiting) time.Duration {
	return max(r.age(), r.drain(request), r.usable(request)*earliestPart/latestPart)
}

// book books a place for a request among those that the usual arrivals leave after the overload.
// A request that was let wait in vain, which is rare, gets the next place. A request that has come back gets none, since its client may have used up its
// attempts.
func (r *review) book(request *grant.Waiting) (time.Time, bool) {
	if request.Again || request.Returned {
		return time.Time{}, false
	}
	if at, booked := r.places.At(request.Content); booked {
		return at, true // it has come early
	}
	earliest, rate := r.earliestReturn(request), r.perSecond-r.usualPerSecond()
	if request.Admitted {
		earliest = r.drain(request)
	}
	if rate <= 0 {
		return time.Time{}, false
	}
	return r.places.Book(request.Content, r.now.Add(earliest), r.now.Add(r.usable(request)), seconds(1/rate))
}

// servedLate reports whether a request is expected to be served late, by what the lane
// completes beyond the requests that arrive: for one that was let wait to be in time, once the
// overload can be over; for others, within lateHorizon. One that waits for a late answer is not sent
// away before its time is over.
func (r *review) servedLate(request *grant.Waiting) bool {
	if request.LateOnly {
		return r.perSecond > 0
	}
	before := float64(r.inTime + r.late + 1)
	left := r.timeToStart(request)
	spare := r.perSecond - max(r.recentPerSecond(), r.usualPerSecond())
	if !request.Admitted {
		return before <= spare*min(left, lateHorizon).Seconds()
	}
	if r.age() > 0 {
		spare = r.perSecond - r.usualPerSecond()
	}
	return before <= spare*((left-r.age())/waitedRoomPart).Seconds()
}

func seconds(value float64) time.Duration { return time.Duration(value * float64(time.Second)) }
