package rows

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"ringstream.example/ringstream/internal/core/identity"
	"ringstream.example/ringstream/internal/core/policy"
	"ringstream.example/ringstream/internal/peer/peertest"
	"ringstream.example/ringstream/internal/store"
)

// pauseNode pauses a node like a suspended process: it receives and sends
// nothing, and its clock jumps when it resumes.
func (f *fleet) pauseNode(index int, duration time.Duration) {
	node := f.nodes[index]
	f.network.SetPaused(node.bus.Self(), true)
	f.settle(duration)
	node.lastTick.Store(time.Now().Add(-duration).UnixNano())
	f.network.SetPaused(node.bus.Self(), false)
}

func TestPausedNodeIsNotReadyUntilItHasCaughtUp(t *testing.T) {
	runFleet(t, 6, func(f *fleet) {
		f.table.set(func(table *fakeTable) { table.down = true })
		paused := f.nodes[4]
		f.network.SetPaused(paused.bus.Self(), true)
		f.table.set(func(table *fakeTable) { table.down = false })
		result := f.edit(0, Edit{ID: "e1", Row: exampleRow("a")})
		f.table.set(func(table *fakeTable) { table.down = true })
		f.settle(10 * time.Second)
		f.network.SetFilter(dropAllButChangesReplies(paused)) // messages in flight are lost
		paused.lastTick.Store(time.Now().Add(-10 * time.Second).UnixNano())
		f.network.SetPaused(paused.bus.Self(), false)
		if paused.Ready() {
			t.Error("ready in the first instant after a pause")
		}
		f.settle(time.Second)
		if !paused.Ready() {
			t.Error("not ready a second after the pause")
		}
		f.expect(1, result.Row)
	})
}

// TestPauseWhileTheNodeCatchesUpCounts guards against a node that is ready too
// early when it pauses a second time while the answer to its first catch-up
// request is in flight. That answer may be as old as the second pause was long.
// The node took it as the end of both pauses and was ready with a table that
// lacked edits until the next request was answered.
func TestPauseWhileTheNodeCatchesUpCounts(t *testing.T) {
	runFleet(t, 3, func(f *fleet) {
		node := f.nodes[1]
		pause := func() {
			node.lastTick.Store(time.Now().Add(-10 * time.Second).UnixNano())
			node.detectPause(time.Now())
		}
		var asked atomic.Int64
		var readyAgain atomic.Bool
		f.network.SetFilter(func(from, _ identity.NodeID, message any) peertest.Verdict {
			if _, isRequest := message.(changesRequest); isRequest && from == node.bus.Self() {
				switch asked.Add(1) {
				case 1:
					pause()
				case 2:
					readyAgain.Store(node.Ready())
				}
			}
			return peertest.Verdict{}
		})
		pause()
		f.settle(time.Second)
		if asked.Load() < 2 || readyAgain.Load() {
			t.Errorf("%d catch-up requests, ready before the second answer: %v", asked.Load(), readyAgain.Load())
		}
		if !node.Ready() {
			t.Error("not ready a second after the pauses")
		}
	})
}

// dropAllButChangesReplies returns a filter for
// TestPausedNodeIsNotReadyUntilItHasCaughtUp. Only replies to a changesRequest
// reach the node, so it has to request the changes it missed.
func dropAllButChangesReplies(paused *Service) func(from, to identity.NodeID, message any) peertest.Verdict {
	return func(_, to identity.NodeID, message any) peertest.Verdict {
		_, isReply := message.(changesReply)
		return peertest.Verdict{Drop: to == paused.bus.Self() && !isReply}
	}
}

func TestPausedNodeWithoutPeersOrStoreResumesWithItsTable(t *testing.T) {
	runFleet(t, 3, func(f *fleet) {
		result := f.edit(0, Edit{ID: "e1", Row: exampleRow("a")})
		f.settle(time.Second)
		f.table.set(func(table *fakeTable) { table.down = true })
		f.network.Partition(nil, []identity.NodeID{"n02"})
		f.pauseNode(2, 5*time.Second)
		if f.nodes[2].Ready() {
			t.Error("ready in the first instant after a pause")
		}
		f.settle(time.Second)
		if f.nodes[2].Ready() {
			t.Error("ready while it still looks for a node to catch up from")
		}
		f.settle(10 * time.Second)
		if !f.nodes[2].Ready() {
			t.Error("not ready again after the catch-up limit without any node or store to catch up from")
		}
		f.expect(1, result.Row)
	})
}

// faultScenario drives a fleet with concurrent edits under random faults and
// records the result that each edit's caller received.
type faultScenario struct {
	*fleet
	random      *rand.Rand
	mu          sync.Mutex
	results     map[string]EditResult
	edits       map[string]Edit
	submissions sync.WaitGroup
	// uncertain is the number of edits whose callers had to retry.
	uncertain      int
	dead           map[int]bool
	rowRevisions   map[int]map[identity.RowID]uint64
	tableRevisions map[int]uint64
}

func (s *faultScenario) randomLiveNode() int {
	for {
		if index := s.random.IntN(len(s.nodes)); !s.dead[index] {
			return index
		}
	}
}

// startRandomEdit starts one edit of one of a few rows, based on a random node's
// copy of the table.
func (s *faultScenario) startRandomEdit(number int) {
	node := s.nodes[s.randomLiveNode()]
	row := exampleRow(identity.RowID(fmt.Sprintf("row%d", s.random.IntN(4))))
	if current, ok := node.Table().Row(row.ID); ok {
		row = current
	}
	row.Weight = 1 + s.random.IntN(1000)
	edit := Edit{ID: fmt.Sprintf("e%d", number), Row: row, Delete: row.Revision > 0 && s.random.IntN(6) == 0}
	s.mu.Lock()
	s.edits[edit.ID] = edit
	s.mu.Unlock()
	s.submit(node, edit)
}

func (s *faultScenario) submit(node *Service, edit Edit) {
	s.submissions.Go(func() {
		result, _ := node.Edit(s.t.Context(), edit)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.results[edit.ID] = result
	})
}

// injectFault starts or ends one random fault.
func (s *faultScenario) injectFault() {
	switch s.random.IntN(10) {
	case 0:
		var cut []identity.NodeID
		for _, node := range s.nodes {
			if s.random.IntN(2) == 0 {
				cut = append(cut, node.bus.Self())
			}
		}
		s.network.Partition(nil, cut)
	case 1, 2:
		s.network.Heal()
	case 3:
		s.network.SetLossRate(0.3 * s.random.Float64())
	case 4:
		s.table.set(func(table *fakeTable) { table.down = true })
	case 5, 6:
		s.table.set(func(table *fakeTable) { table.down = false })
	case 7:
		s.table.set(func(table *fakeTable) { table.loseNext = s.random.IntN(3) })
	case 8:
		s.table.set(func(table *fakeTable) { table.loseNext, table.downAfterLoss = 1, true })
	case 9:
		if index := s.randomLiveNode(); len(s.dead) < 3 {
			s.dead[index] = true
			s.kill(index)
			s.start()
		}
	}
}

// checkNoRegression checks that no node's table or row goes back to an earlier
// revision.
func (s *faultScenario) checkNoRegression() {
	for i, node := range s.nodes {
		table := node.Table()
		if s.rowRevisions[i] == nil {
			s.rowRevisions[i] = map[identity.RowID]uint64{}
		}
		if table.Revision() < s.tableRevisions[i] {
			s.t.Errorf("node %d went back from revision %d to %d", i, s.tableRevisions[i], table.Revision())
		}
		s.tableRevisions[i] = table.Revision()
		for _, row := range table.Rows() {
			if row.Revision < s.rowRevisions[i][row.ID] {
				s.t.Errorf("node %d: row %s went back from %d to %d", i, row.ID, s.rowRevisions[i][row.ID], row.Revision)
			}
			s.rowRevisions[i][row.ID] = row.Revision
		}
	}
}

// resolveUncertain ends the faults and retries every edit with an unknown outcome
// on a random node.
func (s *faultScenario) resolveUncertain() {
	s.submissions.Wait()
	s.network.Heal()
	s.network.SetLossRate(0)
	s.table.set(func(table *fakeTable) { table.down, table.loseNext = false, 0 })
	s.settle(10 * time.Second)
	var unresolved []Edit
	for id, result := range s.results {
		if result.Status == Uncertain {
			unresolved = append(unresolved, s.edits[id])
		}
	}
	s.uncertain = len(unresolved)
	for _, edit := range unresolved {
		s.submit(s.nodes[s.randomLiveNode()], edit)
	}
	s.submissions.Wait()
	s.settle(time.Minute)
}

// check compares the results that callers received with the log, and every node's
// table with the accepted edits.
func (s *faultScenario) check() {
	t := s.t
	log := map[string]AuditEntry{}
	var changes []policy.Change
	for after := uint64(0); ; {
		entries, err := s.nodes[s.randomLiveNode()].readLog(t.Context(), after, logPageSize)
		if err != nil {
			t.Fatal(err)
		}
		if len(entries) == 0 {
			break
		}
		for _, entry := range entries {
			if _, twice := log[entry.EditID]; twice {
				t.Errorf("edit %s took effect twice", entry.EditID)
			}
			log[entry.EditID] = entry
			changes = append(changes, entry.change())
			after = entry.Revision
		}
	}
	for id, result := range s.results {
		entry, applied := log[id]
		if applied != (result.Status == Accepted) || (applied && entry.Revision != result.Revision) {
			t.Errorf("edit %s: its caller received %s at revision %d, the log has it: %v, at revision %d", id, result.Status, result.Revision, applied, entry.Revision)
		}
	}
	want := map[identity.RowID]policy.Row{} // reference model: all changes applied in order
	for _, change := range changes {
		delete(want, change.Row.ID)
		if !change.Deleted {
			want[change.Row.ID] = change.Row
		}
	}
	for i, node := range s.nodes {
		got := map[identity.RowID]policy.Row{}
		for _, row := range node.Table().Rows() {
			got[row.ID] = row
		}
		if diff := cmp.Diff(want, got); !s.dead[i] && diff != "" {
			t.Errorf("node %d at revision %d (-log +node):\n%s", i, node.Table().Revision(), diff)
		}
	}
	if len(changes) < 10 {
		t.Errorf("only %d edits were accepted", len(changes))
	}
	t.Logf("%d edits, %d accepted, %d uncertain at first", len(s.results), len(changes), s.uncertain)
}

func TestEveryNodeEndsWithTheAcceptedEditsUnderRandomFaults(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			runFleet(t, 9, func(f *fleet) {
				s := &faultScenario{
					fleet: f, random: rand.New(rand.NewPCG(seed, 9)), results: map[string]EditResult{}, edits: map[string]Edit{},
					dead: map[int]bool{}, rowRevisions: map[int]map[identity.RowID]uint64{}, tableRevisions: map[int]uint64{},
				}
				for step := range 600 {
					if s.random.IntN(5) == 0 {
						s.startRandomEdit(step)
					}
					if s.random.IntN(10) == 0 {
						s.injectFault()
					}
					f.settle(50 * time.Millisecond)
					s.checkNoRegression()
				}
				s.resolveUncertain()
				s.checkNoRegression()
				s.check()
			})
		})
	}
}

func TestCompactionKeepsWhatIsRecent(t *testing.T) {
	config := DefaultConfig()
	config.LogRetention = time.Hour
	runFleetWith(t, config, 3, func(f *fleet) {
		var row policy.Row
		for i := range 6 {
			next := exampleRow("a")
			next.Revision, next.Weight = row.Revision, i+1
			row = f.edit(0, Edit{ID: fmt.Sprint("e", i), Row: next}).Row
			if i == 2 {
				f.settle(61 * time.Minute) // the first three expire
			}
		}
		f.settle(10 * time.Minute)
		entries, err := f.nodes[0].readLog(f.t.Context(), 0, logPageSize)
		if err != nil || len(entries) != 3 || entries[0].Revision != 4 {
			t.Errorf("log after compaction: %+v, error %v", entries, err)
		}
		f.table.set(func(table *fakeTable) {
			_, old := table.records[markerKey("e0")]
			_, recent := table.records[markerKey("e5")]
			if old || !recent {
				t.Errorf("marker of the first edit present: %v, of the last edit: %v; want only the last", old, recent)
			}
		})
		// The log no longer reaches back to the revision of a new node, which
		// therefore loads the whole table.
		late := New(f.config, store.New(f.table), f.network.Add(f.member()), nil, nil)
		ctx, cancel := context.WithTimeout(f.t.Context(), time.Second)
		defer cancel()
		if err := late.fetchFromStore(ctx); err != nil || late.Table().Revision() != 6 {
			t.Errorf("new node is at revision %d, want 6; error %v", late.Table().Revision(), err)
		}
	})
}
