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

func newNetwork(zones, perZone int) *network {
	net := &network{now: time.Unix(1000, 0), byAddr: make(map[string]*Tree), silent: make(map[string]bool)}
	var peers []Peer
	for zone := range zones {
		for node := range perZone {
			peers = append(peers, Peer{Address: fmt.Sprintf("10.%d.0.%d:1", zone, node), Zone: fmt.Sprintf("z%d", zone)})
		}
	}
	for i, self := range peers {
		tree := New(DefaultConfig(), self, uint32(i+1)) //nolint:gosec // a few nodes
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
		report := node.SetOwn(n.loads[i], false)
		to := node.Aggregator(n.now)
		if to != n.address(i) && !n.silent[to] && !n.silent[n.address(i)] {
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
		net := newNetwork(rapid.IntRange(1, 4).Draw(t, "zones"), rapid.IntRange(1, 6).Draw(t, "per zone"))
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
	net := newNetwork(3, 5)
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
	net := newNetwork(3, 6)
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
	node.SetOwn(nil, false)
	node.HearTotal("10.0.0.2:1", Total{Life: 1, Included: 500, Loads: Loads{7: {Online: 3}}}, now)
	if loads, _ := node.Remote(now); len(loads) != 0 {
		t.Errorf("took %+v", loads)
	}
	node.HearTotal("10.0.0.2:1", Total{Life: 2, Included: 1, Loads: Loads{7: {Online: 4}}, Wanting: []uint32{2, 9}}, now)
	if loads, wanting := node.Remote(now); loads[7].Online != 4 || len(wanting) != 1 || wanting[0] != 9 {
		t.Errorf("took %+v, waiting %v", loads, wanting)
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
	node.SetOwn(Loads{7: {Online: 2}}, false)
	node.SetOwn(Loads{7: {Online: 9}}, false)
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
	net := newNetwork(3, 100)
	node := net.nodes[0]
	for i := range net.nodes {
		node.HearSummary(net.address(i), Summary{Life: uint32(i + 1), Sequence: 1}, net.now) //nolint:gosec // a few nodes
	}
	if _, to := node.Summary(net.now); len(to) > 2*backups*3+3 {
		t.Errorf("tells %d others", len(to))
	}
}
