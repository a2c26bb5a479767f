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

// pauseNode stands a node still, as its process would be: nothing comes in or
// goes out, and its clock jumps when it wakes.
func (f *fleet) pauseNode(index int, lasting time.Duration) {
	node := f.nodes[index]
	f.network.SetPaused(node.bus.Self(), true)
	f.settle(lasting)
	node.lastTick.Store(time.Now().Add(-lasting).UnixNano())
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
		f.network.SetFilter(dropHeld(paused)) // what was on its way is lost
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

// TestPauseWhileTheNodeCatchesUpCounts has a node pause again while the answer to what it asked
// after a first pause is on its way. The answer may be as old as the second pause was long;
// the node took it for the end of both, and was ready with a table that lacked edits until the
// next question was answered.
func TestPauseWhileTheNodeCatchesUpCounts(t *testing.T) {
	runFleet(t, 3, func(f *fleet) {
		node := f.nodes[1]
		pause := func() {
			node.lastTick.Store(time.Now().Add(-10 * time.Second).UnixNano())
			node.noticePause(time.Now())
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
			t.Errorf("asked %d times, ready before the second answer: %v", asked.Load(), readyAgain.Load())
		}
		if !node.Ready() {
			t.Error("not ready a second after the pauses")
		}
	})
}

// dropHeld is a filter for TestPausedNodeIsNotReadyUntilItHasCaughtUp: only
// calls reach the node, so that it must ask for what it missed.
func dropHeld(paused *Service) func(from, to identity.NodeID, message any) peertest.Verdict {
	return func(_, to identity.NodeID, message any) peertest.Verdict {
		_, isReply := message.(changesReply)
		return peertest.Verdict{Drop: to == paused.bus.Self() && !isReply}
	}
}

func TestPausedNodeThatReachesNobodyServesOnByItsTable(t *testing.T) {
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
			t.Error("ready while it still looks for someone to ask")
		}
		f.settle(10 * time.Second)
		if !f.nodes[2].Ready() {
			t.Error("never ready again without anyone to ask")
		}
		f.expect(1, result.Row)
	})
}

// storm drives a fleet with racing edits under random faults, and keeps what
// each edit's caller was told.
type storm struct {
	*fleet
	random *rand.Rand
	mu     sync.Mutex
	told   map[string]EditResult
	edits  map[string]Edit
	asking sync.WaitGroup
	// uncertain counts the edits whose callers had to ask again.
	uncertain int
	dead      map[int]bool
	seen      map[int]map[identity.RowID]uint64
	tops      map[int]uint64
}

func (s *storm) live() int {
	for {
		if index := s.random.IntN(len(s.nodes)); !s.dead[index] {
			return index
		}
	}
}

// editSomething starts one edit of one of a few rows, by what a node holds.
func (s *storm) editSomething(number int) {
	node := s.nodes[s.live()]
	row := exampleRow(identity.RowID(fmt.Sprintf("row%d", s.random.IntN(4))))
	if current, ok := node.Table().Row(row.ID); ok {
		row = current
	}
	row.Weight = 1 + s.random.IntN(1000)
	edit := Edit{ID: fmt.Sprintf("e%d", number), Row: row, Delete: row.Revision > 0 && s.random.IntN(6) == 0}
	s.mu.Lock()
	s.edits[edit.ID] = edit
	s.mu.Unlock()
	s.ask(node, edit)
}

func (s *storm) ask(node *Service, edit Edit) {
	s.asking.Go(func() {
		result, _ := node.Edit(s.t.Context(), edit)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.told[edit.ID] = result
	})
}

// fault starts or ends one fault.
func (s *storm) fault() {
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
		if index := s.live(); len(s.dead) < 3 {
			s.dead[index] = true
			s.kill(index)
			s.start()
		}
	}
}

// watch holds every node to never going back.
func (s *storm) watch() {
	for i, node := range s.nodes {
		table := node.Table()
		if s.seen[i] == nil {
			s.seen[i] = map[identity.RowID]uint64{}
		}
		if table.Revision() < s.tops[i] {
			s.t.Errorf("node %d went back from revision %d to %d", i, s.tops[i], table.Revision())
		}
		s.tops[i] = table.Revision()
		for _, row := range table.Rows() {
			if row.Revision < s.seen[i][row.ID] {
				s.t.Errorf("node %d: row %s went back from %d to %d", i, row.ID, s.seen[i][row.ID], row.Revision)
			}
			s.seen[i][row.ID] = row.Revision
		}
	}
}

// settleUncertain ends the faults and asks again, on any node, for every edit
// whose caller was not told how it ended.
func (s *storm) settleUncertain() {
	s.asking.Wait()
	s.network.Heal()
	s.network.SetLossRate(0)
	s.table.set(func(table *fakeTable) { table.down, table.loseNext = false, 0 })
	s.settle(10 * time.Second)
	var open []Edit
	for id, result := range s.told {
		if result.Status == Uncertain {
			open = append(open, s.edits[id])
		}
	}
	s.uncertain = len(open)
	for _, edit := range open {
		s.ask(s.nodes[s.live()], edit)
	}
	s.asking.Wait()
	s.settle(time.Minute)
}

// check compares what callers were told, the log, and every node's table.
func (s *storm) check() {
	t := s.t
	log := map[string]AuditEntry{}
	var changes []policy.Change
	for after := uint64(0); ; {
		entries, err := s.nodes[s.live()].readLog(t.Context(), after, logPage)
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
	for id, result := range s.told {
		entry, took := log[id]
		if took != (result.Status == Accepted) || (took && entry.Revision != result.Revision) {
			t.Errorf("edit %s: its caller was told %s at %d, the log says %v at %d", id, result.Status, result.Revision, took, entry.Revision)
		}
	}
	want := map[identity.RowID]policy.Row{} // the naive twin: all changes in order
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
	t.Logf("%d edits, %d accepted, %d uncertain at first", len(s.told), len(changes), s.uncertain)
}

func TestEveryNodeEndsWithTheAcceptedEditsUnderRandomFaults(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			runFleet(t, 9, func(f *fleet) {
				s := &storm{
					fleet: f, random: rand.New(rand.NewPCG(seed, 9)), told: map[string]EditResult{}, edits: map[string]Edit{},
					dead: map[int]bool{}, seen: map[int]map[identity.RowID]uint64{}, tops: map[int]uint64{},
				}
				for step := range 600 {
					if s.random.IntN(5) == 0 {
						s.editSomething(step)
					}
					if s.random.IntN(10) == 0 {
						s.fault()
					}
					f.settle(50 * time.Millisecond)
					s.watch()
				}
				s.settleUncertain()
				s.watch()
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
				f.settle(61 * time.Minute) // the first three are past their retention
			}
		}
		f.settle(10 * time.Minute)
		entries, err := f.nodes[0].readLog(f.t.Context(), 0, logPage)
		if err != nil || len(entries) != 3 || entries[0].Revision != 4 {
			t.Errorf("log %+v %v", entries, err)
		}
		f.table.set(func(table *fakeTable) {
			_, old := table.records[markerKey("e0")]
			_, recent := table.records[markerKey("e5")]
			if old || !recent {
				t.Errorf("marker of the first edit %v, of the last %v", old, recent)
			}
		})
		// A node far behind finds the log too short and loads the whole table.
		late := New(f.config, store.New(f.table), f.network.Add(f.member()), nil, nil)
		ctx, cancel := context.WithTimeout(f.t.Context(), time.Second)
		defer cancel()
		if err := late.fetchFromStore(ctx); err != nil || late.Table().Revision() != 6 {
			t.Errorf("late node at %d: %v", late.Table().Revision(), err)
		}
	})
}
