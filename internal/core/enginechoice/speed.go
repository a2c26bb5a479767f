package enginechoice

import "time"

// Speed is how fast an engine works, relative to the usual. The zero value is the usual speed.
type Speed struct {
	// Slowness is the time that work takes there relative to the usual time; 0 if it is the
	// usual.
	Slowness float64
	// Grants is the number of requests that may use the engine as if it were not slow, which
	// shows whether it still is.
	Grants int
	// FirstToken is the time to a first token there relative to the usual, which includes what
	// does not depend on the engine; 0 if unknown.
	FirstToken float64
	// Pace is the time between two events there; 0 if unknown.
	Pace time.Duration
}

// SetSpeed sets how fast an engine works.
func (s *Set) SetSpeed(engine Incarnation, speed Speed) {
	if known := s.engines[engine]; known != nil && known.speed != speed {
		known.writable().speed = speed
	}
}

// Fullness returns the requests at an engine as a share of its slots; 0 if that is unknown.
func (s *Set) Fullness(engine Incarnation) float64 {
	known := s.engines[engine]
	if known == nil || known.entry.Slots <= 0 {
		return 0
	}
	return float64(known.own.Online+known.own.Batch) / float64(known.entry.Slots)
}

// slownessFor returns the slowness of an engine for a request: 1 if it has the usual speed, or
// if the request may show whether it still is slow.
func (e *engine) slownessFor(query Query) float64 {
	if e.speed.Slowness <= 1 || (e.speed.Grants > 0 && query.InTimeAt(e.speed)) {
		return 1
	}
	return e.speed.Slowness
}

// InTimeAt reports whether a request is expected to be in time at an engine of a speed.
func (q Query) InTimeAt(speed Speed) bool {
	firstToken := speed.FirstToken
	if firstToken == 0 {
		firstToken = speed.Slowness
	}
	return (q.MaxSlowness == 0 || firstToken <= q.MaxSlowness) && (q.MaxPace == 0 || speed.Pace <= q.MaxPace)
}

// msWork is the time from a request's first token to its end at an engine of the usual speed
// that is weighed against other delays, in milliseconds.
const msWork = 100.0

// slowScore returns the score of a slow engine with a free slot, from its score at the usual
// speed: all of the work there takes longer.
func slowScore(score, slowness float64) float64 {
	return score*slowness + (slowness-1)*msWork
}

// candidate is an engine that can accept a request.
type candidate struct {
	engine   *engine
	score    float64 // at the usual speed
	slowness float64
	prefill  int
	inFlight int
	preempts bool
	rank     uint64 // breaks ties, differently on each node
}

// choice returns the choice of the engine.
func (c candidate) choice() Choice {
	return Choice{
		Entry: c.engine.entry, Score: c.score, PrefillTokens: c.prefill, InFlight: c.inFlight, State: c.engine.state, Preempts: c.preempts,
		Slowness: c.slowness,
	}
}

// hasSlot reports whether the engine has a free slot, or one that a batch request frees.
func (c candidate) hasSlot() bool {
	return c.preempts || c.engine.entry.Slots <= 0 || c.inFlight < c.engine.entry.Slots
}

// bestEngines holds the best candidate of the usual speed and the best slow one; the engine of
// a candidate is nil if there is none.
type bestEngines struct {
	usual, slow candidate
}

// add adds a candidate.
func (b *bestEngines) add(added *candidate) {
	if added.slowness <= 1 {
		if b.usual.engine == nil || added.score < b.usual.score || (added.score == b.usual.score && added.rank > b.usual.rank) {
			b.usual = *added
		}
		return
	}
	score, slow := slowScore(added.score, added.slowness), slowScore(b.slow.score, b.slow.slowness)
	if b.slow.engine == nil || score < slow || (score == slow && added.rank > b.slow.rank) {
		b.slow = *added
	}
}

// choice returns the better one of the two candidates. Slowness counts against an engine beside a
// free slot of the usual speed, but not beside a queue. It makes a batch request worth preempting
// only if the request would be late at the slow engine.
func (b *bestEngines) choice(query Query) (Choice, bool) {
	switch {
	case b.usual.engine == nil && b.slow.engine == nil:
		return Choice{}, false
	case b.slow.engine == nil:
		return b.usual.choice(), true
	case b.usual.engine == nil:
		return b.slow.choice(), true
	}
	slow := b.slow.score
	if b.usual.hasSlot() && (!b.usual.preempts || !query.InTimeAt(b.slow.engine.speed)) {
		slow = slowScore(slow, b.slow.slowness)
	}
	if slow < b.usual.score {
		return b.slow.choice(), true
	}
	return b.usual.choice(), true
}
