package fairshares_test

import (
	"cmp"
	"math"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"ringstream.example/ringstream/internal/core/fairshares"
	"ringstream.example/ringstream/internal/core/grant"
	"ringstream.example/ringstream/internal/core/ordering"
	_ "ringstream.example/ringstream/internal/seedtest" // fixed seed for rapid
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// drawWaiting draws a waiting request of one of the owners.
func drawWaiting(t *rapid.T, id uint64, owners int) *grant.Waiting {
	return &grant.Waiting{
		ID: id, Owner: uint64(rapid.IntRange(0, owners-1).Draw(t, "owner")), //nolint:gosec // not negative
		TenantRank: rapid.IntRange(0, 1).Draw(t, "tenant rank"), Rank: rapid.IntRange(0, 1).Draw(t, "rank"),
		MemoryTokens: rapid.SampledFrom([]int{10, 100, 1000}).Draw(t, "tokens"),
		Deadline:     start.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "deadline")) * time.Millisecond),
		InTime:       rapid.IntRange(0, 3).Draw(t, "in time") > 0, Place: rapid.IntRange(0, 9).Draw(t, "place") == 0,
		Returned: rapid.IntRange(0, 4).Draw(t, "returned") == 0,
	}
}

// compareUnshared compares two requests as an order without shares does, but for the deadlines.
func compareUnshared(a, b *grant.Waiting) int {
	return cmp.Or(
		ordering.FalseFirst(!a.Place, !b.Place), ordering.FalseFirst(!a.InTime, !b.InTime),
		cmp.Compare(a.TenantRank, b.TenantRank), cmp.Compare(a.Rank, b.Rank),
	)
}

// compareInTenant compares two requests of a tenant that are alike in rank.
func compareInTenant(a, b *grant.Waiting) int {
	return cmp.Or(ordering.FalseFirst(!a.Returned, !b.Returned), a.Deadline.Compare(b.Deadline))
}

func ids(queue []*grant.Waiting) []uint64 {
	var list []uint64
	for _, request := range queue {
		list = append(list, request.ID)
	}
	return list
}

func TestWithoutTenantsTheOrderIsByDeadline(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		order := fairshares.New()
		var queue []*grant.Waiting
		for id := range rapid.Uint64Range(0, 40).Draw(t, "requests") {
			queue = append(queue, drawWaiting(t, id, 1))
		}
		want := slices.Clone(queue)
		slices.SortStableFunc(want, func(a, b *grant.Waiting) int {
			return cmp.Or(compareUnshared(a, b), compareInTenant(a, b))
		})
		order.Arrange(queue, start)
		if !slices.Equal(ids(queue), ids(want)) {
			t.Fatalf("order %v, by deadline %v", ids(queue), ids(want))
		}
	})
}

// referenceShares is the reference model: the same discipline, with the account of each tenant
// and the whole order computed by loops over all requests.
type referenceShares struct {
	virtualTime map[[2]int]float64
	finish      map[[3]int]float64
	weights     map[uint64]float64
	bursts      map[uint64]float64 // in requests
	seconds     map[int]float64    // expected time at a slot by tokens
	overall     float64            // the same for all sizes
}

func rankOf(request *grant.Waiting) [2]int { return [2]int{request.TenantRank, request.Rank} }

func flowOf(request *grant.Waiting) [3]int {
	return [3]int{request.TenantRank, request.Rank, int(request.Owner)} //nolint:gosec // small numbers
}

// expected returns the expected time at a slot: that of the same size, or of the nearest size, the
// smaller one first.
func (r *referenceShares) expected(tokens int) float64 {
	best, distance := 1.0, math.Inf(1)
	for _, size := range []int{10, 100, 1000} {
		seconds, known := r.seconds[size]
		if away := math.Abs(sizeClass(size) - sizeClass(tokens)); known && away < distance {
			best, distance = seconds, away
		}
	}
	return best
}

// sizeClass returns the class of a size, one per power of two.
func sizeClass(tokens int) float64 { return math.Floor(math.Log2(float64(tokens))) }

func (r *referenceShares) perWeight(request *grant.Waiting) float64 {
	return r.expected(request.MemoryTokens) / r.weights[request.Owner]
}

// earliest returns the earliest start tag of a tenant's request.
func (r *referenceShares) earliest(request *grant.Waiting) float64 {
	return r.virtualTime[rankOf(request)] - r.bursts[request.Owner]*r.meanSeconds()/r.weights[request.Owner]
}

func (r *referenceShares) start(request *grant.Waiting) float64 {
	if finish, known := r.finish[flowOf(request)]; known {
		return max(r.earliest(request), finish)
	}
	return r.earliest(request)
}

// advance moves the virtual times to the least start tag of those that can be in time, or of all if
// none can.
func (r *referenceShares) advance(queue []*grant.Waiting) {
	least, leastInTime := make(map[[2]int]float64), make(map[[2]int]float64)
	for _, request := range queue {
		rank, tag := rankOf(request), r.start(request)
		if known, found := least[rank]; !found || tag < known {
			least[rank] = tag
		}
		if known, found := leastInTime[rank]; request.InTime && !request.Place && (!found || tag < known) {
			leastInTime[rank] = tag
		}
	}
	for rank, tag := range least {
		if inTime, found := leastInTime[rank]; found {
			tag = inTime
		}
		r.virtualTime[rank] = max(r.virtualTime[rank], tag)
	}
}

// arrange returns the queue in order. It sorts each tenant's requests of a group by deadline, and
// then takes the request with the least start tag again and again.
func (r *referenceShares) arrange(queue []*grant.Waiting) []*grant.Waiting {
	r.advance(queue)
	left := slices.Clone(queue)
	slices.SortStableFunc(left, func(a, b *grant.Waiting) int { return cmp.Or(compareUnshared(a, b), compareInTenant(a, b)) })
	next := make(map[[3]int]float64) // start tag of the tenant's next request
	last := make(map[[3]int]float64) // start tag of the tenant's last request
	tag := make(map[*grant.Waiting]float64)
	for _, request := range left {
		if _, known := next[flowOf(request)]; !known {
			next[flowOf(request)] = r.start(request)
		}
		tag[request] = next[flowOf(request)]
		last[flowOf(request)] = tag[request]
		next[flowOf(request)] += r.perWeight(request)
	}
	deferred := make(map[*grant.Waiting]bool)
	for _, request := range left {
		virtualTime := r.virtualTime[rankOf(request)]
		few := last[flowOf(request)] < virtualTime+r.maxAhead(request)
		deferred[request] = !few && tag[request] >= virtualTime && (tag[request] > virtualTime || !r.passed(request))
	}
	var ordered []*grant.Waiting
	for len(left) > 0 {
		best := 0
		for i, request := range left {
			if r.before(request, left[best], tag, deferred) {
				best = i
			}
		}
		ordered = append(ordered, left[best])
		left = slices.Delete(left, best, best+1)
	}
	return ordered
}

// maxAhead returns the cost per weight of eight requests of mean cost.
func (r *referenceShares) maxAhead(request *grant.Waiting) float64 {
	return 8 * r.meanSeconds() / r.weights[request.Owner]
}

// meanSeconds returns the expected time at a slot over all sizes.
func (r *referenceShares) meanSeconds() float64 {
	if r.overall == 0 {
		return 1
	}
	return r.overall
}

// before reports whether a request, which stands behind another by deadline, is served before it.
func (r *referenceShares) before(request, other *grant.Waiting, tag map[*grant.Waiting]float64, deferred map[*grant.Waiting]bool) bool {
	if unshared := compareUnshared(request, other); unshared != 0 {
		return unshared < 0
	}
	if deferred[request] != deferred[other] {
		return deferred[other]
	}
	if tag[request] != tag[other] {
		return tag[request] < tag[other]
	}
	return r.passed(request) && !r.passed(other)
}

func (r *referenceShares) passed(request *grant.Waiting) bool {
	finish, known := r.finish[flowOf(request)]
	return !known || finish < r.earliest(request)
}

func (r *referenceShares) granted(request *grant.Waiting) time.Duration {
	seconds := r.expected(request.MemoryTokens)
	r.finish[flowOf(request)] = r.start(request) + r.perWeight(request)
	return time.Duration(seconds * float64(time.Second))
}

func (r *referenceShares) finished(request *grant.Waiting, expected, held time.Duration, complete bool) {
	r.finish[flowOf(request)] += (held - expected).Seconds() / r.weights[request.Owner]
	if !complete {
		return
	}
	mean, known := r.seconds[request.MemoryTokens]
	if !known {
		mean = held.Seconds()
	}
	if r.overall == 0 {
		r.overall = held.Seconds()
	}
	r.seconds[request.MemoryTokens] = mean + 0.05*(held.Seconds()-mean)
	r.overall += 0.05 * (held.Seconds() - r.overall)
}

// TestOrderAgreesWithReferenceModel compares orders after arrivals, grants of any of the requests
// and ends after any time.
func TestOrderAgreesWithReferenceModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const owners = 4
		order := fairshares.New()
		reference := &referenceShares{virtualTime: make(map[[2]int]float64), finish: make(map[[3]int]float64), weights: make(map[uint64]float64), bursts: make(map[uint64]float64), seconds: make(map[int]float64)}
		for owner := range uint64(owners) {
			reference.weights[owner] = float64(rapid.IntRange(1, 4).Draw(t, "weight"))
		}
		burst := float64(rapid.IntRange(0, 2).Draw(t, "burst"))
		for owner := range uint64(owners) {
			reference.bursts[owner] = burst
		}
		order.SetTenants(parts(reference.weights, burst))
		// Two requests of each pair of ranks are in flight all the time, so that no account is
		// forgotten because the lane is idle.
		for _, rank := range [][2]int{{0, 0}, {0, 1}, {1, 0}, {1, 1}} {
			request := &grant.Waiting{TenantRank: rank[0], Rank: rank[1], MemoryTokens: 100}
			order.Granted(request, start)
			reference.granted(request)
		}
		type running struct {
			request  *grant.Waiting
			charge   grant.SlotCharge
			expected time.Duration // by the reference model
		}
		var queue []*grant.Waiting
		var inFlight []running
		for step := range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch what := rapid.IntRange(0, 4).Draw(t, "step"); {
			case what <= 1:
				queue = append(queue, drawWaiting(t, uint64(step), owners)) //nolint:gosec // not negative
			case what <= 3 && len(queue) > 0:
				i := rapid.IntRange(0, min(2, len(queue)-1)).Draw(t, "granted")
				request := queue[i]
				queue = slices.Delete(queue, i, i+1)
				inFlight = append(inFlight, running{request: request, charge: order.Granted(request, start), expected: reference.granted(request)})
			case len(inFlight) > 0:
				i := rapid.IntRange(0, len(inFlight)-1).Draw(t, "ended")
				ended := inFlight[i]
				inFlight = slices.Delete(inFlight, i, i+1)
				held := time.Duration(rapid.IntRange(1, 8).Draw(t, "held")) * 250 * time.Millisecond
				complete := rapid.Bool().Draw(t, "complete")
				order.Finished(grant.SlotUse{SlotCharge: ended.charge, Held: held, Complete: complete}, start)
				reference.finished(ended.request, ended.expected, held, complete)
			}
			want := reference.arrange(queue)
			order.Arrange(queue, start)
			if !slices.Equal(ids(queue), ids(want)) {
				t.Fatalf("order %v, reference model %v", ids(queue), ids(want))
			}
		}
	})
}

// TestReturnedRequestGoesBeforeNewOnesOfItsTenant arranges a request that has come back when told
// and a new one with less time left.
func TestReturnedRequestGoesBeforeNewOnesOfItsTenant(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	fresh := &grant.Waiting{ID: 1, Owner: 7, InTime: true, Deadline: now.Add(100 * time.Millisecond)}
	returned := &grant.Waiting{ID: 2, Owner: 7, InTime: true, Deadline: now.Add(300 * time.Millisecond), Returned: true}
	queue := []*grant.Waiting{fresh, returned}
	fairshares.New().Arrange(queue, now)
	if queue[0] != returned {
		t.Error("the new request is before the one whose place is kept")
	}
}
