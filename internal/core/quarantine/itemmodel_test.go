package quarantine

import (
	"fmt"
	"testing"
	"time"
)

// modelItems is the number of items that the model has at a time. Items run for seconds, crash no engine,
// and come again until they are complete.
const modelItems = 24

// itemRecording is a way to record the crashes under items.
type itemRecording int

const (
	noItems           itemRecording = iota // the model has no items
	itemsAsContents                        // and blocked as contents are
	itemsUnblocked                         // as contents, and not blocked
	itemsUnrecorded                        // not at all
	itemsAsThemselves                      // under digests of their own
)

// recorded returns the digest under which a request's crashes are recorded, and whether they are.
func (w itemRecording) recorded(request *modelRequest) (Digest, bool) {
	switch {
	case !request.item || w == itemsAsContents || w == itemsUnblocked:
		return request.content, true
	default:
		return request.content.Item(), w == itemsAsThemselves
	}
}

// addItems keeps the number of items at modelItems.
func (m *model) addItems() {
	for m.itemRecording != noItems && m.openItems < modelItems {
		m.openItems++
		m.itemsAdded++
		m.waiting = append(m.waiting, &modelRequest{content: contentNamed(fmt.Sprint("item", m.itemsAdded)), item: true, node: m.random.IntN(modelNodes), engine: -1, notBefore: m.now})
	}
}

// retryItem queues an item after its pause.
func (m *model) retryItem(request *modelRequest) {
	request.notBefore = m.now.Add(firstItemPause)
	if m.itemRecording == itemsAsThemselves {
		request.notBefore = m.now.Add(ItemPause(m.detectors[request.node].crashCount(request.content.Item(), m.now)))
	}
	m.waiting = append(m.waiting, request)
}

// holdsItem reports whether an item is blocked, and queues it for a later check if so.
func (m *model) holdsItem(request *modelRequest) bool {
	if m.itemRecording != itemsAsContents || m.detectors[request.node].allows(request.content, m.now) {
		return false
	}
	request.notBefore = m.now.Add(time.Second)
	m.waiting = append(m.waiting, request)
	return true
}

// Guards against requests that are refused, or that go on to crash engines, since engines that run items
// end too.
func TestBoundHoldsBesideItemsInTheModel(t *testing.T) {
	result := runModelsWithItems(*modelRuns, itemsAsThemselves)
	t.Logf("%+v", result)
	if result.maxLate > maxLateRuns || result.innocentsRefused > 0 {
		t.Errorf("late runs of one content %d, want %d at most; innocent requests refused %d, want none", result.maxLate, maxLateRuns, result.innocentsRefused)
	}
}

// BenchmarkModelWithItems compares ways to record the crashes under items. docs/decisions quote its figures.
func BenchmarkModelWithItems(b *testing.B) {
	for _, way := range []struct {
		name      string
		recording itemRecording
	}{{"as contents", itemsAsContents}, {"as contents, not blocked", itemsUnblocked}, {"not recorded", itemsUnrecorded}, {"as items", itemsAsThemselves}} {
		b.Run(way.name, func(b *testing.B) {
			for b.Loop() {
				sum := runModelsWithItems(*modelRuns, way.recording)
				b.ReportMetric(float64(sum.innocentsRefused), "refused")
				b.ReportMetric(float64(sum.innocentsServed), "served")
				b.ReportMetric(float64(sum.guiltyRuns), "guilty-runs")
				b.ReportMetric(float64(sum.lateRuns), "late-runs")
				b.ReportMetric(float64(sum.maxLate), "most-late-runs")
				b.ReportMetric(float64(sum.itemsServed), "items")
			}
		})
	}
}
