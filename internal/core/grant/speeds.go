package grant

import (
	"time"

	"ringstream.example/ringstream/internal/core/enginechoice"
)

// observe records what a State tells of the engines. The first tokens of slow engines do not
// count for the time that a request is expected to take.
func (d *Dispatcher) observe(from string, state State, now time.Time) {
	d.retryOnline = d.retryOnline || len(state.Loads) > 0 // the engines may have free slots
	for _, load := range state.Loads {
		engine := d.engineByHash[load.Engine]
		d.engines.RecordReport(engine, load.Running, load.Waiting, now)
		if engine != (enginechoice.Incarnation{}) {
			d.policies.Speeds.ObserveLoad(engine, load, d.observed(from, engine, now))
		}
	}
	for _, first := range state.Firsts {
		engine := d.engineByHash[first.Engine]
		if d.policies.Speeds.Speed(engine).Slowness <= 1 {
			d.firstTokens.observe(first)
		}
		if engine != (enginechoice.Incarnation{}) {
			d.policies.Speeds.ObserveFirstToken(engine, first, d.observed(from, engine, now))
		}
	}
	for _, pace := range state.Paces {
		if engine := d.engineByHash[pace.Engine]; engine != (enginechoice.Incarnation{}) {
			d.policies.Speeds.ObservePace(engine, pace, d.observed(from, engine, now))
		}
	}
}

// observed returns the circumstances of an observation.
func (d *Dispatcher) observed(from string, engine enginechoice.Incarnation, now time.Time) Observed {
	return Observed{Node: from, Fullness: d.engines.Fullness(engine), At: now}
}

// observeSilence records that an online request has had no first token yet. Batch requests may
// be paused by their engine.
func (d *Dispatcher) observeSilence(request *inFlightRequest, engine uint64, now time.Time) {
	if _, unused := d.policies.Speeds.(equalSpeeds); unused || request.work.Batch {
		return
	}
	if _, listed := d.engineByHash[engine]; !listed {
		return // what was known about it has been dropped
	}
	key := RequestKey{Node: request.node, ID: request.id}
	silence := FirstToken{Elapsed: now.Sub(request.since), PrefillTokens: request.work.PrefillTokens}
	d.policies.Speeds.ObserveSilence(request.engine, key, silence, d.observed(request.node, request.engine, now))
}

// speedReviewInterval is the time between two reviews of the engines' speeds. A review looks at
// all engines of the lane.
const speedReviewInterval = 50 * time.Millisecond

// reviewSpeeds applies the speeds of the engines to the choice.
func (d *Dispatcher) reviewSpeeds(now time.Time) {
	if now.Sub(d.speedsReviewedAt) < speedReviewInterval {
		return
	}
	d.speedsReviewedAt = now
	changes := d.policies.Speeds.Review(now)
	for _, change := range changes {
		if change.Slowness > 1 {
			d.slow[change.Engine] = true
		} else {
			delete(d.slow, change.Engine)
			d.engines.SetSpeed(change.Engine, enginechoice.Speed{})
		}
	}
	for engine := range d.slow {
		d.engines.SetSpeed(engine, d.policies.Speeds.Speed(engine))
	}
	d.speedChanges = append(d.speedChanges, changes...)
}

// SpeedChanges returns the engines that were taken for slow, or no longer are, since the last
// call.
func (d *Dispatcher) SpeedChanges() []SpeedChange {
	changes := d.speedChanges
	d.speedChanges = nil
	return changes
}

// Slowness returns the slowness of each slow engine.
func (d *Dispatcher) Slowness() map[enginechoice.Incarnation]float64 {
	slowness := make(map[enginechoice.Incarnation]float64, len(d.slow))
	for engine := range d.slow {
		slowness[engine] = d.policies.Speeds.Speed(engine).Slowness
	}
	return slowness
}

// setTimes sets in an online request's query at which engines it is expected to be in time.
func (d *Dispatcher) setTimes(query *enginechoice.Query, entry *queuedAsk, now time.Time) {
	if entry.ask.Batch {
		return
	}
	if entry.FirstToken > 0 {
		query.MaxSlowness = max(entry.Deadline.Sub(now).Seconds()/entry.FirstToken.Seconds(), minMaxSlowness)
	}
	query.MaxPace = entry.ask.PauseObjective * maxPacePercent / 100
}

const (
	// minMaxSlowness is a limit that every slow engine exceeds. 0 would mean none.
	minMaxSlowness = 0.01
	// maxPacePercent is the mean time between two events, as a percentage of the objective for
	// the longest, up to which a request is expected to meet it.
	maxPacePercent = 80
)

// tooSlow reports whether a request that can be in time should wait rather than be late at a
// slow engine.
func (d *Dispatcher) tooSlow(entry *queuedAsk, query enginechoice.Query, choice enginechoice.Choice) bool {
	if choice.Slowness <= 1 || entry.ask.Batch || entry.Place || !entry.InTime {
		return false
	}
	return !query.InTimeAt(d.policies.Speeds.Speed(choice.Entry.Incarnation()))
}

// maxTooSlow is the number of requests for which a slow engine may be too slow before the rest
// of the queue is left to wait. It bounds the work of one pass over a long queue.
const maxTooSlow = 8
