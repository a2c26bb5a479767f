package relay

import (
	"bytes"
	"errors"
	"testing"
	"time"

	"ringstream.example/ringstream/internal/core/enginechoice"
	"ringstream.example/ringstream/internal/passthrough/memorybudget"
	"ringstream.example/ringstream/internal/passthrough/slots"
)

// TestMovesAreSpread checks that of an engine's streams one may leave at a time.
func TestMovesAreSpread(t *testing.T) {
	var moves recentMoves
	now := time.Now()
	first, second := enginechoice.Incarnation{ID: "a"}, enginechoice.Incarnation{ID: "b"}
	if !moves.allow(first, now) || moves.allow(first, now.Add(moveInterval-1)) || !moves.allow(second, now) {
		t.Error("two streams left one engine at one moment, or none left the other")
	}
	if !moves.allow(first, now.Add(moveInterval)) {
		t.Error("no stream left later")
	}
}

// TestAbandonedEngineIsReadmitted checks that a stream goes back to the engine that it left for
// being slow, once, if no other engine can take it.
func TestAbandonedEngineIsReadmitted(t *testing.T) {
	left, failed := enginechoice.Incarnation{ID: "a"}, enginechoice.Incarnation{ID: "b"}
	state := &exchange{
		excluded:  map[enginechoice.Incarnation]bool{left: true, failed: true},
		abandoned: []enginechoice.Incarnation{left},
	}
	if state.readmitAbandoned(errors.New("another reason")) || !state.excluded[left] {
		t.Error("readmitted while engines are there")
	}
	if !state.readmitAbandoned(slots.ErrNoEngine) || state.excluded[left] || !state.excluded[failed] {
		t.Errorf("excluded: %v", state.excluded)
	}
	if state.readmitAbandoned(slots.ErrNoEngine) {
		t.Error("readmitted twice")
	}
}

// TestReadAheadTellsNoPace checks that what was read ahead of a client is marked, so that its events
// do not count for the engine's pace, and that the end of an answer in it keeps the stream in place.
func TestReadAheadTellsNoPace(t *testing.T) {
	reader := newReadAhead(&bufferedAnswer{Buffer: bytes.NewBufferString("from the engine")}, memorybudget.New(0), func(time.Duration) time.Time { return time.Time{} }, func() {})
	defer reader.close()
	into := make([]byte, 4)
	if _, err := reader.Read(into); err != nil || reader.readFromAhead || reader.hasAhead() {
		t.Errorf("from the engine: %v, ahead %t", err, reader.readFromAhead)
	}
	reader.mu.Lock()
	reader.ahead = []byte("ahead")
	reader.mu.Unlock()
	if _, err := reader.Read(into); err != nil || !reader.readFromAhead || !reader.hasAhead() {
		t.Errorf("from what was read ahead: %v, ahead %t", err, reader.readFromAhead)
	}
}

// bufferedAnswer is an engine's answer that has arrived.
type bufferedAnswer struct{ *bytes.Buffer }

// SetReadDeadline implements deadlineReader.
func (*bufferedAnswer) SetReadDeadline(time.Time) {}
