package subset_test

import (
	"strconv"
	"testing"

	"ringstream.example/ringstream/internal/core/identity"
	"ringstream.example/ringstream/internal/core/membership"
	"ringstream.example/ringstream/internal/core/subset"
)

// fleet returns nodes spread over zones, with the zones spread over regions.
func fleet(nodes, zones int) []membership.Member {
	members := make([]membership.Member, nodes)
	for i := range members {
		zone := i % zones
		members[i] = membership.Member{ID: identity.NodeID("node-" + strconv.Itoa(i)), Zone: "zone-" + strconv.Itoa(zone), Region: "region-" + strconv.Itoa(zone%7)}
	}
	return members
}

func place(chooser *subset.Chooser, engines, zones int) (counts map[identity.NodeID]int, byEngine map[int][]identity.NodeID) {
	counts, byEngine = map[identity.NodeID]int{}, map[int][]identity.NodeID{}
	for i := range engines {
		zone := i % zones
		nodes := chooser.Dispatchers(identity.EngineID("engine-"+strconv.Itoa(i)), "zone-"+strconv.Itoa(zone), "region-"+strconv.Itoa(zone%7))
		byEngine[i] = nodes
		for _, node := range nodes {
			counts[node]++
		}
	}
	return counts, byEngine
}

func TestSmallFleetsAreSeenWhole(t *testing.T) {
	chooser := subset.NewChooser(fleet(5, 3), 18)
	for i := range 18 {
		if nodes := chooser.Dispatchers(identity.EngineID(strconv.Itoa(i)), "zone-1", "region-1"); len(nodes) != 5 {
			t.Fatalf("engine %d has %d dispatchers, want all 5", i, len(nodes))
		}
	}
}

func TestTargetFleetGivesEachNodeASmallSubset(t *testing.T) {
	const nodes, engines, zones = 340, 12000, 18
	members := fleet(nodes, zones)
	counts, byEngine := place(subset.NewChooser(members, engines), engines, zones)
	for engine, dispatchers := range byEngine {
		if len(dispatchers) != 2 || dispatchers[0] == dispatchers[1] {
			t.Fatalf("engine %d: dispatchers %v, want two", engine, dispatchers)
		}
	}
	for node, count := range counts {
		if count > 150 {
			t.Errorf("%s dispatches to %d engines, want at most 150", node, count)
		}
	}
	// The loss of one node moves only its own engines.
	_, after := place(subset.NewChooser(members[1:], engines), engines, zones)
	for engine, dispatchers := range byEngine {
		lost := dispatchers[0] == members[0].ID || dispatchers[1] == members[0].ID
		same := dispatchers[0] == after[engine][0] && dispatchers[1] == after[engine][1]
		if !lost && !same {
			t.Fatalf("engine %d moved from %v to %v, though both its dispatchers remain", engine, dispatchers, after[engine])
		}
	}
}

func TestEnginesOfALostZoneAreDispatchedFromElsewhere(t *testing.T) {
	var members []membership.Member
	for _, member := range fleet(340, 18) {
		if member.Zone != "zone-3" {
			members = append(members, member)
		}
	}
	_, byEngine := place(subset.NewChooser(members, 12000), 12000, 18)
	for engine, dispatchers := range byEngine {
		if len(dispatchers) != 2 {
			t.Fatalf("engine %d has %d dispatchers, want 2", engine, len(dispatchers))
		}
	}
}

func BenchmarkChoose(b *testing.B) {
	for _, size := range []struct{ nodes, engines int }{{10, 350}, {40, 1400}, {100, 3500}, {340, 12000}} {
		b.Run(strconv.Itoa(size.nodes)+"x"+strconv.Itoa(size.engines), func(b *testing.B) {
			members := fleet(size.nodes, min(18, size.nodes))
			b.ReportAllocs()
			for b.Loop() {
				place(subset.NewChooser(members, size.engines), size.engines, min(18, size.nodes))
			}
		})
	}
}
