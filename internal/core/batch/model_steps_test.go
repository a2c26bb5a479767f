package batch

import (
	"crypto/sha256"
	"fmt"
	"slices"
	"testing"
	"time"

	"ringstream.example/ringstream/internal/core/lease"
)

// step is one possible transition. do is called on a copy of the world.
type step struct {
	name  string
	fault bool
	do    func(w *world)
}

// steps returns all possible transitions of the current state.
func (w *world) steps() []step {
	var all []step
	add := func(fault bool, name string, do func(w *world)) { all = append(all, step{name, fault, do}) }
	if w.accept == nil {
		add(false, "submit", (*world).submit)
	}
	if w.header == open && w.cancel == nil {
		add(true, "cancel", (*world).beginCancel)
	}
	w.requestSteps("accept", add, func(w *world) **request { return &w.accept }, (*world).accepted)
	if w.cancel != nil && w.cancel.answer == "" {
		// No completion may follow once the cancellation has taken effect, even if
		// its answer arrives later.
		add(false, "cancel takes effect", (*world).cancelled)
	}
	for i := range w.lateRequests {
		add(true, "late request", func(w *world) {
			late := w.lateRequests[i].clone()
			w.lateRequests = append(w.lateRequests[:i:i], w.lateRequests[i+1:]...)
			w.apply(late)
		})
	}
	for i := range w.nodes {
		w.nodeSteps(i, add)
	}
	return all
}

// requestSteps adds the transitions of a request: it takes effect, and its answer
// arrives or is lost. A request with a lost answer is sent again.
func (w *world) requestSteps(name string, add func(bool, string, func(*world)), at func(*world) **request, done func(*world, *request)) {
	r := *at(w)
	if r == nil || r.answer == "done" {
		return
	}
	if r.answer == "" {
		add(false, name+" takes effect", func(w *world) { w.apply(*at(w)) })
		if w.duplicates > 0 && (r.kind == "items" || w.claims == 0) { // claims compare what they write
			add(true, name+" is asked again while the first is on its way", func(w *world) {
				w.duplicates--
				w.lateRequests = append(w.lateRequests, (*at(w)).clone())
			})
		}
		return
	}
	add(false, name+" is answered", func(w *world) {
		answered := *at(w)
		done(w, answered)
	})
	if w.lost > 0 {
		add(true, name+"'s answer is lost", func(w *world) {
			w.lost--
			again := (*at(w)).clone()
			if w.bug == trustLostAnswer {
				again.answer = "applied"
				done(w, again)
				return
			}
			again.answer = ""
			*at(w) = again
		})
	}
}

func (w *world) next(kind string, node int, compares map[string]uint64) *request {
	w.sequence++
	return &request{id: w.sequence, kind: kind, node: node, compares: compares}
}

func (w *world) submit() {
	w.accept = w.next("accept", 0, map[string]uint64{"header": 0})
	w.accept.header = open
	w.acknowledged = w.bug == acknowledgeEarly
}

// tookEffect evaluates an answer like the store's client: a conflict with a record
// that the request itself wrote means that the request had taken effect.
func (r *request) tookEffect() bool {
	for _, writer := range r.conflictWriters {
		if writer == r.id {
			return true
		}
	}
	return r.answer == "applied"
}

func (w *world) accepted(r *request) {
	if r.tookEffect() {
		w.acknowledged = true
	}
	w.accept = &request{answer: "done"}
}

func (w *world) beginCancel() {
	w.cancel = w.next("cancel", 0, map[string]uint64{"header": w.headerVersion})
	w.cancel.header = cancelled
}

func (w *world) cancelled() {
	w.apply(w.cancel)
	if w.cancel.answer == "applied" {
		w.cancelAnswered = true
		for index := range modelItems {
			w.codesAtCancel[index] = w.segment.Code(index)
		}
	}
	w.cancel = &request{answer: "done"}
}

func (w *world) nodeSteps(i int, add func(bool, string, func(*world))) {
	node := &w.nodes[i]
	name := func(what string) string { return fmt.Sprintf("node %d %s", i, what) }
	w.requestSteps(name("request"), add, func(w *world) **request { return &w.nodes[i].pending }, func(w *world, r *request) { w.answered(i, r) })
	if w.crashes > 0 && node.crashed == 0 {
		add(true, name("crashes"), func(w *world) { w.crash(i) })
	}
	if node.pending == nil && node.machine.State() == lease.Seeking && w.claims > 0 && w.header != absent {
		add(false, name("claims"), func(w *world) { w.claim(i) })
	}
	if node.machine.State() != lease.Held {
		return
	}
	if node.job == nil && w.header == open {
		add(false, name("loads"), func(w *world) { w.load(i) })
	}
	if node.job == nil || node.job.Closed() {
		return
	}
	if _, found := node.job.Next(); found && node.pending == nil {
		add(false, name("takes an item"), func(w *world) { w.take(i) })
	}
	for index := range modelItems {
		if node.sent[index] && node.job.phases[index] == Running && node.pending == nil {
			add(false, name("finishes"), func(w *world) { w.finish(i, ItemOutcome{index, Completed}) })
		}
		if node.intended[index] && !node.sent[index] {
			add(false, name("sends"), func(w *world) { w.send(i, index) })
		}
		if _, intended := node.job.segments[0].Intent(index); intended && !node.sent[index] && !node.intended[index] && node.job.phases[index] == Running && node.pending == nil {
			add(false, name("joins"), func(w *world) { w.finish(i, ItemOutcome{index, Completed}) })
			add(false, name("finds the engine gone"), func(w *world) { w.finish(i, ItemOutcome{index, Unknown}) })
		}
	}
	if r := node.pending; r != nil && len(r.intents) > 0 && node.job.phases[nonRepeatableItem] == Running && !node.sent[nonRepeatableItem] {
		add(true, name("gives the intent up"), func(w *world) { w.nodes[i].job.Requeue(nonRepeatableItem) })
	}
	if node.pending == nil && len(node.ready) > 0 {
		add(false, name("commits"), func(w *world) { w.commit(i, nil) })
	}
}

func (w *world) crash(i int) {
	w.crashes--
	node := &w.nodes[i]
	if node.pending != nil && node.pending.answer == "" {
		w.lateRequests = append(w.lateRequests, node.pending)
	}
	if i == 0 && w.accept != nil && w.accept.answer != "done" {
		if w.accept.answer == "" && w.duplicates > 0 {
			w.duplicates--
			w.lateRequests = append(w.lateRequests, w.accept)
		}
		w.accept = &request{answer: "done"}
	}
	*node = modelNode{crashed: 1, machine: modelMachine(i, 1)}
}

func (w *world) claim(i int) {
	w.claims--
	machine := &w.nodes[i].machine
	action := machine.ShardRead(w.shard, false)
	if action == lease.ReadSession {
		action = machine.SessionRead(lease.Session{}, 0, time.Time{})
	}
	if action != lease.Claim {
		return
	}
	r := w.next("claim", i, map[string]uint64{"shard": w.shard.Version})
	claimed := machine.ClaimRecord()
	r.shard = &claimed
	w.nodes[i].pending = r
}

func (w *world) load(i int) {
	node := &w.nodes[i]
	node.job = NewJob([]Segment{w.segment.Clone()})
	node.segment, node.header = w.segmentVersion, w.headerVersion
	node.ready, node.sent, node.intended = nil, [modelItems]bool{}, [modelItems]bool{}
	if w.bug == resendIntent {
		node.job.segments[0].intents = nil
		node.job = NewJob(node.job.segments)
	}
}

func (w *world) take(i int) {
	node := &w.nodes[i]
	index, _ := node.job.Take()
	if index != nonRepeatableItem {
		// The attempt has no effect that another node or the store sees, so the
		// model may end it immediately.
		w.finish(i, ItemOutcome{index, Completed})
		return
	}
	if w.bug == sendEarly {
		w.send(i, index)
	}
	intent := ItemIntent{Index: index, Intent: Intent{Attempt: "a", Engine: "e"}}
	w.commit(i, []ItemIntent{intent})
}

func (w *world) send(i, index int) {
	w.nodes[i].sent[index] = true
	w.sendCounts[index]++
}

func (w *world) finish(i int, outcome ItemOutcome) {
	node := &w.nodes[i]
	if node.job.Finish(outcome.Index) {
		node.ready = append(node.ready, outcome)
		slices.SortFunc(node.ready, func(a, b ItemOutcome) int { return a.Index - b.Index })
	}
}

// commit submits the transaction that the runner would submit.
func (w *world) commit(i int, intents []ItemIntent) {
	node := &w.nodes[i]
	updates, done := node.job.Prepare(Change{Outcomes: node.ready, Reference: Reference{1, 1}}, Change{Intents: intents})
	held := node.machine.Lease()
	compares := map[string]uint64{"shard": held.Version, "header": node.header, "segment": node.segment}
	switch w.bug {
	case skipLeaseCompare:
		delete(compares, "shard")
	case skipHeaderCompare:
		delete(compares, "header")
	case skipSegmentCompare:
		delete(compares, "segment")
	}
	r := w.next("items", i, compares)
	r.epoch, r.outcomes, r.intents = held.Record.Epoch, node.ready, intents
	r.segment = &updates[0].Segment
	if done {
		r.header = completed
	}
	node.ready, node.pending = nil, r
}

// answered handles the answer to a node's request like the keeper and the runner.
func (w *world) answered(i int, r *request) {
	node := &w.nodes[i]
	node.pending = nil
	if r.kind == "claim" {
		switch {
		case r.answer == "applied" && r.newVersions != nil:
			node.machine.Claimed(r.newVersions["shard"])
		case r.tookEffect() || w.bug == trustLostAnswer:
			node.machine.ShardRead(w.shard, false) // as in the keeper's next poll
		}
		node.job = nil
		return
	}
	if !r.tookEffect() {
		w.conflicted(i, r)
		return
	}
	version, known := r.newVersions["segment"]
	if !known {
		version = w.segmentVersion
	}
	node.segment = version
	node.job.Committed([]SegmentUpdate{{Number: 0, Segment: r.segment.Clone()}})
	for _, intended := range r.intents {
		node.intended[intended.Index] = node.job.phases[intended.Index] == Running && !node.sent[intended.Index]
	}
	if r.header == completed {
		node.job.Close()
	}
}

func (w *world) conflicted(i int, r *request) {
	node := &w.nodes[i]
	if _, fenced := r.conflictWriters["shard"]; fenced {
		node.machine.Lost()
		node.job = nil
		return
	}
	if _, ended := r.conflictWriters["header"]; ended {
		node.job.Close()
		return
	}
	node.job = nil // another request wrote the segment, so it must be loaded again
}

// explore visits the states reachable from start in breadth-first order, up to the
// limit. If a state violates an invariant, it returns the shortest trace to it.
func explore(start *world, limit int) (states int, trace []string) {
	type visit struct {
		world *world
		from  int
		by    string
	}
	queue := []visit{{world: start, from: -1}}
	seen := map[[sha256.Size]byte]bool{sha256.Sum256(start.key()): true}
	for at := 0; at < len(queue) && at < limit; at++ {
		current := queue[at].world
		progress := false
		for _, next := range current.steps() {
			progress = progress || !next.fault
			reached := current.clone()
			next.do(reached)
			reached.check()
			key := sha256.Sum256(reached.key())
			if reached.violation == "" && seen[key] {
				continue
			}
			seen[key] = true
			queue = append(queue, visit{world: reached, from: at, by: next.name})
			if reached.violation != "" {
				trace = []string{reached.violation}
				for place := len(queue) - 1; place > 0; place = queue[place].from {
					trace = append(trace, queue[place].by)
				}
				return len(seen), trace
			}
		}
		if !progress && current.claims > 0 && (current.header == open || current.header == absent && current.acknowledged) {
			return len(seen), []string{"stuck", fmt.Sprintf("%+v", current)}
		}
		queue[at].world = nil
	}
	return len(seen), nil
}

// maxStates exceeds the number of states of each exploration.
const maxStates = 400_000

// faultBudgets are explored one at a time, because the states of all faults
// together are too many to visit in a test. A pause needs no budget.
var faultBudgets = map[string]faults{
	"lost answer": {lost: 1}, "request that arrives twice": {duplicates: 1}, "crash": {crashes: 1},
}

// acceptanceWorld returns a world with every fault in which no node claims the shard.
func acceptanceWorld(planted bug) *world {
	w := newWorld(planted, faults{lost: 1, duplicates: 1, crashes: 1})
	w.claims = 0
	return w
}

func TestModelOfLeaseCommitAndCancelHoldsItsInvariants(t *testing.T) {
	for name, budget := range faultBudgets {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			if _, trace := explore(acceptanceWorld(noBug), maxStates); trace != nil {
				t.Fatalf("acceptance: %q", trace)
			}
			states, trace := explore(newWorld(noBug, budget).withJob(), maxStates)
			if trace != nil {
				t.Fatalf("after %d states: %q", states, trace)
			}
			if states >= maxStates {
				t.Fatalf("not all states were visited in %d", states)
			}
			t.Logf("%d states", states)
		})
	}
}

func TestModelCatchesPlantedBugs(t *testing.T) {
	planted := map[string]bug{
		"skip lease compare": skipLeaseCompare, "skip header compare": skipHeaderCompare, "skip segment compare": skipSegmentCompare,
		"acknowledge early": acknowledgeEarly, "send early": sendEarly, "resend intent": resendIntent, "trust lost answer": trustLostAnswer,
	}
	for name, planted := range planted {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			if states, trace := explore(acceptanceWorld(planted), maxStates); trace != nil {
				t.Logf("caught at the acceptance after %d states: %q", states, trace)
				return
			}
			for fault, budget := range faultBudgets {
				if states, trace := explore(newWorld(planted, budget).withJob(), maxStates); trace != nil {
					t.Logf("caught with a %s after %d states: %q", fault, states, trace)
					return
				}
			}
			t.Fatal("not caught")
		})
	}
}
