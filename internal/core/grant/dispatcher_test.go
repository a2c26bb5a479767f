package grant

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"ringstream.example/ringstream/internal/core/enginechoice"
	_ "ringstream.example/ringstream/internal/seedtest" // the same values at every run
)

// naive is the plain reading of what a dispatcher owes: it knows every request
// and recounts everything each time.
type naive struct {
	engines int
	online  map[string]bool // requests that asked and have not ended
	batch   map[string]bool
}

// underWay is how many online requests and batch items are to have a slot.
func (n naive) underWay() (online, batch int) {
	all := n.engines * slots
	online = min(len(n.online), all)
	return online, min(len(n.batch), all-online)
}

// TestDispatcherAgainstTheNaiveVersion has requests and items of three nodes ask
// and end in any order, and every message come: as many have a slot as there
// are, online requests first, none has two, and no engine has more than its
// slots.
func TestDispatcherAgainstTheNaiveVersion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		engines := rapid.IntRange(1, 3).Draw(t, "engines")
		n := newNetwork(3, engines, 0, rapid.Uint64().Draw(t, "seed"))
		plain := naive{engines: engines, online: make(map[string]bool), batch: make(map[string]bool)}
		n.run(DefaultDispatcherConfig().BatchAfter)
		for range rapid.IntRange(1, 25).Draw(t, "steps") {
			for range rapid.IntRange(1, 4).Draw(t, "at once") {
				node := n.nodes[rapid.IntRange(0, 2).Draw(t, "node")]
				switch rapid.IntRange(0, 3).Draw(t, "what") {
				case 0, 1:
					batch := rapid.Bool().Draw(t, "batch")
					key := fmt.Sprint(node.address, n.ask(node, batch))
					if batch {
						plain.batch[key] = true
					} else {
						plain.online[key] = true
					}
				default:
					for id := uint64(1); id <= node.nextID; id++ {
						if _, held := node.held[id]; held {
							n.end(node, id)
							delete(plain.online, fmt.Sprint(node.address, id))
							delete(plain.batch, fmt.Sprint(node.address, id))
							break
						}
					}
				}
			}
			n.run(30 * time.Millisecond)
			for _, node := range n.nodes { // an item that was stopped asks again
				for id := uint64(1); id <= node.nextID; id++ {
					_, held := node.held[id]
					if plain.batch[fmt.Sprint(node.address, id)] && !held && !node.requester.Waits(id) {
						delete(plain.batch, fmt.Sprint(node.address, id))
						plain.batch[fmt.Sprint(node.address, n.ask(node, true))] = true
					}
				}
			}
			n.run(2 * time.Second) // peaks of online work reserve nothing any more
			n.checkSlots(t)
			online, batch := 0, 0
			for _, node := range n.nodes {
				for id := range node.held {
					if node.batch[id] {
						batch++
					} else {
						online++
					}
				}
				if node.alone > 0 {
					t.Fatal("a request was left alone though all messages came")
				}
			}
			wantOnline, wantBatch := plain.underWay()
			if online != wantOnline || batch != wantBatch {
				t.Fatalf("%d online and %d batch requests have slots, want %d and %d", online, batch, wantOnline, wantBatch)
			}
		}
	})
}

// TestLossesLeaveNothingBehind loses messages, kills nodes and lets all requests
// end: no dispatcher counts anything in the end, and every request of a node
// that lived got an engine.
func TestLossesLeaveNothingBehind(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := newNetwork(4, 2, rapid.IntRange(0, 300).Draw(t, "loss"), rapid.Uint64().Draw(t, "seed"))
		for range rapid.IntRange(1, 20).Draw(t, "steps") {
			node := n.nodes[rapid.IntRange(0, 3).Draw(t, "node")]
			switch rapid.IntRange(0, 5).Draw(t, "what") {
			case 0:
				node.dead = node.address != "n3" // one lives on
			case 1, 2:
				for id := range node.held {
					n.end(node, id)
					break
				}
			default:
				if !node.dead {
					n.ask(node, rapid.Bool().Draw(t, "batch"))
				}
			}
			n.run(time.Duration(rapid.IntRange(1, 60).Draw(t, "ms")) * time.Millisecond)
		}
		n.lossPer = 0
		for range 40 { // whoever has an engine ends, and makes room for the next
			for _, node := range n.nodes {
				for id := range node.held {
					n.end(node, id)
				}
			}
			n.run(100 * time.Millisecond)
		}
		n.run(2 * time.Second)
		for _, node := range n.nodes {
			if node.dead {
				continue
			}
			if underWay, queued := node.dispatcher.Counts(); underWay+queued > 0 {
				t.Fatalf("%s counts %d under way and %d queued", node.address, underWay, queued)
			}
			if !node.requester.Idle() {
				t.Fatalf("%s still has something in the lane", node.address)
			}
		}
	})
}

// TestGrantsGoByRankAndTimeLeft has one slot come free at a time.
func TestGrantsGoByRankAndTimeLeft(t *testing.T) {
	d := NewDispatcher(DefaultDispatcherConfig(), lane, "n0", start)
	d.SetEngines(entries(1), start)
	var held []Held
	for id := range uint64(slots) {
		held = append(held, Held{ID: 100 + id, Engine: EngineHash(enginechoice.Incarnation{ID: "e0"})})
	}
	state := State{Life: 1, Sequence: 1, Held: held, Waiting: []Ask{
		{ID: 1, Rank: 1, DueIn: 5 * time.Millisecond},
		{ID: 2, DueIn: 200 * time.Millisecond},
		{ID: 3, DueIn: 100 * time.Millisecond},
		{ID: 4, DueIn: -time.Millisecond},
		{ID: 5, Batch: true, BatchPercent: 100, RoomPercent: 100},
	}}
	d.Hear("n1", state, start)
	var order []uint64
	for len(state.Waiting) > 0 && len(state.Held) > 0 {
		state.Sequence++
		state.Ended = []Ended{{ID: state.Held[0].ID, Engine: EngineHash(enginechoice.Incarnation{ID: "e0"})}}
		state.Held = state.Held[1:]
		now := start.Add(time.Duration(state.Sequence) * 400 * time.Millisecond) // peaks of online work are forgotten
		d.Hear("n1", state, now)
		d.began = start.Add(-time.Hour)
		d.Tick(now)
		for _, granted := range d.Replies()["n1"].Grants {
			order = append(order, granted.ID)
			state.Held = append(state.Held, Held{ID: granted.ID, Engine: granted.Engine, Batch: granted.ID == 5})
			for i, ask := range state.Waiting {
				if ask.ID == granted.ID {
					state.Waiting = append(state.Waiting[:i:i], state.Waiting[i+1:]...)
					break
				}
			}
		}
	}
	if got := fmt.Sprint(order); got != "[3 2 1 4 5]" {
		t.Errorf("granted %s, want [3 2 1 4 5]", got)
	}
}

// TestAskThatWaitsNoLongerIsPlaced has full engines of online requests.
func TestAskThatWaitsNoLongerIsPlaced(t *testing.T) {
	d := NewDispatcher(DefaultDispatcherConfig(), lane, "n0", start)
	d.SetEngines(entries(1), start)
	var held []Held
	for id := range uint64(slots) {
		held = append(held, Held{ID: 100 + id, Engine: EngineHash(enginechoice.Incarnation{ID: "e0"})})
	}
	d.Hear("n1", State{Life: 1, Sequence: 1, Held: held, Waiting: []Ask{{ID: 1}}}, start)
	if reply := d.Replies()["n1"]; len(reply.Grants) != 0 || reply.Queued != 1 {
		t.Fatalf("got %+v", reply)
	}
	d.Hear("n1", State{Life: 1, Sequence: 2, Held: held, Waiting: []Ask{{ID: 1, Place: true}}}, start)
	if reply := d.Replies()["n1"]; len(reply.Grants) != 1 || reply.Grants[0].InFlight != slots {
		t.Errorf("got %+v", reply)
	}
}

// TestRunThatIsBeingStoppedStopsNoOther has an online request make room. The head
// of its answer still counts the run that was stopped: that is no reason to stop
// one more. (Most likely what TestOnlineRequestMakesRoomAtOnce of package platform
// met once: one run too many gave way, and the number that it waits for was passed.)
func TestRunThatIsBeingStoppedStopsNoOther(t *testing.T) {
	d := NewDispatcher(DefaultDispatcherConfig(), lane, "n0", start)
	d.SetEngines(entries(1), start)
	state := State{Life: 1, Sequence: 1, Waiting: []Ask{{ID: 1}}}
	for id := range uint64(slots) {
		state.Held = append(state.Held, Held{ID: 100 + id, Engine: EngineHash(enginechoice.Incarnation{ID: "e0"}), Batch: true})
	}
	d.Hear("n1", state, start)
	reply := d.Replies()["n1"]
	if len(reply.Grants) != 1 || !reply.Grants[0].Preempts || len(reply.Stops) != 1 {
		t.Fatalf("got %+v", reply)
	}
	state.Sequence, state.Waiting = 2, nil
	for at, held := range state.Held {
		if held.ID == reply.Stops[0] {
			state.Held[at] = Held{ID: 1, Engine: EngineHash(enginechoice.Incarnation{ID: "e0"}), Started: true}
		}
	}
	state.Loads = []Load{{Engine: EngineHash(enginechoice.Incarnation{ID: "e0"}), Running: slots + 1}}
	d.Hear("n1", state, start.Add(5*time.Millisecond))
	d.Tick(start.Add(10 * time.Millisecond))
	if stops := d.Replies()["n1"].Stops; len(stops) != 0 {
		t.Errorf("stops %v too", stops)
	}
}

// TestEnginesThatLeaveGetNothing has the dispatcher's list change.
func TestEnginesThatLeaveGetNothing(t *testing.T) {
	d := NewDispatcher(DefaultDispatcherConfig(), lane, "n0", start)
	list := entries(2)
	list[0].State = enginechoice.Leaving
	d.SetEngines(list, start)
	d.Hear("n1", State{Life: 1, Sequence: 1, Waiting: []Ask{{ID: 1}, {ID: 2}}}, start)
	for _, granted := range d.Replies()["n1"].Grants {
		if granted.Engine != EngineHash(enginechoice.Incarnation{ID: "e1"}) {
			t.Errorf("granted %+v", granted)
		}
	}
	d.SetEngines(list[:1], start)
	d.Hear("n1", State{Life: 1, Sequence: 2, Waiting: []Ask{{ID: 3}}}, start)
	if reply := d.Replies()["n1"]; len(reply.Grants) != 0 {
		t.Errorf("granted %+v", reply.Grants)
	}
}

func TestRankIsTheSameForAllAndLeavesSmallMachinesOut(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var candidates []Candidate
		for i := range rapid.IntRange(1, 20).Draw(t, "nodes") {
			candidates = append(candidates, Candidate{Address: fmt.Sprint("n", i), Capacity: rapid.SampledFrom([]float64{0.2, 0.8}).Draw(t, "capacity")})
		}
		ranking := Rank(lane, candidates)
		shuffled := rapid.Permutation(candidates).Draw(t, "shuffled")
		if got := Rank(lane, shuffled); fmt.Sprint(got) != fmt.Sprint(ranking) {
			t.Fatalf("%v and %v", got, ranking)
		}
		large := 0
		for _, candidate := range candidates {
			if candidate.Capacity > 0.5 {
				large++
			}
		}
		for _, address := range ranking {
			for _, candidate := range candidates {
				if candidate.Address == address && candidate.Capacity < 0.5 && large > 0 {
					t.Fatalf("%s is a small machine", address)
				}
			}
		}
		if len(ranking) == 0 || len(ranking) > ranked {
			t.Fatalf("%d dispatchers", len(ranking))
		}
	})
}

func TestLanesDivideTheEngines(t *testing.T) {
	for slotsAll, want := range map[int]uint32{0: 1, slotsPerLane: 1, slotsPerLane + 1: 2, 3 * slotsPerLane: 4} {
		if got := Parts(slotsAll); got != want {
			t.Errorf("%d slots: %d lanes, want %d", slotsAll, got, want)
		}
	}
	for engine := range uint64(100) {
		holders := 0
		for part := range uint32(4) {
			if (Lane{Pool: "p", Parts: 4, Part: part}).Holds(EngineHash(enginechoice.Incarnation{ID: fmt.Sprint(engine)})) {
				holders++
			}
		}
		if holders != 1 {
			t.Errorf("engine %d is in %d lanes", engine, holders)
		}
	}
}

// BenchmarkHear is a request's ask and end at the dispatcher of a large fleet.
func BenchmarkHear(b *testing.B) {
	for _, engines := range []int{12, 130, 256} {
		b.Run(fmt.Sprint(engines), func(b *testing.B) {
			d := NewDispatcher(DefaultDispatcherConfig(), lane, "n0", start)
			d.SetEngines(entries(engines), start)
			sequence := uint64(0)
			b.ReportAllocs()
			for b.Loop() {
				sequence++
				from := fmt.Sprint("n", sequence%300)
				d.Hear(from, State{Life: 1, Sequence: sequence, Waiting: []Ask{{ID: sequence}}}, start)
				reply := d.Replies()[from]
				sequence++
				d.Hear(from, State{Life: 1, Sequence: sequence, Ended: []Ended{{ID: reply.Grants[0].ID}}}, start)
				d.Replies()
			}
		})
	}
}

// TestNoRequestThatFitsIsPassedOver fills an engine, has requests of some ranks and
// tenants wait, and frees one slot after the other: each goes to the request that a
// plain reading of the rule names.
func TestNoRequestThatFitsIsPassedOver(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := NewDispatcher(DefaultDispatcherConfig(), lane, "n0", start)
		d.SetEngines(entries(1), start)
		expected := time.Duration(rapid.IntRange(0, 60).Draw(t, "expected ms")) * time.Millisecond
		if expected > 0 {
			d.ready.observe(FirstToken{Elapsed: expected})
		}
		state := State{Life: 1, Sequence: 1}
		for id := range uint64(slots) {
			state.Held = append(state.Held, Held{ID: 100 + id, Engine: EngineHash(enginechoice.Incarnation{ID: "e0"})})
		}
		for id := range uint64(rapid.IntRange(1, 8).Draw(t, "requests")) {
			state.Waiting = append(state.Waiting, Ask{
				ID: id + 1, TenantRank: rapid.IntRange(0, 1).Draw(t, "tenant"), Rank: rapid.IntRange(0, 1).Draw(t, "rank"),
				DueIn: time.Duration(rapid.IntRange(-50, 150).Draw(t, "due ms")) * time.Millisecond,
			})
		}
		d.Hear("n1", state, start)
		for len(state.Waiting) > 0 {
			best := 0
			for i, ask := range state.Waiting {
				if plainlyBefore(ask, state.Waiting[best], expected) {
					best = i
				}
			}
			state.Sequence++
			state.Ended = []Ended{{ID: state.Held[0].ID, Engine: EngineHash(enginechoice.Incarnation{ID: "e0"})}}
			state.Held = state.Held[1:]
			d.Hear("n1", state, start.Add(time.Duration(state.Sequence)*time.Minute))
			grants := d.Replies()["n1"].Grants
			if len(grants) != 1 || grants[0].ID != state.Waiting[best].ID {
				t.Fatalf("granted %+v, want %+v of %+v", grants, state.Waiting[best], state.Waiting)
			}
			state.Held = append(state.Held, Held{ID: grants[0].ID, Engine: EngineHash(enginechoice.Incarnation{ID: "e0"})})
			state.Waiting = append(state.Waiting[:best:best], state.Waiting[best+1:]...)
		}
	})
}

// plainlyBefore says whether a request goes before another one.
func plainlyBefore(a, b Ask, expected time.Duration) bool {
	aFits, bFits := a.DueIn >= expected, b.DueIn >= expected
	switch {
	case aFits != bFits:
		return aFits
	case a.TenantRank != b.TenantRank:
		return a.TenantRank < b.TenantRank
	case a.Rank != b.Rank:
		return a.Rank < b.Rank
	default:
		return a.DueIn < b.DueIn
	}
}
