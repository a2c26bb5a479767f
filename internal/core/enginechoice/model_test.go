package enginechoice

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// naiveSet is the plain reading of which incarnations serve, and of what is known of each.
type naiveSet struct {
	states map[Incarnation]State
	since  map[Incarnation]time.Time
	held   map[Incarnation]map[string]bool
	work   map[Incarnation]int
}

func newNaiveSet() *naiveSet {
	return &naiveSet{
		states: make(map[Incarnation]State), since: make(map[Incarnation]time.Time),
		held: make(map[Incarnation]map[string]bool), work: make(map[Incarnation]int),
	}
}

func (n *naiveSet) newest(id string) (Incarnation, bool) {
	newest, found := Incarnation{ID: id}, false
	for known := range n.states {
		if known.ID == id && (!found || known.Born > newest.Born) {
			newest, found = known, true
		}
	}
	return newest, found
}

func (n *naiveSet) set(engine Incarnation, state State, now time.Time) {
	if known, found := n.states[engine]; found && known == state {
		return
	}
	n.states[engine], n.since[engine] = state, now
}

func (n *naiveSet) upsert(engine Incarnation, state State, now time.Time) {
	newest, found := n.newest(engine.ID)
	if found && engine.Born < newest.Born {
		return
	}
	if found && engine.Born > newest.Born && n.states[newest] != Leaving {
		n.set(newest, Ended, now)
	}
	n.set(engine, state, now)
}

func (n *naiveSet) remove(engine Incarnation, doubtful bool, now time.Time) {
	known, found := n.states[engine]
	if !found || known == Ended {
		return
	}
	n.states[engine], n.since[engine] = Leaving, now
	if doubtful && known.Usable() {
		n.states[engine] = Unlisted
	}
}

func (n *naiveSet) withhold(engine Incarnation, now time.Time) {
	if n.states[engine].Usable() {
		n.set(engine, Withheld, now)
	}
}

func (n *naiveSet) expire(before, now time.Time) {
	for engine, state := range n.states {
		if state == Unlisted && n.since[engine].Before(before) {
			n.states[engine], n.since[engine] = Leaving, now
		}
	}
}

// startedWork is a request at an engine.
type startedWork struct {
	engine Incarnation
	work   *Work
}

// modelRun is a set and the plain one, with what was done to both.
type modelRun struct {
	t       *rapid.T
	set     *Set
	plain   *naiveSet
	works   []startedWork
	second  *Set // of a dispatcher, which takes the first one's list
	now     time.Time
	listing map[Incarnation]bool // what the dispatcher knew last
}

func (r *modelRun) anyEngine() Incarnation {
	return Incarnation{ID: fmt.Sprint("e", rapid.IntRange(0, 2).Draw(r.t, "engine")), Born: rapid.Int64Range(0, 4).Draw(r.t, "born")}
}

func (r *modelRun) step() {
	r.now = r.now.Add(time.Duration(rapid.IntRange(0, 400).Draw(r.t, "ms")) * time.Millisecond)
	engine := r.anyEngine()
	_, known := r.plain.states[engine]
	switch rapid.IntRange(0, 9).Draw(r.t, "step") {
	case 0, 1, 2: // an entry, by the feed or a peer, in any order
		state := State(rapid.IntRange(int(Ready), int(Leaving)).Draw(r.t, "state"))
		r.set.Upsert(entryOf(engine), state, r.now)
		r.plain.upsert(engine, state, r.now)
	case 3: // its row goes
		newest, _ := r.plain.newest(engine.ID)
		doubtful := rapid.Bool().Draw(r.t, "doubtful")
		got, _ := r.set.Newest(engine.ID)
		r.set.Remove(got, doubtful, r.now)
		r.plain.remove(newest, doubtful, r.now)
	case 4: // another engine answers at its address
		r.set.Remove(engine, false, r.now)
		r.plain.remove(engine, false, r.now)
	case 5:
		r.set.ExpireUnlisted(r.now.Add(-time.Second), r.now)
		r.plain.expire(r.now.Add(-time.Second), r.now)
	case 6: // its entry names no engine to use
		if newest, found := r.plain.newest(engine.ID); found {
			r.set.Withhold(newest, r.now)
			r.plain.withhold(newest, r.now)
		}
	case 7:
		if work := (&Work{}); known {
			r.set.Start(engine, work)
			r.works = append(r.works, startedWork{engine: engine, work: work})
			r.plain.work[engine]++
		}
	case 8:
		if len(r.works) > 0 {
			ended := r.works[0]
			r.works = r.works[1:]
			r.set.Finish(ended.engine, ended.work, Result(rapid.IntRange(0, 3).Draw(r.t, "result")), r.now)
			r.plain.work[ended.engine]--
		}
	default:
		if part := rapid.StringMatching("[ab]").Draw(r.t, "part"); known {
			r.set.Remember(engine, []Part{{ID: part, Tokens: 10}}, r.now)
			if r.plain.held[engine] == nil {
				r.plain.held[engine] = make(map[string]bool)
			}
			r.plain.held[engine][part] = true
		}
	}
}

// list has the dispatcher take the set's list, in any order.
func (r *modelRun) list() {
	listing := make(map[Incarnation]bool)
	list := r.set.List("p")
	slices.SortFunc(list, func(a, b Listed) int {
		return strings.Compare(a.Entry.Incarnation().String(), b.Entry.Incarnation().String())
	})
	for _, listed := range rapid.Permutation(list).Draw(r.t, "order") {
		listing[listed.Entry.Incarnation()] = true
		r.second.Upsert(listed.Entry, listed.State, r.now)
	}
	for engine := range r.listing {
		if !listing[engine] {
			r.second.Remove(engine, false, r.now)
		}
	}
	r.listing = listing
}

func (r *modelRun) check() {
	states := make(map[Incarnation]State)
	for _, listed := range r.set.List("p") {
		states[listed.Entry.Incarnation()] = listed.State
	}
	if !maps.Equal(states, r.plain.states) {
		r.t.Fatalf("states are %v, want %v", states, r.plain.states)
	}
	serving := make(map[Incarnation]bool)
	for engine, state := range r.plain.states {
		if newest, _ := r.plain.newest(engine.ID); newest != engine && state.Usable() {
			r.t.Fatalf("%v serves beside %v", engine, newest)
		}
		if counts := r.set.Own()[engine]; counts.Online != r.plain.work[engine] {
			r.t.Fatalf("%v has %d requests, want %d", engine, counts.Online, r.plain.work[engine])
		}
		if held := len(r.set.engines[engine].resident); held != len(r.plain.held[engine]) {
			r.t.Fatalf("%v is held to keep %d parts, want %d", engine, held, len(r.plain.held[engine]))
		}
		if state.Usable() {
			serving[engine] = true
		}
		listed, _ := r.second.Find(engine)
		if newest, _ := r.plain.newest(engine.ID); newest == engine && listed.State != state {
			r.t.Fatalf("the dispatcher takes %v for %v, want %v", engine, listed.State, state)
		}
	}
	choice, found := r.set.Pick(Query{Pool: "p"}, r.now)
	if found != (len(serving) > 0) || (found && !serving[choice.Entry.Incarnation()]) {
		r.t.Fatalf("picked %v of %v", choice.Entry.Incarnation(), serving)
	}
}

// TestSetAgainstANaiveOne has engines start again, their entries come in any order, go and
// come back, with work and parts of prompts at each incarnation: who serves, what is counted
// and what is held to be kept are those of the plain reading, here and at a dispatcher.
func TestSetAgainstANaiveOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		run := &modelRun{t: t, set: NewSet("n1"), plain: newNaiveSet(), second: NewSet("n2"), now: start}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			run.step()
			run.list()
			run.check()
		}
	})
}
