package membership

import (
	"fmt"
	"math/bits"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"ringstream.example/ringstream/internal/core/identity"
	_ "ringstream.example/ringstream/internal/seedtest" // the same values at every run
)

// report is one reported state of a member.
type report struct {
	ID          identity.NodeID
	Incarnation uint64
	State       State
}

// referenceMerge is the reference model of Machine.merge. It evaluates the whole
// history of reports each time: the highest incarnation wins, and at equal
// incarnations the highest State. Leaving overrides a suspicion in the view but
// does not end it.
func referenceMerge(history []report, id identity.NodeID) (State, uint64) {
	var state State
	var incarnation uint64
	for _, statement := range history {
		if statement.ID != id {
			continue
		}
		switch {
		case statement.Incarnation > incarnation:
			incarnation, state = statement.Incarnation, statement.State
		case statement.Incarnation == incarnation && statement.State > state:
			state = statement.State
		}
	}
	return state, incarnation
}

func testMember(id identity.NodeID, incarnation uint64, state State) Member {
	return Member{ID: id, PeerAddress: "10.0.0.1:" + string(id), Zone: "z", Region: "r", Incarnation: incarnation, State: state}
}

func TestMergeMatchesReferenceModel(t *testing.T) {
	others := []identity.NodeID{"1001", "1002", "1003"}
	rapid.Check(t, func(t *rapid.T) {
		machine := New(DefaultConfig(), testMember("1000", 1, Alive), nil, simulationStart)
		var history []report
		for _, id := range others {
			machine.Step(simulationStart, LinkUp{Peer: testMember(id, 1, Alive)})
			history = append(history, report{id, 1, Alive})
		}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			statement := report{
				ID:          rapid.SampledFrom(others).Draw(t, "id"),
				Incarnation: rapid.Uint64Range(1, 4).Draw(t, "incarnation"),
				State:       rapid.SampledFrom([]State{Alive, Suspect, Leaving, Dead}).Draw(t, "state"),
			}
			history = append(history, statement)
			from := rapid.SampledFrom(others).Draw(t, "from")
			delta := testMember(statement.ID, statement.Incarnation, statement.State)
			machine.Step(simulationStart, Received{From: from, Message: Deltas{Members: []Member{delta}}})
			compareWithReference(t, machine, history, others)
		}
	})
}

func compareWithReference(t *rapid.T, machine *Machine, history []report, ids []identity.NodeID) {
	var digest uint64
	for _, record := range machine.ordered {
		digest ^= memberHash(&record.member)
	}
	if digest != machine.digest {
		t.Fatalf("the machine's digest does not match its records")
	}
	for _, id := range ids {
		state, incarnation := referenceMerge(history, id)
		held := machine.records[id].member
		if held.State != state || held.Incarnation != incarnation {
			t.Fatalf("%s is %s at incarnation %d, reference model has %s at %d", id, held.State, held.Incarnation, state, incarnation)
		}
	}
}

// referenceNeighbours is the reference model of neighbours. It sorts each whole
// ring and takes the two members next to self.
func referenceNeighbours(self Member, members []Member) []identity.NodeID {
	var chosen []identity.NodeID
	for ring := range ringCount {
		var circle []Member
		for _, member := range members {
			if member.ID == self.ID || (member.State != Dead && sameRing(ring, &self, &member)) {
				circle = append(circle, member)
			}
		}
		slices.SortFunc(circle, func(a, b Member) int {
			if positions(a.ID)[ring] < positions(b.ID)[ring] {
				return -1
			}
			return 1
		})
		at := slices.IndexFunc(circle, func(member Member) bool { return member.ID == self.ID })
		for _, neighbour := range []Member{circle[(at+1)%len(circle)], circle[(at+len(circle)-1)%len(circle)]} {
			if neighbour.ID != self.ID {
				chosen = append(chosen, neighbour.ID)
			}
		}
	}
	slices.Sort(chosen)
	return slices.Compact(chosen)
}

func drawMembers(t *rapid.T) []Member {
	count := rapid.IntRange(1, 60).Draw(t, "members")
	members := make([]Member, count)
	for i := range members {
		zone := rapid.IntRange(0, 7).Draw(t, "zone")
		state := Alive
		if rapid.IntRange(0, 5).Draw(t, "lost") == 0 {
			state = Dead
		}
		members[i] = Member{
			ID: identity.NodeID(fmt.Sprintf("node-%03d", i)), PeerAddress: fmt.Sprint("10.0.0.1:", i),
			Zone: fmt.Sprint("zone-", zone), Region: fmt.Sprint("region-", zone/2), State: state,
		}
	}
	return members
}

func recordsOf(members []Member) []*record {
	records := make([]*record, len(members))
	for i, member := range members {
		records[i] = &record{member: member, ringPositions: positions(member.ID)}
	}
	return records
}

func TestOverlayMatchesReferenceModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := drawMembers(t)
		records := recordsOf(members)
		for i := range members {
			got := neighbours(records[i], records)
			want := referenceNeighbours(members[i], members)
			if diff := cmp.Diff(want, got); diff != "" && (len(want) != 0 || len(got) != 0) {
				t.Fatalf("neighbours of %s (-reference +got):\n%s", members[i].ID, diff)
			}
		}
	})
}

// TestOverlayConnected checks that the overlay connects all members, and that
// each zone and each region is connected by its own links.
func TestOverlayConnected(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := drawMembers(t)
		records := recordsOf(members)
		expectConnected(t, records, func(*Member) bool { return true })
		for i := range members {
			if members[i].State != Dead {
				expectConnected(t, records, func(m *Member) bool { return sameRing(zoneRing, &members[i], m) })
				expectConnected(t, records, func(m *Member) bool { return sameRing(regionRing, &members[i], m) })
			}
		}
	})
}

func expectConnected(t *rapid.T, records []*record, within func(*Member) bool) {
	group := map[identity.NodeID]*record{}
	for _, record := range records {
		if record.member.State != Dead && within(&record.member) {
			group[record.member.ID] = record
		}
	}
	if len(group) == 0 {
		return
	}
	seen := map[identity.NodeID]bool{}
	reach := []identity.NodeID{sortedKeys(group)[0]}
	for len(reach) > 0 {
		id := reach[0]
		reach = reach[1:]
		if seen[id] {
			continue
		}
		seen[id] = true
		for _, neighbour := range neighbours(group[id], records) {
			if group[neighbour] != nil {
				reach = append(reach, neighbour)
			}
		}
	}
	if len(seen) != len(group) {
		t.Fatalf("%d of %d members are connected", len(seen), len(group))
	}
}

func TestRestartWithAnOldClockSettles(t *testing.T) {
	sim := newSimulation(t, 11)
	nodes := sim.fleet(12, 4)
	old := nodes[5]
	sim.kill(old)
	again := sim.start("node-again", 5, old.member.PeerAddress, "10.0.0.0:7000")
	again.member.Incarnation = 1
	again.machine = New(DefaultConfig(), again.member, []string{"10.0.0.0:7000"}, sim.now)
	nodes[5] = again
	sim.run(15 * time.Second)
	sim.expectSameView(nodes)
}

// BenchmarkHeartbeat measures the machine's most frequent step in a fleet of 340 nodes.
func BenchmarkHeartbeat(b *testing.B) {
	machine := benchmarkMachine(340)
	now := simulationStart
	peer := sortedKeys(machine.links)[0]
	event := Received{From: peer, Message: Heartbeat{Digest: machine.digest}}
	b.ReportAllocs()
	for b.Loop() {
		machine.Step(now, event)
	}
}

// BenchmarkTick measures a tick in a fleet of 340 nodes without changes.
func BenchmarkTick(b *testing.B) {
	machine := benchmarkMachine(340)
	b.ReportAllocs()
	for b.Loop() {
		machine.Step(simulationStart, Tick{})
	}
}

// BenchmarkMemberChange measures the death and return of a member in a fleet of
// 340 nodes. Each of them recomputes the overlay and the view.
func BenchmarkMemberChange(b *testing.B) {
	machine := benchmarkMachine(340)
	now := simulationStart
	from := sortedKeys(machine.links)[0]
	victim := machine.ordered[bits.Len(340)].member
	b.ReportAllocs()
	for b.Loop() {
		for _, state := range []State{Dead, Alive} {
			victim.Incarnation, victim.State = victim.Incarnation+1, state
			now = now.Add(minViewInterval)
			machine.lastTick = now
			for _, link := range machine.links {
				link.lastReceived = now
			}
			machine.Step(now, Received{From: from, Message: Deltas{Members: []Member{victim}}})
			machine.Step(now, Tick{})
		}
	}
}

func benchmarkMachine(size int) *Machine {
	member := func(i int) Member {
		return Member{
			ID: identity.NodeID(fmt.Sprintf("node-%03d", i)), PeerAddress: fmt.Sprintf("10.0.%d.%d:7000", i/256, i%256),
			Zone: fmt.Sprint("zone-", i%18), Region: fmt.Sprint("region-", i%18*7/18), Incarnation: 1,
		}
	}
	machine := New(DefaultConfig(), member(0), nil, simulationStart)
	machine.Step(simulationStart, LinkUp{Peer: member(1)})
	list := Sync{}
	for i := 2; i < size; i++ {
		list.Members = append(list.Members, member(i))
	}
	machine.Step(simulationStart, Received{From: member(1).ID, Message: list})
	machine.Step(simulationStart, Tick{})
	for id := range machine.neighbours {
		machine.Step(simulationStart, LinkUp{Peer: machine.records[id].member})
	}
	return machine
}
