package grant

import (
	"testing"
	"time"

	"ringstream.example/ringstream/internal/core/enginechoice"
)

// fixedSpeeds knows the slowness of some engines.
type fixedSpeeds struct {
	equalSpeeds
	slowness map[string]float64 // by engine ID
	reported bool
	silences int
}

func (f *fixedSpeeds) Review(time.Time) []SpeedChange {
	if f.reported {
		return nil
	}
	f.reported = true
	var changes []SpeedChange
	for id, slowness := range f.slowness {
		changes = append(changes, SpeedChange{Engine: enginechoice.Incarnation{ID: id}, Slowness: slowness})
	}
	return changes
}

func (f *fixedSpeeds) Speed(engine enginechoice.Incarnation) enginechoice.Speed {
	return enginechoice.Speed{Slowness: f.slowness[engine.ID]}
}

func (f *fixedSpeeds) ObserveSilence(enginechoice.Incarnation, RequestKey, FirstToken, Observed) {
	f.silences++
}

// newSlowLane returns the dispatcher of a lane with engines e0 and e1, of which e1 is slow. The
// first token of a request takes 20 ms.
func newSlowLane(slowness float64) (*Dispatcher, *fixedSpeeds) {
	speeds := &fixedSpeeds{slowness: map[string]float64{"e1": slowness}}
	dispatcher := NewDispatcher(DefaultDispatcherConfig(), lane, "n0", start)
	dispatcher.UsePolicies(Policies{Speeds: speeds})
	dispatcher.SetEngines(entries(2), start)
	dispatcher.firstTokens.observe(FirstToken{PromptTokens: 100, Elapsed: 20 * time.Millisecond})
	dispatcher.Tick(start)
	return dispatcher, speeds
}

func asks(count int, dueIn time.Duration) []Ask {
	var list []Ask
	for id := range count {
		list = append(list, Ask{ID: uint64(id) + 1, OwnTokens: 100, DueIn: dueIn})
	}
	return list
}

// TestSlowEngineAfterFreeSlots checks that the free slots of the usual speed are granted first and
// those of a slow engine next, at which the requests are still in time.
func TestSlowEngineAfterFreeSlots(t *testing.T) {
	dispatcher, _ := newSlowLane(4)
	dispatcher.ApplyState("n1", State{Life: 1, Sequence: 1, Waiting: asks(2*slots, 300*time.Millisecond)}, start)
	grants := dispatcher.Replies()["n1"].Grants
	if len(grants) != 2*slots {
		t.Fatalf("%d grants", len(grants))
	}
	for i, granted := range grants {
		want := 1.0
		if i >= slots {
			want = 4
		}
		if granted.Slowness != want {
			t.Errorf("grant %d: slowness %g, want %g", i, granted.Slowness, want)
		}
	}
}

// TestLateAtSlowEngineWaits checks that a request that would be late at a slow engine waits for a
// slot of the usual speed while it can be in time there, and takes the slow one after that.
func TestLateAtSlowEngineWaits(t *testing.T) {
	dispatcher, _ := newSlowLane(4)
	waiting := asks(slots+1, 70*time.Millisecond)
	dispatcher.ApplyState("n1", State{Life: 1, Sequence: 1, Waiting: waiting}, start)
	if grants := dispatcher.Replies()["n1"].Grants; len(grants) != slots {
		t.Fatalf("%d grants beside a slow engine", len(grants))
	}
	dispatcher.Tick(start.Add(45 * time.Millisecond))
	if grants := dispatcher.Replies()["n1"].Grants; len(grants) != 0 {
		t.Fatalf("granted %+v while a free slot can be in time", grants)
	}
	dispatcher.Tick(start.Add(55 * time.Millisecond))
	if grants := dispatcher.Replies()["n1"].Grants; len(grants) != 1 || grants[0].Slowness != 4 {
		t.Fatalf("granted %+v to a request that is late anyway", grants)
	}
}

// TestSilencesAreObserved checks that each State of a node tells of its online requests that wait
// for their first token, and that first tokens of slow engines are not expected of others.
func TestSilencesAreObserved(t *testing.T) {
	dispatcher, speeds := newSlowLane(4)
	dispatcher.ApplyState("n1", State{Life: 1, Sequence: 1, Waiting: asks(1, 300*time.Millisecond)}, start)
	held := Held{ID: 1, Engine: dispatcher.Replies()["n1"].Grants[0].Engine}
	dispatcher.ApplyState("n1", State{Life: 1, Sequence: 2, Held: []Held{held}}, start.Add(50*time.Millisecond))
	held.Started = true
	slow := EngineHash(enginechoice.Incarnation{ID: "e1"})
	firsts := []FirstToken{{PromptTokens: 100, Elapsed: time.Second, Engine: slow}}
	dispatcher.ApplyState("n1", State{Life: 1, Sequence: 3, Held: []Held{held}, Firsts: firsts}, start.Add(60*time.Millisecond))
	if speeds.silences != 1 {
		t.Errorf("%d silences", speeds.silences)
	}
	if expected := dispatcher.firstTokens.expected(100); expected != 20*time.Millisecond {
		t.Errorf("expected %v to the first token", expected)
	}
}

// TestPacesOfOneMessage checks that a message has at most one pace of an engine, of a bounded
// number of engines.
func TestPacesOfOneMessage(t *testing.T) {
	requester := NewRequester(DefaultRequesterConfig(), 1, "z1")
	for i := range 2 * maxPaces {
		for range 2 {
			requester.RecordPace(Pace{Engine: uint64(i), Events: 3, Elapsed: time.Second})
		}
	}
	paces := requester.nextState(start, nil).Paces
	if len(paces) != maxPaces || paces[0] != (Pace{Engine: 0, Events: 6, Elapsed: 2 * time.Second}) {
		t.Errorf("%d paces, the first %+v", len(paces), paces[0])
	}
	if again := requester.nextState(start, nil).Paces; len(again) != 0 {
		t.Errorf("sent again: %+v", again)
	}
}

// TestSilenceOfUnlistedEngine checks that a request held at an engine that was removed tells
// nothing of it, since what was known about it has been dropped.
func TestSilenceOfUnlistedEngine(t *testing.T) {
	dispatcher, speeds := newSlowLane(4)
	dispatcher.ApplyState("n1", State{Life: 1, Sequence: 1, Waiting: asks(1, 300*time.Millisecond)}, start)
	held := Held{ID: 1, Engine: dispatcher.Replies()["n1"].Grants[0].Engine}
	dispatcher.UpdateEngines(nil, []enginechoice.Incarnation{{ID: "e0"}}, start)
	dispatcher.ApplyState("n1", State{Life: 1, Sequence: 2, Held: []Held{held}}, start.Add(50*time.Millisecond))
	if speeds.silences != 0 {
		t.Errorf("%d silences", speeds.silences)
	}
}
