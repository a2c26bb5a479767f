package batch

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/zap"

	"ringstream.example/ringstream/internal/core/enginechoice"
	"ringstream.example/ringstream/internal/core/passjob"
	"ringstream.example/ringstream/internal/passthrough"
	"ringstream.example/ringstream/internal/passthrough/catalog"
	"ringstream.example/ringstream/internal/passthrough/slots"
)

func partialRow(t *testing.T, index int, piece partial) passthrough.Row {
	t.Helper()
	value, err := json.Marshal(piece)
	if err != nil {
		t.Fatal(err)
	}
	return passthrough.Row{Table: tablePartial, Key: partialKey("job1", index, piece.First), Value: value}
}

// Guards against texts that join rows from before and after an item started anew.
func TestRowsFromBeforeAnItemStartedAnewAreNotJoined(t *testing.T) {
	first := partial{LastEvent: "2", Pieces: []string{"a", "b"}, Software: "v2", Restarts: 1}
	for name, next := range map[string]partial{
		"another version":  {LastEvent: "4", Pieces: []string{"c", "d"}, First: 2, Software: "v1", Restarts: 1},
		"an earlier start": {LastEvent: "4", Pieces: []string{"c", "d"}, First: 2, Software: "v2"},
		"an earlier build": {LastEvent: "4", Pieces: []string{"c", "d"}, First: 2},
	} {
		kept := make(map[int]progress)
		addPartial(kept, partialRow(t, 0, first), 1)
		addPartial(kept, partialRow(t, 0, next), 1)
		want := progress{pieces: []string{"a", "b"}, events: 2, lastEvent: "2", software: "v2", restarts: 1}
		if difference := cmp.Diff(want, kept[0], cmp.AllowUnexported(progress{})); difference != "" {
			t.Errorf("%s: %s", name, difference)
		}
	}
}

// Guards against texts that join events of two versions at a new owner. A build that saved no version
// with the text of an item may have had it from any; the one version that is listed now need not be it.
func TestTextOfUnknownSoftwareIsNotResumed(t *testing.T) {
	for software, want := range map[string]string{"": "", "v2": "v2"} {
		service := newTestService(&acceptingStore{})
		service.Engines = catalog.NewEngines("n1", nil, nil, zap.NewNop())
		service.Engines.Use(func(set *enginechoice.Set, now time.Time) {
			set.Upsert(enginechoice.Entry{ID: "e1", Pool: "pool", Slots: 4, Software: "v2"}, enginechoice.Ready, now)
		})
		service.adopt(testRecord(1), 1, make([]passthrough.Item, 1))
		job := service.ownedJobs()[0]
		job.work[0].text = progress{pieces: []string{"a", "b"}, events: 2, lastEvent: "2", software: software}
		if got, waiting := service.softwareOf(candidate{job: job}, "pool"); got != want || !waiting {
			t.Errorf("a text of version %q goes on at %q, waiting %t; want %q and true", software, got, waiting, want)
		}
		if kept := job.work[0].text.events; (kept > 0) != (want != "") {
			t.Errorf("a text of version %q: %d events are kept", software, kept)
		}
	}
}

// Guards against rows that begin after events which the store does not have.
func TestTextSavedBeforeAnItemStartedAnewDoesNotCount(t *testing.T) {
	work := itemWork{text: progress{restarts: 1}}
	work.recordSaved(savedText{events: 70})
	if work.savedEvents != 0 {
		t.Errorf("%d events count as saved", work.savedEvents)
	}
	work.recordSaved(savedText{events: 60, restarts: 1})
	if work.savedEvents != 60 {
		t.Errorf("%d events count as saved, want 60", work.savedEvents)
	}
}

// TestItemGoesOnOnlyAtItsVersion guards against a grant by which an item goes on at an engine of another version than
// the one that wrote its text. Its slot was requested before it had text.
func TestItemGoesOnOnlyAtItsVersion(t *testing.T) {
	text := progress{pieces: []string{"a"}, events: 1, lastEvent: "1", software: "v1"}
	fromEarlierBuild := progress{pieces: []string{"a"}, events: 1, lastEvent: "1"}
	if text.mayGoOnAt("v2") || !text.mayGoOnAt("v1") || fromEarlierBuild.mayGoOnAt("v2") || !(&progress{}).mayGoOnAt("v2") {
		t.Error("a text goes on at another version or without one, or an item without text does not start")
	}
	fleet := newRequestTest(t)
	job := fleet.addItems("job", "p", 1, 20)
	job.work[0].text, job.work[0].slotRequestID = text, 7
	decision := slots.Decision{Choice: enginechoice.Choice{Entry: enginechoice.Entry{ID: "e", Software: "v2"}}}
	if fleet.service.startItem(candidate{job: job}, 7, decision, resolvedRoute{}) {
		t.Error("the item was started at an engine of another version")
	}
	if job.work[0].slotRequestID != 0 {
		t.Error("the item still waits under the request that was granted")
	}
}

// TestTextOfAnItemThatWasStartedIsKept guards against a text whose beginning is discarded while a run adds to it, or
// after a run has finished it. Items to start are selected without a lock, and a grant may start one meanwhile.
func TestTextOfAnItemThatWasStartedIsKept(t *testing.T) {
	for name, test := range map[string]struct {
		change func(*itemWork)
		kept   int
	}{
		"waits":    {change: func(*itemWork) {}, kept: 0},
		"runs":     {change: func(work *itemWork) { work.running = true }, kept: 2},
		"finished": {change: func(work *itemWork) { work.finished = passjob.Succeeded }, kept: 2},
	} {
		t.Run(name, func(t *testing.T) {
			fleet := newRequestTest(t) // of engines of version v1
			job := fleet.addItems("job", "p", 1, 20)
			work := &job.work[0]
			work.text = progress{pieces: []string{"a", "b"}, events: 2, lastEvent: "2", software: "v0"}
			waiting := fleet.service.candidates(nil)
			test.change(work)
			fleet.service.selectRequests(fleet.known, waiting)
			if work.text.events != test.kept {
				t.Errorf("%d events are kept, want %d", work.text.events, test.kept)
			}
		})
	}
}

// Guards against a run from the start whose events are added to those of the run before it, of which the last had
// no id.
func TestItemWithoutALastEventStartsAnew(t *testing.T) {
	owner := newTextOwner(make(map[string][]byte), 1)
	owner.service.Engines = catalog.NewEngines("n1", nil, nil, owner.service.Logger)
	owner.run("a", "v1", 3)
	owner.job.work[0].text.add("", "an event without an id")
	if software, waiting := owner.service.softwareOf(candidate{job: owner.job}, "pool"); software != "" || !waiting {
		t.Errorf("it goes on at %q, waiting: %t; want any version", software, waiting)
	}
	if text := owner.job.work[0].text; text.events != 0 || text.restarts != 1 {
		t.Errorf("%d events are kept after %d new starts, want none after 1", text.events, text.restarts)
	}
}
