package measure

import (
	"time"

	"ringstream.example/ringstream/internal/bench/checker"
	"ringstream.example/ringstream/internal/bench/ledger"
	"ringstream.example/ringstream/internal/bench/report"
)

func milliseconds(duration time.Duration) float64 { return duration.Seconds() * 1000 }

// Points returns each completed online request, for plots.
func Points(evidence ledger.Evidence, started time.Time) []report.Point {
	var points []report.Point
	for _, request := range evidence.Requests {
		if request.End != ledger.EndCompleted || request.Resend || request.FirstToken.IsZero() {
			continue
		}
		point := report.Point{
			At:   request.Scheduled.Sub(started).Seconds(),
			TTFT: milliseconds(request.FirstToken.Sub(request.Scheduled)),
		}
		if gap, ok := meanTokenInterval(request); ok {
			point.TPOT = milliseconds(gap)
		}
		points = append(points, point)
	}
	return points
}

// slotInterval is the time resolution of SlotUse.
const slotInterval = 100 * time.Millisecond

// SlotUse returns the use of the engines' slots over time, and the number of finished items
// compared with the ideal schedule.
func SlotUse(evidence ledger.Evidence, engines EngineModel, ideal Ideal, started time.Time) []report.Slots {
	length := evidence.Ended.Sub(started)
	if length <= 0 || started.IsZero() {
		return nil
	}
	slots := make([]report.Slots, int(length/slotInterval)+1)
	total := 0
	for _, slotCount := range engines.Slots {
		total += slotCount
	}
	for i := range slots {
		slots[i].At = (time.Duration(i) * slotInterval).Seconds()
		slots[i].Total = float64(total)
	}
	index := func(at time.Time) int { return min(max(0, int(at.Sub(started)/slotInterval)), len(slots)-1) }
	for _, run := range evidence.Runs {
		if run.Started.IsZero() {
			continue
		}
		end := run.Finished
		if end.IsZero() {
			end = evidence.Ended
		}
		for i := index(run.Started); i <= index(end); i++ {
			part := overlapShare(run.Started, end, started.Add(time.Duration(i)*slotInterval))
			if run.Online {
				slots[i].Online += part
			} else {
				slots[i].Batch += part
			}
		}
		if !run.Online && run.End == ledger.RunFinished {
			slots[index(end)].Done++
		}
	}
	for _, at := range ideal.Finished {
		slots[index(at)].Ideal++
	}
	for i := 1; i < len(slots); i++ {
		slots[i].Done += slots[i-1].Done
		slots[i].Ideal += slots[i-1].Ideal
	}
	return slots
}

// overlapShare returns the share of the slotInterval that begins at interval in which a run was
// active.
func overlapShare(from, to, interval time.Time) float64 {
	if from.Before(interval) {
		from = interval
	}
	if end := interval.Add(slotInterval); to.After(end) {
		to = end
	}
	return max(0, to.Sub(from).Seconds()/slotInterval.Seconds())
}

// Convergence returns the time from the acceptance of each edit until each node showed it.
func Convergence(evidence ledger.Evidence, started time.Time) []report.Convergence {
	var all []report.Convergence
	for _, edit := range evidence.Edits {
		for node := range evidence.Nodes {
			if delay, seen := checker.InForce(edit, node, evidence.Sightings); seen {
				all = append(all, report.Convergence{
					At: edit.Accepted.Sub(started).Seconds(), Row: edit.Row, Node: node, Millis: milliseconds(delay),
				})
			}
		}
	}
	return all
}
