package grant

import (
	"testing"
	"time"

	"ringstream.example/ringstream/internal/core/enginechoice"
)

// TestSlotsOfAFormerIncarnationAreNotTakenFromTheNext has an engine of four slots start
// again while all of them are in use, by the dispatcher's grants and as its node tells.
func TestSlotsOfAFormerIncarnationAreNotTakenFromTheNext(t *testing.T) {
	d := newSuspectDispatcher(0)
	former, next := enginechoice.Incarnation{ID: "e0", Born: 1000}, enginechoice.Incarnation{ID: "e0", Born: 2000}
	list := func(state enginechoice.State, engine enginechoice.Incarnation) enginechoice.Listed {
		return enginechoice.Listed{Entry: enginechoice.Entry{ID: engine.ID, Born: engine.Born, Pool: "p", Slots: 4}, State: state}
	}
	d.SetEngines([]enginechoice.Listed{list(enginechoice.Ready, former)}, d.now)
	for id := range uint64(4) {
		d.ask(id+1, Suspect{})
	}
	if granted := d.tell(); len(granted) != 4 {
		t.Fatalf("%d grants", len(granted))
	}
	d.ask(5, Suspect{})
	if granted := d.tell(); len(granted) != 0 {
		t.Fatalf("granted beyond the slots: %v", granted)
	}
	d.SetEngines([]enginechoice.Listed{list(enginechoice.Ready, next), list(enginechoice.Ended, former)}, d.now)
	d.state.Loads = []Load{{Engine: EngineHash(former), Running: 9, Waiting: 9}} // from an answer's head
	for id := range uint64(4) {
		d.ask(id+6, Suspect{})
	}
	granted := d.tell()
	for id, engine := range granted {
		if engine != EngineHash(next) {
			t.Errorf("request %d may go to the former", id)
		}
	}
	if underWay, queued := d.Counts(); underWay != 8 || queued != 1 {
		t.Errorf("%d requests under way and %d wait, want four at each incarnation and one", underWay, queued)
	}
	for id := range uint64(4) {
		d.end(id + 1) // at the former: nothing is free at the next
	}
	if granted := d.tell(); len(granted) != 0 {
		t.Errorf("granted what the former had: %v", granted)
	}
	d.now = d.now.Add(time.Second)
	if own := d.engines.Own(); own[former] != (enginechoice.Counts{}) || own[next].Online != 4 {
		t.Errorf("counted: %v", own)
	}
}
