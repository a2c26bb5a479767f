package measure

import (
	"slices"
	"time"

	"ringstream.example/ringstream/internal/bench/ledger"
)

// EngineModel is the stand-ins' own timing.
type EngineModel struct {
	Slots           map[string]int // sequences that fit at once, by engine
	StepBase        time.Duration
	StepPerSequence time.Duration
	StepPerPrefill  time.Duration
	PrefixTokens    map[string]int // prompt tokens that a cache can hold, by class
}

// Ideal is how fast a scheduler that knows everything would have done the
// batch work of a run on the places that online requests left.
type Ideal struct {
	// Busy is the time during which it has work.
	Busy time.Duration
	// Finished gives when each item ends, in order.
	Finished []time.Time
}

// tick is the step of the ideal schedule.
const tick = 20 * time.Millisecond

// idealItem is one item's work.
type idealItem struct {
	accepted time.Time
	tokens   float64
	prefill  time.Duration // of engine time
}

// Schedule gives the ideal schedule. The work is what the items of accepted
// jobs took (of a cancelled job, what was really done), longest first; the
// places are those of all engines without online's, second by second, from the
// engines' own records. Each tick, as many items as there are places advance by
// the model's time for a step at that fill. It ignores zones, queues, reports
// that lag and any harm to online, so that no real scheduler reaches it.
func Schedule(evidence ledger.Evidence, engines EngineModel) Ideal {
	items := idealItems(evidence, engines)
	if len(items) == 0 {
		return Ideal{}
	}
	total := 0
	for _, places := range engines.Slots {
		total += places
	}
	machine := idealMachine{engines: engines, places: total, online: onlineBusy(evidence)}
	return machine.run(items)
}

func idealItems(evidence ledger.Evidence, engines EngineModel) []idealItem {
	var items []idealItem
	for _, job := range evidence.Jobs {
		if job.Accepted.IsZero() {
			continue
		}
		for _, item := range job.Items {
			tokens := item.MaxTokens
			if !job.CancelSent.IsZero() {
				tokens = 0
				for _, run := range evidence.RunsOf(item.Name) {
					tokens += run.Tokens
				}
			}
			if tokens == 0 {
				continue
			}
			const bytesPerToken = 4
			uncached := max(0, len(item.Prompt)/bytesPerToken-engines.PrefixTokens[job.Class])
			items = append(items, idealItem{
				accepted: job.Accepted, tokens: float64(tokens),
				prefill: time.Duration(uncached) * engines.StepPerPrefill,
			})
		}
	}
	slices.SortStableFunc(items, func(a, b idealItem) int { return a.accepted.Compare(b.accepted) })
	return items
}

// onlineBusy gives the spans in which online sequences held places.
func onlineBusy(evidence ledger.Evidence) []span {
	var busy []span
	for _, run := range evidence.Runs {
		if !run.Online || run.Started.IsZero() {
			continue
		}
		end := run.Finished
		if end.IsZero() {
			end = evidence.Ended
		}
		busy = append(busy, span{run.Started, end})
	}
	return busy
}

type idealMachine struct {
	engines EngineModel
	places  int
	online  []span
}

// run advances the items tick by tick until none is left.
func (m idealMachine) run(items []idealItem) Ideal {
	var ideal Ideal
	var waiting, active []idealItem
	now := items[0].accepted
	for len(items)+len(waiting)+len(active) > 0 {
		arrived := false
		for len(items) > 0 && !items[0].accepted.After(now) {
			waiting = append(waiting, items[0])
			items = items[1:]
			arrived = true
		}
		if arrived {
			slices.SortStableFunc(waiting, func(a, b idealItem) int { return int(b.tokens - a.tokens) })
		}
		if len(waiting)+len(active) > 0 {
			ideal.Busy += tick
		}
		online := overlapping(m.online, now)
		room := max(0, m.places-online)
		var prefill time.Duration
		for len(waiting) > 0 && len(active) < room {
			prefill += waiting[0].prefill
			active = append(active, waiting[0])
			waiting = waiting[1:]
		}
		active = m.advance(active, room, online, prefill)
		now = now.Add(tick)
		kept := active[:0]
		for _, item := range active {
			if item.tokens > 0 {
				kept = append(kept, item)
			} else {
				ideal.Finished = append(ideal.Finished, now)
			}
		}
		active = kept
	}
	return ideal
}

// advance gives the first room items the tokens of one tick.
func (m idealMachine) advance(active []idealItem, room, online int, prefill time.Duration) []idealItem {
	count := len(m.engines.Slots)
	moving := min(room, len(active))
	perEngine := float64(moving+online) / float64(count)
	step := m.engines.StepBase + time.Duration(perEngine*float64(m.engines.StepPerSequence))
	usable := max(0, tick-prefill/time.Duration(count))
	tokens := float64(usable) / float64(step)
	for i := range moving {
		active[i].tokens -= tokens
	}
	return active
}

func overlapping(busy []span, at time.Time) int {
	count := 0
	for _, one := range busy {
		if !one.from.After(at) && one.to.After(at) {
			count++
		}
	}
	return count
}
