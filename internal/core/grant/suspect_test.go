package grant

import (
	"fmt"
	"testing"
	"time"

	"ringstream.example/ringstream/internal/core/enginechoice"
)

// suspectDispatcher is a dispatcher of engines with 4 slots that is used by one node.
type suspectDispatcher struct {
	*Dispatcher
	state State
	now   time.Time
}

func newSuspectDispatcher(engines int) *suspectDispatcher {
	now := time.Unix(1000, 0)
	lane := Lane{Pool: "p", Parts: 1}
	d := &suspectDispatcher{Dispatcher: NewDispatcher(DefaultDispatcherConfig(), lane, "self", now), state: State{Life: 1}, now: now}
	var listed []enginechoice.Listed
	for i := range engines {
		listed = append(listed, enginechoice.Listed{Entry: enginechoice.Entry{ID: fmt.Sprint("e", i), Pool: "p", Slots: 4}})
	}
	d.SetEngines(listed, now)
	return d
}

// exchange sends the node's State and returns the EngineHash of each new grant, by Ask.ID.
func (d *suspectDispatcher) exchange() map[uint64]uint64 {
	d.state.Sequence++
	d.now = d.now.Add(10 * time.Millisecond)
	d.ApplyState("n", d.state, d.now)
	granted := make(map[uint64]uint64)
	for _, given := range d.Replies()["n"].Grants {
		granted[given.ID] = given.Engine
		for i, ask := range d.state.Waiting {
			if ask.ID == given.ID {
				d.state.Held = append(d.state.Held, Held{ID: ask.ID, Engine: given.Engine, Suspect: ask.Suspect})
				d.state.Waiting = append(d.state.Waiting[:i:i], d.state.Waiting[i+1:]...)
				break
			}
		}
	}
	return granted
}

func (d *suspectDispatcher) ask(id uint64, suspect Suspect) {
	d.state.Waiting = append(d.state.Waiting, Ask{ID: id, DueIn: time.Second, OwnTokens: 10, Suspect: suspect})
}

func (d *suspectDispatcher) end(id uint64) {
	for i, held := range d.state.Held {
		if held.ID == id {
			d.state.Held = append(d.state.Held[:i:i], d.state.Held[i+1:]...)
			d.state.Ended = append(d.state.Ended, Ended{ID: id, Engine: held.Engine})
			return
		}
	}
}

// TestSuspectContentRunsOnceAtATime has requests with the same suspected content wait for
// each other. Another request must not wait for them.
func TestSuspectContentRunsOnceAtATime(t *testing.T) {
	d := newSuspectDispatcher(3)
	for id := range uint64(3) {
		d.ask(id+1, Suspect{Content: 7, Crashes: 1})
	}
	d.ask(9, Suspect{})
	granted := d.exchange()
	if len(granted) != 2 || granted[9] == 0 {
		t.Fatalf("granted %v, want one request of the suspected content and request 9", granted)
	}
	if again := d.exchange(); len(again) > 0 {
		t.Errorf("granted %v while a request with the same content is in flight", again)
	}
	for id := range granted {
		if id != 9 {
			d.end(id)
		}
	}
	if next := d.exchange(); len(next) != 1 {
		t.Errorf("granted %v after the request had ended, want one request", next)
	}
}

// TestSuspectsRunApart has contents that have crashed two engines each run at separate
// engines. Other requests must avoid those engines while another has a free slot, and a
// suspect without an engine of its own must wait until it asks for placement.
func TestSuspectsRunApart(t *testing.T) {
	d := newSuspectDispatcher(3)
	for id := range uint64(3) {
		d.ask(id+1, Suspect{Content: 100 + id, Crashes: 2})
	}
	granted := d.exchange()
	engines := make(map[uint64]bool)
	for _, engine := range granted {
		engines[engine] = true
	}
	if len(granted) != 3 || len(engines) != 3 {
		t.Fatalf("granted %v, want 3 requests at 3 engines", granted)
	}
	d.ask(4, Suspect{Content: 200, Crashes: 2})
	if next := d.exchange(); len(next) > 0 {
		t.Errorf("granted %v at an engine with another suspect", next)
	}
	d.end(1)
	if next := d.exchange(); next[4] != granted[1] {
		t.Errorf("granted %v, want the engine without suspects", next)
	}
	d.end(2)
	d.ask(20, Suspect{})
	if next := d.exchange(); next[20] != granted[2] {
		t.Errorf("granted %v to a request that is not a suspect, want the engine without suspects", next)
	}
	d.ask(5, Suspect{Content: 300, Crashes: 2})
	d.ask(6, Suspect{Content: 301, Crashes: 2})
	if next := d.exchange(); len(next) != 1 {
		t.Errorf("granted %v, want one request", next)
	}
	d.state.Waiting[0].Place = true
	if next := d.exchange(); len(next) != 1 {
		t.Errorf("granted %v to a request that asks for placement, want one grant", next)
	}
}

// TestNewDispatcherKnowsSuspects checks that a new dispatcher learns of suspects from the
// in-flight requests that nodes report.
func TestNewDispatcherKnowsSuspects(t *testing.T) {
	d := newSuspectDispatcher(1)
	d.state.Held = []Held{{ID: 1, Engine: EngineHash(enginechoice.Incarnation{ID: "e0"}), Suspect: Suspect{Content: 7, Crashes: 1}}}
	d.ask(2, Suspect{Content: 7, Crashes: 1})
	if granted := d.exchange(); len(granted) > 0 {
		t.Errorf("granted %v while a request with the same content is in flight", granted)
	}
}

// Guards against an item that waits for ever for an engine without suspects, which run for long.
func TestSuspectItemRunsBesideOtherSuspectsInTheEnd(t *testing.T) {
	for name, crashes := range map[string]int{"one crash": 1, "isolated": isolationCrashes} {
		engines := sizedEntries(2, engineMemory)
		b := newBatchLane(engines)
		for i, listed := range engines {
			id := uint64(i) + 1
			b.state.Held = append(b.state.Held, Held{ID: id, Engine: EngineHash(listed.Entry.Incarnation()), Started: true, Suspect: Suspect{Content: id, Crashes: 3}})
		}
		b.run(laneStep)
		b.ask(Ask{ID: 3, MemoryTokens: 100, DueIn: time.Minute, Suspect: Suspect{Content: 3, Crashes: crashes}})
		b.run(maxIsolationWait / 2)
		if b.hasBegun(3) != (crashes < isolationCrashes) {
			t.Errorf("%s: begun at an engine with another suspect: %t", name, b.hasBegun(3))
		}
		b.run(maxIsolationWait)
		if !b.hasBegun(3) {
			t.Errorf("%s: not begun after %v", name, maxIsolationWait)
		}
	}
}

// Guards against requests suspected of crashing engines that wait for engines without items under which engines
// ended, so that it shows later which request is the cause.
func TestSuspectsDoNotAvoidItems(t *testing.T) {
	d := newSuspectDispatcher(1)
	d.state.Held = []Held{{ID: 1, Engine: EngineHash(enginechoice.Incarnation{ID: "e0"}), Batch: true, Started: true, Suspect: Suspect{Content: 7, Crashes: 5}}}
	d.ask(2, Suspect{Content: 8, Crashes: 3})
	if granted := d.exchange(); granted[2] == 0 {
		t.Error("a suspect has no engine")
	}
}

// Guards against an item that runs twice at a time after its job was taken over.
func TestSuspectItemRunsOnceAtATime(t *testing.T) {
	b := newBatchLane(sizedEntries(2, engineMemory))
	for id := range uint64(2) {
		b.ask(Ask{ID: 1 + id, MemoryTokens: 100, DueIn: time.Minute, Suspect: Suspect{Content: 7, Crashes: 1}})
	}
	b.run(2 * maxIsolationWait)
	if len(b.begun) != 1 {
		t.Errorf("%d runs have begun, want 1", len(b.begun))
	}
}

// Guards against a suspect item whose prompt needs most of an engine, and that small items starve.
func TestLargeSuspectItemIsNotStarvedBySmallOnes(t *testing.T) {
	for crashes := 1; crashes <= isolationCrashes+1; crashes++ {
		b := newBatchLane(sizedEntries(2, engineMemory))
		b.runBesideSmallOnes(Ask{ID: 1, MemoryTokens: 900, DueIn: time.Minute, Suspect: Suspect{Content: 1, Crashes: crashes}})
		if !b.hasBegun(1) {
			t.Errorf("after %d crashes: no engine within %v", crashes, besideSmallOnes)
		}
		if small := len(b.begun) - 1; small < 25 {
			t.Errorf("after %d crashes: %d small requests have begun beside it, want 25 or more", crashes, small)
		}
	}
}
