package grant

import (
	"fmt"
	"testing"
	"time"

	"ringstream.example/ringstream/internal/core/enginechoice"
)

// refuseLast refuses all requests but the first of the queue, and counts the reviews.
type refuseLast struct {
	unboundedQueue
	reviews  int
	returned map[uint64]bool // contents that came back when told
}

func (p *refuseLast) Arrived(request *Waiting, _ time.Time) {
	request.Returned = p.returned[request.Content]
}

func (p *refuseLast) PlacesWhenFull() bool { return false }

func (p *refuseLast) Review(queue []*Waiting, load LaneLoad, _ time.Time) (refused []OverloadDecision) {
	p.reviews++
	for i, request := range queue {
		if load.Full && i > 0 {
			refused = append(refused, OverloadDecision{Request: request, Refusal: OverloadRefusal{RetryAfter: 500 * time.Millisecond, Queued: i}})
		}
	}
	return refused
}

// fullOf returns requests that use all slots of an engine.
func fullOf(batch bool) (held []Held) {
	for id := range uint64(slots) {
		held = append(held, Held{ID: 100 + id, Engine: EngineHash(enginechoice.Incarnation{ID: "e0"}), Batch: batch})
	}
	return held
}

func newControlled(control OverloadControl) *Dispatcher {
	d := NewDispatcher(DefaultDispatcherConfig(), lane, "n0", start)
	d.UsePolicies(Policies{Overload: control})
	d.SetEngines(entries(1), start)
	return d
}

// ask returns an ask of a node that tells when the request ends.
func ask(id uint64) Ask {
	return Ask{ID: id, Content: id, DueIn: 300 * time.Millisecond, EndsIn: 5 * time.Second}
}

// TestRefusalIsSentOnceAndAgainIfLost refuses a request whose node goes on asking, as it does
// until it has read the refusal.
func TestRefusalIsSentOnceAndAgainIfLost(t *testing.T) {
	d := newControlled(&refuseLast{})
	state := State{Life: 1, Sequence: 1, Held: fullOf(false), Waiting: []Ask{ask(1), ask(2)}}
	d.ApplyState("n1", state, start)
	first := d.Replies()["n1"].Refused
	if len(first) != 1 || first[0].ID != 2 || first[0].Reason != RefusedByOverload || first[0].Overload.RetryAfter != 500*time.Millisecond {
		t.Fatalf("got %+v, want one refusal of request 2", first)
	}
	state.Sequence = 2
	d.ApplyState("n1", state, start.Add(5*time.Millisecond))
	if again := d.Replies()["n1"].Refused; len(again) != 0 {
		t.Errorf("got %+v while the refusal can be in transit", again)
	}
	state.Sequence = 3
	d.ApplyState("n1", state, start.Add(20*time.Millisecond))
	again := d.Replies()["n1"].Refused
	if len(again) != 1 || again[0].ID != 2 || again[0].Overload.RetryAfter != 480*time.Millisecond {
		t.Errorf("got %+v, want the refusal again with what is left of its time", again)
	}
	state.Sequence, state.Waiting = 4, state.Waiting[:1]
	d.ApplyState("n1", state, start.Add(40*time.Millisecond))
	if refused := d.Replies()["n1"].Refused; len(refused) != 0 || len(d.nodes["n1"].refused) != 0 {
		t.Errorf("got %+v, and %d refusals are remembered, after the node has read the refusal", refused, len(d.nodes["n1"].refused))
	}
}

// TestRefusedRequestGetsNoSlot frees slots after a refusal that the node has not read yet. The
// refusal says that the request will not run, so it must not be granted a slot.
func TestRefusedRequestGetsNoSlot(t *testing.T) {
	d := newControlled(&refuseLast{})
	state := State{Life: 1, Sequence: 1, Held: fullOf(false), Waiting: []Ask{ask(1), ask(2)}}
	d.ApplyState("n1", state, start)
	state.Sequence, state.Held = 2, nil
	d.ApplyState("n1", state, start.Add(time.Millisecond))
	for _, granted := range d.Replies()["n1"].Grants {
		if granted.ID == 2 {
			t.Errorf("granted %+v after its refusal", granted)
		}
	}
}

// TestNodeOfABuildBeforePlacesItsRequests has a node ask for placement that does not tell when
// its requests end, nor whether they may have run.
func TestNodeOfABuildBeforePlacesItsRequests(t *testing.T) {
	d := newControlled(&refuseLast{})
	d.ApplyState("n1", State{Life: 1, Sequence: 1, Held: fullOf(false), Waiting: []Ask{{ID: 1, Place: true}}}, start)
	if reply := d.Replies()["n1"]; len(reply.Grants) != 1 {
		t.Errorf("got %+v, want a grant as before", reply)
	}
	patient := ask(2)
	patient.Place = true
	broken := ask(3)
	broken.Place, broken.MayHaveRun = true, true
	d.ApplyState("n2", State{Life: 2, Sequence: 1, Waiting: []Ask{patient, broken}}, start)
	if grants := d.Replies()["n2"].Grants; len(grants) != 1 || grants[0].ID != 3 {
		t.Errorf("got %+v, want a grant only for the request that may have run", grants)
	}
}

// TestReturnedRequestGoesAheadOfNewOnes frees one slot for a request that came back when told,
// one with less time left, and one of a higher rank.
func TestReturnedRequestGoesAheadOfNewOnes(t *testing.T) {
	d := newControlled(&refuseLast{returned: map[uint64]bool{2: true}})
	hurried, returned, urgent := ask(1), ask(2), ask(3)
	hurried.DueIn, hurried.Rank, returned.Rank = 100*time.Millisecond, 1, 1
	state := State{Life: 1, Sequence: 1, Held: fullOf(false), Waiting: []Ask{hurried, returned, urgent}}
	d.policies.Overload = &keepAll{refuseLast: d.policies.Overload.(*refuseLast)}
	d.ApplyState("n1", state, start)
	var order []uint64
	for sequence := uint64(2); sequence < 5; sequence++ {
		state.Sequence = sequence
		state.Ended, state.Held = []Ended{{ID: state.Held[0].ID, Engine: state.Held[0].Engine}}, state.Held[1:]
		d.ApplyState("n1", state, start.Add(time.Duration(sequence)*time.Millisecond))
		for _, granted := range d.Replies()["n1"].Grants {
			order = append(order, granted.ID)
		}
	}
	if got := fmt.Sprint(order); got != "[3 2 1]" {
		t.Errorf("granted %s, want [3 2 1]", got)
	}
}

// keepAll recognizes requests that return, and refuses none.
type keepAll struct{ *refuseLast }

func (keepAll) Review([]*Waiting, LaneLoad, time.Time) []OverloadDecision { return nil }

// TestDeadDispatcherLosesNoRequests kills the dispatcher while it refuses requests. Each
// request must be granted or refused exactly once by then or by the next dispatcher.
func TestDeadDispatcherLosesNoRequests(t *testing.T) {
	n := newNetwork(4, 1, 50, 3)
	for _, node := range n.nodes {
		node.dispatcher.UsePolicies(Policies{Overload: &refuseLast{}})
	}
	refused := make(map[string]int)
	n.onRefused = func(node *simNode, id uint64) { refused[fmt.Sprint(node.address, id)]++ }
	asked := 0
	for round := range 30 {
		for _, node := range n.nodes[2:] {
			node.nextID++
			node.askedAt[node.nextID] = n.now
			node.requester.Wait(ask(node.nextID), Deadlines{Objective: n.now.Add(300 * time.Millisecond), End: n.now.Add(5 * time.Second)}, n.now)
			asked++
		}
		n.run(5 * time.Millisecond)
		if round == 15 {
			n.nodes[0].dead = true
		}
	}
	n.run(500 * time.Millisecond)
	ended := len(refused)
	for _, node := range n.nodes[2:] {
		for id := range node.held {
			if refused[fmt.Sprint(node.address, id)] > 0 {
				t.Errorf("request %d of %s was refused and runs", id, node.address)
			}
			ended++
		}
		for id := uint64(1); id <= node.nextID; id++ {
			if node.requester.IsWaiting(id) {
				ended++
			}
		}
	}
	for request, times := range refused {
		if times > 1 {
			t.Errorf("request %s was refused %d times", request, times)
		}
	}
	if len(refused) == 0 || ended != asked {
		t.Errorf("%d requests were refused, run or wait, %d of them refused; want all %d", ended, len(refused), asked)
	}
}

// overloaded is an overload control of a lane that cannot serve some requests in time.
type overloaded struct{ unboundedQueue }

func (overloaded) Overloaded(now time.Time) bool { return now.Before(start.Add(time.Second)) }

// TestNoBatchRunStartsInAnOverload has a batch item wait at a lane with free slots that is
// overloaded, as between two requests of a flood.
func TestNoBatchRunStartsInAnOverload(t *testing.T) {
	d := newControlled(overloaded{})
	state := State{Life: 1, Sequence: 1, Waiting: []Ask{{ID: 1, Batch: true, BatchPercent: 100, RoomPercent: 100}}}
	for _, test := range []struct {
		at   time.Duration
		want int
	}{{at: 900 * time.Millisecond, want: 0}, {at: 1100 * time.Millisecond, want: 1}} {
		state.Sequence++
		d.ApplyState("n1", state, start.Add(test.at))
		d.Tick(start.Add(test.at))
		if grants := d.Replies()["n1"].Grants; len(grants) != test.want {
			t.Errorf("after %v: got %+v, want %d grants", test.at, grants, test.want)
		}
	}
}

// TestNothingWaitsLongerThanATick changes the lane in each way that lets a waiting request have a
// slot, while the queue is long and has no bound, and checks the grant by the next Tick.
func TestNothingWaitsLongerThanATick(t *testing.T) {
	for name, change := range map[string]func(d *Dispatcher, state *State, now time.Time){
		"a request ends": func(_ *Dispatcher, state *State, _ time.Time) {
			state.Ended, state.Held = []Ended{{ID: state.Held[0].ID, Engine: state.Held[0].Engine}}, state.Held[1:]
		},
		"a request is no longer reported": func(_ *Dispatcher, state *State, _ time.Time) { state.Held = state.Held[1:] },
		"an engine is added":              func(d *Dispatcher, _ *State, now time.Time) { d.SetEngines(entries(2), now) },
		"a request asks for placement":    func(_ *Dispatcher, state *State, _ time.Time) { state.Waiting[3].Place = true },
	} {
		d := NewDispatcher(DefaultDispatcherConfig(), lane, "n0", start)
		d.SetEngines(entries(1), start)
		state := State{Life: 1, Sequence: 1, Held: fullOf(false)}
		for id := range uint64(1000) {
			state.Waiting = append(state.Waiting, ask(id+1))
		}
		d.ApplyState("n1", state, start)
		d.Replies()
		now := start.Add(5 * time.Millisecond)
		state.Sequence = 2
		change(d, &state, now)
		d.ApplyState("n1", state, now)
		if grants := d.Replies()["n1"].Grants; len(grants) == 0 {
			t.Errorf("%s: no request was granted a slot at once", name)
		}
	}
}

// TestFullLaneIsNotSearchedAgain counts the reviews of a full lane while nothing changes.
func TestFullLaneIsNotSearchedAgain(t *testing.T) {
	control := &refuseLast{}
	d := newControlled(control)
	state := State{Life: 1, Held: fullOf(false), Waiting: []Ask{ask(1)}}
	for range 50 {
		state.Sequence++
		d.ApplyState("n1", state, start)
	}
	if control.reviews != 1 {
		t.Errorf("the queue was reviewed %d times, want once", control.reviews)
	}
	d.Tick(start.Add(10 * time.Millisecond))
	if control.reviews != 2 {
		t.Errorf("the queue was reviewed %d times after a tick, want twice", control.reviews)
	}
}

// BenchmarkFullLane applies States to a dispatcher of a full lane with a long queue. Each is the
// whole State of one of 100 nodes; one in ten reports the end of a request.
func BenchmarkFullLane(b *testing.B) {
	const nodes, engines = 100, 60
	for _, queued := range []int{200, 2000} {
		b.Run(fmt.Sprint(queued, " waiting"), func(b *testing.B) {
			d := NewDispatcher(DefaultDispatcherConfig(), lane, "n0", start)
			d.SetEngines(entries(engines), start)
			states := make([]State, nodes)
			for i := range states {
				states[i] = State{Life: uint64(i) + 1}
				for id := range uint64(engines*slots/nodes + 1) {
					engine := EngineHash(enginechoice.Incarnation{ID: fmt.Sprint("e", (i+int(id)*nodes)%engines)})
					states[i].Held = append(states[i].Held, Held{ID: 1_000_000 + id, Engine: engine})
				}
				for id := range uint64(queued / nodes) {
					states[i].Waiting = append(states[i].Waiting, ask(id+1))
				}
			}
			now, next := start, uint64(2_000_000)
			b.ResetTimer()
			for i := range b.N {
				now = now.Add(100 * time.Microsecond)
				node := i % nodes
				state := &states[node]
				state.Sequence++
				if i%10 == 0 {
					next++
					state.Ended = []Ended{{ID: state.Held[0].ID, Engine: state.Held[0].Engine}}
					state.Held = append(state.Held[1:], Held{ID: next, Engine: state.Held[0].Engine})
				}
				d.ApplyState(fmt.Sprint("n", node), *state, now)
				if i%100 == 0 {
					d.Tick(now)
				}
				d.Replies()
				state.Ended = nil
			}
		})
	}
}
