package relay

import (
	"errors"
	"fmt"
	"testing"
)

// eventsOf returns events with ids.
func eventsOf(ids ...int) []byte {
	var text []byte
	for _, id := range ids {
		text = fmt.Appendf(text, "id: %d\ndata: x\n\n", id)
	}
	return text
}

// TestSplitterTellsWhetherARunContinues guards against a run that is joined to the one before though it
// starts anew or leaves events out, and against one that is refused though its ids only rise.
func TestSplitterTellsWhetherARunContinues(t *testing.T) {
	for _, test := range []struct {
		name         string
		last         string // of a stream that a client takes up
		steps        bool
		before, next []byte
		refused      bool
	}{
		{name: "goes on", before: eventsOf(1, 2, 3), next: eventsOf(4, 5)},
		{name: "starts anew", before: eventsOf(1, 2, 3), next: eventsOf(1, 2, 3, 4), refused: true},
		{name: "repeats the last", before: eventsOf(1, 2, 3), next: eventsOf(3, 4), refused: true},
		{name: "leaves one out", before: eventsOf(1, 2, 3), next: eventsOf(5), refused: true},
		{name: "ids rise by more than one", before: eventsOf(10, 20, 25), next: eventsOf(31)},
		{name: "ids rise by more than one and start anew", before: eventsOf(10, 20, 25), next: eventsOf(10), refused: true},
		{name: "one event shows no step", before: eventsOf(10), next: eventsOf(20)},
		{name: "nothing came before", next: eventsOf(1, 2)},
		{name: "a comment first", before: eventsOf(1, 2), next: append([]byte(": ping\n\n"), eventsOf(3)...)},
		{name: "a comment first, then anew", before: eventsOf(1, 2), next: append([]byte(": ping\n\n"), eventsOf(1)...), refused: true},
		{name: "taken up", last: "7", next: eventsOf(8)},
		{name: "taken up, ids rise by more than one", last: "7", next: eventsOf(12)},
		{name: "taken up, starts anew", last: "7", next: eventsOf(1), refused: true},
		{name: "taken up, ids that are no numbers", last: "a", next: eventsOf(1)},
		{name: "item taken up", last: "7", steps: true, next: eventsOf(8)},
		{name: "item taken up, leaves one out", last: "7", steps: true, next: eventsOf(9), refused: true},
	} {
		splitter := NewSplitter(test.last)
		if test.steps {
			splitter.RequireConsecutive()
		}
		if _, err := splitter.Add(test.before); err != nil {
			t.Fatalf("%s: first run: %v", test.name, err)
		}
		splitter.Restart()
		if _, err := splitter.Add(test.next); errors.Is(err, errNotContinued) != test.refused {
			t.Errorf("%s: error %v, want the run refused: %t", test.name, err, test.refused)
		}
	}
}

// TestSplitterDropsRepeatsWithinARun checks that an event which an engine repeats within one run is dropped.
func TestSplitterDropsRepeatsWithinARun(t *testing.T) {
	splitter := NewSplitter("")
	whole, err := splitter.Add(eventsOf(1, 2, 1, 2, 3))
	if want := string(eventsOf(1, 2, 3)); string(whole) != want || err != nil {
		t.Errorf("got %q, %v; want %q", whole, err, want)
	}
	if splitter.RunEvents() != 5 || splitter.Count() != 3 {
		t.Errorf("%d events in the run, %d returned; want 5 and 3", splitter.RunEvents(), splitter.Count())
	}
}
