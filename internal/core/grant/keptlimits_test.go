package grant

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"ringstream.example/ringstream/internal/core/quota"
)

// keptNetwork is a limitedNetwork whose nodes keep the use of the limits.
type keptNetwork struct {
	*limitedNetwork
	life      uint64
	overLimit int // requests that a dispatcher refused
}

func newKeptNetwork(nodes int, limit quota.RateLimit, seed uint64) *keptNetwork {
	n := &keptNetwork{limitedNetwork: newLimitedNetwork(nodes, 400, limit, seed), life: 100}
	for i, node := range n.nodes {
		n.keep(node, uint64(i)+1, n.now)
	}
	n.onRefused = func(*simNode, uint64) { n.overLimit++ }
	decide := n.onFallback
	n.onFallback = func(node *simNode, id uint64) bool {
		node.requester.DelayUnusedSince(n.now)
		return decide(node, id)
	}
	return n
}

// keep makes a node that has just started keep the use of the limits.
func (n *keptNetwork) keep(node *simNode, life uint64, processStart time.Time) {
	node.dispatcher.KeepLimits(NewUseExchange(life, n.now))
	node.requester.SetUnusedSince(processStart)
}

// restartAt starts a node again without any of its state, as a process that started at a time
// before.
func (n *keptNetwork) restartAt(node *simNode, processStart time.Time) {
	n.life++
	n.restart(node, n.life)
	n.keep(node, n.life, processStart)
}

// split cuts the first half of the nodes off from the other one.
func (n *keptNetwork) split() {
	half := len(n.nodes) / 2
	for _, one := range n.nodes[:half] {
		for _, other := range n.nodes[half:] {
			n.blocked[one.address+">"+other.address] = true
			n.blocked[other.address+">"+one.address] = true
		}
	}
}

// fault brings a fault about at a node.
func (n *keptNetwork) fault(kind string, node *simNode) {
	switch kind {
	case "kill":
		node.dead = true
	case "restart":
		n.restartAt(node, n.now)
	case "pause":
		n.pausedNodes[node] = !n.pausedNodes[node]
	case "cut":
		n.cut(node, true, true)
	case "cut one way":
		n.cut(node, true, false)
	case "heal":
		clear(n.blocked)
	case "split":
		n.split()
	case "restart all":
		n.load(600*time.Millisecond, 0)
		for _, one := range n.nodes {
			n.restartAt(one, n.now)
		}
	case "lose all":
		for _, one := range n.nodes {
			one.dead = true
		}
		processStart := n.now
		n.load(400*time.Millisecond, 0)
		for _, one := range n.nodes {
			n.restartAt(one, processStart)
		}
	}
}

// TestKeptLimitHoldsOverAllNodesUnderFaults is TestLimitHoldsOverAllNodesUnderFaults with the
// use of the limits kept, and with quiet times, in which bursts fill up, and the loss of all
// nodes as further faults. The bound is the same.
func TestKeptLimitHoldsOverAllNodesUnderFaults(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		name         string
		minMs, maxMs int // time between two faults, in milliseconds
	}{{"apart", 2000, 4000}, {"at any time", 20, 3000}} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			rapid.Check(t, func(t *rapid.T) {
				rate := float64(rapid.SampledFrom([]int{3, 8, 30, 100}).Draw(t, "rate"))
				n := newKeptNetwork(rapid.IntRange(3, 8).Draw(t, "nodes"), quota.RateLimit{PerSecond: rate, Burst: rate}, rapid.Uint64().Draw(t, "seed"))
				n.lossPerMille = rapid.IntRange(0, 50).Draw(t, "loss")
				var faults []time.Time
				for range rapid.IntRange(1, 4).Draw(t, "faults") {
					if rapid.IntRange(0, 2).Draw(t, "quiet") == 0 {
						n.load(1200*time.Millisecond, 0)
					}
					node := n.nodes[rapid.IntRange(0, len(n.nodes)-1).Draw(t, "node")]
					n.fault(rapid.SampledFrom([]string{"kill", "restart", "pause", "cut", "cut one way", "heal", "split", "restart all", "lose all"}).Draw(t, "fault"), node)
					faults = append(faults, n.now)
					n.load(time.Duration(rapid.IntRange(test.minMs, test.maxMs).Draw(t, "ms"))*time.Millisecond, rate*float64(rapid.IntRange(1, 4).Draw(t, "times")))
				}
				bound := n.bound() + n.extraFor(maxWithin(faults, testMargin.Window)-faultsAllowed)
				if ran := maxWithin(n.startTimes, testMargin.Window); float64(ran) > bound {
					t.Errorf("%d requests started in a window, want at most %.0f", ran, bound)
				}
			})
		})
	}
}

// faultCase is a failure after which tenants within their limits must not be refused.
type faultCase struct {
	name string
	run  func(n *keptNetwork)
	// mostPercent bounds the refusals, as a percentage of those without kept limits.
	mostPercent int
}

func faultCases() []faultCase {
	return []faultCase{
		{"death of the dispatcher", func(n *keptNetwork) { n.nodes[0].dead = true }, 0},
		{"death of the dispatcher with lost messages", func(n *keptNetwork) {
			n.lossPerMille = 50
			n.nodes[0].dead = true
		}, 5},
		{"dispatcher behind a cut", func(n *keptNetwork) { n.cut(n.nodes[0], true, true) }, 5}, // the node that is cut off has a tenth of the limit
		{"dispatcher frozen and woken", func(n *keptNetwork) {
			n.pausedNodes[n.nodes[0]] = true
			n.load(2*time.Second, n.limit.PerSecond/1.6)
			n.pausedNodes[n.nodes[0]] = false
		}, 5},
		{"dispatcher restarted", func(n *keptNetwork) {
			n.nodes[0].dead = true
			n.load(time.Second, n.limit.PerSecond/1.6)
			n.restartAt(n.nodes[0], n.now.Add(-400*time.Millisecond))
		}, 20}, // it counts its own requests, with a tenth of the limit, until the others return
		{"loss of all machines", func(n *keptNetwork) {
			for _, node := range n.nodes {
				node.dead = true
			}
			n.load(2*time.Second, 0)
			processStart := n.now
			n.load(400*time.Millisecond, 0)
			for _, node := range n.nodes {
				n.restartAt(node, processStart)
			}
		}, 10},
	}
}

// refusedAfter returns the number of requests that are refused in and after a failure, which
// comes at the start of a burst, beyond those that a token bucket of the limit refuses.
func refusedAfter(failure faultCase, rate float64, seed uint64, kept bool) int {
	n := newKeptNetwork(10, quota.RateLimit{PerSecond: rate, Burst: rate}, seed)
	if !kept {
		n.forget()
	}
	n.load(time.Second, 0)
	n.load(3*time.Second, 0.378*rate/1.6)
	failure.run(n)
	if !kept {
		n.forget()
	}
	n.load(2200*time.Millisecond, 1.85*rate/1.6)
	n.load(time.Second, 0.378*rate/1.6)
	return max(n.overLimit-n.exactlyRefused(), 0)
}

// exactlyRefused returns how many of the requests a token bucket of the limit refuses.
func (n *keptNetwork) exactlyRefused() int {
	var arrivals []time.Time
	for _, node := range n.nodes {
		for id := range node.tenant {
			arrivals = append(arrivals, node.askedAt[id])
		}
	}
	slices.SortFunc(arrivals, time.Time.Compare)
	level, at, refused := n.limit.Burst, start, 0
	for _, now := range arrivals {
		level, at = min(level+now.Sub(at).Seconds()*n.limit.PerSecond, n.limit.Burst), now
		if level < 1 {
			refused++
			continue
		}
		level--
	}
	return refused
}

// forget makes all nodes work as without kept limits.
func (n *keptNetwork) forget() {
	for _, node := range n.nodes {
		node.dispatcher.exchange = nil
		node.requester.unusedSince = time.Time{}
	}
}

// TestTenantsWithinTheirLimitsAreServedAfterFaults counts the refusals, with and without kept
// limits, of a tenant that sends what it always sends: its limit is 1.6 times its mean, and it
// sends bursts of 1.85 times the mean between quiet times.
func TestTenantsWithinTheirLimitsAreServedAfterFaults(t *testing.T) {
	t.Parallel()
	for _, failure := range faultCases() {
		t.Run(failure.name, func(t *testing.T) {
			t.Parallel()
			without, with := 0, 0
			for _, rate := range []float64{8, 30, 150} {
				for seed := range uint64(2) {
					without += refusedAfter(failure, rate, seed, false)
					with += refusedAfter(failure, rate, seed, true)
				}
			}
			t.Logf("%d requests refused without kept limits, %d with them", without, with)
			if with*100 > without*failure.mostPercent {
				t.Errorf("%d requests refused, want at most %d percent of %d", with, failure.mostPercent, without)
			}
		})
	}
}
