package explain

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// lateBounds divide late requests by how much they missed their objective.
var lateBounds = []time.Duration{20 * time.Millisecond, 40 * time.Millisecond, 100 * time.Millisecond, 400 * time.Millisecond, time.Second}

// secondsShown is how many of the seconds with late requests are told.
const secondsShown = 10

// delays counts late requests by how much, and by second.
type delays struct {
	first   time.Time // of all lines
	by      []int     // by lateBounds; the last: beyond all of them
	seconds map[int]int
}

func newDelays(lines []Line) *delays {
	counted := &delays{by: make([]int, len(lateBounds)+1), seconds: make(map[int]int)}
	if len(lines) > 0 {
		counted.first = lines[0].At
	}
	return counted
}

// take counts a request that has ended, if it was late.
func (d *delays) take(ended Line) {
	objective, first := duration(ended, "objective"), duration(ended, "first_event")
	if text(ended, "outcome") != "completed" || objective <= 0 || first <= objective {
		return
	}
	place, _ := slices.BinarySearch(lateBounds, first-objective)
	d.by[place]++
	d.seconds[int(ended.At.Sub(d.first).Seconds())]++
}

// rows gives the counts by how much, in order, and those of the worst seconds.
func (d *delays) rows() (by, seconds []Row) {
	for i, count := range d.by {
		if count == 0 {
			continue
		}
		what := fmt.Sprintf("over %s", lateBounds[len(lateBounds)-1])
		if i < len(lateBounds) {
			what = fmt.Sprintf("up to %s", lateBounds[i])
		}
		by = append(by, Row{What: what, Count: count})
	}
	for second, count := range d.seconds {
		seconds = append(seconds, Row{What: fmt.Sprintf("second %d", second), Count: count})
	}
	slices.SortFunc(seconds, func(a, b Row) int { return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.What, b.What)) })
	return by, seconds[:min(len(seconds), secondsShown)]
}

// keptBounds divide stopped runs by the events that they had made.
var keptBounds = []int{0, 10, 50, 100}

// eventsKept names how much a stopped run had made: its prompt and these are read again.
func eventsKept(events int) string {
	for _, bound := range keptBounds {
		if events <= bound {
			return fmt.Sprintf("up to %d events", bound)
		}
	}
	return fmt.Sprintf("over %d events", keptBounds[len(keptBounds)-1])
}

// overLimit names whose limit refused a request, and whether its dispatcher had all
// nodes.
func overLimit(line Line) string {
	what := fmt.Sprintf("%s, %v a second", text(line, "tenant"), line.Fields["per_second"])
	if share, known := line.Fields["share"].(float64); known && share < 1 {
		what += ", counted by a dispatcher that had a part of the nodes"
	}
	return what
}
