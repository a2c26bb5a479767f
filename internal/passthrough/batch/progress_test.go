package batch

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"testing"

	"ringstream.example/ringstream/internal/passthrough"
)

// Guards against an item with more text than one transaction holds, behind which the progress of no other item
// of its job is saved.
func TestLongTextKeepsNoOtherFromBeingSaved(t *testing.T) {
	service := newTestService(&acceptingStore{})
	service.adopt(testRecord(3), 1, make([]passthrough.Item, 3))
	job := service.ownedJobs()[0]
	for index, eventBytes := range []int{10, 2 * maxSaveBytes / minUnsavedEvents, 10} {
		text := &job.work[index].text
		for event := range minUnsavedEvents {
			text.add(string(rune('a'+event%26)), strings.Repeat("x", eventBytes))
		}
	}
	rows, saved := service.gatherProgress(job, minUnsavedEvents)
	var indexes []int
	for index := range saved {
		indexes = append(indexes, index)
	}
	slices.Sort(indexes)
	if len(rows) != 2 || !slices.Equal(indexes, []int{0, 2}) {
		t.Errorf("%d rows of items %v are saved, want those of items 0 and 2", len(rows), indexes)
	}
}

// textOwner is an owner of a job of one item, whose rows are saved in a map by key.
type textOwner struct {
	service *Service
	job     *ownedJob
	rows    map[string][]byte
}

// newTextOwner returns an owner that has loaded the item's text from the rows.
func newTextOwner(rows map[string][]byte, epoch int64) textOwner {
	record := testRecord(1)
	record.Epoch = epoch
	owner := textOwner{service: newTestService(&acceptingStore{}), job: newOwnedJob(record, epoch, []passthrough.Item{{ID: "item0"}}), rows: rows}
	kept := make(map[int]progress)
	for _, key := range slices.Sorted(maps.Keys(rows)) {
		addPartial(kept, passthrough.Row{Key: key, Value: rows[key]}, 1)
	}
	text := kept[0]
	owner.job.work[0].text = text
	owner.job.work[0].savedEvents = text.loadedEvents()
	return owner
}

// run adds the events of a run until the text has a number of events.
func (o textOwner) run(name, software string, events int) {
	text := &o.job.work[0].text
	text.software = software
	for text.events < events {
		text.add(strconv.Itoa(text.events+1), name)
	}
}

// startAnew discards the text.
func (o textOwner) startAnew() {
	o.service.startAnew(candidate{job: o.job}, "")
}

// unsaved returns the rows that a save puts.
func (o textOwner) unsaved() []passthrough.Row { return o.service.unsavedRows(o.job, 0) }

// save puts the unsaved rows, and has the owner know of it.
func (o textOwner) save() {
	o.land(o.unsaved())
	o.job.work[0].savedEvents = o.job.work[0].text.events
}

func (o textOwner) land(rows []passthrough.Row) {
	for _, row := range rows {
		o.rows[row.Key] = row.Value
	}
}

// forget makes the owner begin with no text.
func (o textOwner) forget() {
	work := &o.job.work[0]
	work.text, work.savedEvents = progress{}, 0
}

// checkThirdOwner checks the text that an owner loads after two others.
func checkThirdOwner(t *testing.T, rows map[string][]byte, want string) {
	t.Helper()
	if got := newTextOwner(rows, 3).runsOfText(); got != want {
		t.Errorf("the third owner has %s, want %s", got, want)
	}
}

// runsOfText tells how many events the text has, the runs that they are of in order, and the last event.
func (o textOwner) runsOfText() string {
	text := o.job.work[0].text
	return fmt.Sprintf("%d of %v after %q", text.events, slices.Compact(slices.Clone(text.pieces)), text.lastEvent)
}

// Guards against a text whose end is of a run that a former owner had, after a row that the next owner has
// written up to where that end begins.
func TestRowsThatALateSaveLeftBehindAreNotJoined(t *testing.T) {
	rows := make(map[string][]byte)
	first := newTextOwner(rows, 1)
	first.run("a", "v1", 60)
	late := first.unsaved()
	first.run("a", "v1", 130)
	first.save()
	first.run("a", "v1", 200)
	first.save()
	first.land(late)
	second := newTextOwner(rows, 2)
	second.run("b", "v1", 130)
	second.save()
	checkThirdOwner(t, rows, `130 of [a b] after "130"`)
}

// Guards against a text that is joined from two owners' runs which both began anew after the same text.
func TestRowsOfTwoOwnersThatBeganAnewAreNotJoined(t *testing.T) {
	rows := make(map[string][]byte)
	first := newTextOwner(rows, 1)
	first.run("a", "v1", 60)
	late := first.unsaved()
	first.startAnew()
	first.run("b", "v2", 60)
	first.save()
	first.run("b", "v2", 130)
	first.save()
	first.land(late)
	second := newTextOwner(rows, 2)
	second.startAnew()
	second.run("c", "v2", 60)
	second.save()
	checkThirdOwner(t, rows, `60 of [c] after "60"`)
}

// Guards against a text that is joined after the end of a row without the id of its last event, which the next
// owner can't go on from.
func TestRowsBehindOneWithoutALastEventAreNotJoined(t *testing.T) {
	rows := make(map[string][]byte)
	first := newTextOwner(rows, 1)
	first.run("a", "v1", 60)
	first.save()
	first.run("a", "v1", 130)
	first.job.work[0].text.lastEvent = ""
	first.save()
	second := newTextOwner(rows, 2)
	second.forget()
	second.run("b", "v1", 60)
	second.save()
	checkThirdOwner(t, rows, `60 of [b] after "60"`)
}

// Guards against an owner of a text that is split over rows which goes on in the middle of it.
func TestTextThatIsSplitOverRowsIsLoadedWhole(t *testing.T) {
	rows := make(map[string][]byte)
	first := newTextOwner(rows, 1)
	first.run(strings.Repeat("a", 1000), "v1", 100)
	first.save()
	second := newTextOwner(rows, 2)
	if text := second.job.work[0].text; len(rows) < 3 || text.events != 100 || text.lastEvent != "100" {
		t.Errorf("%d events after %q of %d rows, want 100 of 3 or more", text.events, text.lastEvent, len(rows))
	}
}

// withoutOwner returns a row as an earlier build saves it.
func withoutOwner(t *testing.T, row passthrough.Row) passthrough.Row {
	t.Helper()
	var piece partial
	if err := json.Unmarshal(row.Value, &piece); err != nil {
		t.Fatal(err)
	}
	piece.Epoch = 0
	value, err := json.Marshal(piece)
	if err != nil {
		t.Fatal(err)
	}
	row.Value = value
	return row
}

// Guards against rows of a former owner that are joined behind those of a later owner of an earlier build.
func TestRowsBehindThoseOfAnEarlierBuildAreNotJoined(t *testing.T) {
	rows := make(map[string][]byte)
	first := newTextOwner(rows, 1)
	first.run("a", "v1", 60)
	first.save()
	first.run("a", "v1", 130)
	first.save()
	second := newTextOwner(rows, 2)
	second.forget()
	second.run("b", "v1", 60)
	for _, row := range second.unsaved() {
		second.land([]passthrough.Row{withoutOwner(t, row)})
	}
	checkThirdOwner(t, rows, `60 of [b] after "60"`)
}

// Guards against text that is lost after an owner of an earlier build: the next one's rows go on behind rows
// which are not joined to them.
func TestTextOfAnEarlierBuildIsSavedAgain(t *testing.T) {
	rows := make(map[string][]byte)
	first := newTextOwner(rows, 1)
	first.run("a", "v1", 60)
	for _, row := range first.unsaved() {
		first.land([]passthrough.Row{withoutOwner(t, row)})
	}
	second := newTextOwner(rows, 2)
	second.run("b", "v1", 130)
	second.save()
	checkThirdOwner(t, rows, `130 of [a b] after "130"`)
}
