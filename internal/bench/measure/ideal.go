package measure

import (
	"slices"
	"time"

	"ringstream.example/ringstream/internal/bench/ledger"
)

// EngineModel is the timing model of the engine stand-ins.
type EngineModel struct {
	Slots               map[string]int // sequences that run at once, by engine
	StepBase            time.Duration
	StepPerSequence     time.Duration
	StepPerPrefillToken time.Duration
	PrefixTokens        map[string]int // prompt tokens that a prefix cache can hold, by class
}

// Ideal is the speed at which a scheduler with complete knowledge would have done the batch work of
// a run in the slots that online requests left free.
type Ideal struct {
	// Busy is the time during which the scheduler has work.
	Busy time.Duration
	// Finished is the end time of each item, in order.
	Finished []time.Time
}

// scheduleTick is the time step of the ideal schedule.
const scheduleTick = 20 * time.Millisecond

// idealItem is the work of one item.
type idealItem struct {
	accepted time.Time
	tokens   float64
	prefill  time.Duration // engine time for prefill
}

// Schedule computes the ideal schedule. The work consists of the items of accepted jobs, longest
// first; for a cancelled job it is the work that was really done. The free slots are the slots of
// all engines minus those of online sequences at that time, according to the engines' own records.
// In each tick, as many items as there are free slots advance at the model's speed for that load.
// The schedule ignores zones, queues, stale reports and any harm to online requests, so no real
// scheduler can reach it.
func Schedule(evidence ledger.Evidence, engines EngineModel) Ideal {
	items := idealItems(evidence, engines)
	if len(items) == 0 {
		return Ideal{}
	}
	total := 0
	for _, slots := range engines.Slots {
		total += slots
	}
	machine := idealMachine{engines: engines, slots: total, online: onlineSpans(evidence)}
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
				prefill: time.Duration(uncached) * engines.StepPerPrefillToken,
			})
		}
	}
	slices.SortStableFunc(items, func(a, b idealItem) int { return a.accepted.Compare(b.accepted) })
	return items
}

// onlineSpans returns the time spans in which online sequences held slots.
func onlineSpans(evidence ledger.Evidence) []span {
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
	slots   int
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
			ideal.Busy += scheduleTick
		}
		online := countOverlapping(m.online, now)
		freeSlots := max(0, m.slots-online)
		var prefill time.Duration
		for len(waiting) > 0 && len(active) < freeSlots {
			prefill += waiting[0].prefill
			active = append(active, waiting[0])
			waiting = waiting[1:]
		}
		active = m.advance(active, freeSlots, online, prefill)
		now = now.Add(scheduleTick)
		remaining := active[:0]
		for _, item := range active {
			if item.tokens > 0 {
				remaining = append(remaining, item)
			} else {
				ideal.Finished = append(ideal.Finished, now)
			}
		}
		active = remaining
	}
	return ideal
}

// advance advances the first freeSlots items by the tokens of one tick.
func (m idealMachine) advance(active []idealItem, freeSlots, online int, prefill time.Duration) []idealItem {
	count := len(m.engines.Slots)
	moving := min(freeSlots, len(active))
	perEngine := float64(moving+online) / float64(count)
	step := m.engines.StepBase + time.Duration(perEngine*float64(m.engines.StepPerSequence))
	usable := max(0, scheduleTick-prefill/time.Duration(count))
	tokens := float64(usable) / float64(step)
	for i := range moving {
		active[i].tokens -= tokens
	}
	return active
}

func countOverlapping(busy []span, at time.Time) int {
	count := 0
	for _, one := range busy {
		if !one.from.After(at) && one.to.After(at) {
			count++
		}
	}
	return count
}
