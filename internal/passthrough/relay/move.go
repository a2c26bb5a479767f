package relay

import (
	"errors"
	"maps"
	"sync"
	"time"

	"ringstream.example/ringstream/internal/core/enginechoice"
	"ringstream.example/ringstream/internal/core/enginespeed"
	"ringstream.example/ringstream/internal/passthrough/slots"
)

// errSlowEngine ends an attempt whose engine is too slow for the request's objectives.
var errSlowEngine = errors.New("the engine is too slow for the pause objective or the deadline")

// usualTimes holds what this node knows of the usual times of each route's requests. It is safe
// for concurrent use.
type usualTimes struct {
	mu      sync.Mutex // guards byRoute
	byRoute map[string]*enginespeed.UsualTimes
}

// maxUsualTimes bounds the routes whose usual times are kept.
const maxUsualTimes = 256

func newUsualTimes() *usualTimes {
	return &usualTimes{byRoute: make(map[string]*enginespeed.UsualTimes)}
}

// of returns what is known of a route.
func (u *usualTimes) of(route string) enginespeed.UsualTimes {
	u.mu.Lock()
	defer u.mu.Unlock()
	if known := u.byRoute[route]; known != nil {
		return *known
	}
	return enginespeed.UsualTimes{}
}

// update calls change for what is known of a route.
func (u *usualTimes) update(route string, change func(*enginespeed.UsualTimes)) {
	u.mu.Lock()
	defer u.mu.Unlock()
	known := u.byRoute[route]
	if known == nil {
		if len(u.byRoute) >= maxUsualTimes {
			clear(u.byRoute) // the routes have changed many times
		}
		known = &enginespeed.UsualTimes{}
		u.byRoute[route] = known
	}
	change(known)
}

// attemptPace is the pace of the attempt in flight.
type attemptPace struct {
	startedAt    time.Time
	firstEventAt time.Time              // zero before the attempt's first event
	usual        enginespeed.UsualTimes // of the route, when the attempt started
	decision     slots.Decision
	events       int           // events of this attempt after its first
	waited       time.Duration // for these events
	recent       time.Duration // smoothed time between two events
	longest      time.Duration // longest wait for events
	slowWaits    int           // consecutive waits for events that were unusually long
	// freeElsewhere is whether another engine had a free slot at checkedAt.
	freeElsewhere bool
	checkedAt     time.Time
	hasEvent      bool
}

// wrote returns the time since the attempt's first event; 0 if there is none.
func (p *attemptPace) wrote() time.Duration {
	if p.firstEventAt.IsZero() {
		return 0
	}
	return time.Since(p.firstEventAt)
}

// recentWeight is the weight of the newest event in the smoothed pace.
const recentWeight = 0.4

// startPace begins to measure an attempt.
func (e *exchange) startPace(decision slots.Decision) {
	e.pace = attemptPace{startedAt: time.Now(), decision: decision, usual: e.usual.of(e.call.Route.Name)}
}

// recordEvents records events of the attempt in flight, and how long the engine was waited for
// before them.
func (e *exchange) recordEvents(count int, waited time.Duration) {
	e.pace.decision.Slot.RecordEvents(count, waited)
	if e.pace.hasEvent && count > 0 {
		e.pace.events += count
		e.pace.waited += waited
		pace := waited / time.Duration(count)
		if e.pace.recent == 0 {
			e.pace.recent = pace
		}
		e.pace.recent += time.Duration(recentWeight * float64(pace-e.pace.recent))
		e.pace.longest = max(e.pace.longest, waited)
		e.pace.slowWaits++
		if !e.pace.usual.Unusual(pace) {
			e.pace.slowWaits = 0
		}
	}
	if e.pace.hasEvent {
		return
	}
	e.pace.hasEvent = true
	if e.atUsualSpeed() {
		e.usual.update(e.call.Route.Name, func(usual *enginespeed.UsualTimes) { usual.ObserveFirstEvent(time.Since(e.pace.startedAt)) })
	}
}

// recordPace records the pace of an attempt that has ended.
func (e *exchange) recordPace(outcome Outcome) {
	if e.pace.events == 0 || !e.atUsualSpeed() {
		return
	}
	e.usual.update(e.call.Route.Name, func(usual *enginespeed.UsualTimes) {
		usual.ObservePace(e.pace.events, e.pace.waited)
		if outcome == Completed {
			usual.ObserveEnd(e.stream.Count())
		}
	})
}

// atUsualSpeed reports whether the engine of the attempt has the usual speed and started the
// request at once.
func (e *exchange) atUsualSpeed() bool {
	choice := e.pace.decision.Choice
	return choice.Slowness <= 1 && choice.HasSlot()
}

// silenceTimeout returns how long the engine may send nothing; 0 means until the deadline.
func (e *exchange) silenceTimeout() time.Duration { return e.movable().SilenceLimit() }

// movable returns the attempt in flight as the decision to move it sees it. Without knowledge of
// the engines' speeds it moves only after a few times its objective.
func (e *exchange) movable() enginespeed.Attempt {
	route := e.call.Route
	attempt := enginespeed.Attempt{
		MayMove: e.moreAttempts(), Started: e.stream.Count() > 0, Waited: e.pace.startedAt.Sub(e.call.Received),
		Objective: route.Objective, PauseObjective: route.PauseObjective, Slowness: e.pace.decision.Choice.Slowness,
	}
	if attempt.MayMove && e.slots.LearnsSpeeds(e.call.Pool) {
		attempt.FirstEvent, attempt.Pace = e.pace.usual.FirstEvent(), e.pace.usual.Pace()
		attempt.SpareAttempt = e.attempts+2 < route.Attempts
		attempt.EngineSlow = attempt.Slowness > 1 || e.pace.slowWaits >= minSlowWaits
		attempt.PauseMissed = route.PauseObjective > 0 && e.pace.longest > route.PauseObjective
		attempt.FreeElsewhere = e.freeElsewhere()
	}
	return attempt
}

// minSlowWaits is the number of consecutive unusually long waits from which an engine counts as
// slow before its lane's dispatcher says so. Fewer may have one cause, such as a long prompt.
const minSlowWaits = 4

// freeSlotAge is how long this node's knowledge of free slots is used. It bounds the locks that a
// stream with many events takes.
const freeSlotAge = 100 * time.Millisecond

// freeElsewhere reports whether another engine that may take the request has a free slot.
func (e *exchange) freeElsewhere() bool {
	now := time.Now()
	if now.Sub(e.pace.checkedAt) < freeSlotAge {
		return e.pace.freeElsewhere
	}
	e.pace.checkedAt = now
	e.pace.freeElsewhere = false
	if !e.pace.decision.Choice.HasSlot() || e.pace.decision.Slot.LaneHasQueue() {
		return false
	}
	query := e.query()
	query.Exclude = maps.Clone(query.Exclude)
	query.Exclude[e.pace.decision.Choice.Entry.Incarnation()] = true
	e.engines.Use(func(set *enginechoice.Set, now time.Time) { e.pace.freeElsewhere = set.CanPickFree(query, now) })
	return e.pace.freeElsewhere
}

// recentMoves bounds the streams that leave an engine for its pace: the engines that take them
// would be slower if all came at once. It is safe for concurrent use.
type recentMoves struct {
	mu sync.Mutex // guards at
	at map[enginechoice.Incarnation]time.Time
}

const (
	// moveInterval is the shortest time between two moves from an engine.
	moveInterval = 100 * time.Millisecond
	// maxRecentMoves bounds the engines whose last move is kept.
	maxRecentMoves = 1024
)

// allow reports whether a stream may leave an engine now, and counts it if so.
func (m *recentMoves) allow(engine enginechoice.Incarnation, now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if now.Sub(m.at[engine]) < moveInterval {
		return false
	}
	if m.at == nil || len(m.at) >= maxRecentMoves {
		m.at = make(map[enginechoice.Incarnation]time.Time)
	}
	m.at[engine] = now
	return true
}

// leftSlowEngine reports whether an attempt ended because its engine was slow or silent.
func (e *exchange) leftSlowEngine(err error, interrupted bool) bool {
	return e.slots.LearnsSpeeds(e.call.Pool) && (interrupted || errors.Is(err, errSlowEngine) || isTimeout(err))
}

// readmitAbandoned allows the engines again that were left for being slow, once no other engine
// can take the request. It reports whether there were any.
func (e *exchange) readmitAbandoned(why error) bool {
	if !errors.Is(why, slots.ErrNoEngine) || len(e.abandoned) == 0 {
		return false
	}
	for _, engine := range e.abandoned {
		delete(e.excluded, engine)
	}
	e.abandoned = nil
	return true
}

// minPaceEvents is the number of events of an attempt from which its pace is trusted.
const minPaceEvents = 3

// missesObjective reports whether the stream should be moved to another engine after an event,
// since it will miss its pause objective or its deadline at this one.
func (e *exchange) missesObjective() bool {
	if e.pace.events < minPaceEvents || !e.slots.LearnsSpeeds(e.call.Pool) {
		return false
	}
	left := max(e.pace.usual.Events()-e.stream.Count(), 0)
	return e.movable().MissesObjective(left, e.pace.recent, e.clock.remaining()) &&
		e.moves.allow(e.pace.decision.Choice.Entry.Incarnation(), time.Now())
}
