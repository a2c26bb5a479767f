// Package overload decides which online requests wait while all slots of a lane are in use.
//
// It answers more requests than the engines complete: bursts of seconds beyond the engines'
// capacity, floods of several times the capacity, and lanes that lose a part of their
// engines. Without a bound on the queue, every request of a flood waits about as long as
// the flood lasts, and most of the engines' work is late.
//
// In the order of what is best for the caller, a request is
//
//   - served in time, if the requests before it leave a slot free soon enough;
//   - told to come back at a time at which its slot is kept (package returns), if the
//     overload can be over by then;
//   - held for a late answer, if slots are left over that no request in time needs;
//   - refused, with a time to come back at which others do not. One that comes back so gets what
//     new requests leave: otherwise a flood would go on until all that it left behind have come
//     back.
//
// The controller belongs to one dispatcher. It has no clock, does no I/O and takes no locks.
package overload

import (
	"time"

	"ringstream.example/ringstream/internal/core/grant"
	"ringstream.example/ringstream/internal/core/returns"
)

const (
	// recentSpan is the time constant of the rate of arrivals at present. It is shorter
	// than a burst that matters to callers with objectives of some hundred milliseconds,
	// and long enough to count some tens of arrivals.
	recentSpan = 500 * time.Millisecond
	// usualSpan is the time constant of the usual rate of arrivals, over several bursts.
	usualSpan = 10 * time.Second
	// overloadEnd is how long all requests must have been in time before an overload counts
	// as over. A cause that returns sooner is the same one.
	overloadEnd = 250 * time.Millisecond
	// keptFor is how long a place is kept for a returning request. It covers a new
	// connection with one lost packet, which is sent again after 200 ms.
	keptFor = 250 * time.Millisecond
	// maxPlaces bounds the places that are booked at a time, and so the memory: a lane of
	// 2,048 slots completes some 2,000 requests a second, and callers come back within a few
	// seconds.
	maxPlaces = 8192
	// minFinished is the least number of ended requests from which the time that a request
	// holds a slot is known.
	minFinished = 20
	// maxRanks bounds the ranks whose arrivals are counted separately.
	maxRanks = 64
)

// Controller implements grant.OverloadControl for one lane.
type Controller struct {
	places   *returns.Schedule
	held     mean // seconds for which an online request holds its slot
	ends     meter
	recent   meter
	usual    meter // outside of overloads
	byRank   map[rank]*meter
	since    time.Time // when the overload began; zero if there is none
	lastLate time.Time // when a request could last not be in time
	// lastRefused is when a request was last refused for lack of slots.
	lastRefused time.Time
	told        toldMemory
	spread      spread
	counts      Counts
	queue       QueueLength
}

// rank is the priority of a request, the tenant's before the route's. Lower ones go first.
type rank struct{ tenant, route int }

func (r rank) before(other rank) bool {
	return r.tenant < other.tenant || (r.tenant == other.tenant && r.route < other.route)
}

// New returns the controller of a lane of which nothing is known yet.
func New() *Controller {
	return &Controller{
		places: returns.New(returns.Config{MaxPlaces: maxPlaces, KeptFor: keptFor}),
		recent: meter{span: recentSpan}, ends: meter{span: recentSpan}, usual: meter{span: usualSpan}, byRank: make(map[rank]*meter),
		told: newToldMemory(),
	}
}

// Arrived implements grant.OverloadControl. It recognizes a request that comes back when
// told, and counts the others.
func (c *Controller) Arrived(request *grant.Waiting, now time.Time) {
	c.advance(now)
	if c.places.Arrive(request.Content, now) == returns.Due {
		request.Returned = true
		c.counts.Kept++
		return
	}
	request.Again = c.told.holds(request.Content, now)
	if request.Again || request.Moved || request.MayHaveRun {
		return // it has been counted before
	}
	c.recent.add(now)
	if c.since.IsZero() {
		c.usual.add(now)
	}
	if own := c.rankMeter(request); own != nil {
		own.add(now)
	}
}

// rankMeter returns the meter of a request's rank, or nil if there are too many ranks.
func (c *Controller) rankMeter(request *grant.Waiting) *meter {
	own := rank{tenant: request.TenantRank, route: request.Rank}
	if c.byRank[own] == nil && len(c.byRank) < maxRanks {
		c.byRank[own] = &meter{span: recentSpan}
	}
	return c.byRank[own]
}

// advance updates what depends on the time alone.
func (c *Controller) advance(now time.Time) {
	c.counts.Missed += c.places.Expire(now)
	if !c.since.IsZero() && now.Sub(c.lastLate) > overloadEnd {
		c.since = time.Time{}
	}
	c.recent.advance(now)
	c.ends.advance(now)
	if c.since.IsZero() {
		c.usual.advance(now)
	} else {
		c.usual.skip(now)
	}
}

// Granted implements grant.OverloadControl. A request that came before its place and got a
// slot nevertheless no longer needs the place.
func (c *Controller) Granted(request *grant.Waiting, _ time.Time) {
	if !request.Returned && c.places.Release(request.Content) {
		c.counts.Released++
	}
}

// Finished implements grant.OverloadControl.
func (c *Controller) Finished(held time.Duration, now time.Time) {
	c.held.add(held.Seconds())
	c.ends.add(now)
}

// Overloaded implements grant.OverloadControl. Requests that are late and wait are no overload: the
// lane serves all of them, and batch runs may start behind them.
func (c *Controller) Overloaded(now time.Time) bool {
	return !c.lastRefused.IsZero() && now.Sub(c.lastRefused) <= overloadEnd
}

// PlacesWhenFull implements grant.OverloadControl.
func (c *Controller) PlacesWhenFull() bool { return false }

// Review implements grant.OverloadControl.
func (c *Controller) Review(queue []*grant.Waiting, load grant.LaneLoad, now time.Time) []grant.OverloadDecision {
	c.advance(now)
	c.queue = QueueLength{}
	review := c.newReview(load, now)
	var refused []grant.OverloadDecision
	for _, request := range queue {
		refusal, refuse := review.judge(request)
		if refuse {
			refused = append(refused, grant.OverloadDecision{Request: request, Refusal: refusal})
			continue
		}
		request.Admitted = true
		if request.InTime {
			c.queue.InTime++
		} else {
			c.queue.Late++
		}
	}
	return refused
}

// noteLate records that a request cannot be in time.
func (c *Controller) noteLate(now time.Time) {
	if c.since.IsZero() {
		c.since = now
	}
	c.lastLate = now
}

// usualPerSecond returns the rate of arrivals that is expected after the overload. While
// the usual rate is not known, it is taken to be the present one.
func (c *Controller) usualPerSecond() float64 {
	if usual, known := c.usual.perSecond(); known {
		return usual
	}
	return c.recentPerSecond()
}

// recentPerSecond returns the present rate of arrivals.
func (c *Controller) recentPerSecond() float64 {
	recent, _ := c.recent.perSecond()
	return recent
}

// higherPerSecond returns the present rate of arrivals of the ranks before a request's.
func (c *Controller) higherPerSecond(request *grant.Waiting, now time.Time) float64 {
	own := rank{tenant: request.TenantRank, route: request.Rank}
	higher := 0.0
	for other, arrivals := range c.byRank {
		if other.before(own) {
			arrivals.advance(now)
			perSecond, _ := arrivals.perSecond()
			higher += perSecond
		}
	}
	return higher
}
