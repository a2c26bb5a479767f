package loadsum

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"ringstream.example/ringstream/internal/core/enginechoice"
	_ "ringstream.example/ringstream/internal/seedtest" // the same values at every run
)

// network joins the parts of many nodes; messages come at once, or are lost to
// and from those that are silent.
type network struct {
	now    time.Time
	nodes  []*Tree
	byAddr map[string]*Tree
	silent map[string]bool
	loads  []Loads
}

func newNetwork(zones, perZone, directNodes int) *network {
	config := DefaultConfig()
	config.DirectNodes = directNodes
	net := &network{now: time.Unix(1000, 0), byAddr: make(map[string]*Tree), silent: make(map[string]bool)}
	var peers []Peer
	for zone := range zones {
		for node := range perZone {
			peers = append(peers, Peer{Address: fmt.Sprintf("10.%d.0.%d:1", zone, node), Zone: fmt.Sprintf("z%d", zone)})
		}
	}
	for i, self := range peers {
		tree := New(config, self, uint32(i+1)) //nolint:gosec // a few nodes
		var others []Peer
		for _, peer := range peers {
			if peer != self {
				others = append(others, peer)
			}
		}
		tree.SetPeers(others, nil)
		net.nodes = append(net.nodes, tree)
		net.byAddr[self.Address] = tree
		net.loads = append(net.loads, nil)
	}
	return net
}

func (n *network) address(i int) string { return n.nodes[i].self.Address }

// round has every node report, then every aggregator sum up, and lets the
// pause of a round pass.
func (n *network) round() {
	for i, node := range n.nodes {
		to := node.Aggregator(n.now)
		report := node.SetOwn(n.loads[i], 0)
		if n.silent[n.address(i)] {
			continue
		}
		for _, other := range node.Direct() {
			if !n.silent[other] {
				n.byAddr[other].HearReport(n.address(i), report, n.now)
			}
		}
		report.Asks = true
		if to != n.address(i) && !n.silent[to] {
			n.byAddr[to].HearReport(n.address(i), report, n.now)
		}
	}
	for range 2 { // sums of others are in the second sums
		n.sumUp()
	}
	n.now = n.now.Add(50 * time.Millisecond)
}

func (n *network) sumUp() {
	for i, node := range n.nodes {
		if n.silent[n.address(i)] || !node.Acting(n.now) {
			continue
		}
		summary, to := node.Summary(n.now)
		for _, address := range to {
			if !n.silent[address] {
				n.byAddr[address].HearSummary(n.address(i), summary, n.now)
			}
		}
		for address, total := range node.Totals(summary, n.now) {
			if !n.silent[address] {
				n.byAddr[address].HearTotal(n.address(i), total, n.now)
			}
		}
	}
}

// others adds up what all sound nodes but one have: the naive version.
func (n *network) others(but int) Loads {
	sum := make(Loads)
	for i, loads := range n.loads {
		if i == but || n.silent[n.address(i)] {
			continue
		}
		for engine, counts := range loads {
			known := sum[engine]
			known.Online += counts.Online
			known.Batch += counts.Batch
			known.PrefillTokens += counts.PrefillTokens
			known.MemoryTokens += counts.MemoryTokens
			sum[engine] = known
		}
	}
	return sum
}

func (n *network) check(t *rapid.T) {
	for i, node := range n.nodes {
		if n.silent[n.address(i)] {
			continue
		}
		got, _ := node.Remote(n.now)
		for engine, counts := range got {
			if counts == (enginechoice.Counts{}) {
				delete(got, engine)
			}
		}
		if diff := cmp.Diff(n.others(i), got); diff != "" {
			t.Fatalf("node %s: %s", n.address(i), diff)
		}
	}
}

func drawLoads(t *rapid.T) Loads {
	loads := make(Loads)
	for range rapid.IntRange(0, 4).Draw(t, "engines") {
		loads[rapid.Uint32Range(1, 9).Draw(t, "engine")] = enginechoice.Counts{
			Online: rapid.IntRange(1, 5).Draw(t, "online"), Batch: rapid.IntRange(0, 5).Draw(t, "batch"),
			PrefillTokens: rapid.IntRange(0, 1000).Draw(t, "prefill"), MemoryTokens: rapid.IntRange(0, 1000).Draw(t, "memory"),
		}
	}
	return loads
}

// TestAllNodesSeeTheSumOfTheOthers drives fleets of several sizes against the
// plain sum, while nodes fall silent and come back.
func TestAllNodesSeeTheSumOfTheOthers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		net := newNetwork(rapid.IntRange(1, 4).Draw(t, "zones"), rapid.IntRange(1, 6).Draw(t, "per zone"), rapid.IntRange(1, 25).Draw(t, "direct nodes"))
		for range rapid.IntRange(1, 5).Draw(t, "phases") {
			for i := range net.nodes {
				net.loads[i] = drawLoads(t)
				net.silent[net.address(i)] = rapid.IntRange(0, 4).Draw(t, "silent") == 0
			}
			// Aggregators that fell silent are left one after the other, and what
			// they said last stops counting.
			for range 100 {
				net.round()
			}
			net.check(t)
		}
	})
}

// TestLossOfAnAggregatorCostsLessThanASecond counts the rounds until the nodes
// of its zone see a change elsewhere again.
func TestLossOfAnAggregatorCostsLessThanASecond(t *testing.T) {
	for _, directNodes := range everyScope {
		t.Run(fmt.Sprint(directNodes), func(t *testing.T) { loseAggregator(t, newNetwork(3, 5, directNodes)) })
	}
}

// everyScope are bounds of direct reports at which fleets of three zones of
// five or six nodes use AggregatorScope and FleetScope.
var everyScope = []int{1, 18}

func loseAggregator(t *testing.T, net *network) {
	for range 20 {
		net.round()
	}
	lost := net.nodes[0].Aggregator(net.now)
	net.silent[lost] = true
	for i := range net.nodes {
		net.loads[i] = Loads{7: {Online: 1}}
	}
	for range 20 {
		net.round()
	}
	for i, node := range net.nodes {
		loads, _ := node.Remote(net.now)
		if net.address(i) != lost && loads[7].Online != len(net.nodes)-2 {
			t.Errorf("node %s sees %d requests, want %d", net.address(i), loads[7].Online, len(net.nodes)-2)
		}
	}
}

// TestSilentNodesAreNotTriedOverAndOver has the first four of a zone's nodes
// fall silent: the others go on seeing the sum at every moment of the next ten
// seconds. Tried again after three seconds each, one after the other, the
// silent ones kept the zone from hearing anything for most of the time.
func TestSilentNodesAreNotTriedOverAndOver(t *testing.T) {
	for _, directNodes := range everyScope {
		t.Run(fmt.Sprint(directNodes), func(t *testing.T) { keepSilent(t, newNetwork(3, 6, directNodes)) })
	}
}

func keepSilent(t *testing.T, net *network) {
	zone := net.nodes[0].self.Zone
	for _, address := range net.nodes[0].zones[zone][:4] {
		net.silent[address] = true
	}
	for i := range net.nodes {
		net.loads[i] = Loads{7: {Online: 1}}
	}
	for range 60 {
		net.round()
	}
	sound := len(net.nodes) - len(net.silent)
	for round := range 200 {
		net.round()
		for i, node := range net.nodes {
			loads, _ := node.Remote(net.now)
			if !net.silent[net.address(i)] && loads[7].Online != sound-1 {
				t.Fatalf("round %d: node %s sees %d requests, want %d", round, net.address(i), loads[7].Online, sound-1)
			}
		}
	}
}

// TestTotalOfAnEarlierLifeIsNotTaken has a node start anew at its address while
// the aggregator still knows its earlier life.
func TestTotalOfAnEarlierLifeIsNotTaken(t *testing.T) {
	now := time.Unix(1000, 0)
	self := Peer{Address: "10.0.0.1:1", Zone: "z"}
	node := New(DefaultConfig(), self, 2)
	node.SetPeers(nil, []string{"10.0.0.2:1"})
	if got := node.Aggregator(now); got != "10.0.0.2:1" {
		t.Fatalf("reports to %s, want the seed", got)
	}
	node.SetOwn(nil, 0)
	node.HearTotal("10.0.0.2:1", Total{Life: 1, Included: 500, Loads: Loads{7: {Online: 3}}}, now)
	if loads, _ := node.Remote(now); len(loads) != 0 {
		t.Errorf("took %+v", loads)
	}
	node.HearTotal("10.0.0.2:1", Total{Life: 2, Included: 1, Loads: Loads{7: {Online: 4}}, Backlogs: []Backlog{{2, 5}, {9, 6}}}, now)
	if loads, backlogs := node.Remote(now); loads[7].Online != 4 || len(backlogs) != 1 || backlogs[0] != (Backlog{9, 6}) {
		t.Errorf("took %+v, backlogs %v", loads, backlogs)
	}
	if loads, _ := node.Remote(now.Add(time.Second)); len(loads) != 0 {
		t.Errorf("an old total still counts: %+v", loads)
	}
}

// TestOwnWorkIsTakenOutOfTheTotal checks that only the own report that the
// total includes is taken out, whatever was reported since.
func TestOwnWorkIsTakenOutOfTheTotal(t *testing.T) {
	now := time.Unix(1000, 0)
	node := New(DefaultConfig(), Peer{Address: "10.0.0.1:1", Zone: "z"}, 2)
	node.SetPeers(nil, []string{"10.0.0.2:1"})
	node.Aggregator(now)
	node.SetOwn(Loads{7: {Online: 2}}, 0)
	node.SetOwn(Loads{7: {Online: 9}}, 0)
	node.HearTotal("10.0.0.2:1", Total{Life: 2, Included: 1, Loads: Loads{7: {Online: 5}}}, now)
	if loads, _ := node.Remote(now); loads[7].Online != 3 {
		t.Errorf("others have %d, want 3", loads[7].Online)
	}
}

// TestSumsOfALargeFleetTellOfTheBusiest cuts a sum to the engines with the most
// requests, and leaves a small one whole.
func TestSumsOfALargeFleetTellOfTheBusiest(t *testing.T) {
	loads := make(Loads)
	for engine := range uint32(3000) {
		loads[engine] = enginechoice.Counts{Online: int(engine % 10), Batch: int(engine % 7)}
	}
	busiest := loads.Busiest(200)
	least := 1 << 30
	for engine, counts := range busiest {
		least = min(least, counts.Online+counts.Batch)
		if counts != loads[engine] {
			t.Fatalf("engine %d: %+v, want %+v", engine, counts, loads[engine])
		}
	}
	left := 0
	for engine, counts := range loads {
		if _, told := busiest[engine]; !told && counts.Online+counts.Batch > least {
			left++
		}
	}
	if len(busiest) != 200 || left > 0 {
		t.Errorf("%d engines, %d busier ones left out", len(busiest), left)
	}
	if diff := cmp.Diff(loads, loads.Busiest(3000)); diff != "" {
		t.Error(diff)
	}
}

// TestAggregatorsTellABoundedNumberOfOthers has every node of a large fleet be
// an aggregator, as when none hears another: what each tells does not grow
// with their number.
func TestAggregatorsTellABoundedNumberOfOthers(t *testing.T) {
	net := newNetwork(3, 100, 32)
	node := net.nodes[0]
	for i := range net.nodes {
		node.HearSummary(net.address(i), Summary{Life: uint32(i + 1), Sequence: 1}, net.now) //nolint:gosec // a few nodes
	}
	if _, to := node.Summary(net.now); len(to) > 2*backups*3+3 {
		t.Errorf("tells %d others", len(to))
	}
}

// TestScopeFollowsTheNumberOfNodes has a node learn of more and more others.
func TestScopeFollowsTheNumberOfNodes(t *testing.T) {
	for _, c := range []struct {
		zones, perZone int
		want           Scope
		direct         int
	}{{1, 1, AggregatorScope, 0}, {3, 3, FleetScope, 8}, {2, 16, FleetScope, 31}, {3, 11, AggregatorScope, 0}} {
		net := newNetwork(c.zones, c.perZone, 32)
		last := net.nodes[0].zones["z0"][c.perZone-1] // not the aggregator, unless alone
		node := net.byAddr[last]
		node.Aggregator(net.now)
		direct := node.Direct()
		if node.Scope() != c.want || len(direct) != c.direct {
			t.Errorf("%d zones of %d: %v, %d told directly", c.zones, c.perZone, node.Scope(), len(direct))
		}
	}
}

// TestANodeThatKnowsNoOtherIsAnsweredByASeed has a seed in a small fleet, where
// nobody sums up for others, answer a node that has just started.
func TestANodeThatKnowsNoOtherIsAnsweredByASeed(t *testing.T) {
	net := newNetwork(1, 3, 32)
	net.loads = []Loads{{7: {Online: 1}}, {7: {Online: 2}}, {7: {Online: 4}}}
	net.round()
	started := New(DefaultConfig(), Peer{Address: "10.0.0.9:1", Zone: "z0"}, 99)
	seed := net.address(0)
	started.SetPeers(nil, []string{seed})
	report := started.SetOwn(Loads{7: {Online: 8}}, 0)
	report.Asks = started.Aggregator(net.now) == seed
	net.nodes[0].HearReport(started.self.Address, report, net.now)
	if !net.nodes[0].Acting(net.now) {
		t.Fatal("the seed does not answer")
	}
	summary, _ := net.nodes[0].Summary(net.now)
	started.HearTotal(seed, net.nodes[0].Totals(summary, net.now)[started.self.Address], net.now)
	if loads, _ := started.Remote(net.now); loads[7].Online != 7 {
		t.Errorf("sees %d requests of others, want 7", loads[7].Online)
	}
}

// TestPreemptAgainstAPlainList asks for one batch request after the other and
// compares with a plain list of who runs how many: the node with the most is
// asked, and each request is given up once.
func TestPreemptAgainstAPlainList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		net := newNetwork(1, rapid.IntRange(2, 6).Draw(t, "nodes"), 32)
		running := make(map[string]int)
		for i := range net.nodes {
			batch := rapid.IntRange(0, 4).Draw(t, "batch")
			net.loads[i] = Loads{7: {Online: 1, Batch: batch}}
			if i > 0 && batch > 0 {
				running[net.address(i)] = batch
			}
		}
		net.round()
		asking := net.nodes[0]
		for {
			total, most := 0, 0
			for _, batch := range running {
				total, most = total+batch, max(most, batch)
			}
			if got := asking.Preemptible()[7]; got != total {
				t.Fatalf("%d can be stopped, want %d", got, total)
			}
			address, age, found := asking.Preempt(7, net.now)
			if found != (total > 0) {
				t.Fatalf("found %t with %d running", found, total)
			}
			if !found {
				break
			}
			if running[address] != most || age != 50*time.Millisecond {
				t.Fatalf("asked %s, which runs %d of at most %d, by a report of %v", address, running[address], most, age)
			}
			running[address]--
		}
		if loads, _ := asking.Remote(net.now); loads[7].Batch != 0 || loads[7].Online != len(net.nodes)-1 {
			t.Fatalf("left: %+v", loads[7])
		}
		net.now = net.now.Add(-50 * time.Millisecond)
		net.round() // their next reports say what they run
		for i := 1; i < len(net.nodes); i++ {
			running[net.address(i)] = net.loads[i][7].Batch
		}
		if got := asking.Preemptible()[7]; got != asking.heardDirectly().Loads[7].Batch {
			t.Fatalf("after new reports %d can be stopped", got)
		}
	})
}
