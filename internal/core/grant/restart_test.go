package grant

import (
	"testing"
	"time"

	"ringstream.example/ringstream/internal/core/enginechoice"
)

// TestSlotsOfAFormerIncarnationAreNotTakenFromTheNext restarts an engine of four slots
// while all of them are in use, by the dispatcher's grants and by the node's reports. The
// requests of the former incarnation must not use slots of the new one.
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
	if granted := d.exchange(); len(granted) != 4 {
		t.Fatalf("%d grants, want 4", len(granted))
	}
	d.ask(5, Suspect{})
	if granted := d.exchange(); len(granted) != 0 {
		t.Fatalf("granted beyond the slots: %v", granted)
	}
	d.SetEngines([]enginechoice.Listed{list(enginechoice.Ready, next), list(enginechoice.Ended, former)}, d.now)
	d.state.Loads = []Load{{Engine: EngineHash(former), Running: 9, Waiting: 9}} // from the header of a late response
	for id := range uint64(4) {
		d.ask(id+6, Suspect{})
	}
	granted := d.exchange()
	for id, engine := range granted {
		if engine != EngineHash(next) {
			t.Errorf("request %d was granted the former incarnation", id)
		}
	}
	if inFlight, queued := d.Counts(); inFlight != 8 || queued != 1 {
		t.Errorf("%d requests in flight and %d waiting, want four at each incarnation and one waiting", inFlight, queued)
	}
	for id := range uint64(4) {
		d.end(id + 1) // at the former incarnation; no slot of the next becomes free
	}
	if granted := d.exchange(); len(granted) != 0 {
		t.Errorf("granted slots of the former incarnation: %v", granted)
	}
	d.now = d.now.Add(time.Second)
	if own := d.engines.InFlight(); own[former] != (enginechoice.Counts{}) || own[next].Online != 4 {
		t.Errorf("in flight are %v, want 4 online requests at the new incarnation only", own)
	}
}
