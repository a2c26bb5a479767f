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

// referenceSet is a reference model of a Set: the state of each incarnation, its requests
// and its cached parts.
type referenceSet struct {
	states map[Incarnation]State
	since  map[Incarnation]time.Time
	cached map[Incarnation]map[string]bool
	work   map[Incarnation]int
}

func newReferenceSet() *referenceSet {
	return &referenceSet{
		states: make(map[Incarnation]State), since: make(map[Incarnation]time.Time),
		cached: make(map[Incarnation]map[string]bool), work: make(map[Incarnation]int),
	}
}

func (n *referenceSet) newest(id string) (Incarnation, bool) {
	newest, found := Incarnation{ID: id}, false
	for known := range n.states {
		if known.ID == id && (!found || known.Born > newest.Born) {
			newest, found = known, true
		}
	}
	return newest, found
}

func (n *referenceSet) set(engine Incarnation, state State, now time.Time) {
	if known, found := n.states[engine]; found && known == state {
		return
	}
	n.states[engine], n.since[engine] = state, now
}

func (n *referenceSet) upsert(engine Incarnation, state State, now time.Time) {
	newest, found := n.newest(engine.ID)
	if found && engine.Born < newest.Born {
		return
	}
	if found && engine.Born > newest.Born && n.states[newest] != Leaving {
		n.set(newest, Ended, now)
	}
	n.set(engine, state, now)
}

func (n *referenceSet) remove(engine Incarnation, doubtful bool, now time.Time) {
	known, found := n.states[engine]
	if !found || known == Ended {
		return
	}
	n.states[engine], n.since[engine] = Leaving, now
	if doubtful && known.Usable() {
		n.states[engine] = Unlisted
	}
}

func (n *referenceSet) withhold(engine Incarnation, now time.Time) {
	if n.states[engine].Usable() {
		n.set(engine, Withheld, now)
	}
}

func (n *referenceSet) expire(before, now time.Time) {
	for engine, state := range n.states {
		if state == Unlisted && n.since[engine].Before(before) {
			n.states[engine], n.since[engine] = Leaving, now
		}
	}
}

// startedWork is a request in flight at an engine.
type startedWork struct {
	engine Incarnation
	work   *Work
}

// modelRun is a run of the same operations on a Set and on the reference model.
type modelRun struct {
	t             *rapid.T
	set           *Set
	reference     *referenceSet
	works         []startedWork
	dispatcherSet *Set // Set of a dispatcher, which follows the list of set
	now           time.Time
	lastListing   map[Incarnation]bool // engines of the last list
}

func (r *modelRun) anyEngine() Incarnation {
	return Incarnation{ID: fmt.Sprint("e", rapid.IntRange(0, 2).Draw(r.t, "engine")), Born: rapid.Int64Range(0, 4).Draw(r.t, "born")}
}

func (r *modelRun) step() {
	r.now = r.now.Add(time.Duration(rapid.IntRange(0, 400).Draw(r.t, "ms")) * time.Millisecond)
	engine := r.anyEngine()
	_, known := r.reference.states[engine]
	switch rapid.IntRange(0, 9).Draw(r.t, "step") {
	case 0, 1, 2: // an entry arrives, in any order
		state := State(rapid.IntRange(int(Ready), int(Leaving)).Draw(r.t, "state"))
		r.set.Upsert(entryOf(engine), state, r.now)
		r.reference.upsert(engine, state, r.now)
	case 3: // the newest entry is removed from the list
		newest, _ := r.reference.newest(engine.ID)
		doubtful := rapid.Bool().Draw(r.t, "doubtful")
		got, _ := r.set.Newest(engine.ID)
		r.set.Remove(got, doubtful, r.now)
		r.reference.remove(newest, doubtful, r.now)
	case 4: // another engine responds at its address
		r.set.Remove(engine, false, r.now)
		r.reference.remove(engine, false, r.now)
	case 5:
		r.set.ExpireUnlisted(r.now.Add(-time.Second), r.now)
		r.reference.expire(r.now.Add(-time.Second), r.now)
	case 6: // its entry names no usable engine
		if newest, found := r.reference.newest(engine.ID); found {
			r.set.Withhold(newest, r.now)
			r.reference.withhold(newest, r.now)
		}
	case 7:
		if work := (&Work{}); known {
			r.set.Start(engine, work)
			r.works = append(r.works, startedWork{engine: engine, work: work})
			r.reference.work[engine]++
		}
	case 8:
		if len(r.works) > 0 {
			ended := r.works[0]
			r.works = r.works[1:]
			r.set.Finish(ended.engine, ended.work, Result(rapid.IntRange(0, 3).Draw(r.t, "result")), r.now)
			r.reference.work[ended.engine]--
		}
	default:
		if part := rapid.StringMatching("[ab]").Draw(r.t, "part"); known {
			r.set.RecordPrompt(engine, []Part{{ID: part, Tokens: 10}}, r.now)
			if r.reference.cached[engine] == nil {
				r.reference.cached[engine] = make(map[string]bool)
			}
			r.reference.cached[engine][part] = true
		}
	}
}

// list applies the set's list to the dispatcher's Set, in any order.
func (r *modelRun) list() {
	listing := make(map[Incarnation]bool)
	list := r.set.List("p")
	slices.SortFunc(list, func(a, b Listed) int {
		return strings.Compare(a.Entry.Incarnation().String(), b.Entry.Incarnation().String())
	})
	for _, listed := range rapid.Permutation(list).Draw(r.t, "order") {
		listing[listed.Entry.Incarnation()] = true
		r.dispatcherSet.Upsert(listed.Entry, listed.State, r.now)
	}
	for engine := range r.lastListing {
		if !listing[engine] {
			r.dispatcherSet.Remove(engine, false, r.now)
		}
	}
	r.lastListing = listing
}

func (r *modelRun) check() {
	states := make(map[Incarnation]State)
	for _, listed := range r.set.List("p") {
		states[listed.Entry.Incarnation()] = listed.State
	}
	if !maps.Equal(states, r.reference.states) {
		r.t.Fatalf("states are %v, want %v", states, r.reference.states)
	}
	serving := make(map[Incarnation]bool)
	for engine, state := range r.reference.states {
		if newest, _ := r.reference.newest(engine.ID); newest != engine && state.Usable() {
			r.t.Fatalf("%v accepts new work although %v is newer", engine, newest)
		}
		if counts := r.set.InFlight()[engine]; counts.Online != r.reference.work[engine] {
			r.t.Fatalf("%v has %d requests in flight, want %d", engine, counts.Online, r.reference.work[engine])
		}
		if cached := len(r.set.engines[engine].resident); cached != len(r.reference.cached[engine]) {
			r.t.Fatalf("%v has %d cached parts, want %d", engine, cached, len(r.reference.cached[engine]))
		}
		if state.Usable() {
			serving[engine] = true
		}
		listed, _ := r.dispatcherSet.Find(engine)
		if newest, _ := r.reference.newest(engine.ID); newest == engine && listed.State != state {
			r.t.Fatalf("dispatcher has state %v for %v, want %v", engine, listed.State, state)
		}
	}
	choice, found := r.set.Pick(Query{Pool: "p"}, r.now)
	if found != (len(serving) > 0) || (found && !serving[choice.Entry.Incarnation()]) {
		r.t.Fatalf("picked %v, usable engines are %v", choice.Entry.Incarnation(), serving)
	}
}

// TestSetAgainstANaiveOne compares a Set, and a dispatcher's Set that follows it, with a
// reference model. Engines restart, and their entries arrive in any order, are removed and
// return, with requests and cached parts at each incarnation. The states, counts and cached
// parts must be those of the reference model.
func TestSetAgainstANaiveOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		run := &modelRun{t: t, set: NewSet("n1"), reference: newReferenceSet(), dispatcherSet: NewSet("n2"), now: start}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			run.step()
			run.list()
			run.check()
		}
	})
}
