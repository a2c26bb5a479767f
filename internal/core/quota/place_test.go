package quota

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const tenantA = 7

// exactLimiter is the reference model of a limit: a token bucket with the limit's rate and
// burst.
type exactLimiter struct {
	limit RateLimit
	level float64
	at    time.Time
}

func (e *exactLimiter) admit(now time.Time) bool {
	e.level = min(e.level+now.Sub(e.at).Seconds()*e.limit.PerSecond, e.limit.Burst)
	e.at = now
	if e.level < 1 {
		return false
	}
	e.level--
	return true
}

// maxInWindow returns the maximum number of moments that lie in one window.
func maxInWindow(moments []time.Time, window time.Duration) int {
	most, first := 0, 0
	for i, at := range moments {
		for at.Sub(moments[first]) >= window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// TestRateCounterAgainstAnExactBucket sends all requests through one counter. The counter must admit
// as many as a token bucket with the same initial level, and in any window no more than the
// limit and the margin allow.
func TestRateCounterAgainstAnExactBucket(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := RateLimit{PerSecond: float64(rapid.IntRange(1, 200).Draw(t, "rate")), Burst: float64(rapid.IntRange(1, 200).Draw(t, "burst"))}
		margin := Margin{Window: 5 * time.Second, Part: rapid.Float64Range(0, 0.2).Draw(t, "part"), Requests: float64(rapid.IntRange(0, 20).Draw(t, "slack"))}
		counter := NewRateCounter(margin, epoch)
		counter.Advance(epoch, 1)
		counter.SetLimits(map[uint64]RateLimit{tenantA: limit})
		reference := &exactLimiter{limit: limit, level: counter.tenants[tenantA].level, at: epoch}
		var begun []time.Time
		within := 0 // requests that the exact bucket admits
		for step, now := 0, epoch; step < 12_000; step++ {
			now = now.Add(time.Millisecond)
			if step%10 == 0 {
				counter.Advance(now, 1)
			}
			// The demand changes every 2.5 s, between one and three times the limit.
			demand := limit.PerSecond * float64(1+(step/2500+int(margin.Requests))%3)
			if math.Floor(float64(step)*demand/1000) == math.Floor(float64(step-1)*demand/1000) {
				continue
			}
			counter.Advance(now, 1)
			verdict := counter.Reserve(tenantA)
			if reference.admit(now) {
				within++
			}
			if verdict.Admitted {
				counter.Begin(tenantA)
				begun = append(begun, now)
			} else if verdict.RetryAfter <= 0 || verdict.RetryAfter > maxCounterRetry {
				t.Fatalf("refused with RetryAfter %s", verdict.RetryAfter)
			}
			if len(begun) < within-1 { // rounding may cost one request
				t.Fatalf("%d admitted, want at least %d, less one for rounding", len(begun), within)
			}
		}
		bound := margin.allowed(limit) + margin.requests(limit)*(toleranceMargin+startMargin) + 1
		if most := maxInWindow(begun, margin.Window); float64(most) > bound {
			t.Errorf("%d requests in a window, bound %.1f", most, bound)
		}
	})
}

// TestRateCountersKeepTheLimitTogether divides the nodes among several counters, each with far
// more demand than the limit.
func TestRateCountersKeepTheLimitTogether(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := RateLimit{PerSecond: float64(rapid.IntRange(2, 100).Draw(t, "rate"))}
		limit.Burst = limit.PerSecond
		margin := Margin{Window: 5 * time.Second, Part: 0.1, Requests: 20}
		shares := rapid.SliceOfN(rapid.Float64Range(0, 1), 2, 5).Draw(t, "shares")
		total := 0.0
		for _, share := range shares {
			total += share
		}
		var counters []*RateCounter
		for range shares {
			counter := NewIsolatedRateCounter(margin, epoch)
			counter.SetLimits(map[uint64]RateLimit{tenantA: limit})
			counters = append(counters, counter)
		}
		var begun []time.Time
		for step, now := 0, epoch; step < 1500; step++ {
			now = now.Add(10 * time.Millisecond)
			for i, counter := range counters {
				counter.Advance(now, shares[i]/max(total, 1))
				for counter.Reserve(tenantA).Admitted {
					counter.Begin(tenantA)
					begun = append(begun, now)
				}
			}
		}
		bound := margin.allowed(limit) + margin.requests(limit)*(toleranceMargin+shareMargin) + float64(len(counters))
		if most := maxInWindow(begun, margin.Window); float64(most) > bound {
			t.Errorf("%d requests in a window, bound %.1f, shares %v", most, bound, shares)
		}
	})
}

func TestPausedRateCounterAdmitsNothingForThePause(t *testing.T) {
	counter := NewRateCounter(Margin{}, epoch)
	counter.SetLimits(map[uint64]RateLimit{tenantA: {PerSecond: 10, Burst: 10}})
	counter.Advance(epoch, 1)
	counter.Advance(epoch.Add(time.Hour), 1)
	if verdict := counter.Reserve(tenantA); verdict.Left > 10*maxRefillInterval.Seconds() {
		t.Errorf("got %+v", verdict)
	}
}

func TestRateCounterCountsOnceAndTakesBack(t *testing.T) {
	counter := NewRateCounter(Margin{}, epoch)
	counter.SetLimits(map[uint64]RateLimit{tenantA: {PerSecond: 1, Burst: 2}})
	for i := range 40 {
		counter.Advance(epoch.Add(time.Duration(i)*maxRefillInterval), 1)
	}
	left := func() float64 { return counter.Reserve(tenantA).Left }
	if got := left(); got != 2 { // reserved one
		t.Fatalf("left %v", got)
	}
	counter.Drop(tenantA)
	if got := left(); got != 2 {
		t.Errorf("left %v after a drop", got)
	}
	counter.Begin(tenantA)
	if got := left(); got != 1 {
		t.Errorf("left %v after one began", got)
	}
	if verdict := counter.Reserve(tenantA); verdict.Admitted || verdict.RetryAfter != time.Second {
		t.Errorf("third request at a burst of two: %+v", verdict)
	}
	counter.Drop(tenantA)
	counter.Undo(tenantA)
	if got := left(); got != 2 {
		t.Errorf("left %v after one was undone", got)
	}
	counter.Drop(tenantA)
	counter.SetLimits(map[uint64]RateLimit{tenantA: {PerSecond: 1, Burst: 1}})
	if got := left(); got != 1 {
		t.Errorf("left %v after the limit was lowered", got)
	}
	counter.SetLimits(nil)
	if !counter.Reserve(tenantA).Admitted {
		t.Error("a tenant whose limit was removed is refused")
	}
}

// TestLimitWithoutBurstLetsOneThroughAtATime checks a limit with a rate and no burst.
func TestLimitWithoutBurstLetsOneThroughAtATime(t *testing.T) {
	counter := NewRateCounter(Margin{}, epoch)
	counter.SetLimits(map[uint64]RateLimit{tenantA: {PerSecond: 5}})
	admitted := 0
	for step, now := 0, epoch; step < 1000; step++ {
		now = now.Add(10 * time.Millisecond)
		counter.Advance(now, 1)
		if counter.Reserve(tenantA).Admitted {
			counter.Begin(tenantA)
			admitted++
		}
	}
	if admitted < 48 || admitted > 51 {
		t.Errorf("%d requests admitted in 10 s at 5 per second", admitted)
	}
}

// TestAdmitRandomlyAdmitsTheNodesPartOnAverage isolates each of many nodes and gives each
// more requests than its part of the limit.
func TestAdmitRandomlyAdmitsTheNodesPartOnAverage(t *testing.T) {
	const nodes, seconds = 60, 20
	limit := RateLimit{PerSecond: 8, Burst: 8}
	random := rand.New(rand.NewPCG(1, 7))
	admitted := 0
	for range nodes {
		counter := NewIsolatedRateCounter(Margin{}, epoch)
		counter.SetLimits(map[uint64]RateLimit{tenantA: limit})
		for step := range seconds * 100 {
			counter.Advance(epoch.Add(time.Duration(step)*10*time.Millisecond), 1.0/nodes)
			if step%50 == 0 && counter.AdmitRandomly(tenantA, random.Float64()) {
				admitted++
			}
		}
	}
	if want := limit.PerSecond * seconds; math.Abs(float64(admitted)-want) > want/3 {
		t.Errorf("%d requests admitted, want about %v", admitted, want)
	}
	if counter := NewIsolatedRateCounter(Margin{}, epoch); !counter.AdmitRandomly(tenantA, 0.9) {
		t.Error("a tenant without a limit is refused")
	}
}
