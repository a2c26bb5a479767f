package batch

import (
	"slices"
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
