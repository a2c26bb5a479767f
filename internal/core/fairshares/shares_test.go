package fairshares_test

import (
	"math"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// longObjective keeps all requests of a test in time.
const longObjective = time.Hour

func byTime(jobs []job) []job {
	slices.SortStableFunc(jobs, func(a, b job) int { return int(a.at - b.at) })
	return jobs
}

// exactShares divides the lane's slot time among tenants by weight, as if the slots could be cut
// into parts of any size: nobody gets more than it asks for, and what it leaves goes to the others.
func exactShares(total float64, demands, weights map[uint64]float64) map[uint64]float64 {
	shares := make(map[uint64]float64)
	for len(shares) < len(demands) {
		left, weight := total, 0.0
		for owner := range demands {
			if given, settled := shares[owner]; settled {
				left -= given
			} else {
				weight += weights[owner]
			}
		}
		level, satisfied := left/weight, false
		for owner, demand := range demands {
			if _, settled := shares[owner]; !settled && demand <= level*weights[owner] {
				shares[owner], satisfied = demand, true
			}
		}
		if satisfied {
			continue
		}
		for owner := range demands {
			if _, settled := shares[owner]; !settled {
				shares[owner] = level * weights[owner]
			}
		}
	}
	return shares
}

// TestSharesAreThoseOfExactSharing compares what tenants get of a lane whose slots are all in use
// with exact sharing, whatever they send, in what sizes.
func TestSharesAreThoseOfExactSharing(t *testing.T) {
	const largest = 64
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 8).Draw(t, "slots")
		demands, weights := make(map[uint64]float64), make(map[uint64]float64)
		var jobs []job
		total := 0.0
		owners := rapid.IntRange(2, 6).Draw(t, "tenants")
		for owner := range uint64(owners) { //nolint:gosec // not negative
			weights[owner] = float64(rapid.IntRange(1, 4).Draw(t, "weight"))
			size := rapid.SampledFrom([]int{1, 4, 16, largest}).Draw(t, "size")
			for range rapid.IntRange(1, 50).Draw(t, "requests") {
				jobs = append(jobs, job{owner: owner, tokens: size, objective: longObjective})
				demands[owner] += heldFor(size).Seconds()
				total += heldFor(size).Seconds()
			}
		}
		lane := newSlotLane(slots, weights)
		lane.learn(1, 4, 16, largest)
		span := rapid.Float64Range(0.2, 0.9).Draw(t, "part") * total / float64(slots)
		lane.play(jobs, time.Duration(span*float64(time.Second)))
		given := 0.0
		for _, served := range lane.served {
			given += served.Seconds()
		}
		if given < min(span*float64(slots), total)-1e-6 {
			t.Fatalf("%v s of the slots' %v s are used while requests wait", given, span*float64(slots))
		}
		shares := exactShares(given, demands, weights)
		for owner, exact := range shares {
			// Each other tenant may be ahead by one of its requests, as may this one.
			bound := 0.0
			for range owners {
				bound += heldFor(largest).Seconds() * max(1, weights[owner])
			}
			if math.Abs(lane.served[owner].Seconds()-exact) > bound {
				t.Fatalf("tenant %d got %v, exact share %v, bound %v", owner, lane.served[owner].Seconds(), exact, bound)
			}
		}
	})
}

// TestMoreOrSmallerRequestsGainNothing compares two tenants of one weight that always have requests
// waiting. One sends its work in smaller requests, and much more of it.
func TestMoreOrSmallerRequestsGainNothing(t *testing.T) {
	const large = 64
	rapid.Check(t, func(t *rapid.T) {
		const rounds = 10
		slots := rapid.IntRange(1, 4).Draw(t, "slots")
		pieces := 1 << rapid.IntRange(0, 4).Draw(t, "pieces of a request")
		times := rapid.IntRange(1, 3).Draw(t, "times the work")
		var jobs []job
		for range rounds * slots {
			jobs = append(jobs, job{owner: 1, tokens: large, objective: longObjective})
			for range pieces * times {
				jobs = append(jobs, job{owner: 2, tokens: large / pieces, objective: longObjective})
			}
		}
		lane := newSlotLane(slots, nil)
		lane.learn(large, large/pieces)
		lane.play(jobs, rounds*heldFor(large))
		if gain := lane.served[2] - lane.served[1]; gain > 2*heldFor(large) {
			t.Fatalf("%v of slot time with small requests, %v with large ones", lane.served[2], lane.served[1])
		}
	})
}

// TestIdleTenantGathersNoCreditBeyondItsBurst checks that a tenant that comes back gets no more than
// its share for the time in which it sent nothing, but for the burst that its limit allows.
func TestIdleTenantGathersNoCreditBeyondItsBurst(t *testing.T) {
	const size, slots = 16, 4
	rapid.Check(t, func(t *rapid.T) {
		back := time.Duration(rapid.IntRange(0, 500).Draw(t, "back after ms")) * time.Millisecond
		burst := rapid.IntRange(0, 10).Draw(t, "burst")
		jobs := []job{{owner: 2, tokens: size, objective: longObjective}}
		for range 400 {
			jobs = append(jobs, job{owner: 1, tokens: size, objective: longObjective})
		}
		for range 200 {
			jobs = append(jobs, job{owner: 2, at: back, tokens: size, objective: longObjective})
		}
		served := func(until time.Duration) map[uint64]time.Duration {
			lane := newSlotLane(slots, nil)
			lane.order.SetTenants(parts(map[uint64]float64{1: 1, 2: 1}, float64(burst)))
			lane.learn(size)
			lane.play(jobs, until)
			return lane.served
		}
		before, after := served(back), served(back+time.Second/2)
		gain := after[2] - before[2] - (after[1] - before[1])
		if gain > time.Duration(burst+slots+2)*heldFor(size) {
			t.Fatalf("the tenant that was idle for %v and has a burst of %d got %v more than the other", back, burst, gain)
		}
	})
}

// TestTenantWithFewWaitingIsAheadByABoundedAmount lets a tenant send at a steady rate, below its share
// or above, beside one that always has requests waiting. However long that lasts, it is ahead of its
// share by no more than the requests that it may be ahead by.
func TestTenantWithFewWaitingIsAheadByABoundedAmount(t *testing.T) {
	const size, ahead = 16, 8
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 4).Draw(t, "slots")
		lasts := time.Duration(rapid.IntRange(200, 3000).Draw(t, "lasts ms")) * time.Millisecond
		load := rapid.Float64Range(0.5, 3).Draw(t, "times its share")
		var jobs []job
		for range 2 * slots * int(lasts/heldFor(size)) {
			jobs = append(jobs, job{owner: 1, tokens: size, objective: longObjective})
		}
		pause := time.Duration(2 * float64(heldFor(size)) / float64(slots) / load)
		for at := time.Duration(0); at < lasts; at += pause {
			jobs = append(jobs, job{owner: 2, at: at, tokens: size, objective: longObjective})
		}
		lane := newSlotLane(slots, nil)
		lane.learn(size)
		lane.play(byTime(jobs), lasts)
		if gain := lane.served[2] - lane.served[1]; gain > time.Duration(ahead+slots+2)*heldFor(size) {
			t.Fatalf("the tenant with few requests got %v more than the other in %v", gain, lasts)
		}
	})
}

// TestWithinItsShareATenantWaitsAsInAnEmptyFleet checks that a tenant that asks for less than its
// share gets the next slot that becomes free, whatever tenants that flood send, and that it loses
// nothing when the queue is bounded. A tenant that was idle and comes at the same time may get one
// slot before it.
func TestWithinItsShareATenantWaitsAsInAnEmptyFleet(t *testing.T) {
	const small, largest, warmUp = 8, 64, 200 * time.Millisecond
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 8).Draw(t, "slots")
		others := rapid.IntRange(1, 5).Draw(t, "others")
		oneFlood := rapid.Bool().Draw(t, "all others flood from the start")
		weights := map[uint64]float64{0: float64(rapid.IntRange(1, 4).Draw(t, "weight"))}
		total := weights[0]
		var jobs []job
		for other := range others {
			owner := uint64(other + 1) //nolint:gosec // not negative
			weights[owner] = float64(rapid.IntRange(1, 4).Draw(t, "other weight"))
			total += weights[owner]
			size := rapid.SampledFrom([]int{1, 4, 16, largest}).Draw(t, "size")
			objective := rapid.SampledFrom([]time.Duration{30 * time.Millisecond, 300 * time.Millisecond, longObjective}).Draw(t, "objective")
			for range rapid.IntRange(1, 5).Draw(t, "bursts") {
				at := time.Duration(0)
				if !oneFlood {
					at = time.Duration(rapid.IntRange(0, 2000).Draw(t, "burst at ms")) * time.Millisecond
				}
				for range rapid.IntRange(1, 40).Draw(t, "burst") {
					jobs = append(jobs, job{owner: owner, at: at, tokens: size, objective: objective})
				}
			}
		}
		// The others may be ahead of their shares by some requests each; the tenant leaves room
		// for these.
		pause := heldFor(small).Seconds()*total/weights[0]/float64(slots) + heldFor(largest).Seconds()*float64(others+slots+1)*4/float64(slots)
		for at := warmUp.Seconds(); at < 3; at += pause {
			jobs = append(jobs, job{owner: 0, at: time.Duration(at * float64(time.Second)), tokens: small, objective: longObjective})
		}
		lane := newSlotLane(slots, weights)
		lane.learn(1, 4, small, 16, largest)
		lane.limit = rapid.SampledFrom([]int{0, 20}).Draw(t, "limit")
		sorted := byTime(jobs)
		lane.play(sorted, 4*time.Second)
		allowed, longest := 1, heldFor(largest)*time.Duration(1+others)
		if oneFlood {
			allowed, longest = 0, heldFor(largest)
		}
		for id, sent := range sorted {
			if sent.owner != 0 {
				continue
			}
			wait, granted := lane.wait[uint64(id)] //nolint:gosec // not negative
			if !granted || wait > longest {
				t.Fatalf("request %d of the tenant within its share: granted %v after %v", id, granted, wait)
			}
			for other, times := range lane.overtaken[uint64(id)] { //nolint:gosec // not negative
				if times > allowed {
					t.Fatalf("tenant %d got %d slots before request %d of the tenant within its share", other, times, id)
				}
			}
		}
		if lane.dropped[0] > 0 {
			t.Fatalf("%d requests of the tenant within its share were dropped", lane.dropped[0])
		}
	})
}
