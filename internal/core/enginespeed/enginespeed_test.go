package enginespeed

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"ringstream.example/ringstream/internal/core/enginechoice"
	"ringstream.example/ringstream/internal/core/grant"
	_ "ringstream.example/ringstream/internal/seedtest" // fixed seed for rapid
)

const (
	warmUp    = 3 * time.Second
	slowFor   = 8 * time.Second
	detection = time.Second
	recovery  = 2 * time.Second
	slowShare = engineCount * 2 / 5
)

// playSlowEngines replays 40 percent of the engines being four times slower for 8 s.
func playSlowEngines(seed uint64, speeds grant.EngineSpeeds) *replay {
	r := newReplay(seed, speeds)
	r.run(warmUp)
	r.slow(slowShare, 4)
	r.run(slowFor)
	r.slow(slowShare, 1)
	r.run(recovery + 2*time.Second)
	return r
}

// TestSlowEnginesAreAvoided replays slow engines while slots are free elsewhere. After the
// detection time hardly any request may go to a slow engine, and after the end the engines must
// be used again.
func TestSlowEnginesAreAvoided(t *testing.T) {
	for seed := range uint64(5) {
		r, before := playSlowEngines(seed, New()), playSlowEngines(seed, nil)
		end := warmUp + slowFor
		avoided, usual := r.count(warmUp+detection, end, slowShare), before.count(warmUp+detection, end, slowShare)
		t.Logf("seed %d: onset %+v, slow %+v, as before %+v", seed, r.count(warmUp, warmUp+detection, slowShare), avoided, usual)
		if avoided.toSlow*20 > avoided.all {
			t.Errorf("seed %d: %d of %d requests went to a slow engine while others had free slots", seed, avoided.toSlow, avoided.all)
		}
		if avoided.late*100 > avoided.all {
			t.Errorf("seed %d: %d of %d requests were late", seed, avoided.late, avoided.all)
		}
		if usual.toSlow*10 < usual.all {
			t.Errorf("seed %d: the load does not show slow engines: %+v", seed, usual)
		}
		after := r.count(end+recovery, end+recovery+2*time.Second, slowShare)
		t.Logf("seed %d: after %+v", seed, after)
		if after.first*4 < after.all {
			t.Errorf("seed %d: after their recovery %d of %d requests went to the engines that were slow", seed, after.first, after.all)
		}
	}
}

// TestUniformSlownessCondemnsNone replays all engines becoming slow at once: none of them is
// slower than the others.
func TestUniformSlownessCondemnsNone(t *testing.T) {
	r := newReplay(1, New())
	r.onlineRate = onlineRate / 4
	r.run(warmUp)
	r.slow(engineCount, 4)
	r.run(4 * time.Second)
	r.slow(engineCount, 1)
	r.run(2 * time.Second)
	for _, change := range r.changes {
		t.Errorf("%+v", change)
	}
}

// TestNoiseCondemnsNone replays requests whose work differs by half, and a node in four that
// sees events late.
func TestNoiseCondemnsNone(t *testing.T) {
	for seed := range uint64(3) {
		r := newReplay(seed, New())
		r.noise = 0.3
		for _, node := range r.nodes[:nodeCount/4] {
			node.slowness = 1.4
		}
		r.run(10 * time.Second)
		for _, change := range r.changes {
			t.Errorf("seed %d: %+v", seed, change)
		}
	}
}

// TestEnginesOfDifferentSpeedCondemnNone replays a lane in which a quarter of the engines always
// is 2.5 times faster than the others, and is less full for it.
func TestEnginesOfDifferentSpeedCondemnNone(t *testing.T) {
	r := newReplay(1, New())
	for _, engine := range r.engines[:engineCount/4] {
		engine.slowness = 0.4
	}
	for _, rate := range []float64{onlineRate / 4, onlineRate, 1.5 * onlineRate, onlineRate / 2} {
		r.onlineRate = rate
		r.run(3 * time.Second)
	}
	for _, change := range r.changes {
		t.Errorf("%+v", change)
	}
}

// TestFullEnginesAreNotCondemned lets one engine after the other become full, at which work takes
// 2.4 times as long there. After some of them that is no reason to take an engine for slow.
func TestFullEnginesAreNotCondemned(t *testing.T) {
	const rounds, learn = 6, 2
	tracker, ids := learned(5)
	now := start
	var late []grant.SpeedChange
	for round := range rounds {
		for full := range ids {
			for turn := range 2 * agreeingOfOne {
				now = now.Add(50 * time.Millisecond)
				for i, id := range ids {
					pace, at := grant.Pace{Events: 2, Elapsed: 100 * time.Millisecond}, grant.Observed{Node: []string{"n1", "n2"}[turn%2], Fullness: 0.6, At: now}
					if i == full && turn >= agreeingOfOne {
						pace.Elapsed, at.Fullness = 240*time.Millisecond, 1
					}
					tracker.ObservePace(id, pace, at)
				}
				if changes := tracker.Review(now); round >= learn {
					late = append(late, changes...)
				}
			}
		}
	}
	for _, change := range late {
		t.Errorf("%+v", change)
	}
}

// TestStalledRequestCondemnsNone replays single requests that stall, at half of the engines.
func TestStalledRequestCondemnsNone(t *testing.T) {
	r := newReplay(1, New())
	r.run(warmUp)
	for _, engine := range r.engines[:engineCount/2] {
		if len(engine.requests) > 0 {
			engine.requests[0].stalled = r.now.Add(2 * time.Second)
		}
	}
	r.run(4 * time.Second)
	for _, change := range r.changes {
		t.Errorf("%+v", change)
	}
}

// TestForgivenEngineIsNotRushed replays one engine that recovers during a burst that fills the
// lane. Before it has shown its speed twice, only few requests may go there while other engines
// have free slots.
func TestForgivenEngineIsNotRushed(t *testing.T) {
	tracker := New()
	r := newReplay(1, tracker)
	r.run(warmUp)
	r.slow(1, 6)
	r.run(6 * time.Second)
	r.slow(1, 1)
	r.onlineRate = 3000
	seen, rushed := len(r.online), 0
	for tracker.Speed(r.engines[0].id).Slowness > 1 && r.now.Sub(start) < warmUp+10*time.Second {
		r.run(time.Millisecond)
		r.onlineRate = max(r.onlineRate-30, onlineRate)
	}
	for _, request := range r.online[seen:] {
		if request.engine == r.engines[0] && request.spared {
			rushed++
		}
	}
	if recovered := r.now.Sub(start) - warmUp - 6*time.Second; recovered > recovery {
		t.Errorf("the engine was used again after %v", recovered)
	}
	if rushed > 2*recoveryGrants+1 {
		t.Errorf("%d requests went to the engine before it had shown its speed", rushed)
	}
}

// agreeingStep is the distance of observations that span agreeingFor once they are enough.
const agreeingStep = agreeingFor/(agreeing-1) + 1

// learned returns a tracker that knows how long work usually takes at some engines: 20 ms.
func learned(engines int) (*Tracker, []enginechoice.Incarnation) {
	tracker := New()
	var ids []enginechoice.Incarnation
	for i := range engines {
		id := enginechoice.Incarnation{ID: string(rune('a' + i))}
		ids = append(ids, id)
		for range minSamples {
			tracker.ObserveFirstToken(id, grant.FirstToken{PrefillTokens: 100, Elapsed: 20 * time.Millisecond}, grant.Observed{Node: "n1", At: start})
		}
	}
	tracker.Review(start)
	return tracker, ids
}

// TestAgreementAndForgiveness checks how many observations make an engine slow, and usual again.
func TestAgreementAndForgiveness(t *testing.T) {
	tracker, ids := learned(5)
	now := start
	observe := func(elapsed time.Duration, node string) []grant.SpeedChange {
		now = now.Add(agreeingStep)
		tracker.ObserveFirstToken(ids[0], grant.FirstToken{PrefillTokens: 100, Elapsed: elapsed}, grant.Observed{Node: node, At: now})
		return tracker.Review(now)
	}
	for i := range agreeing - 1 {
		if changes := observe(80*time.Millisecond, []string{"n1", "n2"}[i%2]); len(changes) > 0 {
			t.Fatalf("after %d observations: %+v", i+1, changes)
		}
	}
	changes := observe(80*time.Millisecond, "n2")
	if len(changes) != 1 || changes[0].Slowness < 3.5 || changes[0].Slowness > 4.5 || changes[0].Observations != agreeing {
		t.Fatalf("after %d observations: %+v", agreeing, changes)
	}
	if changes := observe(21*time.Millisecond, "n1"); len(changes) > 0 || tracker.Speed(ids[0]).Grants != recoveryGrants {
		t.Fatalf("after one good observation: %+v, %+v", changes, tracker.Speed(ids[0]))
	}
	if changes := observe(21*time.Millisecond, "n1"); len(changes) != 1 || tracker.Speed(ids[0]) != (enginechoice.Speed{}) {
		t.Fatalf("after two good observations: %+v, %+v", changes, tracker.Speed(ids[0]))
	}
}

// TestOneNodeCondemnsNone checks that a node that is slow itself makes no engine slow where other
// nodes observe the lane.
func TestOneNodeCondemnsNone(t *testing.T) {
	tracker, ids := learned(5)
	for i := range 20 {
		now := start.Add(time.Duration(i) * 50 * time.Millisecond)
		tracker.ObserveFirstToken(ids[0], grant.FirstToken{PrefillTokens: 100, Elapsed: 80 * time.Millisecond}, grant.Observed{Node: "n9", At: now})
		tracker.ObserveFirstToken(ids[1], grant.FirstToken{PrefillTokens: 100, Elapsed: 20 * time.Millisecond}, grant.Observed{Node: "n1", At: now})
		if changes := tracker.Review(now); len(changes) > 0 {
			t.Fatalf("%+v", changes)
		}
	}
}

// TestSilenceIsEvidence checks that an engine is taken for slow before any of its first tokens
// has come, by several requests that wait, and not by one of them. Each node reports its requests
// anew with every message.
func TestSilenceIsEvidence(t *testing.T) {
	tracker, ids := learned(5)
	silence := grant.FirstToken{PrefillTokens: 100, Elapsed: 100 * time.Millisecond}
	now := start.Add(time.Second)
	report := func(engine enginechoice.Incarnation, requests ...grant.RequestKey) []grant.SpeedChange {
		for _, request := range requests {
			tracker.ObserveSilence(engine, request, silence, grant.Observed{Node: request.Node, At: now})
		}
		changes := tracker.Review(now)
		now = now.Add(grant.RefreshInterval)
		silence.Elapsed += grant.RefreshInterval
		return changes
	}
	for range 10 {
		if changes := report(ids[1], grant.RequestKey{Node: "n1", ID: 9}); len(changes) > 0 {
			t.Fatalf("after one request: %+v", changes)
		}
	}
	silence.Elapsed = 100 * time.Millisecond
	waiting := []grant.RequestKey{{Node: "n1", ID: 1}, {Node: "n1", ID: 2}, {Node: "n2", ID: 1}, {Node: "n3", ID: 1}}
	for reported := time.Duration(0); reported < agreeingFor; reported += grant.RefreshInterval {
		if changes := report(ids[0], waiting...); len(changes) > 0 {
			t.Fatalf("after %v: %+v", reported, changes)
		}
	}
	if changes := report(ids[0], waiting...); len(changes) != 1 || changes[0].Slowness < 4 {
		t.Fatalf("after four requests: %+v", changes)
	}
	tracker.ObserveSilence(ids[2], grant.RequestKey{Node: "n1", ID: 5}, grant.FirstToken{PrefillTokens: 100, Elapsed: 25 * time.Millisecond}, grant.Observed{Node: "n1", At: now})
	if tracker.engines[ids[2]].evidence[ofFirstTokens].newest().key != (grant.RequestKey{}) {
		t.Error("a request that has not waited long counts")
	}
}

// TestEngineFigureIsEvidence checks the engine's own figure: several agree, relative to the
// lane's other engines.
func TestEngineFigureIsEvidence(t *testing.T) {
	for _, others := range []int{100, 400} {
		tracker, ids := learned(5)
		now := start.Add(time.Second)
		for turn := range agreeing {
			now = now.Add(agreeingStep)
			for i, id := range ids {
				percent := others
				if i == 0 {
					percent = 400
				}
				node := []string{"n1", "n2"}[turn%2]
				tracker.ObserveLoad(id, grant.Load{WorkPercent: percent}, grant.Observed{Node: node, At: now})
			}
		}
		changes := tracker.Review(now)
		if slow := len(changes) == 1 && changes[0].Engine == ids[0]; slow != (others == 100) {
			t.Errorf("others at %d: %+v", others, changes)
		}
	}
}

// TestIdleSlowEngineIsProbed checks that a slow engine without work is offered a request from
// time to time, one at a time, and is forgotten at last.
func TestIdleSlowEngineIsProbed(t *testing.T) {
	tracker, ids := learned(5)
	now := start
	for _, id := range ids[1:] {
		tracker.ObserveLoad(id, grant.Load{WorkPercent: 100}, grant.Observed{At: now})
	}
	for range maxObservations {
		tracker.ObserveLoad(ids[0], grant.Load{WorkPercent: 500}, grant.Observed{At: now})
	}
	tracker.Review(now)
	var probes []time.Duration
	for now.Sub(start) < 5*time.Second {
		now = now.Add(10 * time.Millisecond)
		tracker.Review(now)
		if tracker.Speed(ids[0]).Grants > 0 {
			probes = append(probes, now.Sub(start))
			tracker.Granted(ids[0], now)
			if tracker.Speed(ids[0]).Grants != 0 {
				t.Fatalf("after a probe: %+v", tracker.Speed(ids[0]))
			}
		}
	}
	if want := []time.Duration{probeAfter, 2 * probeAfter, 3 * probeAfter, 4 * probeAfter, 5 * probeAfter}; !slices.Equal(probes, want) {
		t.Errorf("probes at %v, want %v", probes, want)
	}
	now = now.Add(forgetAfter)
	if changes := tracker.Review(now); len(changes) != 1 || tracker.Speed(ids[0]) != (enginechoice.Speed{}) {
		t.Errorf("at last: %+v, %+v", changes, tracker.Speed(ids[0]))
	}
	for _, id := range ids {
		tracker.Remove(id)
	}
	if len(tracker.engines) > 0 {
		t.Errorf("%d engines are kept after their removal", len(tracker.engines))
	}
}

// naiveTracker keeps all observations and counts them anew each time.
type naiveTracker struct {
	ratios, references [][]float64 // by engine: all observations, and the reference before each
	slow               []bool
	reference          float64
}

// TestTrackerAgainstTheNaiveVersion compares a tracker with the naive version.
func TestTrackerAgainstTheNaiveVersion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		engines := rapid.IntRange(1, 3).Draw(t, "engines")
		tracker, ids := New(), make([]enginechoice.Incarnation, engines)
		naive := naiveTracker{ratios: make([][]float64, engines), references: make([][]float64, engines), slow: make([]bool, engines)}
		for i := range ids {
			ids[i] = enginechoice.Incarnation{ID: string(rune('a' + i))}
		}
		now := start
		for range rapid.IntRange(1, int(referenceAge/agreeingFor)*(agreeing-1)).Draw(t, "observations") {
			now = now.Add(agreeingStep)
			i := rapid.IntRange(0, engines-1).Draw(t, "engine")
			percent := rapid.SampledFrom([]int{90, 100, 110, 300, 400}).Draw(t, "percent")
			node := []string{"n1", "n2"}[len(naive.ratios[i])%2]
			naive.observe(i, math.Log(float64(percent)/usualPercent))
			tracker.ObserveLoad(ids[i], grant.Load{WorkPercent: percent}, grant.Observed{Node: node, At: now})
			tracker.Review(now)
			for j, id := range ids {
				if slow := tracker.Speed(id).Slowness > 1; slow != naive.slow[j] {
					t.Fatalf("engine %d is slow: %t, want %t; observations %v", j, slow, naive.slow[j], naive.ratios)
				}
			}
		}
	})
}

func (n *naiveTracker) observe(engine int, ratio float64) {
	n.ratios[engine] = append(n.ratios[engine], ratio)
	n.references[engine] = append(n.references[engine], n.reference)
	var newest []float64
	for _, seen := range n.ratios {
		if len(seen) > 0 {
			newest = append(newest, seen[len(seen)-1])
		}
	}
	slices.Sort(newest)
	n.reference = newest[(len(newest)-1)/2]
	for i := range n.slow {
		if n.slow[i] {
			n.slow[i] = !n.last(i, forgiving, false)
		} else {
			n.slow[i] = n.last(i, agreeing, true)
		}
	}
}

// last reports whether the last observations of an engine all are slow, or all are not.
func (n *naiveTracker) last(engine, count int, slow bool) bool {
	ratios, references := n.ratios[engine], n.references[engine]
	for i := len(ratios) - 1; i >= 0 && i >= len(ratios)-count; i-- {
		if (ratios[i] >= max(references[i], n.reference)+math.Log(slowFrom[ofLoads])) != slow {
			return false
		}
	}
	return len(ratios) >= count
}

// BenchmarkObserve measures one observation with the review that follows it, with as many
// engines as a lane has at most.
func BenchmarkObserve(b *testing.B) {
	tracker, random := New(), rand.New(rand.NewPCG(1, 1))
	ids := make([]enginechoice.Incarnation, 256)
	for i := range ids {
		ids[i] = enginechoice.Incarnation{ID: string(rune('a' + i))}
	}
	observe := func(turn int) {
		tracker.ObserveFirstToken(ids[turn%len(ids)], grant.FirstToken{PrefillTokens: 100, Elapsed: time.Duration(20+random.IntN(5)) * time.Millisecond}, grant.Observed{Node: "n1", At: start})
	}
	b.Run("observe", func(b *testing.B) {
		b.ReportAllocs()
		for turn := 0; b.Loop(); turn++ {
			observe(turn)
		}
	})
	b.Run("review", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			tracker.Review(start)
		}
	})
}
