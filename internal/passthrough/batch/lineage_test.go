package batch

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"ringstream.example/ringstream/internal/passthrough"
)

// lineage is a model of an item's owners, its runs and the saves of its text.
type lineage struct {
	owner   textOwner
	epoch   int64
	pending [][]passthrough.Row // saves of the owner whose outcome is unknown
	runs    map[string]string   // the piece before each run's first; empty for a run that began anew
	starts  map[string]int      // the number of events before each run's first
}

// pieceBytes is the size of a piece of text, by which a row is full after 90 of them.
const pieceBytes = 400

// write has a new run write events after those that the owner has, as the scheduler asks for it.
func (l *lineage) write(software string, events int) {
	text := &l.owner.job.work[0].text
	if text.lastEvent == "" {
		l.owner.startAnew()
	}
	name := fmt.Sprintf("%d.", len(l.runs))
	name += strings.Repeat("x", pieceBytes-len(name))
	l.runs[name], l.starts[name] = "", text.events
	if text.events > 0 {
		l.runs[name], software = text.pieces[text.events-1], text.software
	}
	l.owner.run(name, software, text.events+events)
}

// takeOver has the next owner load the text. No save of the one before it lands from then on.
func (l *lineage) takeOver() {
	l.epoch++
	l.pending = nil
	l.owner = newTextOwner(l.owner.rows, l.epoch)
	if work := &l.owner.job.work[0]; work.text.lastEvent == "" {
		work.text, work.savedEvents = progress{}, 0
	}
}

// check fails unless each run in the owner's text begins where it was asked to go on, behind the run that it
// went on from.
func (l *lineage) check(t *rapid.T) {
	before := ""
	for i, piece := range l.owner.job.work[0].text.pieces {
		if piece != before && (l.starts[piece] != i || l.runs[piece] != before) {
			t.Fatalf("epoch %d: after %d events of run %.3q the text goes on with run %.3q, which went on after %d of run %.3q", l.epoch, i, before, piece, l.starts[piece], l.runs[piece])
		}
		before = piece
	}
}

// TestSavedTextsOfAnyOwnersAreOfRunsThatContinue guards against a text that is joined from rows of several owners
// or runs, in any order of runs, saves, late saves, new starts and takeovers.
func TestSavedTextsOfAnyOwnersAreOfRunsThatContinue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := &lineage{owner: newTextOwner(make(map[string][]byte), 1), epoch: 1, runs: make(map[string]string), starts: make(map[string]int)}
		t.Repeat(map[string]func(*rapid.T){
			"": l.check,
			"write": func(t *rapid.T) {
				l.write(rapid.SampledFrom([]string{"v1", "v2"}).Draw(t, "software"), 30*rapid.IntRange(1, 4).Draw(t, "events"))
			},
			"save": func(*rapid.T) { l.owner.save() },
			"save, outcome unknown": func(t *rapid.T) {
				rows := l.owner.unsaved()
				if rapid.Bool().Draw(t, "landed") {
					l.owner.land(rows)
				} else {
					l.pending = append(l.pending, rows)
				}
			},
			"late save": func(t *rapid.T) {
				if len(l.pending) == 0 {
					t.Skip("none is pending")
				}
				at := rapid.IntRange(0, len(l.pending)-1).Draw(t, "which")
				l.owner.land(l.pending[at])
				l.pending = slices.Delete(l.pending, at, at+1)
			},
			"another item is listed": func(*rapid.T) { l.pending = nil },
			"an event without an id": func(*rapid.T) { l.owner.job.work[0].text.lastEvent = "" },
			"start anew":             func(*rapid.T) { l.owner.startAnew() },
			"take over":              func(*rapid.T) { l.takeOver() },
		})
	})
}
