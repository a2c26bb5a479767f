package explain

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// latenessBounds are the histogram bounds for the time by which late requests
// missed their objective.
var latenessBounds = []time.Duration{20 * time.Millisecond, 40 * time.Millisecond, 100 * time.Millisecond, 400 * time.Millisecond, time.Second}

// maxSecondsShown limits how many of the seconds with late requests are listed.
const maxSecondsShown = 10

// delays counts late requests by lateness and by second.
type delays struct {
	first      time.Time // time of the first line
	byLateness []int     // by latenessBounds; the last element counts those above all bounds
	seconds    map[int]int
}

func newDelays(lines []Line) *delays {
	counted := &delays{byLateness: make([]int, len(latenessBounds)+1), seconds: make(map[int]int)}
	if len(lines) > 0 {
		counted.first = lines[0].At
	}
	return counted
}

// record counts the request of a "request ended" line if it was late.
func (d *delays) record(ended Line) {
	objective, first := duration(ended, "objective"), duration(ended, "first_event")
	if text(ended, "outcome") != "completed" || objective <= 0 || first <= objective {
		return
	}
	bucket, _ := slices.BinarySearch(latenessBounds, first-objective)
	d.byLateness[bucket]++
	d.seconds[int(ended.At.Sub(d.first).Seconds())]++
}

// rows returns the counts by lateness, in ascending order, and the seconds with
// the most late requests.
func (d *delays) rows() (lateness, seconds []Row) {
	for i, count := range d.byLateness {
		if count == 0 {
			continue
		}
		label := fmt.Sprintf("over %s", latenessBounds[len(latenessBounds)-1])
		if i < len(latenessBounds) {
			label = fmt.Sprintf("up to %s", latenessBounds[i])
		}
		lateness = append(lateness, Row{Label: label, Count: count})
	}
	for second, count := range d.seconds {
		seconds = append(seconds, Row{Label: fmt.Sprintf("second %d", second), Count: count})
	}
	slices.SortFunc(seconds, func(a, b Row) int { return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Label, b.Label)) })
	return lateness, seconds[:min(len(seconds), maxSecondsShown)]
}

// keptEventBounds are the histogram bounds for the events that stopped runs had
// produced.
var keptEventBounds = []int{0, 10, 50, 100}

// keptEventsLabel returns the range of the events that a stopped run had produced.
// When the run resumes, an engine has to process its prompt and these events again.
func keptEventsLabel(events int) string {
	for _, bound := range keptEventBounds {
		if events <= bound {
			return fmt.Sprintf("up to %d events", bound)
		}
	}
	return fmt.Sprintf("over %d events", keptEventBounds[len(keptEventBounds)-1])
}

// overLimitLabel names the tenant and the limit that refused a request, and whether its
// dispatcher counted only a part of the nodes.
func overLimitLabel(line Line) string {
	label := fmt.Sprintf("%s, %v a second", text(line, "tenant"), line.Fields["per_second"])
	if share, known := line.Fields["share"].(float64); known && share < 1 {
		label += ", counted by a dispatcher that had a part of the nodes"
	}
	return label
}
