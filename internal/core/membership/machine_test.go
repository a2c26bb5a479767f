package membership

import (
	"testing"
	"time"
)

const detectionLimit = 5 * time.Second

func TestFleetForms(t *testing.T) {
	t.Parallel()
	sim := newSimulation(t, 1)
	nodes := sim.fleet(40, 12)
	sim.expectSameView(nodes)
	sim.expectNoFalseSuspicion()
	for _, node := range nodes {
		if len(node.links) > 2*ringCount {
			t.Errorf("%s has %d links", node.member.ID, len(node.links))
		}
	}
}

func TestKilledNodeIsKnownEverywhere(t *testing.T) {
	t.Parallel()
	for seed := range uint64(5) {
		sim := newSimulation(t, seed)
		nodes := sim.fleet(30, 9)
		victim := nodes[7]
		sim.kill(victim)
		at := sim.now
		sim.run(detectionLimit)
		rest := append(append([]*simulatedNode{}, nodes[:7]...), nodes[8:]...)
		sim.expectDeadWithin(detectionLimit, at, rest, []*simulatedNode{victim})
		sim.expectNoFalseSuspicion()
		sim.expectSameView(rest)
	}
}

func inZone(nodes []*simulatedNode, zones ...string) (inside, outside []*simulatedNode) {
	for _, node := range nodes {
		found := false
		for _, zone := range zones {
			found = found || node.member.Zone == zone || node.member.Region == zone
		}
		if found {
			inside = append(inside, node)
		} else {
			outside = append(outside, node)
		}
	}
	return inside, outside
}

func TestZoneLost(t *testing.T) {
	t.Parallel()
	sim := newSimulation(t, 2)
	nodes := sim.fleet(40, 9)
	lost, rest := inZone(nodes, "zone-4")
	for _, node := range lost {
		sim.kill(node)
	}
	at := sim.now
	sim.run(detectionLimit)
	sim.expectDeadWithin(detectionLimit, at, rest, lost)
	sim.expectNoFalseSuspicion()
	sim.expectSameView(rest)
}

func TestPartitionedRegionRejoins(t *testing.T) {
	t.Parallel()
	sim := newSimulation(t, 3)
	nodes := sim.fleet(27, 9)
	apart, rest := inZone(nodes, "region-1")
	sim.drops = func(from, to *simulatedNode) bool {
		return (from.member.Region == "region-1") != (to.member.Region == "region-1")
	}
	at := sim.now
	sim.run(time.Hour)
	sim.expectDeadWithin(detectionLimit, at, rest, apart)
	sim.expectDeadWithin(detectionLimit, at, apart, rest)
	sim.expectSameView(apart)
	sim.expectSameView(rest)
	sim.drops = func(_, _ *simulatedNode) bool { return false }
	sim.run(15 * time.Second)
	sim.expectSameView(nodes)
}

func TestPlannedStopIsKnownAtOnce(t *testing.T) {
	t.Parallel()
	sim := newSimulation(t, 4)
	nodes := sim.fleet(20, 6)
	sim.step(nodes[3], LeaveAnnounced{})
	sim.run(200 * time.Millisecond)
	rest := append(append([]*simulatedNode{}, nodes[:3]...), nodes[4:]...)
	sim.expectSameView(rest)
	if member, _ := nodes[0].view.Member(nodes[3].member.ID); member.State != Leaving {
		t.Errorf("the leaving node has state %s, want leaving", member.State)
	}
	sim.step(nodes[3], Stopped{})
	sim.run(200 * time.Millisecond)
	sim.kill(nodes[3])
	if _, seen := nodes[0].view.Member(nodes[3].member.ID); seen {
		t.Error("a node that left is still listed")
	}
	sim.run(time.Minute)
	if len(sim.suspicions) != 0 {
		t.Errorf("a planned stop caused suspicions: %v", sim.suspicions)
	}
}

func TestRestartUnderTheSameAddress(t *testing.T) {
	t.Parallel()
	sim := newSimulation(t, 5)
	nodes := sim.fleet(20, 6)
	old := nodes[5]
	sim.kill(old)
	sim.run(300 * time.Millisecond)
	nodes[5] = sim.start("node-again", 5, old.member.PeerAddress, "10.0.0.0:7000")
	at := sim.now
	sim.run(2 * time.Second)
	sim.expectSameView(nodes)
	rest := append(append([]*simulatedNode{}, nodes[:5]...), nodes[6:]...)
	sim.expectDeadWithin(2*time.Second, at, rest, []*simulatedNode{old})
}

func TestPausedNodeComesBack(t *testing.T) {
	t.Parallel()
	sim := newSimulation(t, 6)
	nodes := sim.fleet(24, 6)
	nodes[9].paused = true
	at := sim.now
	sim.run(detectionLimit)
	sim.expectDeadWithin(detectionLimit, at, nodes[:9], nodes[9:10])
	before := len(sim.suspicions)
	nodes[9].paused = false
	sim.run(15 * time.Second)
	sim.expectSameView(nodes)
	for _, suspicion := range sim.suspicions[before:] {
		t.Errorf("%s suspected after the pause", suspicion.ID)
	}
}

func TestOneWayCutBetweenTwoNodes(t *testing.T) {
	t.Parallel()
	sim := newSimulation(t, 7)
	nodes := sim.fleet(24, 6)
	from := nodes[0]
	var to *simulatedNode
	for id := range from.links {
		if to == nil || id < to.member.ID {
			to = sim.nodes[id]
		}
	}
	sim.drops = func(a, b *simulatedNode) bool { return a == from && b == to }
	sim.run(10 * time.Minute)
	sim.expectSameView(nodes)
	if len(sim.suspicions) > 40 {
		t.Errorf("one bad link caused %d suspicions in ten minutes, want at most 40", len(sim.suspicions))
	}
	for _, node := range nodes {
		if len(node.deadSince) != 0 {
			t.Errorf("%s has recorded members as dead: %v", node.member.ID, node.deadSince)
		}
	}
}

func TestNodeWhoseMessagesAreAllLost(t *testing.T) {
	t.Parallel()
	sim := newSimulation(t, 8)
	nodes := sim.fleet(24, 6)
	mute := nodes[4]
	sim.drops = func(from, _ *simulatedNode) bool { return from == mute }
	at := sim.now
	sim.run(10 * time.Second)
	rest := append(append([]*simulatedNode{}, nodes[:4]...), nodes[5:]...)
	sim.expectSameView(rest)
	sim.expectDeadWithin(detectionLimit, at, rest, nodes[4:5])
	sim.drops = func(_, _ *simulatedNode) bool { return false }
	sim.run(15 * time.Second)
	sim.expectSameView(nodes)
}

func TestQuietHourUnderDelay(t *testing.T) {
	t.Parallel()
	sim := newSimulation(t, 9)
	sim.delay = func(_, _ *simulatedNode) time.Duration {
		if sim.random.IntN(1000) == 0 {
			return time.Second // a retransmission
		}
		return time.Duration(20+sim.random.IntN(60)) * time.Millisecond
	}
	nodes := sim.fleet(20, 6)
	sim.run(time.Hour)
	sim.expectNoFalseSuspicion()
	sim.expectSameView(nodes)
}
