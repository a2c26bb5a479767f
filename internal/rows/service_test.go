package rows

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"ringstream.example/ringstream/internal/apierror"
	"ringstream.example/ringstream/internal/core/identity"
	"ringstream.example/ringstream/internal/core/membership"
	"ringstream.example/ringstream/internal/core/policy"
	"ringstream.example/ringstream/internal/peer/peertest"
	"ringstream.example/ringstream/internal/store"
)

// fleet is a number of nodes that share an in-memory network and a fake store.
type fleet struct {
	t       *testing.T
	config  Config
	zones   int
	network *peertest.Network
	table   *fakeTable
	nodes   []*Service
	stops   []context.CancelFunc
	running sync.WaitGroup
}

// runFleet runs a test in virtual time on a fleet in three zones.
func runFleet(t *testing.T, count int, test func(f *fleet)) {
	runFleetWith(t, DefaultConfig(), count, test)
}

func runFleetWith(t *testing.T, config Config, count int, test func(f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{t: t, config: config, zones: 3, network: peertest.New(peertest.Options{Seed: 1, CountBytes: true}), table: newFakeTable()}
		for range count {
			f.start()
		}
		f.settle(2 * time.Second)
		test(f)
		for _, stop := range f.stops {
			stop()
		}
		f.running.Wait()
	})
}

// start adds a node and runs it.
func (f *fleet) start() *Service {
	bus := f.network.Add(f.member())
	service := New(f.config, store.New(f.table), bus, zap.NewNop(), nil)
	ctx, cancel := context.WithCancel(f.t.Context())
	f.nodes = append(f.nodes, service)
	f.stops = append(f.stops, cancel)
	f.running.Go(func() { _ = service.Run(ctx) })
	return service
}

// member returns the member entry of the next node.
func (f *fleet) member() membership.Member {
	id := identity.NodeID(fmt.Sprintf("n%02d", len(f.nodes)))
	return membership.Member{ID: id, Zone: fmt.Sprintf("z%d", len(f.nodes)%f.zones)}
}

// kill stops a node like the loss of its machine: it sends nothing more.
func (f *fleet) kill(index int) {
	f.network.Kill(f.nodes[index].bus.Self())
	f.stops[index]()
}

func (f *fleet) settle(wait time.Duration) {
	time.Sleep(wait)
	synctest.Wait()
}

// edit commits an edit on a node and fails the test unless it is accepted.
func (f *fleet) edit(node int, edit Edit) EditResult {
	f.t.Helper()
	result, err := f.nodes[node].Edit(f.t.Context(), edit)
	if err != nil || result.Status != Accepted {
		f.t.Fatalf("edit %s: status %v, error %v", edit.ID, result.Status, err)
	}
	return result
}

// expect checks that every node, except those left out, has the given revision and
// row.
func (f *fleet) expect(revision uint64, row policy.Row, leftOut ...int) {
	f.t.Helper()
	skip := map[int]bool{}
	for _, index := range leftOut {
		skip[index] = true
	}
	for i, node := range f.nodes {
		held, _ := node.Table().Row(row.ID)
		if !skip[i] && (node.Table().Revision() != revision || held != row) {
			f.t.Errorf("node %d is at revision %d with %+v, want %d with %+v", i, node.Table().Revision(), held, revision, row)
		}
	}
}

func exampleRow(id identity.RowID) policy.Row {
	return policy.Row{
		ID: id, Match: policy.Match{Tenant: string(id), Model: policy.Any, Kind: policy.Any},
		Weight: 1, DeadlineClass: policy.DeadlineWindow, Pool: "p", NewSiteShare: 1,
	}
}

func TestAcceptedEditIsInForceEverywhereWithinASecond(t *testing.T) {
	runFleet(t, 12, func(f *fleet) {
		result := f.edit(0, Edit{ID: "e1", By: "ann", Row: exampleRow("a")})
		f.settle(time.Second)
		f.expect(1, result.Row)
		row := result.Row
		row.Weight = 7
		result = f.edit(5, Edit{ID: "e2", By: "ben", Row: row})
		f.settle(time.Second)
		f.expect(2, result.Row)
		f.edit(9, Edit{ID: "e3", By: "ann", Row: result.Row, Delete: true})
		f.settle(time.Second)
		f.expect(3, policy.Row{})
		entries, err := f.nodes[2].Audit(f.t.Context(), 0, 10)
		if err != nil || len(entries) != 3 || entries[1].By != "ben" || entries[1].Before.Weight != 1 || entries[1].After.Weight != 7 || entries[2].After != nil {
			t.Errorf("audit entries %+v, error %v", entries, err)
		}
		for _, held := range f.nodes[1].Revisions(f.t.Context()) {
			if !held.Known || held.Revision != 3 || !held.Ready {
				t.Errorf("unexpected node revision %+v", held)
			}
		}
	})
}

func TestRacingEditsOfOneRowHaveOneWinner(t *testing.T) {
	runFleet(t, 6, func(f *fleet) {
		first := f.edit(0, Edit{ID: "e0", Row: exampleRow("a")})
		f.settle(time.Second)
		results := make([]EditResult, 6)
		var group sync.WaitGroup
		for i := range results {
			group.Go(func() {
				row := first.Row
				row.Weight = 10 + i
				results[i], _ = f.nodes[i].Edit(f.t.Context(), Edit{ID: fmt.Sprint("race", i), Row: row})
			})
		}
		group.Wait()
		winners := 0
		var winner policy.Row
		for _, result := range results {
			if result.Status == Accepted {
				winners++
				winner = result.Row
			}
		}
		for i, result := range results {
			if result.Status == Conflict && result.Row != winner {
				t.Errorf("conflict result %d has row %+v, want the accepted row %+v", i, result.Row, winner)
			}
		}
		if winners != 1 {
			t.Errorf("%d of the concurrent edits were accepted, want 1", winners)
		}
		f.settle(time.Second)
		f.expect(2, winner)
	})
}

func TestRacingEditsOfDifferentRowsAreAllAccepted(t *testing.T) {
	runFleet(t, 6, func(f *fleet) {
		var group sync.WaitGroup
		for i := range f.nodes {
			group.Go(func() { f.edit(i, Edit{ID: fmt.Sprint("e", i), Row: exampleRow(identity.RowID(fmt.Sprint("row", i)))}) })
		}
		group.Wait()
		f.settle(time.Second)
		for i, node := range f.nodes {
			if node.Table().Revision() != 6 || node.Table().Len() != 6 {
				t.Errorf("node %d: revision %d with %d rows, want revision 6 with 6 rows", i, node.Table().Revision(), node.Table().Len())
			}
		}
	})
}

func TestLostAnswerIsSettledByTheEditsID(t *testing.T) {
	runFleet(t, 3, func(f *fleet) {
		f.table.set(func(table *fakeTable) { table.loseNext = 1 })
		first := f.edit(0, Edit{ID: "e1", Row: exampleRow("a")})
		again := f.edit(2, Edit{ID: "e1", Row: exampleRow("a")})
		if again != first {
			t.Errorf("result of the retry %+v, want that of the first attempt %+v", again, first)
		}
		other := exampleRow("a")
		other.Weight = 9
		result, err := f.nodes[1].Edit(f.t.Context(), Edit{ID: "e1", Row: other})
		var failure *apierror.Error
		if result.Status != Invalid || !errors.As(err, &failure) || failure.Code != apierror.CodeKeyReuse {
			t.Errorf("another edit with the same ID: status %v, error %v", result.Status, err)
		}
		f.settle(time.Second)
		f.expect(1, first.Row)
	})
}

func TestEditSentAgainAfterItsRowWasDeletedChangesNothing(t *testing.T) {
	runFleet(t, 3, func(f *fleet) {
		create := Edit{ID: "e1", Row: exampleRow("a")}
		first := f.edit(0, create)
		f.settle(time.Second)
		f.edit(1, Edit{ID: "e2", Row: first.Row, Delete: true})
		f.settle(time.Second)
		if again := f.edit(2, create); again != first {
			t.Errorf("result of the retry %+v, want that of the first attempt %+v", again, first)
		}
		f.settle(time.Second)
		f.expect(2, policy.Row{})
	})
}

func TestEditLostForGoodIsUncertainAndSettledLaterOnAnotherNode(t *testing.T) {
	runFleet(t, 3, func(f *fleet) {
		f.table.set(func(table *fakeTable) { table.loseNext = 1000 })
		result, _ := f.nodes[0].Edit(f.t.Context(), Edit{ID: "warm", Row: exampleRow("warm")})
		if result.Status != Accepted { // the conflict with its own marker resolves it
			t.Fatalf("status %v, want accepted, resolved by the conflict with the edit's own marker", result.Status)
		}
		f.table.set(func(table *fakeTable) { table.loseNext = 1 })
		ctx, cancel := context.WithTimeout(f.t.Context(), 15*time.Millisecond)
		defer cancel()
		result, _ = f.nodes[0].Edit(ctx, Edit{ID: "e1", Row: exampleRow("a")})
		if result.Status != Uncertain {
			t.Fatalf("status %v, want uncertain", result.Status)
		}
		f.table.set(func(table *fakeTable) { table.loseNext = 0 })
		settled := f.edit(1, Edit{ID: "e1", Row: exampleRow("a")})
		f.settle(2 * time.Second)
		f.expect(2, settled.Row)
	})
}

func TestStoreOutageRightAfterAcceptance(t *testing.T) {
	runFleet(t, 9, func(f *fleet) {
		first := f.edit(0, Edit{ID: "e1", Row: exampleRow("a")})
		f.table.set(func(table *fakeTable) { table.down = true })
		f.settle(time.Second)
		f.expect(1, first.Row)
		result, err := f.nodes[3].Edit(f.t.Context(), Edit{ID: "e2", Row: exampleRow("b")})
		if result.Status != Refused || err == nil {
			t.Fatalf("edit during an outage: status %v, error %v", result.Status, err)
		}
		started := f.start()
		f.settle(time.Second)
		f.expect(1, first.Row)
		if !started.Ready() {
			t.Error("a node started during an outage is not ready, want it to load the table from its peers")
		}
	})
}

func TestNodeWithNeitherPeersNorStoreIsNotReady(t *testing.T) {
	runFleet(t, 0, func(f *fleet) {
		f.table.set(func(table *fakeTable) { table.down = true })
		node := f.start()
		f.settle(10 * time.Second)
		if node.Ready() {
			t.Error("ready without a table")
		}
		f.table.set(func(table *fakeTable) { table.down = false })
		f.settle(5 * time.Second)
		if !node.Ready() {
			t.Error("not ready after the store came back")
		}
	})
}

func TestAcceptingNodeDiesBeforeItTellsAnyone(t *testing.T) {
	runFleet(t, 9, func(f *fleet) {
		f.network.Partition(nil, []identity.NodeID{"n00"}) // it reaches the store, but no other node
		result := f.edit(0, Edit{ID: "e1", Row: exampleRow("a")})
		f.kill(0)
		f.settle(3 * time.Second)
		f.expect(1, result.Row, 0)
	})
}

func TestCutOffZoneCatchesUpAfterTheCut(t *testing.T) {
	runFleet(t, 9, func(f *fleet) {
		zone := []identity.NodeID{"n00", "n03", "n06"}
		f.network.Partition(nil, zone)
		f.table.set(func(table *fakeTable) { table.delay = 5 * time.Millisecond })
		f.edit(1, Edit{ID: "e1", Row: exampleRow("a")})
		result := f.edit(2, Edit{ID: "e2", Row: exampleRow("b")})
		f.table.set(func(table *fakeTable) { table.down = true })
		f.settle(time.Second)
		f.network.Heal()
		f.settle(4 * time.Second)
		f.expect(2, result.Row)
	})
}

func TestMessagesLostAtRandomAreRepaired(t *testing.T) {
	runFleet(t, 12, func(f *fleet) {
		f.network.SetLossRate(0.4)
		var row policy.Row
		for i := range 20 {
			next := exampleRow("a")
			next.Revision, next.Weight = row.Revision, i+1
			row = f.edit(i%12, Edit{ID: fmt.Sprint("e", i), Row: next}).Row
		}
		// The probability that all table comparisons of a minute miss a node is
		// below 1e-15.
		f.settle(time.Minute)
		f.expect(20, row)
	})
}
