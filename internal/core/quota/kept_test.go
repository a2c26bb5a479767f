package quota

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// keptCounters is a group of counters among which nodes move.
type keptCounters struct {
	margin   Margin
	counters []*RateCounter
	nodes    []int // index of each node's counter
	now      time.Time
}

func newKeptCounters(margin Margin, limit RateLimit, counters, nodes int) *keptCounters {
	k := &keptCounters{margin: margin, nodes: make([]int, nodes), now: epoch}
	for range counters {
		counter := NewRateCounter(margin, epoch)
		counter.KeepUse()
		counter.SetLimits(map[uint64]RateLimit{tenantA: limit})
		k.counters = append(k.counters, counter)
	}
	k.counters[0].Advance(epoch, 1)
	return k
}

// share returns the part of the nodes that a counter has.
func (k *keptCounters) share(counter int) float64 {
	count := 0
	for _, at := range k.nodes {
		if at == counter {
			count++
		}
	}
	return float64(count) / float64(len(k.nodes))
}

// move moves a node to a counter, which knows the use of the one that it leaves.
func (k *keptCounters) move(node, to int) {
	from := k.nodes[node]
	if from == to {
		return
	}
	use := NewKnownUse(k.counters[from].Use(10), k.now)
	k.nodes[node] = to
	k.counters[from].Advance(k.now, k.share(from))
	k.counters[to].SetKnown([]KnownUse{use})
	k.counters[to].Advance(k.now, k.share(to))
	k.counters[to].SetKnown(nil)
}

// TestCreditMovesWithTheNodes moves nodes among counters at random, with demand at random
// counters. All counters together must keep to the bound of one counter that began once,
// however often nodes move.
func TestCreditMovesWithTheNodes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := float64(rapid.IntRange(2, 100).Draw(t, "rate"))
		limit := RateLimit{PerSecond: rate, Burst: rate}
		margin := Margin{Window: 5 * time.Second, Part: 0.1, Requests: 20}
		k := newKeptCounters(margin, limit, 3, 8)
		var begun []time.Time
		for range 40 {
			k.move(rapid.IntRange(0, 7).Draw(t, "node"), rapid.IntRange(0, 2).Draw(t, "to"))
			asked := rapid.IntRange(0, int(rate)).Draw(t, "asked")
			at := rapid.IntRange(0, 2).Draw(t, "at")
			for range rapid.IntRange(1, 40).Draw(t, "ticks") {
				k.now = k.now.Add(10 * time.Millisecond)
				for i, counter := range k.counters {
					counter.Advance(k.now, k.share(i))
				}
			}
			for range asked {
				if k.counters[at].Reserve(tenantA).Admitted {
					k.counters[at].Begin(tenantA)
					begun = append(begun, k.now)
				}
			}
		}
		bound := margin.allowed(limit) + margin.requests(limit)*(toleranceMargin+startMargin+shareMargin) + 3
		if most := maxInWindow(begun, margin.Window); float64(most) > bound {
			t.Errorf("%d requests in a window, bound %.1f", most, bound)
		}
	})
}

// TestSuccessorContinuesFromTheToldUse hands all nodes over at once. The successor must have
// what the use leaves, refilled for its age, and not the safe margin.
func TestSuccessorContinuesFromTheToldUse(t *testing.T) {
	limit := RateLimit{PerSecond: 10, Burst: 20}
	for _, test := range []struct {
		name string
		use  Use
		age  time.Duration
		want float64
	}{
		{"used up", Use{Rest: 1, Tenants: []TenantUse{{Tenant: tenantA}}}, 0, 0},
		{"used up and refilled", Use{Rest: 1, Tenants: []TenantUse{{Tenant: tenantA}}}, 500 * time.Millisecond, 5},
		{"partly used", Use{Rest: 1, Tenants: []TenantUse{{Tenant: tenantA, Left: 12.5}}}, 0, 12.5},
		{"not listed", Use{Rest: 1}, 0, 20},
		{"not listed, and others left out", Use{Rest: 0.5}, 0, 10},
		{"beyond its limit", Use{Rest: 1, Tenants: []TenantUse{{Tenant: tenantA, Left: -2}}}, 0, -2},
	} {
		counter := NewRateCounter(Margin{}, epoch)
		counter.KeepUse()
		counter.SetLimits(map[uint64]RateLimit{tenantA: limit})
		counter.SetKnown([]KnownUse{NewKnownUse(Use{Rest: 1}, epoch.Add(-test.age)), NewKnownUse(test.use, epoch.Add(-test.age))})
		counter.Advance(epoch, 1)
		if got := counter.Reserve(tenantA).Left; got != test.want {
			t.Errorf("%s: %v left, want %v", test.name, got, test.want)
		}
		if start := counter.Start(); !start.Known || start.Age != test.age {
			t.Errorf("%s: began from %+v", test.name, start)
		}
	}
}

// TestUseIsBoundedAndSafe tells fewer tenants than have used their limits. What is told of the
// others must not be more than they have left.
func TestUseIsBoundedAndSafe(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		counter := NewRateCounter(Margin{}, epoch)
		counter.KeepUse()
		limits := make(map[uint64]RateLimit)
		for tenant := range uint64(20) {
			limits[tenant] = RateLimit{PerSecond: 10, Burst: float64(rapid.IntRange(1, 30).Draw(t, "burst"))}
		}
		counter.SetLimits(limits)
		counter.SetKnown([]KnownUse{NewKnownUse(Use{Rest: 1}, epoch)})
		counter.Advance(epoch, rapid.Float64Range(0.1, 1).Draw(t, "share"))
		for tenant := range uint64(20) {
			for range rapid.IntRange(0, 10).Draw(t, "used") {
				counter.Begin(tenant)
			}
		}
		most := rapid.IntRange(1, 20).Draw(t, "most")
		use := counter.Use(most)
		if len(use.Tenants) > most {
			t.Fatalf("told %d tenants, want at most %d", len(use.Tenants), most)
		}
		told := NewKnownUse(use, epoch)
		for tenant, limit := range limits {
			left := counter.tenants[tenant].level / counter.share
			if got := told.left(tenant, limit.Burst, 0, epoch); got > left+roundingTolerance {
				t.Errorf("tenant %d: told that %v are left of %v", tenant, got, left)
			}
		}
	})
}

// TestLargeUseMustBeTold has a tenant use more than the successor may not know of.
func TestLargeUseMustBeTold(t *testing.T) {
	margin := Margin{Requests: 40}
	counter := NewRateCounter(margin, epoch)
	counter.KeepUse()
	counter.SetLimits(map[uint64]RateLimit{tenantA: {PerSecond: 10, Burst: 10}})
	counter.Advance(epoch, 1)
	for used := 1; used <= 5; used++ {
		if counter.MustTell() {
			t.Fatalf("must tell after %d requests", used)
		}
		counter.Begin(tenantA)
	}
	if !counter.MustTell() {
		t.Error("need not tell after an eighth of the margin")
	}
	counter.Use(10)
	if counter.MustTell() {
		t.Error("must tell what has just been told")
	}
}

func TestRefillIsAtMostThePartsBurst(t *testing.T) {
	for _, test := range []struct {
		unused time.Duration
		want   float64
	}{{500 * time.Millisecond, 1.25}, {time.Hour, 2.5}} {
		counter := NewRateCounter(Margin{}, epoch)
		counter.KeepUse()
		counter.SetLimits(map[uint64]RateLimit{tenantA: {PerSecond: 10, Burst: 10}})
		counter.Advance(epoch, 0.5)
		counter.Refill(0.25, test.unused)
		if got := counter.Reserve(tenantA).Left; got != test.want {
			t.Errorf("%v left after %v, want %v", got, test.unused, test.want)
		}
	}
}

// TestNodesThatComeBackBringTheirCredit has nodes leave and come back, as a node that turns to
// a dispatcher that does not answer.
func TestNodesThatComeBackBringTheirCredit(t *testing.T) {
	limit := map[uint64]RateLimit{tenantA: {PerSecond: 0.001, Burst: 10}}
	for _, test := range []struct {
		name  string
		away  time.Duration
		known []KnownUse
		want  float64
	}{
		{"soon", 500 * time.Millisecond, nil, 10},
		{"late", 700 * time.Millisecond, nil, 5},
		{"another counter tells a use", 100 * time.Millisecond, []KnownUse{NewKnownUse(Use{Rest: 0.5}, epoch)}, 7.5},
	} {
		counter := NewRateCounter(Margin{}, epoch)
		counter.KeepUse()
		counter.SetLimits(limit)
		counter.SetKnown([]KnownUse{NewKnownUse(Use{Rest: 1}, epoch)})
		counter.Advance(epoch, 1)
		counter.SetKnown(nil)
		counter.Advance(epoch, 0.5)
		counter.SetKnown(test.known)
		counter.Advance(epoch.Add(test.away), 1)
		if got := counter.Reserve(tenantA).Left; got < test.want-0.01 || got > test.want+0.01 {
			t.Errorf("%s: %v left, want %v", test.name, got, test.want)
		}
	}
}

// BenchmarkUse tells the use of 2,600 tenants, all of which have used their limits.
func BenchmarkUse(b *testing.B) {
	counter := NewRateCounter(Margin{}, epoch)
	counter.KeepUse()
	limits := make(map[uint64]RateLimit)
	for tenant := range uint64(2600) {
		limits[tenant*0x9e3779b97f4a7c15] = RateLimit{PerSecond: 10, Burst: 10}
	}
	counter.SetLimits(limits)
	counter.Advance(epoch, 1)
	for b.Loop() {
		counter.Use(1200)
	}
}

// BenchmarkTakeOver has 340 nodes join a counter of 2,600 tenants, one by one.
func BenchmarkTakeOver(b *testing.B) {
	limits := make(map[uint64]RateLimit)
	for tenant := range uint64(2600) {
		limits[tenant] = RateLimit{PerSecond: 10, Burst: 10}
	}
	known := []KnownUse{NewKnownUse(Use{Rest: 1}, epoch)}
	for b.Loop() {
		counter := NewRateCounter(Margin{}, epoch)
		counter.KeepUse()
		counter.SetLimits(limits)
		for node := range 340 {
			counter.SetKnown(known)
			counter.Advance(epoch, float64(node+1)/340)
		}
	}
}

// TestCreditThatLeftLongAgoDoesNotReturn has half of the nodes leave for long, uses up what stays,
// and then has other nodes leave and come back. They must bring only what they left with.
func TestCreditThatLeftLongAgoDoesNotReturn(t *testing.T) {
	limit := RateLimit{PerSecond: 0.01, Burst: 20}
	now := epoch
	counter := NewRateCounter(Margin{}, now)
	counter.KeepUse()
	counter.SetLimits(map[uint64]RateLimit{tenantA: limit})
	counter.SetKnown([]KnownUse{NewKnownUse(Use{Rest: 1}, now)})
	counter.Advance(now, 1)
	counter.SetKnown(nil)
	admit := func() (admitted int) {
		for counter.Reserve(tenantA).Admitted {
			counter.Begin(tenantA)
			admitted++
		}
		return admitted
	}
	now = now.Add(time.Second)
	counter.Advance(now, 0.5)
	if got := admit(); got != 10 {
		t.Fatalf("%d requests admitted for half of the nodes, want 10", got)
	}
	for range 10 {
		now = now.Add(returnTime + time.Millisecond)
		counter.Advance(now, 0.25)
		now = now.Add(10 * time.Millisecond)
		counter.Advance(now, 0.5)
	}
	if got := admit(); got != 0 {
		t.Errorf("%d more requests admitted after nodes left and came back, want none", got)
	}
}
