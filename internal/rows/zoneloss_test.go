package rows

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"ringstream.example/ringstream/internal/core/identity"
	"ringstream.example/ringstream/internal/core/membership"
)

// TestEditsAreInForceInTimeThroughTheLossOfAZone loses a zone during a series of
// edits. One of them is accepted by a node of that zone after the zone has been
// cut off from the other nodes.
func TestEditsAreInForceInTimeThroughTheLossOfAZone(t *testing.T) {
	const (
		nodes        = 18
		zones        = 6
		edits        = 300
		lossAt       = 100
		knownDeadAt  = 120 // 4 s later
		editInterval = 200 * time.Millisecond
		p99Goal      = time.Second
		worstGoal    = 5 * time.Second
	)
	runFleet(t, 0, func(f *fleet) {
		f.zones = zones
		for range nodes {
			f.start()
		}
		f.settle(2 * time.Second)
		var lost []int
		var lostIDs []identity.NodeID
		for i := 2; i < nodes; i += zones {
			lost = append(lost, i)
			lostIDs = append(lostIDs, f.nodes[i].bus.Self())
		}
		accepted := map[uint64]time.Time{}
		var delays []time.Duration
		for number := range edits {
			node := number % nodes
			switch {
			case number == lossAt:
				f.network.Partition(nil, lostIDs)
				node = lost[0]
			case number > lossAt && slices.Contains(lost, node):
				node++
			}
			row := exampleRow(identity.RowID(fmt.Sprintf("row%d", number)))
			accepted[f.edit(node, Edit{ID: fmt.Sprint("e", number), Row: row}).Revision] = time.Now()
			if number == lossAt {
				for _, index := range lost {
					f.kill(index)
				}
			}
			if number == knownDeadAt {
				for _, id := range lostIDs {
					f.network.SetState(id, membership.Dead)
				}
			}
			for range editInterval / (10 * time.Millisecond) {
				f.settle(10 * time.Millisecond)
				delays = append(delays, f.takeInForce(accepted, lost, number >= lossAt)...)
			}
		}
		f.settle(worstGoal)
		delays = append(delays, f.takeInForce(accepted, lost, true)...)
		if len(delays) != edits {
			t.Fatalf("%d of %d edits are in force everywhere", len(delays), edits)
		}
		slices.Sort(delays)
		p99, worst := delays[len(delays)*99/100], delays[len(delays)-1]
		t.Logf("in force: median %s, p99 %s, worst %s", delays[len(delays)/2], p99, worst)
		if p99 > p99Goal || worst > worstGoal {
			t.Errorf("edits in force too late: p99 %s, worst %s", p99, worst)
		}
	})
}

// takeInForce removes the edits that every node holds from accepted, and returns
// the time that each took. With excludeLost, the lost nodes are not considered.
func (f *fleet) takeInForce(accepted map[uint64]time.Time, lost []int, excludeLost bool) []time.Duration {
	minRevision := uint64(1 << 62)
	for i, node := range f.nodes {
		if !excludeLost || !slices.Contains(lost, i) {
			minRevision = min(minRevision, node.Table().Revision())
		}
	}
	var delays []time.Duration
	for revision, at := range accepted {
		if revision <= minRevision {
			delays = append(delays, time.Since(at))
			delete(accepted, revision)
		}
	}
	return delays
}
